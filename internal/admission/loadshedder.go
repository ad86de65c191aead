package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// exemptShare is the share of requests whose bound is not tightened by higher ranks. It keeps any
// kind of request from being starved while a higher rank needs all runners: a caller that retries
// a few times in a minute is served once.
const exemptShare = 0.05

// tightens reports whether the queue bounds of rank other are tightened when requests of rank r
// are about to be late. That holds for later routes of the same tier or of a lower tier. Tenants
// pay for tiers, so no route yields to a lower tier. A lower tier with the same route keeps its
// bound, which is shorter anyway: refusing its requests would free little, as they occupy the
// runners as briefly as those of rank r.
func (r Rank) tightens(other Rank) bool {
	return r.Tier <= other.Tier && r.Route < other.Route
}

// Request describes a request that is waiting for a runner.
type Request struct {
	Service string
	Rank    Rank
	// LatencyTarget is the longest time until the first event of a response that counts as on time;
	// 0 means no target.
	LatencyTarget time.Duration
	// MaxQueue is the request's own bound on its expected queueing time, as returned by
	// DrawMaxQueue. A request with bound 0 is never refused.
	MaxQueue time.Duration
	// TimeLeft is the time for which the caller still waits.
	TimeLeft time.Duration
	// Excess divides the bound of a tenant above its fair share (see fairshare.Tracker.Excess). It
	// is 1 for a tenant at or below its share.
	Excess float64
	// Ticket identifies the request if it is refused and retried; 0 means that it cannot be
	// identified.
	Ticket uint64
}

// Load is the load of the runners that could serve a request.
type Load struct {
	// OpenRequests is the number of requests on the runners. Slots is the number that the runners
	// can process concurrently.
	OpenRequests, Slots int
}

// halfFree reports whether at least half of the slots are free. In that case no request is refused
// in favor of another: queues on such runners are caused by memory or prefill and are short-lived,
// so refusing requests would gain nothing.
func (l Load) halfFree() bool { return 2*l.OpenRequests <= l.Slots }

// QueueLimit is the queue bound that applies to one request.
type QueueLimit struct {
	// MaxQueue is the longest accepted expected queueing time; 0 means no bound.
	MaxQueue time.Duration
	// MaxQueueAtFairShare is the value that MaxQueue would have for a tenant at its fair share.
	// Excess is the divisor from the request, at least 1.
	MaxQueueAtFairShare time.Duration
	Excess              float64
	// PriorityFactor is the factor by which higher ranks reduce the request's own bound, 1 for no
	// reduction.
	PriorityFactor float64
	// Returned is set for a request that is retried at its reserved time.
	Returned bool
}

// LoadShedder decides which requests for the same runners are refused when not all of them can be
// served in time. Requests of lower ranks are refused first, and only as far as requests of higher
// ranks would otherwise be late. It is not safe for concurrent use.
type LoadShedder struct {
	random   *rand.Rand
	services map[string]*serviceState
}

// serviceState is the load shedder's state for the requests of one service.
type serviceState struct {
	pressures map[Rank]*rankPressure
	retries   *retryAdvisor
}

// NewLoadShedder returns a LoadShedder without observations.
func NewLoadShedder(random *rand.Rand) *LoadShedder {
	return &LoadShedder{random: random, services: map[string]*serviceState{}}
}

func (l *LoadShedder) service(name string) *serviceState {
	state := l.services[name]
	if state == nil {
		state = &serviceState{pressures: map[Rank]*rankPressure{}, retries: newRetryAdvisor()}
		l.services[name] = state
	}
	return state
}

// QueueLimit returns the bound of a request for runners with the given load. It redeems the
// request's retry reservation, so it must be called once per decision.
func (l *LoadShedder) QueueLimit(now time.Time, request Request, load Load) QueueLimit {
	limit := QueueLimit{MaxQueue: request.MaxQueue, MaxQueueAtFairShare: request.MaxQueue, PriorityFactor: 1, Excess: math.Max(request.Excess, 1)}
	if request.MaxQueue <= 0 {
		return limit
	}
	state := l.service(request.Service)
	limit.Returned = state.retries.redeem(now, request)
	if load.halfFree() {
		return limit
	}
	if !limit.Returned && l.random.Float64() >= exemptShare {
		limit.PriorityFactor = state.priorityFactor(now, request)
		limit.MaxQueueAtFairShare = max(time.Duration(limit.PriorityFactor*float64(request.MaxQueue)), time.Millisecond)
	}
	limit.MaxQueue = fairShareBound(limit.MaxQueueAtFairShare, request)
	return limit
}

// fairShareBound divides a bound by the excess of the tenant. The result is not lower than the
// queueing time up to which no request of the rank is refused, because refusing a request that
// queues for less benefits nobody.
func fairShareBound(bound time.Duration, request Request) time.Duration {
	divided := time.Duration(float64(bound) / math.Max(request.Excess, 1))
	return min(max(divided, LowestMaxQueue(request.LatencyTarget, request.Rank)), bound)
}

// priorityFactor returns the lowest factor that the higher ranks impose on the request's bound.
func (s *serviceState) priorityFactor(now time.Time, request Request) float64 {
	lowest := 1.0
	for rank, p := range s.pressures {
		if rank.tightens(request.Rank) {
			lowest = min(lowest, p.factorFor(now, request.LatencyTarget))
		}
	}
	return lowest
}

// RecordDecision records the expected queueing time of a request and whether it was refused. For a
// refused request it returns the time after which to retry: the reserved time or, failing that, a
// time that is at least earliest unless the caller waits for less. It returns 0 for an admitted
// request and earliest for a request without a bound.
func (l *LoadShedder) RecordDecision(now time.Time, request Request, queueTime time.Duration, refused bool, earliest time.Duration) time.Duration {
	if request.MaxQueue <= 0 {
		return earliest
	}
	state := l.service(request.Service)
	p := state.pressures[request.Rank]
	if p == nil {
		p = newRankPressure(now)
		state.pressures[request.Rank] = p
	}
	p.record(now, request.LatencyTarget, queueTime)
	if !refused {
		state.retries.recordAdmission(now, request)
		return 0
	}
	return state.retries.retryAfter(now, request, earliest, l.random)
}

// TakeReservations returns the reservations made since the last call, to be sent to the other
// schedulers.
func (l *LoadShedder) TakeReservations() []Reservation {
	var taken []Reservation
	for _, state := range l.services {
		taken = append(taken, state.retries.takeReservations()...)
	}
	return taken
}

// AddReservation adds a reservation made by another scheduler.
func (l *LoadShedder) AddReservation(now time.Time, reservation Reservation) {
	l.service(reservation.Service).retries.schedule.AddExternal(now, reservation.Ticket, classOf(reservation.Rank), reservation.After)
}
