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

// keptParts stands in for what runners keep, by their ids.
type keptParts struct {
	mutex sync.Mutex
	kept  map[string][]gateway.CachedPart
	// missed are runners whose next changes are not known.
	missed map[string]bool
	lists  map[string]int
	// silent is the runner whose calls are answered by nothing, if any.
	silent string
}

func newKeptParts() *keptParts {
	return &keptParts{kept: map[string][]gateway.CachedPart{}, missed: map[string]bool{}, lists: map[string]int{}}
}

// put changes what the runner keeps; nobody is told of it but by a list.
func (k *keptParts) put(runner string, parts ...gateway.CachedPart) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.kept[runner] = parts
	k.missed[runner] = true
}

func (k *keptParts) listed(runner string) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.lists[runner]
}

func (k *keptParts) ListCache(_ context.Context, _, runner string) ([]gateway.CachedPart, gateway.CachePosition, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lists[runner]++
	delete(k.missed, runner)
	return k.kept[runner], gateway.CachePosition{Epoch: 1}, nil
}

func (k *keptParts) WatchCache(ctx context.Context, _, runner string, after gateway.CachePosition, _ time.Duration) (gateway.CacheChanges, error) {
	if runner == k.silent {
		<-ctx.Done()
		return gateway.CacheChanges{}, ctx.Err()
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if _, known := k.kept[runner]; !known {
		return gateway.CacheChanges{}, errors.New("not reached")
	}
	return gateway.CacheChanges{Position: after, Incomplete: k.missed[runner]}, nil
}

// runCounts returns how many calls each runner has run.
func runCounts(runners []*runnerstand.Runner) map[string]int {
	counts := map[string]int{}
	for _, runner := range runners {
		counts[runner.ID] = len(runner.Runs())
	}
	return counts
}

// sentTo returns the runner that ran the newest call, and where that fetched from.
func sentTo(runners []*runnerstand.Runner, before map[string]int) (string, string) {
	for _, runner := range runners {
		if runs := runner.Runs(); len(runs) > before[runner.ID] {
			return runner.ID, runs[len(runs)-1].Header.Get(platform.HeaderKVFetch)
		}
	}
	return "", ""
}

// Routers that read the store also read what runners keep, and tell the others.
func TestFollowersKnowWhatRunnersKeep(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines"), f.runner("e3", "engines")}
	addresses := []string{loopback.FreeAddress()}
	f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = addresses[0], addresses })
	follower := f.servingRouter("follower", f.followerSettings(addresses))
	call := func(prompt string) (runner, fetched string) {
		before := runCounts(runners)
		got := follower.call("/stream/x", withPrompt(prompt))
		f.g.Expect(got.status).To(Equal(http.StatusOK))
		return sentTo(runners, before)
	}
	for i, holder := range runners {
		prompt := fmt.Sprintf("t%d:40000,f%d:200000,own%d:50", i, i, i)
		kept.put(holder.ID, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: fmt.Sprint("t", i)}, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: fmt.Sprint("f", i)})
		f.g.Eventually(func() string {
			runner, _ := call(prompt)
			return runner
		}, 5*time.Second, 20*time.Millisecond).Should(Equal(holder.ID), "calls go where their parts are kept")
	}
	f.g.Expect(kept.listed("e1")).To(BeNumerically("<=", 3), "everything is read at first and after a gap only")
}

