package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against runners that keep outdated weights because the leader has lost its links to them, holds
// the lease on, and no other router may give the orders.
func TestPartitionedLeaderLeavesLeaseToOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var runners []*runnerstand.Runner
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		runners = append(runners, f.runner(id, "engines"))
	}
	seeds := []string{loopback.FreeAddress(), loopback.FreeAddress()}
	var routers []*router
	for i, address := range seeds {
		f.links = newRunnerLinks(f)
		routers = append(routers, f.servingRouter([]string{"a", "b"}[i], func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds, settings.LeaseGap = address, seeds, time.Second
		}))
	}
	runners[0].IgnoreOrders()
	nameWeights(f, 2)
	var leader *router
	f.g.Eventually(func() bool {
		for _, r := range routers {
			if r.Status().LeaseToken > 0 {
				leader = r
			}
		}
		return leader != nil
	}, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
	leader.links.set(linksReset)
	go callRepeatedly([]*router{leader}, 50*time.Millisecond, 8*time.Second)
	nameWeights(f, 3)
	f.g.Eventually(func() []uint64 {
		var versions []uint64
		for _, runner := range runners[1:] {
			versions = append(versions, runner.WeightVersion())
		}
		return versions
	}, 7*time.Second, 20*time.Millisecond).Should(HaveEach(uint64(3)))
}
