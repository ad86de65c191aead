package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// speakingSet has two runners of a model, the first of which has said the signals.
func speakingSet(signals backpressure.Signals) (*Set, Query) {
	set, query := NewSet("z"), Query{Service: "s", Model: "m", Family: 7, SharedTokens: 100, PromptTokens: 150}
	set.Permits().SetStandalone()
	for _, id := range []string{"a", "b"} {
		set.Put(Runner{ID: id, Incarnation: 1, Service: "s", Zone: "z", Slots: 8, Models: []ModelVersion{{Name: "m", Version: 1}}})
	}
	a, _ := set.Get("a")
	set.Hear(start, start, a, signals, false)
	query.Resting = set.Resting(start)
	return set, query
}

// offered returns which runners a choice is made among, and what is held back.
func offered(set *Set, query Query) (names []string, held placement.HeldBack) {
	request, candidates := set.Candidates(start, query)
	for _, candidate := range candidates {
		if !candidate.Leaving {
			names = append(names, candidate.Name)
		}
	}
	return names, request.HeldBack
}

func TestRunnerIsNotUsedAgainstItsOwnWord(t *testing.T) {
	for name, signals := range map[string]backpressure.Signals{
		"leaving": {Leaving: true},
		"rest":    {Backoff: time.Second},
		"limit":   {Limited: true, Rate: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			set, query := speakingSet(signals)
			if signals.Limited {
				set.Grant(start, "a")
			}
			names, _ := offered(set, query)
			g.Expect(names).To(Equal([]string{"b"}))
			g.Expect(set.Usable(start, "a", query, backpressure.Permit{})).To(BeFalse())
			g.Expect(set.MaySend(start, "a", query, 1, backpressure.Permit{})).To(BeFalse())
			g.Expect(set.Usable(start, "b", query, backpressure.Permit{})).To(BeTrue())
			_, found := set.Backup(start, "b", "m")
			g.Expect(found).To(BeFalse(), "no copy of a run goes there")
			for family := range uint64(20) {
				query.Family = family + 1
				g.Expect(set.home(start, set.byService["s"], query, split{})).To(Equal("b"))
			}
		})
	}
}

func TestPermitAllowsOneSendToALimitedRunner(t *testing.T) {
	g := NewWithT(t)
	set, query := speakingSet(backpressure.Signals{Limited: true, Rate: 1})
	names, held := offered(set, query)
	g.Expect(names).To(Equal([]string{"a", "b"}))
	g.Expect(held.Any()).To(BeFalse())
	permit := set.Grant(start, "a")
	g.Expect(set.MaySend(start, "a", query, 1, permit)).To(BeTrue())
	g.Expect(set.MaySend(start.Add(2*time.Second), "a", query, 1, permit)).To(BeFalse(), "it has lapsed")
	_, held = offered(set, query)
	g.Expect(held).To(Equal(placement.HeldBack{Limited: 1, LimitWait: time.Second, Rate: 1}))
	g.Expect(set.Grant(start, "b")).To(Equal(backpressure.Permit{}), "needs none")
}

func TestRestIsToldWithTheQuestion(t *testing.T) {
	g := NewWithT(t)
	set, query := speakingSet(backpressure.Signals{Backoff: time.Second})
	g.Expect(query.Resting).To(Equal([]Rest{{Runner: "a", Left: time.Second}}))
	_, held := offered(set, query)
	g.Expect(held).To(Equal(placement.HeldBack{Resting: 1, RestWait: time.Second}))
	others := query
	others.Resting = nil
	names, _ := offered(set, others)
	g.Expect(names).To(Equal([]string{"a", "b"}), "other routers were not asked for rest")
	a, _ := set.Get("a")
	a.Incarnation = 2
	set.Put(a)
	g.Expect(set.Resting(start)).To(BeEmpty(), "another start has not asked for it")
	g.Expect(set.Usable(start, "a", others, backpressure.Permit{})).To(BeTrue())
}

func TestOthersAvoidARestingRunnerForAWhile(t *testing.T) {
	g := NewWithT(t)
	set, query := speakingSet(backpressure.Signals{})
	send := set.BeginQuery(start, "a", 10, query)
	set.AvoidFor(start, send, time.Minute)
	request, _ := set.Candidates(start.Add(othersRest-1), query)
	g.Expect(request.Excluded).To(Equal([]string{"a"}))
	request, _ = set.Candidates(start.Add(othersRest), query)
	g.Expect(request.Excluded).To(BeEmpty())
}

// Nobody is told to come back for a runner that leaves.
func TestLeavingRunnerIsNotHeldBack(t *testing.T) {
	g := NewWithT(t)
	set, query := speakingSet(backpressure.Signals{Limited: true, Rate: 1, Leaving: true, Backoff: time.Second})
	set.Grant(start, "a")
	_, held := offered(set, query)
	g.Expect(held.Any()).To(BeFalse())
}

// What other routers tell of runners that are not listed yet holds once they are.
func TestSignalOfARunnerThatIsListedLaterHolds(t *testing.T) {
	g, set := NewWithT(t), NewSet("z")
	set.MergeSignals(start, []backpressure.Record{{Runner: backpressure.Runner{ID: "a", Incarnation: 1}, LeavingAt: start}})
	set.Put(Runner{ID: "a", Incarnation: 1, Service: "s"})
	g.Expect(set.Stays("a", "s")).To(BeFalse())
	set.Put(Runner{ID: "a", Incarnation: 2, Service: "s"})
	g.Expect(set.Stays("a", "s")).To(BeTrue())
}
