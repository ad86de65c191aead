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

// Requests began on weights that had been replaced for too long, and reached runners
// that had said that they leave. Routers knew neither: the watches of runners and weights
// wait 12 s, and one that had lost its connection, or its answer, was waited for to the
// end while the store answered new calls. Only the configuration was proved. The tests
// below had the news 12 s late, or not at all within their time.

// newsBound is within which a change is known however the watches were lost: routers are
// held to it 3 s after such a loss.
const newsBound = 2500 * time.Millisecond

// latestNews are the lines that show what a router knows.
const (
	lineDraining = `"draining":true`
	lineNamed    = `"msg":"weights named"`
)

// changeBoth has a runner leave and newer weights named.
func (f *fleet) changeBoth() {
	entry := map[string]any{"service": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, "state": "draining", "cold_remaining_ms": 0, "seq": 2}
	f.store.Put(platform.KindServers, "p1", entry)
	name(f, 2)
}

func TestNewsArrivesThoughAllConnectionsToTheStoreFellSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	door, err := f.store.Open()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(door.Close)
	path, err := faultproxy.Start(door.Address)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(path.Close)
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.StoreAddress = path.Address })
	for range 3 {
		time.Sleep(time.Second)
		path.Set(faultproxy.Mute)
	}
	f.changeBoth()
	f.g.Eventually(r.log.String, newsBound, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineNamed)))
}

// The watch of the configuration goes on, and what it tells of the store's revision shows
// that another watch is behind. Routers that ask this one learn of it too.
func TestNewsArrivesThoughOneWatchFellSilent(t *testing.T) {
	for _, kind := range []string{platform.KindServers, platform.KindVersions} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), goodKey)
			f.runner("p1", "plain")
			addresses := []string{loopback.FreeAddress()}
			seed := f.servingRouter("seed", func(settings *gateway.Settings) {
				settings.PeerAddress, settings.Seeds = addresses[0], addresses
			})
			follower := f.servingRouter("follower", f.asFollower(addresses))
			time.Sleep(300 * time.Millisecond)
			seed.storeEndpoint.LoseWatches(kind)
			f.changeBoth()
			for _, r := range []*router{seed, follower} {
				f.g.Eventually(r.log.String, newsBound, 10*time.Millisecond).Should(And(ContainSubstring(lineDraining), ContainSubstring(lineNamed)))
			}
			f.g.Expect(follower.storeEndpoint.Calls()).To(BeZero())
		})
	}
}

// A router that learned late of newer weights counted the time of older ones from then,
// not from when the newer ones were named. What it knew last bounds when that was.
func TestOlderWeightsExpireByWhenNewerOnesMayHaveBeenNamed(t *testing.T) {
	const deadline = 4 * time.Second
	late := func(t *testing.T, silence time.Duration, start func(*fleet) *router) {
		t.Parallel()
		f := newFleet(t)
		f.configure(1, defaultRoutes(), goodKey)
		runner := f.runner("e1", "engines")
		r := start(f)
		r.storeEndpoint.Set(storestand.Silent)
		name(f, 2)
		named := time.Now()
		time.Sleep(silence)
		r.storeEndpoint.Set(storestand.Loses) // nobody can order the runner
		f.g.Eventually(r.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineNamed))
		time.Sleep(time.Until(named.Add(deadline)))
		ran := len(runner.Runs())
		for time.Since(named) < deadline+silence {
			f.g.Expect(r.call("/stream/x", nil).status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(20 * time.Millisecond)
		}
		f.g.Expect(runner.Runs()).To(HaveLen(ran))
	}
	brief := func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = deadline, 10*time.Millisecond
	}
	t.Run("running", func(t *testing.T) {
		late(t, 1500*time.Millisecond, func(f *fleet) *router { return f.servingRouter("r1", brief) })
	})
	t.Run("started", func(t *testing.T) {
		late(t, 2*time.Second, func(f *fleet) *router { return f.routerWithStoreFault("r1", brief, storestand.Silent) })
	})
}

