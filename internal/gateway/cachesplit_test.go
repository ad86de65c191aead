package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// listEngines adds entries of engines to the directory that only have a cache to read.
func (f *fleet) listEngines(count int) (ids []string) {
	for i := range count {
		id := fmt.Sprintf("c-%03d", i)
		entry := directoryEntry("engines", fmt.Sprintf("127.1.0.%d:1", i), "draining")
		entry["models"] = []map[string]any{{"name": modelName, "version": 1}}
		f.store.Put(platform.KindRunners, id, entry)
		ids = append(ids, id)
	}
	return ids
}

// seeds starts routers that are all seeds.
func (f *fleet) seeds(count int) (routers []*router, addresses []string) {
	return f.startSeeds(count, func() {})
}

// startSeeds starts routers that are all seeds. It calls beforeEach before it starts each of them.
func (f *fleet) startSeeds(count int, beforeEach func()) (routers []*router, addresses []string) {
	for range count {
		addresses = append(addresses, loopback.FreeAddress())
	}
	for i, address := range addresses {
		beforeEach()
		routers = append(routers, f.servingRouter(fmt.Sprintf("seed-%d", i), func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, addresses }))
	}
	return routers, addresses
}

// Guards against readers that each read all runners: three times as many connections to runners, and
// more than a machine has descriptors for.
func TestEachRunnerIsReadByOneReader(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	ids := f.listEngines(60)
	routers, _ := f.seeds(3)
	lists := func() int { return caches.listCounts(ids) }
	f.g.Eventually(lists, 3*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", len(ids)))
	f.g.Consistently(lists, 2500*time.Millisecond, 50*time.Millisecond).Should(Equal(len(ids)), "each runner is listed once")
	routers[1].Kill()
	f.g.Eventually(func() int { return lists() - len(ids) }, 4*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0), "the others read the part of the lost reader")
	time.Sleep(500 * time.Millisecond)
	f.g.Expect(lists()-len(ids)).To(BeNumerically("<", 40), "and only that part")
}

// All readers know what one of them has read, whichever it is.
func TestReadersTellEachOtherWhatTheyRead(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	var runners []*runnerstand.Runner
	for i := range 6 {
		id := fmt.Sprintf("e%d", i)
		runners = append(runners, f.runner(id, "engines"))
		caches.setParts(id, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "t" + id}, gateway.CachedPart{Salt: "tenant/tenant-one/1", Part: "f" + id})
	}
	routers, _ := f.seeds(3)
	for _, r := range routers {
		for _, holder := range runners {
			f.g.Eventually(func() string {
				before := runCounts(runners)
				r.call("/stream/x", withPrompt(fmt.Sprintf("t%s:40000,f%s:200000,own:50", holder.ID, holder.ID)))
				runner, _ := newestRun(runners, before)
				return runner
			}, 5*time.Second, 20*time.Millisecond).Should(Equal(holder.ID), "reader %s, runner %s", r.address, holder.ID)
		}
	}
}

// Guards against cached prompt parts that nobody reads because their reader has lost its links to runners.
func TestPartOfPartitionedReaderIsReadByOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := newFakeCacheReader()
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	ids := f.listEngines(60)
	for i := range 4 {
		f.runner(fmt.Sprint("p", i), "plain")
	}
	routers, _ := f.startSeeds(3, func() { f.links = newRunnerLinks(f) })
	lists := func() int { return caches.listCounts(ids) }
	f.g.Eventually(lists, 3*time.Second, 20*time.Millisecond).Should(BeNumerically(">=", len(ids)))
	routers[1].awaitCut("/unsafe/x")
	f.g.Eventually(func() int { return lists() - len(ids) }, 4*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0))
}
