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

// learnedTime is within which a started router knows what the others know, as of a change.
const learnedTime = inForceTime

// forgetful is a fleet of two seeds and a follower whose store came back from a copy that lacks
// a configuration, weights and the only plain runner, none of which is written again.
type forgetful struct {
	*restorable
	seeds []string
}

func newForgetful(t *testing.T) *forgetful {
	f := &forgetful{seeds: []string{loopback.FreeAddress(), loopback.FreeAddress()}}
	count := 0
	f.restorable = newRestorable(t, 3, func(settings *gateway.Settings) {
		settings.Seeds = f.seeds
		if count < len(f.seeds) {
			settings.PeerAddress = f.seeds[count]
		}
		count++
	})
	f.plain.Close()
	f.store.Remove(platform.KindServers, f.plain.ID)
	kept := f.store.Copy()
	f.runner("joined", "plain")
	f.configure(2, added("fresh"), goodKey)
	name(f.fleet, 2)
	f.haveWeights(2)
	f.inForce(time.Now(), "/fresh/x", "key-two")
	time.Sleep(seenTime)
	f.restore(kept, storeAway/4, nil)
	f.inNewEra()
	return f
}

// start starts a router at the address, with a store that is well.
func (f *forgetful) start(address string, seeds []string) *router {
	return f.routerWithStoreFault("again", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, seeds }, storestand.Healthy)
}

// learns waits until the router knows what the copy lacks.
func (f *forgetful) learns(r *router) {
	f.t.Helper()
	f.g.Eventually(func() int { return r.call("/fresh/x", nil).status }, learnedTime, 5*time.Millisecond).Should(Equal(http.StatusOK), "the route and the runner that were added")
	f.g.Expect(r.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized), "the key that was taken away")
	f.g.Eventually(r.log.String, learnedTime, 5*time.Millisecond).Should(MatchRegexp(`"event":840.*"version":2`), "weights")
}

// Guards against a router that goes by the copy, as it starts before the operator and the runners
// have written again what the store lost: it served a key that had been taken away.
func TestRouterThatStartsInANewEraLearnsWhatOthersKnow(t *testing.T) {
	for name, started := range map[string]int{"a seed": 0, "a follower": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newForgetful(t)
			f.routers[started].Kill()
			address := loopback.FreeAddress()
			if started < len(f.seeds) {
				address = f.seeds[started]
			}
			again := f.start(address, f.seeds)
			for begun := time.Now(); time.Since(begun) < learnedTime/4; {
				f.g.Expect(again.call("/safe/x", withKey("key-two")).status).NotTo(Equal(http.StatusOK))
			}
			f.learns(again)
		})
	}
}

// Guards against a router that goes by the copy for good though the others, which were silent when
// it started, answer soon after.
func TestRouterThatStartsInANewEraLearnsFromSeedsThatAnswerLate(t *testing.T) {
	t.Parallel()
	f := newForgetful(t)
	var proxies []*faultproxy.Proxy
	var seeds []string
	for _, seed := range f.seeds {
		proxy := f.proxyTo(seed)
		proxy.Set(faultproxy.Reset)
		proxies, seeds = append(proxies, proxy), append(seeds, proxy.Address)
	}
	again := f.start(loopback.FreeAddress(), seeds)
	f.g.Eventually(again.isReady, learnedTime, 5*time.Millisecond).Should(BeTrue(), "it serves by what the store has")
	for _, proxy := range proxies {
		proxy.Set(faultproxy.Pass)
	}
	f.learns(again)
}

// Guards against seeds that start together, take each other's copies of the store's list for what
// all know, and go by them.
func TestSeedsThatStartTogetherInANewEraLearnFromTheirFollower(t *testing.T) {
	t.Parallel()
	f := newForgetful(t)
	var again []*router
	for i := range f.seeds {
		f.routers[i].Kill()
	}
	for _, seed := range f.seeds {
		again = append(again, f.start(seed, f.seeds))
	}
	for _, r := range again {
		f.learns(r)
	}
}

// Guards against questions of a state transfer that keep a silent connection between routers open for
// as long as a whole copy may take: a follower knew nothing new for 2 s and more.
func TestStateTransferDoesNotHoldTheLossOfAConnectionUp(t *testing.T) {
	t.Parallel()
	f := &restorable{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), goodKey)
	f.plain = f.runner("p1", "plain")
	f.store.Restore(f.store.Copy())
	seed := loopback.FreeAddress()
	proxy := f.proxyTo(seed)
	// Nobody knows more than the store, so that both ask for a transfer for as long as they may.
	f.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seed, []string{seed} })
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), []string{proxy.Address}
	})
	time.Sleep(2 * seenTime)
	found := func() int { return strings.Count(follower.log.String(), `"store":false`) }
	for range 4 {
		before := found()
		proxy.Set(faultproxy.Mute)
		proxy.Set(faultproxy.Pass)
		f.g.Eventually(found, seenTime, 5*time.Millisecond).Should(BeNumerically(">", before), "its seed is found again")
	}
}
