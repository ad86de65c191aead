package fairshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// toldTime is how long another scheduler's sums count: it tells them several times in
	// it, and falls silent when it is lost or its part of the service is no longer short.
	toldTime = 2 * time.Second
	// mostTold is how many tenants of a pool are told one by one: those that want most
	// for their weight, as others are hardly beyond their shares.
	mostTold = 12
	// mostPools is of how many pools is told at a time, those with most refused first. With the
	// tenants of each it bounds what schedulers tell each other.
	mostPools = 2
)

// Sum is the recent use of a tenant: what was placed for it and what was refused, in
// prompt tokens.
type Sum struct {
	Tenant  string
	Used    float64
	Refused float64
}

// Sums is the recent use of a pool as one scheduler knows it from its own choices.
type Sums struct {
	Pool
	Tenants []Sum
	// RestUsed and RestRefused are those of all other tenants together.
	RestUsed, RestRefused float64
}

// toldSums are another scheduler's sums of a pool.
type toldSums struct {
	at      time.Time
	tenants map[string]sum
	rest    sum
}

// dropStale forgets the sums of schedulers that have fallen silent.
func (p *pool) dropStale(now time.Time) {
	for scheduler, told := range p.told {
		if now.Sub(told.at) >= toldTime {
			delete(p.told, scheduler)
		}
	}
}

// Sums returns what this scheduler placed and refused in the pools that are short here or
// at others. There are none while nothing is refused.
func (t *Tracker) Sums(now time.Time) []Sums {
	t.sweep(now)
	var all []Sums
	for of, p := range t.pools {
		p.dropStale(now)
		if sums := t.ownSums(now, of, p); len(sums.Tenants) > 0 && (len(p.told) > 0 || sums.refused() >= leastUse) {
			all = append(all, sums)
		}
	}
	slices.SortFunc(all, func(a, b Sums) int {
		return cmp.Or(cmp.Compare(b.refused(), a.refused()), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier))
	})
	return all[:min(len(all), mostPools)]
}

func (s Sums) refused() float64 {
	refused := s.RestRefused
	for _, tenant := range s.Tenants {
		refused += tenant.Refused
	}
	return refused
}

func (t *Tracker) ownSums(now time.Time, of Pool, p *pool) Sums {
	sums := Sums{Pool: of}
	for tenant, u := range p.own {
		if t.decay(now, u); u.wanted() >= leastUse {
			sums.Tenants = append(sums.Tenants, Sum{Tenant: tenant, Used: u.used, Refused: u.refused})
		}
	}
	slices.SortFunc(sums.Tenants, func(a, b Sum) int {
		return cmp.Or(cmp.Compare(t.wantedShare(b), t.wantedShare(a)), cmp.Compare(a.Tenant, b.Tenant))
	})
	for _, tenant := range sums.Tenants[min(len(sums.Tenants), mostTold):] {
		sums.RestUsed += tenant.Used
		sums.RestRefused += tenant.Refused
	}
	sums.Tenants = sums.Tenants[:min(len(sums.Tenants), mostTold)]
	return sums
}

// wantedShare is what the tenant wants for its weight.
func (t *Tracker) wantedShare(s Sum) float64 { return (s.Used + s.Refused) / t.weight(s.Tenant) }

// Merge takes another scheduler's sums in place of those that it told before. They count
// from the moment that they arrive.
func (t *Tracker) Merge(now time.Time, scheduler string, all []Sums) {
	t.sweep(now)
	for _, sums := range all[:min(len(all), mostPools)] {
		told := &toldSums{at: now, tenants: map[string]sum{}, rest: sum{max(sums.RestUsed, 0), max(sums.RestRefused, 0)}}
		for _, tenant := range sums.Tenants[:min(len(sums.Tenants), mostTold)] {
			told.tenants[tenant.Tenant] = sum{max(tenant.Used, 0), max(tenant.Refused, 0)}
		}
		t.pool(sums.Pool).told[scheduler] = told
	}
}
