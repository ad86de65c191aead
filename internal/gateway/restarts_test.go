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

// firstIncarnation is that of a test's runners before they start again.
const firstIncarnation = 1785310070397

func (f *fleet) startedRunner(id, service string) *runnerstand.Runner {
	settings := runnerstand.Config{ID: id, Service: service, Incarnation: firstIncarnation}
	if service == "engines" {
		settings.Model, settings.Version, settings.EventCount = modelName, 1, 4
	}
	return f.startRunner(settings)
}

// newsWays are the ways on which a router hears of a change of the directory: each starts
// routers, makes the change and returns the router that has to know of it.
var newsWays = map[string]func(f *fleet, change func()) *router{
	"watch": func(f *fleet, change func()) *router {
		r := f.servingRouter("r1", nil)
		change()
		return r
	},
	"list": func(f *fleet, change func()) *router {
		r := f.servingRouter("r1", nil)
		r.door.SetFault(storestand.Busy)
		r.logs("store does not answer well")
		change()
		f.store.CompactHistory()
		r.door.SetFault(storestand.Healthy)
		return r
	},
	"relay": func(f *fleet, change func()) *router {
		seed := []string{loopback.FreeAddress()}
		f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seed[0], seed })
		follower := f.servingRouter("follower", f.followerSettings(seed))
		change()
		f.t.Cleanup(func() { f.g.Expect(follower.door.CallCount()).To(BeZero(), "it knows from the seed alone") })
		return follower
	},
}

func overAllWays(t *testing.T, test func(f *fleet, way func(f *fleet, change func()) *router)) {
	for name, way := range newsWays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), goodKey)
			test(f, way)
		})
	}
}

func TestRoutersHearOfARunnerThatStartsAgainUnderItsID(t *testing.T) {
	overAllWays(t, func(f *fleet, way func(f *fleet, change func()) *router) {
		runner := f.startedRunner("p1", "plain")
		r := way(f, func() {
			runner.Restart()
			f.list(runner, "ready")
		})
		f.g.Eventually(r.log.String, 6*time.Second, 5*time.Millisecond).Should(And(
			ContainSubstring("runner started again under its name"), ContainSubstring(fmt.Sprintf(`"incarnation":%d`, firstIncarnation+1))))
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	})
}

// What was failing with the last start is no reason to avoid the next.
func TestRestartedRunnerIsUsedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	bad, good := f.startedRunner("p1", "plain"), f.startedRunner("p2", "plain")
	r := f.servingRouter("r1", nil)
	bad.SetBehaviour(runnerstand.Fails)
	for range 30 {
		r.call("/safe/x", nil)
	}
	f.g.Expect(len(good.Runs())).To(BeNumerically(">", 2*len(bad.Runs())), "it is avoided")
	bad.SetBehaviour(runnerstand.Normal)
	bad.Restart()
	f.list(bad, "ready")
	r.logs("runner started again")
	// Failures fade by half in 3 s. One slow answer, which fades by half in 0.7 s, may keep
	// a round of calls from either runner.
	f.g.Eventually(func() int {
		before := len(bad.Runs())
		for range 30 {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
		return len(bad.Runs()) - before
	}, 1500*time.Millisecond, 100*time.Millisecond).Should(BeNumerically(">=", 8), "it is one of two")
}

// A router that knows of the restart is told of the entry before by a replica that is behind.
func TestOlderEntryDoesNotUndoARestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("p1", "plain")
	r := f.servingRouter("r1", nil)
	listed, found := f.store.Get(platform.KindRunners, "p1")
	f.g.Expect(found).To(BeTrue())
	runner.Restart()
	f.list(runner, "ready")
	r.logs("runner started again")
	f.list(runner, "draining")
	r.logs("runner changed state")
	r.door.SetReplicaRevision(listed.Metadata.Revision, platform.KindRunners)
	time.Sleep(300 * time.Millisecond)
	f.store.Put(platform.KindRunners, "p9", runner.DirectoryEntry("draining"))
	f.g.Consistently(r.log.String, time.Second, 50*time.Millisecond).ShouldNot(ContainSubstring(fmt.Sprintf(`"incarnation":%d`, firstIncarnation)))
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable), "it still leaves")
}

// An order to the last start never shows in the reports of the next, whose count of orders
// is lower: it is ordered again without the wait for an answer that is late.
func TestOrderIsGivenAgainToARestartedRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("e1", "engines")
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
	f.g.Expect(orders[len(orders)-1].ExpectedRevision).To(BeZero(), "its count starts anew")
}

// movedParts stands in for what runners keep, by the addresses that they are read at.
type movedParts struct {
	*keptParts
	reading   sync.Mutex
	addresses map[string]bool
}

