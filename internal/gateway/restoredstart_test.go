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
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// learnTimeout is the time within which a started router must know what the others know, the same
// as for a change.
const learnTimeout = applyTimeout

// restoredFleet is a fleet of two seeds and a follower whose store was restored from a backup. The
// backup lacks a configuration, weights and the only plain runner, and nobody rewrites them.
type restoredFleet struct {
	*restorableFleet
	seeds []string
}

func newRestoredFleet(t *testing.T) *restoredFleet {
	f := &restoredFleet{seeds: []string{loopback.FreeAddress(), loopback.FreeAddress()}}
	count := 0
	f.restorableFleet = newRestorableFleet(t, 3, func(settings *gateway.Settings) {
		settings.Seeds = f.seeds
		if count < len(f.seeds) {
			settings.PeerAddress = f.seeds[count]
		}
		count++
	})
	f.plain.Close()
	f.store.Delete(platform.KindRunners, f.plain.ID)
	backup := f.store.Backup()
	f.runner("joined", "plain")
	f.configure(2, routesWith("fresh"), validKey)
	nameWeights(f.fleet, 2)
	f.awaitWeights(2)
	f.awaitConfiguration(time.Now(), "/fresh/x", "key-two")
	time.Sleep(revisionPropagationTime)
	f.restore(backup, storeDowntime/4, nil)
	f.awaitNewEra()
	return f
}

// startRouter starts a router at the address, with access to the store.
func (f *restoredFleet) startRouter(peerAddress string, seeds []string) *router {
	return f.routerWithStoreFault("again", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = peerAddress, seeds }, storestand.Healthy)
}

// awaitNewerState waits until the router knows what the backup lacks.
func (f *restoredFleet) awaitNewerState(r *router) {
	f.t.Helper()
	f.g.Eventually(func() int { return r.call("/fresh/x", nil).status }, learnTimeout, 5*time.Millisecond).Should(Equal(http.StatusOK), "the added route and runner")
	f.g.Expect(r.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized), "the removed key")
	f.g.Eventually(r.log.String, learnTimeout, 5*time.Millisecond).Should(MatchRegexp(`"event":840.*"version":2`), "weights")
}

// Guards against a router that starts before the operator and the runners have rewritten what the
// store lost, and therefore uses the state of the backup. It accepted a key that had been removed.
func TestRouterStartedInNewEraLearnsNewerState(t *testing.T) {
	for name, index := range map[string]int{"a seed": 0, "a follower": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRestoredFleet(t)
			f.routers[index].Kill()
			address := loopback.FreeAddress()
			if index < len(f.seeds) {
				address = f.seeds[index]
			}
			restarted := f.startRouter(address, f.seeds)
			for startedAt := time.Now(); time.Since(startedAt) < learnTimeout/4; {
				f.g.Expect(restarted.call("/safe/x", withKey("key-two")).status).NotTo(Equal(http.StatusOK))
			}
			f.awaitNewerState(restarted)
		})
	}
}

// Guards against a router that keeps using the state of the backup because the other routers were
// silent when it started and answered only soon after.
func TestRouterStartedInNewEraLearnsFromLateSeeds(t *testing.T) {
	t.Parallel()
	f := newRestoredFleet(t)
	var proxies []*faultproxy.Proxy
	var seeds []string
	for _, seed := range f.seeds {
		proxy := f.proxyTo(seed)
		proxy.SetMode(faultproxy.Reset)
		proxies, seeds = append(proxies, proxy), append(seeds, proxy.Address)
	}
	restarted := f.startRouter(loopback.FreeAddress(), seeds)
	f.g.Eventually(restarted.isReady, learnTimeout, 5*time.Millisecond).Should(BeTrue(), "it serves the state of the store")
	for _, proxy := range proxies {
		proxy.SetMode(faultproxy.Pass)
	}
	f.awaitNewerState(restarted)
}

// Guards against seeds that start together and accept each other's copies of the restored state as
// the newest.
func TestSeedsStartedTogetherInNewEraLearnFromFollower(t *testing.T) {
	t.Parallel()
	f := newRestoredFleet(t)
	var restarted []*router
	for i := range f.seeds {
		f.routers[i].Kill()
	}
	for _, seed := range f.seeds {
		restarted = append(restarted, f.startRouter(seed, f.seeds))
	}
	for _, r := range restarted {
		f.awaitNewerState(r)
	}
}

// Guards against pulls of a state transfer that keep a silent connection between routers open for
// as long as a full copy may take. A follower learned nothing new for more than 2 s.
func TestStateTransferDoesNotDelayConnectionReplacement(t *testing.T) {
	t.Parallel()
	f := &restorableFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), validKey)
	f.plain = f.runner("p1", "plain")
	f.store.Restore(f.store.Backup())
	seed := loopback.FreeAddress()
	proxy := f.proxyTo(seed)
	// No router knows more than the store, so both retry the transfer until its timeout.
	f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seed, []string{seed} })
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), []string{proxy.Address}
	})
	time.Sleep(2 * revisionPropagationTime)
	countSeedFound := func() int { return strings.Count(follower.log.String(), `"store":false`) }
	for range 4 {
		before := countSeedFound()
		proxy.SetMode(faultproxy.MuteExisting)
		proxy.SetMode(faultproxy.Pass)
		f.g.Eventually(countSeedFound, revisionPropagationTime, 5*time.Millisecond).Should(BeNumerically(">", before), "the seed answers again")
	}
}
