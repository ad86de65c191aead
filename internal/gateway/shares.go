package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/fairshare"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// toldExcessTime is how long a scheduler's word on a tenant's share counts at a router that
// chooses runners itself for want of an answer: as long as other schedulers' sums count.
const toldExcessTime = 2 * time.Second

// shares keeps tenants to their fair shares of short services: it counts what this router
// places for others, or for itself if it places for others too, and shortens the queueing
// time of requests of tenants that are beyond their share. The gateway's mutex guards it.
type shares struct {
	gateway *Gateway
	tracker *fairshare.Tracker
	// weighed is the configuration whose weights are in force.
	weighed *activeConfig
	// told holds the tenants that schedulers named as beyond their share, by service and
	// name, of the configuration in force at most.
	told map[string]toldExcess
}

type toldExcess struct {
	excess float64
	at     time.Time
}

func newShares(g *Gateway) *shares {
	return &shares{gateway: g, tracker: fairshare.New(fairshare.Config{}), told: map[string]toldExcess{}}
}

// poolOf names those who share: tenants of one tier with requests of one rank. What gives
// way to a more urgent rank is held against nobody of that rank.
func poolOf(query backend.Query) fairshare.Pool {
	return fairshare.Pool{Service: query.Service, Tier: query.Rank.Tier, Route: query.Rank.Route}
}

// shared tells whether there is anybody to share with, and takes over the weights of the
// configuration.
func (s *shares) shared() bool {
	current := s.gateway.activeConfig.Load()
	if current == nil || len(current.table.TenantWeights()) < 2 {
		return false
	}
	if current != s.weighed {
		if s.weighed == nil || s.weighed.table != current.table {
			s.tracker.SetWeights(current.table.TenantWeights())
			clear(s.told)
		}
		s.weighed = current
	}
	return true
}

// excess says how far the tenant of the request is beyond its fair share, 1 at or below it.
func (s *shares) excess(now time.Time, query backend.Query) float64 {
	if !s.shared() || query.Tenant == "" {
		return 1
	}
	excess := s.tracker.Excess(now, poolOf(query), query.Tenant)
	if told, found := s.told[query.Service+"/"+query.Tenant]; found && now.Sub(told.at) < toldExcessTime {
		excess = max(excess, told.excess)
	}
	return excess
}

// hear takes a scheduler's word on how far the tenant of a request is beyond its share.
func (s *shares) hear(now time.Time, query backend.Query, excess float64) {
	key := query.Service + "/" + query.Tenant
	if !s.shared() || excess <= 1 {
		delete(s.told, key)
		return
	}
	s.told[key] = toldExcess{excess: excess, at: now}
}

// fades is the time in which the use of a tenant with the excess falls to its share.
func (s *shares) fades(excess float64) time.Duration { return s.tracker.RecoveryTime(excess) }

// noteChoice counts what became of a choice, if this router places requests for all, but for
// refusals for a share: these do not show that the service is short.
func (s *shares) noteChoice(now time.Time, query backend.Query, chosen placement.Pick, forShare bool) {
	if forShare {
		s.gateway.metrics.shareRefusals.WithLabelValues(query.Service).Inc()
		return
	}
	if !s.counts() {
		return
	}
	cost := fairshare.Cost(query.PromptTokens-chosen.Candidate.CachedTokens, query.MaxTokens)
	switch chosen.Status {
	case placement.Picked:
		s.tracker.Charge(now, poolOf(query), query.Tenant, cost)
	case placement.Overloaded:
		s.tracker.RecordRefusal(now, poolOf(query), query.Tenant, cost)
	}
}

// counts tells whether this router sees enough of all requests to know shares: it is a
// scheduler, or there are no other routers.
func (s *shares) counts() bool {
	return s.shared() && (s.gateway.relays.transport == nil || s.gateway.schedulers.places())
}

// refund takes back what was counted for a request that no runner has run.
func (s *shares) refund(now time.Time, query backend.Query, send *backend.Send, outcome backend.Outcome) {
	if notRun(outcome) {
		s.tracker.Refund(now, send.SentAt(), poolOf(query), query.Tenant, fairshare.Cost(send.Tokens(), query.MaxTokens))
	}
}

// notRun tells whether the outcome means that the runner has done nothing for the request.
func notRun(outcome backend.Outcome) bool {
	return outcome == backend.Refused || outcome == backend.NotConfirmed
}
