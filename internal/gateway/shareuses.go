package gateway

import (
	"math"
	"time"

	"github.com/clovertiller/clovertiller/internal/fairshare"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// maxStatusExcesses is the maximum number of tenants in the status.
const maxStatusExcesses = 10

// TenantExcess is a tenant that uses more than its fair share of an overloaded service.
type TenantExcess struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	// Excess is the factor by which the tenant's longest accepted queueing time is divided.
	Excess float64 `json:"excess"`
}

// summary returns the tenants that exceed their shares, for the status.
func (s *fairShares) summary(now time.Time) []TenantExcess {
	var summary []TenantExcess
	for _, tenant := range s.tracker.TopExcesses(now, maxStatusExcesses) {
		summary = append(summary, TenantExcess{Tenant: tenant.Tenant, Service: tenant.Service, Excess: tenant.Excess})
	}
	return summary
}

// tenantCount returns the number of tenants with recorded usage.
func (s *fairShares) tenantCount() float64 {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	return float64(s.tracker.TenantCount())
}

// localUsage returns the recent usage to report to the other schedulers.
func (s *fairShares) localUsage(now time.Time) []*wire.PoolUse {
	var messages []*wire.PoolUse
	for _, pool := range s.tracker.LocalUsage(now) {
		message := &wire.PoolUse{Service: pool.Service, Tier: uint32(pool.Tier), RouteRank: uint32(pool.Route)}
		for _, tenant := range pool.Tenants {
			message.Tenants = append(message.Tenants, &wire.TenantUse{Tenant: tenant.Tenant, Used: roundTokens(tenant.Used), Refused: roundTokens(tenant.Refused)})
		}
		messages = append(messages, message)
	}
	return messages
}

func roundTokens(amount float64) uint64 { return uint64(math.Round(max(amount, 0))) }

// merge applies the usage that another scheduler reported.
func (s *fairShares) merge(scheduler string, share *wire.LoadShare) {
	if len(share.GetUses()) == 0 {
		return
	}
	var pools []fairshare.PoolUsage
	for _, message := range share.GetUses() {
		pool := fairshare.PoolUsage{Pool: fairshare.Pool{Service: message.GetService(), Tier: int(message.GetTier()), Route: int(message.GetRouteRank())}}
		for _, tenant := range message.GetTenants() {
			pool.Tenants = append(pool.Tenants, fairshare.TenantUsage{Tenant: tenant.GetTenant(), Used: float64(tenant.GetUsed()), Refused: float64(tenant.GetRefused())})
		}
		pools = append(pools, pool)
	}
	s.tracker.Merge(s.gateway.now(), scheduler, pools)
}

// encodeExcess returns the excess in percent as sent on the wire, 0 for a tenant that does not
// exceed its share.
func encodeExcess(excess float64) uint32 {
	if excess <= 1 {
		return 0
	}
	return uint32(math.Round(excess * percent))
}

// decodeExcess returns the excess in an answer, which encodeExcess encoded.
func decodeExcess(answer *wire.RunnerAnswer) float64 {
	return max(float64(answer.GetExcessPercent())/percent, 1)
}
