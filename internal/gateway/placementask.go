package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// placementChoice is a scheduler's answer to a placement request for one send.
type placementChoice struct {
	scheduler  string
	sendNumber uint64
	runner     string
	// cachedTokens is the number of prompt tokens that the runner is expected to have cached,
	// expectedWait the expected time to the first token, and pendingRequests the number of requests
	// that the runner had when it was chosen.
	cachedTokens    int
	expectedWait    time.Duration
	pendingRequests int
	// overloaded is set, and runner is empty, when the request would queue for too long at every
	// runner. retryAfter is the delay after which there is expected to be capacity.
	overloaded bool
	retryAfter time.Duration
	// queueWait is the time that the request is expected to queue, and queueLimit the limit on it
	// that was applied. forShare is set when the request was refused only because its tenant
	// exceeds its fair share.
	queueWait  time.Duration
	queueLimit admission.QueueLimit
	forShare   bool
	// heldBack is set, and runner is empty, when no runner accepts a request at present. permitted
	// is set when the runner limits its requests and the scheduler granted a permit; requestedAt is
	// when the scheduler was asked.
	heldBack    bool
	permitted   bool
	requestedAt time.Time
	// reachedByOthers is set, with overloaded or heldBack, if other routers reach runners to which this one has lost its path.
	reachedByOthers bool
	// version is the target version of a rollout that the send may use, empty for none.
	version string
	// leaveReason is why the runner is in another region.
	leaveReason placement.LeaveReason
}

// placementRequest is a request to the schedulers that has not been answered yet.
type placementRequest struct {
	schedulers *schedulers
	// scheduler is the one that is being asked.
	scheduler atomic.Pointer[string]
	choices   chan *placementChoice
	// cancelled is closed when nobody waits for the choice any more.
	canceled chan struct{}
}

// requestPlacement asks the schedulers to choose a runner, one after the other until one has chosen.
// It returns nil if this router has to choose one itself.
func (s *schedulers) requestPlacement(query backend.Query, timeLeft time.Duration) *placementRequest {
	order := s.order(s.gateway.now())
	if s.gateway.isBrittle(query.Service) && !s.isScheduler() {
		// Standby schedulers don't count the room of brittle runners.
		order = s.seedsInOrder(s.gateway.now())
	}
	if len(order) == 0 {
		return nil
	}
	r := &placementRequest{schedulers: s, choices: make(chan *placementChoice), canceled: make(chan struct{})}
	r.scheduler.Store(&order[0])
	message := encodePlacementQuery(query, s.lastSendNumber.Add(1), timeLeft)
	go func() {
		choice := r.ask(order, message)
		select {
		case r.choices <- choice:
		case <-r.canceled:
			s.release(choice)
		}
	}()
	return r
}

// ask asks the schedulers in order until one answers or nobody waits for the choice any more. A
// scheduler that is lost refuses the connection, which leaves time to ask the next one.
func (r *placementRequest) ask(order []string, message *wire.RunnerAsk) *placementChoice {
	for i := range order {
		r.scheduler.Store(&order[i])
		choice, answered := r.schedulers.callScheduler(order[i], message)
		if answered {
			return choice
		}
		select {
		case <-r.canceled:
			return nil
		default:
		}
	}
	return nil
}

// encodePlacementQuery returns the message that asks a scheduler for a runner. Remaining backoffs
// are at least 1 ms, so that they are not rounded to zero on the wire.
func encodePlacementQuery(query backend.Query, sendNumber uint64, timeLeft time.Duration) *wire.RunnerAsk {
	message := &wire.RunnerAsk{
		Send: sendNumber, Service: query.Service, Model: query.Model, Owner: query.Owner, PromptTokens: uint32(max(query.PromptTokens, 0)),
		Family: query.Family, Excluded: query.Excluded, Zone: query.Zone, LeftMillis: uint32(max(timeLeft.Milliseconds(), 0)),
		MaxQueueMillis: uint32(query.MaxQueueTime.Milliseconds()),
		TargetMillis:   uint32(query.LatencyTarget.Milliseconds()), GapMillis: uint32(query.MaxEventGap.Milliseconds()),
		Tier: uint32(query.Rank.Tier), RouteRank: uint32(query.Rank.Route), Tenant: query.Tenant,
		MaxTokens: uint32(max(query.MaxTokens, 0)), Ticket: query.Ticket, Suspect: query.SuspectContent, Route: query.Route, BoundVersion: query.BoundVersion,
		Unreachable: query.Unreachable,
	}
	for _, backoff := range query.Backoffs {
		message.Resting = append(message.Resting, backoff.Runner)
		message.RestingMillis = append(message.RestingMillis, uint32(max(backoff.Remaining.Milliseconds(), 1)))
	}
	for _, part := range query.Shared {
		message.Parts = append(message.Parts, part.ID)
		message.Depths = append(message.Depths, uint32(max(part.Depth, 0)))
	}
	return message
}