func (m *movedParts) ListCache(ctx context.Context, address, runner string) ([]gateway.CachedPart, gateway.CachePosition, error) {
	m.reading.Lock()
	m.addresses[address] = true
	m.reading.Unlock()
	return m.keptParts.ListCache(ctx, address, runner)
}

func (m *movedParts) readAt(address string) bool {
	m.reading.Lock()
	defer m.reading.Unlock()
	return m.addresses[address]
}

func TestKeptPartsOfARestartedRunnerAreReadAnewWhereItIs(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	kept := &movedParts{keptParts: newKeptParts(), addresses: map[string]bool{}}
	f.caches = kept
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("e1", "engines")
	kept.put("e1")
	f.servingRouter("r1", nil)
	f.g.Eventually(func() bool { return kept.readAt(runner.Address) }, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
	runner.Restart()
	entry := runner.DirectoryEntry("ready")
	entry["address"] = "127.0.0.1:1"
	f.store.Put(platform.KindRunners, "e1", entry)
	f.g.Eventually(func() bool { return kept.readAt("127.0.0.1:1") }, 3*time.Second, 5*time.Millisecond).Should(BeTrue())
}

// Entries that anybody may write. The runner that is known by the name is no longer used,
// as nobody knows what it is now; the others are.
func TestEntryOfAnotherWriterNamesNoRunner(t *testing.T) {
	overAllWays(t, func(f *fleet, way func(f *fleet, change func()) *router) {
		known, sound := f.startedRunner("p1", "plain"), f.startedRunner("p2", "plain")
		r := way(f, func() {
			f.store.Put(platform.KindRunners, "a-odd", "\xff\xfe{")
			f.store.Put(platform.KindRunners, "odd-list", []int{7})
			f.store.Put(platform.KindRunners, "odd-null", nil)
			for name, change := range map[string]map[string]any{
				"odd-state": {"state": "resting"}, "odd-service": {"service": 7}, "odd-slots": {"slots": "many"},
				"odd-start": {"born": "1785310070397"}, "p1": {"zone": nil},
			} {
				entry := known.DirectoryEntry("ready")
				for field, value := range change {
					entry[field] = value
				}
				f.store.Put(platform.KindRunners, name, entry)
			}
			stranger := known.DirectoryEntry("ready")
			stranger["service"] = "nobody's"
			f.store.Put(platform.KindRunners, "stranger", stranger)
		})
		f.g.Eventually(r.log.String, 6*time.Second, 5*time.Millisecond).Should(MatchRegexp(`"cause":"entry cannot be read".*"runner":"p1"`))
		f.g.Eventually(r.log.String, time.Second, 5*time.Millisecond).Should(ContainSubstring(`"stranger"`))
		before := known.ArrivalCount()
		for range 20 {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
		f.g.Expect(known.ArrivalCount()).To(Equal(before))
		f.g.Expect(sound.Runs()).NotTo(BeEmpty())
		// The runner's own entry comes again.
		f.list(known, "ready")
		f.g.Eventually(func() int {
			r.call("/safe/x", nil)
			return known.ArrivalCount()
		}, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", before))
	})
}

// A runner that told its incarnation always does.
func TestEntryThatNoLongerNamesTheIncarnationIsNotTheRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("p1", "plain")
	r := f.servingRouter("r1", nil)
	entry := runner.DirectoryEntry("ready")
	delete(entry, "born")
	f.store.Put(platform.KindRunners, "p1", entry)
	r.logs("entry cannot be read")
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
}

// A runner of a service that the configuration does not have takes no orders.
func TestRunnerOfAnUnknownServiceIsNotOrdered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("e1", "engines")
	stranger := f.startedRunner("e2", "engines")
	entry := stranger.DirectoryEntry("ready")
	entry["service"] = "nobody's"
	f.store.Put(platform.KindRunners, "e2", entry)
	f.servingRouter("r1", nil)
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
	f.g.Consistently(stranger.Orders, 500*time.Millisecond, 20*time.Millisecond).Should(BeEmpty())
}

// Entries of another writer that name no incarnation do not become the runner's own by coming
// again.
func TestEntriesWithoutIncarnationNameNoRunnerThatToldOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.startedRunner("p1", "plain")
	r := f.servingRouter("r1", nil)
	entry := runner.DirectoryEntry("ready")
	delete(entry, "born")
	f.store.Put(platform.KindRunners, "p1", entry)
	r.logs("entry cannot be read")
	entry["seq"] = 77
	f.store.Put(platform.KindRunners, "p1", entry)
	f.g.Consistently(func() int { return r.call("/safe/x", nil).status }, 500*time.Millisecond, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	f.list(runner, "ready")
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
}
