package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// fakeCacheReader is a CacheReader whose contents are set by tests, by runner ID.
type fakeCacheReader struct {
	mutex       sync.Mutex
	cachedParts map[string][]gateway.CachedPart
	// incomplete holds the runners whose next changes are reported as incomplete.
	incomplete map[string]bool
	listCalls  map[string]int
	// silentRunner is the ID of a runner whose calls for changes are never answered, if not
	// empty.
	silentRunner string
}

func newFakeCacheReader() *fakeCacheReader {
	return &fakeCacheReader{cachedParts: map[string][]gateway.CachedPart{}, incomplete: map[string]bool{}, listCalls: map[string]int{}}
}

// setParts sets the parts that the runner holds. Readers see the change only in the next list.
func (k *fakeCacheReader) setParts(runner string, parts ...gateway.CachedPart) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.cachedParts[runner] = parts
	k.incomplete[runner] = true
}

func (k *fakeCacheReader) listCount(runner string) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.listCalls[runner]
}

// listCounts returns how often the caches of the runners were listed altogether.
func (k *fakeCacheReader) listCounts(runners []string) (total int) {
	for _, runner := range runners {
		total += k.listCount(runner)
	}
	return total
}

func (k *fakeCacheReader) ListCache(_ context.Context, _, runner string) ([]gateway.CachedPart, gateway.CachePosition, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.listCalls[runner]++
	delete(k.incomplete, runner)
	return k.cachedParts[runner], gateway.CachePosition{Epoch: 1}, nil
}

func (k *fakeCacheReader) WatchCache(ctx context.Context, _, runner string, after gateway.CachePosition, _ time.Duration) (gateway.CacheChanges, error) {
	if runner == k.silentRunner {
		<-ctx.Done()
		return gateway.CacheChanges{}, ctx.Err()
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, known := k.cachedParts[runner]; !known {
		return gateway.CacheChanges{}, errors.New("not reached")
	}
	return gateway.CacheChanges{Position: after, Incomplete: k.incomplete[runner]}, nil
}

// runCounts returns the number of requests that each runner has run.
func runCounts(runners []*runnerstand.Runner) map[string]int {
	counts := map[string]int{}
	for _, runner := range runners {
		counts[runner.ID] = len(runner.Runs())
	}
	return counts
}

// newestRun returns the ID of the runner that has run a request since the counts were taken,
// and the address from which it fetched cached parts.
func newestRun(runners []*runnerstand.Runner, before map[string]int) (string, string) {
	for _, runner := range runners {
		if runs := runner.Runs(); len(runs) > before[runner.ID] {
			return runner.ID, runs[len(runs)-1].Header.Get(platform.HeaderKVFetch)
		}
	}
	return "", ""
}

// Routers that read the store also read the runners' caches, and pass the contents on to
// followers.
func TestFollowersLearnCachedParts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines"), f.runner("e3", "engines")}
	addresses := []string{loopback.FreeAddress()}
	f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = addresses[0], addresses })
	follower := f.servingRouter("follower", f.followerSettings(addresses))
	call := func(prompt string) (runner, fetchedFrom string) {
		before := runCounts(runners)
		got := follower.call("/stream/x", withPrompt(prompt))
		f.g.Expect(got.status).To(Equal(http.StatusOK))
		return newestRun(runners, before)
	}
	for i, holder := range runners {
		prompt := fmt.Sprintf("t%d:40000,f%d:200000,own%d:50", i, i, i)
		caches.setParts(holder.ID, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: fmt.Sprint("t", i)}, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: fmt.Sprint("f", i)})
		f.g.Eventually(func() string {
			runner, _ := call(prompt)
			return runner
		}, 5*time.Second, 20*time.Millisecond).Should(Equal(holder.ID), "calls go to the runner that has their parts cached")
	}
	f.g.Expect(caches.listCount("e1")).To(BeNumerically("<=", 3), "caches are listed only at the start and after a gap")
}

