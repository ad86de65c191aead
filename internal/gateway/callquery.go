package gateway

import (
	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"slices"
)

// rank returns the call's priority among the calls that compete for the same runners.
func (c *call) rank() admission.Rank {
	return admission.Rank{Tier: c.config.table.TenantTier(c.tenant), Route: c.config.table.RouteRank(c.service, c.route)}
}

// newQuery returns the query by which a runner is chosen for the next attempt.
func (c *call) newQuery() backend.Query {
	query := backend.Query{
		Service: c.service, Excluded: append(slices.Clone(c.attemptState.Excluded()), c.silentRunners...), Zone: c.gateway.settings.Zone, MaxQueueTime: c.maxQueueTime,
		LatencyTarget: c.route.LatencyTarget, MaxEventGap: c.route.MaxEventGap, Rank: c.rank(), Tenant: c.tenantName(), MaxTokens: c.metadata.MaxTokens,
		SuspectContent: c.suspectHash(), Backoffs: c.gateway.runnerBackoffs(), Route: c.gateway.rolloutDriver.RouteName(c.service, c.route.Name),
		BoundVersion: c.boundVersion(), Unreachable: c.gateway.paths.unreachable(c.service),
	}
	if c.boundVersion() != "" {
		// The stream was admitted when it began.
		query.MaxQueueTime = max(c.gateway.until(c.deadline), 0)
	}
	if c.attemptState.Attempt() > 0 {
		// A call whose first attempt was admitted is not refused for its queueing time later.
		query.MaxQueueTime = 0
	}
	if !c.route.PromptCached {
		return query
	}
	query.Model, query.Owner = c.metadata.Model, c.cacheOwner()
	for i, part := range c.metadata.Prompt {
		query.PromptTokens += part.Tokens
		if i < len(c.metadata.Prompt)-1 {
			query.SharedTokens += part.Tokens
			query.Shared = append(query.Shared, backend.SharedPart{ID: part.ID, Depth: query.SharedTokens})
		}
	}
	if last := len(c.metadata.Prompt) - 1; last >= 0 {
		query.LastPart = c.metadata.Prompt[last].ID
	}
	query.Family, query.Ticket = c.promptFamily(), c.ticket()
	return query
}

// promptFamily returns the hash of the prompt's deepest shared part, 0 if there is none.
func (c *call) promptFamily() uint64 {
	lastShared := len(c.metadata.Prompt) - 2
	if lastShared < 0 {
		return 0
	}
	return rendezvous.KeyOf(c.cacheOwner() + "/" + c.metadata.Prompt[lastShared].ID)
}

// cacheOwner returns the owner of the cached prompt parts that the call may use: the tenant
// itself if it is isolated, and otherwise the common owner of all other calls.
func (c *call) cacheOwner() string {
	if c.tenant != nil && c.tenant.Isolated {
		return "tenant/" + c.tenant.Name
	}
	return "shared"
}
