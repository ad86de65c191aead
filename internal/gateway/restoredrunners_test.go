package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// withLostRunner returns a fleet whose only plain runner joined after the copy was made, from
// which the store has come back.
func withLostRunner(t *testing.T) (*restorable, *runnerstand.Runner) {
	f := newRestorable(t, 3, nil)
	f.plain.Close()
	f.store.Remove(platform.KindServers, f.plain.ID)
	kept := f.store.Copy()
	joined := f.runner("joined", "plain")
	f.grow(lostWrites)
	f.serves()
	f.restore(kept, storeAway/4, nil)
	f.inNewEra()
	return f, joined
}

// answersNow checks how all routers answer a call for the plain runner now.
func (f *restorable) answersNow(status int) {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(status), "router %d", i+1)
	}
}

// droppedTime is within which runners are dropped that do not write their entries again.
const droppedTime = 2500 * time.Millisecond

// Guards against runners that get no requests since the copy, from which the store came back,
// does not list them, until they have written their entries again.
func TestRunnersThatACopyOfTheStoreLacksAreUsedOn(t *testing.T) {
	t.Parallel()
	f, joined := withLostRunner(t)
	f.answersNow(http.StatusOK)
	f.putEntry(joined, "ready")
	time.Sleep(droppedTime)
	f.answersNow(http.StatusOK)
}

// Guards against runners that are used for good though their entries are neither in the copy,
// from which the store came back, nor written again.
func TestRunnersThatDoNotWriteTheirEntriesAgainAreDropped(t *testing.T) {
	t.Parallel()
	f, joined := withLostRunner(t)
	time.Sleep(droppedTime)
	ran := len(joined.Runs())
	f.answersNow(http.StatusServiceUnavailable)
	f.g.Expect(joined.Runs()).To(HaveLen(ran))
}

// Guards against requests to runners that had said that they leave, or had left, before the
// store came back from a copy that knows nothing of that.
func TestRunnersThatLeftBeforeACopyOfTheStoreCameBackGetNoRequests(t *testing.T) {
	t.Parallel()
	f := newRestorable(t, 3, nil)
	leaving, gone := f.runner("leaving", "plain"), f.runner("gone", "plain")
	for _, r := range f.routers {
		r.waitForLog(`"runner":"leaving"`)
		r.waitForLog(`"runner":"gone"`)
	}
	kept := f.store.Copy()
	f.putEntry(leaving, "draining")
	f.store.Remove(platform.KindServers, gone.ID)
	f.grow(lostWrites)
	for _, r := range f.routers {
		r.waitForLog(`"draining":true`)
		r.waitForLog("runner removed")
	}
	ran := []int{len(leaving.Runs()), len(gone.Runs())}
	for range 2 {
		f.restore(kept, storeAway/4, nil)
		f.inNewEra()
		for range 30 {
			f.answersNow(http.StatusOK)
		}
		f.g.Expect([]int{len(leaving.Runs()), len(gone.Runs())}).To(Equal(ran))
	}

	f.store.Put(platform.KindServers, gone.ID, gone.Entry("ready"))
	f.g.Eventually(func() int {
		f.routers[0].call("/safe/x", nil)
		return len(gone.Runs())
	}, inForceTime, 5*time.Millisecond).Should(BeNumerically(">", ran[1]), "a runner that writes its entry again lives")
}

// Guards against runs and streams that end, or loads that are ordered anew, as the copy from
// which the store came back has older entries of the runners.
func TestRunningWorkGoesOnWhileTheStoreComesBackFromACopy(t *testing.T) {
	t.Parallel()
	f := newRestorable(t, 3, nil)
	kept := f.store.Copy()
	name(f.fleet, 2)
	f.haveWeights(2)
	for _, engine := range f.engines {
		f.putEntry(engine, "ready")
	}
	f.grow(lostWrites)
	time.Sleep(seenTime)
	orders := f.orderCount()
	streams := make(chan answer, len(f.routers))
	f.setDoors(storestand.Reset)
	for _, r := range f.routers {
		go func() { streams <- r.call("/stream/x", nil) }()
	}
	f.store.Restore(kept)
	f.setDoors(storestand.Healthy)
	f.inNewEra()
	for range f.routers {
		got := <-streams
		f.g.Expect(got.status).To(Equal(http.StatusOK))
		f.g.Expect(got.truncated).To(BeFalse())
	}
	for range 10 {
		for _, r := range f.routers {
			f.g.Expect(r.call("/stream/x", nil).status).To(Equal(http.StatusOK))
		}
	}
	f.g.Expect(f.orderCount()).To(Equal(orders), "orders given to runners")
	f.g.Expect(f.routers[0].log.String()).NotTo(ContainSubstring("runner restarted"))
}

// Guards against runners that are used for good though they are gone, as a router that missed that
// tells of them: its whole copy keeps what the first list of an era lacks.
func TestRunnersThatAreGoneDoNotComeBackFromARouterThatMissedIt(t *testing.T) {
	t.Parallel()
	f := newRestorable(t, 1, nil)
	gone, seed := f.runner("gone", "plain"), f.routers[0]
	seed.waitForLog(`"runner":"gone"`)
	bound := loopback.FreeAddress()
	proxies := []*faultproxy.Proxy{f.proxyTo(seed.seeds[0]), f.proxyTo(bound)}
	cut := func(mode faultproxy.Mode) {
		for _, proxy := range proxies {
			proxy.Set(mode)
		}
	}
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.Seeds, settings.PeerAddress, settings.PeerBindAddress = []string{proxies[0].Address}, proxies[1].Address, bound
	})
	follower.waitForLog(`"runner":"gone"`)
	follower.storeEndpoint.Set(storestand.Reset)
	cut(faultproxy.Reset)
	f.store.Remove(platform.KindServers, gone.ID)
	seed.waitForLog("runner removed")
	f.store.Restore(f.store.Copy())
	seed.waitForLog(`"event":829`)
	time.Sleep(listedTime)
	seed.storeEndpoint.Set(storestand.Throttled)
	f.grow(3)
	follower.storeEndpoint.Set(storestand.Healthy)
	follower.waitForLog(`"missing":1`)
	cut(faultproxy.Pass)

	time.Sleep(droppedTime)
	ran := len(gone.Runs())
	for range 30 {
		f.g.Expect(seed.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(gone.Runs()).To(HaveLen(ran))
	f.g.Expect(strings.Count(seed.log.String(), `"runner":"gone","service"`)).To(Equal(1), "times at which it was added")
}
