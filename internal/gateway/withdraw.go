package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// errWithdrawn is why a send ends whose weights expire, and errQuarantined why one ends
// whose content is quarantined, both before it is seen to begin.
var (
	errWithdrawn   = errors.New("its weights expire before it begins")
	errQuarantined = errors.New("its content was quarantined before it began")
)

// unbegunSend is a stream of a model that its runner has not been seen to begin.
type unbegunSend struct {
	runner string
	model  string
	// weights is the version that the runner was known to have at the send.
	weights uint64
	content quarantine.ContentID
	cancel  context.CancelCauseFunc
}

// beginSend notes a send with the prompt tokens that the runner has to read. The
// gateway's mutex is held, so that no withdrawal falls between choice and send.
func (c *call) beginSend(now time.Time, runner backend.Runner, tokens int) {
	g := c.gateway
	c.open = g.runners.BeginQuery(now, runner.ID, tokens, c.query)
	c.run = g.endedRunners.begin(now, runner, c.content)
	c.sendCtx, c.unbegun = c.ctx, nil
	if !c.beginIsSeen() {
		return
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.sendCtx = ctx
	c.unbegun = &unbegunSend{runner: runner.ID, model: c.query.Model, weights: c.weights, content: c.content, cancel: cancel}
	g.pendingSends[c.unbegun] = struct{}{}
}

// beginIsSeen tells whether the send is one that begins on a model's weights, and whose
// answer shows when. The head of a whole answer comes with its end, and a run that goes on
// from its copy began before.
func (c *call) beginIsSeen() bool {
	return c.query.Model != "" && c.route.Kind == routing.Streaming && !c.continuing
}

// barWithdrawal keeps the send from being withdrawn: it has begun, or ended. The
// gateway's mutex is held.
func (c *call) barWithdrawal() {
	if c.unbegun != nil {
		delete(c.gateway.pendingSends, c.unbegun)
	}
}

// releaseSend frees what the send holds. It comes after the answer's body is closed,
// as it would close the connection otherwise.
func (c *call) releaseSend() {
	if c.unbegun != nil {
		c.unbegun.cancel(nil)
	}
}

// withdrawUnbegun ends the connections of the model's streams that wait at runners
// whose weights must not begin them. When a request begins is only estimated at the
// send, so this alone bounds it; one timer of a named version covers requests sent
// before and after it was named.
func (g *Gateway) withdrawUnbegun(now time.Time, model string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for send := range g.pendingSends {
		if send.model == model && !g.runners.MayBegin(now, send.runner, model, send.weights) {
			delete(g.pendingSends, send)
			send.cancel(errWithdrawn)
		}
	}
}

// withdrawContent ends the connections of streams of the content that wait at runners: each
// would end its runner, too. One that has begun unseen does so in any case.
func (g *Gateway) withdrawContent(content quarantine.ContentID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for send := range g.pendingSends {
		if send.content == content {
			delete(g.pendingSends, send)
			send.cancel(errQuarantined)
		}
	}
}

// withdrawn tells whether the send was ended before it was seen to begin.
func (c *call) withdrawn() bool {
	cause := context.Cause(c.sendCtx)
	return errors.Is(cause, errWithdrawn) || errors.Is(cause, errQuarantined)
}

// endWithdrawn takes a send whose connection was ended before the runner was seen to
// begin: it may have begun all the same.
func (c *call) endWithdrawn(notSent bool) attempt.Action {
	c.end(backend.Abandoned, quarantine.Canceled, context.Cause(c.sendCtx).Error(), 0)
	if notSent {
		return c.request.NotSent()
	}
	return c.lost()
}
