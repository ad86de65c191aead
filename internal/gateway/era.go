package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// storeEra is the newest era of the store that this router has heard of, from the store or from
// another router. It is safe for concurrent use.
type storeEra struct {
	gateway *Gateway
	mutex   sync.Mutex
	era     uint64
	// knownAt is when this router heard of it first, zero before any.
	knownAt time.Time
}

func newStoreEra(g *Gateway) *storeEra { return &storeEra{gateway: g} }

// told takes the era of an answer.
func (e *storeEra) told(era uint64) {
	now := e.gateway.now()
	e.mutex.Lock()
	before := e.era
	if era <= before {
		e.mutex.Unlock()
		return
	}
	e.era, e.knownAt = era, now
	e.mutex.Unlock()
	if before == 0 {
		return
	}
	e.gateway.metrics.storeRestores.Inc()
	known := e.gateway.copies.newestRevision()
	e.gateway.log.Log(events.StoreRestored, events.Fields{"era": era, "before": before, "known_revision": known.Number()})
}

// newest returns the era, 0 before any.
func (e *storeEra) newest() uint64 {
	era, _ := e.known()
	return era
}

// known returns the era and since when it is known.
func (e *storeEra) known() (era uint64, since time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.era, e.knownAt
}
