// Package clock provides a monotonic clock that includes the time during which the machine is
// suspended.
//
// CLOCK_MONOTONIC, by which time.Now compares times, stops during a suspension. Proofs that
// the configuration is current, leases, and deadlines set by other machines would then seem valid
// for longer than they are. The wall clock includes suspensions but may step. CLOCK_BOOTTIME
// includes them and never steps.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// driftThreshold is the change of the drift between wall clock and monotonic clock, since they
// were last compared, above which the clock reads CLOCK_BOOTTIME. It is more than slewing of the
// wall clock (at most 500 ppm) adds in a minute.
const driftThreshold = 30 * time.Millisecond

// Clock is a monotonic clock that includes suspensions. It is safe for concurrent use.
type Clock struct {
	sources Sources
	// startMonotonic and startWall are the readings at creation. startBootOffset is how far
	// CLOCK_BOOTTIME was ahead of CLOCK_MONOTONIC then.
	startMonotonic, startWall time.Time
	startBootOffset           time.Duration
	// lastDrift is the drift between wall clock and monotonic clock at the last comparison, and
	// suspended the total time of all suspensions since creation. Both are in nanoseconds.
	lastDrift atomic.Int64
	suspended atomic.Int64
}

// Sources reads the clocks of the kernel.
type Sources struct {
	// Now returns the time with a monotonic reading, and the wall clock time.
	Now func() (monotonic, wall time.Time)
	// BootOffset returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, which is the total
	// time of all suspensions since boot. It returns false if the clocks cannot be read.
	BootOffset func() (time.Duration, bool)
}

// New returns a clock that reads the clocks of the kernel.
func New() *Clock { return NewFrom(Sources{Now: readClocks, BootOffset: readBootOffset}) }

// NewFrom returns a clock that reads the given sources.
func NewFrom(sources Sources) *Clock {
	c := &Clock{sources: sources}
	c.startMonotonic, c.startWall = sources.Now()
	c.startBootOffset, _ = sources.BootOffset()
	return c
}

// Now returns the current time. The difference between two times of one clock is the time that
// passed between them, including suspensions. They must not be compared with times of time.Now.
func (c *Clock) Now() time.Time {
	monotonic, wall := c.sources.Now()
	drift := c.wallDrift(monotonic, wall)
	if driftChange := drift - time.Duration(c.lastDrift.Load()); driftChange > driftThreshold || driftChange < -driftThreshold {
		c.refresh(drift)
	}
	return monotonic.Add(time.Duration(c.suspended.Load()))
}

// wallDrift returns how much further the wall clock has advanced since creation than the
// monotonic clock.
func (c *Clock) wallDrift(monotonic, wall time.Time) time.Duration {
	return wall.Sub(c.startWall) - monotonic.Sub(c.startMonotonic)
}

// Suspended reads the kernel clocks and returns the total time of all suspensions since the clock
// was created. It also finds a suspension that Now misses because the wall clock stepped back by
// the same amount.
func (c *Clock) Suspended() time.Duration {
	c.refresh(c.wallDrift(c.sources.Now()))
	return time.Duration(c.suspended.Load())
}

// refresh stores the drift and updates the total time of suspensions, which never decreases.
func (c *Clock) refresh(drift time.Duration) {
	c.lastDrift.Store(int64(drift))
	bootOffset, known := c.sources.BootOffset()
	if !known {
		return
	}
	for suspended := int64(bootOffset - c.startBootOffset); ; {
		previous := c.suspended.Load()
		if suspended <= previous || c.suspended.CompareAndSwap(previous, suspended) {
			return
		}
	}
}

// readClocks returns one reading of time.Now with and without its monotonic part.
func readClocks() (monotonic, wall time.Time) {
	reading := time.Now()
	return reading, reading.Round(0)
}

// readBootOffset returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC.
func readBootOffset() (time.Duration, bool) {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
