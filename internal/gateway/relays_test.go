package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// newSeededFleet returns a fleet with two seeds, which read the store, and a follower that pulls
// from them.
func newSeededFleet(t *testing.T) (f *fleet, seeds []*router, follower *router) {
	f = newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	addresses := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	for i, node := range []string{"seed-1", "seed-2"} {
		seeds = append(seeds, f.servingRouter(node, func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = addresses[i], addresses
		}))
	}
	follower = f.router("follower", f.followerSettings(addresses))
	f.g.Eventually(follower.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	return f, seeds, follower
}

// The retries beyond the share of requests that may be retried have one common limit for all
// routers, independent of the number of routers.
func TestRetryReserveIsSharedByAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	const slack, perRouter, calls = 6, 5, 10
	adjust := func(settings *gateway.Settings) { settings.RetrySlack, settings.RetryReserve = slack, perRouter }
	addresses := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	var routers []*router
	for i := range 6 {
		routers = append(routers, f.servingRouter(fmt.Sprintf("r%d", i), func(settings *gateway.Settings) {
			adjust(settings)
			settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), addresses
			if i < len(addresses) {
				settings.PeerAddress = addresses[i]
			}
		}))
	}
	time.Sleep(1200 * time.Millisecond) // Long enough for two pulls.
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Fails)
	}
	total := 0
	for _, r := range routers {
		for range calls {
			r.call("/safe/x", nil)
			total++
		}
	}
	retries := len(runners[0].Runs()) + len(runners[1].Runs()) - total
	earned := int(0.2 * float64(total))
	f.g.Expect(retries).To(BeNumerically(">", 0))
	f.g.Expect(retries).To(BeNumerically("<=", slack+earned), "retries of %d calls", total)
}

func (f *fleet) followerSettings(seeds []string) func(*gateway.Settings) {
	return func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), seeds
	}
}

