package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a table whose cost to fill grows with the square of the number of runners.
func TestCostOfAddingRunnersIsNearlyLinear(t *testing.T) {
	g := NewWithT(t)
	fill := func(count int) time.Duration {
		fastest := time.Hour
		for range 3 {
			set, started := NewSet("z"), time.Now()
			for i := range count {
				set.Put(Runner{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "s", Slots: 16})
			}
			fastest = min(fastest, time.Since(started))
		}
		return fastest
	}
	small, large := fill(2_000), fill(16_000)
	t.Logf("2,000 runners in %v, 16,000 in %v", small, large)
	g.Expect(large).To(BeNumerically("<", 32*small), "eight times the runners; the square would be 64 times")
}
