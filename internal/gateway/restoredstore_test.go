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

// Times of a store that comes back from a copy.
const (
	// storeAway is how long the store is away meanwhile.
	storeAway = 1200 * time.Millisecond
	// seenTime is within which routers know of the newest revision.
	seenTime = 1200 * time.Millisecond
	// inForceTime is within which a change has to be in force once the store took it.
	inForceTime = 2 * time.Second
	// weightsTime is within which runners have to have named weights.
	weightsTime = 6 * time.Second
	// lostWrites is how many writes the copy lacks.
	lostWrites = 130
	// laterKind holds objects that nobody reads: they only raise the revision.
	laterKind = "later"
)

// restorable is a fleet whose store can come back from a copy.
type restorable struct {
	*fleet
	routers []*router
	engines []*runnerstand.Runner
	plain   *runnerstand.Runner
}

func newRestorable(t *testing.T, routers int, adjust func(*gateway.Settings)) *restorable {
	f := &restorable{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), goodKey, "key-two")
	for i := range 3 {
		f.engines = append(f.engines, f.engine(fmt.Sprintf("e%d", i+1), 1))
	}
	f.plain = f.runner("p1", "plain")
	name(f.fleet, 1)
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

// setDoors changes how the store treats the calls of all routers.
func (f *restorable) setDoors(fault storestand.Fault) {
	for _, r := range f.routers {
		r.storeEndpoint.Set(fault)
	}
}

// restore has the store go away for the time and come back from the copy; between both the
// function may write.
func (f *restorable) restore(kept storestand.Copy, away time.Duration, between func()) {
	f.setDoors(storestand.Reset)
	time.Sleep(away)
	f.store.Restore(kept)
	if between != nil {
		between()
	}
	f.setDoors(storestand.Healthy)
}

// listedTime is within which a router has listed all kinds once it knows of a new era.
const listedTime = 700 * time.Millisecond

// inNewEra waits until all routers have listed what the store has in the new era.
func (f *restorable) inNewEra() {
	f.t.Helper()
	for _, r := range f.routers {
		f.g.Eventually(r.log.String, inForceTime, 5*time.Millisecond).Should(ContainSubstring(`"event":829`))
	}
	time.Sleep(listedTime)
}

// grow raises the store's revision.
func (f *fleet) grow(writes int) {
	for i := range writes {
		f.store.Put(laterKind, "object", i)
	}
}

// writeAgain writes what the runners and the operator had written.
func (f *restorable) writeAgain(weights uint64) {
	name(f.fleet, weights)
	for _, runner := range append(f.engines[:len(f.engines):len(f.engines)], f.plain) {
		f.putEntry(runner, "ready")
	}
}

// haveWeights waits until all engines have the version of the weights.
func (f *restorable) haveWeights(version uint64) {
	f.t.Helper()
	for _, engine := range f.engines {
		f.g.Eventually(engine.Version, weightsTime, 10*time.Millisecond).Should(Equal(version), "weights of %s", engine.ID)
	}
}

// inForce waits until all routers serve the added route, refuse the key that was taken away
// and are ready.
func (f *restorable) inForce(since time.Time, path, lost string) {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Eventually(func() int { return r.call(path, nil).status }, inForceTime, 5*time.Millisecond).Should(Equal(http.StatusOK), "route %s at router %d", path, i+1)
		f.g.Expect(r.call("/safe/x", withKey(lost)).status).To(Equal(http.StatusUnauthorized), "key %s at router %d", lost, i+1)
		f.g.Expect(r.isReady()).To(BeTrue(), "router %d", i+1)
	}
	f.g.Expect(time.Since(since)).To(BeNumerically("<", inForceTime))
}

// serves waits until all routers serve calls with a key.
func (f *restorable) serves() {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, inForceTime, 5*time.Millisecond).Should(Equal(http.StatusOK), "router %d", i+1)
	}
}

func withKey(key string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set("Authorization", "Bearer "+key) }
}

// added is the default routes with one more for each of the names.
func added(names ...string) []map[string]any {
	routes := defaultRoutes()
	for _, name := range names {
		routes = append(routes, route(name, "/"+name+"/", "safe", "plain", nil))
	}
	return routes
}

