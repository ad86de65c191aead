package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestShouldSaveThrottlesMostlySharedPrompts(t *testing.T) {
	g := NewWithT(t)
	throttle := NewSaveThrottle()
	mostlyShared := Query{Family: 1, SharedTokens: 6000, PromptTokens: 9000}
	g.Expect(throttle.ShouldSave(start, mostlyShared, 1)).To(BeTrue())
	g.Expect(throttle.ShouldSave(start.Add(time.Second), mostlyShared, 1)).To(BeFalse(), "saved recently")
	g.Expect(throttle.ShouldSave(start.Add(time.Second), mostlyShared, 2)).To(BeTrue(), "other weight version")
	g.Expect(throttle.ShouldSave(start.Add(saveInterval), mostlyShared, 1)).To(BeTrue())
	mostlyUnique := Query{Family: 2, SharedTokens: 200, PromptTokens: 900}
	g.Expect(throttle.ShouldSave(start, mostlyUnique, 1)).To(BeFalse(), "mostly unique prompt")
	mostlyUnique.PromptTokens = 400
	g.Expect(throttle.ShouldSave(start, mostlyUnique, 1)).To(BeTrue(), "a rejected save must not be recorded")
}
