package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/internal/wire"
	"github.com/clovertiller/clovertiller/platform"
)

// Requests began on weights that had been replaced too long ago, and reached runners that had
// reported that they were leaving. Routers knew of neither change: the watches of runners and
// weights wait for 12 s, and a watch that had lost its connection or its response was waited for to
// the end, although the store answered new calls. Only the configuration was proved to be current.
// In the tests below, the changes arrived 12 s late, or not at all within the duration of the test.

// maxChangeDelay is the time within which a router must know of a change, however its watches were
// lost. Routers are required to know it 3 s after such a loss.
const maxChangeDelay = 2500 * time.Millisecond

// Parts of log lines that show which changes a router knows.
const (
	lineDraining     = `"draining":true`
	lineWeightsNamed = `"msg":"weights named"`
)

// drainRunnerAndNameWeights makes a runner leave and names newer weights.
func (f *fleet) drainRunnerAndNameWeights() {
	entry := map[string]any{"service": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, "state": "draining", "cold_remaining_ms": 0, "seq": 2}
	f.store.Put(platform.KindRunners, "p1", entry)
	nameWeights(f, 2)
}

func TestChangesArriveWhenAllStoreConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	endpoint, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	proxy, err := faultproxy.Start(endpoint.Address)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(proxy.Close)
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.StoreAddress = proxy.Address })
	for range 3 {
		time.Sleep(time.Second)
		proxy.SetMode(faultproxy.MuteExisting)
	}
	f.drainRunnerAndNameWeights()
	f.g.Eventually(r.log.String, maxChangeDelay, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineWeightsNamed)))
}

// The watch of the configuration continues, and the store revision in its responses shows that
// another watch is behind. Routers that pull from this one learn of the changes too.
func TestChangesArriveWhenOneWatchIsSilent(t *testing.T) {
	for _, kind := range []string{platform.KindRunners, platform.KindWeightVersions} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			f.runner("p1", "plain")
			addresses := []string{loopback.FreeAddress()}
			seed := f.servingRouter("seed", func(settings *gateway.Settings) {
				settings.PeerAddress, settings.Seeds = addresses[0], addresses
			})
			follower := f.servingRouter("follower", f.followerSettings(addresses))
			time.Sleep(300 * time.Millisecond)
			seed.storeEndpoint.AbandonWatches(kind)
			f.drainRunnerAndNameWeights()
			for _, r := range []*router{seed, follower} {
				f.g.Eventually(r.log.String, maxChangeDelay, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineWeightsNamed)))
			}
			f.g.Expect(follower.storeEndpoint.CallCount()).To(BeZero())
		})
	}
}

// A router that learned late of newer weights counted the time limit of the older ones from that
// moment instead of from when the newer ones were named. The time of its last current state is a
// lower bound for the latter.
func TestOldWeightsExpireFromEarliestPossibleNaming(t *testing.T) {
	const deadline = 4 * time.Second
	expectExpiry := func(t *testing.T, silence time.Duration, start func(*fleet) *router) {
		t.Parallel()
		f := newFleet(t)
		f.configure(1, defaultRoutes(), validKey)
		runner := f.runner("e1", "engines")
		r := start(f)
		r.storeEndpoint.SetFault(storestand.Hangs)
		nameWeights(f, 2)
		namedAt := time.Now()
		time.Sleep(silence)
		r.storeEndpoint.SetFault(storestand.LosesResponses) // so that no router can make the runner update
		f.g.Eventually(r.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineWeightsNamed))
		time.Sleep(time.Until(namedAt.Add(deadline)))
		runsBefore := len(runner.Runs())
		for time.Since(namedAt) < deadline+silence {
			f.g.Expect(r.call("/stream/x", nil).status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(20 * time.Millisecond)
		}
		f.g.Expect(runner.Runs()).To(HaveLen(runsBefore))
	}
	withShortDeadline := func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = deadline, 10*time.Millisecond
	}
	t.Run("running", func(t *testing.T) {
		expectExpiry(t, 1500*time.Millisecond, func(f *fleet) *router { return f.servingRouter("r1", withShortDeadline) })
	})
	t.Run("started", func(t *testing.T) {
		expectExpiry(t, 2*time.Second, func(f *fleet) *router { return f.routerWithStoreFault("r1", withShortDeadline, storestand.Hangs) })
	})
}

