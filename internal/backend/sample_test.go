package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/placement"
)

func newLargeSet(runners int) *Set {
	set := NewSet("z0")
	for i := range runners {
		set.Put(Runner{ID: fmt.Sprintf("i-%05d", i), Service: "s", Zone: fmt.Sprintf("z%d", i%5), Slots: 16, Models: []ModelVersion{{Name: "m", Version: 1}}})
	}
	return set
}

func familyQuery(family uint64) Query {
	return Query{Service: "s", Model: "m", PromptTokens: 9000, SharedTokens: 6000, Family: family, Owner: "o", Shared: []SharedPart{{ID: "trunk", Depth: 2500}, {ID: fmt.Sprint(family), Depth: 6000}}}
}

// Guards against choices whose cost grows with the number of runners.
func TestChoiceLooksAtABoundedNumberOfRunners(t *testing.T) {
	g := NewWithT(t)
	for runners, most := range map[int]int{200: 200, 1_000: sampleSize + maxSampledHolders + 1, 10_000: sampleSize + maxSampledHolders + 1} {
		_, candidates := newLargeSet(runners).Candidates(start, familyQuery(7))
		g.Expect(len(candidates)).To(BeNumerically("<=", most), "%d runners", runners)
		g.Expect(len(candidates)).To(BeNumerically(">", sampleSize/2), "%d runners", runners)
	}
}

func TestSampleContainsHomeAndHoldersOfThePrompt(t *testing.T) {
	g := NewWithT(t)
	set := newLargeSet(5_000)
	query := familyQuery(7)
	for _, anchor := range query.anchors(1) {
		set.ApplyCacheDelta(cacheindex.FeedDelta{Changes: []cacheindex.PartChange{{Holder: "i-04321", Part: anchor.Hash}}})
	}
	homes := map[string]bool{}
	for range 20 {
		_, candidates := set.Candidates(start, query)
		holds := map[string]int{}
		for _, candidate := range candidates {
			holds[candidate.Name] = candidate.CachedTokens
			if candidate.CachedTokens == 6000 && candidate.Name != "i-04321" {
				homes[candidate.Name] = true
			}
		}
		g.Expect(holds).To(HaveKeyWithValue("i-04321", 6000))
	}
	g.Expect(homes).To(HaveLen(1), "each choice has the same home")
}

// The shares of families of the home runners are nearly equal, and the loss of a runner moves its
// own families only.
func TestHomesAreEvenAndMoveOnlyWithTheirRunner(t *testing.T) {
	g := NewWithT(t)
	const runners, families = 1_000, 20_000
	set := newLargeSet(runners)
	homes, perRunner := map[uint64]string{}, map[string]int{}
	for family := uint64(1); family <= families; family++ {
		home := set.sampledHome(start, set.rings["s"], familyQuery(family), split{})
		homes[family] = home.ID
		perRunner[home.ID]++
	}
	most := 0
	for _, count := range perRunner {
		most = max(most, count)
	}
	g.Expect(most).To(BeNumerically("<", 3*families/runners), "families of the busiest home, 20 are the mean")
	set.Remove("i-00042")
	moved := 0
	for family, home := range homes {
		if now := set.sampledHome(start, set.rings["s"], familyQuery(family), split{}).ID; now != home {
			moved++
			g.Expect(home).To(Equal("i-00042"))
		}
	}
	g.Expect(moved).To(Equal(perRunner["i-00042"]))
}

// A request is not refused because the sample holds no runner that can take it.
func TestRequestFindsTheOnlyFreeRunner(t *testing.T) {
	g := NewWithT(t)
	const runners = 3_000
	set := newLargeSet(runners)
	for i := range runners {
		set.Put(Runner{ID: fmt.Sprintf("i-%05d", i), Service: "s", Zone: "z0", Slots: 16, Draining: i != 1234, Models: []ModelVersion{{Name: "m", Version: 1}}})
	}
	random, query := rand.New(rand.NewPCG(1, 2)), familyQuery(7)
	pick := choose(set, start, query, random)
	g.Expect(pick.Status).To(Equal(placement.Picked))
	g.Expect(pick.Candidate.Name).To(Equal("i-01234"))
	g.Expect(set.NextScope(start.Add(scanInterval/2))).To(Equal(LargeSample), "all runners are not looked at for each refused request")
}

// choose places one request like a router does.
func choose(set *Set, now time.Time, query Query, random *rand.Rand) placement.Pick {
	request, candidates := set.Candidates(now, query)
	pick := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random)
	if pick.Status == placement.Picked {
		return pick
	}
	request, candidates = set.CandidatesIn(now, query, set.NextScope(now))
	return placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random)
}

// With nine tenths of the slots in use, a sample finds free slots as a look at all runners does.
func TestSampledChoicesBalanceABusyFleet(t *testing.T) {
	g := NewWithT(t)
	const runners, slots, load = 600, 16, 0.9
	set, random := newLargeSet(runners), rand.New(rand.NewPCG(1, 2))
	open := map[string]int{}
	for range int(runners * slots * load) {
		query := Query{Service: "s", Model: "m", PromptTokens: 500}
		pick := choose(set, start, query, random)
		g.Expect(pick.Status).To(Equal(placement.Picked))
		set.Begin(start, pick.Candidate.Name, query.PromptTokens)
		open[pick.Candidate.Name]++
	}
	most := 0
	for _, count := range open {
		most = max(most, count)
	}
	t.Logf("busiest runner has %d open requests of %d slots", most, slots)
	g.Expect(most).To(BeNumerically("<=", slots), "no request waits for a slot")
}
