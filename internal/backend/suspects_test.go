package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// newSuspectSet has equal runners of one service. The returned function places a request of
// one prompt family, for which all requests prefer the same home runner.
func newSuspectSet(runners int) (*Set, func(query Query) string) {
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

// After a crash of a runner with two suspect contents, their next runs must show which one
// caused it, and put few other requests at risk.
func TestSuspectContentsAreSeparated(t *testing.T) {
	g := NewWithT(t)
	set, choose := newSuspectSet(4)
	home := choose(Query{})
	first, second := choose(Query{SuspectContent: 1}), choose(Query{SuspectContent: 2})
	g.Expect(first).NotTo(Equal(home), "another request there would be at risk")
	g.Expect(second).NotTo(Or(Equal(home), Equal(first)))
	g.Expect(choose(Query{})).To(Equal(home), "requests without suspect content keep the home runner")
	load := set.Loads()[first]
	g.Expect(load.Suspects).To(Equal([]uint64{1}))
}

// When many callers send one suspect content at once, their requests should crash one
// runner together and not one each.
func TestRequestsOfOneSuspectContentShareRunner(t *testing.T) {
	g := NewWithT(t)
	_, choose := newSuspectSet(6)
	first := choose(Query{SuspectContent: 1})
	for range 3 {
		g.Expect(choose(Query{SuspectContent: 1})).To(Equal(first))
	}
	g.Expect(choose(Query{SuspectContent: 1})).NotTo(Equal(first), "half of the runner's slots are used")
}

// Routers learn from reported loads where others have placed a suspect content.
func TestPeerSuspectContentsCount(t *testing.T) {
	g := NewWithT(t)
	set, choose := newSuspectSet(4)
	set.SetPeerLoads(start, "other", true, map[string]Load{"r3": {Requests: 1, Suspects: []uint64{9}}})
	g.Expect(choose(Query{SuspectContent: 9})).To(Equal("r3"))
	g.Expect(choose(Query{SuspectContent: 8})).NotTo(Equal("r3"))
}

func TestOtherRequestsAvoidSuspectRunners(t *testing.T) {
	g := NewWithT(t)
	set, choose := newSuspectSet(3)
	home := choose(Query{})
	set.SetPeerLoads(start, "other", true, map[string]Load{home: {Requests: 1, Suspects: []uint64{9}}})
	g.Expect(choose(Query{})).NotTo(Equal(home))
	g.Expect(choose(Query{})).NotTo(Equal(home))
}

func TestEndedRequestsReleaseSuspectContent(t *testing.T) {
	g := NewWithT(t)
	set, _ := newSuspectSet(1)
	query := Query{Service: "s", Model: "m", SuspectContent: 1}
	one, two := set.BeginQuery(start, "r0", 0, query), set.BeginQuery(start, "r0", 0, query)
	set.End(start, one, Succeeded)
	g.Expect(set.Loads()["r0"].Suspects).To(Equal([]uint64{1}))
	set.End(start, two, NotConfirmed)
	set.BeginQuery(start.Add(time.Second), "r0", 0, Query{Service: "s"})
	g.Expect(set.Loads()["r0"].Suspects).To(BeEmpty())
}
