package admission

import (
	"math"
	"time"
)

// Times and shares of promises.
const (
	// promiseShare is the part of a class's measured admissions that is promised
	// to callers who were told to come back.
	promiseShare = 0.7
	// leastPromiseRate is promised, in requests a second, when a class gets nothing.
	leastPromiseRate = 0.5
	// admissionHalfLife is the half-life of the measured admissions.
	admissionHalfLife = 3 * time.Second
	// promiseEarly is how much before its time a promise is already honoured,
	// for clocks and pauses of callers; promiseLate is how long after it.
	promiseEarly = 200 * time.Millisecond
	promiseLate  = 10 * time.Second
	// MaxPromises bounds the remembered promises.
	MaxPromises = 1 << 16
)

// promise is a word given to one refused request.
type promise struct {
	class int
	due   time.Time
}

// classState is one priority class's schedule.
type classState struct {
	// rate is the decaying count of admissions, as requests a second.
	rate   float64
	rateAt time.Time
	// next is the first moment not promised to anybody yet.
	next time.Time
	// open counts promises not yet redeemed or forgotten.
	open int
}

// Promises schedules the return of refused requests, so that a caller who comes
// back when told finds room: each refusal takes the next free moment, moments
// are spaced by what the class was admitted of late, and a request that returns
// at its moment goes before new ones. It is not safe for concurrent use.
type Promises struct {
	byTicket map[uint64]promise
	classes  map[int]*classState
	sweepAt  time.Time
}

// NewPromises returns an empty schedule.
func NewPromises() *Promises {
	return &Promises{byTicket: map[uint64]promise{}, classes: map[int]*classState{}}
}

func (p *Promises) class(now time.Time, number int) *classState {
	state := p.classes[number]
	if state == nil {
		state = &classState{rateAt: now}
		p.classes[number] = state
	}
	elapsed := now.Sub(state.rateAt)
	if elapsed > 0 {
		state.rate *= math.Exp2(-elapsed.Seconds() / admissionHalfLife.Seconds())
		state.rateAt = now
	}
	return state
}

// Admitted notes an admission of the class.
func (p *Promises) Admitted(now time.Time, class int) {
	// With this weight the decaying sum settles at the rate itself.
	p.class(now, class).rate += math.Ln2 / admissionHalfLife.Seconds()
}

// Refuse gives a refused request its time to come back, no sooner than
// earliest. A request that is refused again keeps its place.
func (p *Promises) Refuse(now time.Time, ticket uint64, class int, earliest time.Duration) time.Duration {
	p.sweep(now)
	if after, known := p.Promised(now, ticket); known {
		return after
	}
	due := now.Add(p.Reserve(now, class, earliest))
	p.remember(now, ticket, promise{class, due})
	return due.Sub(now)
}

// Promised returns after which time the ticket's promised moment comes, if it has one that
// is still to come.
func (p *Promises) Promised(now time.Time, ticket uint64) (after time.Duration, found bool) {
	known, found := p.byTicket[ticket]
	if !found || ticket == 0 || !known.due.After(now) {
		return 0, false
	}
	return known.due.Sub(now), true
}

// Learn takes a promise that another schedule has given.
func (p *Promises) Learn(now time.Time, ticket uint64, class int, after time.Duration) {
	p.sweep(now)
	p.remember(now, ticket, promise{class, now.Add(after)})
}

func (p *Promises) remember(now time.Time, ticket uint64, given promise) {
	if len(p.byTicket) < MaxPromises {
		p.forget(ticket)
		p.byTicket[ticket] = given
		p.class(now, given.class).open++
	}
}

// Next tells after which time a request of the class that is refused now would be told
// to come back, no sooner than earliest.
func (p *Promises) Next(now time.Time, class int, earliest time.Duration) time.Duration {
	return max(p.class(now, class).next.Sub(now), earliest)
}

// Reserve takes the next free moment of the class for a caller who cannot be known
// again, and returns after which time it is, no sooner than earliest.
func (p *Promises) Reserve(now time.Time, class int, earliest time.Duration) time.Duration {
	state, after := p.class(now, class), p.Next(now, class, earliest)
	state.next = now.Add(after).Add(time.Duration(float64(time.Second) / math.Max(state.rate*promiseShare, leastPromiseRate)))
	return after
}

// Redeem tells whether the request returns at its promised time, and ends the promise.
func (p *Promises) Redeem(now time.Time, ticket uint64) bool {
	known, found := p.byTicket[ticket]
	if !found || now.Before(known.due.Add(-promiseEarly)) {
		return false
	}
	p.forget(ticket)
	return !now.After(known.due.Add(promiseLate))
}

func (p *Promises) forget(ticket uint64) {
	if known, found := p.byTicket[ticket]; found {
		delete(p.byTicket, ticket)
		p.classes[known.class].open--
	}
}

// Outstanding tells whether promises of the class are open, before which new
// requests of the class step back.
func (p *Promises) Outstanding(now time.Time, class int) bool {
	p.sweep(now)
	return p.class(now, class).open > 0
}

// sweep forgets promises whose callers did not come back.
func (p *Promises) sweep(now time.Time) {
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(time.Second)
	for ticket, known := range p.byTicket {
		if now.After(known.due.Add(promiseLate)) {
			p.forget(ticket)
		}
	}
}
