package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Guards against state whose age is underestimated after the machine was suspended for seconds. The
// monotonic clock stops during a suspension, and a review found that 165 places of the router read
// the time from that clock and none from another. As a result, revoked keys were accepted on the
// basis of an outdated proof, on the suspended router and on those that learned from it; older
// weights were used beyond their deadline by the duration of the suspension; and a lease holder
// sent orders when another router could already hold the lease.

// suspension is longer than the validity of a proof, the lease and the deadlines in these
// tests.
const suspension = 6 * time.Second

func TestSuspendedRouterRejectsRevokedKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	r.storeEndpoint.SetFault(storestand.Hangs)
	f.configure(2, defaultRoutes(), "another key")
	r.clock.suspend(suspension)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(r.isReady()).To(BeFalse())
	f.g.Expect(runner.Runs()).To(HaveLen(1))
}

// The sources were suspended, and the follower was not.
func TestProofFromSuspendedRouterIsOutdated(t *testing.T) {
	t.Parallel()
	f, seeds, _ := newSeededFleet(t)
	for _, seed := range seeds {
		seed.storeEndpoint.SetFault(storestand.Hangs)
	}
	f.configure(2, defaultRoutes(), "another key")
	for _, seed := range seeds {
		seed.clock.suspend(suspension)
	}
	follower := f.routerWithStoreFault("started since", f.followerSettings(seeds[0].seeds), storestand.Hangs)
	// 503 while nothing proves a configuration, 401 once the third router has read the store.
	f.g.Consistently(func() int { return follower.call("/safe/x", nil).status }, time.Second, 50*time.Millisecond).Should(Or(Equal(http.StatusServiceUnavailable), Equal(http.StatusUnauthorized)))
}

func TestSuspendedRouterUsesNoExpiredWeights(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("e1", "engines")
	runner.IgnoreOrders()
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = suspension, 10*time.Millisecond
	})
	nameWeights(f, 2)
	r.waitForLog("weights named")
	f.g.Expect(r.call("/once/x", nil).status).To(Equal(http.StatusOK))
	r.clock.suspend(suspension)
	f.g.Eventually(func() int { return r.call("/once/x", nil).status }, time.Second, 50*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(r.call("/once/x", nil).status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(runner.Runs()).To(HaveLen(1), "no request began on expired weights")
}

func TestSuspendedLeaseHolderSendsNoOrders(t *testing.T) {
	t.Parallel()
	f, runners := fleetWithFourEngines(t)
	for _, runner := range runners {
		runner.SetReportDelay(100 * time.Millisecond)
	}
	r := f.servingRouter("r1", nil)
	nameWeights(f, 2)
	f.g.Eventually(func() int { return orderedCount(runners) }, 4*time.Second, time.Millisecond).Should(Equal(1))
	// The router can neither renew the lease nor learn that another router holds it.
	r.storeEndpoint.SetFault(storestand.Busy)
	r.clock.suspend(suspension)
	f.g.Consistently(func() int { return orderedCount(runners) }, 1500*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
}
