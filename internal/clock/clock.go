// Package clock tells moments by a clock that goes on while the machine is suspended.
//
// The steady clock of the kernel (CLOCK_MONOTONIC), by which time.Now compares moments, stands
// still then, so that what is held for a time looks too young afterwards: proofs, leases,
// deadlines of others. The time of day counts that time, but may step; CLOCK_BOOTTIME counts
// it and does not.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// noticed is the least difference between time of day and steady clock, since they were last
// compared, at which the kernel's clocks are read: above what slewing of the time of day (500
// parts in a million) makes in a minute.
const noticed = 30 * time.Millisecond

// Clock tells moments. It is safe for concurrent use.
type Clock struct {
	// sources are the kernel's clocks.
	sources Sources
	// began is when the clock was made, and ahead how far CLOCK_BOOTTIME was ahead of the
	// steady clock then.
	began, beganDay time.Time
	ahead           time.Duration
	// drift is by how much time of day and steady clock had differed when last compared, and
	// suspended the time of all suspensions, both in nanoseconds.
	drift     atomic.Int64
	suspended atomic.Int64
}

// Sources are the kernel's clocks.
type Sources struct {
	// Now reads the steady clock, as a moment to compare others with, and the time of day.
	Now func() (steady, day time.Time)
	// Ahead is how far CLOCK_BOOTTIME is ahead of the steady clock: the time of all
	// suspensions since the machine started; false if that is not known.
	Ahead func() (time.Duration, bool)
}

// New returns a clock of the kernel's.
func New() *Clock { return NewFrom(Sources{Now: now, Ahead: ahead}) }

// NewFrom returns a clock of other sources.
func NewFrom(sources Sources) *Clock {
	c := &Clock{sources: sources}
	c.began, c.beganDay = sources.Now()
	c.ahead, _ = sources.Ahead()
	return c
}

// Now returns the present moment. Moments of one clock are apart by the time that passed
// between them, suspensions included; those of time.Now are not to be mixed with them.
func (c *Clock) Now() time.Time {
	steady, day := c.sources.Now()
	drift := c.driftAt(steady, day)
	if difference := drift - time.Duration(c.drift.Load()); difference > noticed || difference < -noticed {
		c.read(drift)
	}
	return steady.Add(time.Duration(c.suspended.Load()))
}

// driftAt is by how much the time of day went on more than the steady clock.
func (c *Clock) driftAt(steady, day time.Time) time.Duration {
	return day.Sub(c.beganDay) - steady.Sub(c.began)
}

// Suspended reads the kernel's clocks and returns the time of all suspensions since the
// clock was made. A suspension that a step of the time of day hides from Now is found so.
func (c *Clock) Suspended() time.Duration {
	c.read(c.driftAt(c.sources.Now()))
	return time.Duration(c.suspended.Load())
}

func (c *Clock) read(drift time.Duration) {
	c.drift.Store(int64(drift))
	ahead, known := c.sources.Ahead()
	if !known {
		return
	}
	for suspended := int64(ahead - c.ahead); ; {
		before := c.suspended.Load()
		if suspended <= before || c.suspended.CompareAndSwap(before, suspended) {
			return
		}
	}
}

// now reads both at once: time.Now has both readings, and compares by the steady one.
func now() (steady, day time.Time) {
	read := time.Now()
	return read, read.Round(0)
}

// ahead compares the kernel's clocks.
func ahead() (time.Duration, bool) {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
