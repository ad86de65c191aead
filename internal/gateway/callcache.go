package gateway

import (
	"github.com/clovertiller/clovertiller/internal/backend"
)

// addCache adds what concerns cached prompt parts. The salt holds owner and
// weights, and the runner must have these weights, so that neither the memory of
// others nor that of other weights is found anywhere.
func (c *call) addCache(dispatch *Dispatch) {
	dispatch.Priority = c.priority()
	dispatch.WeightVersion = c.weights
	dispatch.Salt = backend.Salt(c.owner(), c.weights)
	if len(c.facts.Prompt) < 2 {
		return
	}
	now, store := c.gateway.now(), c.gateway.cacheStores.storeForFamily(c.view.table, c.query.Family)
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	source := c.gateway.runners.ChooseFetchSource(now, c.runner.ID, c.query, c.weights, store)
	dispatch.FetchFrom = source.Address
	c.fetched = sourceLabel(source.Address, store)
	c.gateway.metrics.fetchSources.WithLabelValues(c.fetched).Inc()
	if store != "" && !source.StoreHasAll && c.gateway.saveThrottle.ShouldSave(now, c.query, c.weights) {
		dispatch.SaveTo = store
	}
}

// Sources of cached parts, in counters.
const (
	sourceNone   = "none"
	sourceStore  = "store"
	sourceRunner = "runner"
)

func sourceLabel(address, store string) string {
	switch address {
	case "":
		return sourceNone
	case store:
		return sourceStore
	}
	return sourceRunner
}

// lastRank is the last rank of requests at the runners.
const lastRank = 9

// priority is the rank of the tenant's tier at the runners. Routes have no rank there:
// a runner that is short of memory preempts what ranks lower and reads it anew, so
// ranks that all requests differ in make a shortage worse. The ranks of routes count
// before the send, when requests are refused (admission.LongestQueue).
func (c *call) priority() int { return min(c.view.table.TenantTier(c.tenant), lastRank) }
