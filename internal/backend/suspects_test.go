package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// suspectFleet is equal runners of one service, the first of which keeps the prompt of all
// requests.
func suspectFleet(runners int) (*Set, func(query Query) string) {
	set, random := NewSet("z"), rand.New(rand.NewPCG(1, 2))
	for i := range runners {
		set.Put(Runner{ID: fmt.Sprint("r", i), Service: "s", Address: "a", Zone: "z", Slots: 8, Models: []ModelVersion{{Name: "m", Version: 1}}})
	}
	return set, func(query Query) string {
		query.Service, query.Model, query.PromptTokens, query.Family = "s", "m", 1000, 7
		query.SharedTokens = 900
		request, candidates := set.Candidates(start, query)
		chosen := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1, Fetched: 0.25}, random)
		set.BeginQuery(start, chosen.Candidate.Name, 100, query)
		return chosen.Candidate.Name
	}
}

// Two contents were at work on a runner that ended. Their next runs must show which of them
// did that, and take few others along.
func TestSuspectedContentsAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	set, choose := suspectFleet(4)
	home := choose(Query{})
	first, second := choose(Query{Suspect: 1}), choose(Query{Suspect: 2})
	g.Expect(first).NotTo(Equal(home), "there would be one bystander")
	g.Expect(second).NotTo(Or(Equal(home), Equal(first)))
	g.Expect(choose(Query{})).To(Equal(home), "others go on as before")
	load := set.Loads()[first]
	g.Expect(load.Suspects).To(Equal([]uint64{1}))
}

// Many callers ask the same at once: their requests end one runner together, not one each.
func TestRequestsOfOneSuspectedContentGoTogether(t *testing.T) {
	g := NewWithT(t)
	_, choose := suspectFleet(6)
	first := choose(Query{Suspect: 1})
	for range 3 {
		g.Expect(choose(Query{Suspect: 1})).To(Equal(first))
	}
	g.Expect(choose(Query{Suspect: 1})).NotTo(Equal(first), "half of its slots are taken")
}

// Another router placed the content: schedulers tell each other where.
func TestSuspectedContentsOfOtherRoutersCount(t *testing.T) {
	g := NewWithT(t)
	set, choose := suspectFleet(4)
	set.SetOtherLoads(start, "other", true, map[string]Load{"r3": {Requests: 1, Suspects: []uint64{9}}})
	g.Expect(choose(Query{Suspect: 9})).To(Equal("r3"))
	g.Expect(choose(Query{Suspect: 8})).NotTo(Equal("r3"))
}

func TestOtherRequestsAvoidASuspectedContent(t *testing.T) {
	g := NewWithT(t)
	set, choose := suspectFleet(3)
	home := choose(Query{})
	set.SetOtherLoads(start, "other", true, map[string]Load{home: {Requests: 1, Suspects: []uint64{9}}})
	g.Expect(choose(Query{})).NotTo(Equal(home))
	g.Expect(choose(Query{})).NotTo(Equal(home))
}

func TestEndedRequestsAreNoSuspects(t *testing.T) {
	g := NewWithT(t)
	set, _ := suspectFleet(1)
	query := Query{Service: "s", Model: "m", Suspect: 1}
	one, two := set.BeginQuery(start, "r0", 0, query), set.BeginQuery(start, "r0", 0, query)
	set.End(start, one, Answered)
	g.Expect(set.Loads()["r0"].Suspects).To(Equal([]uint64{1}))
	set.End(start, two, NotConfirmed)
	set.BeginQuery(start.Add(time.Second), "r0", 0, Query{Service: "s"})
	g.Expect(set.Loads()["r0"].Suspects).To(BeEmpty())
}
