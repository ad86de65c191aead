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
	// suspensionGap is the mean pause between two, and suspensionMost the longest: longer than
	// keys and older weights hold.
	suspensionGap  = 5 * time.Second
	suspensionMost = 7 * time.Second
)

// SuspendedVariable names the file that holds for how long the process's machine has been
// suspended, in nanoseconds.
const SuspendedVariable = "CLOVERTILLER_LAB_SUSPENDED"

// SuspendableClock is the clock of a router whose machine is suspended as the file says: the
// steady clock that it goes by stands still for that time, and those that count it do not.
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
		Now: func() (steady, day time.Time) {
			now := time.Now()
			return now.Add(-suspended()), now.Round(0)
		},
		BootOffset: func() (time.Duration, bool) { return suspended(), true },
	})
}

// suspensions suspends one machine after the other. It draws from a random source of its own.
type suspensions struct {
	soak   *Soak
	random *rand.Rand
	// total is for how long each machine has been suspended.
	total map[string]time.Duration
}

func newSuspensions(s *Soak) *suspensions {
	return &suspensions{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+3)), total: map[string]time.Duration{}}
}

// run suspends machines until the time is over and returns how many.
func (f *suspensions) run(ctx context.Context, deadline time.Time) (count int) {
	for ; time.Now().Before(deadline) && ctx.Err() == nil; count++ {
		time.Sleep(suspensionGap/2 + time.Duration(f.random.Int64N(int64(suspensionGap))))
		f.suspend(f.soak.processes[f.random.IntN(len(f.soak.processes))], time.Duration(f.random.Int64N(int64(suspensionMost))))
	}
	return count
}

// suspend stops the process, and tells it when it goes on how long its machine stood still.
func (f *suspensions) suspend(p *process, duration time.Duration) {
	s := f.soak
	s.say("fault: the machine of %s is suspended for %v", p.name, duration.Round(time.Millisecond))
	p.harm(duration + startTime)
	defer s.disturbances.begin(p.name)()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	f.total[p.name] += duration
	if err := p.writeSuspended(f.total[p.name]); err != nil {
		s.fail("suspension: %v", err)
	}
	p.signal(syscall.SIGCONT)
}
