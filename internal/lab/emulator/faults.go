package emulator

import (
	"maps"
	"slices"
	"strings"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
)

// scheduleFaults schedules the faults at the times that Faults states.
func (r *emulation) scheduleFaults() {
	faults, duration := r.settings.Faults, r.settings.Duration
	if faults.ShiftPopularity {
		r.schedule(duration/4, r.generator.ShiftPopularity)
	}
	if faults.Crash {
		r.schedule(duration/3, func() { r.crashRunner(r.runners[0]) })
	}
	if faults.RestartRouters {
		r.schedule(duration/2, r.restartRouters)
	}
	if faults.Partition {
		r.schedule(duration*11/20, func() { r.partitioned = true })
		r.schedule(duration*13/20, func() { r.partitioned = false })
	}
	if faults.Rollout {
		r.schedule(duration*2/3, func() {
			r.weightVersion = "v2"
			r.continueRollout()
		})
	}
}

// crashRunner restarts an engine with an empty cache. Its requests that have produced no token
// yet are placed again.
func (r *emulation) crashRunner(runner *emulatedRunner) {
	interrupted := slices.SortedFunc(maps.Values(runner.activeRequests), func(a, b *pendingRequest) int { return strings.Compare(a.id.Request, b.id.Request) })
	r.startEngine(runner)
	for _, pending := range interrupted {
		// A started stream would continue on another runner. That isn't emulated, since the time
		// to its first token has already been recorded.
		if !pending.firstTokenProduced {
			r.place(pending)
		}
	}
}

// restartRouters restarts all routers with empty state at the same time. They receive each runner's
// report immediately, and its full list of cached blocks after its next event.
func (r *emulation) restartRouters() {
	r.createRouters()
	for _, runner := range r.runners {
		runner.tracker.Restart(runner.incarnation)
		r.deliverReport(r.runnerReport(runner), runner.eventSequence)
		runner.eventSequence++
	}
}

// continueRollout starts to load the new weights on further runners, up to the number of
// concurrent loads.
func (r *emulation) continueRollout() {
	for _, runner := range r.runners {
		if r.activeLoads >= r.settings.Deployment.ConcurrentLoads {
			return
		}
		if runner.weightVersion != r.weightVersion && !runner.loading {
			runner.loading = true
			r.activeLoads++
			r.loadWeights(runner)
		}
	}
}

// loadWeights waits until the runner's engine is idle, loads the new weights, and then serves
// them with an empty cache.
func (r *emulation) loadWeights(runner *emulatedRunner) {
	if runner.engine.Busy() {
		r.schedule(publishInterval, func() { r.loadWeights(runner) })
		return
	}
	r.schedule(r.settings.Deployment.LoadTime, func() {
		runner.engine.ClearCache()
		runner.weightVersion = r.weightVersion
		runner.loading = false
		runner.activeRequests = map[enginemodel.ID]*pendingRequest{}
		r.activeLoads--
		r.continueRollout()
	})
}
