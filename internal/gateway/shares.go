package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/fairshare"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// reportedExcessExpiry is how long a tenant's excess reported by a scheduler applies when this
// router chooses runners itself because no scheduler answered. It equals the time for which the
// usage reported by other schedulers counts.
const reportedExcessExpiry = 2 * time.Second

// fairShares limits tenants to their fair shares of overloaded services. It records what this
// router places, for others and for itself, if it is a scheduler or the only router, and shortens
// the accepted queueing time of requests whose tenants exceed their share. The gateway's mutex
// guards it.
type fairShares struct {
	gateway *Gateway
	tracker *fairshare.Tracker
	// weightsConfig is the configuration whose tenant weights are applied.
	weightsConfig *activeConfig
	// reportedExcesses holds the excesses that schedulers reported, by service and tenant name. It
	// is cleared when the configuration changes, so it holds only entries of the current one.
	reportedExcesses map[string]reportedExcess
}

type reportedExcess struct {
	excess     float64
	reportedAt time.Time
}

func newFairShares(g *Gateway) *fairShares {
	return &fairShares{gateway: g, tracker: fairshare.New(fairshare.Config{}), reportedExcesses: map[string]reportedExcess{}}
}

// poolOf returns the pool in which the request's tenant competes: tenants of one tier with requests
// of one rank. Requests that yield to a more urgent rank do not count against tenants of that rank.
func poolOf(query backend.Query) fairshare.Pool {
	return fairshare.Pool{Service: query.Service, Tier: query.Rank.Tier, Route: query.Rank.Route}
}

// syncWeights applies the tenant weights of the current configuration and reports whether there are
// at least two tenants, so that there is something to share.
func (s *fairShares) syncWeights() bool {
	current := s.gateway.activeConfig.Load()
	if current == nil || len(current.table.TenantWeights()) < 2 {
		return false
	}
	if current != s.weightsConfig {
		if s.weightsConfig == nil || s.weightsConfig.table != current.table {
			s.tracker.SetWeights(current.table.TenantWeights())
			clear(s.reportedExcesses)
		}
		s.weightsConfig = current
	}
	return true
}

// excess returns the factor by which the request's tenant exceeds its fair share, 1 if it does not.
func (s *fairShares) excess(now time.Time, query backend.Query) float64 {
	if !s.syncWeights() || query.Tenant == "" {
		return 1
	}
	excess := s.tracker.Excess(now, poolOf(query), query.Tenant)
	if reported, found := s.reportedExcesses[query.Service+"/"+query.Tenant]; found && now.Sub(reported.reportedAt) < reportedExcessExpiry {
		excess = max(excess, reported.excess)
	}
	return excess
}

// recordReportedExcess records the excess that a scheduler reported for the tenant of a request.
func (s *fairShares) recordReportedExcess(now time.Time, query backend.Query, excess float64) {
	key := query.Service + "/" + query.Tenant
	if !s.syncWeights() || excess <= 1 {
		delete(s.reportedExcesses, key)
		return
	}
	s.reportedExcesses[key] = reportedExcess{excess: excess, reportedAt: now}
}

// recoveryTime returns the time in which the usage of a tenant with the excess decays to its share.
func (s *fairShares) recoveryTime(excess float64) time.Duration {
	return s.tracker.RecoveryTime(excess)
}

// recordChoice charges a placed request, or records a refused one, if this router tracks usage.
// Refusals because of a tenant's share are only counted in metrics, since they do not show that the
// service is overloaded.
func (s *fairShares) recordChoice(now time.Time, query backend.Query, pick placement.Pick, forShare bool) {
	if forShare {
		s.gateway.metrics.shareRefusals.WithLabelValues(query.Service).Inc()
		return
	}
	if !s.tracksUsage() {
		return
	}
	cost := fairshare.Cost(query.PromptTokens-pick.Candidate.CachedTokens, query.MaxTokens)
	switch pick.Status {
	case placement.Picked:
		s.tracker.Charge(now, poolOf(query), query.Tenant, cost)
	case placement.Overloaded:
		s.tracker.RecordRefusal(now, poolOf(query), query.Tenant, cost)
	}
}

// tracksUsage reports whether this router sees enough of all requests to compute shares: it is a
// scheduler, also a standby scheduler that is asked, or there are no other routers.
func (s *fairShares) tracksUsage() bool {
	return s.syncWeights() && (s.gateway.peerRouters.transport == nil || s.gateway.schedulers.exchangesLoads())
}

// refund cancels the charge for a request that no runner executed.
func (s *fairShares) refund(now time.Time, query backend.Query, send *backend.Send, outcome backend.Outcome) {
	if notExecuted(outcome) {
		s.tracker.Refund(now, send.SentAt(), poolOf(query), query.Tenant, fairshare.Cost(send.Tokens(), query.MaxTokens))
	}
}

// notExecuted reports whether the outcome means that the runner did no work for the request.
func notExecuted(outcome backend.Outcome) bool {
	return outcome == backend.Refused || outcome == backend.NotConfirmed
}
