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

// Calls made shortly before the end of an outage are never answered, nor are later calls on
// their connections, although the store works again. Later configuration changes must still
// apply within the usual time, also on followers.
func TestConfigChangesApplyInTimeAfterSilentOutage(t *testing.T) {
	t.Parallel()
	const outage, maxDelay = 3300 * time.Millisecond, 2500 * time.Millisecond
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	endpoint, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	proxy, seeds := f.faultProxyTo(endpoint.Address), []string{loopback.FreeAddress()}
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.StoreAddress = seeds[0], seeds, proxy.Address
	})
	follower := f.servingRouter("follower", func(settings *gateway.Settings) {
		f.followerSettings(seeds)(settings)
		settings.StoreAddress = proxy.Address
	})
	proxy.SetMode(faultproxy.Blackhole)
	time.Sleep(outage)
	proxy.SetMode(faultproxy.MuteExisting) // existing connections stay silent, new ones work
	for version := 2; version <= 4; version++ {
		f.configure(version, defaultRoutes(), validKey)
		changedAt := time.Now()
		seed.waitForConfig(version)
		follower.waitForConfig(version)
		f.g.Expect(time.Since(changedAt)).To(BeNumerically("<", maxDelay), "version %d", version)
		time.Sleep(500 * time.Millisecond)
	}
	f.g.Expect(follower.call("/safe/x", nil).status).To(Equal(http.StatusOK))
}

// All routers restart after the deadline of older weights, and have lost all knowledge of it. A
// runner still has these weights because its orders got no answer. The weights must stay
// expired.
func TestExpiredWeightsStayExpiredAfterRestartOfAllRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
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
	runsBefore := len(runner.Runs())
	for range 20 {
		for _, r := range second {
			f.g.Expect(r.call("/stream/x", nil).status).To(Equal(http.StatusServiceUnavailable))
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.g.Expect(runner.Runs()).To(HaveLen(runsBefore))
	f.g.Expect(runner.WeightVersion()).To(Equal(uint64(1)), "no order was carried out")
}
