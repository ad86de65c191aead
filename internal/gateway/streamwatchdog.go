package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/liveness"
)

// streamSilenceTimeout is how long a stream may be silent before its runner is probed. It is longer than a runner usually
// takes to load new weights.
const streamSilenceTimeout = 700 * time.Millisecond

// streamWatchdog ends a stream whose runner has ended without closing the connection, if the stream can continue elsewhere.
// When the stream is silent for too long, its runner is probed; silence alone does not end the stream, nor does it help to end
// a stream that nobody else can continue.
//
// Its timer runs beside the call, so it works on copies of what it needs of the call.
type streamWatchdog struct {
	gateway *Gateway
	runner  backend.Runner
	body    *httpconn.Body
	// backup is the runner with a copy of the run's state, and mayRetry tells whether the stream may be sent to any other
	// runner, which query chooses.
	backup   backend.Runner
	mayRetry bool
	query    backend.Query
	// forwards is set if the call may be forwarded to another router.
	forwards bool
	// stopped is closed when the stream has ended.
	stopped chan struct{}

	// mutex guards the fields below. timer is nil if the stream cannot continue elsewhere and is therefore not watched.
	mutex sync.Mutex
	timer *time.Timer
	// lastReadAt is when data last arrived.
	lastReadAt time.Time
	// bound is set once events were forwarded, after which the stream stays at its software version. hasEventID is set if
	// one of them had an ID.
	bound, hasEventID bool
	// end is how the watchdog has ended the stream.
	end watchdogEnd
}

// watchdogEnd is how a watchdog has ended a stream.
type watchdogEnd struct {
	// aborted is set if it has, and tookRetry if it withdrew a retry from the budget for that.
	aborted, tookRetry bool
	// silent are the runners that the stream should not continue at, because they do not answer.
	silent []string
}

// maxAlternatives is the number of other runners that are probed at a time before a stream leaves its runner for one of them.
const maxAlternatives = 3

// startWatchdog starts the watchdog of the stream that is read from body.
func (c *call) startWatchdog(body *httpconn.Body) *streamWatchdog {
	w := &streamWatchdog{
		gateway: c.gateway, runner: c.runner, body: body, backup: c.backup, mayRetry: c.attemptState.MayRetry(), query: c.query,
		forwards: !c.isForwarded(), stopped: make(chan struct{}),
	}
	w.query.Excluded = append(slices.Clone(c.attemptState.Excluded()), c.runner.ID)
	w.query.TargetVersion, w.query.Testing = "", false
	if w.backup.ID != "" || w.mayRetry {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.timer = time.AfterFunc(streamSilenceTimeout, w.check)
	}
	return w
}

// recordRead restarts the silence timeout after data has arrived.
func (w *streamWatchdog) recordRead() {
	w.gateway.silentRunners.heard(w.runner)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastReadAt = time.Now()
	if w.timer != nil {
		w.timer.Reset(streamSilenceTimeout)
	}
}

// recordEvents records that events were forwarded to the caller.
func (w *streamWatchdog) recordEvents(lastEvent string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bound, w.hasEventID = true, lastEvent != ""
}

// stop stops the watchdog. The result of a check in progress is ignored, because the connection may already be used by
// another request when the check ends. It returns how the watchdog has ended the stream.
func (w *streamWatchdog) stop() watchdogEnd {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
		close(w.stopped)
	}
	return w.end
}

// check ends the stream if its runner has ended and it can continue elsewhere, and otherwise restarts the timeout.
func (w *streamWatchdog) check() {
	startedAt := time.Now()
	check := w.gateway.silentRunners.check(w.runner, w.gateway.now().Add(-runningLifetime))
	select {
	case <-check.done:
	case <-w.stopped:
		return
	}
	var next alternative
	if check.hasEnded() {
		probedAt := time.Now()
		next = w.findAlternative()
		// What ended the silence of the others may have ended that of the stream's runner, too, which is probed again then.
		next.found = next.found && time.Since(probedAt) < liveness.ProbeTimeout
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.timer == nil || w.lastReadAt.After(startedAt):
		// The stream has ended, or data has arrived and restarted the timeout.
	case next.found && (next.isBackup || w.takeRetry()):
		w.end.aborted, w.end.silent = true, next.silent
		w.body.Abort()
	default:
		w.timer.Reset(streamSilenceTimeout)
	}
}

// alternative tells whether a stream can continue elsewhere.
type alternative struct {
	// found is set if it can, at another router or at a runner that answers, and isBackup if that runner has the copy.
	found, isBackup bool
	// silent are the runners that do not answer.
	silent []string
}

// findAlternative probes the runners at which the stream can continue.
func (w *streamWatchdog) findAlternative() (next alternative) {
	g, now := w.gateway, w.gateway.now()
	query, useBackup := w.continuation(now)
	if useBackup {
		next.isBackup = true
		next.found, _ = w.awaitAny([]backend.Runner{w.backup})
		return next
	}
	if !w.mayRetry {
		return next
	}
	if w.forwards && g.egress.bypassesService(query.Service) {
		next.found = g.egress.mayServe(query.Service)
		return next
	}
	g.mutex.Lock()
	runners := g.runners.AnyUsable(now, query, maxAlternatives, g.random)
	g.mutex.Unlock()
	next.found, next.silent = w.awaitAny(runners)
	next.silent = append(next.silent, g.silentRunners.ended(now)...)
	return next
}

// continuation returns the query for a runner at which the stream can continue, and whether it can at the one with the copy.
func (w *streamWatchdog) continuation(now time.Time) (query backend.Query, useBackup bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	query = w.query
	if w.bound {
		query.BoundVersion = cmp.Or(query.BoundVersion, w.runner.SoftwareVersion)
	}
	useBackup = w.backup.ID != "" && w.hasEventID && w.gateway.isBackupUsable(now, w.backup, query)
	query.Excluded = append(w.gateway.silentRunners.ended(now), query.Excluded...)
	return query, useBackup
}

// awaitAny waits until one of the runners answers, and returns those that do not. Without an answer it waits until all checks are over.
func (w *streamWatchdog) awaitAny(runners []backend.Runner) (answers bool, silent []string) {
	since := w.gateway.now().Add(-runningLifetime)
	results := make(chan bool, len(runners))
	checks := make([]*silentRunnerCheck, len(runners))
	for i, runner := range runners {
		check := w.gateway.silentRunners.check(runner, since)
		checks[i] = check
		w.gateway.spawn(func() {
			select {
			case <-check.done:
				results <- check.isRunning()
			case <-w.stopped:
				results <- false
			}
		})
	}
	for range runners {
		if answers = <-results; answers {
			break
		}
	}
	for _, check := range checks {
		select {
		case <-check.done:
			if check.isRunning() {
				continue
			}
		default:
		}
		silent = append(silent, check.runner.ID)
	}
	return answers, silent
}

// takeRetry withdraws a retry from the budget, and reports whether there was one. The mutex must be held.
func (w *streamWatchdog) takeRetry() bool {
	w.gateway.mutex.Lock()
	defer w.gateway.mutex.Unlock()
	w.end.tookRetry = w.gateway.retryBudget(w.query.Service).TryWithdraw()
	return w.end.tookRetry
}
