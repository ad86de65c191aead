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

// newFleetWithLostRunner returns a fleet whose only plain runner joined after the backup from which
// the store was then restored.
func newFleetWithLostRunner(t *testing.T) (*restorableFleet, *runnerstand.Runner) {
	f := newRestorableFleet(t, 3, nil)
	f.plain.Close()
	f.store.Delete(platform.KindRunners, f.plain.ID)
	backup := f.store.Backup()
	joined := f.runner("joined", "plain")
	f.writeUnrelated(lostWrites)
	f.awaitServing()
	f.restore(backup, storeDowntime/4, nil)
	f.awaitNewEra()
	return f, joined
}

// expectStatus checks the status with which every router answers a call for the plain runner.
func (f *restorableFleet) expectStatus(status int) {
	f.t.Helper()
	for i, r := range f.routers {
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(status), "router %d", i+1)
	}
}

// removalTime is the time within which runners that do not rewrite their entries are removed.
const removalTime = 2500 * time.Millisecond

// Guards against runners that get no requests until they have rewritten their entries, because the
// backup from which the store was restored lacks them.
func TestRunnersMissingFromBackupStayInUse(t *testing.T) {
	t.Parallel()
	f, joined := newFleetWithLostRunner(t)
	f.expectStatus(http.StatusOK)
	f.putEntry(joined, "ready")
	time.Sleep(removalTime)
	f.expectStatus(http.StatusOK)
}

// Guards against runners that are used forever although the backup from which the store was
// restored lacks their entries and nobody rewrites them.
func TestRunnersThatDoNotRewriteEntriesAreRemoved(t *testing.T) {
	t.Parallel()
	f, joined := newFleetWithLostRunner(t)
	time.Sleep(removalTime)
	runsBefore := len(joined.Runs())
	f.expectStatus(http.StatusServiceUnavailable)
	f.g.Expect(joined.Runs()).To(HaveLen(runsBefore))
}

// Guards against requests to runners that had announced to leave, or had left, before the store was
// restored from a backup made earlier.
func TestDepartedRunnersGetNoRequestsAfterRestore(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 3, nil)
	leaving, gone := f.runner("leaving", "plain"), f.runner("gone", "plain")
	for _, r := range f.routers {
		r.waitForLog(`"runner":"leaving"`)
		r.waitForLog(`"runner":"gone"`)
	}
	backup := f.store.Backup()
	f.putEntry(leaving, "draining")
	f.store.Delete(platform.KindRunners, gone.ID)
	f.writeUnrelated(lostWrites)
	for _, r := range f.routers {
		r.waitForLog(`"draining":true`)
		r.waitForLog("runner removed")
	}
	runsBefore := []int{len(leaving.Runs()), len(gone.Runs())}
	for range 2 {
		f.restore(backup, storeDowntime/4, nil)
		f.awaitNewEra()
		for range 30 {
			f.expectStatus(http.StatusOK)
		}
		f.g.Expect([]int{len(leaving.Runs()), len(gone.Runs())}).To(Equal(runsBefore))
	}

	f.store.Put(platform.KindRunners, gone.ID, gone.DirectoryEntry("ready"))
	f.g.Eventually(func() int {
		f.routers[0].call("/safe/x", nil)
		return len(gone.Runs())
	}, applyTimeout, 5*time.Millisecond).Should(BeNumerically(">", runsBefore[1]), "a runner that rewrites its entry is used again")
}

// Guards against runs and streams that are ended, and loads that are ordered again, because the
// backup from which the store was restored has older entries of the runners.
func TestRunsAndStreamsContinueDuringRestore(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 3, nil)
	backup := f.store.Backup()
	nameWeights(f.fleet, 2)
	f.awaitWeights(2)
	for _, engine := range f.engines {
		f.putEntry(engine, "ready")
	}
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)
	orders := f.orderCount()
	streams := make(chan callResponse, len(f.routers))
	f.setStoreFault(storestand.Reset)
	for _, r := range f.routers {
		go func() { streams <- r.call("/stream/x", nil) }()
	}
	f.store.Restore(backup)
	f.setStoreFault(storestand.Healthy)
	f.awaitNewEra()
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
	f.g.Expect(f.orderCount()).To(Equal(orders), "orders sent to runners")
	f.g.Expect(f.routers[0].log.String()).NotTo(ContainSubstring("runner restarted"))
}

// Guards against removed runners that are used forever because of a router that missed their
// removal. Its full copy includes them, since it keeps what the first list of an era lacks.
func TestRemovedRunnersAreNotAddedAgainByOutdatedRouter(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 1, nil)
	removed, seed := f.runner("gone", "plain"), f.routers[0]
	seed.waitForLog(`"runner":"gone"`)
	bound := loopback.FreeAddress()
	proxies := []*faultproxy.Proxy{f.proxyTo(seed.seeds[0]), f.proxyTo(bound)}
	setProxies := func(mode faultproxy.Mode) {
		for _, proxy := range proxies {
			proxy.SetMode(mode)
		}
	}
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.Seeds, settings.PeerAddress, settings.PeerBindAddress = []string{proxies[0].Address}, proxies[1].Address, bound
	})
	follower.waitForLog(`"runner":"gone"`)
	follower.storeEndpoint.SetFault(storestand.Reset)
	setProxies(faultproxy.Reset)
	f.store.Delete(platform.KindRunners, removed.ID)
	seed.waitForLog("runner removed")
	f.store.Restore(f.store.Backup())
	seed.waitForLog(`"event":829`)
	time.Sleep(listingTime)
	seed.storeEndpoint.SetFault(storestand.Throttled)
	f.writeUnrelated(3)
	follower.storeEndpoint.SetFault(storestand.Healthy)
	follower.waitForLog(`"missing":1`)
	setProxies(faultproxy.Pass)

	time.Sleep(removalTime)
	runsBefore := len(removed.Runs())
	for range 30 {
		f.g.Expect(seed.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(removed.Runs()).To(HaveLen(runsBefore))
	f.g.Expect(strings.Count(seed.log.String(), `"runner":"gone","service"`)).To(Equal(1), "times the runner was added")
}