// A store may respond with outdated data, as a lagging replica does. Responses with a revision
// lower than the one that the router knew before its call counted as a proof of its copies and as a
// bound for when weights were named, so that the time limit of older weights was counted from the
// last such response.
func TestOutdatedStoreResponsesProveNothing(t *testing.T) {
	t.Parallel()
	const deadline, staleTime = 6 * time.Second, 2500 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	oldRevision := f.store.Put(platform.KindWeightVersions, modelName, map[string]any{"model": modelName, "version": 1})
	metricsAddress := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime, settings.MetricsAddress = deadline, 10*time.Millisecond, metricsAddress
	})
	time.Sleep(time.Second)
	r.storeEndpoint.SetReplicaRevision(oldRevision, platform.KindConfig, platform.KindWeightVersions)
	f.drainRunnerAndNameWeights()
	namedAt := time.Now()
	r.waitForLog(lineDraining)
	time.Sleep(time.Until(namedAt.Add(staleTime)))
	f.g.Expect(f.fetchStatus(metricsAddress).ProofAgeMillis).To(BeNumerically(">", (staleTime - time.Second).Milliseconds()))
	calls := r.storeEndpoint.CallCount()
	r.storeEndpoint.CatchUp()
	f.g.Expect(calls).To(BeNumerically("<", 40), "the router pauses between calls to the store")
	f.g.Eventually(r.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(`"version":2`))
	f.g.Expect(r.oldWeightsExpiry(2)).To(BeTemporally("<", namedAt.Add(deadline)))
	f.g.Eventually(func() int64 { return f.fetchStatus(metricsAddress).ProofAgeMillis }, 2*time.Second, 10*time.Millisecond).Should(BeNumerically("<", 1000))
}

// Seeds whose store calls for runners got no answer, while those for the configuration did, proved
// the configuration of routers that could read the store themselves. These routers relied on copies
// of the runners that were 2.2 s old, and sent requests to runners that had left 2 s before. Where
// many routers pull from a seed, each does so every 0.45 s, and another seed may not answer.
func TestRoutersDoNotWaitForSeedsWithoutRunnerUpdates(t *testing.T) {
	t.Run("few routers", func(t *testing.T) { testSeedWithoutRunnerUpdates(t, 0) })
	t.Run("many routers", func(t *testing.T) { testSeedWithoutRunnerUpdates(t, 70) })
}

func testSeedWithoutRunnerUpdates(t *testing.T, extraRouters int) {
	const maxDelay = 1750 * time.Millisecond // requests that reach a leaving runner count as faults after 2 s
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	blocked, storeAddress := blockingStore(f, platform.KindRunners)
	blocked.Store(false)
	seedAddress, silentSeed, metricsAddress := loopback.FreeAddress(), silentAddress(f), loopback.FreeAddress()
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.StoreAddress = seedAddress, []string{seedAddress}, storeAddress
		settings.MetricsAddress, settings.DirectFollowers = metricsAddress, 1000
	})
	simulateFollowers(f, seedAddress, extraRouters)
	follower := f.servingRouter("follower", f.followerSettings([]string{seedAddress, silentSeed}))
	time.Sleep(1500 * time.Millisecond)
	blocked.Store(true)
	f.runner("p2", "plain") // ends the pending watch
	follower.waitForLog(`"runner":"p2"`)
	time.Sleep(500 * time.Millisecond)
	// The change comes right after all copies were proved to be current, which is the worst case.
	f.g.Eventually(func() int64 { return f.fetchStatus(metricsAddress).ProofAgeMillis }, 2*time.Second, time.Millisecond).Should(BeNumerically("<", 20))
	f.drainRunnerAndNameWeights()
	changedAt := time.Now()
	f.g.Eventually(follower.log.String, 4*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineDraining))
	f.g.Expect(time.Since(changedAt)).To(BeNumerically("<", maxDelay))
	if extraRouters == 0 { // the simulated routers have nothing to answer
		f.g.Eventually(seed.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineDraining), "the seed pulls from other routers")
	}
}

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(f *fleet) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// simulateFollowers pulls from the seed like the given number of followers, once per second each,
// until the test ends.
func simulateFollowers(f *fleet, seed string, count int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	transport := wire.NewTransport(wire.Identity{Node: "crowd", Incarnation: 1}, listener, func(context.Context, *wire.Envelope) *wire.Envelope { return nil })
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(transport.Close)
	f.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			for i := range count {
				pull := &wire.CopyPull{PeerAddress: fmt.Sprint("127.0.0.2:", i+1)}
				_, _ = transport.Call(ctx, "", seed, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: pull}})
			}
			time.Sleep(time.Second)
		}
	}()
}
