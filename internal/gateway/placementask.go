package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// placed is a scheduler's choice for one send.
type placed struct {
	scheduler string
	send      uint64
	runner    string
	// cachedTokens is how much of the prompt the runner is expected to keep, wait the
	// expected time to the first token, and pendingRequests how many it had.
	cachedTokens    int
	wait            time.Duration
	pendingRequests int
	// refused is set, in place of a runner, when the request would queue for too long
	// everywhere, and retryAfter is when there will be room.
	refused    bool
	retryAfter time.Duration
	// queueing is the time that the request is expected to queue, and limit the bound
	// that held for it. forShare is set when it was refused only for its tenant's share.
	queueing time.Duration
	limit    admission.QueueLimit
	forShare bool
	// heldBack is set in place of a runner when all of them take no request now, and
	// permitted when the choice is one that the limit of its runner allows; asked is when the
	// scheduler was asked.
	heldBack  bool
	permitted bool
	asked     time.Time
}

// placementAsk is a question to a scheduler that is under way.
type placementAsk struct {
	schedulers *schedulers
	scheduler  string
	answers    chan *placed
	// unwanted is closed when nobody waits any more.
	unwanted chan struct{}
}

// ask asks the nearest scheduler for a runner. It returns nil when this router is to
// choose itself.
func (s *schedulers) ask(query backend.Query, left time.Duration) *placementAsk {
	scheduler := s.nearest(s.gateway.now())
	if scheduler == "" {
		return nil
	}
	a := &placementAsk{schedulers: s, scheduler: scheduler, answers: make(chan *placed), unwanted: make(chan struct{})}
	message := askMessage(query, s.sends.Add(1), left)
	go func() {
		answer := s.call(scheduler, message)
		select {
		case a.answers <- answer:
		case <-a.unwanted:
			s.release(answer)
		}
	}()
	return a
}

func askMessage(query backend.Query, send uint64, left time.Duration) *wire.RunnerAsk {
	message := &wire.RunnerAsk{
		Send: send, Service: query.Service, Model: query.Model, Owner: query.Owner, PromptTokens: uint32(max(query.PromptTokens, 0)),
		Family: query.Family, Excluded: query.Excluded, Zone: query.Zone, LeftMillis: uint32(max(left.Milliseconds(), 0)),
		MaxQueueMillis: uint32(query.MaxQueueTime.Milliseconds()),
		TargetMillis:   uint32(query.TargetLatency.Milliseconds()), GapMillis: uint32(query.MaxEventGap.Milliseconds()),
		Tier: uint32(query.Rank.Tier), RouteRank: uint32(query.Rank.Route), Tenant: query.Tenant,
		MaxTokens: uint32(max(query.MaxTokens, 0)), Ticket: query.Ticket, Suspect: query.SuspectContent,
	}
	for _, rest := range query.Resting {
		message.Resting = append(message.Resting, rest.Runner)
		message.RestingMillis = append(message.RestingMillis, uint32(max(rest.Remaining.Milliseconds(), 1)))
	}
	for _, part := range query.Shared {
		message.Parts = append(message.Parts, part.ID)
		message.Depths = append(message.Depths, uint32(max(part.Depth, 0)))
	}
	return message
}

// call makes one question and returns the choice, or nil.
func (s *schedulers) call(scheduler string, ask *wire.RunnerAsk) *placed {
	asked := s.gateway.now()
	reply, taken := s.gateway.relays.Call(scheduler, &wire.Envelope{Body: &wire.Envelope_RunnerAsk{RunnerAsk: ask}})
	answer := reply.GetRunnerAnswer()
	answered := answer != nil && !answer.GetDeclined()
	s.gateway.metrics.placementCalls.WithLabelValues(outcomeLabel(answered)).Observe(taken.Seconds())
	if !answered {
		s.noteSilence(scheduler)
		return nil
	}
	s.mutex.Lock()
	s.ranking.NoteAnswer(scheduler, answer.GetZone(), taken)
	s.mutex.Unlock()
	queueing, limit := time.Duration(answer.GetQueueMillis())*time.Millisecond, limitOf(answer)
	if answer.GetOverloaded() {
		return &placed{
			scheduler: scheduler, refused: true, retryAfter: time.Duration(answer.GetRetryAfterMillis()) * time.Millisecond,
			queueing: queueing, limit: limit, forShare: answer.GetForShare(),
		}
	}
	if answer.GetHeldBack() {
		return &placed{scheduler: scheduler, heldBack: true, retryAfter: time.Duration(answer.GetRetryAfterMillis()) * time.Millisecond, limit: limit}
	}
	if answer.GetRunner() == "" {
		return nil
	}
	return &placed{
		scheduler: scheduler, send: ask.GetSend(), runner: answer.GetRunner(), cachedTokens: int(answer.GetCachedTokens()),
		wait: time.Duration(answer.GetWaitMillis()) * time.Millisecond, pendingRequests: int(answer.GetPendingRequests()),
		queueing: queueing, limit: limit, permitted: answer.GetPermitted(), asked: asked,
	}
}

