package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The count of orders of a restarted runner is below the one that was ordered, and would
// look like an order that has not shown yet.
func TestOrderToTheLastStartIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	last := lastOrder{at: now, incarnation: 1, after: 4}
	g.Expect(last.outstanding(now, RunnerReport{Incarnation: 1, Orders: 4})).To(BeTrue())
	g.Expect(last.outstanding(now, RunnerReport{Incarnation: 1, Orders: 5})).To(BeFalse(), "it was taken")
	g.Expect(last.outstanding(now, RunnerReport{Incarnation: 2, Orders: 0})).To(BeFalse(), "a new start")
	g.Expect(lastOrder{}.outstanding(now, RunnerReport{})).To(BeFalse(), "nothing was ordered")
	last.at = last.at.Add(-resendAfter)
	g.Expect(last.outstanding(now, RunnerReport{Incarnation: 1, Orders: 4})).To(BeFalse(), "it took too long")
}
