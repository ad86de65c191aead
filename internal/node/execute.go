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
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Silences after which a stream is taken for lost.
const (
	// startedSilence is for a stream whose engine has begun to compute.
	startedSilence = 2 * time.Second
	// queuedSilence is how often a queued request checks that its engine is
	// still the same process and connected to its home.
	queuedSilence = 2 * time.Second
)

// execution carries one call through claim, placement, dispatch and relay.
type execution struct {
	node    *Node
	call    *call
	request *attempt.Request
	sink    sink
	arrived time.Time

	// version is the weight version of the current attempt; family, salt and
	// anchors belong to it.
	version string
	salt    prefix.Salt
	family  uint64
	anchors []*wire.IndexEntry

	// address and incarnation are the engine process of the current attempt.
	address     string
	incarnation uint64
	// generated is the relayed output as escaped JSON text, kept to continue on
	// another engine or to answer as a whole.
	generated []byte
	// begun is true once the current engine has begun to compute.
	begun     atomic.Bool
	firstSent bool
	cached    int
	// failure is set when the request ends without an attempt's own outcome.
	failure *apiError
}

// execute runs the call and answers the caller.
func (n *Node) execute(writer http.ResponseWriter, request *http.Request, c *call) {
	ctx, cancel := context.WithTimeout(request.Context(), c.deadline)
	defer cancel()
	x := &execution{
		node: n, call: c, request: attempt.NewRequest(c.repeatable, attempt.DefaultLimits()),
		sink: newSink(writer, c), arrived: time.Now(),
	}
	if !c.repeatable {
		if failure := x.takeClaim(ctx); failure != nil {
			x.fail(failure)
			return
		}
	}
	x.run(ctx)
}

