package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestFairShareBoundIsAtLeastLowestMaxQueue(t *testing.T) {
	g := NewWithT(t)
	const ownBound = 500 * time.Millisecond
	withExcess := func(excess float64) Request { return Request{LatencyTarget: time.Second, Excess: excess} }
	lowest := LowestMaxQueue(time.Second, Rank{})
	g.Expect(fairShareBound(ownBound, withExcess(1))).To(Equal(ownBound))
	g.Expect(fairShareBound(ownBound, withExcess(8))).To(Equal(lowest))
	g.Expect(fairShareBound(ownBound, withExcess(1.1))).To(And(BeNumerically(">", lowest), BeNumerically("<", ownBound)))
	g.Expect(fairShareBound(lowest/2, withExcess(8))).To(Equal(lowest/2), "the bound never increases")
	g.Expect(fairShareBound(0, withExcess(8))).To(BeZero(), "a request without a bound gets none")
}

// A tenant above its fair share has the reduced bound also when it retries at its reserved time.
func TestReservationDoesNotBypassFairShare(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := admitMany(shedder, bulk)
	after := shedder.RecordDecision(now, bulkWithTicket(1), 2*bulkTarget, true, 250*time.Millisecond)
	excessive := bulkWithTicket(1)
	excessive.Excess = 8
	limit := shedder.QueueLimit(now.Add(after), excessive, busyLoad)
	g.Expect(limit.Returned).To(BeTrue())
	g.Expect(limit.MaxQueue).To(Equal(fairShareBound(excessive.MaxQueue, excessive)))
	g.Expect(limit.MaxQueue).To(BeNumerically("<", limit.MaxQueueAtFairShare))
}
