package admission

import (
	"math"
	"time"
)

// Parameters of RetrySchedule.
const (
	// reservedShare is the part of a class's measured admission rate that is reserved for retries.
	reservedShare = 0.7
	// minReservationRate is the lowest rate of reservations in requests per second. It applies
	// when none of the class's requests are admitted.
	minReservationRate = 0.5
	// admissionHalfLife is the half-life of the measured admission rate.
	admissionHalfLife = 3 * time.Second
	// earlyTolerance is how long before its time a reservation can be redeemed, to allow for
	// callers' clocks and pauses. lateTolerance is how long after its time it expires.
	earlyTolerance = 200 * time.Millisecond
	lateTolerance  = 10 * time.Second
	// MaxReservations is the maximum number of stored reservations.
	MaxReservations = 1 << 16
)

// scheduledRetry is the reservation of one refused request.
type scheduledRetry struct {
	class int
	due   time.Time
}

// classState is the schedule of one priority class.
type classState struct {
	// admissionRate is the decaying rate of admissions per second.
	admissionRate float64
	rateUpdatedAt time.Time
	// nextFree is the earliest time that is not reserved yet.
	nextFree time.Time
	// outstanding is the number of reservations that are neither redeemed nor expired.
	outstanding int
}

// RetrySchedule reserves retry times for refused requests, so that a caller that retries at the
// given time finds capacity. Each refused request gets the next free time of its class, times are
// spaced by the class's recent admission rate, and a request that is retried at its time is
// preferred to new ones. It is not safe for concurrent use.
type RetrySchedule struct {
	byTicket    map[uint64]scheduledRetry
	classes     map[int]*classState
	nextCleanup time.Time
}

// NewRetrySchedule returns an empty RetrySchedule.
func NewRetrySchedule() *RetrySchedule {
	return &RetrySchedule{byTicket: map[uint64]scheduledRetry{}, classes: map[int]*classState{}}
}

func (s *RetrySchedule) class(now time.Time, number int) *classState {
	state := s.classes[number]
	if state == nil {
		state = &classState{rateUpdatedAt: now}
		s.classes[number] = state
	}
	elapsed := now.Sub(state.rateUpdatedAt)
	if elapsed > 0 {
		state.admissionRate *= math.Exp2(-elapsed.Seconds() / admissionHalfLife.Seconds())
		state.rateUpdatedAt = now
	}
	return state
}

// RecordAdmission records an admitted request of the class.
func (s *RetrySchedule) RecordAdmission(now time.Time, class int) {
	// With this weight the decaying sum converges to the rate.
	s.class(now, class).admissionRate += math.Ln2 / admissionHalfLife.Seconds()
}

// ReserveForTicket reserves a retry time for a refused request and returns the time until it,
// which is at least earliest. A request that is refused again keeps its reservation.
func (s *RetrySchedule) ReserveForTicket(now time.Time, ticket uint64, class int, earliest time.Duration) time.Duration {
	s.removeExpired(now)
	if after, known := s.Reserved(now, ticket); known {
		return after
	}
	due := now.Add(s.ReserveNext(now, class, earliest))
	s.store(now, ticket, scheduledRetry{class, due})
	return due.Sub(now)
}

// Reserved returns the time until the ticket's reservation, and false if it has none in the
// future.
func (s *RetrySchedule) Reserved(now time.Time, ticket uint64) (after time.Duration, found bool) {
	retry, found := s.byTicket[ticket]
	if !found || ticket == 0 || !retry.due.After(now) {
		return 0, false
	}
	return retry.due.Sub(now), true
}

// AddExternal adds a reservation made by another schedule.
func (s *RetrySchedule) AddExternal(now time.Time, ticket uint64, class int, after time.Duration) {
	s.removeExpired(now)
	s.store(now, ticket, scheduledRetry{class, now.Add(after)})
}

func (s *RetrySchedule) store(now time.Time, ticket uint64, retry scheduledRetry) {
	if len(s.byTicket) < MaxReservations {
		s.remove(ticket)
		s.byTicket[ticket] = retry
		s.class(now, retry.class).outstanding++
	}
}

// NextFree returns the time until the next free time of the class, at least earliest.
func (s *RetrySchedule) NextFree(now time.Time, class int, earliest time.Duration) time.Duration {
	return max(s.class(now, class).nextFree.Sub(now), earliest)
}

// ReserveNext reserves the next free time of the class for a caller that cannot be identified when
// it retries. It returns the time until the reservation, which is at least earliest.
func (s *RetrySchedule) ReserveNext(now time.Time, class int, earliest time.Duration) time.Duration {
	state, after := s.class(now, class), s.NextFree(now, class, earliest)
	state.nextFree = now.Add(after).Add(time.Duration(float64(time.Second) / math.Max(state.admissionRate*reservedShare, minReservationRate)))
	return after
}

// Redeem reports whether the request is retried at its reserved time. It removes the reservation
// unless the retry is too early.
func (s *RetrySchedule) Redeem(now time.Time, ticket uint64) bool {
	retry, found := s.byTicket[ticket]
	if !found || now.Before(retry.due.Add(-earlyTolerance)) {
		return false
	}
	s.remove(ticket)
	return !now.After(retry.due.Add(lateTolerance))
}

func (s *RetrySchedule) remove(ticket uint64) {
	if retry, found := s.byTicket[ticket]; found {
		delete(s.byTicket, ticket)
		s.classes[retry.class].outstanding--
	}
}

// HasOutstanding reports whether the class has outstanding reservations, to which new requests of
// the class give precedence.
func (s *RetrySchedule) HasOutstanding(now time.Time, class int) bool {
	s.removeExpired(now)
	return s.class(now, class).outstanding > 0
}

// removeExpired removes the reservations of callers that did not retry. It runs at most once per
// second.
func (s *RetrySchedule) removeExpired(now time.Time) {
	if now.Before(s.nextCleanup) {
		return
	}
	s.nextCleanup = now.Add(time.Second)
	for ticket, retry := range s.byTicket {
		if now.After(retry.due.Add(lateTolerance)) {
			s.remove(ticket)
		}
	}
}
