package fairshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestReportsStopAfterOverload(t *testing.T) {
	g := NewWithT(t)
	a, b := New(Config{}), New(Config{})
	now := startTime
	a.RecordRefusal(now, testPool, "x", 5000)
	// For five minutes both schedulers place requests and exchange reports four times per second.
	for range 1200 {
		now = now.Add(250 * time.Millisecond)
		for _, tracker := range []*Tracker{a, b} {
			tracker.Charge(now, testPool, "x", 1000)
			tracker.Charge(now, testPool, "y", 1000)
		}
		toB, toA := a.LocalUsage(now), b.LocalUsage(now)
		b.Merge(now, "a", toB)
		a.Merge(now, "b", toA)
	}
	g.Expect(a.LocalUsage(now)).To(BeEmpty(), "nothing was refused for five minutes")
}

// A request whose body took ten seconds to arrive is refunded late. Most of its charge has decayed
// by then, and other charges of the tenant must remain.
func TestLateRefundIsDecayed(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	tracker.Charge(startTime, testPool, "x", 50000)
	later := startTime.Add(10 * time.Second)
	tracker.Charge(later, testPool, "x", 50000)
	tracker.Refund(later, startTime, testPool, "x", 50000)
	p := tracker.poolStates[testPool]
	g.Expect(p.local["x"].used * tracker.decayFactor(later, p.epoch)).To(BeNumerically("~", 50000, 100))
}
