package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// engines starts four runners of one service: of these a quarter is updated at once.
func engines(t *testing.T) (*fleet, []*runnerstand.Runner) {
	t.Helper()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	var runners []*runnerstand.Runner
	for i := range 4 {
		runners = append(runners, f.runner(fmt.Sprintf("e%d", i), "engines"))
	}
	return f, runners
}

// ordered counts the runners that were given an order.
func ordered(runners []*runnerstand.Runner) (count int) {
	for _, runner := range runners {
		if len(runner.Orders()) > 0 {
			count++
		}
	}
	return count
}

// An order without an answer may be carried out much later, so the others do not wait
// for it.
func TestUnansweredOrderHoldsNobodyUp(t *testing.T) {
	t.Parallel()
	f, runners := engines(t)
	runners[0].IgnoreOrders()
	f.servingRouter("r1", nil)
	nameWeights(f, 2)
	for _, runner := range runners[1:] {
		f.g.Eventually(runner.WeightVersion, 4*time.Second, 10*time.Millisecond).Should(Equal(uint64(2)))
	}
	f.g.Expect(runners[0].Orders()).NotTo(BeEmpty(), "it was the first to be ordered")
}

// Runners that may take new weights at any moment are as good as out of use, so half of
// them are left alone until their weights expire: from then on they serve nobody.
func TestHalfOfTheRunnersAreSparedUntilTheirWeightsExpire(t *testing.T) {
	t.Parallel()
	f, runners := engines(t)
	for _, runner := range runners {
		runner.IgnoreOrders()
	}
	f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = 5*time.Second, 10*time.Millisecond
	})
	nameWeights(f, 2)
	count := func() int { return ordered(runners) }
	f.g.Eventually(count, 3*time.Second, 10*time.Millisecond).Should(Equal(2))
	f.g.Consistently(count, 500*time.Millisecond, 10*time.Millisecond).Should(Equal(2))
	f.g.Eventually(count, 4*time.Second, 10*time.Millisecond).Should(Equal(4))
}
