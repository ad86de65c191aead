package cacheindex

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAFeedTellsEachChangeOnce(t *testing.T) {
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

func TestAPositionThatIsTooOldGetsEverything(t *testing.T) {
	g := NewWithT(t)
	feed := NewFeed()
	for part := range uint64(3 * maxFeedLog) {
		feed.Add("a", part)
		feed.Add("b", part)
		feed.Remove("a", part)
	}
	delta := feed.Since(1)
	g.Expect(delta.Full).To(BeTrue())
	g.Expect(delta.Changes).To(HaveLen(3 * maxFeedLog))
	g.Expect(feed.Since(feed.through+1).Full).To(BeTrue(), "a position of another feed")
	g.Expect(feed.Since(feed.through).Changes).To(BeEmpty())
}

// Whatever happens, whoever follows a feed knows exactly which parts their
// holders keep.
func TestFollowersOfAFeedKnowWhatIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		feed, truth := NewFeed(), map[string]map[uint64]bool{}
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
				if truth[h] == nil {
					truth[h] = map[uint64]bool{}
				}
				truth[h][p] = true
			},
			"remove": func(t *rapid.T) {
				h, p := holder.Draw(t, "holder"), part.Draw(t, "part")
				feed.Remove(h, p)
				delete(truth[h], p)
			},
			"list": func(t *rapid.T) {
				h, parts := holder.Draw(t, "holder"), rapid.SliceOf(part).Draw(t, "parts")
				feed.Replace(h, parts)
				truth[h] = map[uint64]bool{}
				for _, p := range parts {
					truth[h][p] = true
				}
			},
			"gone": func(t *rapid.T) {
				h := holder.Draw(t, "holder")
				feed.Retain(func(each string) bool { return each != h })
				delete(truth, h)
			},
			"pull": func(*rapid.T) { pull() },
			"": func(t *rapid.T) {
				pull()
				for h, parts := range truth {
					for p := range parts {
						if !follower[PartChange{Holder: h, Part: p}] {
							t.Fatalf("the follower does not know that %s keeps %d", h, p)
						}
					}
				}
				for change, kept := range follower {
					if kept && !truth[change.Holder][change.Part] {
						t.Fatal(fmt.Sprint("follower believes ", change))
					}
				}
			},
		})
	})
}