// A runner that does not answer, or has no changes, must not delay cache reads of other
// runners.
func TestSilentRunnerDoesNotDelayOtherCacheReads(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	caches.silentRunner = "e2"
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	caches.setParts("e1")
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return caches.listCount("e1") }, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
	startedAt := time.Now()
	const rounds = 3
	for i := range rounds {
		sharedPart := fmt.Sprint("t", i)
		caches.setParts("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: sharedPart})
		f.g.Eventually(func() string {
			before := runCounts(runners)
			r.call("/stream/x", withPrompt(fmt.Sprintf("%s:200000,f%d-%d:100,own:50", sharedPart, i, time.Now().UnixNano())))
			runner, _ := newestRun(runners, before)
			return runner
		}, 5*time.Second, 10*time.Millisecond).Should(Equal("e1"))
		// Half of the prompts have e1 as the home of their family and go there in any case.
		f.g.Eventually(func() int { return caches.listCount("e1") }, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", i+1))
	}
	f.g.Expect(time.Since(startedAt)).To(BeNumerically("<", rounds*500*time.Millisecond))
}

// Parts cached for another owner or another weight version must not be fetched.
func TestPartsOfOtherOwnersAndWeightsAreNotFetched(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	for i, salt := range []string{"shared/1", "tenant/tenant-one/0"} {
		caches.setParts(runners[i].ID, gateway.CachedPart{Salt: salt, Part: "aa"}, gateway.CachedPart{Salt: salt, Part: "bb"})
	}
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return caches.listCount("e1") * caches.listCount("e2") }, 3*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
	got := r.call("/stream/x", withPrompt("aa:100,bb:200,cc:50"))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	_, fetchedFrom := newestRun(runners, nil)
	f.g.Expect(fetchedFrom).To(BeEmpty())
}

// A router that reads the store itself because no seed is available must not read the runners'
// caches: when the store's proofs are late, all routers would read them at once.
func TestNonSeedRoutersDoNotReadCaches(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	caches.setParts("e1")
	r := f.servingRouter("alone", f.followerSettings([]string{loopback.FreeAddress()}))
	f.g.Expect(r.log.String()).To(ContainSubstring(`"store":true`), "no seed answers")
	f.g.Consistently(func() int { return caches.listCount("e1") }, time.Second, 50*time.Millisecond).Should(BeZero())
}

// A reload of the settings changes whether a router is a seed, without a restart.
func TestRouterReadsCachesOnlyWhileSeed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	caches.setParts("e1")
	var settings gateway.Settings
	r := f.servingRouter("r1", func(started *gateway.Settings) {
		f.followerSettings([]string{loopback.FreeAddress()})(started)
		settings = *started
	})
	f.g.Consistently(func() int { return caches.listCount("e1") }, 500*time.Millisecond, 20*time.Millisecond).Should(BeZero())
	others := settings.Seeds
	settings.Seeds = []string{settings.PeerAddress}
	r.Reload(settings)
	f.g.Eventually(func() int { return caches.listCount("e1") }, 3*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0))
	settings.Seeds = others
	r.Reload(settings)
	time.Sleep(500 * time.Millisecond)
	listed := caches.listCount("e1")
	caches.setParts("e1")
	f.g.Consistently(func() int { return caches.listCount("e1") }, 500*time.Millisecond, 20*time.Millisecond).Should(Equal(listed))
}

// A router that starts while some seeds are silent must obtain the snapshot of the cache feed
// from one that answers, although it requests snapshots only rarely.
func TestNewRouterLearnsCachedPartsDespiteSilentSeeds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	caches.setParts("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "trunk"})
	address := loopback.FreeAddress()
	seeds := []string{startSilentPeer(f), address, startSilentPeer(f)}
	seed := f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, seeds })
	f.g.Eventually(func() int { return caches.listCount("e1") * caches.listCount("e2") }, 3*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
	f.g.Expect(seed.isReady()).To(BeTrue())
	const followers, families = 4, 20
	for i := range followers {
		r := f.servingRouter(fmt.Sprint("follower-", i), f.followerSettings(seeds))
		// With this many families, some have the other runner as their home, which then fetches
		// the parts that it lacks.
		f.g.Eventually(func() bool {
			for family := range families {
				before := runCounts(runners)
				r.call("/stream/x", withPrompt(fmt.Sprintf("trunk:2000,f%d-%d:100,own:50", i, family)))
				if _, fetchedFrom := newestRun(runners, before); fetchedFrom == runners[0].Address {
					return true
				}
			}
			return false
		}, time.Second, 20*time.Millisecond).Should(BeTrue())
	}
}
