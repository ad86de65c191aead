package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
)

const storeAddress = "store:1"

// sharedQuery is a prompt of 100 and 200 shared tokens and 50 of its own.
func sharedQuery() Query {
	return Query{
		Service: "s", Model: "m", PromptTokens: 350, SharedTokens: 300, Family: 7, Owner: "shared",
		Shared: []SharedPart{{ID: "trunk", Depth: 100}, {ID: "branch", Depth: 300}},
	}
}

func keeps(holder string, parts ...string) []cacheindex.PartChange {
	var changes []cacheindex.PartChange
	for _, part := range parts {
		changes = append(changes, cacheindex.PartChange{Holder: holder, Part: PartHash(Salt("shared", 1), part)})
	}
	return changes
}

func cachedSet(changes ...[]cacheindex.PartChange) *Set {
	set := NewSet("z")
	for _, r := range []Runner{runner("a", "z"), runner("b", "z"), runner("c", "y")} {
		set.Put(r)
	}
	delta := cacheindex.FeedDelta{Full: true}
	for _, each := range changes {
		delta.Changes = append(delta.Changes, each...)
	}
	set.ApplyCacheDelta(delta)
	return set
}

func TestPartsAreFetchedFromWhoeverKeepsMost(t *testing.T) {
	both := []string{"trunk", "branch"}
	for name, test := range map[string]struct {
		kept [][]cacheindex.PartChange
		want string
	}{
		"the deepest":                    {[][]cacheindex.PartChange{keeps("b", "trunk"), keeps("c", both...)}, "c:1"},
		"the nearest of equals":          {[][]cacheindex.PartChange{keeps("b", both...), keeps("c", both...)}, "b:1"},
		"a runner rather than the store": {[][]cacheindex.PartChange{keeps(storeAddress, both...), keeps("c", both...)}, "c:1"},
		"the store, if it has more":      {[][]cacheindex.PartChange{keeps(storeAddress, both...), keeps("c", "trunk")}, storeAddress},
		"nobody, if it has all":          {[][]cacheindex.PartChange{keeps("a", both...), keeps("c", both...)}, ""},
		"the store, if nobody is known":  {nil, storeAddress},
		"not past a gap":                 {[][]cacheindex.PartChange{keeps("a", "trunk"), keeps("c", "branch")}, storeAddress},
	} {
		t.Run(name, func(t *testing.T) {
			source := cachedSet(test.kept...).Source(start, "a", sharedQuery(), 1, storeAddress)
			NewWithT(t).Expect(source.Address).To(Equal(test.want))
		})
	}
}

func TestWhatTheStoreKeepsIsNotSavedAgain(t *testing.T) {
	g := NewWithT(t)
	set := cachedSet(keeps(storeAddress, "trunk", "branch"), keeps("a", "trunk", "branch"))
	g.Expect(set.Source(start, "a", sharedQuery(), 1, storeAddress).StoreKeeps).To(BeTrue())
	g.Expect(set.Source(start, "a", sharedQuery(), 2, storeAddress).StoreKeeps).To(BeFalse(), "under other weights")
}

// A runner that is being updated, fails or has left is no source.
func TestRunnersThatDoNotServeAreNoSources(t *testing.T) {
	g := NewWithT(t)
	set := cachedSet(keeps("b", "trunk", "branch"), keeps("c", "trunk", "branch"))
	set.SetUpdating("b", true)
	g.Expect(set.Source(start, "a", sharedQuery(), 1, "").Address).To(Equal("c:1"))
	set.Remove("c")
	g.Expect(set.Source(start, "a", sharedQuery(), 1, "").Address).To(BeEmpty())
}

// A read prompt counts as kept at once, and no longer when no event confirms it.
func TestReadPromptsCountAsKeptForAWhile(t *testing.T) {
	g := NewWithT(t)
	set := cachedSet()
	set.NoteRead(start, "b", sharedQuery(), 1)
	set.Candidates(start, sharedQuery())
	g.Expect(set.Source(start, "a", sharedQuery(), 1, "").Address).To(Equal("b:1"))
	set.Candidates(start.Add(2*confirmTime), sharedQuery())
	g.Expect(set.Source(start, "a", sharedQuery(), 1, "").Address).To(BeEmpty())
	set.NoteRead(start, "b", sharedQuery(), 1)
	set.ApplyCacheDelta(cacheindex.FeedDelta{Changes: keeps("b", "trunk", "branch")})
	set.Candidates(start.Add(time.Hour), sharedQuery())
	g.Expect(set.Source(start, "a", sharedQuery(), 1, "").Address).To(Equal("b:1"))
}

// What runners kept that have left takes no memory.
func TestPartsOfRunnersThatLeftAreForgotten(t *testing.T) {
	g := NewWithT(t)
	set := cachedSet(keeps("b", "trunk", "branch"), keeps("c", "trunk"))
	set.Remove("b")
	g.Expect(set.cached.Len()).To(Equal(1))
	set.Retain(map[string]bool{"a": true})
	g.Expect(set.cached.Len()).To(BeZero())
}

// What somebody keeps under the weights of a runner can be fetched by it; what is
// kept under other weights cannot.
func TestFetchableTokensAreThoseKeptElsewhere(t *testing.T) {
	g := NewWithT(t)
	set := cachedSet(keeps("a", "trunk", "branch"), keeps("b", "trunk"))
	set.LearnVersion("c", "m", 2)
	query := sharedQuery()
	query.Family = 0
	_, candidates := set.Candidates(start, query)
	fetchable := map[string]int{}
	for _, candidate := range candidates {
		fetchable[candidate.Name] = candidate.FetchableTokens
	}
	g.Expect(fetchable).To(Equal(map[string]int{"a": 0, "b": 200, "c": 0}))
}
