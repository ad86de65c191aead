// Package quota keeps tenants to their limits over all routers together.
//
// A limit bounds what a tenant spends within any window of a certain length: what its
// rate brings in during that time, and its burst. It is cut into equal parts, one for
// each router that keeps limits (the seeds of the settings), and a router asks one of
// them, the nearest first, before it sends a request on. A part belongs to its keeper
// for good. Nobody takes over the part of a keeper that is silent, so keepers that
// cannot reach each other never grant more than the limit together, and no handover
// has to be agreed on. The price is that a tenant is kept to the remaining parts while
// a keeper is lost.
//
// A keeper remembers nothing over a restart. It begins with nothing saved up and the
// bare rate, so that what it granted before is not granted again.
//
// The package has no I/O and no clock.
package quota

import (
	"math"
	"time"
)

// Limit is what one tenant may spend, in requests or in prompt and answer tokens.
type Limit struct {
	// Rate is the allowance a second, and Burst what may be spent beyond it within
	// the window.
	Rate   float64
	Burst  float64
	Window time.Duration
	// Revision is the store's revision, with its era, of the configuration that the limit is from.
	Revision uint64
}

// share returns one of so many equal parts of the limit.
func (l Limit) share(parts int) Limit {
	count := float64(max(parts, 1))
	l.Rate, l.Burst = l.Rate/count, l.Burst/count
	return l
}

// Most is what may be spent within the window.
func (l Limit) Most() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// pace is the rate at which the limit may be spent for ever: its burst comes once a
// window.
func (l Limit) pace() float64 {
	if l.Window <= 0 {
		return l.Rate
	}
	return l.Most() / l.Window.Seconds()
}

// Allows tells whether the limit has room for the amount beside what was spent within the
// window.
func (l Limit) Allows(spent, amount float64) bool { return spent+amount <= l.Most() }

// Answer is what a keeper says to a request.
type Answer struct {
	Granted bool
	// EmptyFor is how long nothing will be granted, and RetryAfter when a refused
	// caller finds room, after those that were refused before it.
	EmptyFor   time.Duration
	RetryAfter time.Duration
	// Level is what is left in the part, below zero while more was spent than came in.
	Level float64
	// Spent is what was granted from the part within the window, without this request.
	Spent float64
}

// bucket is a token bucket, with a count of what was spent within the window. The
// bucket spreads what is spent over the window, the count bounds it. A request is
// granted as long as nothing is owed, and may leave a debt: so large requests are not
// starved by small ones, which would keep the level low, and a bucket overspends by one
// request at most.
type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// slowUntil is until when only the bare rate comes in.
	slowUntil time.Time
	spent     windowSum
	// promised is the moment up to which returns have been promised.
	promised time.Time
}

// rate is what comes in a second at the moment.
func (b *bucket) rate() float64 {
	if b.at.Before(b.slowUntil) {
		return b.limit.Rate
	}
	return b.limit.pace()
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = math.Min(b.level+elapsed*b.rate(), b.limit.Burst)
		b.at = now
	}
}

// setLimit takes a limit unless it is older than the one in force. A lower one binds
// at once: what was spent by leave of the one before counts in proportion, or nothing
// would be granted until it has left the window. A higher burst has to be saved up.
func (b *bucket) setLimit(limit Limit) {
	if limit.Revision < b.limit.Revision {
		return
	}
	if limit.Most() < b.limit.Most() {
		b.spent.scale(limit.Most() / b.limit.Most())
	}
	b.limit = limit
	b.level = math.Min(b.level, limit.Burst)
}

// longestPromise bounds the time told to a refused caller. Callers wait for a third
// of their time at most, so none comes back later than some seconds.
const longestPromise = 10 * time.Second

// spend takes the amount, or refuses it. A refused caller is expected to spend the
// amount returning from this bucket when it comes back.
func (b *bucket) spend(now time.Time, amount, returning float64) Answer {
	b.refill(now)
	spent := b.spent.within(now, b.limit.Window)
	empty := b.spent.timeUntilBelow(now, b.limit.Window, b.limit.Most())
	if b.level < 0 {
		empty = max(empty, b.timeFor(-b.level))
	}
	if empty > 0 {
		return Answer{EmptyFor: empty, RetryAfter: b.promise(now, empty, returning), Level: b.level, Spent: spent}
	}
	b.level -= amount
	b.spent.add(now, b.limit.Window, amount)
	return Answer{Granted: true, Level: b.level, Spent: spent}
}

// promise returns when a refused caller finds room: once the debt is paid, and after
// those that were told to come back before it.
func (b *bucket) promise(now time.Time, empty time.Duration, returning float64) time.Duration {
	room := now.Add(empty)
	if b.promised.After(room) {
		room = b.promised
	}
	b.promised = room.Add(b.timeFor(returning))
	if latest := now.Add(longestPromise); b.promised.After(latest) {
		b.promised = latest
	}
	return room.Sub(now)
}

// timeFor is how long the rate takes to bring the amount in.
func (b *bucket) timeFor(amount float64) time.Duration {
	rate := b.rate()
	if rate <= 0 {
		return longestPromise
	}
	return time.Duration(math.Min(amount/rate, longestPromise.Seconds()) * float64(time.Second))
}

// full tells whether the bucket is as one that was never spent from.
func (b *bucket) full(now time.Time) bool {
	b.refill(now)
	return b.level >= b.limit.Burst && b.spent.within(now, b.limit.Window) == 0
}
