package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkExcessOfManyTenants measures Excess with as many tenants as a scheduler may know. Each
// call recomputes the shares, which happens once per measureInterval in production.
func BenchmarkExcessOfManyTenants(b *testing.B) {
	for _, tenantCount := range []int{16, 74, 22000} {
		b.Run(fmt.Sprint(tenantCount), func(b *testing.B) {
			tracker := New(Config{})
			for i := range tenantCount {
				tracker.Charge(startTime, testPool, fmt.Sprint(i), float64(1000*i))
				tracker.RecordRefusal(startTime, testPool, fmt.Sprint(i), 1000)
			}
			b.ReportAllocs()
			for i := range b.N {
				tracker.Excess(startTime.Add(time.Duration(i)*measureInterval), testPool, "1")
			}
		})
	}
}
