package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A restarted runner counts its orders from zero again. The lower count must not be taken for
// that of a runner that has not received the order yet.
func TestOrderToPreviousIncarnationIsNotOutstanding(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	last := lastOrder{sentAt: now, incarnation: 1, acceptedBefore: 4}
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 4})).To(BeTrue())
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 5})).To(BeFalse(), "the order was accepted")
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 2, OrdersAccepted: 0})).To(BeFalse(), "the runner restarted")
	g.Expect(lastOrder{}.isOutstanding(now, RunnerReport{})).To(BeFalse(), "there was no order")
	last.sentAt = last.sentAt.Add(-resendAfter)
	g.Expect(last.isOutstanding(now, RunnerReport{Incarnation: 1, OrdersAccepted: 4})).To(BeFalse(), "resendAfter has passed")
}
