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

// Times of noticing that a runner has ended in the middle of a stream.
const (
	// streamSilence is how long a stream may be silent before its runner is asked
	// whether it still runs; longer than the loading of new weights mostly takes.
	streamSilence = 700 * time.Millisecond
	// aliveTime bounds one such question, and aliveAsks how many must fail.
	aliveTime = 250 * time.Millisecond
	aliveAsks = 2
)

// pickBackup chooses where the run's memory is copied to, for streams that
// could not go on elsewhere otherwise. The gateway's mutex is held.
func (c *call) pickBackup(now time.Time, runner backend.Runner) {
	c.backup = backend.Runner{}
	service := c.view.table.Service(c.service)
	if !c.gateway.settings.CopyRuns || c.route.Kind != routing.Streaming || c.route.Resumable {
		return
	}
	if service == nil || service.Engine == nil || !service.Engine.CacheBackups {
		return
	}
	if backup, found := c.gateway.runners.Backup(now, runner.ID, c.facts.Model); found {
		c.backup = backup
	}
}

// takeCopy sends the call on to the runner that holds the copy.
func (c *call) takeCopy() (backend.Runner, *refusal) {
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	runner := *c.copyAt
	c.copyAt, c.backup, c.continuing = nil, backend.Runner{}, true
	c.ended.Store(false)
	c.beginSend(c.gateway.now(), runner, 0)
	c.note(events.StreamContinued, events.Fields{"from": c.runner.ID, "runner": runner.ID, "last_event": c.stream.lastEvent, "copy": true})
	return runner, nil
}

// fromCopy decides whether a stream that broke off goes on from the copy of its
// run: if there is one, its runner has ended, and the one with the copy may be used.
func (c *call) fromCopy() bool {
	if c.backup.ID == "" || c.stream == nil || c.stream.lastEvent == "" || c.ctx.Err() != nil {
		return false
	}
	if !c.ended.Load() && !c.runnerEnded(c.runner) {
		return false
	}
	if !c.copyUsable(c.gateway.now()) {
		return false
	}
	backup := c.backup
	c.copyAt = &backup
	return true
}

// copyUsable tells whether the runner with the copy may get the request. It was chosen
// when the stream was sent, and may leave, be gone or have expired weights by now.
func (c *call) copyUsable(now time.Time) bool {
	query := c.query
	// What the copy holds is not read again.
	query.PromptTokens = 0
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	holder, listed := c.gateway.runners.Get(c.backup.ID)
	if !listed || holder.Incarnation != c.backup.Incarnation {
		// The copy ended with the incarnation that held it.
		return false
	}
	return c.gateway.runners.Usable(now, c.backup.ID, query, backpressure.Permit{})
}

// runnerEnded tells whether the runner cannot be reached or is another process by now.
func (c *call) runnerEnded(runner backend.Runner) bool {
	for range aliveAsks {
		ctx, cancel := context.WithTimeout(c.ctx, aliveTime)
		_, err := c.gateway.ports.Runners.Report(ctx, runner)
		cancel()
		if err == nil || c.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// silenceWatch ends a stream whose runner has ended without a word, if the
// stream can go on elsewhere; silence alone is no reason.
type silenceWatch struct {
	call *call
	// runner is kept apart, as the call may be at another one while this one is asked.
	runner backend.Runner
	body   *httpconn.Body
	// mutex guards what follows. timer is nil for streams that are not watched.
	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (c *call) watchSilence(body *httpconn.Body) *silenceWatch {
	w := &silenceWatch{call: c, runner: c.runner, body: body}
	if c.backup.ID != "" || c.request.MayRetry() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.timer = time.AfterFunc(streamSilence, w.ask)
	}
	return w
}

func (w *silenceWatch) heard() {
	if w.timer != nil {
		w.timer.Reset(streamSilence)
	}
}

// stop ends the watch. A question that is under way has no effect any more: the
// connection may carry another request when it is answered.
func (w *silenceWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *silenceWatch) ask() {
	ended := w.call.runnerEnded(w.runner)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.stopped:
	case ended:
		w.call.ended.Store(true)
		w.body.Abort()
	default:
		w.timer.Reset(streamSilence)
	}
}
