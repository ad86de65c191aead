package admission

import (
	"math/rand/v2"
	"time"
)

// Parameters of retryAdvisor.
const (
	// retryWaitShare is the share of its remaining time that a caller spends waiting before a
	// retry. A caller that is given a longer retry time retries then all the same.
	retryWaitShare = 1.0 / 3
	// maxReservationShare is the share of the latency target within which a reserved time must
	// lie; the rest is needed for the response. A caller that retries later is late in any case and
	// would take capacity from one that is not.
	maxReservationShare = 0.6
	// maxRetryAfter is the longest retry time given to callers with much time left. After a few
	// seconds a shortage caused by a burst or by lost runners is either over or known to last.
	maxRetryAfter = 5 * time.Second
	// retryJitter is the share of the retry time by which callers without a reservation may retry
	// earlier, so that they do not retry all at once.
	retryJitter = 0.3
)

// retryAdvisor tells refused callers of one service when to retry. Times are reserved per rank, at
// the rank's recent admission rate, for callers that can still be served within their latency
// target at that time.
type retryAdvisor struct {
	schedule *RetrySchedule
	// newReservations are the reservations made since the last call of takeReservations.
	newReservations []Reservation
}

// Reservation is a retry time reserved for a refused request. Schedulers, the routers that place
// requests for others, send their reservations to each other.
type Reservation struct {
	Service string
	Rank    Rank
	Ticket  uint64
	// After is the time until the request may be retried.
	After time.Duration
}

// maxNewReservations bounds the reservations that are sent to other schedulers at a time. If a
// reservation is not sent, the retry has no precedence where another router decides about it.
const maxNewReservations = 1 << 10

func newRetryAdvisor() *retryAdvisor { return &retryAdvisor{schedule: NewRetrySchedule()} }

// classOf returns the class number of a rank in a RetrySchedule.
func classOf(rank Rank) int { return rank.Tier<<16 | rank.Route }

func (r *retryAdvisor) redeem(now time.Time, request Request) bool {
	return request.Ticket != 0 && r.schedule.Redeem(now, request.Ticket)
}

func (r *retryAdvisor) recordAdmission(now time.Time, request Request) {
	r.schedule.RecordAdmission(now, classOf(request.Rank))
}

// retryAfter returns the time after which the caller of a refused request should retry. A caller
// that has a reservation keeps it. Otherwise the next free time is reserved for it or, if it could
// not be served in time then, it is told to retry near the end of the time for which it waits,
// when the shortage may be over.
func (r *retryAdvisor) retryAfter(now time.Time, request Request, earliest time.Duration, random *rand.Rand) time.Duration {
	class := classOf(request.Rank)
	if after, found := r.schedule.Reserved(now, request.Ticket); found {
		return after
	}
	longest := earliest
	if request.TimeLeft > 0 {
		longest = min(time.Duration(retryWaitShare*float64(request.TimeLeft)), maxRetryAfter)
	}
	next := r.schedule.NextFree(now, class, earliest)
	if next > min(longest, time.Duration(maxReservationShare*float64(request.LatencyTarget))) || request.Excess > 1 {
		jitter := time.Duration(retryJitter * random.Float64() * float64(longest))
		return max(longest-jitter, min(earliest, longest))
	}
	if request.Ticket == 0 {
		return r.schedule.ReserveNext(now, class, earliest)
	}
	after := r.schedule.ReserveForTicket(now, request.Ticket, class, earliest)
	if len(r.newReservations) < maxNewReservations {
		r.newReservations = append(r.newReservations, Reservation{Service: request.Service, Rank: request.Rank, Ticket: request.Ticket, After: after})
	}
	return after
}

// takeReservations returns and clears the new reservations.
func (r *retryAdvisor) takeReservations() []Reservation {
	taken := r.newReservations
	r.newReservations = nil
	return taken
}
