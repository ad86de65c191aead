package cacheindex

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

var startTime = time.Unix(1_000, 0)

func anchorChain(hashes ...uint64) []prefix.Anchor {
	anchors := make([]prefix.Anchor, len(hashes))
	for i, hash := range hashes {
		anchors[i] = prefix.Anchor{Hash: hash, Depth: i + 1}
	}
	return anchors
}

func TestLookupEndsAtFirstMissingBlock(t *testing.T) {
	g := NewWithT(t)
	shard := NewShard(time.Second)
	a, b := Holder{"a", 1}, Holder{"b", 1}
	shard.Add(a, 1, 2, 4)
	shard.Add(b, 1, 2, 3)
	g.Expect(shard.Lookup(anchorChain(1, 2, 3, 4))).To(ConsistOf(Match{a, 2}, Match{b, 3}))
	g.Expect(shard.Lookup(anchorChain(9, 1))).To(BeEmpty())
}

func TestEntriesOfEarlierIncarnationAreDropped(t *testing.T) {
	g := NewWithT(t)
	shard := NewShard(time.Second)
	shard.Add(Holder{"a", 1}, 1, 2)
	shard.Reset(Holder{"a", 2})
	g.Expect(shard.Lookup(anchorChain(1, 2))).To(BeEmpty())
	shard.Add(Holder{"a", 1}, 1)
	g.Expect(shard.Lookup(anchorChain(1))).To(BeEmpty(), "a delayed event of the earlier incarnation is ignored")
	shard.Add(Holder{"a", 2}, 1)
	g.Expect(shard.Lookup(anchorChain(1, 2))).To(ConsistOf(Match{Holder{"a", 2}, 1}))
}

func TestProvisionalEntryExpiresUnlessConfirmed(t *testing.T) {
	g := NewWithT(t)
	shard := NewShard(time.Second)
	a := Holder{"a", 1}
	shard.AddProvisional(startTime, a, anchorChain(1, 2))
	shard.Add(a, 1)
	g.Expect(shard.Lookup(anchorChain(1, 2))).To(ConsistOf(Match{a, 2}))
	shard.ExpireProvisional(startTime.Add(2 * time.Second))
	g.Expect(shard.Lookup(anchorChain(1, 2))).To(ConsistOf(Match{a, 1}))
}

func TestRemoveProvisionalKeepsConfirmedBlocks(t *testing.T) {
	g := NewWithT(t)
	shard := NewShard(time.Second)
	a := Holder{"a", 1}
	shard.Add(a, 1)
	shard.AddProvisional(startTime, a, anchorChain(1, 2))
	shard.RemoveProvisional(a, anchorChain(1, 2))
	g.Expect(shard.Lookup(anchorChain(1, 2))).To(ConsistOf(Match{a, 1}))
}

// TestShardMatchesModel compares the shard with a plain set of pairs under random changes,
// restarts and removals of stale entries.
func TestShardMatchesModel(t *testing.T) {
	testkit.SetRapidDefaults(2000)
	rapid.Check(t, func(t *rapid.T) {
		shard := NewShard(time.Hour)
		type pair struct {
			holder Holder
			hash   uint64
		}
		model := map[pair]bool{}
		incarnations := map[string]uint64{}
		runner := func() string { return fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "runner")) }
		hash := func() uint64 { return uint64(rapid.IntRange(1, 6).Draw(t, "hash")) }
		current := func(name string) Holder { return Holder{name, incarnations[name]} }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				holder, h := current(runner()), hash()
				shard.Add(holder, h)
				model[pair{holder, h}] = true
			},
			"remove": func(*rapid.T) {
				holder, h := current(runner()), hash()
				shard.Remove(holder, h)
				delete(model, pair{holder, h})
			},
			"restart": func(*rapid.T) {
				name := runner()
				old := current(name)
				incarnations[name]++
				shard.Reset(current(name))
				for h := range uint64(7) {
					delete(model, pair{old, h})
				}
			},
			"delayed event": func(*rapid.T) {
				holder := current(runner())
				if holder.Incarnation > 0 {
					holder.Incarnation--
					shard.Reset(current(holder.Runner))
					for h := range uint64(7) {
						delete(model, pair{current(holder.Runner), h})
					}
					shard.Add(holder, hash())
				}
			},
			"sweep": func(*rapid.T) { shard.RemoveStale() },
			"": func(t *rapid.T) {
				for h := uint64(1); h <= 6; h++ {
					matches := shard.Lookup(anchorChain(h))
					count := 0
					for p := range model {
						if p.hash == h {
							count++
						}
					}
					if len(matches) != count {
						t.Fatalf("block %d has matches %v, want %d holders of %v", h, matches, count, model)
					}
					for _, match := range matches {
						if !model[pair{match.Holder, h}] {
							t.Fatalf("block %d has match %v, which the model lacks", h, match)
						}
					}
				}
			},
		})
	})
}

func TestTrackerRepairsLostEventsFromSnapshot(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(1)
	tracker.Restart(7)
	tracker.ApplySnapshot(10, []Block{{1, 1, 1}, {2, 1, 2}})
	g.Expect(tracker.ApplyEvent(11, []Block{{3, 1, 3}}, nil).Added).To(HaveLen(1))
	g.Expect(tracker.NeedsResync(startTime)).To(BeFalse())
	g.Expect(tracker.ApplyEvent(11, []Block{{9, 9, 1}}, nil).Added).To(BeEmpty(), "a repeated event is ignored")
	tracker.ApplyEvent(13, nil, nil)
	g.Expect(tracker.NeedsResync(startTime)).To(BeTrue(), "event 12 was lost")
	changes := tracker.ApplySnapshot(13, []Block{{2, 1, 2}, {3, 1, 3}, {4, 1, 4}})
	g.Expect(changes.Added).To(ConsistOf(Block{4, 1, 4}))
	g.Expect(changes.Removed).To(ConsistOf(Block{1, 1, 1}))
}

func TestTrackerKeepsOnlyAnchors(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(4)
	var blocks []Block
	for depth := 1; depth <= 16; depth++ {
		blocks = append(blocks, Block{Hash: uint64(depth), Root: 1, Depth: depth})
	}
	g.Expect(tracker.ApplyEvent(1, blocks, nil).Added).To(HaveLen(5), "depths 1, 4, 8, 12 and 16")
}