// A store may answer from the past, as a replica that is behind does. Answers below a
// revision that the router knew of before its call proved its copies and bounded the naming
// of weights: the time of older ones counted from the last such answer.
func TestAnswersFromThePastProveAndBoundNothing(t *testing.T) {
	t.Parallel()
	const deadline, behind = 6 * time.Second, 2500 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	past := f.store.Put(platform.KindVersions, modelName, map[string]any{"model": modelName, "version": 1})
	figuresAt := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime, settings.MetricsAddress = deadline, 10*time.Millisecond, figuresAt
	})
	time.Sleep(time.Second)
	r.storeEndpoint.AnswerAt(past, platform.KindConfig, platform.KindVersions)
	f.changeBoth()
	named := time.Now()
	r.waitForLog(lineDraining)
	time.Sleep(time.Until(named.Add(behind)))
	f.g.Expect(f.statusOf(figuresAt).ProofAgeMillis).To(BeNumerically(">", (behind - time.Second).Milliseconds()))
	calls := r.storeEndpoint.Calls()
	r.storeEndpoint.CatchUp()
	f.g.Expect(calls).To(BeNumerically("<", 40), "the store is asked with pauses")
	f.g.Eventually(r.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(`"version":2`))
	f.g.Expect(r.olderUntil(2)).To(BeTemporally("<", named.Add(deadline)))
	f.g.Eventually(func() int64 { return f.statusOf(figuresAt).ProofAgeMillis }, 2*time.Second, 10*time.Millisecond).Should(BeNumerically("<", 1000))
}

// Seeds whose calls on runners are not answered, while those on the configuration are,
// proved the configuration of routers that could read the store themselves: these trusted
// copies of runners that were 2.2 s old, and sent to runners that had left for 2 s. Where
// many routers ask a seed they do so each 0.45 s, and another seed may be silent.
func TestRoutersDoNotWaitForSeedsThatHearNothingOfRunners(t *testing.T) {
	t.Run("few routers", func(t *testing.T) { testSeedThatHearsNothingOfRunners(t, 0) })
	t.Run("many routers", func(t *testing.T) { testSeedThatHearsNothingOfRunners(t, 70) })
}

func testSeedThatHearsNothingOfRunners(t *testing.T, crowd int) {
	const bound = 1750 * time.Millisecond // of the 2 s that leaving runners count
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	held, store := holdingStore(f, platform.KindServers)
	held.Store(false)
	seedAt, silentAt, figuresAt := loopback.FreeAddress(), silentAddress(f), loopback.FreeAddress()
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.StoreAddress = seedAt, []string{seedAt}, store
		settings.MetricsAddress, settings.DirectFollowers = figuresAt, 1000
	})
	askAsMany(f, seedAt, crowd)
	follower := f.servingRouter("follower", f.asFollower([]string{seedAt, silentAt}))
	time.Sleep(1500 * time.Millisecond)
	held.Store(true)
	f.runner("p2", "plain") // ends the watch that waits
	follower.waitForLog(`"runner":"p2"`)
	time.Sleep(500 * time.Millisecond)
	// Right after all copies were proved.
	f.g.Eventually(func() int64 { return f.statusOf(figuresAt).ProofAgeMillis }, 2*time.Second, time.Millisecond).Should(BeNumerically("<", 20))
	f.changeBoth()
	left := time.Now()
	f.g.Eventually(follower.log.String, 4*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineDraining))
	f.g.Expect(time.Since(left)).To(BeNumerically("<", bound))
	if crowd == 0 { // made-up routers know nothing
		f.g.Eventually(seed.log.String, 2*time.Second, 5*time.Millisecond).Should(ContainSubstring(lineDraining), "it asks others")
	}
}

// silentAddress returns an address that takes connections and says nothing.
func silentAddress(f *fleet) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// askAsMany asks the seed as so many routers would until the test ends.
func askAsMany(f *fleet, seed string, count int) {
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
