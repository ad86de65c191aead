package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/peers"
)

// Times and sizes of asking.
const (
	// emptyTime is the longest time for which a refusal is taken to hold for other
	// requests of the tenant, without asking again: a raised limit or a return counts
	// after it.
	emptyTime = 100 * time.Millisecond
	// useTime is the time over which a router measures what it spends of a limit.
	useTime = 3 * time.Second
	// aloneTime is how long after its last request without keepers a tenant's
	// allowance for that is measured anew.
	aloneTime = 2 * time.Second
	// aloneShare is the part of an equal share that a router may spend without keepers
	// if it has spent less of late: keepers may be granting all of the limit to others.
	aloneShare = 0.5
)

// use is what this router has spent of a tenant's limit of late, decaying.
type use struct {
	sum float64
	at  time.Time
}

func (u *use) decay(now time.Time) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		u.sum *= math.Exp(-elapsed.Seconds() / useTime.Seconds())
		u.at = now
	}
}

// part is the part of a tenant's limit that one keeper holds.
type part struct{ keeper, tenant string }

// emptiness is a keeper's refusal: until when it holds for others, and when a
// refused caller may come back.
type emptiness struct{ until, retryAt time.Time }

// Asker decides whom a router asks, and for itself when no keeper answers. It is
// not safe for concurrent use.
type Asker struct {
	keepers *peers.Ranking
	// empty holds the parts that have just refused.
	empty map[part]emptiness
	uses  map[string]*use
	// alone holds the allowances that are spent while no keeper answers.
	alone map[string]*bucket
	// heardAt is when a keeper last answered, or when the router started; zero when neither
	// was told.
	heardAt time.Time
	random  *rand.Rand
	sweepAt time.Time
}

// NewAsker returns an asker of the router with the peer address self in the zone.
func NewAsker(self, zone string, random *rand.Rand) *Asker {
	return &Asker{
		keepers: peers.NewRanking(self, zone), empty: map[part]emptiness{},
		uses: map[string]*use{}, alone: map[string]*bucket{}, random: random,
	}
}

// Keepers are the routers that keep limits.
func (a *Asker) Keepers() *peers.Ranking { return a.keepers }

// Parts is into how many parts limits are cut.
func (a *Asker) Parts() int { return max(a.keepers.Len(), 1) }

// Order returns the keepers to ask for the tenant, the nearest first, without those
// that have just refused. If any have, it returns when the caller may come back.
func (a *Asker) Order(now time.Time, tenant string) (order []string, retryAfter time.Duration) {
	a.sweep(now)
	for _, address := range a.keepers.Order(now) {
		refused := a.empty[part{address, tenant}]
		if !now.Before(refused.until) {
			order = append(order, address)
			continue
		}
		if left := refused.retryAt.Sub(now); retryAfter == 0 || left < retryAfter {
			retryAfter = left
		}
	}
	return order, retryAfter
}

// Heard notes that a keeper has answered, or that the router has just started.
func (a *Asker) Heard(now time.Time) { a.heardAt = now }

// Granted notes what was granted to this router.
func (a *Asker) Granted(now time.Time, tenant string, amount float64) {
	u := a.uses[tenant]
	if u == nil {
		u = &use{at: now}
		a.uses[tenant] = u
	}
	u.decay(now)
	u.sum += amount
}

// Refused notes that a keeper's part of the tenant's limit is spent.
func (a *Asker) Refused(now time.Time, address, tenant string, answer Answer) {
	a.empty[part{address, tenant}] = emptiness{
		until: now.Add(min(answer.EmptyFor, emptyTime)), retryAt: now.Add(answer.RetryAfter),
	}
}

// Alone decides without keepers. A router may go on at the rate that keepers have
// granted it of late, which all routers together do not exceed the limit by, or at
// half of an equal share. The allowance comes in from the last answer of a keeper on. It
// begins at a random level, so that many routers with small ones do not all grant a large
// request at once.
func (a *Asker) Alone(now time.Time, tenant string, amount float64, limit Limit, routers int) Answer {
	own := limit.share(routers)
	own.Rate = math.Min(math.Max(own.Rate*aloneShare, a.useRate(now, tenant)), limit.Rate)
	own.Burst, own.Window = own.Burst*aloneShare, 0
	b := a.alone[tenant]
	if b == nil || now.Sub(b.at) > aloneTime {
		b = &bucket{at: a.aloneSince(now), level: -a.random.Float64() * amount, limit: own}
		a.alone[tenant] = b
	}
	b.refill(now)
	b.limit = own
	return b.spend(now, amount, amount)
}

// aloneSince is from when on a tenant without an allowance may be allowed for: not before
// the last answer of a keeper, nor so long ago that an allowance since then was forgotten.
func (a *Asker) aloneSince(now time.Time) time.Time {
	if a.heardAt.IsZero() || a.heardAt.After(now) {
		return now
	}
	if oldest := now.Add(-aloneTime); a.heardAt.Before(oldest) {
		return oldest
	}
	return a.heardAt
}

// useRate is what keepers granted this router of late, a second.
func (a *Asker) useRate(now time.Time, tenant string) float64 {
	u := a.uses[tenant]
	if u == nil {
		return 0
	}
	u.decay(now)
	return u.sum / useTime.Seconds()
}

// forgetTime is after how long a tenant's use is forgotten: it has decayed to less
// than a hundredth.
const forgetTime = 5 * useTime

// sweep forgets what no longer counts.
func (a *Asker) sweep(now time.Time) {
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(sweepInterval)
	for spent, refused := range a.empty {
		if !now.Before(refused.until) {
			delete(a.empty, spent)
		}
	}
	for tenant, u := range a.uses {
		if now.Sub(u.at) > forgetTime {
			delete(a.uses, tenant)
		}
	}
	for tenant, b := range a.alone {
		if now.Sub(b.at) > aloneTime {
			delete(a.alone, tenant)
		}
	}
}
