package gateway

import (
	"sync/atomic"

	"github.com/clovertiller/clovertiller/internal/events"
)

// storeEra is the newest era of the store that this router has heard of, 0 before any.
type storeEra struct {
	gateway *Gateway
	newest  atomic.Uint64
}

func newStoreEra(g *Gateway) *storeEra { return &storeEra{gateway: g} }

// told takes the era of an answer of the store.
func (e *storeEra) told(era uint64) {
	for known := e.newest.Load(); era > known; known = e.newest.Load() {
		if !e.newest.CompareAndSwap(known, era) {
			continue
		}
		if known > 0 {
			e.gateway.metrics.storeRestores.Inc()
			e.gateway.log.Log(events.StoreRestored, events.Fields{"era": era, "before": known, "revision": e.gateway.copies.newestRevision()})
		}
	}
}
