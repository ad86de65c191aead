package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// fetchedTokenCost is the placement cost of a prompt token that a runner fetches from a cache,
// relative to a token that it computes. Depending on distance, links and speeds, the cost was
// between 0.05 and 0.5 on the observed deployments.
const fetchedTokenCost = 0.25

// runnerSilenceTimeout is how long a request on a reused connection to a runner may remain
// without a response before the older idle connections to that runner are closed. Healthy
// runners on the observed deployments begin to respond within 0.3 to 0.8 s. A shorter timeout
// would close connections to runners that are merely busy, each of which must then be dialed
// again.
const runnerSilenceTimeout = time.Second

// foreignAvoidTime is how long requests avoid a runner that sent what is no response.
const foreignAvoidTime = time.Second

// placementWeights are the score weights used for all placements.
var placementWeights = placement.ScoreWeights{Uncached: 1, Fetched: fetchedTokenCost}

// pickRunner chooses the runner for the next attempt, or returns the reason why there is none.
func (c *call) pickRunner() (backend.Runner, *refusal) {
	g := c.gateway
	if c.continueAt != nil {
		return c.continueOnBackup()
	}
	if c.attemptState.Attempt() > 0 {
		c.startPlacement()
	}
	choice, query := c.awaitPlacement(), c.query
	// The router may have begun to stop while the call waited.
	if refused := c.refuseLate(); refused != nil {
		g.schedulers.release(choice)
		return backend.Runner{}, refused
	}
	now := c.gateway.now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if refused := c.withdrawRetry(); refused != nil {
		g.schedulers.release(choice)
		return backend.Runner{}, refused
	}
	chosen, placedBy := c.chooseRunner(now, choice)
	c.recordQueueLimit(chosen)
	c.unscheduled = chosen.Status == placement.AllHeldBack && placedBy == chosenLocally && g.runners.IsBrittle(now, c.service)
	if chosen.Status == placement.NoRunner && !g.startup.has(coldstart.DirectoryComplete) {
		return backend.Runner{}, unavailable("the directory of runners is not complete yet", startupRetryAfter)
	}
	if chosen.Status != placement.Picked {
		return backend.Runner{}, c.refusalFor(chosen)
	}
	if c.attemptState.Attempt() > 0 && !c.attemptState.MayHaveRun() && slices.Contains(query.Excluded, chosen.Candidate.Name) {
		g.schedulers.release(c.schedulerChoice)
		g.metrics.retries.WithLabelValues(c.service, retryNoRunner).Inc()
		return backend.Runner{}, unavailable("all runners have refused", busyRetryAfter)
	}
	switch {
	case c.isRetry():
		c.recordRetry()
	case c.attemptState.Attempt() == 0:
		g.retryBudget(c.service).DepositAt(now)
	}
	runner, _ := g.runners.Get(chosen.Candidate.Name)
	c.takePermit(now, runner.ID)
	c.weightVersion = g.runners.WeightVersion(runner.ID, query.Model)
	g.metrics.countPlacement(query, chosen.Candidate.CachedTokens)
	g.metrics.sendDistances.WithLabelValues(query.Service, g.runners.Relation(query.Zone, runner).String(), chosen.LeaveReason.String()).Inc()
	fields := events.Fields{
		"runner": runner.ID, "address": runner.Address, "attempt": c.attemptState.Attempt() + 1, "weights": c.weightVersion,
		"expected_wait_ms": chosen.Wait.Milliseconds(), "cached_tokens": chosen.Candidate.CachedTokens, "prompt_tokens": query.PromptTokens,
		"placed_by": placedBy, "in_flight": chosen.Candidate.PendingRequests, "streams": chosen.Candidate.Streams, "queue_ms": chosen.QueueWait.Milliseconds(), "excess": c.queueLimit.Excess,
		"permitted": c.permit.Valid(now), "content": c.content.String(), "parts": c.sharedParts, "directory": storerev.Revision(g.directoryRevision.Load()).Number(), "directory_age_ms": g.copies.ageMillis(now, RunnerObjects), "weights_age_ms": g.copies.ageMillis(now, WeightObjects),
		"zone": runner.Zone, "software": runner.SoftwareVersion,
	}
	if reason := chosen.LeaveReason.String(); reason != "" {
		fields["left_region"] = reason
	}
	c.bufferLog(events.RequestSent, fields)
	c.beginSend(now, runner, max(query.PromptTokens-chosen.Candidate.CachedTokens, 0))
	c.chooseBackup(now, runner)
	return runner, nil
}

