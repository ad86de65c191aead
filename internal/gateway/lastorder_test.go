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
	last := lastOrder{sentAt: now, incarnation: 1, acceptedBefore: 4}
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 4})).To(BeTrue())
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 5})).To(BeFalse(), "it was taken")
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 2, OrdersAccepted: 0})).To(BeFalse(), "a new start")
	g.Expect(lastOrder{}.isOutstanding(now, RunnerReport{})).To(BeFalse(), "nothing was ordered")
	last.sentAt = last.sentAt.Add(-resendAfter)
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 4})).To(BeFalse(), "it took too long")
}
