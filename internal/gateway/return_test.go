package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// newLargeDirectory returns a fleet with one live runner, which the first page of a list contains, and
// the entries of many others on further pages.
func newLargeDirectory(t *testing.T, entries int) *fleet {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("a1", "plain")
	for i := range entries {
		f.store.Put(platform.KindRunners, fmt.Sprintf("i-%05d", i), directoryEntry("other", fmt.Sprintf("127.1.%d.%d:1", i/250, i%250), "ready"))
	}
	// Otherwise a watch from the beginning returns all entries.
	f.store.CompactHistory()
	return f
}

// seedSettings returns the settings of the seed at the address.
func seedSettings(address string, seeds []string) func(*gateway.Settings) {
	return func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, seeds }
}

func (r *router) serves() bool { return r.call("/safe/x", nil).status == http.StatusOK }

// Guards against a router that uses no runner before it has read the last page of the directory.
func TestRouterServesBeforeItsDirectoryIsComplete(t *testing.T) {
	t.Parallel()
	f := newLargeDirectory(t, 20)
	r := f.routerWithStoreFault("lone", nil, storestand.Hangs)
	release := r.storeEndpoint.HoldListPages(platform.KindRunners)
	defer release()
	r.storeEndpoint.SetFault(storestand.Healthy)
	f.g.Eventually(r.serves, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Expect(len(r.Status().Runners)).To(BeNumerically("<", 20))
	release()
	f.g.Eventually(func() int { return len(r.Status().Runners) }, 5*time.Second, 10*time.Millisecond).Should(Equal(21))
}

// Guards against a seed that gives others nothing before its own directory is complete, so that all of
// them wait for its last page.
func TestSeedServesOthersBeforeItsDirectoryIsComplete(t *testing.T) {
	t.Parallel()
	f := newLargeDirectory(t, 20)
	seeds := []string{loopback.FreeAddress()}
	seed := f.routerWithStoreFault("seed", seedSettings(seeds[0], seeds), storestand.Hangs)
	release := seed.storeEndpoint.HoldListPages(platform.KindRunners)
	defer release()
	seed.storeEndpoint.SetFault(storestand.Healthy)
	follower := f.routerWithStoreFault("follower", f.followerSettings(seeds), storestand.Hangs)
	f.g.Eventually(follower.serves, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Expect(follower.isReady()).To(BeFalse(), "no runner of the other routed services is known")
	release()
	f.g.Eventually(follower.isReady, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Eventually(func() int { return len(follower.Status().Runners) }, 5*time.Second, 10*time.Millisecond).Should(Equal(21))
}

// attempts is how often a return is tried whose times or calls depend on the load of the machine. A busy machine
// spoils some, a fault of the code all.
const attempts = 3

// meetsBoundsOnce reports whether one of the attempts meets its bounds.
func meetsBoundsOnce(attempt func() bool) bool {
	for range attempts {
		if attempt() {
			return true
		}
	}
	return false
}

// Guards against many routers that start together and each read the whole directory from the store,
// because their seeds start a moment later.
func TestStoreCallsOfRoutersThatStartBeforeTheirSeeds(t *testing.T) {
	const starting, maxCallsPerRouter = 57, 5
	NewWithT(t).Expect(meetsBoundsOnce(func() bool {
		f := newLargeDirectory(t, 2_000)
		f.store.SetListPage(100)
		seeds := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
		var routers []*router
		for i := range starting {
			routers = append(routers, f.router(fmt.Sprintf("r%d", i), f.followerSettings(seeds)))
		}
		for i, address := range seeds {
			routers = append(routers, f.router(fmt.Sprintf("seed-%d", i), seedSettings(address, seeds)))
		}
		calls := 0
		for _, r := range routers {
			f.g.Eventually(func() int { return len(r.Status().Runners) }, 20*time.Second, 20*time.Millisecond).Should(Equal(2_001))
		}
		for _, r := range routers {
			calls += r.storeEndpoint.CallCount()
			r.Kill()
		}
		t.Logf("%d calls of %d routers", calls, len(routers))
		return calls < maxCallsPerRouter*len(routers)
	})).To(BeTrue(), "calls to the store")
}

// Guards against routers that start before their seeds and ask them again late, because they wait longer
// after each try at a port where no process listened yet.
func TestRoutersThatWaitForTheirSeedsAreReadySoonAfterThem(t *testing.T) {
	const waiting, bound = 8, 250 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	f.runner("e1", "engines")
	seeds := []string{loopback.FreeAddress()}
	var followers []*router
	for i := range waiting {
		followers = append(followers, f.routerWithStoreFault(fmt.Sprintf("r%d", i), f.followerSettings(seeds), storestand.Hangs))
	}
	time.Sleep(700 * time.Millisecond) // The tries at the seed's port fail for so long.
	seed := f.router("seed", seedSettings(seeds[0], seeds))
	f.g.Eventually(seed.isReady, 2*time.Second, time.Millisecond).Should(BeTrue())
	readyAt := time.Now()
	var group sync.WaitGroup
	delays := make([]time.Duration, waiting)
	for i, r := range followers {
		group.Go(func() {
			for !r.isReady() && time.Since(readyAt) < 5*time.Second {
				time.Sleep(2 * time.Millisecond)
			}
			delays[i] = time.Since(readyAt)
		})
	}
	group.Wait()
	t.Logf("ready after the seed: %v", delays)
	for _, delay := range delays {
		f.g.Expect(delay).To(BeNumerically("<", bound))
	}
}

// returningFleet is a fleet of routers that are killed and started again together.
type returningFleet struct {
	*fleet
	seeds   []string
	random  *rand.Rand
	routers []*router
	starts  int
}

// start starts all routers within startSpread, and the seeds seedDelay later.
func (f *returningFleet) start(count int, seedDelay time.Duration) {
	const startSpread = 300 * time.Millisecond
	f.starts++
	f.routers = make([]*router, count)
	var group sync.WaitGroup
	for i := range f.routers {
		name, delay, adjust := fmt.Sprintf("r%d-%d", i, f.starts), time.Duration(f.random.Int64N(int64(startSpread))), f.followerSettings(f.seeds)
		if i < len(f.seeds) {
			delay, adjust = delay+seedDelay, seedSettings(f.seeds[i], f.seeds)
		}
		group.Go(func() {
			time.Sleep(delay)
			f.routers[i] = f.router(name, adjust)
		})
	}
	group.Wait()
}

func (f *returningFleet) killAll() {
	for _, r := range f.routers {
		r.Kill()
	}
}

// storeCalls returns the number of calls of all routers to the store.
func (f *returningFleet) storeCalls() (calls int) {
	for _, r := range f.routers {
		calls += r.storeEndpoint.CallCount()
	}
	return calls
}

// Guards against callers that are refused for long after a loss of all routers, also if they are lost again in
// the middle of their return, and if their seeds come last. The aims are a second and fewer than five calls a router to
// the store at 60 routers.
func TestReturnAfterLossOfAllRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts sixty routers")
	}
	const size, runners, bound, maxCallsPerRouter = 60, 2_000, time.Second, 5
	f := &returningFleet{fleet: newLargeDirectory(t, runners), seeds: []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}, random: rand.New(rand.NewPCG(69, 69))}
	f.runner("e1", "engines")
	f.store.SetListPage(100)
	for _, c := range []struct {
		name      string
		again     bool
		seedDelay time.Duration
	}{{name: "all"}, {name: "again in the middle", again: true}, {name: "seeds last", seedDelay: time.Second}} {
		f.g.Expect(meetsBoundsOnce(func() bool {
			defer f.killAll()
			if c.again {
				f.start(size, 0)
				f.killAll()
			}
			f.start(size, c.seedDelay)
			startedAt := time.Now()
			for _, r := range f.routers {
				f.g.Eventually(r.serves, 10*time.Second, 5*time.Millisecond).Should(BeTrue())
			}
			served, calls := time.Since(startedAt), f.storeCalls()
			for _, r := range f.routers {
				f.g.Eventually(func() int { return len(r.Status().Runners) }, 20*time.Second, 20*time.Millisecond).Should(Equal(runners + 2))
			}
			t.Logf("%s: all serve %v after the last start, %d calls to the store by then", c.name, served.Round(time.Millisecond), calls)
			return served < bound && (c.seedDelay > 0 || calls < maxCallsPerRouter*size)
		})).To(BeTrue(), c.name)
	}
}

// Guards against a router without seeds that reads the directory a page at a time and loses one of them.
func TestRouterWithoutSeedsReadsAllPages(t *testing.T) {
	t.Parallel()
	f := newLargeDirectory(t, 20)
	f.runner("z9", "plain")
	f.store.CompactHistory()
	f.store.SetListPage(8)
	r := f.router("lone", f.followerSettings([]string{startSilentPeer(f)}))
	f.g.Eventually(func() int { return len(r.Status().Runners) }, 10*time.Second, 10*time.Millisecond).Should(Equal(22))
}
