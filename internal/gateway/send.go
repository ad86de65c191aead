package gateway

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// fetchCost is the cost of a prompt token that a runner fetches, in tokens that it
// computes: 0.05 to 0.5 by the links and speeds of the deployments seen, near and far.
const fetchCost = 0.25

// runnerSilence is how long a request on a kept connection to a runner may have no answer
// before older idle connections to it are not used any more. Prompts on sound runners of the
// deployments seen begin to be answered within 0.3 to 0.8 s; a shorter time would close
// connections of runners that are merely busy, which costs a new one for each.
const runnerSilence = time.Second

// placementWeights are the weights of all choices of a runner.
var placementWeights = placement.ScoreWeights{Uncached: 1, Fetched: fetchCost}

// pick chooses the runner of the next attempt, or says why there is none.
func (c *call) pick() (backend.Runner, *refusal) {
	g := c.gateway
	// What reached nobody is no repeat of anything.
	again := c.request.SentDispatches() > 0
	if c.copyAt != nil {
		return c.takeCopy()
	}
	if c.request.Attempt() > 0 {
		c.startPlacement()
	}
	choice, query := c.awaitPlacement(), c.query
	now := c.gateway.now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if again && !c.paid && !g.budget(c.service).TryWithdraw() {
		g.schedulers.release(choice)
		g.metrics.retries.WithLabelValues(c.service, retryNoBudget).Inc()
		return backend.Runner{}, unavailable("the budget for further attempts is used up", busyRetryAfter)
	}
	chosen, placedBy := c.choose(now, choice)
	c.noteLimit(chosen)
	if chosen.Status != placement.Picked {
		return backend.Runner{}, c.refusalOf(chosen)
	}
	if c.request.Attempt() > 0 && !c.request.MayHaveRun() && slices.Contains(query.Excluded, chosen.Candidate.Name) {
		g.schedulers.release(c.placed)
		g.metrics.retries.WithLabelValues(c.service, retryNoRunner).Inc()
		return backend.Runner{}, unavailable("all runners have refused", busyRetryAfter)
	}
	switch {
	case again:
		c.paid = true
		g.metrics.retries.WithLabelValues(c.service, retrySent).Inc()
	case c.request.Attempt() == 0:
		g.budget(c.service).Deposit()
	}
	runner, _ := g.runners.Get(chosen.Candidate.Name)
	c.takePermit(now, runner.ID)
	c.weights = g.runners.WeightVersion(runner.ID, query.Model)
	g.metrics.countPlacement(query, chosen.Candidate.CachedTokens)
	c.note(events.RequestSent, events.Fields{
		"runner": runner.ID, "address": runner.Address, "attempt": c.request.Attempt() + 1, "weights": c.weights,
		"expected_wait_ms": chosen.Wait.Milliseconds(), "cached_tokens": chosen.Candidate.CachedTokens, "prompt_tokens": query.PromptTokens,
		"placed_by": placedBy, "in_flight": chosen.Candidate.PendingRequests, "streams": chosen.Candidate.Streams, "queue_ms": chosen.QueueWait.Milliseconds(), "excess": c.limit.Excess,
		"permitted": c.permit.Valid(now), "content": c.content.String(), "directory": storerev.Revision(g.directoryRevision.Load()).Number(), "directory_age_ms": g.copies.ageMillis(now, RunnerObjects), "weights_age_ms": g.copies.ageMillis(now, WeightObjects),
	})
	c.beginSend(now, runner, max(query.PromptTokens-chosen.Candidate.CachedTokens, 0))
	c.pickBackup(now, runner)
	return runner, nil
}

// refusalOf says why the choice named no runner.
func (c *call) refusalOf(chosen placement.Pick) *refusal {
	if chosen.Status == placement.AllHeldBack {
		return unavailable(chosen.Status.String(), max(chosen.RetryAfter, busyRetryAfter))
	}
	if chosen.Status != placement.Overloaded {
		return unavailable(chosen.Status.String(), max(chosen.RetryAfter, busyRetryAfter))
	}
	refused := unavailable(chosen.Status.String(), chosen.RetryAfter)
	refused.limited = true
	if c.forShare {
		refused.reason = reasonShare
	}
	return refused
}

