package fairshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestNewsEndAfterTheShortage(t *testing.T) {
	g := NewWithT(t)
	a, b := New(Config{}), New(Config{})
	now := start
	a.Refuse(now, shared, "x", 5000)
	// Five minutes in which both place requests and tell each other four times a second.
	for range 1200 {
		now = now.Add(250 * time.Millisecond)
		for _, tracker := range []*Tracker{a, b} {
			tracker.Charge(now, shared, "x", 1000)
			tracker.Charge(now, shared, "y", 1000)
		}
		toB, toA := a.Sums(now), b.Sums(now)
		b.Merge(now, "a", toB)
		a.Merge(now, "b", toA)
	}
	g.Expect(a.Sums(now)).To(BeEmpty(), "nothing was refused for five minutes")
}

// A request whose body took ten seconds to arrive is given back late: most of its charge has
// faded by then, and the use of others stays.
func TestLateRefundTakesBackNoMoreThanIsLeft(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	tracker.Charge(start, shared, "x", 50000)
	later := start.Add(10 * time.Second)
	tracker.Charge(later, shared, "x", 50000)
	tracker.Refund(later, start, shared, "x", 50000)
	p := tracker.pools[shared]
	g.Expect(p.own["x"].used * tracker.left(later, p.epoch)).To(BeNumerically("~", 50000, 100))
}
