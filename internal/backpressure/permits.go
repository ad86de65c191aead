package backpressure

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// A runner's rate limit applies to all routers together. It is divided into equal shares, one
// for each scheduler (a router that places requests for others), and each request sent to the
// runner needs a permit from one share. Shares are never reassigned: nobody takes over the
// share of a scheduler that does not respond. Schedulers that cannot reach each other therefore
// never grant more than the limit in total, and they need no agreement protocol. The cost is
// that a runner receives only the remaining shares while a scheduler is down. A router that
// cannot reach any scheduler sends nothing to the runner.
const (
	// permitLifetime is how long a permit is valid after it was requested. The sends that
	// result from the permits granted in an interval fall within that interval plus
	// permitLifetime.
	permitLifetime = time.Second
	// earlyTolerance is how long before its due time a permit may be granted, so that a runner
	// is not left idle between requests that arrive at random times.
	earlyTolerance = 250 * time.Millisecond
	// shareChangeDelay is the time after which a change of the number of schedulers has reached
	// every scheduler and all permits granted before it have expired.
	shareChangeDelay = 5 * time.Second
	// minRate is the minimum rate for a runner, in requests per second. Some requests must get
	// through even at a limit of 0, because only responses show that the limit was lifted.
	minRate = 0.1
	// unusedTimeout is how long a permit may stay available before the next request of the
	// service should use it: only a response shows whether the runner still reports its limit.
	unusedTimeout = 2 * time.Second
	// defaultRetryAfter is the wait reported by a router without a share. It does not know when
	// a permit becomes available; the next call to a scheduler does.
	defaultRetryAfter = 250 * time.Millisecond
	// maxRetryAfter limits the retry delay given to a refused caller.
	maxRetryAfter = 10 * time.Second
)

// Permit allows one request to be sent to a rate-limited runner until it expires. The zero
// Permit is never valid.
type Permit struct{ expiry time.Time }

// NewPermit returns a permit that was requested and granted at requestedAt.
func NewPermit(requestedAt time.Time) Permit { return Permit{expiry: requestedAt.Add(permitLifetime)} }

// Valid reports whether the permit allows a request to be sent now.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.expiry) }

// Permits grants permits from this router's share of every runner's limit. It is not safe for
// concurrent use.
type Permits struct {
	// schedulers is the number of schedulers that each limit is divided among, 0 while this
	// router grants nothing.
	schedulers int
	// pendingSchedulers replaces schedulers at pendingAt; 0 means that no change is pending.
	pendingSchedulers int
	pendingAt         time.Time
	// grantFrom is the earliest time at which this router grants permits.
	grantFrom time.Time
	pacers    map[Runner]*pacer
	// lastRetryAt holds, for each service, the latest time at which a refused caller was told
	// to retry. Later callers are told to retry after it.
	lastRetryAt map[string]time.Time
}

// pacer spaces the permits for one runner. The rate limit is in requests per second, and nextAt
// is when the next permit is due.
type pacer struct {
	rate   float64
	nextAt time.Time
}

// NewPermits returns Permits without a share; they grant nothing until SetStandalone or
// SetSchedulerCount is called.
func NewPermits() *Permits {
	return &Permits{pacers: map[Runner]*pacer{}, lastRetryAt: map[string]time.Time{}}
}

// SetStandalone gives this router the whole of every limit, for a deployment with a single
// router.
func (p *Permits) SetStandalone() { p.schedulers, p.pendingSchedulers, p.grantFrom = 1, 0, time.Time{} }

// SetSchedulerCount sets the number of schedulers, or 0 if this router is not one of them. A
// new scheduler grants nothing until the previous ones have reduced their shares, which takes
// shareChangeDelay. A smaller share takes effect at once; a larger one after shareChangeDelay,
// when every scheduler knows the new number.
func (p *Permits) SetSchedulerCount(now time.Time, count int) {
	switch {
	case count == 0:
		p.schedulers, p.pendingSchedulers = 0, 0
	case p.schedulers == 0:
		p.schedulers, p.pendingSchedulers, p.grantFrom = count, 0, now.Add(shareChangeDelay)
	case count >= p.schedulers:
		p.schedulers, p.pendingSchedulers = count, 0
	case count != p.pendingSchedulers:
		p.pendingSchedulers, p.pendingAt = count, now.Add(shareChangeDelay)
	}
}