// A runner that does not answer, or has nothing to tell, does not delay what is
// told of the others.
func TestSilentRunnerDoesNotDelayWhatOthersKeep(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	kept.silent = "e2"
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	kept.put("e1")
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return kept.listed("e1") }, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 0))
	begun := time.Now()
	const rounds = 3
	for i := range rounds {
		trunk := fmt.Sprint("t", i)
		kept.put("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: trunk})
		f.g.Eventually(func() string {
			before := runCounts(runners)
			r.call("/stream/x", withPrompt(fmt.Sprintf("%s:200000,f%d-%d:100,own:50", trunk, i, time.Now().UnixNano())))
			runner, _ := sentTo(runners, before)
			return runner
		}, 5*time.Second, 10*time.Millisecond).Should(Equal("e1"))
		// Half of the prompts have e1 as the home of their family and go there anyway.
		f.g.Eventually(func() int { return kept.listed("e1") }, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", i+1))
	}
	f.g.Expect(time.Since(begun)).To(BeNumerically("<", rounds*500*time.Millisecond))
}

// What is known of a runner's parts says nothing about another owner's or older weights'.
func TestPartsOfOtherOwnersAndWeightsAreNotFetched(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	for i, salt := range []string{"shared/1", "tenant/tenant-one/0"} {
		kept.put(runners[i].ID, gateway.CachedPart{Salt: salt, Part: "aa"}, gateway.CachedPart{Salt: salt, Part: "bb"})
	}
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return kept.listed("e1") * kept.listed("e2") }, 3*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
	got := r.call("/stream/x", withPrompt("aa:100,bb:200,cc:50"))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	_, fetched := sentTo(runners, nil)
	f.g.Expect(fetched).To(BeEmpty())
}

// A router that reads the store itself for want of a seed does not read what
// runners keep: with the store's proofs late all routers would do so at once.
func TestRoutersThatAreNoSeedsDoNotReadWhatRunnersKeep(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	kept.put("e1")
	r := f.servingRouter("alone", f.followerSettings([]string{loopback.FreeAddress()}))
	f.g.Expect(r.log.String()).To(ContainSubstring(`"store":true`), "no seed answers")
	f.g.Consistently(func() int { return kept.listed("e1") }, time.Second, 50*time.Millisecond).Should(BeZero())
}

// Seeds change with the settings, without a restart.
func TestRouterReadsWhatRunnersKeepWhileItIsASeed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	kept.put("e1")
	var settings gateway.Settings
	r := f.servingRouter("r1", func(started *gateway.Settings) {
		f.followerSettings([]string{loopback.FreeAddress()})(started)
		settings = *started
	})
	f.g.Consistently(func() int { return kept.listed("e1") }, 500*time.Millisecond, 20*time.Millisecond).Should(BeZero())
	others := settings.Seeds
	settings.Seeds = []string{settings.PeerAddress}
	r.Reload(settings)
	f.g.Eventually(func() int { return kept.listed("e1") }, 3*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0))
	settings.Seeds = others
	r.Reload(settings)
	time.Sleep(500 * time.Millisecond)
	listed := kept.listed("e1")
	kept.put("e1")
	f.g.Consistently(func() int { return kept.listed("e1") }, 500*time.Millisecond, 20*time.Millisecond).Should(Equal(listed))
}

// A router that starts beside a silent seed asks one that answers for its whole
// feed, though a whole feed is asked for seldom.
func TestStartedRouterKnowsWhatRunnersKeepThoughASeedIsSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := newKeptParts()
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	kept.put("e1", gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "trunk"})
	address := loopback.FreeAddress()
	seeds := []string{startSilentPeer(f), address, startSilentPeer(f)}
	seed := f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, seeds })
	f.g.Eventually(func() int { return kept.listed("e1") * kept.listed("e2") }, 3*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
	f.g.Expect(seed.isReady()).To(BeTrue())
	const followers, families = 4, 20
	for i := range followers {
		r := f.servingRouter(fmt.Sprint("follower-", i), f.followerSettings(seeds))
		// Of that many families some have the other runner as their home, which then
		// fetches what it lacks.
		f.g.Eventually(func() bool {
			for family := range families {
				before := runCounts(runners)
				r.call("/stream/x", withPrompt(fmt.Sprintf("trunk:2000,f%d-%d:100,own:50", i, family)))
				if _, fetched := sentTo(runners, before); fetched == runners[0].Address {
					return true
				}
			}
			return false
		}, time.Second, 20*time.Millisecond).Should(BeTrue())
	}
}
