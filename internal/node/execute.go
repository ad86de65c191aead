package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/claim"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timeouts after which an output stream without frames counts as lost.
const (
	// startedStreamTimeout applies after each frame.
	startedStreamTimeout = 2 * time.Second
	// queuedStreamTimeout applies until the first frame. It starts again instead of ending the
	// stream while the request is queued at its engine, the engine is still the same process and
	// the router that reads its events is connected to it.
	queuedStreamTimeout = 2 * time.Second
)

// execution runs one request: claim, placement, dispatch, relaying and retries.
type execution struct {
	node *Node
	// request is the validated request, and state the state machine of its attempts.
	request    *completionRequest
	state      *attempt.Request
	sink       responseSink
	receivedAt time.Time

	// weightVersion is the version of the weights for the current attempt. The salt, family and
	// anchors depend on it.
	weightVersion string
	salt          prefix.Salt
	family        uint64
	anchors       []*wire.IndexEntry

	// address and incarnation identify the engine process of the current attempt.
	address     string
	incarnation uint64
	// generated is the relayed output as the content of a JSON string, without quotes. It is kept
	// to continue on another engine and to write a response that is not streamed.
	generated []byte
	// engineStarted is set when the current engine has started to process the prompt.
	engineStarted atomic.Bool
	responseBegun bool
	// reportedCachedTokens is the number of cached prompt tokens that the engine of the first
	// attempt reported, or the first number above 0 of a later one.
	reportedCachedTokens int
	// failure is the error for the caller if the last placement failed. It is nil if the outcome
	// of the last attempt decides.
	failure *apiError
}

// execute runs the request and writes the response.
func (n *Node) execute(writer http.ResponseWriter, httpRequest *http.Request, c *completionRequest) {
	ctx, cancel := context.WithTimeout(httpRequest.Context(), c.timeout)
	defer cancel()
	x := &execution{
		node: n, request: c, state: attempt.NewRequest(c.repeatable, attempt.DefaultLimits()),
		sink: newResponseSink(writer, c), receivedAt: time.Now(),
	}
	if !c.repeatable {
		if failure := x.acquireClaim(ctx); failure != nil {
			x.fail(failure)
			return
		}
	}
	x.runAttempts(ctx)
}

// acquireClaim claims the key of an unrepeatable request, so that no other attempt with the same
// key runs. It returns an error if the claim was not granted.
func (x *execution) acquireClaim(ctx context.Context) *apiError {
	attemptID := fmt.Sprintf("%s/%d/%s", x.node.settings.Node, x.node.incarnation, x.request.id)
	key := x.request.tenant.Name + "/" + x.request.idempotencyKey
	decision, reason := x.node.claimKey(ctx, key, x.request.issuedAt, attemptID)
	x.node.metrics.claims.WithLabelValues(reason.String()).Inc()
	if decision == claim.Won {
		return nil
	}
	// This request did not run, but an earlier one with the same key may have run.
	failure := &apiError{status: http.StatusServiceUnavailable, code: codeClaimRefused, runState: attempt.Unknown, retryAfter: time.Second}
	switch decision {
	case claim.Duplicate:
		failure.status, failure.code = http.StatusConflict, codeDuplicateRequest
		failure.message = "a request with this key was taken before; whether it has run is not known here"
		failure.retryAfter = 0
	case claim.Refused:
		failure.status = http.StatusConflict
		failure.message = "the key cannot be shown to be new: " + reason.String()
		failure.retryAfter = 0
	default:
		failure.message = "too few claim holders answered; whether an earlier request with this key has run is not known"
	}
	return failure
}

// runAttempts dispatches and resumes attempts until the outcome of the request is final.
func (x *execution) runAttempts(ctx context.Context) {
	next := attempt.Dispatch
	for next != attempt.Stop {
		if ctx.Err() != nil {
			x.abort(ctx)
			return
		}
		if x.state.Attempt() > 0 && next == attempt.Dispatch && !x.withdrawRetry() {
			break
		}
		if next == attempt.Resume {
			next = x.resume(ctx)
		} else {
			next = x.dispatch(ctx)
		}
	}
	if x.state.Phase() == attempt.Complete {
		x.node.metrics.countRequest("complete", "complete")
		return
	}
	if ctx.Err() != nil {
		x.abort(ctx)
		return
	}
	x.state.Fail()
	if x.failure == nil {
		x.failure = &apiError{status: http.StatusBadGateway, code: codeEngineFailed, message: "the engine failed and the request could not be continued elsewhere", retryAfter: time.Second}
	}
	x.failure.runState = x.state.RunState()
	x.fail(x.failure)
}

// withdrawRetry takes one retry from the router's retry budget and reports whether one was
// available.
func (x *execution) withdrawRetry() bool {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	return x.node.retryBudget.TryWithdraw()
}

