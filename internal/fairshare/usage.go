package fairshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// remoteExpiry is how long a report of another scheduler counts. A scheduler reports several
	// times within this duration and stops when it fails or its part of the service is no longer
	// overloaded.
	remoteExpiry = 2 * time.Second
	// maxReportedTenants is the number of tenants per pool that are reported: those with the
	// highest demand for their weight, as others hardly exceed their shares.
	maxReportedTenants = 12
	// maxReportedPools is the number of pools that are reported at a time, those with most
	// refusals first. Together with maxReportedTenants it bounds the size of the messages between
	// schedulers.
	maxReportedPools = 2
)

// TenantUsage is the recent usage of a tenant in prompt tokens. Used is what was placed for it and
// Refused what was refused.
type TenantUsage struct {
	Tenant  string
	Used    float64
	Refused float64
}

// PoolUsage is the recent usage of a pool through one scheduler.
type PoolUsage struct {
	Pool
	Tenants []TenantUsage
}

// remoteUsage is the usage of a pool reported by another scheduler.
type remoteUsage struct {
	receivedAt time.Time
	tenants    map[string]usage
}

// dropExpiredRemote removes the reports of schedulers that have stopped reporting.
func (p *poolState) dropExpiredRemote(now time.Time) {
	for scheduler, remote := range p.remote {
		if now.Sub(remote.receivedAt) >= remoteExpiry {
			delete(p.remote, scheduler)
		}
	}
}

// LocalUsage returns what this scheduler placed and refused in the pools that are overloaded here
// or at other schedulers. It returns nothing while no requests are refused.
func (t *Tracker) LocalUsage(now time.Time) []PoolUsage {
	t.sweep(now)
	var all []PoolUsage
	for key, p := range t.poolStates {
		p.dropExpiredRemote(now)
		if !t.overloaded(now, p) {
			continue
		}
		if usage := t.reportedUsage(now, key, p); len(usage.Tenants) > 0 {
			all = append(all, usage)
		}
	}
	slices.SortFunc(all, func(a, b PoolUsage) int {
		return cmp.Or(cmp.Compare(b.totalRefused(), a.totalRefused()), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Route, b.Route))
	})
	return all[:min(len(all), maxReportedPools)]
}

func (p PoolUsage) totalRefused() float64 {
	refused := 0.0
	for _, tenant := range p.Tenants {
		refused += tenant.Refused
	}
	return refused
}

// reportedUsage returns the usage of the tenants with the highest demand for their weight.
func (t *Tracker) reportedUsage(now time.Time, key Pool, p *poolState) PoolUsage {
	report, decay := PoolUsage{Pool: key}, t.decayFactor(now, p.epoch)
	top := make([]tenantTotal, 0, maxReportedTenants+1)
	for tenant, u := range p.local {
		own := u.scaled(decay)
		if own.demand() < minUsage {
			continue
		}
		total := tenantTotal{own, tenant, u.weight}
		if len(top) == maxReportedTenants && byWeightedDemand(total, top[maxReportedTenants-1]) > 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, total, byWeightedDemand)
		top = slices.Insert(top, position, total)
		top = top[:min(len(top), maxReportedTenants)]
	}
	for _, total := range top {
		report.Tenants = append(report.Tenants, TenantUsage{Tenant: total.tenant, Used: total.used, Refused: total.refused})
	}
	return report
}

// byWeightedDemand orders tenants by demand divided by weight, the highest first.
func byWeightedDemand(a, b tenantTotal) int {
	return cmp.Or(cmp.Compare(b.demand()/b.weight, a.demand()/a.weight), cmp.Compare(a.tenant, b.tenant))
}

// Merge replaces the usage that the scheduler reported before for the same pools. Pools that it no
// longer reports count until remoteExpiry has passed. The reported usage decays from the time of
// arrival.
func (t *Tracker) Merge(now time.Time, scheduler string, all []PoolUsage) {
	t.sweep(now)
	for _, pool := range all[:min(len(all), maxReportedPools)] {
		remote := &remoteUsage{receivedAt: now, tenants: map[string]usage{}}
		for _, tenant := range pool.Tenants[:min(len(pool.Tenants), maxReportedTenants)] {
			remote.tenants[tenant.Tenant] = usage{max(tenant.Used, 0), max(tenant.Refused, 0)}
		}
		t.state(now, pool.Pool).remote[scheduler] = remote
	}
}
