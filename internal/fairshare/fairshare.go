// Package fairshare finds the tenants that use more than their fair share of an overloaded
// service, so that their requests are refused first.
//
// A service is overloaded while requests to it are refused because they would queue for too long.
// The tenants of one tier then have, for the requests of one route rank, max-min fair shares of
// the service's throughput: tenants whose demand is below an equal share get their whole demand,
// and the others share the rest. A tenant's demand is what was placed for it plus what was
// refused, and the throughput is what was placed for all tenants. Both are exponentially decaying
// sums in prompt tokens (see Cost). While nothing is refused, no tenant exceeds its share. Shares
// are weighted, because tenants with higher limits have paid for more.
//
// Each scheduler counts the requests that it places and reports its sums to the other schedulers.
// The sums of a scheduler that stops reporting expire, so that shares follow what the remaining
// schedulers place. A restarted scheduler starts without usage and limits nobody until requests
// are refused.
//
// The package has no I/O and no clock.
package fairshare

import (
	"math"
	"time"
)

// Pool identifies a resource whose fair shares are computed: the throughput of a service for the
// tenants of one tier and the requests of one route rank. It is unrelated to pools of runners.
type Pool struct {
	Service string
	// Tier is the number of higher tenant tiers. Route is the number of higher route ranks.
	Tier, Route int
}

// Config configures a Tracker. Zero fields are replaced by defaults.
type Config struct {
	// HalfLife is the half-life of recorded usage.
	HalfLife time.Duration
	// Burst is the usage in prompt tokens that is always allowed, so that one long request does
	// not count as sustained usage.
	Burst float64
	// MaxExcess is the upper bound of Excess.
	MaxExcess float64
}

// Default values of Config.
const (
	// defaultHalfLife is several times the duration of a request, so that shares are steady, and
	// short enough that a tenant recovers soon after a burst.
	defaultHalfLife = 2 * time.Second
	// defaultBurst is a few long prompts.
	defaultBurst = 20000
	// defaultMaxExcess is slightly above the ratio of 3 between the queueing times at which all
	// and no requests are refused. A tenant at this excess has all of its requests refused as soon
	// as some requests of other tenants are.
	defaultMaxExcess = 4
)

// excessExponent is the exponent applied to the ratio of the usage above Burst to the fair share.
// The chance of a refusal grows with the queueing time over a range of ratio 3. A tenant with a
// demand of several times its share must therefore reach an excess of that ratio to be refused
// most of the time while others are not refused at all. With this exponent it does so when its
// usage is a third above its share.
const excessExponent = 4

// usage is what was placed for a tenant and what was refused, in prompt tokens.
type usage struct{ used, refused float64 }

func (u usage) demand() float64 { return u.used + u.refused }

func (u usage) plus(other usage) usage { return usage{u.used + other.used, u.refused + other.refused} }

func (u usage) scaled(factor float64) usage { return usage{u.used * factor, u.refused * factor} }

// weightedUsage is a tenant's usage, normalized to the epoch of its pool, with the tenant's
// weight.
type weightedUsage struct {
	usage
	weight float64
}

// Tracker records the recent usage of services by tenants. It is not safe for concurrent use.
type Tracker struct {
	config     Config
	poolStates map[Pool]*poolState
	weights    map[string]float64
	nextSweep  time.Time
}

