package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// firstIncarnation is the incarnation of a test's runners before they restart.
const firstIncarnation = 1785310070397

func (f *fleet) runnerWithIncarnation(id, service string) *runnerstand.Runner {
	settings := runnerstand.Config{ID: id, Service: service, Incarnation: firstIncarnation}
	if service == "engines" {
		settings.Model, settings.Version, settings.EventCount = modelName, 1, 4
	}
	return f.startRunner(settings)
}

// updatePaths are the paths on which a router learns of a change of the directory. Each
// function starts routers, makes the change and returns the router that must learn of it.
var updatePaths = map[string]func(f *fleet, change func()) *router{
	"watch": func(f *fleet, change func()) *router {
		r := f.servingRouter("r1", nil)
		change()
		return r
	},
	"list": func(f *fleet, change func()) *router {
		r := f.servingRouter("r1", nil)
		r.storeEndpoint.SetFault(storestand.Busy)
		r.waitForLog("store calls fail")
		change()
		f.store.CompactHistory()
		r.storeEndpoint.SetFault(storestand.Healthy)
		return r
	},
	"relay": func(f *fleet, change func()) *router {
		seed := []string{loopback.FreeAddress()}
		f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seed[0], seed })
		follower := f.servingRouter("follower", f.followerSettings(seed))
		change()
		f.t.Cleanup(func() {
			f.g.Expect(follower.storeEndpoint.CallCount()).To(BeZero(), "the follower must learn of the change from the seed alone")
		})
		return follower
	},
}

func forEachUpdatePath(t *testing.T, test func(f *fleet, applyChange func(f *fleet, change func()) *router)) {
	for name, applyChange := range updatePaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			test(f, applyChange)
		})
	}
}

func TestRoutersLearnOfRestartedRunner(t *testing.T) {
	forEachUpdatePath(t, func(f *fleet, applyChange func(f *fleet, change func()) *router) {
		runner := f.runnerWithIncarnation("p1", "plain")
		r := applyChange(f, func() {
			runner.Restart()
			f.putEntry(runner, "ready")
		})
		f.g.Eventually(r.log.String, 6*time.Second, 5*time.Millisecond).Should(And(
			ContainSubstring("runner restarted under its name"), ContainSubstring(fmt.Sprintf(`"incarnation":%d`, firstIncarnation+1))))
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	})
}

// Failures of the previous incarnation must not make routers avoid the restarted runner.
func TestRestartedRunnerIsUsedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	failing, healthy := f.runnerWithIncarnation("p1", "plain"), f.runnerWithIncarnation("p2", "plain")
	r := f.servingRouter("r1", nil)
	failing.SetBehaviour(runnerstand.Fails)
	for range 30 {
		r.call("/safe/x", nil)
	}
	f.g.Expect(len(healthy.Runs())).To(BeNumerically(">", 2*len(failing.Runs())), "the failing runner is avoided")
	failing.SetBehaviour(runnerstand.Normal)
	failing.Restart()
	f.putEntry(failing, "ready")
	r.waitForLog("runner restarted")
	// The weight of failures halves every 3 s. One slow response, whose weight halves every 0.7
	// s, may keep a round of calls away from either runner.
	f.g.Eventually(func() int {
		before := len(failing.Runs())
		for range 30 {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
		return len(failing.Runs()) - before
	}, 1500*time.Millisecond, 100*time.Millisecond).Should(BeNumerically(">=", 8), "the restarted runner gets its share of the calls")
}

// A router that knows of a restart must ignore the previous entry, which it receives from a
// stale replica.
func TestStaleEntryDoesNotUndoRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("p1", "plain")
	r := f.servingRouter("r1", nil)
	listed, found := f.store.Get(platform.KindRunners, "p1")
	f.g.Expect(found).To(BeTrue())
	runner.Restart()
	f.putEntry(runner, "ready")
	r.waitForLog("runner restarted")
	f.putEntry(runner, "draining")
	r.waitForLog("runner changed state")
	r.storeEndpoint.SetReplicaRevision(listed.Metadata.Revision, platform.KindRunners)
	time.Sleep(300 * time.Millisecond)
	f.store.Put(platform.KindRunners, "p9", runner.DirectoryEntry("draining"))
	f.g.Consistently(r.log.String, time.Second, 50*time.Millisecond).ShouldNot(ContainSubstring(fmt.Sprintf(`"incarnation":%d`, firstIncarnation)))
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable), "the runner is still draining")
}

// An order to the previous incarnation never shows in the reports of the next one, whose count of
// orders is lower. The runner must be ordered again without waiting for a late response.
func TestRestartedRunnerIsOrderedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("e1", "engines")
	f.servingRouter("r1", nil)
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
	runner.IgnoreOrders()
	nameWeights(f, 3)
	f.g.Eventually(runner.Orders, 2*time.Second, 5*time.Millisecond).Should(HaveLen(2))
	f.g.Expect(runner.Orders()[1].ExpectedRevision).To(Equal(uint64(1)))
	runner.Restart()
	f.g.Eventually(runner.WeightVersion, 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(3)))
	orders := runner.Orders()
	f.g.Expect(orders[len(orders)-1].ExpectedRevision).To(BeZero(), "the count of orders restarts from zero")
}

