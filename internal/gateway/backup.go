package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
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
	c.beginSend(c.gateway.now(), runner, 0)
	c.bufferLog(events.StreamContinued, events.Fields{"from": c.runner.ID, "software": c.runner.SoftwareVersion, "runner": runner.ID, "last_event": c.stream.lastEvent, "copy": true})
	return runner, nil
}

// prepareContinuation reports whether an interrupted stream continues from the copy of its
// run's state, and if so sets continueAt. It does if there is a copy, the stream's runner is
// gone, and the runner with the copy may be used. runnerEnded is set if the runner is known to be gone.
func (c *call) prepareContinuation(runnerEnded bool) bool {
	if c.backup.ID == "" || c.stream == nil || c.stream.lastEvent == "" || c.ctx.Err() != nil {
		return false
	}
	if !runnerEnded && !c.gateway.silentRunners.hasEnded(c.ctx, c.runner) {
		return false
	}
	if !c.isCopyOfItsWeights() {
		return false
	}
	query := c.query
	query.BoundVersion = c.boundVersion()
	if !c.gateway.isBackupUsable(c.gateway.now(), c.backup, query) {
		return false
	}
	backup := c.backup
	c.continueAt = &backup
	return true
}

// isCopyOfItsWeights reports whether the copy was made under the weights with which the run began. A runner that takes newer
// weights goes on under these, and its copy then has state of both.
func (c *call) isCopyOfItsWeights() bool {
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	return c.shareableWeights(c.gateway.now()).AreNewest()
}

// isBackupUsable reports whether the runner with the copy may get the request. It was chosen
// when the stream was sent, and may since have started to drain, have been removed or have
// expired weights.
func (g *Gateway) isBackupUsable(now time.Time, backup backend.Runner, query backend.Query) bool {
	// The copy already includes the prompt, so there is nothing to prefill.
	query.PromptTokens = 0
	g.mutex.Lock()
	defer g.mutex.Unlock()
	listedRunner, listed := g.runners.Get(backup.ID)
	if !listed || listedRunner.Incarnation != backup.Incarnation {
		// The copy was lost when the runner restarted.
		return false
	}
	return g.runners.Usable(now, backup.ID, query, backpressure.Permit{})
}
