package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/httpconn"
)

// streamSilenceTimeout is how long a stream may be silent before its runner is probed. It is longer than a runner usually
// takes to load new weights.
const streamSilenceTimeout = 700 * time.Millisecond

// streamWatchdog ends a stream whose runner has ended without closing the connection, if the stream can continue elsewhere.
// When the stream is silent for too long, its runner is probed; silence alone does not end the stream, nor does it help to end
// a stream that nobody else can continue.
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
	// aborted is set if the watchdog has ended the stream, and tookRetry if it withdrew a retry from the budget for that.
	aborted, tookRetry bool
}

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
// another request when the check ends. It reports whether the watchdog has ended the stream, and whether it took a retry.
func (w *streamWatchdog) stop() (aborted, tookRetry bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
		close(w.stopped)
	}
	return w.aborted, w.tookRetry
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
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.timer == nil || w.lastReadAt.After(startedAt):
		// The stream has ended, or data has arrived and restarted the timeout.
	case check.hasEnded() && w.prepareContinuation():
		w.aborted = true
		w.body.Abort()
	default:
		w.timer.Reset(streamSilenceTimeout)
	}
}

// prepareContinuation reports whether the stream can continue elsewhere if it is ended now, and withdraws the retry that this
// takes. The mutex must be held.
func (w *streamWatchdog) prepareContinuation() bool {
	g, now := w.gateway, w.gateway.now()
	query := w.query
	if w.bound {
		query.BoundVersion = cmp.Or(query.BoundVersion, w.runner.SoftwareVersion)
	}
	if w.backup.ID != "" && w.hasEventID && g.isBackupUsable(now, w.backup, query) {
		return true
	}
	if !w.mayRetry {
		return false
	}
	query.Excluded = append(g.silentRunners.ended(now), query.Excluded...)
	isForwarded := w.forwards && g.egress.bypassesService(query.Service)
	if isForwarded && !g.egress.mayServe(query.Service) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !isForwarded && !g.runners.HasUsable(now, query) {
		return false
	}
	w.tookRetry = g.retryBudget(query.Service).TryWithdraw()
	return w.tookRetry
}
