package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Guards against two routers that order runners at the same time, and against orders with
// tokens below those that runners have seen, when the store is restored during a rollout from a
// backup without the current lease.
func TestOneRouterOrdersRunnersDuringStoreRestores(t *testing.T) {
	t.Parallel()
	const gap = 700 * time.Millisecond
	f := &restorableFleet{fleet: newFleet(t)}
	f.configure(1, defaultRoutes(), validKey)
	for i := range 24 {
		f.engines = append(f.engines, f.engine(fmt.Sprintf("e%d", i+1), 1))
	}
	seeds := []string{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
	for i, address := range seeds {
		f.routers = append(f.routers, f.servingRouter(fmt.Sprintf("r%d", i+1), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds, settings.LeaseGap = address, seeds, gap
		}))
	}
	backup := f.store.Backup()
	for version := uint64(2); version <= 4; version++ {
		nameWeights(f.fleet, version)
		f.g.Eventually(f.orderCount, weightUpdateTimeout, time.Millisecond).Should(BeNumerically(">=", int(version-1)*4))
		f.restore(backup, storeDowntime/8, func() { nameWeights(f.fleet, version) })
	}
	f.awaitWeights(4)

	orders := allOrders(f.engines)
	for i, order := range orders {
		f.g.Expect(order.Status).NotTo(Equal(http.StatusPreconditionFailed), "order %d", i)
		if i == 0 || order.Holder == orders[i-1].Holder {
			continue
		}
		f.g.Expect(order.ReceivedAt.Sub(orders[i-1].ReceivedAt)).To(BeNumerically(">=", gap), "between %s and %s", orders[i-1].Holder, order.Holder)
		f.g.Expect(order.FencingToken).To(BeNumerically(">", orders[i-1].FencingToken))
	}
}

// Guards against a lease that is never acquired again: the backup lacks the lease object that
// routers keep trying to replace.
func TestLeaseLostInStoreRestoreIsAcquiredAgain(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 3, nil)
	backup := f.store.Backup()
	nameWeights(f.fleet, 2)
	f.awaitWeights(2)
	time.Sleep(2 * storeDowntime)
	f.restore(backup, storeDowntime/8, nil)
	namedAt := time.Now()
	nameWeights(f.fleet, 3)
	f.awaitWeights(3)
	f.g.Expect(time.Since(namedAt)).To(BeNumerically("<", 4*time.Second))
}

// Guards against routers that do not share what they know of the store, or lose it, because
// they were suspended or disconnected while the store was restored from a backup.
func TestIsolatedRoutersCatchUpAfterStoreRestore(t *testing.T) {
	t.Parallel()
	f := newRestorableFleet(t, 6, nil)
	backup := f.store.Backup()
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)
	isolated := f.routers[3:]
	f.restore(backup, storeDowntime/4, func() {
		f.rewriteEntries(1)
		f.writeUnrelated(lostWrites + 5)
	})
	for _, r := range isolated {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	isolated[0].clock.suspend(3 * time.Second)
	changedAt := time.Now()
	f.configure(2, routesWith("fresh"), validKey)
	nameWeights(f.fleet, 2)
	f.awaitConfiguration(changedAt, "/fresh/x", "key-two")
	f.awaitWeights(2)
	f.store.Restore(f.store.Backup())
	f.configure(3, routesWith("fresh", "more"), validKey, "key-two")
	for _, r := range f.routers {
		f.g.Eventually(func() int { return r.call("/more/x", withKey("key-two")).status }, applyTimeout, 5*time.Millisecond).Should(Equal(http.StatusOK))
	}
}

// orderCount returns the number of orders that the engines have received.
func (f *restorableFleet) orderCount() (count int) {
	for _, engine := range f.engines {
		count += len(engine.Orders())
	}
	return count
}

// allOrders returns the orders of all engines in order of arrival.
func allOrders(engines []*runnerstand.Runner) (orders []runnerstand.Order) {
	for _, engine := range engines {
		orders = append(orders, engine.Orders()...)
	}
	slices.SortFunc(orders, func(a, b runnerstand.Order) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return orders
}
