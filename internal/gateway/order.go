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

// percent converts fractions to the percentages used in messages and logs.
const percent = 100

// placeRequest chooses a runner for a request whose caller waits for at most timeLeft, or refuses
// the request. Schedulers call it for the requests of other routers, and routers that choose
// runners themselves for their own calls. It also returns the queue limit that applied, and whether
// the request was refused only because its tenant exceeds its fair share. The gateway's mutex must
// be held.
//
// The request may go to the target version of a rollout, and then names that version afterwards.
func (g *Gateway) placeRequest(now time.Time, query *backend.Query, timeLeft time.Duration) (chosen placement.Pick, queueLimit admission.QueueLimit, refusedForShare bool) {
	return g.placeRequestWithExcess(now, query, timeLeft, g.fairShares.excess(now, *query))
}

// placeRequestWithExcess is placeRequest for a tenant with the given excess over its fair share.
func (g *Gateway) placeRequestWithExcess(now time.Time, query *backend.Query, timeLeft time.Duration, excess float64) (chosen placement.Pick, queueLimit admission.QueueLimit, refusedForShare bool) {
	admissionRequest := admission.Request{
		Service: query.Service, Rank: query.Rank, LatencyTarget: query.LatencyTarget, MaxQueue: query.MaxQueueTime, TimeLeft: timeLeft,
		Excess: excess, Ticket: query.Ticket,
	}
	if query.TargetVersion == "" {
		chosen, queueLimit = g.chooseForRollout(now, query, admissionRequest)
	} else {
		chosen, queueLimit = g.chooseRunner(now, *query, admissionRequest, nil)
	}
	if chosen.Status == placement.Picked {
		g.rolloutDriver.RecordPlaced(now, *query)
		if query.Fallback {
			g.metrics.rolloutFallbacks.WithLabelValues(query.Service).Inc()
		}
	}
	if chosen.Status == placement.NoRunner || chosen.Status == placement.AllHeldBack {
		return chosen, queueLimit, false
	}
	refused := chosen.Status == placement.Overloaded
	refusedForShare = refused && chosen.QueueWait <= queueLimit.MaxQueueAtFairShare
	g.fairShares.recordChoice(now, *query, chosen, refusedForShare)
	reservedRetryAfter := g.loadShedder.RecordDecision(now, admissionRequest, chosen.QueueWait, refused, max(chosen.RetryAfter, busyRetryAfter))
	switch {
	case refusedForShare:
		// A caller that retries before its tenant's recorded usage has decayed to its share is
		// refused again.
		chosen.RetryAfter = max(chosen.RetryAfter, g.fairShares.recoveryTime(queueLimit.Excess))
	case refused:
		chosen.RetryAfter = reservedRetryAfter
	}
	return chosen, queueLimit, refusedForShare
}

// chooseForRollout chooses a runner of the version to which a rollout sends the request, if there is one,
// and otherwise one of the versions that the service's rule allows. The queue limit is asked for once: it
// uses up the caller's retry reservation.
func (g *Gateway) chooseForRollout(now time.Time, query *backend.Query, admissionRequest admission.Request) (chosen placement.Pick, queueLimit admission.QueueLimit) {
	target := g.rolloutDriver.TakeTarget(now, *query, g.runners)
	query.TargetVersion, query.Testing = target.Version, target.Testing
	chosen, queueLimit = g.chooseRunner(now, *query, admissionRequest, nil)
	if chosen.Status != placement.Picked && target.IsCounted() {
		g.rolloutDriver.ReturnTarget(query.Service, target)
		query.TargetVersion, query.Testing = "", false
		chosen, _ = g.chooseRunner(now, *query, admissionRequest, &queueLimit)
	}
	if chosen.Status != placement.NoRunner {
		return chosen, queueLimit
	}
	if version := g.rolloutFallback(*query); version != "" {
		query.TargetVersion, query.Fallback = version, true
		chosen, _ = g.chooseRunner(now, *query, admissionRequest, &queueLimit)
	}
	return chosen, queueLimit
}

// rolloutFallback returns the version to which the request may go if no runner of the other versions is
// left, and else "".
func (g *Gateway) rolloutFallback(query backend.Query) string {
	return g.rolloutDriver.Fallback(query, func(target string) bool { return g.runners.HaveVersion(query.Excluded, target) })
}

