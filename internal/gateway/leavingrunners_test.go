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

// Runners kept getting requests after their responses had reported that they were leaving, up to
// 11 s later and even from a router that had forwarded such a response. The store was unavailable,
// so the directory showed it only later, and routers relied on the directory alone: the list that
// they read when the store returned did not contain the change yet. The tests also cover an
// available store, since a new list is only one way in which a leaving runner can come back.

// leavingGrace is how long a leaving runner may still get requests from a router that has forwarded
// one of its responses that reports it.
const leavingGrace = 2 * time.Second

// announceLeaving makes the runners report in all their responses that they are leaving, and
// returns when that began.
func announceLeaving(runners ...*runnerstand.Runner) (announcedAt time.Time) {
	announce(runners, platform.HeaderServerLeaving, "1")
	return time.Now()
}

// arrivalsAfterGrace returns the number of requests that reached the runner more than leavingGrace
// after the first request whose response reported that it is leaving. No router can know it before
// that response.
func arrivalsAfterGrace(runner *runnerstand.Runner, announcedAt time.Time) int {
	for _, arrival := range runner.ArrivalLog() {
		if arrival.ReceivedAt.After(announcedAt) {
			return arrivalsAfter(runner, arrival.ReceivedAt.Add(leavingGrace))
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
			f.sendLoad(f.routers, time.Second)
			leaving := f.busiest(2)
			announcedAt := announceLeaving(leaving...)
			got := f.sendLoad(f.routers, leavingGrace+3*time.Second)
			for _, runner := range leaving {
				f.g.Expect(arrivalsAfterGrace(runner, announcedAt)).To(BeZero(), "%s is leaving, although the directory does not say so", runner.ID)
			}
			f.g.Expect(got.succeeded).To(Equal(got.sent), "other runners serve all calls")
		})
	}
}

// The directory that is listed when the store returns does not show yet that the runner is leaving.
func TestRelistedDirectoryDoesNotRestoreLeavingRunners(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 6, 1, 2)
	f.sendLoad(f.routers, time.Second)
	leaving := f.busiest(1)
	announcedAt := announceLeaving(leaving...)
	for _, r := range f.routers {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	f.sendLoad(f.routers, leavingGrace)
	f.putEntry(leaving[0], "ready")
	for _, r := range f.routers {
		r.storeEndpoint.SetFault(storestand.Healthy)
	}
	f.sendLoad(f.routers, 3*time.Second)
	f.g.Expect(arrivalsAfterGrace(leaving[0], announcedAt)).To(BeZero())
}

// A directory entry that expired while the store was unavailable comes back unchanged, and its
// runner is still leaving. A new incarnation of the runner is not.
func TestLeavingSignalAppliesToOneIncarnation(t *testing.T) {
	t.Parallel()
	f := &signalFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), validKey)
	other := f.startRunner(runnerstand.Config{ID: "p1", Service: "plain", Incarnation: 7})
	leaving := f.startRunner(runnerstand.Config{ID: "p2", Service: "plain", Incarnation: 7})
	r := f.servingRouter("r", nil)
	r.waitForLog(`"runner":"p2"`)
	announceLeaving(other, leaving)
	other.SetResponseHeaders()
	sendCalls := func(count int) {
		for range count {
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		}
	}
	sendCalls(10)
	f.store.Delete(platform.KindRunners, leaving.ID)
	r.waitForLog("runner removed")
	f.putEntry(leaving, "ready")
	time.Sleep(300 * time.Millisecond)
	before := leaving.ArrivalCount()
	sendCalls(20)
	f.g.Expect(leaving.ArrivalCount()).To(Equal(before), "the same incarnation is still leaving")
	leaving.SetResponseHeaders()
	leaving.Restart()
	f.putEntry(leaving, "ready")
	time.Sleep(300 * time.Millisecond)
	sendCalls(20)
	f.g.Expect(leaving.ArrivalCount()).To(BeNumerically(">", before), "a new incarnation is not leaving")
}

// A router that received the signal applies it without any other router, and also after its machine
// was suspended.
func TestIsolatedRouterAvoidsLeavingRunners(t *testing.T) {
	t.Parallel()
	f := newSignalFleet(t, 4, 1, 1)
	f.sendLoad(f.routers, time.Second)
	leaving := f.busiest(1)
	announcedAt := announceLeaving(leaving...)
	f.sendLoad(f.routers, time.Second)
	f.routers[0].Kill()
	f.routers[1].storeEndpoint.SetFault(storestand.Hangs)
	f.routers[1].clock.suspend(time.Second)
	f.sendLoad(f.routers[1:], leavingGrace+time.Second)
	f.g.Expect(arrivalsAfterGrace(leaving[0], announcedAt)).To(BeZero())
}
