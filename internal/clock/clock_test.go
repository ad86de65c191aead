package clock_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// fakeMachine provides clock readings that the test sets.
type fakeMachine struct {
	monotonic   time.Duration
	wallStep    time.Duration
	suspended   time.Duration
	offsetReads int
}

var base = time.Now()

func (m *fakeMachine) sources() clock.Sources {
	return clock.Sources{
		Now: func() (monotonic, wall time.Time) {
			return base.Add(m.monotonic), base.Round(0).Add(m.monotonic + m.suspended + m.wallStep)
		},
		BootOffset: func() (time.Duration, bool) { m.offsetReads++; return time.Hour + m.suspended, true },
	}
}

func TestNowMatchesTimeNowWithoutSuspension(t *testing.T) {
	g := NewWithT(t)
	c := clock.New()
	const slept, tolerance = 20 * time.Millisecond, time.Millisecond
	started := time.Now()
	before := c.Now()
	time.Sleep(slept)
	elapsed := c.Now().Sub(before)
	// A busy machine may let the sleep take longer.
	g.Expect(elapsed).To(And(BeNumerically(">=", slept-tolerance), BeNumerically("<=", time.Since(started)+tolerance)))
	g.Expect(time.Until(c.Now())).To(BeNumerically("~", 0, 5*time.Millisecond))
	g.Expect(c.Suspended()).To(BeNumerically("<", time.Millisecond))
}

// The first call of Now after a suspension includes it.
func TestNowIncludesSuspensions(t *testing.T) {
	g, m := NewWithT(t), &fakeMachine{}
	c := clock.NewFrom(m.sources())
	before := c.Now()
	m.monotonic, m.suspended = time.Second, 4*time.Second
	g.Expect(c.Now().Sub(before)).To(Equal(5 * time.Second))
	m.suspended = 6 * time.Second
	g.Expect(c.Now().Sub(before)).To(Equal(7 * time.Second))
	g.Expect(c.Suspended()).To(Equal(6 * time.Second))
}

func TestNowIgnoresWallClockSteps(t *testing.T) {
	g, m := NewWithT(t), &fakeMachine{}
	c := clock.NewFrom(m.sources())
	before := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -2 * time.Second, -time.Hour} {
		m.monotonic, m.wallStep = m.monotonic+time.Second, step
		g.Expect(c.Now().Sub(before)).To(Equal(m.monotonic))
	}
}

// The wall clock steps back by exactly the length of the suspension, so Now sees no drift.
func TestSuspendedFindsSuspensionHiddenByWallClockStep(t *testing.T) {
	g, m := NewWithT(t), &fakeMachine{}
	c := clock.NewFrom(m.sources())
	before := c.Now()
	m.suspended, m.wallStep = 4*time.Second, -4*time.Second
	g.Expect(c.Now()).To(Equal(before), "the drift is unchanged")
	g.Expect(c.Suspended()).To(Equal(4 * time.Second))
	g.Expect(c.Now().Sub(before)).To(Equal(4 * time.Second))
}

func TestSuspendedTimeNeverDecreases(t *testing.T) {
	g, m := NewWithT(t), &fakeMachine{suspended: 3 * time.Second}
	c := clock.NewFrom(m.sources())
	before := c.Now()
	m.suspended = time.Second
	g.Expect(c.Now()).To(Equal(before))
	g.Expect(c.Suspended()).To(BeZero())
}

func TestNowReadsBootOffsetOnlyWhenDriftChanges(t *testing.T) {
	g, m := NewWithT(t), &fakeMachine{}
	c := clock.NewFrom(m.sources())
	for range 1000 {
		m.monotonic += time.Second
		c.Now()
	}
	g.Expect(m.offsetReads).To(Equal(1), "only when the clock was created")
}

func BenchmarkNow(b *testing.B) {
	c := clock.New()
	for b.Loop() {
		c.Now()
	}
}