// chooseRunner chooses a runner that the query allows, within the queue limit. It asks for the limit if
// there is none yet.
func (g *Gateway) chooseRunner(now time.Time, query backend.Query, admissionRequest admission.Request, known *admission.QueueLimit) (chosen placement.Pick, queueLimit admission.QueueLimit) {
	request, candidates := g.runners.Candidates(now, query)
	if known != nil {
		queueLimit = *known
	} else {
		queueLimit = g.loadShedder.QueueLimit(now, admissionRequest, totalLoad(candidates))
	}
	request.MaxWait = queueLimit.MaxQueue
	chosen = placement.Choose(request, candidates, placementWeights, g.random)
	if chosen.Status != placement.Picked && g.runners.IsSampled(query) {
		request, candidates = g.runners.CandidatesIn(now, query, g.runners.NextScope(now))
		request.MaxWait = queueLimit.MaxQueue
		chosen = placement.Choose(request, candidates, placementWeights, g.random)
	}
	switch chosen.Status {
	case placement.Picked:
		chosen.LeaveReason = g.runners.LeaveReason(now, query, request, candidates, chosen.Candidate.Name)
	case placement.AllHeldBack:
		chosen.RetryAfter = g.heldBackRetryAfter(now, query.Service, request.HeldBack)
	}
	return chosen, queueLimit
}

// totalLoad returns the total load and capacity of the candidates that are not leaving.
func totalLoad(candidates []placement.Candidate) admission.Load {
	load := admission.Load{}
	for _, candidate := range candidates {
		if !candidate.Leaving {
			load.OpenRequests += candidate.PendingRequests
			load.Slots += candidate.Report.Load.MaxRunning
		}
	}
	return load
}

// decodeQueueLimit returns the queue limit from a scheduler's answer.
func decodeQueueLimit(answer *wire.RunnerAnswer) admission.QueueLimit {
	return admission.QueueLimit{
		MaxQueue:       time.Duration(answer.GetMaxQueueMillis()) * time.Millisecond,
		PriorityFactor: float64(answer.GetYieldPercent()) / percent, Returned: answer.GetReturned(), Excess: decodeExcess(answer),
	}
}

// recordQueueLimit records the expected queueing time of the call, and counts the applied queue
// limit in the metrics if the call has one.
func (c *call) recordQueueLimit(chosen placement.Pick) {
	c.expectedQueueTime = chosen.QueueWait
	if c.query.MaxQueueTime > 0 {
		c.gateway.metrics.observeQueueLimit(c.route.Name, chosen.Status == placement.Overloaded, c.queueLimit)
	}
}

// ticket returns a hash of the call's tenant, route and prompt, by which a refused call is
// recognized when its caller retries. It is 0 for calls without a prompt.
func (c *call) ticket() uint64 {
	last := len(c.metadata.Prompt) - 1
	if last < 0 {
		return 0
	}
	part := c.metadata.Prompt[last]
	return rendezvous.KeyOf(c.tenantName() + "/" + c.route.Name + "/" + part.ID + ":" + strconv.Itoa(part.Tokens))
}

// encodeReservations encodes the retry times reserved for refused callers for other schedulers.
func encodeReservations(reservations []admission.Reservation) []*wire.ReturnPromise {
	var messages []*wire.ReturnPromise
	for _, reservation := range reservations {
		messages = append(messages, &wire.ReturnPromise{
			Service: reservation.Service, Tier: uint32(reservation.Rank.Tier), RouteRank: uint32(reservation.Rank.Route),
			Ticket: reservation.Ticket, AfterMillis: uint32(max(reservation.After.Milliseconds(), 0)),
		})
	}
	return messages
}

// decodeReservation is the inverse of encodeReservations for one reservation.
func decodeReservation(message *wire.ReturnPromise) admission.Reservation {
	return admission.Reservation{
		Service: message.GetService(), Rank: admission.Rank{Tier: int(message.GetTier()), Route: int(message.GetRouteRank())},
		Ticket: message.GetTicket(), After: time.Duration(message.GetAfterMillis()) * time.Millisecond,
	}
}
