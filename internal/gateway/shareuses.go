package gateway

import (
	"math"
	"time"

	"github.com/clovertiller/clovertiller/internal/fairshare"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// mostBeyond bounds the tenants in the status.
const mostBeyond = 10

// BeyondShare is a tenant that uses more than its fair share of a short service.
type BeyondShare struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	// Excess is what its longest queueing time is divided by.
	Excess float64 `json:"excess"`
}

// summary returns the tenants beyond their shares for the status.
func (s *shares) summary(now time.Time) []BeyondShare {
	var summary []BeyondShare
	for _, beyond := range s.tracker.TopExcesses(now, mostBeyond) {
		summary = append(summary, BeyondShare{Tenant: beyond.Tenant, Service: beyond.Service, Excess: beyond.Excess})
	}
	return summary
}

// tenants counts the tenants whose use is remembered.
func (s *shares) tenants() float64 {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	return float64(s.tracker.TenantCount())
}

// uses returns what other schedulers are to be told of recent use.
func (s *shares) uses(now time.Time) []*wire.PoolUse {
	var uses []*wire.PoolUse
	for _, sums := range s.tracker.LocalUsage(now) {
		use := &wire.PoolUse{Service: sums.Service, Tier: uint32(sums.Tier), RouteRank: uint32(sums.Route)}
		for _, tenant := range sums.Tenants {
			use.Tenants = append(use.Tenants, &wire.TenantUse{Tenant: tenant.Tenant, Used: tokens(tenant.Used), Refused: tokens(tenant.Refused)})
		}
		uses = append(uses, use)
	}
	return uses
}

func tokens(amount float64) uint64 { return uint64(math.Round(max(amount, 0))) }

// merge takes another scheduler's sums.
func (s *shares) merge(scheduler string, share *wire.LoadShare) {
	if len(share.GetUses()) == 0 {
		return
	}
	var all []fairshare.PoolUsage
	for _, use := range share.GetUses() {
		sums := fairshare.PoolUsage{Pool: fairshare.Pool{Service: use.GetService(), Tier: int(use.GetTier()), Route: int(use.GetRouteRank())}}
		for _, tenant := range use.GetTenants() {
			sums.Tenants = append(sums.Tenants, fairshare.TenantUsage{Tenant: tenant.GetTenant(), Used: float64(tenant.GetUsed()), Refused: float64(tenant.GetRefused())})
		}
		all = append(all, sums)
	}
	s.tracker.Merge(s.gateway.now(), scheduler, all)
}

// excessMessage writes an excess for the wire, 0 for a tenant that is not beyond its share.
func excessMessage(excess float64) uint32 {
	if excess <= 1 {
		return 0
	}
	return uint32(math.Round(excess * percent))
}

// excessOf reads what excessMessage wrote.
func excessOf(answer *wire.RunnerAnswer) float64 {
	return max(float64(answer.GetExcessPercent())/percent, 1)
}
