package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// A choice of a runner waits for the shares of as many tenants as a scheduler may know,
// measured anew each time here and once in levelTime in use.
func BenchmarkExcessOfManyTenants(b *testing.B) {
	for _, tenants := range []int{16, 74, 22000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			tracker := New(Config{})
			for i := range tenants {
				tracker.Charge(start, shared, fmt.Sprint(i), float64(1000*i))
				tracker.Refuse(start, shared, fmt.Sprint(i), 1000)
			}
			b.ReportAllocs()
			for i := range b.N {
				tracker.Excess(start.Add(time.Duration(i)*levelTime), shared, "1")
			}
		})
	}
}
