package backend

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// processorTime returns the processor time of this process, which other processes hardly change.
func processorTime(g *WithT) time.Duration {
	var usage syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a table whose cost to fill grows with the square of the number of runners.
func TestCostOfAddingRunnersIsNearlyLinear(t *testing.T) {
	g := NewWithT(t)
	fill := func(count int) time.Duration {
		fastest := time.Hour
		for range 5 {
			set, started := NewSet("z"), processorTime(g)
			for i := range count {
				set.Put(Runner{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "s", Slots: 16})
			}
			fastest = min(fastest, processorTime(g)-started)
		}
		return fastest
	}
	small, large := fill(2_000), fill(16_000)
	t.Logf("2,000 runners in %v, 16,000 in %v", small, large)
	g.Expect(large).To(BeNumerically("<", 32*small), "eight times the runners; the square would be 64 times")
}
