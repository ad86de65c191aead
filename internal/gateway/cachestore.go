package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Interval and timeout of checks of the cache stores.
const (
	cacheStoreCheckInterval = 2 * time.Second
	cacheStoreCheckTimeout  = 300 * time.Millisecond
)

// cacheStoreMonitor tracks which cache stores are available: a runner that fetches from an
// unavailable one loses time. Routers that read the object store check the cache stores
// themselves. The others receive the result with their pulls, as the response of a cache store
// is long.
type cacheStoreMonitor struct {
	gateway *Gateway
	status  atomic.Pointer[cacheStoreStatus]
}

// cacheStoreStatus holds the availability of the cache stores of one configuration. It is
// immutable.
type cacheStoreStatus struct {
	// configVersion is the version of the configuration that lists the cache stores.
	configVersion uint64
	// availableBits has bit i set if the i-th cache store is available. Stores beyond the 64th
	// have no bit and are not used.
	availableBits uint64
}

func (s *cacheStoreStatus) isAvailable(i int) bool { return s.availableBits&(1<<i) != 0 }

func newCacheStoreMonitor(g *Gateway) *cacheStoreMonitor {
	m := &cacheStoreMonitor{gateway: g}
	m.status.Store(&cacheStoreStatus{})
	return m
}

// storeForFamily returns the address of the cache store that keeps the shared parts of the
// prompt family for runners of the zone, or "" if none is available. All routers choose the same
// one. Stores of other regions are not used: a transfer between regions takes ten times as long as
// within a zone, and mostly longer than the prefill.
func (m *cacheStoreMonitor) storeForFamily(table *routing.Table, family uint64, zone string) string {
	status := m.status.Load()
	var usable []string
	for i, store := range table.CacheStores() {
		if status.isAvailable(i) && m.gateway.distances.Relation(zone, store.Zone) != distance.OtherRegion {
			usable = append(usable, store.Address)
		}
	}
	return rendezvous.Owner(usable, family)
}

func (m *cacheStoreMonitor) run() {
	g := m.gateway
	interval := minRetryDelay
	for g.pause(g.jitter(interval)) {
		current := g.activeConfig.Load()
		if current == nil {
			continue
		}
		interval = cacheStoreCheckInterval
		if g.directReads.isEnabled() && !g.paths.reachesNone() {
			m.check(current.table)
		}
	}
}

// check queries all cache stores concurrently and records which of them are available.
func (m *cacheStoreMonitor) check(table *routing.Table) {
	g := m.gateway
	ctx, cancel := context.WithTimeout(g.ctx, cacheStoreCheckTimeout)
	defer cancel()
	var availableBits atomic.Uint64
	var group sync.WaitGroup
	for i, store := range table.CacheStores() {
		group.Go(func() {
			if g.ports.Runners.CacheStoreAvailable(ctx, store.Address) {
				availableBits.Or(1 << i)
			}
		})
	}
	group.Wait()
	if g.ctx.Err() == nil {
		m.setStatus(table, cacheStoreStatus{configVersion: table.Version, availableBits: availableBits.Load()}, "own check")
	}
}

// receiveStatus records the status reported by another router if it belongs to the active
// configuration.
func (m *cacheStoreMonitor) receiveStatus(status cacheStoreStatus, source string) {
	current := m.gateway.activeConfig.Load()
	if current == nil || current.table.Version != status.configVersion || m.gateway.directReads.isEnabled() {
		return
	}
	m.setStatus(current.table, status, source)
}

// setStatus replaces the status and logs what changed.
func (m *cacheStoreMonitor) setStatus(table *routing.Table, status cacheStoreStatus, source string) {
	before := m.status.Swap(&status)
	for i, store := range table.CacheStores() {
		if before.isAvailable(i) != status.isAvailable(i) {
			m.gateway.log.Log(events.CacheStoreAvailabilityChanged, events.Fields{"address": store.Address, "answers": status.isAvailable(i), "source": source})
		}
	}
}