func TestFollowerPullsFromSeedsWithoutReadingStore(t *testing.T) {
	f, _, follower := newSeededFleet(t)
	f.g.Expect(follower.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Consistently(follower.storeEndpoint.CallCount, 600*time.Millisecond).Should(Equal(0), "only seeds read the store")
	changedAt := time.Now()
	f.configure(2, defaultRoutes(), "key-two")
	f.g.Eventually(func() int { return follower.call("/safe/x", nil).status }, time.Second, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
	f.g.Expect(time.Since(changedAt)).To(BeNumerically("<", 300*time.Millisecond), "changes are pushed")
}

// Only routers that read the store anyway compete for the lease immediately. Otherwise each named
// version would cause a burst of store calls.
func TestFollowersDoNotAcquireLeaseWhileSeedsRun(t *testing.T) {
	t.Parallel()
	f, seeds, follower := newSeededFleet(t)
	runner := f.runner("e1", "engines")
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 3*time.Second, 10*time.Millisecond).Should(Equal(uint64(2)))
	f.g.Eventually(func() int { return follower.call("/stream/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
	f.g.Expect(follower.storeEndpoint.CallCount()).To(Equal(0))

	for _, seed := range seeds {
		seed.Kill()
	}
	nameWeights(f, 3)
	f.g.Eventually(runner.WeightVersion, 8*time.Second, 20*time.Millisecond).Should(Equal(uint64(3)), "without seeds the follower takes the lease itself")
}

func TestFollowerFallsBackToOtherSeedThenStore(t *testing.T) {
	f, seeds, follower := newSeededFleet(t)
	for i, seed := range seeds {
		seed.Kill()
		f.configure(2+i, defaultRoutes(), validKey)
		follower.waitForConfig(2 + i)
		f.g.Expect(follower.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(follower.storeEndpoint.CallCount()).To(BeNumerically(">", 0), "without seeds the follower reads the store")
}

// Guards against a seed that loses the store while it serves others, and then leaves its followers
// or itself with an old configuration.
func TestSeedWithoutStoreAccessIsNotReliedOn(t *testing.T) {
	for name, fault := range map[string]storestand.Fault{"busy": storestand.Busy, "silent": storestand.Hangs} {
		t.Run(name, func(t *testing.T) {
			f, seeds, follower := newSeededFleet(t)
			seeds[0].storeEndpoint.SetFault(fault)
			failedAt := time.Now()
			f.configure(2, defaultRoutes(), "key-two")
			for _, r := range []*router{follower, seeds[0], seeds[1]} {
				f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 3*time.Second, 10*time.Millisecond).Should(Equal(http.StatusUnauthorized))
			}
			f.g.Expect(time.Since(failedAt)).To(BeNumerically("<", 2*time.Second))
			f.g.Consistently(seeds[0].isReady, 5*time.Second, 100*time.Millisecond).Should(BeTrue(), "the other seed proves its configuration")
		})
	}
}

func TestRouterStartsFromPeersWhileStoreIsDown(t *testing.T) {
	f, seeds, _ := newSeededFleet(t)
	addresses := seeds[0].seeds
	restarted := f.routerWithStoreFault("restarted", f.followerSettings(addresses), storestand.Hangs)
	f.g.Eventually(restarted.isReady, time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Expect(restarted.call("/safe/x", nil).status).To(Equal(http.StatusOK))
}

// While the store is down for all routers, their answers to each other must not extend the use of
// the configuration.
func TestPeersCannotProveConfigurationWithoutStore(t *testing.T) {
	f, seeds, follower := newSeededFleet(t)
	for _, r := range append(seeds, follower) {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	f.g.Eventually(func() bool {
		ready := false
		for _, r := range append(seeds, follower) {
			ready = ready || r.isReady()
		}
		return ready
	}, 5*time.Second, 20*time.Millisecond).Should(BeFalse())
}

// Guards against a seed that sends a cached older answer with a newer proof. The seed is pulled
// from before it has a configuration, and again after each change.
func TestSeedNeverSendsOldConfigurationWithNewProof(t *testing.T) {
	f := newFleet(t)
	addresses := []string{loopback.FreeAddress()}
	seed := f.routerWithStoreFault("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = addresses[0], addresses
	}, storestand.Busy)
	first := f.routerWithStoreFault("first", f.followerSettings(addresses), storestand.Hangs)
	f.g.Consistently(first.isReady, 200*time.Millisecond).Should(BeFalse())
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	seed.storeEndpoint.SetFault(storestand.Healthy)
	f.g.Eventually(seed.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Eventually(first.isReady, time.Second, 10*time.Millisecond).Should(BeTrue(), "the seed is pulled from again soon after it has a configuration")
	f.configure(2, defaultRoutes(), "key-two")
	seed.waitForConfig(2)
	second := f.routerWithStoreFault("second", f.followerSettings(addresses), storestand.Hangs)
	f.g.Eventually(second.isReady, time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Expect(second.call("/safe/x", nil).status).To(Equal(http.StatusUnauthorized))
}

// After the loss of all routers the first ones to restart find no seed. Callers are already
// waiting, so a router reads the store as soon as the seeds prove silent.
func TestStartedRouterReadsStoreSoonIfSeedsAreSilent(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.router("first", f.followerSettings([]string{startSilentPeer(f), startSilentPeer(f), startSilentPeer(f)}))
	f.g.Eventually(r.isReady, 200*time.Millisecond, 5*time.Millisecond).Should(BeTrue())
}

// A live seed is found among silent ones without reading the store.
func TestStartedRouterFindsLiveSeedAmongSilentOnes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	address := loopback.FreeAddress()
	seeds := []string{startSilentPeer(f), address, startSilentPeer(f), startSilentPeer(f)}
	f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, seeds })
	for i := range 6 {
		r := f.router(fmt.Sprint("r", i), f.followerSettings(seeds))
		f.g.Eventually(r.isReady, 150*time.Millisecond, 2*time.Millisecond).Should(BeTrue())
		f.g.Expect(r.storeEndpoint.CallCount()).To(BeZero())
	}
}

// Calls that arrive while a router starts are served a moment later instead of rejected. A router
// that finds neither peers nor the store rejects them soon.
func TestCallsWaitForStartingRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	seeds := []string{startSilentPeer(f), startSilentPeer(f)}
	const startWait = 900 * time.Millisecond
	first := f.router("first", func(settings *gateway.Settings) {
		f.followerSettings(seeds)(settings)
		settings.StartWait = startWait
	})
	got := first.call("/safe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(got.duration).To(BeNumerically("<", startWait))

	alone := f.routerWithStoreFault("alone", f.followerSettings(seeds), storestand.Hangs)
	for range 2 {
		got = alone.call("/safe/x", nil)
		f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		f.g.Expect(got.duration).To(BeNumerically("<", 300*time.Millisecond))
		time.Sleep(time.Second)
	}
	f.g.Expect(got.duration).To(BeNumerically("<", 100*time.Millisecond), "calls wait only while the router starts")
}

// startSilentPeer returns the address of a peer that accepts connections and never answers.
func startSilentPeer(f *fleet) string {
	address := loopback.FreeAddress()
	listener, err := net.Listen("tcp", address)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { listener.Close() })
	return address
}

// A seed whose peer address differs from its listen address, as behind a port forward, is
// identified by the peer address, both by itself and by others.
func TestSeedBehindPortForwardHasFollowers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	own := loopback.FreeAddress()
	forward, err := faultproxy.Start(own)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(forward.Close)
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.PeerBindAddress, settings.Seeds = forward.Address, own, []string{forward.Address}
	})
	follower := f.servingRouter("follower", f.followerSettings([]string{forward.Address}))
	f.g.Expect(follower.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Eventually(func() string { return follower.Status().Source }, time.Second, 5*time.Millisecond).Should(Equal(forward.Address))
	f.g.Expect(seed.Status().ReadsStore).To(BeTrue())
	f.g.Eventually(func() bool { return follower.Status().ReadsStore }, 3*time.Second, 5*time.Millisecond).Should(BeFalse())
}

// The response to a watch with a change proves only the state at the time the watch was sent, which
// may be long before the response. The proof is renewed before followers would conclude that the
// seed has lost the store.
func TestProofIsRenewedSoonAfterChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	proofAge := func() int64 { return r.Status().ProofAgeMillis }
	f.configure(2, defaultRoutes(), validKey)
	r.waitForConfig(2)
	time.Sleep(800 * time.Millisecond) // The next watch has waited for most of its 0.9 s.
	f.configure(3, defaultRoutes(), validKey)
	f.g.Eventually(proofAge, 700*time.Millisecond, 5*time.Millisecond).Should(BeNumerically("<", 500))
}
