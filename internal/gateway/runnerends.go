package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Times of asking whether a runner still runs.
const (
	// livenessTime bounds one question: a runner that runs, or the machine of one that has
	// ended, answers a new connection within some milliseconds.
	livenessTime = 250 * time.Millisecond
	// livenessAsks is how often a runner is asked that gives no answer either way. One that
	// ended is back after a second or more.
	livenessAsks = 3
)

// toldContents bounds the contents in one line of the log.
const toldContents = 16

// runnerEnds notes what is at work at runners, and finds out whether a runner whose answer
// broke off has ended: a lost connection looks the same.
type runnerEnds struct {
	gateway *Gateway
	mutex   sync.Mutex
	work    *quarantine.RunTable
	// asking holds the runners that are being asked, each with what is closed after that.
	asking map[quarantine.Runner]chan struct{}
}

func newRunnerEnds(g *Gateway) *runnerEnds {
	return &runnerEnds{gateway: g, work: quarantine.NewRunTable(), asking: map[quarantine.Runner]chan struct{}{}}
}

func startOf(runner backend.Runner) quarantine.Runner {
	return quarantine.Runner{ID: runner.ID, Incarnation: runner.Incarnation}
}

// begin notes a request that is about to be sent.
func (e *runnerEnds) begin(now time.Time, runner backend.Runner, content quarantine.ContentID) *quarantine.Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.work.Begin(now, startOf(runner), content)
}

// end notes the end of a run.
func (e *runnerEnds) end(now time.Time, run *quarantine.Run, how quarantine.RunOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.work.End(now, run, how)
}

// check finds out whether the runner has ended, unless that is known, was to be expected or
// is being found out already. The channel is closed once that is known.
func (e *runnerEnds) check(runner backend.Runner) <-chan struct{} {
	// Requests begin under the gateway's mutex and take this one then, so the gateway's must
	// not be waited for under this one.
	start, expected := startOf(runner), e.expectedToRun(runner)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if done, found := e.asking[start]; found {
		return done
	}
	done := make(chan struct{})
	if e.work.HasCrashed(start) || !expected {
		close(done)
		return done
	}
	e.asking[start] = done
	e.gateway.spawn(func() {
		e.find(runner)
		e.mutex.Lock()
		delete(e.asking, start)
		e.mutex.Unlock()
		close(done)
	})
	return done
}

// expectedToRun tells whether the directory lists this start of the runner and it has not
// said that it leaves, there or in an answer: the end of one that leaves is planned.
func (e *runnerEnds) expectedToRun(runner backend.Runner) bool {
	g := e.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	listed, found := g.runners.Get(runner.ID)
	return found && listed.Incarnation == runner.Incarnation && g.runners.IsActive(runner.ID, listed.Service)
}

// find asks the runner and notes what that shows.
func (e *runnerEnds) find(runner backend.Runner) {
	asked := e.gateway.now()
	liveness := e.ask(runner)
	e.gateway.metrics.runnerChecks.WithLabelValues(runner.Service, liveness.String()).Inc()
	switch liveness {
	case RunnerRunning:
		e.mutex.Lock()
		e.work.RunnerAlive(asked, startOf(runner))
		e.mutex.Unlock()
	case RunnerEnded:
		e.noteEnded(runner)
	}
}

// noteEnded notes a runner that has ended.
func (e *runnerEnds) noteEnded(runner backend.Runner) {
	now := e.gateway.now()
	e.mutex.Lock()
	runs := e.work.RunnerCrashed(now, startOf(runner))
	e.mutex.Unlock()
	e.gateway.metrics.requestsAtRunnerEnd.WithLabelValues(runner.Service).Observe(float64(len(runs)))
	e.gateway.log.Log(events.RunnerEndDetected, events.Fields{
		"runner": runner.ID, "address": runner.Address, "service": runner.Service, "runs": len(runs), "contents": contentNames(runs),
	})
	e.gateway.suspects.runnerEnded(now, runs)
}

// ask asks the runner until it is known whether it runs, or livenessAsks times.
func (e *runnerEnds) ask(runner backend.Runner) RunnerLiveness {
	for range livenessAsks {
		ctx, cancel := context.WithTimeout(e.gateway.ctx, livenessTime)
		liveness := e.gateway.ports.Runners.Liveness(ctx, runner)
		cancel()
		if liveness != RunnerUnknown || e.gateway.ctx.Err() != nil {
			return liveness
		}
	}
	return RunnerUnknown
}

// atWork tells whether a run of the content is open.
func (e *runnerEnds) atWork(content quarantine.ContentID) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.work.HasOpenRun(content)
}

// sweep forgets runs that are over.
func (e *runnerEnds) sweep(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.work.Prune(now)
}

// contentNames lists the contents of runs for the log.
func contentNames(runs []*quarantine.Run) []string {
	var names []string
	for _, run := range runs[:min(len(runs), toldContents)] {
		names = append(names, run.Content.String())
	}
	return names
}
