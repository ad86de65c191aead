package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// fleetWithFourEngines starts four runners of one service, a quarter of which may be updated at
// once.
func fleetWithFourEngines(t *testing.T) (*fleet, []*runnerstand.Runner) {
	t.Helper()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var runners []*runnerstand.Runner
	for i := range 4 {
		runners = append(runners, f.runner(fmt.Sprintf("e%d", i), "engines"))
	}
	return f, runners
}

// orderedCount returns the number of runners that have received an order.
func orderedCount(runners []*runnerstand.Runner) (count int) {
	for _, runner := range runners {
		if len(runner.Orders()) > 0 {
			count++
		}
	}
	return count
}

// An order without an answer may be carried out much later, so the updates of other runners
// must not wait for it.
func TestUnansweredOrderDoesNotDelayOtherRunners(t *testing.T) {
	t.Parallel()
	f, runners := fleetWithFourEngines(t)
	runners[0].IgnoreOrders()
	f.servingRouter("r1", nil)
	nameWeights(f, 2)
	for _, runner := range runners[1:] {
		f.g.Eventually(runner.WeightVersion, 4*time.Second, 10*time.Millisecond).Should(Equal(uint64(2)))
	}
	f.g.Expect(runners[0].Orders()).NotTo(BeEmpty(), "the first runner must have been ordered first")
}

// Runners that may load new weights at any moment count as out of service. Half of the runners
// must therefore get no orders until their weights expire and they no longer serve requests.
func TestHalfOfTheRunnersGetNoOrdersBeforeTheirWeightsExpire(t *testing.T) {
	t.Parallel()
	f, runners := fleetWithFourEngines(t)
	for _, runner := range runners {
		runner.IgnoreOrders()
	}
	f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = 5*time.Second, 10*time.Millisecond
	})
	nameWeights(f, 2)
	count := func() int { return orderedCount(runners) }
	f.g.Eventually(count, 3*time.Second, 10*time.Millisecond).Should(Equal(2))
	f.g.Consistently(count, 500*time.Millisecond, 10*time.Millisecond).Should(Equal(2))
	f.g.Eventually(count, 4*time.Second, 10*time.Millisecond).Should(Equal(4))
}