// callScheduler sends one request to a scheduler and returns its choice, which is nil if it has no
// runner. answered is false if the scheduler declined or failed to answer.
func (s *schedulers) callScheduler(scheduler string, message *wire.RunnerAsk) (choice *placementChoice, answered bool) {
	requestedAt := s.gateway.now()
	reply, roundTrip := s.gateway.peerRouters.Call(scheduler, &wire.Envelope{Body: &wire.Envelope_RunnerAsk{RunnerAsk: message}})
	answer := reply.GetRunnerAnswer()
	answered = answer != nil && !answer.GetDeclined()
	s.gateway.metrics.placementCalls.WithLabelValues(outcomeLabel(answered)).Observe(roundTrip.Seconds())
	if !answered {
		s.markUnresponsive(scheduler)
		return nil, false
	}
	s.mutex.Lock()
	s.ranking.RecordReply(scheduler, answer.GetZone(), roundTrip)
	s.mutex.Unlock()
	queueWait, queueLimit := time.Duration(answer.GetQueueMillis())*time.Millisecond, decodeQueueLimit(answer)
	if answer.GetOverloaded() {
		return &placementChoice{
			scheduler: scheduler, overloaded: true, retryAfter: time.Duration(answer.GetRetryAfterMillis()) * time.Millisecond,
			queueWait: queueWait, queueLimit: queueLimit, forShare: answer.GetForShare(), reachedByOthers: answer.GetReachedByOthers(),
		}, true
	}
	if answer.GetHeldBack() {
		return &placementChoice{scheduler: scheduler, heldBack: true, retryAfter: time.Duration(answer.GetRetryAfterMillis()) * time.Millisecond, queueLimit: queueLimit, reachedByOthers: answer.GetReachedByOthers()}, true
	}
	if answer.GetRunner() == "" {
		return nil, true
	}
	return &placementChoice{
		scheduler: scheduler, sendNumber: message.GetSend(), runner: answer.GetRunner(), cachedTokens: int(answer.GetCachedTokens()),
		expectedWait: time.Duration(answer.GetWaitMillis()) * time.Millisecond, pendingRequests: int(answer.GetPendingRequests()),
		queueWait: queueWait, queueLimit: queueLimit, permitted: answer.GetPermitted(), requestedAt: requestedAt, version: answer.GetVersion(),
		leaveReason: placement.LeaveReason(min(answer.GetLeaveReason(), math.MaxUint8)),
	}, true
}

// permit returns the permit that the scheduler granted for the send. It is invalid if the runner
// does not limit its requests.
func (p *placementChoice) permit() backpressure.Permit {
	if !p.permitted {
		return backpressure.Permit{}
	}
	return backpressure.NewPermit(p.requestedAt)
}

// markUnresponsive records a timeout of the scheduler, so that this router asks it last for a
// while.
func (s *schedulers) markUnresponsive(scheduler string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ranking.RecordTimeout(s.gateway.now(), scheduler)
}

// await returns the choice, or nil if none arrives within the timeout or before the context is
// done. A choice that arrives later is released.
func (r *placementRequest) await(ctx context.Context, patience time.Duration) *placementChoice {
	if r == nil {
		return nil
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case choice := <-r.choices:
		return choice
	case <-timer.C:
		r.schedulers.markUnresponsive(*r.scheduler.Load())
	case <-ctx.Done():
	}
	close(r.canceled)
	return nil
}

