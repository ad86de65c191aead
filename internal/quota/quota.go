// Package quota enforces the limits of tenants across all routers.
//
// A limit bounds what a tenant spends within any window of a given length: the amount that its rate
// accrues in that time, plus its burst. The limit is divided into equal shares, one for each quota
// server (the seeds of the settings, called keepers in messages, logs and metrics). Before a router
// sends a request to a runner, it requests the amount from one of the servers, the nearest first. A
// share belongs to its server permanently. No other server takes over the share of a server that
// does not reply, so servers that are partitioned never grant more than the limit together, and no
// handover has to be agreed on. The disadvantage is that a tenant is limited to the remaining
// shares while a server is down.
//
// A server keeps no state across a restart. It starts with a bucket that refills at the base rate only,
// so that it does not grant again what it granted before the restart. The bucket is empty unless the
// limits have a tolerance, of which it then holds a part.
//
// The package has no I/O and no clock.
package quota

import (
	"math"
	"time"
)

// Limit is how much one tenant may spend, in requests or in prompt and output tokens.
type Limit struct {
	// Rate is the base rate per second, and Burst is what may be spent in addition within the
	// window.
	Rate   float64
	Burst  float64
	Window time.Duration
	// Revision is the revision of the store, including its era, of the configuration that the limit
	// is from.
	Revision uint64
}

// share returns one of shareCount equal shares of the limit.
func (l Limit) share(shareCount int) Limit {
	divisor := float64(max(shareCount, 1))
	l.Rate, l.Burst = l.Rate/divisor, l.Burst/divisor
	return l
}

// MaxPerWindow returns the maximum that may be spent within the window.
func (l Limit) MaxPerWindow() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// sustainedRate returns the rate per second at which the limit may be spent indefinitely, which
// includes the burst once per window.
func (l Limit) sustainedRate() float64 {
	if l.Window <= 0 {
		return l.Rate
	}
	return l.MaxPerWindow() / l.Window.Seconds()
}

// Allows reports whether the amount may be spent in addition to what was spent within the window.
func (l Limit) Allows(spent, amount float64) bool { return spent+amount <= l.MaxPerWindow() }

// Result is the outcome of a request to spend an amount.
type Result struct {
	Granted bool
	// ExhaustedFor is how long nothing will be granted. RetryAfter is when a refused caller can
	// expect a grant, after the callers that were refused before it.
	ExhaustedFor time.Duration
	RetryAfter   time.Duration
	// Level is the remaining amount in the bucket. It is negative while more was spent than has
	// accrued.
	Level float64
	// Spent is the amount granted from the share within the window, without this request.
	Spent float64
}

// bucket is a token bucket with a sum of what was spent within the window. The bucket spreads
// spending over the window, and the sum bounds it. A request is granted if the level is not
// negative, and may make it negative. So large requests are not starved by small ones, which would
// keep the level low, and a bucket overspends by one request at most.
type bucket struct {
	limit     Limit
	level     float64
	updatedAt time.Time
	// baseRateUntil is the time until which the bucket refills at the base rate only.
	baseRateUntil time.Time
	spent         windowSum
	// reservedUntil is the time up to which retries of refused callers have been scheduled.
	reservedUntil time.Time
}

// rate returns the current refill rate per second.
func (b *bucket) rate() float64 {
	if b.updatedAt.Before(b.baseRateUntil) {
		return b.limit.Rate
	}
	return b.limit.sustainedRate()
}

// refill adds what accrued since the last update, up to the burst.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = math.Min(b.level+elapsed*b.rate(), b.limit.Burst)
		b.updatedAt = now
	}
}

// setLimit replaces the limit unless the new one is from an older revision. A lower limit applies
// immediately: what was spent under the previous limit is scaled down in proportion, otherwise
// nothing would be granted until it has left the window. A higher burst has to accrue first.
func (b *bucket) setLimit(limit Limit) {
	if limit.Revision < b.limit.Revision {
		return
	}
	if limit.MaxPerWindow() < b.limit.MaxPerWindow() {
		b.spent.scale(limit.MaxPerWindow() / b.limit.MaxPerWindow())
	}
	b.limit = limit
	b.level = math.Min(b.level, limit.Burst)
}

// maxRetryAfter is the maximum time after which a refused caller is told to retry. Callers wait for
// at most a third of their deadline, so none retries later than after some seconds.
const maxRetryAfter = 10 * time.Second

// spend takes the amount from the bucket or refuses it. A refused caller is expected to spend
// retryAmount from this bucket when it retries.
func (b *bucket) spend(now time.Time, amount, retryAmount float64) Result {
	b.refill(now)
	spent := b.spent.total(now, b.limit.Window)
	exhausted := b.spent.timeUntilBelow(now, b.limit.Window, b.limit.MaxPerWindow())
	if b.level < 0 {
		exhausted = max(exhausted, b.refillTime(-b.level))
	}
	if exhausted > 0 {
		return Result{ExhaustedFor: exhausted, RetryAfter: b.reserveRetry(now, exhausted, retryAmount), Level: b.level, Spent: spent}
	}
	b.level -= amount
	b.spent.add(now, b.limit.Window, amount)
	return Result{Granted: true, Level: b.level, Spent: spent}
}

// reserveRetry returns how long a refused caller has to wait: until the bucket is no longer
// exhausted, and until those that were refused before it have retried.
func (b *bucket) reserveRetry(now time.Time, exhausted time.Duration, retryAmount float64) time.Duration {
	retryAt := now.Add(exhausted)
	if b.reservedUntil.After(retryAt) {
		retryAt = b.reservedUntil
	}
	b.reservedUntil = retryAt.Add(b.refillTime(retryAmount))
	if latest := now.Add(maxRetryAfter); b.reservedUntil.After(latest) {
		b.reservedUntil = latest
	}
	return retryAt.Sub(now)
}

// refillTime returns how long the bucket takes to accrue the amount.
func (b *bucket) refillTime(amount float64) time.Duration {
	rate := b.rate()
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(math.Min(amount/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// isFull reports whether the bucket is in the same state as one that was never spent from.
func (b *bucket) isFull(now time.Time) bool {
	b.refill(now)
	return b.level >= b.limit.Burst && b.spent.total(now, b.limit.Window) == 0
}
