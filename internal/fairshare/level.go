package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// levelTime is how long shares are taken to stay as they were measured: in a fiftieth of
// the half-life sums hardly change, and a choice of a runner does not wait for the sums of
// all tenants.
const levelTime = 50 * time.Millisecond

// Excess says how far the tenant's recent use of the pool is beyond its fair share: 1 at
// or below it, or while nobody is refused, and more the farther it is beyond. The longest
// queueing time of a request is to be divided by it.
func (t *Tracker) Excess(now time.Time, of Pool, tenant string) float64 {
	p := t.pools[of]
	if p == nil || tenant == "" {
		return 1
	}
	t.measure(now, p)
	return math.Max(p.excess[tenant], 1)
}

// Beyond is a tenant that is beyond its fair share.
type Beyond struct {
	Pool
	Tenant string
	Excess float64
}

// Beyond returns the tenants that are farthest beyond their fair shares, at most so many.
func (t *Tracker) Beyond(now time.Time, most int) []Beyond {
	var all []Beyond
	for of, p := range t.pools {
		t.measure(now, p)
		for tenant, excess := range p.excess {
			all = append(all, Beyond{Pool: of, Tenant: tenant, Excess: excess})
		}
	}
	slices.SortFunc(all, func(a, b Beyond) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all[:min(len(all), most)]
}

// measure finds the tenants beyond their share, unless it was done of late.
func (t *Tracker) measure(now time.Time, p *pool) {
	if age := now.Sub(p.levelAt); p.excess != nil && age >= 0 && age < levelTime {
		return
	}
	p.levelAt, p.excess = now, map[string]float64{}
	tenants, rest, short := t.sums(now, p)
	if !short || len(tenants) < 2 {
		return
	}
	share := t.fairShare(tenants, rest)
	for tenant, s := range tenants {
		if excess := t.excess(s.used, share*t.weight(tenant)); excess > 1 {
			p.excess[tenant] = excess
		}
	}
}

func (t *Tracker) excess(used, share float64) float64 {
	beyond := used - t.config.Burst
	if beyond <= share {
		return 1
	}
	if share <= 0 {
		return t.config.Most
	}
	return math.Min(math.Pow(beyond/share, steepness), t.config.Most)
}

// sums adds up what all schedulers placed and refused, by tenant, and for all tenants
// that others told of together. It tells whether anything was refused.
func (t *Tracker) sums(now time.Time, p *pool) (tenants map[string]sum, rest sum, short bool) {
	tenants = make(map[string]sum, len(p.own))
	refused := 0.0
	for tenant, u := range p.own {
		t.decay(now, u)
		tenants[tenant] = u.sum
		refused += u.refused
	}
	p.dropStale(now)
	for _, told := range p.told {
		left := t.left(now, told.at)
		for tenant, s := range told.tenants {
			tenants[tenant] = tenants[tenant].plus(s.times(left))
			refused += s.refused * left
		}
		rest = rest.plus(told.rest.times(left))
	}
	return tenants, rest, refused+rest.refused >= leastUse
}

// restShare is the least part of what was placed for known tenants that they share: so
// much at least is theirs, whatever the others together want.
const restShare = 0.5

// fairShare returns the most that a tenant of weight 1 may use if all that was placed is
// shared fairly. The tenants in rest, which others told of together, want less than those
// told one by one and count as getting what they want.
func (t *Tracker) fairShare(tenants map[string]sum, rest sum) float64 {
	type wanting struct{ wanted, weight float64 }
	used, weights := 0.0, 0.0
	above := make([]wanting, 0, len(tenants))
	for tenant, s := range tenants {
		w := wanting{s.wanted(), t.weight(tenant)}
		above = append(above, w)
		used += s.used
		weights += w.weight
	}
	slices.SortFunc(above, func(a, b wanting) int { return cmp.Compare(a.wanted/a.weight, b.wanted/b.weight) })
	left := math.Max(used-rest.refused, used*restShare)
	for _, w := range above {
		share := left / weights
		if w.wanted > share*w.weight {
			return share
		}
		left -= w.wanted
		weights -= w.weight
	}
	return math.Inf(1)
}
