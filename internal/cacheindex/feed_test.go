package cacheindex

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestFeedReportsEachChangeOnce(t *testing.T) {
	g := NewWithT(t)
	feed := NewFeed()
	feed.Add("a", 1)
	feed.Add("a", 1)
	feed.Remove("b", 1)
	g.Expect(feed.Since(0).Changes).To(ConsistOf(PartChange{Holder: "a", Part: 1}))
	feed.Add("b", 1)
	feed.Remove("a", 1)
	g.Expect(feed.Since(1).Changes).To(Equal([]PartChange{{Holder: "b", Part: 1}, {Holder: "a", Part: 1, Removed: true}}))
}

func TestFeedReturnsSnapshotForUnknownPosition(t *testing.T) {
	g := NewWithT(t)
	feed := NewFeed()
	for part := range uint64(3 * maxFeedLogLength) {
		feed.Add("a", part)
		feed.Add("b", part)
		feed.Remove("a", part)
	}
	delta := feed.Since(1)
	g.Expect(delta.Full).To(BeTrue())
	g.Expect(delta.Changes).To(HaveLen(3 * maxFeedLogLength))
	g.Expect(feed.Since(feed.lastPosition+1).Full).To(BeTrue(), "a position beyond the last one belongs to another feed")
	g.Expect(feed.Since(feed.lastPosition).Changes).To(BeEmpty())
}

// After any sequence of updates, a follower of a feed knows exactly which parts the holders have.
func TestFeedFollowerStaysInSync(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feed, expected := NewFeed(), map[string]map[uint64]bool{}
		follower, position := map[PartChange]bool{}, uint64(0)
		holder := rapid.SampledFrom([]string{"a", "b", "c"})
		part := rapid.Uint64Range(1, 6)
		pull := func() {
			delta := feed.Since(position)
			if delta.Full {
				clear(follower)
			}
			for _, change := range delta.Changes {
				follower[PartChange{Holder: change.Holder, Part: change.Part}] = !change.Removed
			}
			position = delta.Through
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				h, p := holder.Draw(t, "holder"), part.Draw(t, "part")
				feed.Add(h, p)
				if expected[h] == nil {
					expected[h] = map[uint64]bool{}
				}
				expected[h][p] = true
			},
			"remove": func(t *rapid.T) {
				h, p := holder.Draw(t, "holder"), part.Draw(t, "part")
				feed.Remove(h, p)
				delete(expected[h], p)
			},
			"list": func(t *rapid.T) {
				h, parts := holder.Draw(t, "holder"), rapid.SliceOf(part).Draw(t, "parts")
				feed.Replace(h, parts)
				expected[h] = map[uint64]bool{}
				for _, p := range parts {
					expected[h][p] = true
				}
			},
			"gone": func(t *rapid.T) {
				h := holder.Draw(t, "holder")
				feed.RetainHolders(func(each string) bool { return each != h })
				delete(expected, h)
			},
			"pull": func(*rapid.T) { pull() },
			"": func(t *rapid.T) {
				pull()
				for h, parts := range expected {
					for p := range parts {
						if !follower[PartChange{Holder: h, Part: p}] {
							t.Fatalf("the follower does not know that %s has part %d", h, p)
						}
					}
				}
				for change, kept := range follower {
					if kept && !expected[change.Holder][change.Part] {
						t.Fatal(fmt.Sprint("the follower has a part that the holder lacks: ", change))
					}
				}
			},
		})
	})
}
