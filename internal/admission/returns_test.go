package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ticketed is a bulk request of the name.
func ticketed(ticket uint64) Demand {
	demand := bulk
	demand.Ticket = ticket
	return demand
}

// refuseMany refuses so many requests at once and returns what they were told.
func refuseMany(o *Order, now time.Time, count int) []time.Duration {
	var told []time.Duration
	for i := range count {
		told = append(told, o.Decided(now, ticketed(uint64(i+1)), 2*bulkTarget, true, 250*time.Millisecond))
	}
	return told
}

// admitMany admits 50 requests of the rank a second for some seconds.
func admitMany(o *Order, demand Demand) time.Time {
	now := began
	for range 1500 {
		now = now.Add(20 * time.Millisecond)
		o.Decided(now, demand, 0, false, 0)
	}
	return now
}

func TestCallersAreToldDifferentMomentsWithinTheirTime(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := admitMany(o, bulk)
	told := refuseMany(o, now, 100)
	inTenths := map[time.Duration]int{}
	for _, after := range told {
		g.Expect(after).To(BeNumerically(">=", 250*time.Millisecond))
		g.Expect(after).To(BeNumerically("<=", bulk.Left/3), "a caller waits for a third of its time")
		inTenths[after/(100*time.Millisecond)]++
	}
	for tenth, callers := range inTenths {
		g.Expect(callers).To(BeNumerically("<=", 30), "callers who come together in tenth %d", tenth)
	}
}

// The moments promised are as many as the rank was admitted of late, and all leave time
// for an answer within the target.
func TestPromisesFollowTheRateOfTheRank(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := admitMany(o, bulk)
	refuseMany(o, now, 200)
	promises := o.TakePromises()
	g.Expect(float64(len(promises))).To(BeNumerically("~", 50*promiseShare*(promiseWithin*bulkTarget.Seconds()-0.25), 3))
	for _, promise := range promises {
		g.Expect(promise.After).To(BeNumerically("<=", time.Duration(promiseWithin*float64(bulkTarget))))
	}
	g.Expect(o.TakePromises()).To(BeEmpty(), "each promise is told once")
}

func TestCallerWhoComesBackWhenToldIsLetIn(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := admitMany(o, bulk)
	after := refuseMany(o, now, 1)[0]
	back := meet(o, now, after, 2*urgentTarget)
	g.Expect(heldTo(o, back, bulk, crowded)).To(BeNumerically("<", bulk.MaxQueue/4), "others of its rank give way")
	limit := o.Limit(back, ticketed(1), crowded)
	g.Expect(limit.Returned).To(BeTrue())
	g.Expect(limit.MaxQueue).To(Equal(bulk.MaxQueue))
	g.Expect(o.Limit(back, ticketed(1), crowded).Returned).To(BeFalse(), "a promise is kept once")
}

func TestPromiseOfAnotherSchedulerIsKept(t *testing.T) {
	g := NewWithT(t)
	one, other := newTestOrder(), newTestOrder()
	now := admitMany(one, bulk)
	after := refuseMany(one, now, 1)[0]
	for _, promise := range one.TakePromises() {
		other.LearnPromise(now, promise)
	}
	g.Expect(other.Limit(now.Add(after), ticketed(1), crowded).Returned).To(BeTrue())
}

// Clients that ignore the moment repeat three times at once: that gets them no promise
// before their moment, and takes no further moments from others.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := admitMany(o, bulk)
	first := refuseMany(o, now, 1)[0]
	for range 3 {
		now = now.Add(time.Millisecond)
		g.Expect(o.Limit(now, ticketed(1), crowded).Returned).To(BeFalse())
		again := o.Decided(now, ticketed(1), 2*bulkTarget, true, 250*time.Millisecond)
		g.Expect(again).To(BeNumerically("<=", first))
	}
	next := o.Decided(now, ticketed(2), 2*bulkTarget, true, 250*time.Millisecond)
	g.Expect(next).To(BeNumerically("~", first, 40*time.Millisecond))
}

func TestCallerWithLittleTimeIsNotToldMore(t *testing.T) {
	g := NewWithT(t)
	o := NewOrder(rand.New(rand.NewPCG(1, 2)))
	brief := ticketed(1)
	brief.Left = 300 * time.Millisecond
	g.Expect(o.Decided(began, brief, bulkTarget, true, 250*time.Millisecond)).To(BeNumerically("<=", 100*time.Millisecond))
}