// permit is what the scheduler has granted for the send, if its runner limits requests.
func (p *placed) permit() backpressure.Permit {
	if !p.permitted {
		return backpressure.Permit{}
	}
	return backpressure.NewPermit(p.asked)
}

// noteSilence has a scheduler that did not answer asked last for a while.
func (s *schedulers) noteSilence(scheduler string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ranking.NoteSilence(s.gateway.now(), scheduler)
}

// await returns the choice, or nil if it does not come in time.
func (a *placementAsk) await(ctx context.Context) *placed {
	if a == nil {
		return nil
	}
	timer := time.NewTimer(a.schedulers.gateway.settings.PlacePatience)
	defer timer.Stop()
	select {
	case answer := <-a.answers:
		return answer
	case <-timer.C:
		a.schedulers.noteSilence(a.scheduler)
	case <-ctx.Done():
	}
	close(a.unwanted)
	return nil
}

// abandon ends the question for a call that sends nothing.
func (a *placementAsk) abandon() {
	if a != nil {
		close(a.unwanted)
	}
}

// release tells the scheduler that its choice is not used. The time since the choice, in
// which mostly a body arrived, says nothing about the runner.
func (s *schedulers) release(p *placed) { s.notify(p, true, backend.NotConfirmed, 0, 0) }

// notify tells the scheduler what became of the send, the version of the weights that
// answered, if known, and the rest that the runner wants, if any. A lost notice is made up for
// when the request's time is over.
func (s *schedulers) notify(p *placed, ended bool, outcome backend.Outcome, weights uint64, rest time.Duration) {
	if p == nil || p.refused || p.heldBack {
		return
	}
	_ = s.gateway.relays.transport.Send("", p.scheduler, &wire.Envelope{Body: &wire.Envelope_SendNotice{
		SendNotice: &wire.SendNotice{Send: p.send, Ended: ended, Outcome: uint32(outcome), Weights: weights, RestMillis: uint32(rest.Milliseconds())},
	}})
}

// startPlacement asks for the runner of the next send: of the first one while the
// call's body arrives.
func (c *call) startPlacement() {
	c.query = c.newQuery()
	c.placing = c.gateway.schedulers.ask(c.query, c.gateway.until(c.deadline))
}

// awaitPlacement returns a scheduler's choice for the next send, or nil.
func (c *call) awaitPlacement() *placed {
	answer := c.placing.await(c.ctx)
	c.placing = nil
	return answer
}

// takePlaced takes a scheduler's choice, if this router knows nothing against it. The
// gateway's mutex is held.
func (c *call) takePlaced(now time.Time, choice *placed) (placement.Pick, bool) {
	g := c.gateway
	c.placed = nil
	if choice == nil {
		return placement.Pick{}, false
	}
	g.shares.hear(now, c.query, choice.limit.Excess)
	c.limit, c.forShare = choice.limit, choice.forShare
	if choice.refused {
		return placement.Pick{Status: placement.Overloaded, RetryAfter: choice.retryAfter, QueueWait: choice.queueing}, true
	}
	if choice.heldBack {
		return placement.Pick{Status: placement.AllHeldBack, RetryAfter: choice.retryAfter}, true
	}
	if !g.runners.Usable(now, choice.runner, c.query, choice.permit()) {
		c.note(events.PlacementDeclined, events.Fields{"runner": choice.runner, "scheduler": choice.scheduler})
		if declined, listed := g.runners.Get(choice.runner); listed {
			g.signals.repeat(now, declined)
		}
		g.schedulers.release(choice)
		return placement.Pick{}, false
	}
	c.placed = choice
	return placement.Pick{Status: placement.Picked, Wait: choice.wait, QueueWait: choice.queueing, Candidate: placement.Candidate{
		Name: choice.runner, CachedTokens: choice.cachedTokens, PendingRequests: choice.pendingRequests,
	}}, true
}
