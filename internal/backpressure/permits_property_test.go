package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// window is the interval over which the rate is checked. Within it, a runner may receive
	// burstFactor times its limit plus burstSlack requests.
	window      = 4 * time.Second
	burstFactor = 1.5
	burstSlack  = 5
	// membershipDelay is the maximum time until a scheduler learns of a change of the set of
	// schedulers.
	membershipDelay = 3 * time.Second
	tick            = 20 * time.Millisecond
)

func allowedPerWindow(rate float64) int { return int(burstFactor*rate*window.Seconds() + burstSlack) }

// simScheduler is a scheduler that grants permits, with its own view of the set of schedulers.
type simScheduler struct {
	permits *Permits
	members []string
	// pendingMembers replaces members at pendingAt.
	pendingMembers []string
	pendingAt      time.Time
}

func (s *simScheduler) applyPending(now time.Time, self string) {
	if s.pendingMembers != nil && !now.Before(s.pendingAt) {
		s.members, s.pendingMembers = s.pendingMembers, nil
		count := 0
		if slices.Contains(s.members, self) {
			count = len(s.members)
		}
		s.permits.SetSchedulerCount(now, count)
	}
}

// simulation runs schedulers that grant as many permits as they may, and a network that delays
// the requests sent under them.
type simulation struct {
	random     *rand.Rand
	rate       float64
	members    []string
	schedulers map[string]*simScheduler
	arrivals   []time.Time
}

func newSimulation(seed uint64, rate float64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), rate: rate, members: []string{"a", "b", "c"}, schedulers: map[string]*simScheduler{}}
	for _, name := range sim.members {
		sim.startScheduler(start.Add(-time.Minute), name)
	}
	return sim
}

// startScheduler starts a scheduler that knows the current set of schedulers at once.
func (sim *simulation) startScheduler(now time.Time, name string) {
	sim.schedulers[name] = &simScheduler{permits: NewPermits(), pendingMembers: sim.members, pendingAt: now}
	sim.schedulers[name].applyPending(now, name)
}

// setMembers changes the set of schedulers. Each scheduler learns of it within membershipDelay.
func (sim *simulation) setMembers(now time.Time, members []string) {
	sim.members = members
	for _, name := range members {
		if sim.schedulers[name] == nil {
			sim.startScheduler(now, name)
		}
	}
	for _, s := range sim.schedulers {
		s.pendingMembers, s.pendingAt = members, now.Add(time.Duration(sim.random.Int64N(int64(membershipDelay))))
	}
}

// grantAll has each scheduler grant all permits it may. Each permit is used at a random time
// before it expires.
func (sim *simulation) grantAll(now time.Time) {
	for name, s := range sim.schedulers {
		s.applyPending(now, name)
		if s.permits.Share(now, sim.rate) == 0 {
			continue
		}
		for s.permits.Wait(now, runner, sim.rate) == 0 {
			s.permits.Take(now, runner, sim.rate)
			sim.arrivals = append(sim.arrivals, now.Add(time.Duration(sim.random.Int64N(int64(permitLifetime)))))
		}
	}
}

// maxPerWindow returns the maximum number of arrivals within any window.
func (sim *simulation) maxPerWindow() (highest int) {
	slices.SortFunc(sim.arrivals, time.Time.Compare)
	first := 0
	for last, at := range sim.arrivals {
		for at.Sub(sim.arrivals[first]) >= window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// A runner receives no more than its limit allows, even when schedulers restart, join, leave or
// learn of such changes late.
func TestTotalRateOfAllSchedulersIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), math.Pow(10, rapid.Float64Range(-1.5, 2).Draw(t, "magnitude")))
		changeAt, lastName := start.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "first change"))*time.Second), 3
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(tick) {
			sim.grantAll(now)
			if now.Before(changeAt) {
				continue
			}
			changeAt = now.Add(time.Duration(rapid.IntRange(6, 20).Draw(t, "pause")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // a scheduler restarts
				sim.startScheduler(now, rapid.SampledFrom(sim.members).Draw(t, "restarted"))
			case 1: // a scheduler is replaced
				lastName++
				sim.setMembers(now, append(slices.Clone(sim.members[1:]), fmt.Sprintf("s%d", lastName)))
			case 2: // a scheduler joins
				if lastName++; len(sim.members) < 5 {
					sim.setMembers(now, append(slices.Clone(sim.members), fmt.Sprintf("s%d", lastName)))
				}
			case 3: // a scheduler leaves
				if len(sim.members) > 1 {
					sim.setMembers(now, slices.Clone(sim.members[1:]))
				}
			}
		}
		if highest := sim.maxPerWindow(); highest > allowedPerWindow(sim.rate) {
			t.Fatalf("%d requests within a window, allowed %d at %.3f requests per second", highest, allowedPerWindow(sim.rate), sim.rate)
		}
	})
}
