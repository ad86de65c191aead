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

// crowdedFleet has a seed that answers two routers itself, and followers of one
// zone of which the first can carry all others. The followers start for the first time:
// they wait for the seed for 1 s rather than 0.1 s, so that none reads the store though
// all start at once on a busy machine.
func crowdedFleet(t *testing.T, caches gateway.CacheReader, followers int) (f *fleet, seed *router, others []*router) {
	f = newFleet(t)
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	address := loopback.FreeAddress()
	seed = f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.DirectFollowers = address, []string{address}, 2
	})
	for i := range followers {
		others = append(others, f.router(fmt.Sprint("r", i), func(settings *gateway.Settings) {
			f.asFollower([]string{address})(settings)
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

// sources counts whom the routers learned from last.
func sources(routers []*router) map[string]int {
	counts := map[string]int{}
	for _, r := range routers {
		counts[r.Status().Source]++
	}
	return counts
}

// A seed that many ask refers them to the strongest router of their zone, and the
// store is read by the seed alone.
func TestCrowdedSeedIsRelievedByARelay(t *testing.T) {
	t.Parallel()
	f, seed, others := crowdedFleet(t, nil, 8)
	f.g.Eventually(func() int { return sources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1), "only the relay asks the seed")
	f.g.Expect(others[0].Status().Source).To(Equal(seed.seeds[0]), "the strongest is the relay")
	changed := time.Now()
	f.configure(2, defaultRoutes(), "key-two")
	for _, r := range others {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
		f.g.Expect(r.storeEndpoint.Calls()).To(BeZero())
	}
	f.g.Expect(time.Since(changed)).To(BeNumerically("<", 500*time.Millisecond), "changes are pushed on")
}

// When the relay is gone its followers find the next one within a second, and
// none of them reads the store.
func TestFollowersOfALostRelayFindTheNextOne(t *testing.T) {
	t.Parallel()
	f, seed, others := crowdedFleet(t, nil, 8)
	f.g.Eventually(func() int { return sources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	others[0].Kill()
	f.configure(2, defaultRoutes(), "key-two")
	lost := time.Now()
	for _, r := range others[1:] {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
		f.g.Expect(r.storeEndpoint.Calls()).To(BeZero())
	}
	f.g.Expect(time.Since(lost)).To(BeNumerically("<", time.Second))
}

// With the seed gone the relay reads the store for its followers.
func TestRelayReadsTheStoreForItsFollowersWhenSeedsAreGone(t *testing.T) {
	t.Parallel()
	f, seed, others := crowdedFleet(t, nil, 8)
	f.g.Eventually(func() int { return sources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	seed.Kill()
	f.g.Eventually(func() bool { return others[0].Status().ReadsStore }, 2*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.configure(2, defaultRoutes(), "key-two")
	for _, r := range others {
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 2*time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
	}
	for _, r := range others[1:] {
		f.g.Expect(r.storeEndpoint.Calls()).To(BeZero())
	}
}

// What runners keep reaches the followers of a relay.
func TestRelayGivesOnWhatRunnersKeep(t *testing.T) {
	t.Parallel()
	kept := newFakeCacheReader()
	kept.setParts("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "trunk"})
	f, seed, others := crowdedFleet(t, kept, 6)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	f.g.Eventually(func() int { return sources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	last := others[len(others)-1]
	f.g.Eventually(func() string {
		before := runCounts(runners)
		last.call("/stream/x", withPrompt(fmt.Sprintf("trunk:2000,f%d:100,own:50", time.Now().UnixNano())))
		_, fetched := newestRun(runners, before)
		return fetched
	}, 5*time.Second, 10*time.Millisecond).Should(Equal(runners[0].Address), "a runner that lacks the trunk fetches it")
}

// Routers that start together beside silent seeds read lists that may be old,
// which cost the store little, and one watch proves the configuration.
func TestStartedRouterReadsStaleListsFirst(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	r := f.router("first", f.asFollower([]string{silentPeer(f)}))
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Eventually(r.storeEndpoint.StaleLists, time.Second, 5*time.Millisecond).Should(Equal(4), "one a kind: configuration, runners, weights and quarantines")
	f.g.Expect(r.storeEndpoint.Calls()-r.storeEndpoint.StaleLists()).To(BeNumerically("<=", 5), "one watch a kind, and the next of the configuration")
}

// A store whose history is gone since the stale list is listed in full.
func TestStaleListWithoutHistoryIsReadAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	r := f.routerWithStoreFault("first", f.asFollower([]string{silentPeer(f)}), storestand.Healthy)
	f.store.Forget()
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
}

// While there is no configuration yet the seeds say so, and nobody else reads the
// store to find out.
func TestRoutersWaitWithTheSeedForTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	address := []string{loopback.FreeAddress()}
	f.router("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address[0], address })
	r := f.router("r1", f.asFollower(address))
	time.Sleep(1500 * time.Millisecond)
	f.g.Expect(r.storeEndpoint.Calls()).To(BeZero())
	f.g.Expect(r.isReady()).To(BeFalse())
	f.store.Put(platform.KindServers, "none", map[string]any{"service": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "seq": 0, "models": []any{}})
	f.configure(1, defaultRoutes(), goodKey)
	configured := time.Now()
	f.g.Eventually(r.isReady, time.Second, 5*time.Millisecond).Should(BeTrue())
	f.g.Expect(time.Since(configured)).To(BeNumerically("<", 500*time.Millisecond))
	f.g.Expect(r.storeEndpoint.Calls()).To(BeZero())
}

// A relay that comes back without knowing anything is left for the next one.
func TestFollowersLeaveARelayThatKnowsNothing(t *testing.T) {
	t.Parallel()
	f, seed, others := crowdedFleet(t, nil, 8)
	f.g.Eventually(func() int { return sources(others)[seed.seeds[0]] }, 3*time.Second, 20*time.Millisecond).Should(Equal(1))
	// Until the strongest is the relay of all another one may be of some: the first that
	// asked. Its address is still in use after the strongest is killed.
	f.g.Eventually(func() map[string]int { return sources(others) }, 3*time.Second, 20*time.Millisecond).Should(HaveLen(2))
	f.g.Expect(others[0].Status().Source).To(Equal(seed.seeds[0]))
	relay := others[1].Status().Source
	others[0].Kill()
	f.routerWithStoreFault("again", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = relay, []string{silentPeer(f)}
	}, storestand.Silent)
	onNextRelay := func() bool {
		counts := sources(others[1:])
		return counts[seed.seeds[0]] == 1 && counts[relay] == 0
	}
	f.g.Eventually(onNextRelay, 3*time.Second, 20*time.Millisecond).Should(BeTrue(), "one of them is the next relay")
	f.g.Consistently(onNextRelay, time.Second, 20*time.Millisecond).Should(BeTrue())
}
