package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaim measures one granted claim. It also reports the memory used per record.
func BenchmarkClaim(b *testing.B) {
	holder := NewHolder()
	holder.Serve(start, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	i := 0
	for b.Loop() {
		key := fmt.Sprintf("tenant-1/0193a1b2-c3d4-7e5f-8a9b-%012d", i)
		if holder.Claim(start.Add(time.Second), 1, key, start.Add(time.Second), "router-1/1700000000000/cmpl-0193a1b2-c3d4-7e5f-8a9b-0123456789ab") == Full {
			holder = NewHolder()
			holder.Serve(start, 1)
		}
		i++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(holder.Len(), 1)), "B/record")
}