// New returns a Tracker without recorded usage.
func New(config Config) *Tracker {
	if config.HalfLife <= 0 {
		config.HalfLife = defaultHalfLife
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	if config.MaxExcess < 1 {
		config.MaxExcess = defaultMaxExcess
	}
	return &Tracker{config: config, poolStates: map[Pool]*poolState{}}
}

// SetWeights replaces the weights of the tenants. The unit does not matter, and nil gives all
// tenants equal weights. A tenant without a weight gets the mean weight.
func (t *Tracker) SetWeights(weights map[string]float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	t.weights = make(map[string]float64, len(weights))
	for tenant, weight := range weights {
		if weight > 0 {
			t.weights[tenant] = weight / total * float64(len(weights))
		}
	}
	for _, p := range t.poolStates {
		for tenant, u := range p.local {
			u.weight = t.weight(tenant)
		}
	}
}

func (t *Tracker) weight(tenant string) float64 {
	if weight, found := t.weights[tenant]; found {
		return weight
	}
	return 1
}

// poolState is the usage of one pool.
type poolState struct {
	// local is what this scheduler placed and refused, by tenant, and localRefused is the total
	// that it refused. Both are normalized to the epoch: later amounts are scaled up by the decay
	// since the epoch, so that the stored sums need not be decayed.
	local        map[string]*weightedUsage
	localRefused float64
	epoch        time.Time
	// remote is the usage reported by other schedulers, by scheduler.
	remote map[string]*remoteUsage
	// excess holds the tenants that were above their share at measuredAt.
	excess     map[string]float64
	measuredAt time.Time
}

// Charge records the cost of a request placed for the tenant.
func (t *Tracker) Charge(now time.Time, key Pool, tenant string, cost float64) {
	t.add(now, key, tenant, usage{used: cost})
}

// RecordRefusal records the cost of a request that was refused because the service is overloaded,
// so that any other tenant's request would have been refused as well. A request that was refused
// only because of the tenant's excess must not be recorded, as it does not show an overload.
func (t *Tracker) RecordRefusal(now time.Time, key Pool, tenant string, cost float64) {
	t.add(now, key, tenant, usage{refused: cost})
}

// Refund cancels a charge made at chargedAt for a request that no runner has executed. It
// subtracts only what remains of the charge after decay.
func (t *Tracker) Refund(now, chargedAt time.Time, key Pool, tenant string, cost float64) {
	t.add(now, key, tenant, usage{used: -cost * t.decayFactor(now, chargedAt)})
}

// add records usage of the tenant. Requests without a tenant are ignored.
func (t *Tracker) add(now time.Time, key Pool, tenant string, amount usage) {
	if tenant == "" {
		return
	}
	t.sweep(now)
	p := t.state(now, key)
	u := p.local[tenant]
	if u == nil {
		u = &weightedUsage{weight: t.weight(tenant)}
		p.local[tenant] = u
	}
	amount = amount.scaled(1 / t.decayFactor(now, p.epoch))
	u.usage = u.plus(amount)
	u.used = math.Max(u.used, 0)
	p.localRefused += amount.refused
}

func (t *Tracker) state(now time.Time, key Pool) *poolState {
	p := t.poolStates[key]
	if p == nil {
		p = &poolState{local: map[string]*weightedUsage{}, epoch: now, remote: map[string]*remoteUsage{}}
		t.poolStates[key] = p
	}
	return p
}

// decayFactor returns the part of a usage recorded at from that still counts at now.
func (t *Tracker) decayFactor(now, from time.Time) float64 {
	elapsed := now.Sub(from)
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-math.Min(elapsed.Seconds()/t.config.HalfLife.Seconds(), maxHalfLives))
}

const (
	// sweepInterval is how often decayed usage is removed to bound memory.
	sweepInterval = 5 * time.Second
	// minUsage is the usage in prompt tokens below which it is removed. Any request costs more.
	minUsage = 1
	// maxHalfLives bounds the exponent of the decay. Usage is removed long before.
	maxHalfLives = 500
)

// sweep removes decayed tenants and pools. It runs at most once per sweepInterval.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, p := range t.poolStates {
		t.startEpoch(now, p)
		p.dropExpiredRemote(now)
		if len(p.local) == 0 && len(p.remote) == 0 {
			delete(t.poolStates, key)
		}
	}
}

// startEpoch normalizes the local usage to a new epoch and removes tenants whose usage has
// decayed.
func (t *Tracker) startEpoch(now time.Time, p *poolState) {
	decay := t.decayFactor(now, p.epoch)
	p.epoch, p.localRefused = now, 0
	for tenant, u := range p.local {
		if u.usage = u.scaled(decay); u.demand() < minUsage {
			delete(p.local, tenant)
		}
		p.localRefused += u.refused
	}
}

// TenantCount returns the number of tenants with recorded usage, summed over all pools.
func (t *Tracker) TenantCount() int {
	count := 0
	for _, p := range t.poolStates {
		count += len(p.local)
	}
	return count
}