// refusalFor returns the refusal for a placement without a runner.
func (c *call) refusalFor(chosen placement.Pick) *refusal {
	if chosen.Status == placement.AllHeldBack {
		return unavailable(chosen.Status.String(), max(chosen.RetryAfter, busyRetryAfter))
	}
	if c.boundVersion() != "" && c.gateway.runners.VersionCounts(c.service)[c.boundVersion()] == 0 {
		origin := streamversion.Origin{Service: c.service, Version: c.boundVersion()}
		if c.mayBeginAnew() || !c.gateway.streams.knowsVersion(c.gateway.now(), origin) {
			return unavailable(reasonVersionLost, busyRetryAfter)
		}
		return unavailable(reasonVersionLost, 0)
	}
	if chosen.Status != placement.Overloaded {
		return unavailable(chosen.Status.String(), max(chosen.RetryAfter, busyRetryAfter))
	}
	refused := unavailable(chosen.Status.String(), chosen.RetryAfter)
	refused.queueTooLong = true
	if c.refusedForShare {
		refused.reason = reasonFairShare
	}
	return refused
}

// chooseRunner returns the scheduler's choice if it can be used, and otherwise chooses a runner
// itself. It also returns who chose. The gateway's mutex must be held.
func (c *call) chooseRunner(now time.Time, choice *placementChoice) (chosen placement.Pick, placedBy string) {
	g := c.gateway
	if target := c.unreachableFallback(); target != "" {
		// The scheduler doesn't know that the runners which this router tried were unreachable.
		g.schedulers.release(choice)
		choice, c.query.TargetVersion, c.query.Fallback = nil, target, true
	}
	if chosen, accepted := c.acceptChoice(now, choice); accepted {
		g.metrics.runnerChoices.WithLabelValues(chosenByScheduler).Inc()
		return chosen, choice.scheduler
	}
	g.metrics.runnerChoices.WithLabelValues(chosenLocally).Inc()
	c.versionPermittedAt = now
	chosen, c.queueLimit, c.refusedForShare = g.placeRequest(now, &c.query, c.deadline.Sub(now))
	// Without a scheduler's answer, other routers may well reach the runners that this one does not.
	c.reachedByOthers = choice == nil && chosen.Status != placement.Picked && len(c.query.Unreachable) > 0
	if chosen.Status == placement.AllHeldBack && g.runners.AllowsOnlyUnreachable(c.query) {
		// They are tried, so that the call ends up where it may go when they cannot be reached.
		c.query.Unreachable = nil
		chosen, c.queueLimit, c.refusedForShare = g.placeRequest(now, &c.query, c.deadline.Sub(now))
	}
	return chosen, chosenLocally
}

// unreachableFallback returns the target version of a rollout if the call may go there because its last
// attempts could not be sent, and else "". The gateway's mutex must be held.
func (c *call) unreachableFallback() string {
	if c.attemptState.Attempt() == 0 || !c.lastNotSent {
		return ""
	}
	return c.gateway.rolloutFallback(c.query)
}

// send sends the call to c.runner and forwards the response.
func (c *call) send() attempt.Action {
	defer c.releaseSendContext()
	c.beginAttempt(c.runner.ID)
	c.lastNotSent = false
	c.responseWeightVersion, c.requestedBackoff = 0, 0
	c.sentAt = c.gateway.now()
	c.recordSentStream()
	c.gateway.metrics.attempts.WithLabelValues(c.service).Inc()
	response, err := c.awaitResponse()
	if !errors.Is(err, httpconn.ErrNotSent) {
		c.hasUnusedRetry, c.unsentInSuccession = false, 0
	}
	if err != nil {
		return c.handleSendError(err)
	}
	defer response.Body.Close()
	c.beginResponse(response)
	c.gateway.paths.heard(c.runner, c.isNewConnection)
	info := c.gateway.ports.Protocol.ParseResponse(response.Status, response.Header)
	c.responseWeightVersion, c.requestedBackoff = info.WeightVersion, info.Signals.Backoff
	c.receiveSignals(info, response.Status)
	isNewer := c.recordWeightVersion(info.WeightVersion)
	switch {
	case info.NotRun:
		rejection := response.Rejection(notrun.Rejected)
		// The body is short. Reading it allows the connection to be reused.
		_, _ = response.Body.ReadAll(maxBufferedBody)
		if isNewer {
			c.endAttempt(backend.Abandoned, quarantine.NotRun, "runner has newer weights than known", response.Status)
			return c.attemptState.RejectStale(rejection)
		}
		c.endAttempt(backend.Refused, quarantine.NotRun, "refused", response.Status)
		return c.attemptState.Reject(rejection)
	case !info.Stamped || info.Encoded:
		return c.handleForeignResponse("response was not generated by a runner")
	case c.route.Kind == routing.Streaming && isSuccess(response.Status):
		return c.streamResponse(response)
	case c.stream != nil:
		// The headers of the first runner's response have been sent, so a failure cannot be
		// forwarded any more.
		return c.handleInvalidResponse(quarantine.Indeterminate, "runner returned a failure instead of the rest of the stream")
	}
	return c.forwardResponse(response)
}