// abort ends a request whose caller has disconnected or whose deadline has passed.
func (x *execution) abort(ctx context.Context) {
	if x.address != "" {
		x.node.cancelAttempt(x.address, x.request.id, x.state.Attempt())
	}
	x.state.Fail()
	failure := &apiError{status: http.StatusGatewayTimeout, code: codeDeadlineExceeded, message: "the deadline passed before the answer was complete", runState: x.state.RunState(), retryAfter: time.Second}
	if errors.Is(ctx.Err(), context.Canceled) {
		failure.message = "the caller has gone"
	}
	x.fail(failure)
}

// fail counts and logs the failed request and writes the error to the caller.
func (x *execution) fail(failure *apiError) {
	x.node.metrics.countRequest(failure.code, string(failure.runState))
	x.node.log.Log(events.RequestFailed, events.Fields{
		"request": x.request.id, "tenant": x.request.tenant.Name, "code": failure.code, "run_state": failure.runState,
		"attempts": x.state.Attempt(), "offset": x.state.Offset(), "reason": failure.message,
	})
	x.sink.fail(failure)
}

// selectWeightVersion sets the weight version of the next attempt. Once output has been relayed
// the version cannot change, because a response must not mix output of different weights.
func (x *execution) selectWeightVersion() {
	if x.state.Offset() > 0 {
		return
	}
	n := x.node
	snapshot := n.snapshot.Load()
	model := snapshot.Models[x.request.model]
	if model == nil {
		return
	}
	var runners []string
	for _, runner := range snapshot.RunnersByPool[model.Pool] {
		runners = append(runners, runner.Name)
	}
	n.mutex.Lock()
	version := n.control.Fleet().ActiveVersion(x.request.model, model.WeightVersion, runners)
	n.mutex.Unlock()
	pool := snapshot.Pools[model.Pool]
	if version == x.weightVersion || pool == nil {
		return
	}
	x.weightVersion = version
	x.salt = prefix.Scope{Tenant: x.request.tenant.Name, Model: x.request.model, Adapter: x.request.adapter, WeightVersion: version}.Salt()
	chain := prefix.NewChain(x.salt, x.request.prompt, pool.BlockBytes)
	x.family = chain.Family(x.salt)
	x.anchors = anchorsToWire(chain.Anchors(pool.AnchorStride))
}

// excludedRunners returns the ejected runners and those that refused or failed this request.
func (x *execution) excludedRunners() []string {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	return append(x.node.ejector.Ejected(time.Now()), x.state.Excluded()...)
}

func (x *execution) newPlaceRequest() *wire.PlaceRequest {
	return &wire.PlaceRequest{
		Request: x.request.id, Pool: x.request.pool, Model: x.request.model, Adapter: x.request.adapter, WeightVersion: x.weightVersion,
		Family: x.family, Anchors: x.anchors, Ticket: prefix.PromptDigest(x.salt, x.request.prompt),
		PromptTokens: uint32(x.request.promptTokens + x.state.Offset()), MaxTokens: uint32(x.request.maxTokens),
		Priority: uint32(x.request.tenant.Tier.Priority), MaxWaitMillis: uint32(x.node.maxWait(x.request).Milliseconds()),
		Excluded: x.excludedRunners(),
	}
}

// dispatch places the request, sends one attempt to the chosen runner and relays its output.
func (x *execution) dispatch(ctx context.Context) attempt.Action {
	n := x.node
	x.selectWeightVersion()
	response := n.place(ctx, x.newPlaceRequest())
	if response.GetRefused() {
		x.recordRefusal(response)
		return attempt.Stop
	}
	snapshot := n.snapshot.Load()
	runner, pool := snapshot.Runners[response.GetRunner()], snapshot.Pools[x.request.pool]
	if runner == nil || pool == nil {
		x.failure = &apiError{status: http.StatusServiceUnavailable, code: codeNoRunner, message: "the runner was just removed", retryAfter: time.Second}
		return attempt.Stop
	}
	x.address, x.incarnation = runner.Spec.Address, response.GetIncarnation()
	x.engineStarted.Store(false)
	attemptNumber := x.state.BeginDispatch(response.GetRunner())
	if attemptNumber > 1 {
		n.log.Log(events.RequestRetried, events.Fields{"request": x.request.id, "runner": response.GetRunner(), "attempt": attemptNumber, "offset": x.state.Offset()})
	}
	n.metrics.attempts.Inc()
	stream, err := n.engines.Generate(ctx, x.address, x.newGenerateRequest(attemptNumber, pool.BlockBytes))
	if err != nil {
		return x.handleDispatchError(ctx, err)
	}
	x.state.MarkAccepted()
	return x.relay(ctx, stream)
}

