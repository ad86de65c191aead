package versionrollout

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulated rollouts of a run by hand are more and larger than those of each run of the tests:
// go test ./internal/versionrollout -run AnyRollout -rollouts 10000 -requests 3e6 -reports 1e6 -timeout 1h.
var (
	rollouts    = flag.Int("rollouts", 1000, "number of simulated rollouts")
	maxRequests = flag.Float64("requests", 1e4, "largest expected number of requests of a simulated rollout")
	maxReports  = flag.Float64("reports", 5e3, "largest expected number of reports of a simulated rollout")
	firstSeed   = flag.Uint64("seed", 1, "seed of the first simulated rollout")
)

// Simulated rollouts leave much garbage in small heaps, so fewer collections save much time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

func logUniform(random *rand.Rand, low, high float64) float64 {
	return math.Exp(math.Log(low) + random.Float64()*math.Log(high/low))
}

// randomScenario draws from all of the ranges, within the limits on the cost of a rollout.
func randomScenario(seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	s := scenario{seed: seed, leaderLostAt: -1, cutOffAt: -1, restartAt: -1}
	seconds := logUniform(random, 5, 3600)
	s.duration = time.Duration(seconds * float64(time.Second))
	s.rate = logUniform(random, 0.5, min(5000, *maxRequests/seconds))
	s.placers = int(logUniform(random, 1, min(1000, max(1, *maxReports/4/seconds))+1))
	all := faults()
	s.fault = all[random.IntN(len(all))]
	if random.IntN(3) == 0 {
		s.fault = all[0]
	}
	s.onset = random.Float64()
	if random.IntN(5) == 0 {
		s.onset = 0
	}
	s.bursts = random.IntN(2) == 0
	if random.IntN(3) == 0 {
		s.leaderLostAt, s.leaderCrashes = random.Float64(), random.IntN(2) == 0
	}
	if random.IntN(2) == 0 {
		s.lossy = true
		if random.IntN(2) == 0 {
			s.cutOffAt = random.Float64()
		}
		if random.IntN(2) == 0 {
			s.restartAt = random.Float64()
		}
	}
	return s
}

type played struct {
	*world
	policy *accountPolicy
}

func play(s scenario) played {
	w := newWorld(s)
	p := newAccountPolicy(w)
	w.run(p)
	return played{world: w, policy: p}
}

func (p played) String() string {
	promoted, ended := math.NaN(), math.NaN()
	if p.final.IsFinal() {
		ended = p.deadline.Sub(p.finalAt).Seconds()
	}
	if !p.policy.promotedAt.IsZero() {
		promoted = p.deadline.Sub(p.policy.promotedAt).Seconds()
	}
	return fmt.Sprintf("%v: %v %.3f s before the deadline, promoted %.3f s before, %d of %d exposed, reserved %d, %d bad, reason %q",
		p.scenario, p.final, ended, promoted, p.exposed, p.requests, p.policy.reserved, p.badAnswers, p.policy.decision.Reason)
}

func playAll(scenarios []scenario, check func(played)) {
	const workers = 8
	var running sync.WaitGroup
	var mutex sync.Mutex
	for worker := range workers {
		running.Go(func() {
			for i := worker; i < len(scenarios); i += workers {
				result := play(scenarios[i])
				mutex.Lock()
				check(result)
				mutex.Unlock()
			}
		})
	}
	running.Wait()
}

// hasRoom reports whether a good version can be moved before the deadline at all: the requests of the last tenths
// of a second (the report of the promotion, the write and the bounds of the order's time), at the rate that
// the leader must expect, fit into what tests leave of the budget. In rollouts of some seconds at a high
// rate they don't, and the bound takes precedence over the deadline.
func (s scenario) hasRoom() bool {
	expected := rateFactor * s.rate
	if s.bursts {
		expected = 3 * burstFactor * s.rate
	}
	interval := max(shortestInterval, time.Duration(s.placers)*time.Second/reportLoad)
	last := 350*time.Millisecond + 2*interval
	if end := time.Duration(endLeadShare * float64(s.duration)); end > shortestEndLead {
		last += min(end, longestEndLead) - shortestEndLead
	}
	left := (1 - testPart) * budgetMargin * (simulatedShare*s.rate*s.duration.Seconds() + simulatedSlack)
	return expected*last.Seconds() <= left
}

// failsUnseen reports whether both versions began to fail when the old one got no requests any more, or only just
// before. Only if there is time for a pause can this be told from a fault of the target version.
func (p played) failsUnseen() bool {
	began := p.start.Add(time.Duration(p.onset * float64(p.duration)))
	return p.fault.oldBadShare > simulatedOldBad && !p.policy.promotedAt.IsZero() && began.After(p.policy.promotedAt.Add(-2*time.Second))
}

// leadsLongEnough reports whether a new leader has time to start and to promote: it leads after leaderlessTime,
// needs reports of all placers twice, and writes the state.
func (s scenario) leadsLongEnough() bool {
	return (1-s.leaderLostAt)*s.duration.Seconds() >= leaderlessTime.Seconds()+2
}

