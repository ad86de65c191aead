package quota

import (
	"math"
	"time"
)

// sweepInterval is how often expired entries are removed to bound memory.
const sweepInterval = 10 * time.Second

// restartsInTolerance is the number of restarts of a server within one window after which the
// initial levels of its buckets have used up the tolerance.
const restartsInTolerance = 3

// Server holds one share of each tenant's limit, with a bucket per tenant. It is not safe for
// concurrent use.
type Server struct {
	started time.Time
	// initialShare is the initial level of a bucket, as a share of what its limit allows within a
	// window.
	initialShare float64
	buckets      map[string]*bucket
	nextSweep    time.Time
}

// NewServer returns a server of a router that started at the given time. Buckets accrue from then
// on, because the previous process may have granted what accrued before.
func NewServer(started time.Time) *Server {
	return &Server{started: started, buckets: map[string]*bucket{}, nextSweep: started.Add(sweepInterval)}
}

// NewServerWithTolerance is NewServer for limits that may be exceeded by the tolerance, a share of
// what a limit allows within a window. Each bucket starts with a part of the tolerance. Callers that were
// held up while all servers restarted send at once, before empty buckets have accrued much, and most of
// them were refused although their tenants were below their limits.
func NewServerWithTolerance(started time.Time, tolerance float64) *Server {
	s := NewServer(started)
	s.initialShare = tolerance / restartsInTolerance
	return s
}

// Spend spends the amount from the tenant's share, which is one of shareCount equal shares of the
// limit, or refuses it.
func (s *Server) Spend(now time.Time, tenant string, amount float64, limit Limit, shareCount int) Result {
	s.sweep(now)
	shareLimit := limit.share(shareCount)
	b := s.buckets[tenant]
	if b == nil {
		accrued := math.Max(now.Sub(s.started).Seconds(), 0)*shareLimit.Rate + s.initialShare*shareLimit.MaxPerWindow()
		b = &bucket{limit: shareLimit, level: math.Min(accrued, shareLimit.Burst), updatedAt: now, baseRateUntil: s.started.Add(shareLimit.Window)}
		s.buckets[tenant] = b
	}
	b.refill(now)
	b.setLimit(shareLimit)
	// A refused caller has sent its request to all servers and spends an equal part of the amount
	// on each.
	return b.spend(now, amount, amount/float64(max(shareCount, 1)))
}

// Refund returns an amount that was granted for a request which no runner has run.
func (s *Server) Refund(now time.Time, tenant string, amount float64) {
	b := s.buckets[tenant]
	if b == nil || amount < 0 {
		return
	}
	b.refill(now)
	b.level = math.Min(b.level+amount, b.limit.Burst)
	b.spent.add(now, b.limit.Window, -amount)
}

// TenantCount returns the number of tenants with a bucket.
func (s *Server) TenantCount() int { return len(s.buckets) }

// sweep removes full buckets once a new bucket would be full too.
func (s *Server) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	for tenant, b := range s.buckets {
		if b.isFull(now) && now.Sub(s.started).Seconds()*b.limit.Rate >= b.limit.Burst {
			delete(s.buckets, tenant)
		}
	}
}