// awaitResponse sends the call to c.runner and waits until its response begins.
func (c *call) awaitResponse() (*httpconn.Response, error) {
	choice := c.schedulerChoice
	wait := &pathWait{runner: c.runner, cancel: c.cancelSend, repeatable: c.attemptState.MayRetry(), release: func() { c.gateway.schedulers.release(choice) }}
	c.gateway.paths.beginWait(c.runner, wait)
	defer c.gateway.paths.endWait(wait)
	silence := time.AfterFunc(egress.SilenceTimeout, func() { c.gateway.paths.checkSilence(wait) })
	defer silence.Stop()
	c.isNewConnection = false
	request := c.newRunnerRequest()
	request.Confirm = func() bool { return c.confirmSend() && c.gateway.paths.markSent(wait) }
	return c.gateway.ports.RunnerPool.Send(c.sendCtx, c.runner.Address, request)
}

// recordDial records the result of opening a connection for the current attempt.
func (c *call) recordDial(err error) {
	if err != nil {
		c.gateway.paths.connectionFailed(c.runner, true)
		return
	}
	c.isNewConnection = true
}

// isSuccess reports whether the status is 2xx.
func isSuccess(status int) bool { return status >= 200 && status <= 299 }

// newRunnerRequest returns the request to be sent to c.runner.
func (c *call) newRunnerRequest() *httpconn.Request {
	dispatch := Dispatch{Remaining: c.gateway.until(c.deadline), Runner: c.runner.ID, Priority: -1, LastEvent: c.metadata.LastEvent}
	if c.tenant != nil {
		dispatch.Tenant = c.tenant.Name
	}
	if c.route.PromptCached {
		c.addCacheFields(&dispatch)
	}
	dispatch.BackupTo = c.backup.Address
	if c.continuing {
		dispatch.ContinueFrom = c.runner.Address
	}
	if c.stream != nil && c.stream.lastEvent != "" {
		dispatch.LastEvent = c.stream.lastEvent
	}
	protocol, id := c.gateway.ports.Protocol, c.metadata.ID
	return &httpconn.Request{
		Method: c.incoming.Method, Target: requestTarget(c.incoming), Host: c.incoming.Host,
		Header: protocol.ForwardHeaders(c.incoming.Header, dispatch), Body: c.body,
		ReuseOnly: c.gateway.egress.mayOnlyReuse(c), OnDial: c.recordDial, ID: id, OnConnection: c.recordConnection,
		MatchesResponse: func(header http.Header) bool { return protocol.ParseResponse(0, header).RequestID == id },
	}
}