// recordRefusal sets the failure for a request that was refused by placement.
func (x *execution) recordRefusal(response *wire.PlaceResponse) {
	x.failure = &apiError{
		status: http.StatusServiceUnavailable, code: codeOverloaded, message: response.GetReason(),
		retryAfter: time.Duration(response.GetRetryAfterMillis()) * time.Millisecond,
	}
	if response.GetNoRunner() {
		x.failure.code = codeNoRunner
	}
}

func (x *execution) newGenerateRequest(attemptNumber uint32, blockBytes int) *engineapi.GenerateRequest {
	return &engineapi.GenerateRequest{
		Request: x.request.id, Attempt: attemptNumber, Incarnation: x.incarnation,
		Model: x.request.model, Adapter: x.request.adapter, WeightVersion: x.weightVersion,
		CacheSalt: string(x.salt), BlockBytes: blockBytes, Prompt: x.request.prompt,
		Generated: unescapeJSON(x.generated), GeneratedTokens: x.state.Offset(), MaxTokens: x.request.maxTokens,
		Priority: x.request.tenant.Tier.Priority, DeadlineMillis: x.request.timeout.Milliseconds(),
		Format: x.request.format, ID: x.request.id, Created: x.request.created, DisplayModel: x.request.displayModel,
	}
}

// handleDispatchError records a dispatch that returned no stream, depending on whether the attempt
// was refused, was not sent or may be running.
func (x *execution) handleDispatchError(ctx context.Context, err error) attempt.Action {
	var refusal *engineapi.RefusedError
	switch {
	case errors.As(err, &refusal) && refusal.Refusal.Code == engineapi.CodeDuplicateAttempt:
		return x.state.ConnectionLost()
	case errors.As(err, &refusal):
		x.reportRejection(refusal.Refusal.Code == engineapi.CodeDraining)
		return x.state.Reject(refusal.Proof(notrun.Rejected))
	case errors.Is(err, engineapi.ErrNotConnected):
		x.reportRejection(false)
		x.ejectRunner()
		return x.state.NotSent(engineapi.Unwritten(err))
	}
	if ctx.Err() != nil {
		return attempt.Stop
	}
	x.ejectRunner()
	return x.state.ConnectionLost()
}

// ejectRunner excludes the current runner from this router's placements for a while.
func (x *execution) ejectRunner() {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	x.node.ejector.RecordFailure(time.Now(), x.state.Runner(), x.incarnation)
}

// reportRejection reports to the index owner that the runner did not run the attempt.
func (x *execution) reportRejection(draining bool) {
	x.node.reportPlaceResult(&wire.PlaceResult{
		Request: x.request.id, Runner: x.state.Runner(), Incarnation: x.incarnation,
		Family: x.family, Anchors: x.anchors, Rejected: true, Draining: draining,
	})
}

// resume requests the rest of the stream from the engine process of the current attempt. Only that
// process can prove that it never received the attempt.
func (x *execution) resume(ctx context.Context) attempt.Action {
	n := x.node
	n.log.Log(events.RequestResumed, events.Fields{"request": x.request.id, "runner": x.state.Runner(), "offset": x.state.Offset()})
	stream, err := n.engines.Resume(ctx, x.address, &engineapi.ResumeRequest{
		Request: x.request.id, Attempt: x.state.Attempt(), Incarnation: x.incarnation, Offset: x.state.Offset(),
	})
	if err == nil {
		x.state.MarkAccepted()
		return x.relay(ctx, stream)
	}
	if ctx.Err() != nil {
		return attempt.Stop
	}
	x.ejectRunner()
	var refusal *engineapi.RefusedError
	if errors.As(err, &refusal) && refusal.Refusal.Code == engineapi.CodeNeverSeenAndBarred {
		return x.state.NeverSeen(refusal.Proof(notrun.Barred))
	}
	// The stream is lost because the process has ended, was replaced or cannot be reached. If it
	// still runs behind a network partition, the cancellation stops work that nobody reads.
	n.cancelAttempt(x.address, x.request.id, x.state.Attempt())
	return x.state.RunnerGone()
}

// recordStart records that the engine has started to process the prompt, and reports its load and
// its number of cached tokens to the index owner.
func (x *execution) recordStart(start engineapi.StartData) {
	x.engineStarted.Store(true)
	if x.state.Attempt() == 1 || x.reportedCachedTokens == 0 {
		x.reportedCachedTokens = start.CachedTokens
	}
	x.node.admissionMutex.Lock()
	x.node.ejector.RecordSuccess(x.state.Runner())
	x.node.admissionMutex.Unlock()
	x.node.metrics.countPromptTokens(x.request.promptTokens, start.CachedTokens)
	x.node.reportPlaceResult(&wire.PlaceResult{
		Request: x.request.id, Runner: x.state.Runner(), Incarnation: x.incarnation, Family: x.family, Anchors: x.anchors,
		CachedTokens: uint32(start.CachedTokens), Load: control.LoadToWire(loadFromEngine(start.Load)),
	})
}
