package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Times of watching the store of kept cache.
const (
	cacheStoreInterval = 2 * time.Second
	cacheStoreTimeout  = 300 * time.Millisecond
)

// cacheStoreWatch knows which stores of kept cache answer: a runner that fetches
// from a dead one loses time. Routers that read the store ask for themselves; the
// others are told with the changes that they pull, as a store's answer is long.
type cacheStoreWatch struct {
	gateway *Gateway
	state   atomic.Pointer[cacheStores]
}

// cacheStores tells which stores of one configuration answer. It is never changed.
type cacheStores struct {
	// config is the version of the configuration that lists them.
	config uint64
	// answering has bit i set when the i-th store answers. Stores beyond the 64th
	// have no bit and are not used.
	answering uint64
}

func (s *cacheStores) answers(i int) bool { return s.answering&(1<<i) != 0 }

func newCacheStoreWatch(g *Gateway) *cacheStoreWatch {
	w := &cacheStoreWatch{gateway: g}
	w.state.Store(&cacheStores{})
	return w
}

// storeOf returns the store that keeps the family's shared parts, the same one
// on all routers, or "" when none answers.
func (w *cacheStoreWatch) storeOf(table *routing.Table, family uint64) string {
	state := w.state.Load()
	var usable []string
	for i, address := range table.CacheStores() {
		if state.answers(i) {
			usable = append(usable, address)
		}
	}
	return rendezvous.Owner(usable, family)
}

func (w *cacheStoreWatch) run() {
	g := w.gateway
	interval := minRetryDelay
	for g.pause(g.jitter(interval)) {
		current := g.view.Load()
		if current == nil {
			continue
		}
		interval = cacheStoreInterval
		if g.direct.isEnabled() {
			w.check(current.table)
		}
	}
}

// check asks all stores at once and notes which answer.
func (w *cacheStoreWatch) check(table *routing.Table) {
	g := w.gateway
	ctx, cancel := context.WithTimeout(g.ctx, cacheStoreTimeout)
	defer cancel()
	var answering atomic.Uint64
	var group sync.WaitGroup
	for i, address := range table.CacheStores() {
		group.Go(func() {
			if g.ports.Runners.CacheStoreAnswers(ctx, address) {
				answering.Or(1 << i)
			}
		})
	}
	group.Wait()
	if g.ctx.Err() == nil {
		w.note(table, cacheStores{config: table.Version, answering: answering.Load()}, "own check")
	}
}

// told takes another router's word, if it is about the configuration in force.
func (w *cacheStoreWatch) told(state cacheStores, source string) {
	current := w.gateway.view.Load()
	if current == nil || current.table.Version != state.config || w.gateway.direct.isEnabled() {
		return
	}
	w.note(current.table, state, source)
}

// note puts the state in force and logs what changed.
func (w *cacheStoreWatch) note(table *routing.Table, state cacheStores, source string) {
	before := w.state.Swap(&state)
	for i, address := range table.CacheStores() {
		if before.answers(i) != state.answers(i) {
			w.gateway.log.Log(events.CacheStoreAvailabilityChanged, events.Fields{"address": address, "answers": state.answers(i), "source": source})
		}
	}
}
