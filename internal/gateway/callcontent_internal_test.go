package gateway

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a part without an ID that is taken for a content, which answers never clear, and against
// callers who fill the memory of all routers with long or many IDs.
func TestRecordedPartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	parts := func(ids ...string) (prompt []PromptPart) {
		for _, id := range ids {
			prompt = append(prompt, PromptPart{ID: id})
		}
		return prompt
	}
	g.Expect(recordedParts(nil)).To(BeEmpty())
	g.Expect(recordedParts(parts("own"))).To(BeEmpty(), "the last part belongs to the request")
	g.Expect(recordedParts(parts("a", "", strings.Repeat("x", maxRecordedPartBytes+1), "b", "own"))).To(Equal([]string{"a", "b"}))
	g.Expect(recordedParts(make([]PromptPart, 100))).To(BeEmpty())
	g.Expect(recordedParts(parts(strings.Split(strings.Repeat("p ", 100), " ")...))).To(HaveLen(maxRecordedParts))
}
