package events

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestCatalogueMatchesDocsAndNumbersAreUnique(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	g.Expect(err).NotTo(HaveOccurred())
	seen := map[int]bool{}
	for _, event := range Catalogue() {
		g.Expect(seen[event.Number]).To(BeFalse(), "number %d is used twice", event.Number)
		seen[event.Number] = true
		g.Expect(string(page)).To(ContainSubstring(fmt.Sprintf("| %d | %s | %s |", event.Number, event.Level, event.Text)))
	}
	g.Expect(strings.Count(string(page), "\n| ")).To(Equal(len(seen)+2), "the table has one row per event, a header and a separator")
}
