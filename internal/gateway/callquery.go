package gateway

import (
	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// rank is the call's place among those that want the same runners.
func (c *call) rank() admission.Rank {
	return admission.Rank{Tier: c.view.table.TenantTier(c.tenant), Route: c.view.table.RouteRank(c.service, c.route)}
}

// newQuery says what placement needs to know of the call.
func (c *call) newQuery() backend.Query {
	query := backend.Query{
		Service: c.service, Excluded: c.request.Excluded(), Zone: c.gateway.settings.Zone, MaxQueueTime: c.maxQueue,
		TargetLatency: c.route.LatencyTarget, MaxEventGap: c.route.MaxEventGap, Rank: c.rank(), Tenant: c.tenantName(), MaxTokens: c.facts.MaxTokens,
		SuspectContent: c.suspect(), Resting: c.gateway.restingRunners(),
	}
	if c.request.Attempt() > 0 {
		// What has been let in is not turned away at its second attempt.
		query.MaxQueueTime = 0
	}
	if !c.route.PromptCached {
		return query
	}
	query.Model, query.Owner = c.facts.Model, c.owner()
	for i, part := range c.facts.Prompt {
		query.PromptTokens += part.Tokens
		if i < len(c.facts.Prompt)-1 {
			query.SharedTokens += part.Tokens
			query.Shared = append(query.Shared, backend.SharedPart{ID: part.ID, Depth: query.SharedTokens})
		}
	}
	query.Family, query.Ticket = c.family(), c.ticket()
	return query
}

// family is the hash of the prompt's deepest shared part, 0 without one.
func (c *call) family() uint64 {
	shared := len(c.facts.Prompt) - 2
	if shared < 0 {
		return 0
	}
	return rendezvous.KeyOf(c.owner() + "/" + c.facts.Prompt[shared].ID)
}

// owner names whose cached prompt parts the call may use: the isolated
// tenant's own, or those that all others share.
func (c *call) owner() string {
	if c.tenant != nil && c.tenant.Isolated {
		return "tenant/" + c.tenant.Name
	}
	return "shared"
}