// addressRecordingReader is a fakeCacheReader that records the addresses at which caches are
// listed.
type addressRecordingReader struct {
	*fakeCacheReader
	addressMutex sync.Mutex
	addresses    map[string]bool
}

func (m *addressRecordingReader) ListCache(ctx context.Context, address, runner string) ([]gateway.CachedPart, gateway.CachePosition, error) {
	m.addressMutex.Lock()
	m.addresses[address] = true
	m.addressMutex.Unlock()
	return m.fakeCacheReader.ListCache(ctx, address, runner)
}

func (m *addressRecordingReader) wasReadAt(address string) bool {
	m.addressMutex.Lock()
	defer m.addressMutex.Unlock()
	return m.addresses[address]
}

func TestRestartedRunnerIsReadAtItsNewAddress(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	caches := &addressRecordingReader{fakeCacheReader: newFakeCacheReader(), addresses: map[string]bool{}}
	f.cacheReader = caches
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("e1", "engines")
	caches.setParts("e1")
	f.servingRouter("r1", nil)
	f.g.Eventually(func() bool { return caches.wasReadAt(runner.Address) }, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
	runner.Restart()
	entry := runner.DirectoryEntry("ready")
	entry["address"] = "127.0.0.1:1"
	f.store.Put(platform.KindRunners, "e1", entry)
	f.g.Eventually(func() bool { return caches.wasReadAt("127.0.0.1:1") }, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
}

// Anybody may write directory entries. A runner whose entry becomes malformed must no longer be
// used, as its state is unknown. Other runners stay in use.
func TestMalformedEntriesAreNotUsed(t *testing.T) {
	forEachUpdatePath(t, func(f *fleet, applyChange func(f *fleet, change func()) *router) {
		overwritten, untouched := f.runnerWithIncarnation("p1", "plain"), f.runnerWithIncarnation("p2", "plain")
		r := applyChange(f, func() {
			f.store.Put(platform.KindRunners, "a-odd", "\xff\xfe{")
			f.store.Put(platform.KindRunners, "odd-list", []int{7})
			f.store.Put(platform.KindRunners, "odd-null", nil)
			for name, change := range map[string]map[string]any{
				"odd-state": {"state": "resting"}, "odd-service": {"service": 7}, "odd-slots": {"slots": "many"},
				"odd-start": {"born": "1785310070397"}, "p1": {"zone": nil},
			} {
				entry := overwritten.DirectoryEntry("ready")
				for field, value := range change {
					entry[field] = value
				}
				f.store.Put(platform.KindRunners, name, entry)
			}
			unknownServiceEntry := overwritten.DirectoryEntry("ready")
			unknownServiceEntry["service"] = "nobody's"
			f.store.Put(platform.KindRunners, "stranger", unknownServiceEntry)
		})
		f.g.Eventually(r.log.String, 6*time.Second, 5*time.Millisecond).Should(MatchRegexp(`"cause":"entry cannot be read".*"runner":"p1"`))
		f.g.Eventually(r.log.String, time.Second, 5*time.Millisecond).Should(ContainSubstring(`"stranger"`))
		before := overwritten.ArrivalCount()
		for range 20 {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
		f.g.Expect(overwritten.ArrivalCount()).To(Equal(before))
		f.g.Expect(untouched.Runs()).NotTo(BeEmpty())
		// The runner writes its own entry again.
		f.putEntry(overwritten, "ready")
		f.g.Eventually(func() int {
			r.call("/safe/x", nil)
			return overwritten.ArrivalCount()
		}, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", before))
	})
}

// A runner that has reported its incarnation once always does, so an entry without it was
// written by somebody else.
func TestEntryWithoutIncarnationRemovesRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("p1", "plain")
	r := f.servingRouter("r1", nil)
	entry := runner.DirectoryEntry("ready")
	delete(entry, "born")
	f.store.Put(platform.KindRunners, "p1", entry)
	r.waitForLog("entry cannot be read")
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
}

// A runner of a service that is not in the configuration must get no orders.
func TestRunnerOfUnknownServiceIsNotOrdered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("e1", "engines")
	unknownServiceRunner := f.runnerWithIncarnation("e2", "engines")
	entry := unknownServiceRunner.DirectoryEntry("ready")
	entry["service"] = "nobody's"
	f.store.Put(platform.KindRunners, "e2", entry)
	f.servingRouter("r1", nil)
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
	f.g.Consistently(unknownServiceRunner.Orders, 500*time.Millisecond, 20*time.Millisecond).Should(BeEmpty())
}

// Entries without an incarnation, written by somebody else, must not be accepted just because
// they are repeated.
func TestRepeatedEntriesWithoutIncarnationAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runnerWithIncarnation("p1", "plain")
	r := f.servingRouter("r1", nil)
	entry := runner.DirectoryEntry("ready")
	delete(entry, "born")
	f.store.Put(platform.KindRunners, "p1", entry)
	r.waitForLog("entry cannot be read")
	entry["seq"] = 77
	f.store.Put(platform.KindRunners, "p1", entry)
	f.g.Consistently(func() int { return r.call("/safe/x", nil).status }, 500*time.Millisecond, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	f.putEntry(runner, "ready")
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
}
