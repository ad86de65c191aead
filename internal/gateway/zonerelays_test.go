package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// newOverloadedFleet returns a fleet with a seed that serves at most two followers directly, and
// followers in one zone, of which the first has the capacity for all others. The followers run with
// FirstStart, so they wait 1 s for the seed instead of 0.1 s. Thus none of them reads the store
// although all start at once on a busy machine.
func newOverloadedFleet(t *testing.T, caches gateway.CacheReader, followers int) (f *fleet, seed *router, others []*router) {
	f = newFleet(t)
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	address := loopback.FreeAddress()
	seed = f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.DirectFollowers = address, []string{address}, 2
	})
	for i := range followers {
		others = append(others, f.router(fmt.Sprint("r", i), func(settings *gateway.Settings) {
			f.followerSettings([]string{address})(settings)
			settings.FirstStart = true
			settings.CPUShare, settings.LinkMegabits = 0.2, 20
			if i == 0 {
				settings.CPUShare, settings.LinkMegabits = 1, 1000
			}
		}))
	}
	for _, r := range others {
		f.g.Eventually(r.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	}
	return f, seed, others
}

// countSources counts the routers by the source that they last pulled from.
func countSources(routers []*router) map[string]int {
	counts := map[string]int{}
	for _, r := range routers {
		counts[r.Status().Source]++
	}
	return counts
}

// A seed with many followers assigns them to the router of their zone with the highest capacity.
// Only the seed reads the store.
func TestOverloadedSeedAssignsRelay(t *testing.T) {
	t.Parallel()
	f, seed, others := newOverloadedFleet(t, nil, 8)
	f.g.Eventually(func() int { return countSources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1), "only the relay pulls from the seed")
	f.g.Expect(others[0].Status().Source).To(Equal(seed.seeds[0]), "the router with the highest capacity is the relay")
	changedAt := time.Now()
	f.configure(2, defaultRoutes(), "key-two")
	for _, r := range others {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
		f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
	}
	f.g.Expect(time.Since(changedAt)).To(BeNumerically("<", 500*time.Millisecond), "the relay pushes changes")
}

// When the relay is lost, its followers find the next one within a second, and none of them reads
// the store.
func TestFollowersOfLostRelayFindNextOne(t *testing.T) {
	t.Parallel()
	f, seed, others := newOverloadedFleet(t, nil, 8)
	f.g.Eventually(func() int { return countSources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	others[0].Kill()
	f.configure(2, defaultRoutes(), "key-two")
	killedAt := time.Now()
	for _, r := range others[1:] {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
		f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
	}
	f.g.Expect(time.Since(killedAt)).To(BeNumerically("<", time.Second))
}

// When the seed is lost, the relay reads the store for its followers.
func TestRelayReadsStoreWhenSeedsAreDown(t *testing.T) {
	t.Parallel()
	f, seed, others := newOverloadedFleet(t, nil, 8)
	f.g.Eventually(func() int { return countSources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	seed.Kill()
	f.g.Eventually(func() bool { return others[0].Status().ReadsStore }, 2*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.configure(2, defaultRoutes(), "key-two")
	for _, r := range others {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 2*time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
	}
	for _, r := range others[1:] {
		f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
	}
}

// The cache contents of runners reach the followers of a relay.
func TestRelayForwardsCacheContents(t *testing.T) {
	t.Parallel()
	cached := newFakeCacheReader()
	cached.setParts("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "trunk"})
	f, seed, others := newOverloadedFleet(t, cached, 6)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	f.g.Eventually(func() int { return countSources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	last := others[len(others)-1]
	f.g.Eventually(func() string {
		before := runCounts(runners)
		last.call("/stream/x", withPrompt(fmt.Sprintf("trunk:2000,f%d:100,own:50", time.Now().UnixNano())))
		_, fetched := newestRun(runners, before)
		return fetched
	}, 5*time.Second, 10*time.Millisecond).Should(Equal(runners[0].Address), "a runner that lacks the shared part fetches it")
}

// Routers that start at the same time while the seeds are silent read stale lists, which cost the
// store little. One watch then proves the configuration.
func TestStartedRouterReadsStaleListsFirst(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.router("first", f.followerSettings([]string{startSilentPeer(f)}))
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Eventually(r.storeEndpoint.StaleListCount, time.Second, 5*time.Millisecond).Should(Equal(4), "one per kind: configuration, runners, weights and quarantines")
	f.g.Expect(r.storeEndpoint.CallCount()-r.storeEndpoint.StaleListCount()).To(BeNumerically("<=", 5), "one watch per kind, and the next one of the configuration")
}

// If the history after a stale list is gone, the store is listed again in full.
func TestListIsRepeatedWhenHistoryIsGone(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.routerWithStoreFault("first", f.followerSettings([]string{startSilentPeer(f)}), storestand.Healthy)
	f.store.CompactHistory()
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
}

// While there is no configuration, the seed reports that, and no other router reads the store to
// find out.
func TestRoutersWaitForFirstConfigurationThroughSeed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	address := []string{loopback.FreeAddress()}
	f.router("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address[0], address })
	r := f.router("r1", f.followerSettings(address))
	time.Sleep(1500 * time.Millisecond)
	f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
	f.g.Expect(r.isReady()).To(BeFalse())
	f.store.Put(platform.KindRunners, "none", map[string]any{"service": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "seq": 0, "models": []any{}})
	f.configure(1, defaultRoutes(), validKey)
	configuredAt := time.Now()
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Expect(time.Since(configuredAt)).To(BeNumerically("<", 500*time.Millisecond))
	f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
}

// Followers leave a relay that restarts without a configuration and use the next one.
func TestFollowersLeaveRelayWithoutConfiguration(t *testing.T) {
	t.Parallel()
	f, seed, others := newOverloadedFleet(t, nil, 8)
	f.g.Eventually(func() int { return countSources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	// Until the router with the highest capacity is the relay of all others, another one may be the
	// relay of some: the first that pulled. Its address remains in use after the router with the
	// highest capacity is killed.
	f.g.Eventually(func() map[string]int { return countSources(others) }, 3*time.Second, 20*time.Millisecond).Should(HaveLen(2))
	f.g.Expect(others[0].Status().Source).To(Equal(seed.seeds[0]))
	relay := others[1].Status().Source
	others[0].Kill()
	f.routerWithStoreFault("again", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = relay, []string{startSilentPeer(f)}
	}, storestand.Hangs)
	onNextRelay := func() bool {
		counts := countSources(others[1:])
		return counts[seed.seeds[0]] == 1 && counts[relay] == 0
	}
	f.g.Eventually(onNextRelay, 3*time.Second, 20*time.Millisecond).Should(BeTrue(), "one of the followers is the next relay")
	f.g.Consistently(onNextRelay, time.Second, 20*time.Millisecond).Should(BeTrue())
}
