package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMostlySharedPromptsAreSavedOnceInAWhile(t *testing.T) {
	g := NewWithT(t)
	saves := NewSaves()
	long := Query{Family: 1, SharedTokens: 6000, PromptTokens: 9000}
	g.Expect(saves.Due(start, long, 1)).To(BeTrue())
	g.Expect(saves.Due(start.Add(time.Second), long, 1)).To(BeFalse(), "saved of late")
	g.Expect(saves.Due(start.Add(time.Second), long, 2)).To(BeTrue(), "other weights")
	g.Expect(saves.Due(start.Add(saveInterval), long, 1)).To(BeTrue())
	own := Query{Family: 2, SharedTokens: 200, PromptTokens: 900}
	g.Expect(saves.Due(start, own, 1)).To(BeFalse(), "mostly the request's own part")
	own.PromptTokens = 400
	g.Expect(saves.Due(start, own, 1)).To(BeTrue(), "a refused save is not remembered as one")
}
