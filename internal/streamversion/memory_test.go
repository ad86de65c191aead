package streamversion

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// maxTableBytes is half of the memory that a router has.
const maxTableBytes = 32 << 20

// Guards against records that take the memory of a router when all streams of the target's routers have one.
func TestFullTableFitsIntoMemory(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 18
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := NewTable(limit), start
	for i := range 2 * limit {
		now = now.Add(time.Second / 20000)
		table.Add(now, Record{Key: NewKey("tenant", fmt.Sprint(i)), Origin: Origin{"engines", fmt.Sprint("v", i%2)}, Expires: now.Add(15 * time.Second)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d records, %d dropped, %.1f MB", table.Len(), table.Dropped(), float64(used)/(1<<20))
	g.Expect(table.Len()).To(Equal(limit))
	g.Expect(used).To(BeNumerically("<", maxTableBytes))
	runtime.KeepAlive(table)
}
