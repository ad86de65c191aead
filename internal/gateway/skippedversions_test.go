package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/platform"
)

// Guards against older weights that are used for too long. Two versions are named while a router
// receives no changes. Lists and other routers contain only the newest version, so the router never
// learns of the first one. It used to count the deadline of the weights before both from the naming
// of the second version. It must count from the naming of the first one.

const (
	// namingInterval is the time between the two namings.
	namingInterval = 3 * time.Second
	// extraIsolation is how much longer the router receives no changes.
	extraIsolation = 300 * time.Millisecond
)

// The router can tell when the second version was named from its own reads of the
// configuration. Only the watch of weights is stalled, and the history is gone.
func TestOlderWeightsExpireAfterSkippedVersionDespiteStalledWatch(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	stalled, store := blockingStore(f, platform.KindWeightVersions)
	stalled.Store(false)
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.StoreAddress = store })
	time.Sleep(3500 * time.Millisecond) // longer than the settle time
	stalled.Store(true)
	f.store.Put("leases", "someone", map[string]any{}) // makes the router renew the watch of weights
	time.Sleep(2 * time.Second)
	namedAt := f.nameTwoVersions()
	f.store.CompactHistory()
	stalled.Store(false)
	f.expectOlderWeightsExpireInTime(r, namedAt)
}

// The router reaches neither the store nor other routers, as after a freeze. Another router
// then reports when the second version was named.
func TestOlderWeightsExpireAfterSkippedVersionOnIsolatedRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	seedAddress := loopback.FreeAddress()
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = seedAddress, []string{seedAddress}
	})
	endpoint, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	seedProxy, storeProxy := f.faultProxyTo(seedAddress), f.faultProxyTo(endpoint.Address)
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), []string{seedProxy.Address}
		settings.StoreAddress = storeProxy.Address
	})
	time.Sleep(3500 * time.Millisecond) // longer than the settle time
	seedProxy.SetMode(faultproxy.Blackhole)
	storeProxy.SetMode(faultproxy.Blackhole)
	time.Sleep(2300 * time.Millisecond) // until the seed stops pushing changes
	namedAt := f.nameTwoVersions()
	seedProxy.SetMode(faultproxy.Pass)
	f.expectOlderWeightsExpireInTime(follower, namedAt)
}

func (f *fleet) faultProxyTo(address string) *faultproxy.Proxy {
	proxy, err := faultproxy.Start(address)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(proxy.Close)
	return proxy
}

// nameTwoVersions names versions 2 and 3 and returns when version 2 was named.
func (f *fleet) nameTwoVersions() time.Time {
	nameWeights(f, 2)
	secondNamedAt := time.Now()
	time.Sleep(namingInterval)
	nameWeights(f, 3)
	time.Sleep(extraIsolation)
	return secondNamedAt
}

// expectOlderWeightsExpireInTime checks that the router, which skipped version 2, uses version 1 no
// longer than the deadline after the naming of version 2.
func (f *fleet) expectOlderWeightsExpireInTime(r *router, secondNamedAt time.Time) {
	f.g.Eventually(func() time.Time { return r.oldWeightsExpiry(3) }, 4*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	f.g.Expect(r.oldWeightsExpiry(2)).To(BeZero(), "the router must not learn of version 2")
	time.Sleep(time.Second) // until other routers have reported their bounds
	f.t.Logf("version 1 is used until %v after version 2 was named", r.oldWeightsExpiry(3).Sub(secondNamedAt))
	f.g.Expect(r.oldWeightsExpiry(3)).To(BeTemporally("<=", secondNamedAt.Add(8*time.Second)))
}

// The router starts between the namings and their deadlines. It learns only of the newest
// version, and other routers report when that was named.
func TestOlderWeightsExpireAfterSkippedVersionOnNewRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	seedAddress := loopback.FreeAddress()
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = seedAddress, []string{seedAddress}
	})
	time.Sleep(time.Second)
	namedAt := f.nameTwoVersions()
	f.expectOlderWeightsExpireInTime(f.servingRouter("started", f.followerSettings([]string{seedAddress})), namedAt)
}