// Guards against changes that are never in force, and weights that runners never take, since
// the store gave out revisions again that routers had seen before it came back from a copy.
func TestChangesAreInForceAfterTheStoreCameBackFromACopy(t *testing.T) {
	returns := map[string]func(f *restorable, lost uint64){
		"below the known revision": func(f *restorable, lost uint64) { f.writeAgain(2) },
		"at the known revision": func(f *restorable, lost uint64) {
			f.writeAgain(2)
			f.grow(int(lost - f.store.Revision()))
		},
		"past the known revision": func(f *restorable, lost uint64) {
			f.writeAgain(2)
			f.grow(lostWrites + 20)
		},
	}
	for how, back := range returns {
		for _, routers := range []int{1, 3, 6} {
			t.Run(fmt.Sprintf("%s, %d routers", how, routers), func(t *testing.T) {
				t.Parallel()
				f := newRestorable(t, routers, nil)
				kept := f.store.Copy()
				name(f.fleet, 2)
				f.haveWeights(2)
				f.grow(lostWrites)
				time.Sleep(seenTime)
				lost := f.store.Revision()
				f.restore(kept, storeAway, func() { back(f, lost) })
				f.serves()

				changed := time.Now()
				f.configure(2, added("fresh"), goodKey)
				name(f.fleet, 3)
				f.inForce(changed, "/fresh/x", "key-two")
				f.haveWeights(3)
			})
		}
	}
}

// Guards against changes that are passed over for good as they were given revisions that
// routers had seen already, and are older than what the store has when these ask again.
func TestChangesWithRevisionsGivenOutAgainAreInForce(t *testing.T) {
	for _, routers := range []int{1, 3, 6} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			f := newRestorable(t, routers, nil)
			kept := f.store.Copy()
			f.grow(lostWrites)
			time.Sleep(seenTime)
			var changed time.Time
			var joined *runnerstand.Runner
			f.restore(kept, storeAway, func() {
				f.writeAgain(1)
				changed = time.Now()
				f.configure(2, added("fresh"), goodKey)
				name(f.fleet, 2)
				joined = f.runner("p2", "plain")
				f.grow(lostWrites)
			})
			f.inForce(changed, "/fresh/x", "key-two")
			f.haveWeights(2)
			f.plain.Close()
			f.store.Remove(platform.KindServers, f.plain.ID)
			f.serves()
			f.g.Expect(joined.Runs()).NotTo(BeEmpty(), "the runner that joined is known")
		})
	}
}

// Guards against callers that are refused, or served by keys and weights that were replaced,
// from when the store goes away until all that it lost has been written again.
func TestCallersAreServedWhileTheStoreComesBackFromACopy(t *testing.T) {
	t.Parallel()
	f := newRestorable(t, 3, nil)
	kept := f.store.Copy()
	f.configure(2, added("fresh"), goodKey)
	name(f.fleet, 2)
	f.haveWeights(2)
	f.inForce(time.Now(), "/fresh/x", "key-two")
	f.grow(lostWrites)
	time.Sleep(seenTime)

	var served, refused, denied atomic.Int64
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
					refused.Add(1)
				}
				if r.call("/safe/x", withKey("key-two")).status != http.StatusUnauthorized {
					denied.Add(1)
				}
			}
		}()
	}
	f.restore(kept, storeAway, nil)
	time.Sleep(2 * storeAway)
	fresh := f.servingRouter("late", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), f.routers[0].seeds
	})
	f.g.Expect(fresh.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized), "a router that starts now learns the newest configuration of the others")
	f.configure(2, added("fresh"), goodKey)
	f.writeAgain(2)
	time.Sleep(storeAway)
	close(done)
	f.g.Expect(served.Load()).To(BeNumerically(">", 100))
	f.g.Expect(refused.Load()).To(BeZero())
	f.g.Expect(denied.Load()).To(BeZero(), "calls with the key that was taken away")
	for _, engine := range f.engines {
		f.g.Expect(engine.Version()).To(Equal(uint64(2)))
	}
}

// Guards against the second return of a series that is taken for the first one.
func TestChangesAreInForceAfterTwoReturnsInARow(t *testing.T) {
	t.Parallel()
	f := newRestorable(t, 3, nil)
	kept := f.store.Copy()
	f.grow(lostWrites)
	time.Sleep(seenTime)
	for range 2 {
		f.restore(kept, storeAway/4, func() { f.writeAgain(1) })
		time.Sleep(storeAway / 2)
	}
	f.serves()
	changed := time.Now()
	f.configure(2, added("fresh"), goodKey)
	name(f.fleet, 2)
	f.inForce(changed, "/fresh/x", "key-two")
	f.haveWeights(2)
}
