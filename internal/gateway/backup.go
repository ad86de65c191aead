package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Limits for detecting that a runner has terminated in the middle of a stream.
const (
	// streamSilenceTimeout is how long a stream may be silent before its runner is probed. It is
	// longer than a runner usually takes to load new weights.
	streamSilenceTimeout = 700 * time.Millisecond
	// reportProbeTimeout is the timeout of one probe, and reportProbeAttempts the number of
	// consecutive probes that must fail for the runner to count as gone. A sound runner may be silent for
	// a second or more.
	reportProbeTimeout  = 250 * time.Millisecond
	reportProbeAttempts = 4
)

// chooseBackup chooses the runner to which the state of the run is copied. Only streams that
// cannot be resumed on another runner in any other way are copied. The gateway's mutex must be
// held.
func (c *call) chooseBackup(now time.Time, runner backend.Runner) {
	c.backup = backend.Runner{}
	service := c.config.table.Service(c.service)
	if !c.gateway.settings.CopyRuns || c.route.Kind != routing.Streaming || c.route.Resumable {
		return
	}
	if service == nil || service.Engine == nil || !service.Engine.CacheBackups {
		return
	}
	if backup, found := c.gateway.runners.Backup(now, runner.ID, c.metadata.Model); found {
		c.backup = backup
	}
}

// continueOnBackup selects the runner with the copy of the run's state for the next attempt.
func (c *call) continueOnBackup() (backend.Runner, *refusal) {
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	runner := *c.continueAt
	c.continueAt, c.backup, c.continuing = nil, backend.Runner{}, true
	c.runnerGone.Store(false)
	c.beginSend(c.gateway.now(), runner, 0)
	c.bufferLog(events.StreamContinued, events.Fields{"from": c.runner.ID, "software": c.runner.SoftwareVersion, "runner": runner.ID, "last_event": c.stream.lastEvent, "copy": true})
	return runner, nil
}

// prepareContinuation reports whether an interrupted stream continues from the copy of its
// run's state, and if so sets continueAt. It does if there is a copy, the stream's runner is
// gone, and the runner with the copy may be used.
func (c *call) prepareContinuation() bool {
	if c.backup.ID == "" || c.stream == nil || c.stream.lastEvent == "" || c.ctx.Err() != nil {
		return false
	}
	if !c.runnerGone.Load() && !c.isRunnerGone(c.runner) {
		return false
	}
	if !c.isBackupUsable(c.gateway.now()) {
		return false
	}
	backup := c.backup
	c.continueAt = &backup
	return true
}

// isBackupUsable reports whether the runner with the copy may get the request. It was chosen
// when the stream was sent, and may since have started to drain, have been removed or have
// expired weights.
func (c *call) isBackupUsable(now time.Time) bool {
	query := c.query
	// The copy already includes the prompt, so there is nothing to prefill.
	query.PromptTokens = 0
	query.BoundVersion = c.boundVersion
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	listedRunner, listed := c.gateway.runners.Get(c.backup.ID)
	if !listed || listedRunner.Incarnation != c.backup.Incarnation {
		// The copy was lost when the runner restarted.
		return false
	}
	return c.gateway.runners.Usable(now, c.backup.ID, query, backpressure.Permit{})
}

// isRunnerGone reports whether the runner cannot be reached or has been replaced by another
// process.
func (c *call) isRunnerGone(runner backend.Runner) bool {
	startedAt := c.gateway.now()
	var failures []string
	gone := true
	for range reportProbeAttempts {
		ctx, cancel := context.WithTimeout(c.ctx, reportProbeTimeout)
		_, err := c.gateway.ports.Runners.Report(ctx, runner)
		cancel()
		if err == nil || c.ctx.Err() != nil {
			gone = false
			break
		}
		failures = append(failures, err.Error())
	}
	if len(failures) > 0 {
		c.gateway.log.Log(events.SilentRunnerProbed, events.Fields{
			"request": c.metadata.ID, "runner": runner.ID, "address": runner.Address, "gone": gone, "failures": failures,
			"after_ms": c.gateway.since(startedAt).Milliseconds(),
		})
	}
	return gone
}

// streamWatchdog aborts a stream whose runner has terminated without closing the connection,
// if the stream can continue on another runner. When the stream is silent for too long, the
// watchdog probes the runner; silence alone does not abort the stream.
type streamWatchdog struct {
	call *call
	// runner is a copy of call.runner, which may change during a probe.
	runner backend.Runner
	body   *httpconn.Body
	// mutex guards the fields below. timer is nil if the stream cannot continue on another
	// runner and is therefore not watched.
	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startWatchdog starts the watchdog of the stream that is read from body.
func (c *call) startWatchdog(body *httpconn.Body) *streamWatchdog {
	w := &streamWatchdog{call: c, runner: c.runner, body: body}
	if c.backup.ID != "" || c.attemptState.MayRetry() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.timer = time.AfterFunc(streamSilenceTimeout, w.probe)
	}
	return w
}

// reset restarts the silence timeout after data has arrived.
func (w *streamWatchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(streamSilenceTimeout)
	}
}

// stop stops the watchdog. The result of a probe in progress is ignored, because the
// connection may already be used by another request when the probe ends.
func (w *streamWatchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// probe aborts the stream if its runner is gone, and otherwise restarts the timeout.
func (w *streamWatchdog) probe() {
	gone := w.call.isRunnerGone(w.runner)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.stopped:
	case gone:
		w.call.runnerGone.Store(true)
		w.body.Abort()
	default:
		w.timer.Reset(streamSilenceTimeout)
	}
}
