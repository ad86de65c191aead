package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Refused calls.
const (
	// refusalCallers is the number of callers if refusals are checked.
	refusalCallers = 32
	// surplusShare is the share of responses that runners send twice, and maxSurplusDelay bounds how long half of the runners wait
	// before that. The others wait for the next request.
	surplusShare    = 0.5
	maxSurplusDelay = 30 * time.Millisecond
	// longBodyShare is the share of calls whose body has up to maxLongBody bytes.
	longBodyShare = 0.3
	maxLongBody   = 55_000
	// meanRefusalInterval is the mean interval before runners begin to refuse calls in another way, and maxRefusalDuration bounds how
	// long they do so.
	meanRefusalInterval = 250 * time.Millisecond
	maxRefusalDuration  = 1500 * time.Millisecond
)

// refusalInjector makes runners refuse calls, and send responses twice. It has its own random source, so that the other faults of a
// seed do not change.
type refusalInjector struct {
	soak   *Soak
	random *rand.Rand
}

func newRefusalInjector(s *Soak) *refusalInjector {
	return &refusalInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+12))}
}

// run makes runners refuse calls until the deadline and returns how often.
func (f *refusalInjector) run(ctx context.Context, deadline time.Time) (count int) {
	var group sync.WaitGroup
	defer group.Wait()
	for i, runner := range f.soak.runners.running() {
		runner.SetSurplus(runnerstand.Surplus{Share: surplusShare, MaxDelay: time.Duration(i%2) * maxSurplusDelay})
	}
	kinds := []func(*runnerstand.Runner, time.Duration){f.refuse, f.refuseEarly, f.takeWeightsEarly, f.listFormerID}
	for ; time.Now().Before(deadline) && ctx.Err() == nil; count++ {
		runner, duration := f.randomRunner(), time.Duration(f.random.Int64N(int64(maxRefusalDuration)))
		start := kinds[f.random.IntN(len(kinds))]
		group.Go(func() { start(runner, duration) })
		time.Sleep(meanRefusalInterval/2 + time.Duration(f.random.Int64N(int64(meanRefusalInterval))))
	}
	return count
}

func (f *refusalInjector) randomRunner() *runnerstand.Runner {
	running := f.soak.runners.running()
	return running[f.random.IntN(len(running))]
}

func (f *refusalInjector) refuse(runner *runnerstand.Runner, duration time.Duration) {
	f.misbehave(runner, runnerstand.Sheds, duration)
}

func (f *refusalInjector) refuseEarly(runner *runnerstand.Runner, duration time.Duration) {
	f.misbehave(runner, runnerstand.ShedsEarly, duration)
}

func (f *refusalInjector) misbehave(runner *runnerstand.Runner, behaviour runnerstand.Behaviour, duration time.Duration) {
	f.soak.logf("refusals: %s %v for %v", runner.ID, behaviour, duration.Round(time.Millisecond))
	runner.SetBehaviour(behaviour)
	time.Sleep(duration)
	f.soak.runners.endMisbehaviour(runner)
}

// takeWeightsEarly gives all engines the next weights before the gateways can know of them.
func (f *refusalInjector) takeWeightsEarly(_ *runnerstand.Runner, duration time.Duration) {
	next := f.soak.config.currentWeightVersion() + 1
	f.soak.logf("refusals: engines have weights %d, which are requested after %v", next, duration.Round(time.Millisecond))
	for _, engine := range f.soak.runners.ofService("engines") {
		engine.SetWeightVersion(next)
	}
	time.Sleep(duration)
	f.soak.config.bumpWeights()
}

// listFormerID lists the runner with a second ID, as if it had restarted.
func (f *refusalInjector) listFormerID(runner *runnerstand.Runner, duration time.Duration) {
	f.soak.logf("refusals: %s is also listed with a former ID for %v", runner.ID, duration.Round(time.Millisecond))
	removeEntry := f.soak.runners.writeFormerEntry(runner)
	time.Sleep(duration)
	removeEntry()
}

// logRefusals logs how many calls that can't be repeated were refused, and how many responses runners sent twice.
func (s *Soak) logRefusals() {
	arrived, runs, surplus := map[string]int{}, map[string]int{}, 0
	for _, runner := range s.runners.all() {
		surplus += runner.SurplusCount()
		for _, arrival := range runner.ArrivalLog() {
			arrived[arrival.RequestID]++
		}
		for _, run := range runner.Runs() {
			runs[run.RequestID]++
		}
	}
	calls, refused, refusedAfterArrival, refusedAndRan, servedAfterRefusal := 0, 0, 0, 0, 0
	for _, call := range s.calls.all() {
		if call.repeatable {
			continue
		}
		calls++
		switch {
		case call.wasRefusedUnprocessed():
			refused++
			refusedAfterArrival += min(arrived[call.id], 1)
			refusedAndRan += min(runs[call.id], 1)
		case runs[call.id] == 1 && arrived[call.id] > 1:
			servedAfterRefusal++
		}
	}
	s.logf("refusals: %d calls that can't be repeated, %d refused, %d of them after they reached a runner and %d although they ran; %d ran at their second runner or later; %d responses sent twice",
		calls, refused, refusedAfterArrival, refusedAndRan, servedAfterRefusal, surplus)
}