// Schedulers returns the number of schedulers, or 0 if this router is not one of them. It applies a pending
// change that is due.
func (p *Permits) Schedulers(now time.Time) int {
	if p.pendingSchedulers > 0 && !now.Before(p.pendingAt) {
		p.schedulers, p.pendingSchedulers = p.pendingSchedulers, 0
	}
	return p.schedulers
}

// Share returns this router's share of the rate, in requests per second, or 0 if this router
// grants nothing.
func (p *Permits) Share(now time.Time, rate float64) float64 {
	schedulers := p.Schedulers(now)
	if schedulers == 0 {
		return 0
	}
	return max(rate, minRate) / float64(schedulers)
}

// Wait returns how long until this router can grant another permit for the runner at the given
// rate limit, 0 if it can grant one now.
func (p *Permits) Wait(now time.Time, runner Runner, rate float64) time.Duration {
	share := p.Share(now, rate)
	if share == 0 {
		return defaultRetryAfter
	}
	due := p.grantFrom
	if existing := p.pacers[runner]; existing != nil {
		due = clock.Later(due, existing.adjustRate(now, rate, share))
	}
	wait := due.Sub(now)
	if wait <= earlyTolerance && !now.Before(p.grantFrom) {
		return 0
	}
	return max(wait, 0)
}

// HasUnusedPermit reports whether a permit for the runner has been available for at least
// unusedTimeout.
func (p *Permits) HasUnusedPermit(now time.Time, runner Runner) bool {
	due := p.grantFrom
	if existing := p.pacers[runner]; existing != nil {
		due = clock.Later(due, existing.nextAt)
	}
	return p.Schedulers(now) > 0 && now.Sub(due) >= unusedTimeout
}

// adjustRate applies the current rate limit and returns when the next permit is due. After an
// increase of the limit, the next permit is due no later than one interval of the new rate from
// now.
func (p *pacer) adjustRate(now time.Time, rate, share float64) time.Time {
	if latest := now.Add(permitInterval(share)); rate > p.rate && latest.Before(p.nextAt) {
		p.nextAt = latest
	}
	p.rate = rate
	return p.nextAt
}

// Take grants a permit for the runner. Callers must call it only after Wait returned 0.
func (p *Permits) Take(now time.Time, runner Runner, rate float64) Permit {
	existing := p.pacers[runner]
	if existing == nil {
		existing = &pacer{rate: rate}
		p.pacers[runner] = existing
	}
	existing.nextAt = clock.Later(existing.nextAt, now).Add(permitInterval(p.Share(now, rate)))
	return NewPermit(now)
}

// permitInterval returns the time between two permits at the given share, at most one hour.
func permitInterval(share float64) time.Duration {
	return time.Duration(min(1/share, time.Hour.Seconds()) * float64(time.Second))
}

// RetryAfter returns the delay after which a refused caller of the service should retry. The
// first caller is told to retry after wait, when a runner accepts requests again; callers
// refused after it are spaced at the rate of the share.
func (p *Permits) RetryAfter(now time.Time, service string, wait time.Duration, share float64) time.Duration {
	if share == 0 {
		return wait
	}
	retryAt := clock.Later(now.Add(wait), p.lastRetryAt[service])
	nextRetryAt := retryAt.Add(permitInterval(share))
	if latestRetryAt := now.Add(maxRetryAfter); nextRetryAt.After(latestRetryAt) {
		nextRetryAt = latestRetryAt
	}
	p.lastRetryAt[service] = nextRetryAt
	return min(retryAt.Sub(now), maxRetryAfter)
}

// Forget removes the state of a runner that no longer exists.
func (p *Permits) Forget(runner Runner) { delete(p.pacers, runner) }