// choose takes the scheduler's choice, or makes one here. The gateway's mutex is held.
func (c *call) choose(now time.Time, choice *placed) (chosen placement.Pick, by string) {
	g := c.gateway
	if chosen, taken := c.takePlaced(now, choice); taken {
		g.metrics.runnerChoices.WithLabelValues(chosenByScheduler).Inc()
		return chosen, choice.scheduler
	}
	g.metrics.runnerChoices.WithLabelValues(chosenLocally).Inc()
	chosen, c.limit, c.forShare = g.decide(now, c.query, c.deadline.Sub(now))
	return chosen, chosenLocally
}

// send makes one attempt at the picked runner and relays its answer.
func (c *call) send() attempt.Action {
	defer c.releaseSend()
	c.request.BeginDispatch(c.runner.ID)
	c.answering, c.rest = 0, 0
	c.sent = c.gateway.now()
	c.gateway.metrics.attempts.WithLabelValues(c.service).Inc()
	response, err := c.gateway.ports.RunnerPool.Send(c.sendCtx, c.runner.Address, c.message())
	if !errors.Is(err, httpconn.ErrNotSent) {
		c.paid = false
	}
	if err != nil {
		return c.notAnswered(err)
	}
	defer response.Body.Close()
	answer := c.gateway.ports.Protocol.Answer(response.Status, response.Header)
	c.answering, c.rest = answer.WeightVersion, answer.Signals.Backoff
	c.hear(answer, response.Status)
	news := c.learnVersion(answer.WeightVersion)
	switch {
	case answer.NotRun:
		// The body is short; reading it keeps the connection.
		_, _, _ = response.Body.ReadAll(wholeAnswer)
		if news {
			c.end(backend.Abandoned, quarantine.NotRun, "weights are newer than known", response.Status)
			return c.request.RejectStale()
		}
		c.end(backend.Refused, quarantine.NotRun, "refused", response.Status)
		return c.request.Reject()
	case !answer.Stamped || answer.Encoded:
		return c.spoilt(quarantine.Indeterminate, "not a runner's answer")
	case c.route.Kind == routing.Streaming && isSuccess(response.Status):
		return c.relay(response)
	case c.stream != nil:
		// The head of the first runner stands; a failure cannot follow it.
		return c.spoilt(quarantine.Indeterminate, "failure instead of the rest of a stream")
	}
	return c.passOn(response)
}

func isSuccess(status int) bool { return status >= 200 && status <= 299 }

func (c *call) message() *httpconn.Request {
	dispatch := Dispatch{Remaining: c.gateway.until(c.deadline), Runner: c.runner.ID, Priority: -1, LastEvent: c.facts.LastEvent}
	if c.tenant != nil {
		dispatch.Tenant = c.tenant.Name
	}
	if c.route.PromptCached {
		c.addCache(&dispatch)
	}
	dispatch.BackupTo = c.backup.Address
	if c.continuing {
		dispatch.ContinueFrom = c.runner.Address
	}
	if c.stream != nil && c.stream.lastEvent != "" {
		dispatch.LastEvent = c.stream.lastEvent
	}
	protocol, id := c.gateway.ports.Protocol, c.facts.ID
	return &httpconn.Request{
		Method: c.caller.Method, Target: target(c.caller), Host: c.caller.Host,
		Header: protocol.Forward(c.caller.Header, dispatch), Body: c.body,
		MatchesResponse: func(header http.Header) bool { return protocol.Answer(0, header).RequestID == id },
		Confirm:         c.mayBegin,
	}
}

