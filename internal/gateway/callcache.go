package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// addCacheFields sets the fields of the dispatch that concern cached prompt parts. The salt
// contains the cache owner and the weight version, and the runner must have these weights.
// Cached parts of other owners or other weights can therefore never match.
func (c *call) addCacheFields(dispatch *Dispatch) {
	dispatch.Priority = c.priority()
	dispatch.WeightVersion = c.weightVersion
	dispatch.Salt = backend.Salt(c.cacheOwner(), c.weightVersion)
	if len(c.metadata.Prompt) < 2 {
		return
	}
	now, store := c.gateway.now(), c.gateway.cacheStoreMonitor.storeForFamily(c.config.table, c.query.Family, c.runner.Zone)
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	weights := c.shareableWeights(now)
	source := c.gateway.runners.ChooseFetchSource(now, c.runner.ID, c.query, weights, store)
	dispatch.FetchFrom = source.Address
	c.fetchSource = fetchSourceLabel(source.Address, store)
	c.gateway.metrics.fetchSources.WithLabelValues(c.fetchSource).Inc()
	if store != "" && weights.AreNewest() && !source.StoreHasAll && c.gateway.saveThrottle.ShouldSave(now, c.query, c.weightVersion) {
		dispatch.SaveTo = store
	}
}

// maxNamedWeightsAge is the age up to which this router's copy of the named weights shows that no newer ones have been
// named. Idle routers confirm their copies about once a second.
const maxNamedWeightsAge = 2 * time.Second

// shareableWeights returns the weights of the call's run if what is made under them may be copied. The gateway's
// mutex must be held.
func (c *call) shareableWeights(now time.Time) backend.ShareableWeights {
	if age, known := c.gateway.copies.age(now, WeightObjects); !known || age > maxNamedWeightsAge {
		return backend.ShareableWeights{}
	}
	return c.gateway.runners.ShareableWeights(c.query.Model, c.weightVersion)
}

// Kinds of sources of cached prompt parts, as in metrics and logs.
const (
	fetchSourceNone   = "none"
	fetchSourceStore  = "store"
	fetchSourceRunner = "runner"
)

// fetchSourceLabel returns the kind of the source at the address. The address is empty if
// nothing is fetched, and store is the address of the cache store.
func fetchSourceLabel(address, store string) string {
	switch address {
	case "":
		return fetchSourceNone
	case store:
		return fetchSourceStore
	}
	return fetchSourceRunner
}

// lowestPriority is the lowest priority of a request at the runners; 0 is the highest.
const lowestPriority = 9

// priority returns the priority of the call at the runners, which depends only on the tenant's
// tier. A runner that is short of memory preempts requests of lower priority and computes
// their prompts again, so giving every request a different priority would worsen the shortage.
// Route ranks apply only before the send, when requests are refused (admission.DrawMaxQueue).
func (c *call) priority() int { return min(c.config.table.TenantTier(c.tenant), lowestPriority) }
