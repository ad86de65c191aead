package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/peers"
)

// Validity periods and fractions of a requester.
const (
	// maxRefusalValidity is the longest time for which a refusal is applied to other requests of
	// the tenant without a new request to the server. A raised limit or a refund takes effect after
	// it.
	maxRefusalValidity = 100 * time.Millisecond
	// usageTimeConstant is the time constant of the decaying measurement of a router's usage.
	usageTimeConstant = 3 * time.Second
	// localBucketLifetime is how long a tenant's bucket for local decisions is kept after its last
	// use. Later requests start a new one.
	localBucketLifetime = 2 * time.Second
	// localShareFraction is the fraction of an equal share of the limit that a router may spend by
	// local decisions if it has spent less recently. The servers may be granting the whole limit to
	// other routers.
	localShareFraction = 0.5
)

// usage is the amount that was granted to this router for a tenant, with exponential decay.
type usage struct {
	granted   float64
	updatedAt time.Time
}

// decay applies the decay up to now.
func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 {
		u.granted *= math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
		u.updatedAt = now
	}
}

// serverTenant identifies the share of a tenant's limit that one server holds.
type serverTenant struct{ server, tenant string }

// refusal is a cached refusal of a server. It applies to other requests until validUntil, and a
// refused caller may retry at retryAt.
type refusal struct{ validUntil, retryAt time.Time }

// Requester decides which quota servers a router sends its requests to, and decides locally if no
// server replies. It is not safe for concurrent use.
type Requester struct {
	servers *peers.Ranking
	// refusals holds the shares that refused a request recently.
	refusals map[serverTenant]refusal
	usages   map[string]*usage
	// localBuckets holds the buckets for local decisions by tenant.
	localBuckets map[string]*bucket
	// lastContact is when a server last replied or when the router started. It is zero if neither
	// was recorded.
	lastContact time.Time
	random      *rand.Rand
	nextSweep   time.Time
}

// NewRequester returns a requester for the router with the peer address self in the zone.
func NewRequester(self, zone string, distances *distance.Table, random *rand.Rand) *Requester {
	return &Requester{
		servers: peers.NewRanking(self, zone, distances), refusals: map[serverTenant]refusal{},
		usages: map[string]*usage{}, localBuckets: map[string]*bucket{}, random: random,
	}
}

// Servers returns the ranking of the quota servers.
func (r *Requester) Servers() *peers.Ranking { return r.servers }

// ShareCount returns the number of shares that limits are divided into, which is the number of
// servers and at least 1.
func (r *Requester) ShareCount() int { return max(r.servers.Len(), 1) }

// Order returns the servers to send a request of the tenant to, the nearest first, without those
// whose refusal is still valid. If there are such servers, it also returns the shortest time after
// which the caller may retry.
func (r *Requester) Order(now time.Time, tenant string) (order []string, retryAfter time.Duration) {
	r.sweep(now)
	for _, address := range r.servers.Order(now) {
		refusal := r.refusals[serverTenant{address, tenant}]
		if !now.Before(refusal.validUntil) {
			order = append(order, address)
			continue
		}
		if wait := refusal.retryAt.Sub(now); retryAfter == 0 || wait < retryAfter {
			retryAfter = wait
		}
	}
	return order, retryAfter
}

// RecordContact records that a server has replied or that the router has just started.
func (r *Requester) RecordContact(now time.Time) { r.lastContact = now }

// RecordGrant adds an amount that was granted to this router to its usage.
func (r *Requester) RecordGrant(now time.Time, tenant string, amount float64) {
	u := r.usages[tenant]
	if u == nil {
		u = &usage{updatedAt: now}
		r.usages[tenant] = u
	}
	u.decay(now)
	u.granted += amount
}

// RecordRefusal caches the refusal of a server whose share of the tenant's limit is exhausted.
func (r *Requester) RecordRefusal(now time.Time, address, tenant string, result Result) {
	r.refusals[serverTenant{address, tenant}] = refusal{
		validUntil: now.Add(min(result.ExhaustedFor, maxRefusalValidity)), retryAt: now.Add(result.RetryAfter),
	}
}

// DecideLocally decides without servers. The router may continue at the rate that servers granted
// it recently, because all routers together do not exceed the limit by that, or at
// localShareFraction of an equal share. The allowance accrues from the last contact with a server.
// The bucket starts at a random level, so that many routers with small shares do not all grant a
// large request at the same time.
func (r *Requester) DecideLocally(now time.Time, tenant string, amount float64, limit Limit, routerCount int) Result {
	localLimit := limit.share(routerCount)
	localLimit.Rate = math.Min(math.Max(localLimit.Rate*localShareFraction, r.usageRate(now, tenant)), limit.Rate)
	localLimit.Burst, localLimit.Window = localLimit.Burst*localShareFraction, 0
	b := r.localBuckets[tenant]
	if b == nil || now.Sub(b.updatedAt) > localBucketLifetime {
		b = &bucket{updatedAt: r.localBucketStart(now), level: -r.random.Float64() * amount, limit: localLimit}
		r.localBuckets[tenant] = b
	}
	b.refill(now)
	b.limit = localLimit
	return b.spend(now, amount, amount)
}

// localBucketStart returns the time from which the allowance of a new local bucket accrues. It is
// the last contact with a server, but not longer ago than localBucketLifetime, because the tenant
// may have had an earlier bucket that was dropped.
func (r *Requester) localBucketStart(now time.Time) time.Time {
	if r.lastContact.IsZero() || r.lastContact.After(now) {
		return now
	}
	if oldest := now.Add(-localBucketLifetime); r.lastContact.Before(oldest) {
		return oldest
	}
	return r.lastContact
}

// usageRate returns the rate per second at which servers granted amounts to this router recently.
func (r *Requester) usageRate(now time.Time, tenant string) float64 {
	u := r.usages[tenant]
	if u == nil {
		return 0
	}
	u.decay(now)
	return u.granted / usageTimeConstant.Seconds()
}

// usageLifetime is after how long a tenant's usage is dropped. It has decayed to less than a
// hundredth by then.
const usageLifetime = 5 * usageTimeConstant

// sweep removes expired refusals, usages and local buckets.
func (r *Requester) sweep(now time.Time) {
	if now.Before(r.nextSweep) {
		return
	}
	r.nextSweep = now.Add(sweepInterval)
	for key, refusal := range r.refusals {
		if !now.Before(refusal.validUntil) {
			delete(r.refusals, key)
		}
	}
	for tenant, u := range r.usages {
		if now.Sub(u.updatedAt) > usageLifetime {
			delete(r.usages, tenant)
		}
	}
	for tenant, b := range r.localBuckets {
		if now.Sub(b.updatedAt) > localBucketLifetime {
			delete(r.localBuckets, tenant)
		}
	}
}