// takeClaim makes sure that no other attempt runs the request's key.
func (x *execution) takeClaim(ctx context.Context) *apiError {
	owner := fmt.Sprintf("%s/%d/%s", x.node.settings.Node, x.node.incarnation, x.call.id)
	key := x.call.tenant.Name + "/" + x.call.key
	decision, reason := x.node.claim(ctx, key, x.call.issued, owner)
	x.node.metrics.claims.WithLabelValues(reason.String()).Inc()
	if decision == claim.Won {
		return nil
	}
	// This attempt did not run, but an earlier one with the same key may have.
	failure := &apiError{status: http.StatusServiceUnavailable, code: codeClaimRefused, runState: attempt.Unknown, retryAfter: time.Second}
	switch decision {
	case claim.Duplicate:
		failure.status, failure.code = http.StatusConflict, codeDuplicate
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

// run does attempts until there is an outcome.
func (x *execution) run(ctx context.Context) {
	next := attempt.Dispatch
	for next != attempt.Stop {
		if ctx.Err() != nil {
			x.giveUp(ctx)
			return
		}
		if x.request.Attempt() > 0 && next == attempt.Dispatch && !x.mayRetry() {
			break
		}
		if next == attempt.Resume {
			next = x.resume(ctx)
		} else {
			next = x.dispatch(ctx)
		}
	}
	if x.request.Phase() == attempt.Complete {
		x.node.metrics.outcome("complete", "complete")
		return
	}
	if ctx.Err() != nil {
		x.giveUp(ctx)
		return
	}
	x.request.Fail()
	if x.failure == nil {
		x.failure = &apiError{status: http.StatusBadGateway, code: codeEngineFailed, message: "the engine failed and the request could not be continued elsewhere", retryAfter: time.Second}
	}
	x.failure.runState = x.request.RunState()
	x.fail(x.failure)
}

func (x *execution) mayRetry() bool {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	return x.node.retries.TryWithdraw()
}

// giveUp ends a request whose caller has gone or whose deadline has passed.
func (x *execution) giveUp(ctx context.Context) {
	if x.address != "" {
		x.node.cancelAttempt(x.address, x.call.id, x.request.Attempt())
	}
	x.request.Fail()
	failure := &apiError{status: http.StatusGatewayTimeout, code: codeDeadline, message: "the deadline passed before the answer was complete", runState: x.request.RunState(), retryAfter: time.Second}
	if errors.Is(ctx.Err(), context.Canceled) {
		failure.message = "the caller has gone"
	}
	x.fail(failure)
}

func (x *execution) fail(failure *apiError) {
	x.node.metrics.outcome(failure.code, string(failure.runState))
	x.node.log.Log(events.RequestFailed, events.Fields{
		"request": x.call.id, "tenant": x.call.tenant.Name, "code": failure.code, "run_state": failure.runState,
		"attempts": x.request.Attempt(), "offset": x.request.Offset(), "reason": failure.message,
	})
	x.sink.fail(failure)
}

// chooseVersion fixes the weights of the next attempt. Once output has been
// relayed the version cannot change: an answer never mixes weights.
func (x *execution) chooseVersion() {
	if x.request.Offset() > 0 {
		return
	}
	n := x.node
	snapshot := n.snapshot.Load()
	model := snapshot.Models[x.call.model]
	if model == nil {
		return
	}
	var names []string
	for _, runner := range snapshot.ByPool[model.Pool] {
		names = append(names, runner.Name)
	}
	n.mutex.Lock()
	version := n.control.Fleet().ActiveVersion(x.call.model, model.WeightVersion, names)
	n.mutex.Unlock()
	pool := snapshot.Pools[model.Pool]
	if version == x.version || pool == nil {
		return
	}
	x.version = version
	x.salt = prefix.Scope{Tenant: x.call.tenant.Name, Model: x.call.model, Adapter: x.call.adapter, WeightVersion: version}.Salt()
	chain := prefix.NewChain(x.salt, x.call.prompt, pool.BlockBytes)
	x.family = chain.Family(x.salt)
	x.anchors = anchorsToWire(chain.Anchors(pool.AnchorStride))
}

func (x *execution) excluded() []string {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	return append(x.node.ejector.Ejected(time.Now()), x.request.Excluded()...)
}

func (x *execution) placeRequest() *wire.PlaceRequest {
	return &wire.PlaceRequest{
		Request: x.call.id, Pool: x.call.pool, Model: x.call.model, Adapter: x.call.adapter, WeightVersion: x.version,
		Family: x.family, Anchors: x.anchors, Ticket: prefix.PromptDigest(x.salt, x.call.prompt),
		PromptTokens: uint32(x.call.promptTokens + x.request.Offset()), MaxTokens: uint32(x.call.maxTokens),
		Priority: uint32(x.call.tenant.Tier.Priority), MaxWaitMillis: uint32(x.node.maxWait(x.call).Milliseconds()),
		Excluded: x.excluded(),
	}
}

// dispatch places the request and sends one attempt.
func (x *execution) dispatch(ctx context.Context) attempt.Action {
	n := x.node
	x.chooseVersion()
	pick := n.place(ctx, x.placeRequest())
	if pick.GetRefused() {
		x.refused(pick)
		return attempt.Stop
	}
	snapshot := n.snapshot.Load()
	runner, pool := snapshot.Runners[pick.GetRunner()], snapshot.Pools[x.call.pool]
	if runner == nil || pool == nil {
		x.failure = &apiError{status: http.StatusServiceUnavailable, code: codeNoRunner, message: "the runner was just removed", retryAfter: time.Second}
		return attempt.Stop
	}
	x.address, x.incarnation = runner.Spec.Address, pick.GetIncarnation()
	x.begun.Store(false)
	number := x.request.BeginDispatch(pick.GetRunner())
	if number > 1 {
		n.log.Log(events.RequestRetried, events.Fields{"request": x.call.id, "runner": pick.GetRunner(), "attempt": number, "offset": x.request.Offset()})
	}
	n.metrics.attempts.Inc()
	stream, err := n.engines.Generate(ctx, x.address, x.generateRequest(number, pool.BlockBytes))
	if err != nil {
		return x.dispatchFailed(ctx, err)
	}
	x.request.MarkAccepted()
	return x.relay(ctx, stream)
}

func (x *execution) refused(pick *wire.PlaceResponse) {
	x.failure = &apiError{
		status: http.StatusServiceUnavailable, code: codeOverloaded, message: pick.GetReason(),
		retryAfter: time.Duration(pick.GetRetryAfterMillis()) * time.Millisecond,
	}
	if pick.GetNoRunner() {
		x.failure.code = codeNoRunner
	}
}

func (x *execution) generateRequest(number uint32, blockBytes int) *engineapi.GenerateRequest {
	return &engineapi.GenerateRequest{
		Request: x.call.id, Attempt: number, Incarnation: x.incarnation,
		Model: x.call.model, Adapter: x.call.adapter, WeightVersion: x.version,
		CacheSalt: string(x.salt), BlockBytes: blockBytes, Prompt: x.call.prompt,
		Generated: unescape(x.generated), GeneratedTokens: x.request.Offset(), MaxTokens: x.call.maxTokens,
		Priority: x.call.tenant.Tier.Priority, DeadlineMillis: x.call.deadline.Milliseconds(),
		Format: x.call.format, ID: x.call.id, Created: x.call.created, DisplayModel: x.call.displayModel,
	}
}

// dispatchFailed sorts what is known of a dispatch that got no stream.
func (x *execution) dispatchFailed(ctx context.Context, err error) attempt.Action {
	var refusal *engineapi.RefusedError
	switch {
	case errors.As(err, &refusal) && refusal.Refusal.Code == engineapi.CodeDuplicateAttempt:
		return x.request.ConnectionLost()
	case errors.As(err, &refusal):
		x.reportRejection(refusal.Refusal.Code == engineapi.CodeDraining)
		return x.request.Reject()
	case errors.Is(err, engineapi.ErrNotConnected):
		x.reportRejection(false)
		x.eject()
		return x.request.NotSent()
	}
	if ctx.Err() != nil {
		return attempt.Stop
	}
	x.eject()
	return x.request.ConnectionLost()
}

func (x *execution) eject() {
	x.node.admissionMutex.Lock()
	defer x.node.admissionMutex.Unlock()
	x.node.ejector.RecordFailure(time.Now(), x.request.Runner(), x.incarnation)
}

func (x *execution) reportRejection(draining bool) {
	x.node.sendPlaceResult(&wire.PlaceResult{
		Request: x.call.id, Runner: x.request.Runner(), Incarnation: x.incarnation,
		Family: x.family, Anchors: x.anchors, Rejected: true, Draining: draining,
	})
}

// resume asks the engine process of the current attempt for the rest of the
// stream. Only that process can say that it never saw the attempt.
func (x *execution) resume(ctx context.Context) attempt.Action {
	n := x.node
	n.log.Log(events.RequestResumed, events.Fields{"request": x.call.id, "runner": x.request.Runner(), "offset": x.request.Offset()})
	stream, err := n.engines.Resume(ctx, x.address, &engineapi.ResumeRequest{
		Request: x.call.id, Attempt: x.request.Attempt(), Incarnation: x.incarnation, Offset: x.request.Offset(),
	})
	if err == nil {
		x.request.MarkAccepted()
		return x.relay(ctx, stream)
	}
	if ctx.Err() != nil {
		return attempt.Stop
	}
	x.eject()
	var refusal *engineapi.RefusedError
	if errors.As(err, &refusal) && refusal.Refusal.Code == engineapi.CodeNeverSeenAndBarred {
		return x.request.NeverSeen()
	}
	// Another process, or none: the attempt's stream is gone with it. If the
	// old process still lives behind a cut, the cancel stops its useless work.
	n.cancelAttempt(x.address, x.call.id, x.request.Attempt())
	return x.request.RunnerGone()
}

// noteStart takes the engine's word that it has begun to compute.
func (x *execution) noteStart(start engineapi.StartData) {
	x.begun.Store(true)
	if x.request.Attempt() == 1 || x.cached == 0 {
		x.cached = start.CachedTokens
	}
	x.node.admissionMutex.Lock()
	x.node.ejector.RecordSuccess(x.request.Runner())
	x.node.admissionMutex.Unlock()
	x.node.metrics.prompt(x.call.promptTokens, start.CachedTokens)
	x.node.sendPlaceResult(&wire.PlaceResult{
		Request: x.call.id, Runner: x.request.Runner(), Incarnation: x.incarnation, Family: x.family, Anchors: x.anchors,
		CachedTokens: uint32(start.CachedTokens), Load: control.LoadToWire(loadFromEngine(start.Load)),
	})
}
