package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// A machine was suspended for seconds. The steady clock stands still meanwhile, and all that
// the router held for a time went on as if none had passed: found by reading, 165 places read
// the time by that clock and none by another. Keys that were taken away were served by a
// proof that looked young, at the router that had been suspended and at those that learned
// from it; older weights were used beyond their deadline by as much as the suspension had
// taken; and a holder of the lease gave orders when another one might have had it.

// suspension is longer than a proof, a lease and the deadlines of these tests.
const suspension = 6 * time.Second

func TestRouterThatWasSuspendedServesNoKeyThatWasTakenAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	r.door.SetFault(storestand.Hangs)
	f.configure(2, defaultRoutes(), "another key")
	r.clock.suspend(suspension)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(r.isReady()).To(BeFalse())
	f.g.Expect(runner.Runs()).To(HaveLen(1))
}

// The routers that others learn from were suspended, and the other was not.
func TestProofOfARouterThatWasSuspendedIsOldElsewhere(t *testing.T) {
	t.Parallel()
	f, seeds, _ := newSeededFleet(t)
	for _, seed := range seeds {
		seed.door.SetFault(storestand.Hangs)
	}
	f.configure(2, defaultRoutes(), "another key")
	for _, seed := range seeds {
		seed.clock.suspend(suspension)
	}
	follower := f.routerAt("started since", f.followerSettings(seeds[0].seeds), storestand.Hangs)
	// 503 while nothing proves a configuration, 401 once the third router has read the store.
	f.g.Consistently(func() int { return follower.call("/safe/x", nil).status }, time.Second, 50*time.Millisecond).Should(Or(Equal(http.StatusServiceUnavailable), Equal(http.StatusUnauthorized)))
}

func TestRouterThatWasSuspendedUsesNoExpiredWeights(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("e1", "engines")
	runner.IgnoreOrders()
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = suspension, 10*time.Millisecond
	})
	nameWeights(f, 2)
	r.logs("weights named")
	f.g.Expect(r.call("/once/x", nil).status).To(Equal(http.StatusOK))
	r.clock.suspend(suspension)
	f.g.Eventually(func() int { return r.call("/once/x", nil).status }, time.Second, 50*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(r.call("/once/x", nil).status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(runner.Runs()).To(HaveLen(1), "none began on older weights")
}

func TestHolderThatWasSuspendedGivesNoOrder(t *testing.T) {
	t.Parallel()
	f, runners := engines(t)
	for _, runner := range runners {
		runner.SetReportDelay(100 * time.Millisecond)
	}
	r := f.servingRouter("r1", nil)
	nameWeights(f, 2)
	f.g.Eventually(func() int { return ordered(runners) }, 4*time.Second, time.Millisecond).Should(Equal(1))
	// It cannot renew the lease, nor learn that another router has it.
	r.door.SetFault(storestand.Busy)
	r.clock.suspend(suspension)
	f.g.Consistently(func() int { return ordered(runners) }, 1500*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
}