// confirmSend reports whether the chosen runner may still get the call. It is called immediately
// before the first byte is written: since the choice, the router may have dialed a connection
// or waited for CPU time, while the runner announced that it is leaving, or a request with the
// same content crashed another runner.
func (c *call) confirmSend() bool {
	g := c.gateway
	if c.isQuarantined() {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c.continuing {
		// The run has already started, so it may continue on expired weights.
		return g.runners.IsActive(c.runner.ID, c.service)
	}
	now := g.now()
	if g.runners.IsLimited(c.runner.ID) {
		g.metrics.observeLimitedSend(c.service, c.permit.Valid(now), now.Sub(c.permitRequestedAt))
	}
	return g.rolloutDriver.MaySend(now, c.query, c.versionPermittedAt) && g.runners.MaySend(now, c.runner.ID, c.query, c.weightVersion, c.permit)
}

// recordWeightVersion records the weight version that the runner reported, and reports whether
// it is newer than the known one.
func (c *call) recordWeightVersion(version uint64) (isNewer bool) {
	if version == 0 || !c.route.PromptCached {
		return false
	}
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	if !c.gateway.runners.IsListed(c.currentSend) {
		return false
	}
	return c.gateway.runners.LearnVersion(c.runner.ID, c.metadata.Model, version)
}

// endAttempt records, counts and logs the outcome of the current attempt. runOutcome is the
// outcome for crash detection.
func (c *call) endAttempt(outcome backend.Outcome, runOutcome quarantine.RunOutcome, cause string, status int) {
	c.recordOutcome(outcome, runOutcome)
	if outcome == backend.Succeeded {
		return
	}
	c.gateway.metrics.runnerFailures.WithLabelValues(c.service, outcome.String()).Inc()
	c.bufferLog(events.RequestAttemptFailed, events.Fields{
		"runner": c.runner.ID, "address": c.runner.Address, "attempt": c.attemptState.Attempt(),
		"outcome": outcome.String(), "cause": cause, "status": status, "after_ms": c.gateway.since(c.sentAt).Milliseconds(), "content": c.content.String(), "parts": c.sharedParts,
	})
}

// mayBlameLinks reports whether a fault of this router's own links can have caused the outcome.
func mayBlameLinks(outcome backend.Outcome, runOutcome quarantine.RunOutcome) bool {
	switch outcome {
	case backend.Unreachable, backend.Abandoned:
		return true
	}
	return outcome == backend.Failed && runOutcome == quarantine.ConnectionLost
}

// recordOutcome reports the outcome of the current attempt to crash detection, fair-share
// accounting, the runner table and the scheduler that chose the runner.
func (c *call) recordOutcome(outcome backend.Outcome, runOutcome quarantine.RunOutcome) {
	g := c.gateway
	if mayBlameLinks(outcome, runOutcome) && g.paths.atFault(c.runner.Service, c.sentAt) {
		outcome = backend.NotConfirmed
	}
	end := rolloutdriver.SendEnd{
		Outcome: outcome, NotSent: outcome == backend.Unreachable && runOutcome == quarantine.NotRun, ConnectionLost: runOutcome == quarantine.ConnectionLost,
	}
	c.sendOpen = false
	c.recordRunOutcome(runOutcome)
	c.recordSendEnd(end)
	g.schedulers.notify(c.schedulerChoice, &wire.SendNotice{
		Ended: true, Outcome: uint32(outcome), Weights: c.responseWeightVersion, RestMillis: uint32(c.requestedBackoff.Milliseconds()),
		NotSent: end.NotSent, ConnectionLost: end.ConnectionLost,
	})
	c.schedulerChoice = nil
}

// recordSendEnd reports the end of the current attempt to fair-share accounting, rollouts and the runner table.
func (c *call) recordSendEnd(end rolloutdriver.SendEnd) {
	g := c.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c.preventWithdrawal()
	if c.schedulerChoice == nil && !c.continuing && g.fairShares.tracksUsage() {
		g.fairShares.refund(c.gateway.now(), c.query, c.currentSend, end.Outcome)
	}
	// Without a rollout the query names no route.
	if c.query.Route != "" && c.schedulerChoice == nil && !c.continuing && g.rolloutDriver.IsPlacer() {
		end.RoundTrip = g.runners.RoundTrip(c.query.Zone, c.currentSend)
		g.rolloutDriver.RecordOutcome(c.gateway.now(), c.query, c.currentSend, end)
	}
	g.runners.End(c.gateway.now(), c.currentSend, end.Outcome)
	g.runners.AvoidFor(c.gateway.now(), c.currentSend, c.requestedBackoff)
}

// recordFirstResponse records that the runner has begun to respond.
func (c *call) recordFirstResponse() {
	g := c.gateway
	if c.firstResponseAt.IsZero() {
		c.firstResponseAt = c.gateway.now()
	}
	if !c.currentSend.Responded() && c.route.Kind == routing.Streaming {
		// For other responses, the notification of the end follows immediately.
		g.schedulers.notify(c.schedulerChoice, &wire.SendNotice{Weights: c.responseWeightVersion, Stream: cmp.Or(c.streamRecord, c.deferredRecord)})
	}
	g.crashDetector.respond(g.now(), c.run)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := c.gateway.now()
	c.preventWithdrawal()
	g.runners.FirstResponse(now, c.currentSend)
	// A runner that took other weights while it read the prompt has not cached it under those of the salt.
	madeUnderSalt := c.responseWeightVersion == 0 || c.responseWeightVersion == c.weightVersion
	if madeUnderSalt && g.runners.IsListed(c.currentSend) {
		g.runners.RecordPrefill(now, c.runner.ID, c.query, c.weightVersion)
	}
}

// handleSendError handles an attempt that ended without response headers.
func (c *call) handleSendError(err error) attempt.Action {
	if c.ctx.Err() != nil {
		return c.handleCanceled(httpconn.Unwritten(err))
	}
	if errors.Is(context.Cause(c.sendCtx), errPathLost) {
		return c.handlePathLost(httpconn.Unwritten(err))
	}
	if errors.Is(err, httpconn.ErrNotConfirmed) {
		return c.handleNotConfirmed(httpconn.Unwritten(err))
	}
	if c.isWithdrawn() {
		return c.handleWithdrawn(httpconn.Unwritten(err))
	}
	if unwritten := httpconn.Unwritten(err); unwritten.Holds() {
		c.lastNotSent = true
		c.unsentInSuccession++
		c.endAttempt(backend.Unreachable, quarantine.NotRun, err.Error(), 0)
		return c.attemptState.NotSent(unwritten)
	}
	if errors.Is(err, httpconn.ErrEndlessHead) {
		return c.handleForeignResponse(err.Error())
	}
	c.gateway.paths.connectionFailed(c.runner, c.isNewConnection)
	c.endAttempt(backend.Unreachable, quarantine.ConnectionLost, err.Error(), 0)
	return c.connectionLost()
}

// handleNotConfirmed handles an attempt that confirmSend stopped. It does not count as a failure
// of the runner.
func (c *call) handleNotConfirmed(unwritten notrun.Proof) attempt.Action {
	c.recordOutcome(backend.NotConfirmed, quarantine.NotRun)
	c.bufferLog(events.SendNotConfirmed, events.Fields{
		"runner": c.runner.ID, "address": c.runner.Address, "attempt": c.attemptState.Attempt(),
		"weights": c.weightVersion, "after_ms": c.gateway.since(c.sentAt).Milliseconds(),
	})
	return c.attemptState.DispatchAborted(unwritten)
}

// handlePathLost handles an attempt that was ended because the links to the service are cut. That is no evidence about the
// runner.
func (c *call) handlePathLost(unwritten notrun.Proof) attempt.Action {
	c.endAttempt(backend.NotConfirmed, quarantine.Canceled, errPathLost.Error(), 0)
	if unwritten.Holds() {
		c.lastNotSent = true
		c.unsentInSuccession++
		return c.attemptState.NotSent(unwritten)
	}
	return c.connectionLost()
}

// handleCanceled ends the call because the caller disconnected or the deadline passed. unwritten holds if nothing of the current
// attempt was written.
func (c *call) handleCanceled(unwritten notrun.Proof) attempt.Action {
	cause := "caller disconnected or deadline passed"
	if c.gateway.isEndingCalls() {
		cause = reasonStopping
	}
	c.endAttempt(backend.Abandoned, quarantine.Canceled, cause, 0)
	if unwritten.Holds() {
		c.attemptState.NotSent(unwritten)
	}
	c.attemptState.Fail()
	return attempt.Stop
}

// handleInvalidResponse handles a response that is incomplete or not from a runner.
func (c *call) handleInvalidResponse(runOutcome quarantine.RunOutcome, cause string) attempt.Action {
	if c.ctx.Err() != nil {
		return c.handleCanceled(notrun.Proof{})
	}
	if c.isWithdrawn() {
		return c.handleWithdrawn(notrun.Proof{})
	}
	c.endAttempt(backend.Failed, runOutcome, cause, 0)
	return c.connectionLost()
}

// handleForeignResponse handles a response that no runner generated, or whose head does not end. It counts as a failure of the
// runner's version, and all requests avoid the runner for a while.
func (c *call) handleForeignResponse(cause string) attempt.Action {
	c.requestedBackoff = max(c.requestedBackoff, foreignAvoidTime)
	return c.handleInvalidResponse(quarantine.Indeterminate, cause)
}

// connectionLost returns the next action after the connection to the runner was lost.
func (c *call) connectionLost() attempt.Action { return c.attemptState.ConnectionLost() }
