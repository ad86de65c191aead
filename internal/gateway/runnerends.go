package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Limits of checking whether a runner is still alive.
const (
	// livenessTimeout is the timeout of one probe. A running runner, or the machine of a crashed
	// one, answers a new connection within some milliseconds.
	livenessTimeout = 250 * time.Millisecond
	// livenessAttempts is the number of probes sent to a runner whose state stays unknown. A
	// crashed runner needs a second or more to restart, so it is not up again before the last
	// probe.
	livenessAttempts = 3
)

// maxLoggedContents is the maximum number of contents in one log line.
const maxLoggedContents = 16

// crashDetector tracks the requests running on each runner and determines whether a runner whose
// response broke off has crashed. A lost connection breaks off the response in the same way.
type crashDetector struct {
	gateway  *Gateway
	mutex    sync.Mutex
	runTable *quarantine.RunTable
	// checks holds the runners that are being checked, each with a channel that is closed when the
	// check is done.
	checks map[quarantine.Runner]chan struct{}
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{gateway: g, runTable: quarantine.NewRunTable(), checks: map[quarantine.Runner]chan struct{}{}}
}

// incarnationOf returns the identity of the runner's current process.
func incarnationOf(runner backend.Runner) quarantine.Runner {
	return quarantine.Runner{ID: runner.ID, Incarnation: runner.Incarnation}
}

// begin records the run of a request that is about to be sent.
func (d *crashDetector) begin(run *quarantine.Run) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runTable.Begin(run)
}

// respond records that the runner has begun the response of the run.
func (d *crashDetector) respond(now time.Time, run *quarantine.Run) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	run.BeganAt = now
}

// end records the outcome of a run.
func (d *crashDetector) end(now time.Time, run *quarantine.Run, outcome quarantine.RunOutcome) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runTable.End(now, run, outcome)
}

// check determines in the background whether the runner has crashed, unless that is known already,
// a shutdown was expected or a check is in progress. The returned channel is closed when the check
// is done.
func (d *crashDetector) check(runner backend.Runner) <-chan struct{} {
	// Requests lock this mutex while they hold the gateway's mutex, so the gateway's mutex must not
	// be locked while this one is held.
	incarnation, expected := incarnationOf(runner), d.expectedToRun(runner)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if done, found := d.checks[incarnation]; found {
		return done
	}
	done := make(chan struct{})
	if d.runTable.HasCrashed(incarnation) || !expected {
		close(done)
		return done
	}
	d.checks[incarnation] = done
	d.gateway.spawn(func() {
		d.runCheck(runner)
		d.mutex.Lock()
		delete(d.checks, incarnation)
		d.mutex.Unlock()
		close(done)
	})
	return done
}

// expectedToRun reports whether the directory lists this incarnation of the runner, and neither the
// directory nor a response says that it is shutting down. The end of a runner that is shutting down
// is planned.
func (d *crashDetector) expectedToRun(runner backend.Runner) bool {
	g := d.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	listed, found := g.runners.Get(runner.ID)
	return found && listed.Incarnation == runner.Incarnation && g.runners.IsActive(runner.ID, listed.Service)
}

// runCheck probes the runner and records the result.
func (d *crashDetector) runCheck(runner backend.Runner) {
	probedAt := d.gateway.now()
	liveness := d.probe(runner)
	if liveness == RunnerEnded && !d.reachesAnother(runner, probedAt) {
		liveness = RunnerUnknown
	}
	d.gateway.metrics.runnerChecks.WithLabelValues(runner.Service, liveness.String()).Inc()
	switch liveness {
	case RunnerRunning:
		d.mutex.Lock()
		d.runTable.RunnerAlive(probedAt, incarnationOf(runner))
		d.mutex.Unlock()
	case RunnerEnded:
		d.recordCrash(runner)
	}
}

// recordCrash records that the runner has crashed.
func (d *crashDetector) recordCrash(runner backend.Runner) {
	now := d.gateway.now()
	d.mutex.Lock()
	runs := d.runTable.RunnerCrashed(now, incarnationOf(runner))
	d.mutex.Unlock()
	d.gateway.metrics.requestsAtCrash.WithLabelValues(runner.Service).Observe(float64(len(runs)))
	d.gateway.log.Log(events.RunnerEndDetected, events.Fields{
		"runner": runner.ID, "address": runner.Address, "service": runner.Service, "runs": len(runs), "contents": contentNames(runs), "parts": countParts(runs),
	})
	d.gateway.suspects.runnerCrashed(now, runs)
}

// probe probes the runner until its state is known, at most livenessAttempts times.
func (d *crashDetector) probe(runner backend.Runner) RunnerLiveness {
	for range livenessAttempts {
		ctx, cancel := context.WithTimeout(d.gateway.ctx, livenessTimeout)
		liveness := d.gateway.ports.Runners.Liveness(ctx, runner)
		cancel()
		if liveness.IsKnown() || d.gateway.ctx.Err() != nil {
			return liveness
		}
	}
	return RunnerUnknown
}

// controlProbes is the number of other runners that are probed at once, and maxControlProbes the number of all that are probed, before a
// refused connection is attributed to this router's own links. Several others may have crashed as well.
const (
	controlProbes    = 3
	maxControlProbes = 12
)

// reachesAnother reports whether this router reaches a runner other than the given one, of which the
// connection was refused. If it reaches none, its own links may be at fault. It is true if there are no others.
func (d *crashDetector) reachesAnother(ended backend.Runner, since time.Time) bool {
	g := d.gateway
	if g.paths.heardFromOthers(ended, since) {
		return true
	}
	g.mutex.Lock()
	others := g.runners.Others(ended.ID, maxControlProbes)
	g.mutex.Unlock()
	for probed := range slices.Chunk(others, controlProbes) {
		if d.anyRuns(probed) {
			return true
		}
	}
	return len(others) == 0
}

// anyRuns probes the runners at once, and reports whether one of them is running.
func (d *crashDetector) anyRuns(runners []backend.Runner) bool {
	ctx, cancel := context.WithTimeout(d.gateway.ctx, livenessTimeout)
	defer cancel()
	results := make(chan RunnerLiveness, len(runners))
	for _, runner := range runners {
		go func() { results <- d.gateway.ports.Runners.Liveness(ctx, runner) }()
	}
	for range runners {
		if <-results == RunnerRunning {
			return true
		}
	}
	return false
}

// hasOpenRun reports whether a run of the subject is open.
func (d *crashDetector) hasOpenRun(subject quarantine.Subject) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runTable.HasOpenRun(subject)
}

// sweep removes runs that are no longer needed.
func (d *crashDetector) sweep(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runTable.Prune(now)
}

// contentNames returns the contents of the runs for the log, at most maxLoggedContents.
func contentNames(runs []*quarantine.Run) []string {
	var names []string
	for _, run := range runs[:min(len(runs), maxLoggedContents)] {
		names = append(names, run.Content.String())
	}
	return names
}

// countParts returns the number of runs with each prompt part for the log, at most maxLoggedContents parts.
func countParts(runs []*quarantine.Run) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		for _, part := range run.Parts {
			if _, found := counts[part]; found || len(counts) < maxLoggedContents {
				counts[part]++
			}
		}
	}
	return counts
}
