package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Times of watching the store of kept cache.
const (
	cacheStoreInterval = 2 * time.Second
	cacheStoreTimeout  = 300 * time.Millisecond
)

// cacheStoreWatch knows whether the store of kept cache answers: a runner that
// fetches from a dead one loses time.
type cacheStoreWatch struct {
	gateway *Gateway
	// answering is the address of the store that answered last, or nil.
	answering atomic.Pointer[string]
}

// usable returns the configured store if it answers, or "".
func (w *cacheStoreWatch) usable(table *routing.Table) string {
	answering := w.answering.Load()
	if answering == nil || table.CacheStore() != *answering {
		return ""
	}
	return *answering
}

func (w *cacheStoreWatch) run() {
	g := w.gateway
	interval := firstRetry
	for g.pause(g.jitter(interval)) {
		current := g.view.Load()
		if current == nil {
			continue
		}
		interval = cacheStoreInterval
		if address := current.table.CacheStore(); address != "" {
			w.check(address)
		}
	}
}

func (w *cacheStoreWatch) check(address string) {
	g := w.gateway
	ctx, cancel := context.WithTimeout(g.ctx, cacheStoreTimeout)
	defer cancel()
	answers := g.ports.Runners.CacheStoreAnswers(ctx, address)
	before := w.answering.Load()
	switch {
	case answers:
		w.answering.Store(&address)
	case g.ctx.Err() == nil:
		w.answering.Store(nil)
	}
	if answers != (before != nil) {
		g.log.Log(events.CacheStoreChanged, events.Fields{"address": address, "answers": answers})
	}
}
