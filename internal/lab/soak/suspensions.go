package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Suspensions of machines.
const (
	// meanSuspensionInterval is the mean interval between two suspensions. maxSuspension is the
	// maximum duration of one. It is longer than revoked keys and old weights may be used.
	meanSuspensionInterval = 5 * time.Second
	maxSuspension          = 7 * time.Second
)

// SuspendedFileEnvVar is the environment variable with the path of the file that holds the total
// time, in nanoseconds, for which the machine of the process has been suspended.
const SuspendedFileEnvVar = "CLOVERTILLER_LAB_SUSPENDED"

// SuspendableClock returns a clock that simulates suspensions of the machine with the total
// duration in the file at path. Its monotonic clock stops during suspensions, like CLOCK_MONOTONIC,
// while its wall clock and its boot offset include them.
func SuspendableClock(path string) *clock.Clock {
	suspended := func() time.Duration {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0
		}
		nanos, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		if err != nil {
			return 0
		}
		return time.Duration(nanos)
	}
	return clock.NewFrom(clock.Sources{
		Now: func() (monotonic, wall time.Time) {
			now := time.Now()
			return now.Add(-suspended()), now.Round(0)
		},
		BootOffset: func() (time.Duration, bool) { return suspended(), true },
	})
}

// suspensionInjector suspends one machine after the other. It has its own random source.
type suspensionInjector struct {
	soak   *Soak
	random *rand.Rand
	// totals holds the total time for which each machine has been suspended.
	totals map[string]time.Duration
}

func newSuspensionInjector(s *Soak) *suspensionInjector {
	return &suspensionInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+3)), totals: map[string]time.Duration{}}
}

// run suspends random machines until the deadline and returns the number of suspensions.
func (f *suspensionInjector) run(ctx context.Context, deadline time.Time) (count int) {
	for ; time.Now().Before(deadline) && ctx.Err() == nil; count++ {
		time.Sleep(meanSuspensionInterval/2 + time.Duration(f.random.Int64N(int64(meanSuspensionInterval))))
		f.suspend(f.soak.processes[f.random.IntN(len(f.soak.processes))], time.Duration(f.random.Int64N(int64(maxSuspension))))
	}
	return count
}

// suspend stops the process for the duration. Before the process continues, it is told how long its
// machine was suspended in total.
func (f *suspensionInjector) suspend(p *process, duration time.Duration) {
	s := f.soak
	s.logf("fault: the machine of %s is suspended for %v", p.name, duration.Round(time.Millisecond))
	p.markUnavailable(duration + startupTime)
	defer s.disturbances.begin(p.name)()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	f.totals[p.name] += duration
	if err := p.writeSuspended(f.totals[p.name]); err != nil {
		s.failf("suspension: %v", err)
	}
	p.signal(syscall.SIGCONT)
}
