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
	const limit = 1 << 18
	t.Run("anonymous callers", func(t *testing.T) {
		expectTableFits(t, limit, func(id string) Record { return Record{Key: NewKey("tenant", id)} })
	})
	t.Run("callers with credentials", func(t *testing.T) {
		expectTableFits(t, 2*limit, func(id string) (record Record) {
			record.Key, record.Alias = Caller{Tenant: "tenant", Credential: "credential"}.RecordKeys(id)
			return record
		})
	})
}

// expectTableFits fills a table with twice as many records as it has room for.
func expectTableFits(t *testing.T, limit int, newRecord func(id string) Record) {
	g := NewWithT(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := NewTable(limit), start
	for i := 0; table.Dropped() < uint64(limit); i++ {
		now = now.Add(time.Second / 20000)
		record := newRecord(fmt.Sprint(i))
		record.Origin, record.Expires = Origin{"engines", fmt.Sprint("v", i%2)}, now.Add(15*time.Second)
		table.Add(now, record)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d keys, %d dropped, %.1f MB", table.Len(), table.Dropped(), float64(used)/(1<<20))
	g.Expect(table.Len()).To(Equal(limit))
	g.Expect(used).To(BeNumerically("<", maxTableBytes))
	runtime.KeepAlive(table)
}
