package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
)

// Calls that are made in the last moments of an outage get no answer, and neither does any
// later one on their connections, though the store works again. Configurations that change
// after it are in force as soon as ever, also at routers that ask others.
func TestConfigurationsAfterASilentOutageAreInForceInTime(t *testing.T) {
	t.Parallel()
	const outage, inForce = 3300 * time.Millisecond, 2500 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	door, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(door.Close)
	path, seedAt := f.pathTo(door.Address), []string{loopback.FreeAddress()}
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.StoreAddress = seedAt[0], seedAt, path.Address
	})
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		f.followerSettings(seedAt)(settings)
		settings.StoreAddress = path.Address
	})
	path.SetMode(faultproxy.Blackhole)
	time.Sleep(outage)
	path.SetMode(faultproxy.MuteExisting) // what was opened until now says nothing more; new connections work
	for version := 2; version <= 4; version++ {
		f.configure(version, defaultRoutes(), goodKey)
		changed := time.Now()
		seed.settled(version)
		follower.settled(version)
		f.g.Expect(time.Since(changed)).To(BeNumerically("<", inForce), "version %d", version)
		time.Sleep(500 * time.Millisecond)
	}
	f.g.Expect(follower.call("/safe/x", nil).status).To(Equal(http.StatusOK))
}

// All routers are started anew after the time of older weights is over, and know nothing of
// it; a runner still has them, as its orders get no answer. Its weights stay expired.
func TestRestartOfAllRoutersRevivesNoExpiredWeights(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.engine("e1", 1)
	runner.IgnoreOrders()
	seeds := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	start := func(incarnation string) (started []*router) {
		for i, address := range seeds {
			started = append(started, f.servingRouter(incarnation+[]string{"-a", "-b"}[i], func(settings *gateway.Settings) {
				settings.PeerAddress, settings.Seeds = address, seeds
				settings.WeightDeadline, settings.SettleTime = shortWeightDeadline, shortSettleTime
			}))
		}
		return started
	}
	first := start("first")
	f.g.Expect(first[0].call("/stream/x", nil).status).To(Equal(http.StatusOK))
	nameWeights(f, 2)
	f.g.Eventually(func() int { return first[1].call("/stream/x", nil).status }, 3*time.Second, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	for _, r := range first {
		r.Kill()
	}
	second := start("second")
	time.Sleep(shortSettleTime)
	ran := len(runner.Runs())
	for range 20 {
		for _, r := range second {
			f.g.Expect(r.call("/stream/x", nil).status).To(Equal(http.StatusServiceUnavailable))
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.g.Expect(runner.Runs()).To(HaveLen(ran))
	f.g.Expect(runner.WeightVersion()).To(Equal(uint64(1)), "nobody could order it")
}
