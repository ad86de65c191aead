package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A replica that is behind answers a watch of the configuration with 10. Meanwhile the
// runners' watch brought 12, long before the moment that the answer is to prove, and 13
// after it. Only the latest rise is remembered, and hides that 12 was known by then.
func TestAnswersFromThePastShowNothingHoweverOftenCopiesRose(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(1_000, 0)
	copies := &copies{}
	copies.recordReached(checkpoint{revision: 12, at: at.Add(-500 * time.Millisecond)})
	answer := storeResponse{revision: 10, knownRevision: 10}
	g.Expect(copies.isCurrent(answer, at)).To(BeFalse(), "12 was known half a second before the moment")
	copies.recordReached(checkpoint{revision: 13, at: at.Add(20 * time.Millisecond)})
	g.Expect(copies.isCurrent(answer, at)).To(BeFalse(), "it still was, whatever came since")
}
