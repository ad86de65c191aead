package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

// The lease of a silent holder becomes available a fixed time after its last renewal. A router
// that read the lease long before this renewal must learn of it soon.
func TestSilentLeaseHolderIsReplacedSoonAfterLastRenewal(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("e1", "engines")
	runner.IgnoreOrders()
	gap := func(settings *gateway.Settings) { settings.LeaseGap = 3 * time.Second }
	routers := map[string]*router{"r1": f.servingRouter("r1", gap), "r2": f.servingRouter("r2", gap)}
	nameWeights(f, 2)
	f.g.Eventually(runner.Orders, 3*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
	first := runner.Orders()[0].Holder
	time.Sleep(800 * time.Millisecond)
	routers[first].Kill()
	// The sum of the lease duration of 1 s, 3.25 s between the orders of two holders, and a
	// read of the lease each second.
	f.g.Eventually(func() bool {
		orders := runner.Orders()
		return orders[len(orders)-1].Holder != first
	}, 6500*time.Millisecond, 10*time.Millisecond).Should(BeTrue())
}
