package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// told refuses the demand and returns when its caller is told to come back.
func told(o *Order, now time.Time, demand Demand, earliest time.Duration) time.Duration {
	return o.Decided(now, demand, 2*demand.Target, true, earliest)
}

func named(ticket uint64) Demand {
	demand := bulk
	demand.Ticket = ticket
	return demand
}

// Callers that say how long they wait, that do not, and that wait for minutes are told a
// time that is of use to them.
func TestRetryAfterIsNeitherMissingNorEndless(t *testing.T) {
	g := NewWithT(t)
	const earliest = 250 * time.Millisecond
	for _, left := range []time.Duration{0, time.Second, 5 * time.Second, 5 * time.Minute} {
		o := newTestOrder()
		for i := range 100 {
			demand := named(uint64(i + 1))
			demand.Left = left
			g.Expect(told(o, began, demand, earliest)).To(And(BeNumerically(">=", earliest), BeNumerically("<=", longestReturn)), "left %v", left)
		}
	}
}

// A caller that does not wait as it was told keeps its moment: it neither loses it nor
// takes another one.
func TestCallerThatRepeatsEarlyKeepsItsMoment(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	for i := range 300 {
		o.Decided(began.Add(time.Duration(i)*10*time.Millisecond), bulk, 0, false, 0)
	}
	now := began.Add(3 * time.Second)
	first := told(o, now, named(1), 250*time.Millisecond)
	for i := range 100 {
		told(o, now, named(uint64(i+2)), 250*time.Millisecond)
	}
	g.Expect(told(o, now.Add(time.Millisecond), named(1), 250*time.Millisecond)).To(Equal(first - time.Millisecond))
}

// Requests of a tenant beyond its share take no moments from those within theirs.
func TestTenantBeyondItsShareIsPromisedNothing(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	greedy := named(1)
	greedy.Excess = 4
	told(o, began, greedy, 250*time.Millisecond)
	g.Expect(o.TakePromises()).To(BeEmpty())
	told(o, began, named(2), 250*time.Millisecond)
	g.Expect(o.TakePromises()).To(HaveLen(1))
}