// discard ends the request when the call does not send anything.
func (r *placementRequest) discard() {
	if r != nil {
		close(r.canceled)
	}
}

// release tells the scheduler that its choice is not used. The outcome is NotConfirmed because the
// time since the choice was mostly spent receiving the request body and is no evidence about the
// runner.
func (s *schedulers) release(p *placementChoice) {
	s.notify(p, &wire.SendNotice{Ended: true, Outcome: uint32(backend.NotConfirmed)})
}

// notify tells the scheduler that the send got its first response or ended. If the notice is lost, the
// scheduler drops the send after its deadline.
func (s *schedulers) notify(p *placementChoice, notice *wire.SendNotice) {
	if p == nil || p.overloaded || p.heldBack {
		return
	}
	notice.Send = p.sendNumber
	_ = s.gateway.peerRouters.transport.Send("", p.scheduler, &wire.Envelope{Body: &wire.Envelope_SendNotice{SendNotice: notice}})
}

// brittlePlacePatience is the maximum time that a call waits for a scheduler's choice among brittle
// runners. Without a choice it is refused, because this router doesn't know how much room they have.
const brittlePlacePatience = 100 * time.Millisecond

// isBrittle reports whether the service's runners are brittle.
func (g *Gateway) isBrittle(service string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.IsBrittle(g.now(), service)
}

// startPlacement requests a runner for the next send. For the first send it does so while the
// request body arrives.
func (c *call) startPlacement() {
	c.query = c.newQuery()
	if c.gateway.egress.bypasses(c) {
		// The scheduler would reserve a runner for a send that is never made.
		return
	}
	c.placementRequest = c.gateway.schedulers.requestPlacement(c.query, c.gateway.until(c.deadline))
}

// awaitPlacement returns the scheduler's choice for the next send, or nil if there is none.
func (c *call) awaitPlacement() *placementChoice {
	patience := c.gateway.settings.PlacePatience
	if c.gateway.isBrittle(c.service) {
		patience = max(patience, brittlePlacePatience)
	}
	choice := c.placementRequest.await(c.ctx, patience)
	c.placementRequest = nil
	return choice
}

// acceptChoice returns the pick that corresponds to a scheduler's choice. It returns false if there
// is no choice, and rejects and releases the choice of a runner that this router knows not to be
// usable. The gateway's mutex must be held.
func (c *call) acceptChoice(now time.Time, choice *placementChoice) (placement.Pick, bool) {
	g := c.gateway
	c.schedulerChoice = nil
	if choice == nil {
		return placement.Pick{}, false
	}
	g.fairShares.recordReportedExcess(now, c.query, choice.queueLimit.Excess)
	c.queueLimit, c.refusedForShare, c.reachedByOthers = choice.queueLimit, choice.forShare, choice.reachedByOthers
	if choice.overloaded {
		return placement.Pick{Status: placement.Overloaded, RetryAfter: choice.retryAfter, QueueWait: choice.queueWait}, true
	}
	if choice.heldBack && !choice.reachedByOthers && len(c.query.Unreachable) > 0 {
		return placement.Pick{}, false
	}
	if choice.heldBack {
		return placement.Pick{Status: placement.AllHeldBack, RetryAfter: choice.retryAfter}, true
	}
	c.query.TargetVersion, c.versionPermittedAt = choice.version, choice.requestedAt
	if !g.rolloutDriver.MaySend(now, c.query, choice.requestedAt) || !g.runners.Usable(now, choice.runner, c.query, choice.permit()) {
		c.query.TargetVersion = ""
		c.bufferLog(events.PlacementDeclined, events.Fields{"runner": choice.runner, "scheduler": choice.scheduler})
		if rejected, listed := g.runners.Get(choice.runner); listed {
			g.signals.resend(now, rejected)
		}
		g.schedulers.release(choice)
		return placement.Pick{}, false
	}
	c.schedulerChoice = choice
	return placement.Pick{Status: placement.Picked, Wait: choice.expectedWait, QueueWait: choice.queueWait, LeaveReason: choice.leaveReason, Candidate: placement.Candidate{
		Name: choice.runner, CachedTokens: choice.cachedTokens, PendingRequests: choice.pendingRequests,
	}}, true
}
