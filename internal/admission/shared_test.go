package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNothingIsRefusedForAShareInAQueueInWhichNobodyIs(t *testing.T) {
	g := NewWithT(t)
	const own = 500 * time.Millisecond
	of := func(excess float64) Demand { return Demand{Target: time.Second, Excess: excess} }
	shortest := ShortestQueue(time.Second, Rank{})
	g.Expect(shared(own, of(1))).To(Equal(own))
	g.Expect(shared(own, of(8))).To(Equal(shortest))
	g.Expect(shared(own, of(1.1))).To(And(BeNumerically(">", shortest), BeNumerically("<", own)))
	g.Expect(shared(shortest/2, of(8))).To(Equal(shortest/2), "never longer than without a share")
	g.Expect(shared(0, of(8))).To(BeZero(), "no bound stays none")
}

// A promise is no way round the share.
func TestPromisedReturnIsHeldToTheShare(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := admitMany(o, bulk)
	after := o.Decided(now, ticketed(1), 2*bulkTarget, true, 250*time.Millisecond)
	greedy := ticketed(1)
	greedy.Excess = 8
	limit := o.Limit(now.Add(after), greedy, crowded)
	g.Expect(limit.Returned).To(BeTrue())
	g.Expect(limit.MaxQueue).To(Equal(shared(greedy.MaxQueue, greedy)))
	g.Expect(limit.MaxQueue).To(BeNumerically("<", limit.Unshared))
}