// mayBegin tells whether the chosen runner may still begin the call. A dial or a wait for
// the processor lies between the choice and the send, and the runner may have said
// meanwhile that it leaves, or another one have ended under the same content.
func (c *call) mayBegin() bool {
	g := c.gateway
	if c.quarantined() {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c.continuing {
		// The run began before, so that its weights may go on.
		return g.runners.IsActive(c.runner.ID, c.service)
	}
	now := g.now()
	if g.runners.IsLimited(c.runner.ID) {
		g.metrics.observeLimitedSend(c.service, c.permit.Valid(now), now.Sub(c.permitAt))
	}
	return g.runners.MaySend(now, c.runner.ID, c.query, c.weights, c.permit)
}

// learnVersion notes the version of the weights that the runner named.
func (c *call) learnVersion(version uint64) (news bool) {
	if version == 0 || !c.route.PromptCached {
		return false
	}
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	if !c.gateway.runners.IsListed(c.open) {
		return false
	}
	return c.gateway.runners.LearnVersion(c.runner.ID, c.facts.Model, version)
}

// end notes the outcome of the current attempt, and how its run ended.
func (c *call) end(outcome backend.Outcome, run quarantine.RunOutcome, cause string, status int) {
	c.endSend(outcome, run)
	if outcome == backend.Succeeded {
		return
	}
	c.gateway.metrics.runnerFailures.WithLabelValues(c.service, outcome.String()).Inc()
	c.note(events.RequestAttemptFailed, events.Fields{
		"runner": c.runner.ID, "address": c.runner.Address, "attempt": c.request.Attempt(),
		"outcome": outcome.String(), "cause": cause, "status": status, "after_ms": c.gateway.since(c.sent).Milliseconds(), "content": c.content.String(),
	})
}

// endSend tells those who count the current attempt how it ended.
func (c *call) endSend(outcome backend.Outcome, run quarantine.RunOutcome) {
	g := c.gateway
	c.noteRun(run)
	g.mutex.Lock()
	c.barWithdrawal()
	if c.placed == nil && !c.continuing && g.shares.counts() {
		g.shares.refund(c.gateway.now(), c.query, c.open, outcome)
	}
	g.runners.End(c.gateway.now(), c.open, outcome)
	g.runners.AvoidFor(c.gateway.now(), c.open, c.rest)
	g.mutex.Unlock()
	g.schedulers.notify(c.placed, true, outcome, c.answering, c.rest)
	c.placed = nil
}

// firstAnswer notes that the runner has begun to answer.
func (c *call) firstAnswer() {
	g := c.gateway
	if c.answered.IsZero() {
		c.answered = c.gateway.now()
	}
	if !c.open.Responded() && c.route.Kind == routing.Streaming {
		// Other answers are over as soon as they begin.
		g.schedulers.notify(c.placed, false, backend.Succeeded, c.answering, 0)
	}
	g.mutex.Lock()
	now := c.gateway.now()
	c.barWithdrawal()
	g.runners.FirstResponse(now, c.open)
	if g.runners.IsListed(c.open) {
		g.runners.RecordPrefill(now, c.runner.ID, c.query, c.weights)
	}
	g.mutex.Unlock()
}

// notAnswered takes a send without the head of an answer.
func (c *call) notAnswered(err error) attempt.Action {
	if c.ctx.Err() != nil {
		return c.outOfTime(errors.Is(err, httpconn.ErrNotSent))
	}
	if errors.Is(err, httpconn.ErrNotConfirmed) {
		return c.notConfirmed()
	}
	if c.withdrawn() {
		return c.endWithdrawn(errors.Is(err, httpconn.ErrNotSent))
	}
	if errors.Is(err, httpconn.ErrNotSent) {
		c.end(backend.Unreachable, quarantine.NotRun, err.Error(), 0)
		return c.request.NotSent()
	}
	c.end(backend.Unreachable, quarantine.ConnectionLost, err.Error(), 0)
	return c.lost()
}

// notConfirmed takes a send that mayBegin stopped. It is no evidence about the runner.
func (c *call) notConfirmed() attempt.Action {
	c.endSend(backend.NotConfirmed, quarantine.NotRun)
	c.note(events.SendNotConfirmed, events.Fields{
		"runner": c.runner.ID, "address": c.runner.Address, "attempt": c.request.Attempt(),
		"weights": c.weights, "after_ms": c.gateway.since(c.sent).Milliseconds(),
	})
	return c.request.DispatchAborted()
}

// outOfTime ends the call because its caller left or its time is up.
func (c *call) outOfTime(notSent bool) attempt.Action {
	c.end(backend.Abandoned, quarantine.Canceled, "caller left or time is up", 0)
	if notSent {
		c.request.NotSent()
	}
	c.request.Fail()
	return attempt.Stop
}

// spoilt takes an answer that is not one, or not a whole one.
func (c *call) spoilt(run quarantine.RunOutcome, cause string) attempt.Action {
	if c.ctx.Err() != nil {
		return c.outOfTime(false)
	}
	if c.withdrawn() {
		return c.endWithdrawn(false)
	}
	c.end(backend.Failed, run, cause, 0)
	return c.lost()
}

func (c *call) lost() attempt.Action { return c.request.ConnectionLost() }
