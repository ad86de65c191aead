package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Parameters of a store restore.
const (
	// storeDowntime is how long the store is down during a restore.
	storeDowntime = 1200 * time.Millisecond
	// revisionPropagationTime is the time within which routers know the newest revision.
	revisionPropagationTime = 1200 * time.Millisecond
	// applyTimeout is the time within which a change accepted by the store must take effect.
	applyTimeout = 2 * time.Second
	// weightUpdateTimeout is the time within which runners must have newly named weights.
	weightUpdateTimeout = 6 * time.Second
	// lostWrites is the number of writes that the backup lacks.
	lostWrites = 130
	// unrelatedKind is a kind of objects that no router reads. They only increase the revision.
	unrelatedKind = "later"
)

// restorableFleet is a fleet whose store can be restored from a backup.
type restorableFleet struct {
	*fleet
	routers []*router
	engines []*runnerstand.Runner
	plain   *runnerstand.Runner
}

func newRestorableFleet(t *testing.T, routers int, adjust func(*gateway.Settings)) *restorableFleet {
	f := &restorableFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), validKey, "key-two")
	for i := range 3 {
		f.engines = append(f.engines, f.engine(fmt.Sprintf("e%d", i+1), 1))
	}
	f.plain = f.runner("p1", "plain")
	nameWeights(f.fleet, 1)
	seeds := []string{loopback.FreeAddress()}
	for i := range routers {
		f.routers = append(f.routers, f.servingRouter(fmt.Sprintf("r%d", i+1), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), seeds
			if i == 0 {
				settings.PeerAddress = seeds[0]
			}
			if adjust != nil {
				adjust(settings)
			}
		}))
	}
	return f
}

// setStoreFault sets the fault that the store shows to all routers.
func (f *restorableFleet) setStoreFault(fault storestand.Fault) {
	for _, r := range f.routers {
		r.storeEndpoint.SetFault(fault)
	}
}

// restore takes the store down for the downtime and restores it from the backup. It calls
// afterRestore, if not nil, before the store is available again.
func (f *restorableFleet) restore(backup storestand.Backup, downtime time.Duration, afterRestore func()) {
	f.setStoreFault(storestand.Reset)
	time.Sleep(downtime)
	f.store.Restore(backup)
	if afterRestore != nil {
		afterRestore()
	}
	f.setStoreFault(storestand.Healthy)
}

// listingTime is the time within which a router that knows of a new era has listed all kinds.
const listingTime = 700 * time.Millisecond

// awaitNewEra waits until all routers have listed the objects of the new era.
func (f *restorableFleet) awaitNewEra() {
	f.t.Helper()
	for _, r := range f.routers {
		f.g.Eventually(r.log.String, applyTimeout, 5*time.Millisecond).Should(ContainSubstring(`"event":829`))
	}
	time.Sleep(listingTime)
}

// writeUnrelated increases the store's revision by the number of writes.
func (f *fleet) writeUnrelated(writes int) {
	for i := range writes {
		f.store.Put(unrelatedKind, "object", i)
	}
}

// rewriteEntries writes again what the runners and the operator had written.
func (f *restorableFleet) rewriteEntries(weights uint64) {
	nameWeights(f.fleet, weights)
	for _, runner := range append(f.engines[:len(f.engines):len(f.engines)], f.plain) {
		f.putEntry(runner, "ready")
	}
}

// awaitWeights waits until all engines have the version of the weights.
func (f *restorableFleet) awaitWeights(version uint64) {
	f.t.Helper()
	for _, engine := range f.engines {
		f.g.Eventually(engine.WeightVersion, weightUpdateTimeout, 10*time.Millisecond).Should(Equal(version), "weights of %s", engine.ID)
	}
}

// awaitConfiguration waits until all routers are ready, serve the added route and reject the
// removed key.
func (f *restorableFleet) awaitConfiguration(since time.Time, path, removedKey string) {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Eventually(func() int { return r.call(path, nil).status }, applyTimeout, 5*time.Millisecond).Should(Equal(http.StatusOK), "route %s at router %d", path, i+1)
		f.g.Expect(r.call("/safe/x", withKey(removedKey)).status).To(Equal(http.StatusUnauthorized), "key %s at router %d", removedKey, i+1)
		f.g.Expect(r.isReady()).To(BeTrue(), "router %d", i+1)
	}
	f.g.Expect(time.Since(since)).To(BeNumerically("<", applyTimeout))
}

// awaitServing waits until all routers serve calls with a key.
func (f *restorableFleet) awaitServing() {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, applyTimeout, 5*time.Millisecond).Should(Equal(http.StatusOK), "router %d", i+1)
	}
}

func withKey(key string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set("Authorization", "Bearer "+key) }
}

// routesWith returns the default routes and one more for each of the names.
func routesWith(names ...string) []map[string]any {
	routes := defaultRoutes()
	for _, name := range names {
		routes = append(routes, route(name, "/"+name+"/", "safe", "plain", nil))
	}
	return routes
}

