package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Validity of a measurement. Choosing a runner has to sum up the usage of all tenants only when the
// last measurement has expired.
const (
	// measureInterval is a fortieth of the half-life, in which usage hardly changes.
	measureInterval = 50 * time.Millisecond
	// measureIntervalPerTenant is added for each tenant, because the measurement takes longer with
	// more tenants. It keeps the share of time spent on measurements small for any number of
	// tenants.
	measureIntervalPerTenant = 20 * time.Microsecond
)

// Excess returns the factor by which the tenant's recent usage of the pool exceeds its fair share,
// raised to excessExponent. It is 1 for a tenant at or below its share and while no requests are
// refused. The caller divides the longest accepted queueing time of a request by it.
func (t *Tracker) Excess(now time.Time, key Pool, tenant string) float64 {
	p := t.poolStates[key]
	if p == nil || tenant == "" {
		return 1
	}
	t.measure(now, p)
	return math.Max(p.excess[tenant], 1)
}

// TenantExcess is a tenant above its fair share of a pool.
type TenantExcess struct {
	Pool
	Tenant string
	Excess float64
}

// TopExcesses returns up to limit tenants with the highest excess.
func (t *Tracker) TopExcesses(now time.Time, limit int) []TenantExcess {
	var all []TenantExcess
	for key, p := range t.poolStates {
		t.measure(now, p)
		for tenant, excess := range p.excess {
			all = append(all, TenantExcess{Pool: key, Tenant: tenant, Excess: excess})
		}
	}
	slices.SortFunc(all, func(a, b TenantExcess) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all[:min(len(all), limit)]
}

// measure computes the excess of all tenants of the pool unless the last result is still recent
// enough.
func (t *Tracker) measure(now time.Time, p *poolState) {
	valid := measureInterval + time.Duration(len(p.local))*measureIntervalPerTenant
	if age := now.Sub(p.measuredAt); p.excess != nil && age >= 0 && age < valid {
		return
	}
	p.measuredAt, p.excess = now, map[string]float64{}
	p.dropExpiredRemote(now)
	if !t.overloaded(now, p) {
		return
	}
	tenants := t.totals(now, p)
	if len(tenants) < 2 {
		return
	}
	share := fairShare(tenants)
	for _, total := range tenants {
		if excess := t.excessOf(total.used, share*total.weight); excess > 1 {
			p.excess[total.tenant] = excess
		}
	}
}

// overloaded reports whether this or another scheduler recently refused requests to the pool.
func (t *Tracker) overloaded(now time.Time, p *poolState) bool {
	return p.localRefused*t.decayFactor(now, p.epoch) >= minUsage || t.remoteRefused(now, p) >= minUsage
}

// remoteRefused returns what other schedulers refused. A report alone does not show an overload,
// because a scheduler also reports a pool when another one has reported refusals for it.
func (t *Tracker) remoteRefused(now time.Time, p *poolState) float64 {
	refused := 0.0
	for _, remote := range p.remote {
		decay := t.decayFactor(now, remote.receivedAt)
		for _, reported := range remote.tenants {
			refused += reported.refused * decay
		}
	}
	return refused
}

// excessOf returns the excess of a usage for the given fair share.
func (t *Tracker) excessOf(used, share float64) float64 {
	aboveBurst := used - t.config.Burst
	if aboveBurst <= share {
		return 1
	}
	if share <= 0 {
		return t.config.MaxExcess
	}
	return math.Min(math.Pow(aboveBurst/share, excessExponent), t.config.MaxExcess)
}

// RecoveryTime returns the time in which usage with the given excess decays to the fair share if
// the tenant sends nothing. Since the excess is bounded by MaxExcess, the result is too short for
// higher usage.
func (t *Tracker) RecoveryTime(excess float64) time.Duration {
	if excess <= 1 {
		return 0
	}
	return time.Duration(math.Log2(excess) / excessExponent * float64(t.config.HalfLife))
}

// tenantTotal is what all schedulers placed and refused for a tenant.
type tenantTotal struct {
	usage
	tenant string
	weight float64
}

// totals returns the usage of each tenant, summed over all schedulers.
func (t *Tracker) totals(now time.Time, p *poolState) []tenantTotal {
	others := map[string]usage{}
	for _, remote := range p.remote {
		decay := t.decayFactor(now, remote.receivedAt)
		for tenant, reported := range remote.tenants {
			others[tenant] = others[tenant].plus(reported.scaled(decay))
		}
	}
	tenants := make([]tenantTotal, 0, len(p.local)+len(others))
	decay := t.decayFactor(now, p.epoch)
	for tenant, u := range p.local {
		own := u.scaled(decay)
		if len(others) > 0 {
			own = own.plus(others[tenant])
			delete(others, tenant)
		}
		tenants = append(tenants, tenantTotal{own, tenant, u.weight})
	}
	for tenant, reported := range others {
		tenants = append(tenants, tenantTotal{reported, tenant, t.weight(tenant)})
	}
	return tenants
}

// fairShare returns the highest usage that a tenant of weight 1 is allowed if the total usage is
// shared fairly. Tenants that other schedulers did not report have a lower demand than those that
// they did, and count as getting their whole demand.
//
// The computation starts with equal shares, gives the tenants with a lower demand what they want
// and shares the rest among the others. It repeats this until no tenant has a demand below its
// share.
func fairShare(tenants []tenantTotal) float64 {
	total := 0.0
	for _, tenant := range tenants {
		total += tenant.used
	}
	share := 0.0
	for {
		remaining, remainingWeight := total, 0.0
		for _, tenant := range tenants {
			if demand := tenant.demand(); demand <= share*tenant.weight {
				remaining -= demand
			} else {
				remainingWeight += tenant.weight
			}
		}
		if remainingWeight == 0 {
			return math.Inf(1)
		}
		// The share must not decrease because of rounding errors.
		next := remaining / remainingWeight
		if next <= share {
			return share
		}
		share = next
	}
}