// share counts successes among cases of one kind.
type successes struct{ all, good int }

func (s *successes) add(good bool) {
	s.all++
	if good {
		s.good++
	}
}

func (s successes) String() string { return fmt.Sprintf("%d of %d", s.good, s.all) }

// Guards against more requests to a bad version than allowed, in any phase and after the end, and against good
// versions that miss the deadline.
func TestAnyRolloutKeepsItsBound(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for i := range *rollouts {
		scenarios = append(scenarios, randomScenario(*firstSeed+uint64(i)))
	}
	var inBound, stopped, inTime, late, afterLoss, longAfterLoss, lossy, unseen successes
	playAll(scenarios, func(p played) {
		inBound.add(p.isInBound() && !p.policy.overdrawn)
		stopped.add(p.isStoppedInTime())
		if !p.isInBound() || p.policy.overdrawn || !p.isStoppedInTime() {
			t.Errorf("in bound %v, more exposed than reserved %v, stopped in time %v: %v", p.isInBound(), p.policy.overdrawn, p.isStoppedInTime(), p)
		}
		if !p.fault.isGood {
			return
		}
		if p.failsUnseen() {
			unseen.add(p.final == Succeeded)
			return
		}
		succeeded := p.final == Succeeded
		if p.final == RolledBack {
			t.Errorf("good version rolled back: %v", p)
		}
		switch {
		case !p.hasRoom():
			late.add(succeeded)
		case p.leaderLostAt >= 0:
			afterLoss.add(succeeded)
			if p.leadsLongEnough() {
				longAfterLoss.add(succeeded)
				if !succeeded {
					t.Logf("missed after the loss of the leader: %v", p)
				}
			}
		case p.lossy:
			lossy.add(succeeded)
			if !succeeded {
				t.Logf("missed with lost messages: %v", p)
			}
		default:
			inTime.add(succeeded)
			if !succeeded {
				t.Errorf("missed: %v", p)
			}
		}
	})
	t.Logf("in bound %v, stopped in time %v; good versions succeeded before the deadline: %v without losses, %v with lost messages and routers, %v after the loss of the leader (%v of them early enough), %v with too little time for their rate, %v where the old version began to fail as well after the promotion",
		inBound, stopped, inTime, lossy, afterLoss, longAfterLoss, late, unseen)
	g := NewWithT(t)
	g.Expect(float64(afterLoss.good)).To(BeNumerically(">=", 0.95*float64(afterLoss.all)))
	g.Expect(float64(longAfterLoss.good)).To(BeNumerically(">=", 0.98*float64(longAfterLoss.all)))
}

// verdictsOf plays a fault with several seeds in the setting of the measurements on the design page.
func verdictsOf(f fault, onset float64, placers int, leaderLoss bool) (right successes) {
	const plays = 40
	var scenarios []scenario
	for seed := range plays {
		s := scenario{seed: uint64(seed), fault: f, onset: onset, placers: placers, rate: 400, duration: 12 * time.Second, leaderLostAt: -1, cutOffAt: -1, restartAt: -1}
		if leaderLoss {
			s.leaderLostAt = 0.25
		}
		scenarios = append(scenarios, s)
	}
	playAll(scenarios, func(p played) {
		right.add(p.final.IsFinal() && (p.final == Succeeded) == f.isGood)
	})
	return right
}

// Guards against bad versions that are kept and good ones that are rolled back.
func TestVerdicts(t *testing.T) {
	t.Parallel()
	for _, placers := range []int{1, 3, 30} {
		for _, leaderLoss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d placers, leader lost %v", placers, leaderLoss), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				expect := func(f fault, onset float64) {
					right := verdictsOf(f, onset, placers, leaderLoss)
					t.Logf("%s from %.2f: %v right", f.name, onset, right)
					g.Expect(float64(right.good)).To(BeNumerically(">=", 0.95*float64(right.all)), "%s from %.2f", f.name, onset)
				}
				for _, f := range faults() {
					expect(f, 0)
				}
				expect(faultNamed("bad"), 0.35)
			})
		}
	}
}

// Guards against reports, steps and writes that are too slow for the end of a rollout of some seconds.
func TestShortRolloutsEndInTime(t *testing.T) {
	t.Parallel()
	var scenarios []scenario
	for seed := range 60 {
		for _, placers := range []int{1, 3} {
			scenarios = append(scenarios, scenario{
				seed: uint64(seed), fault: faultNamed("good"), placers: placers, rate: 80, duration: 6 * time.Second, leaderLostAt: -1, cutOffAt: -1, restartAt: -1,
			})
		}
	}
	earliest, latest := time.Duration(math.MaxInt64), time.Duration(0)
	playAll(scenarios, func(p played) {
		if p.final != Succeeded || !p.isInBound() {
			t.Errorf("%v", p)
		}
		before := p.deadline.Sub(p.finalAt)
		earliest, latest = min(earliest, before), max(latest, before)
	})
	t.Logf("succeeded %v to %v before the deadline", latest, earliest)
}
