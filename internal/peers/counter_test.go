package peers_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/peers"
)

func TestTotalAddsReportsOfAllSeeds(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	counter := peers.NewRouterCounter()
	g.Expect(counter.Total(now, 3, 4)).To(Equal(12), "without any reports")
	counter.Report(now, "s2", 1)
	counter.Report(now, "s3", 2)
	g.Expect(counter.Total(now, 3, 4)).To(Equal(7))
	counter.Report(now, "s2", 3)
	g.Expect(counter.Total(now, 3, 4)).To(Equal(9), "the latest report counts")
	counter.Report(now, "s2", 0)
	g.Expect(counter.Total(now, 3, 4)).To(Equal(9), "a seed of an earlier version reports no number")
}

func TestTotalAssumesOwnCountForSilentSeeds(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	counter := peers.NewRouterCounter()
	counter.Report(now, "s2", 1)
	now = now.Add(3 * time.Second)
	counter.Report(now, "s3", 1)
	g.Expect(counter.Total(now, 3, 4)).To(Equal(4 + 1 + 4))
}

func TestTotalIncludesReportsOfReplacedSeeds(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	counter := peers.NewRouterCounter()
	for _, seed := range []string{"s2", "s3", "s4"} {
		counter.Report(now, seed, 2)
	}
	g.Expect(counter.Total(now, 3, 4)).To(Equal(10), "there are more reports than seeds in the settings")
}
