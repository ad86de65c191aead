package cli

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/explain"
)

// Guards against a history of a request that does not tell why it left its region.
func TestHistoryTellsWhyARequestLeftItsRegion(t *testing.T) {
	g := NewWithT(t)
	log, err := explain.Read(strings.NewReader(`{"event":512,"node":"r1","msg":"request sent to runner","time":"2026-12-03T12:00:00Z","request":"1","runner":"p1","zone":"z","left_region":"full"}`))
	g.Expect(err).NotTo(HaveOccurred())
	history, found := log.History("1")
	g.Expect(found).To(BeTrue())
	var out bytes.Buffer
	printHistory(&out, history)
	g.Expect(out.String()).To(And(ContainSubstring("left_region=full"), ContainSubstring("zone=z")))
}
