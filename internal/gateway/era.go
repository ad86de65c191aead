package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

// eraTracker tracks the newest era of the store that this router has seen in a response of the
// store or in a message of another router. It is safe for concurrent use.
type eraTracker struct {
	gateway *Gateway
	mutex   sync.Mutex
	era     uint64
	// observedAt is when this router first saw the era, zero before the first one.
	observedAt time.Time
}

func newEraTracker(g *Gateway) *eraTracker { return &eraTracker{gateway: g} }

// observe records the era of a response.
func (e *eraTracker) observe(era uint64) {
	now := e.gateway.now()
	e.mutex.Lock()
	previous := e.era
	if era <= previous {
		e.mutex.Unlock()
		return
	}
	e.era, e.observedAt = era, now
	e.mutex.Unlock()
	if previous == 0 {
		return
	}
	e.gateway.metrics.storeRestores.Inc()
	known := e.gateway.copies.newestRevision()
	e.gateway.log.Log(events.StoreRestored, events.Fields{"era": era, "before": previous, "known_revision": known.Number()})
}

// newest returns the newest era, or 0 if none has been seen.
func (e *eraTracker) newest() uint64 {
	era, _ := e.known()
	return era
}

// known returns the newest era and when it was first seen.
func (e *eraTracker) known() (era uint64, since time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.era, e.observedAt
}
