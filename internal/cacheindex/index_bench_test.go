package cacheindex

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// newBenchShard returns a shard with chains of the given length, each held by three of the
// runners.
func newBenchShard(chains, length, runners int) *Shard {
	shard := NewShard(time.Minute)
	for i := range chains {
		for copies := range 3 {
			holder := Holder{Runner: fmt.Sprintf("runner-%d", (i+copies*7)%runners), Incarnation: 1}
			for depth := range length {
				shard.Add(holder, blockHash(i, depth))
			}
		}
	}
	return shard
}

func blockHash(chain, depth int) uint64 { return uint64(chain)<<20 | uint64(depth) | 1<<60 }

func BenchmarkLookup(b *testing.B) {
	shard := newBenchShard(2000, 16, 833)
	anchors := make([]prefix.Anchor, 16)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		for depth := range anchors {
			anchors[depth] = prefix.Anchor{Hash: blockHash(i%2000, depth), Depth: depth + 1}
		}
		if len(shard.Lookup(anchors)) != 3 {
			b.Fatal("a holder is missing")
		}
		i++
	}
}

// BenchmarkUpdate measures the caching of one block and the eviction of another.
func BenchmarkUpdate(b *testing.B) {
	shard := newBenchShard(2000, 16, 833)
	holder := Holder{Runner: "runner-1", Incarnation: 1}
	i := 0
	for b.Loop() {
		shard.Add(holder, blockHash(100000+i, 0))
		if i > 1000 {
			shard.Remove(holder, blockHash(100000+i-1000, 0))
		}
		i++
	}
}

// BenchmarkEntryBytes reports the memory used by one entry, a block on one runner.
func BenchmarkEntryBytes(b *testing.B) {
	const blocks = 200000
	for b.Loop() {
		before := heapBytes()
		shard := NewShard(time.Minute)
		holder := Holder{Runner: "runner-1", Incarnation: 1}
		for i := range blocks {
			shard.Add(holder, uint64(i)*0x9e3779b97f4a7c15)
		}
		b.ReportMetric(float64(heapBytes()-before)/blocks, "B/entry")
		runtime.KeepAlive(shard)
	}
}

// BenchmarkTrackerBytes reports the memory used by one anchor in a Tracker.
func BenchmarkTrackerBytes(b *testing.B) {
	const blocks = 200000
	for b.Loop() {
		before := heapBytes()
		tracker := NewTracker(1)
		list := make([]Block, blocks)
		for i := range list {
			list[i] = Block{Hash: uint64(i) * 0x9e3779b97f4a7c15, Root: 1, Depth: i + 1}
		}
		tracker.ApplySnapshot(1, list)
		list = nil
		b.ReportMetric(float64(heapBytes()-before)/blocks, "B/anchor")
		runtime.KeepAlive(tracker)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
