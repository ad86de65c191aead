package gateway

import (
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// percent turns shares into whole numbers of messages and logs.
const percent = 100

// decide chooses the runner of a request whose caller waits for the time left, or
// refuses it. Schedulers decide so for others, and routers that choose themselves for
// their own calls. It also returns the bound that held, and whether the request was refused
// only as its tenant is beyond its fair share. The gateway's mutex is held.
func (g *Gateway) decide(now time.Time, query backend.Query, left time.Duration) (chosen placement.Pick, limit admission.QueueLimit, forShare bool) {
	return g.decideWith(now, query, left, g.shares.excess(now, query))
}

// decideWith decides about a request of a tenant with the excess.
func (g *Gateway) decideWith(now time.Time, query backend.Query, left time.Duration, excess float64) (chosen placement.Pick, limit admission.QueueLimit, forShare bool) {
	request, candidates := g.runners.Candidates(now, query)
	demand := admission.Request{
		Service: query.Service, Rank: query.Rank, TargetLatency: query.TargetLatency, MaxQueue: query.MaxQueueTime, TimeLeft: left,
		Excess: excess, Ticket: query.Ticket,
	}
	limit = g.loadShedder.QueueLimit(now, demand, loadOf(candidates))
	request.MaxWait = limit.MaxQueue
	chosen = placement.Choose(request, candidates, placementWeights, g.random)
	if chosen.Status == placement.AllHeldBack {
		chosen.RetryAfter = g.whenTaken(now, query.Service, request.HeldBack)
	}
	if chosen.Status == placement.NoRunner || chosen.Status == placement.AllHeldBack {
		return chosen, limit, false
	}
	refused := chosen.Status == placement.Overloaded
	forShare = refused && chosen.QueueWait <= limit.MaxQueueAtFairShare
	g.shares.noteChoice(now, query, chosen, forShare)
	after := g.loadShedder.RecordDecision(now, demand, chosen.QueueWait, refused, max(chosen.RetryAfter, busyRetryAfter))
	switch {
	case forShare:
		// A caller that comes back before its tenant's use has faded is refused again.
		chosen.RetryAfter = max(chosen.RetryAfter, g.shares.fades(limit.Excess))
	case refused:
		chosen.RetryAfter = after
	}
	return chosen, limit, forShare
}

// loadOf sums up how full the runners are that are not leaving.
func loadOf(candidates []placement.Candidate) admission.Load {
	load := admission.Load{}
	for _, candidate := range candidates {
		if !candidate.Leaving {
			load.OpenRequests += candidate.PendingRequests
			load.Slots += candidate.Report.Load.MaxRunning
		}
	}
	return load
}

// limitOf is the bound that a scheduler tells of.
func limitOf(answer *wire.RunnerAnswer) admission.QueueLimit {
	return admission.QueueLimit{
		MaxQueue:       time.Duration(answer.GetMaxQueueMillis()) * time.Millisecond,
		PriorityFactor: float64(answer.GetYieldPercent()) / percent, Returned: answer.GetReturned(), Excess: excessOf(answer),
	}
}

// noteLimit keeps and counts what was decided about the call's queueing.
func (c *call) noteLimit(chosen placement.Pick) {
	c.queueing = chosen.QueueWait
	if c.query.MaxQueueTime > 0 {
		c.gateway.metrics.observeQueueLimit(c.route.Name, chosen.Status == placement.Overloaded, c.limit)
	}
}

// ticket names a call of a prompt by whose it is and what it holds, so that it is known
// when it comes back; 0 without a prompt.
func (c *call) ticket() uint64 {
	last := len(c.facts.Prompt) - 1
	if last < 0 {
		return 0
	}
	part := c.facts.Prompt[last]
	return rendezvous.KeyOf(c.tenantName() + "/" + c.route.Name + "/" + part.ID + ":" + strconv.Itoa(part.Tokens))
}

// promiseMessages tells other schedulers of promises to refused callers.
func promiseMessages(promises []admission.Reservation) []*wire.ReturnPromise {
	var messages []*wire.ReturnPromise
	for _, promise := range promises {
		messages = append(messages, &wire.ReturnPromise{
			Service: promise.Service, Tier: uint32(promise.Rank.Tier), RouteRank: uint32(promise.Rank.Route),
			Ticket: promise.Ticket, AfterMillis: uint32(max(promise.After.Milliseconds(), 0)),
		})
	}
	return messages
}

func promiseOf(message *wire.ReturnPromise) admission.Reservation {
	return admission.Reservation{
		Service: message.GetService(), Rank: admission.Rank{Tier: int(message.GetTier()), Route: int(message.GetRouteRank())},
		Ticket: message.GetTicket(), After: time.Duration(message.GetAfterMillis()) * time.Millisecond,
	}
}
