package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Causes for withdrawing a send that is not known to have started.
var (
	errWeightsExpired     = errors.New("weights expire before the request starts")
	errContentQuarantined = errors.New("content was quarantined before the request started")
)

// unstartedSend is a streaming request for a model that its runner is not known to have started.
type unstartedSend struct {
	runner string
	model  string
	// weightVersion is the version that the runner was known to have when the request was sent.
	weightVersion uint64
	run           *quarantine.Run
	cancel        context.CancelCauseFunc
}

// beginSend records a send for which the runner has to prefill the given number of prompt
// tokens. The gateway's mutex must be held since the runner was chosen, so that no withdrawal
// can occur in between.
func (c *call) beginSend(now time.Time, runner backend.Runner, prefillTokens int) {
	g := c.gateway
	c.currentSend = g.runners.BeginQuery(now, runner.ID, prefillTokens, c.query)
	if c.schedulerChoice != nil {
		g.runners.ReportedElsewhere(c.currentSend)
	}
	c.run = &quarantine.Run{Content: c.content, Parts: c.sharedParts, Credential: quarantine.CredentialHash(c.metadata.Key), Runner: incarnationOf(runner), Service: runner.Service, SentAt: now}
	g.crashDetector.begin(c.run)
	c.sendCtx, c.cancelSend = context.WithCancelCause(c.ctx)
	c.unstarted, c.sendOpen = nil, true
	if !c.isStartObservable() {
		return
	}
	c.unstarted = &unstartedSend{runner: runner.ID, model: c.query.Model, weightVersion: c.weightVersion, run: c.run, cancel: c.cancelSend}
	g.unstartedSends[c.unstarted] = struct{}{}
}

// isStartObservable reports whether the send starts a run on a model's weights and its response
// shows when the run starts. The headers of a non-streaming response arrive only at the end of
// the run, and a run that continues from a copy started earlier.
func (c *call) isStartObservable() bool {
	return c.query.Model != "" && c.route.Kind == routing.Streaming && !c.continuing
}

// preventWithdrawal makes the send no longer eligible for withdrawal, because it has started or
// ended. The gateway's mutex must be held.
func (c *call) preventWithdrawal() {
	if c.unstarted != nil {
		delete(c.gateway.unstartedSends, c.unstarted)
	}
}

// releaseSendContext releases the send's context. It must be called after the response body is
// closed, because canceling the context earlier closes the connection.
func (c *call) releaseSendContext() { c.cancelSend(nil) }

// withdrawExpiredSends closes the connections of the model's streaming requests that wait on
// runners whose weights may no longer be used for new runs. The start of a request is only
// estimated when it is sent, so only this withdrawal enforces the deadline of the weights. One
// timer per named version covers requests sent before and after the naming.
func (g *Gateway) withdrawExpiredSends(now time.Time, model string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for send := range g.unstartedSends {
		if send.model == model && !g.runners.MayBegin(now, send.runner, model, send.weightVersion) {
			delete(g.unstartedSends, send)
			send.cancel(errWeightsExpired)
		}
	}
}

// withdrawQuarantinedSends closes the connections of streaming requests with the subject that
// wait on runners, because each of them would crash its runner, too. A request that has
// started without the router knowing it may still do so.
func (g *Gateway) withdrawQuarantinedSends(subject quarantine.Subject) {
	for _, send := range g.unstartedSendsOf(subject) {
		if g.suspects.verdict(g.now(), send.run.Request()).State != quarantine.Quarantined {
			continue
		}
		g.mutex.Lock()
		_, waits := g.unstartedSends[send]
		delete(g.unstartedSends, send)
		g.mutex.Unlock()
		if waits {
			send.cancel(errContentQuarantined)
		}
	}
}

// unstartedSendsOf returns the sends with the subject that wait on runners.
func (g *Gateway) unstartedSendsOf(subject quarantine.Subject) (sends []*unstartedSend) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for send := range g.unstartedSends {
		if send.run.Includes(subject) {
			sends = append(sends, send)
		}
	}
	return sends
}

// isWithdrawn reports whether the send was withdrawn.
func (c *call) isWithdrawn() bool {
	cause := context.Cause(c.sendCtx)
	return errors.Is(cause, errWeightsExpired) || errors.Is(cause, errContentQuarantined)
}

// handleWithdrawn handles an attempt that was withdrawn. The runner may nevertheless have started
// the request.
func (c *call) handleWithdrawn(unwritten notrun.Proof) attempt.Action {
	c.endAttempt(backend.Abandoned, quarantine.Canceled, context.Cause(c.sendCtx).Error(), 0)
	if unwritten.Holds() {
		return c.attemptState.NotSent(unwritten)
	}
	return c.connectionLost()
}
