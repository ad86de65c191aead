package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Runners that had said in their answers that they leave went on to get requests: 11 s later
// from a router that had passed such an answer on. Their entries in the directory said so
// later, as the store was away, and routers went by the directory alone: the list that they took
// with the store's return knew nothing of the leaving yet. The tests show it with a store that is
// there, too, so that a list read anew is only one of the ways back.

// drainTime is how long after a router has passed on an answer that says so a runner that
// leaves may still get requests from it.
const drainTime = 2 * time.Second

// leaves has the runners say in all their answers that they leave, and returns from when on.
func leaves(runners ...*runnerstand.Runner) (announced time.Time) {
	announce(runners, platform.HeaderLeaving, "1")
	return time.Now()
}

// arrivedAfterDrain counts the requests that reached the runner later than drainTime after the
// first one to whose answer it added that it leaves: no router can know of it before.
func arrivedAfterDrain(runner *runnerstand.Runner, announced time.Time) int {
	for _, arrival := range runner.ArrivalLog() {
		if arrival.At.After(announced) {
			return arrivedAfter(runner, arrival.At.Add(drainTime))
		}
	}
	return 0
}

func TestLeavingRunnerIsLeftByItsOwnWord(t *testing.T) {
	for name, test := range map[string]struct{ seeds, followers int }{
		"a router alone":            {0, 0},
		"a seed and two followers":  {1, 2},
		"three seeds and followers": {3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSignalFleet(t, 6, test.seeds, test.followers)
			f.load(f.routers, time.Second)
			leaving := f.busiest(2)
			announced := leaves(leaving...)
			got := f.load(f.routers, drainTime+3*time.Second)
			for _, runner := range leaving {
				f.g.Expect(arrivedAfterDrain(runner, announced)).To(BeZero(), "the directory says that %s stays", runner.ID)
			}
			f.g.Expect(got.whole).To(Equal(got.sent), "other runners serve them")
		})
	}
}

// The list that comes with the store's return knows nothing of the leaving yet.
func TestDirectoryReadAnewDoesNotBringLeavingRunnersBack(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 6, 1, 2)
	f.load(f.routers, time.Second)
	leaving := f.busiest(1)
	announced := leaves(leaving...)
	for _, r := range f.routers {
		r.storeEndpoint.Set(storestand.Silent)
	}
	f.load(f.routers, drainTime)
	f.putEntry(leaving[0], "ready")
	for _, r := range f.routers {
		r.storeEndpoint.Set(storestand.Healthy)
	}
	f.load(f.routers, 3*time.Second)
	f.g.Expect(arrivedAfterDrain(leaving[0], announced)).To(BeZero())
}

// An entry that lapsed with the store comes back as it was; a new start of the runner has said
// nothing.
func TestLeavingIsOfOneStart(t *testing.T) {
	t.Parallel()
	f := &signalFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), goodKey)
	other := f.startRunner(runnerstand.Config{ID: "p1", Service: "plain", Incarnation: 7})
	leaving := f.startRunner(runnerstand.Config{ID: "p2", Service: "plain", Incarnation: 7})
	r := f.servingRouter("r", nil)
	r.waitForLog(`"runner":"p2"`)
	leaves(other, leaving)
	other.Announce()
	ask := func(times int) {
		for range times {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
	}
	ask(10)
	f.store.Remove(platform.KindServers, leaving.ID)
	r.waitForLog("runner removed")
	f.putEntry(leaving, "ready")
	time.Sleep(300 * time.Millisecond)
	before := leaving.Arrivals()
	ask(20)
	f.g.Expect(leaving.Arrivals()).To(Equal(before), "the same start")
	leaving.Announce()
	leaving.Restart()
	f.putEntry(leaving, "ready")
	time.Sleep(300 * time.Millisecond)
	ask(20)
	f.g.Expect(leaving.Arrivals()).To(BeNumerically(">", before), "another start")
}

// A router that was told keeps to it without any other router, and over a suspension.
func TestRouterOutOfTouchLeavesLeavingRunners(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 1)
	f.load(f.routers, time.Second)
	leaving := f.busiest(1)
	announced := leaves(leaving...)
	f.load(f.routers, time.Second)
	f.routers[0].Kill()
	f.routers[1].storeEndpoint.Set(storestand.Silent)
	f.routers[1].clock.suspend(time.Second)
	f.load(f.routers[1:], drainTime+time.Second)
	f.g.Expect(arrivedAfterDrain(leaving[0], announced)).To(BeZero())
}
