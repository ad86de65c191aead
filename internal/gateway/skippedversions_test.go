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

// Two versions were named while a router learned nothing. Lists and other routers hold the
// newest version only, so that it never learned of the first, and counted the time of the
// weights before both from the naming of the second. It counts from the first.

const (
	// skippedGap lies between the two namings.
	skippedGap = 3 * time.Second
	// blindAfter is how much longer the router learns nothing.
	blindAfter = 300 * time.Millisecond
)

// The router knows when the second version was named from its own reads of the
// configuration; only the watch of weights is held up, and the history is gone.
func TestOlderWeightsExpireByTheNamingOfASkippedVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	held, store := blockingStore(f, platform.KindWeightVersions)
	held.Store(false)
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.StoreAddress = store })
	time.Sleep(3500 * time.Millisecond) // it has settled
	held.Store(true)
	f.store.Put("leases", "someone", map[string]any{}) // has the watch of weights made anew
	time.Sleep(2 * time.Second)
	named := f.nameTwo()
	f.store.CompactHistory()
	held.Store(false)
	f.expiresInTime(r, named)
}

// As after a freeze: neither store nor other routers reach it, and another router then
// tells when the second version was named.
func TestOlderWeightsExpireByTheNamingOfASkippedVersionThoughTheNextIsTold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	seedAt := loopback.FreeAddress()
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = seedAt, []string{seedAt}
	})
	door, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(door.Close)
	toSeed, toStore := f.pathTo(seedAt), f.pathTo(door.Address)
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = loopback.FreeAddress(), []string{toSeed.Address}
		settings.StoreAddress = toStore.Address
	})
	time.Sleep(3500 * time.Millisecond) // it has settled
	toSeed.SetMode(faultproxy.Blackhole)
	toStore.SetMode(faultproxy.Blackhole)
	time.Sleep(2300 * time.Millisecond) // the seed pushes nothing any more
	named := f.nameTwo()
	toSeed.SetMode(faultproxy.Pass)
	f.expiresInTime(follower, named)
}

func (f *fleet) pathTo(address string) *faultproxy.Proxy {
	path, err := faultproxy.Start(address)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(path.Close)
	return path
}

// nameTwo names two versions and returns when the first was named.
func (f *fleet) nameTwo() time.Time {
	nameWeights(f, 2)
	named := time.Now()
	time.Sleep(skippedGap)
	nameWeights(f, 3)
	time.Sleep(blindAfter)
	return named
}

// expiresInTime checks that the router, which skipped the second version, uses the first
// no longer than allowed since the naming of the second.
func (f *fleet) expiresInTime(r *router, named time.Time) {
	f.g.Eventually(func() time.Time { return r.oldWeightsExpiry(3) }, 4*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	f.g.Expect(r.oldWeightsExpiry(2)).To(BeZero(), "it was to be skipped")
	time.Sleep(time.Second) // others have told what they know
	f.t.Logf("the first version is used until %v after the second was named", r.oldWeightsExpiry(3).Sub(named))
	f.g.Expect(r.oldWeightsExpiry(3)).To(BeTemporally("<=", named.Add(8*time.Second)))
}

// As after a restart between the namings and their deadlines: the router learns of the
// newest version only, and others tell when that was named.
func TestStartedRouterExpiresOlderWeightsByTheNamingOfASkippedVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("e1", "engines")
	nameWeights(f, 1)
	seedAt := loopback.FreeAddress()
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds = seedAt, []string{seedAt}
	})
	time.Sleep(time.Second)
	named := f.nameTwo()
	f.expiresInTime(f.servingRouter("started", f.followerSettings([]string{seedAt})), named)
}