// Guards against changes that never take effect, and weights that runners never load, because the
// restored store assigned revisions again that routers had seen before.
func TestChangesTakeEffectAfterRestore(t *testing.T) {
	afterRestores := map[string]func(f *restorableFleet, lostRevision uint64){
		"below the known revision": func(f *restorableFleet, lostRevision uint64) { f.rewriteEntries(2) },
		"at the known revision": func(f *restorableFleet, lostRevision uint64) {
			f.rewriteEntries(2)
			f.writeUnrelated(int(lostRevision - f.store.Revision()))
		},
		"above the known revision": func(f *restorableFleet, lostRevision uint64) {
			f.rewriteEntries(2)
			f.writeUnrelated(lostWrites + 20)
		},
	}
	for name, afterRestore := range afterRestores {
		for _, routers := range []int{1, 3, 6} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				t.Parallel()
				f := newRestorableFleet(t, routers, nil)
				backup := f.store.Backup()
				nameWeights(f.fleet, 2)
				f.awaitWeights(2)
				f.writeUnrelated(lostWrites)
				time.Sleep(revisionPropagationTime)
				lostRevision := f.store.Revision()
				f.restore(backup, storeDowntime, func() { afterRestore(f, lostRevision) })
				f.awaitServing()

				changedAt := time.Now()
				f.configure(2, routesWith("fresh"), validKey)
				nameWeights(f.fleet, 3)
				f.awaitConfiguration(changedAt, "/fresh/x", "key-two")
				f.awaitWeights(3)
			})
		}
	}
}

// Guards against changes that are ignored forever because they received revisions that routers had
// already seen, and because the store is past these revisions when the routers read it again.
func TestChangesWithReusedRevisionsTakeEffect(t *testing.T) {
	for _, routers := range []int{1, 3, 6} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			f := newRestorableFleet(t, routers, nil)
			backup := f.store.Backup()
			f.writeUnrelated(lostWrites)
			time.Sleep(revisionPropagationTime)
			var changedAt time.Time
			var joined *runnerstand.Runner
			f.restore(backup, storeDowntime, func() {
				f.rewriteEntries(1)
				changedAt = time.Now()
				f.configure(2, routesWith("fresh"), validKey)
				nameWeights(f.fleet, 2)
				joined = f.runner("p2", "plain")
				f.writeUnrelated(lostWrites)
			})
			f.awaitConfiguration(changedAt, "/fresh/x", "key-two")
			f.awaitWeights(2)
			f.plain.Close()
			f.store.Delete(platform.KindRunners, f.plain.ID)
			f.awaitServing()
			f.g.Expect(joined.Runs()).NotTo(BeEmpty(), "the added runner gets requests")
		})
	}
}

// Guards against callers that are rejected, or served under replaced keys and weights, from the
// loss of the store until everything that it lost has been rewritten.
func TestCallersAreServedDuringStoreRestore(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 3, nil)
	backup := f.store.Backup()
	f.configure(2, routesWith("fresh"), validKey)
	nameWeights(f.fleet, 2)
	f.awaitWeights(2)
	f.awaitConfiguration(time.Now(), "/fresh/x", "key-two")
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)

	var served, rejected, acceptedRemovedKey atomic.Int64
	done := make(chan struct{})
	for _, r := range f.routers {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if r.call("/fresh/x", nil).status == http.StatusOK {
					served.Add(1)
				} else {
					rejected.Add(1)
				}
				if r.call("/safe/x", withKey("key-two")).status != http.StatusUnauthorized {
					acceptedRemovedKey.Add(1)
				}
			}
		}()
	}
	f.restore(backup, storeDowntime, nil)
	time.Sleep(2 * storeDowntime)
	started := f.servingRouter("late", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), f.routers[0].seeds
	})
	f.g.Expect(started.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized), "a router that starts now receives the newest configuration from the others")
	f.configure(2, routesWith("fresh"), validKey)
	f.rewriteEntries(2)
	time.Sleep(storeDowntime)
	close(done)
	f.g.Expect(served.Load()).To(BeNumerically(">", 100))
	f.g.Expect(rejected.Load()).To(BeZero())
	f.g.Expect(acceptedRemovedKey.Load()).To(BeZero(), "calls accepted with the removed key")
	for _, engine := range f.engines {
		f.g.Expect(engine.WeightVersion()).To(Equal(uint64(2)))
	}
}

// Guards against a second restore that is mistaken for the first one.
func TestChangesTakeEffectAfterTwoRestores(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 3, nil)
	backup := f.store.Backup()
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)
	for range 2 {
		f.restore(backup, storeDowntime/4, func() { f.rewriteEntries(1) })
		time.Sleep(storeDowntime / 2)
	}
	f.awaitServing()
	changedAt := time.Now()
	f.configure(2, routesWith("fresh"), validKey)
	nameWeights(f.fleet, 2)
	f.awaitConfiguration(changedAt, "/fresh/x", "key-two")
	f.awaitWeights(2)
}
