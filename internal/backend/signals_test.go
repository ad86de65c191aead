package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// newSetWithSignals has two runners of a model, the first of which has reported the
// signals.
func newSetWithSignals(signals backpressure.Signals) (*Set, Query) {
	set, query := NewSet("z"), Query{Service: "s", Model: "m", Family: 7, SharedTokens: 100, PromptTokens: 150}
	set.Permits().SetStandalone()
	for _, id := range []string{"a", "b"} {
		set.Put(Runner{ID: id, Incarnation: 1, Service: "s", Zone: "z", Slots: 8, Models: []ModelVersion{{Name: "m", Version: 1}}})
	}
	a, _ := set.Get("a")
	set.RecordSignals(start, start, a, signals, false)
	query.Backoffs = set.Backoffs(start)
	return set, query
}

// eligibleRunners returns the runners that a placement can choose from, and those held
// back.
func eligibleRunners(set *Set, query Query) (names []string, held placement.HeldBack) {
	request, candidates := set.Candidates(start, query)
	for _, candidate := range candidates {
		if !candidate.Leaving {
			names = append(names, candidate.Name)
		}
	}
	return names, request.HeldBack
}

func TestRunnerSignalsAreRespected(t *testing.T) {
	for name, signals := range map[string]backpressure.Signals{
		"leaving": {Leaving: true},
		"backoff": {Backoff: time.Second},
		"limit":   {Limited: true, Rate: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			set, query := newSetWithSignals(signals)
			if signals.Limited {
				set.TakePermit(start, "a")
			}
			names, _ := eligibleRunners(set, query)
			g.Expect(names).To(Equal([]string{"b"}))
			g.Expect(set.Usable(start, "a", query, backpressure.Permit{})).To(BeFalse())
			g.Expect(set.MaySend(start, "a", query, 1, backpressure.Permit{})).To(BeFalse())
			g.Expect(set.Usable(start, "b", query, backpressure.Permit{})).To(BeTrue())
			_, found := set.Backup(start, "b", "m")
			g.Expect(found).To(BeFalse(), "the runner must not be a backup")
			for family := range uint64(20) {
				query.Family = family + 1
				global, regional := set.homeRunners(start, set.byService["s"], query, split{})
				g.Expect([]string{global.ID, regional.ID}).To(Equal([]string{"b", "b"}))
			}
		})
	}
}

func TestPermitAllowsOneSendToALimitedRunner(t *testing.T) {
	g := NewWithT(t)
	set, query := newSetWithSignals(backpressure.Signals{Limited: true, Rate: 1})
	names, held := eligibleRunners(set, query)
	g.Expect(names).To(Equal([]string{"a", "b"}))
	g.Expect(held.Any()).To(BeFalse())
	permit := set.TakePermit(start, "a")
	g.Expect(set.MaySend(start, "a", query, 1, permit)).To(BeTrue())
	g.Expect(set.MaySend(start.Add(2*time.Second), "a", query, 1, permit)).To(BeFalse(), "the permit has expired")
	_, held = eligibleRunners(set, query)
	g.Expect(held).To(Equal(placement.HeldBack{Limited: 1, LimitWait: time.Second, Rate: 1}))
	g.Expect(set.TakePermit(start, "b")).To(Equal(backpressure.Permit{}), "a runner without a limit needs no permit")
}

func TestBackoffAppliesOnlyToRequestingRouter(t *testing.T) {
	g := NewWithT(t)
	set, query := newSetWithSignals(backpressure.Signals{Backoff: time.Second})
	g.Expect(query.Backoffs).To(Equal([]RunnerBackoff{{Runner: "a", Remaining: time.Second}}))
	_, held := eligibleRunners(set, query)
	g.Expect(held).To(Equal(placement.HeldBack{InBackoff: 1, BackoffWait: time.Second}))
	otherRouter := query
	otherRouter.Backoffs = nil
	names, _ := eligibleRunners(set, otherRouter)
	g.Expect(names).To(Equal([]string{"a", "b"}), "the runner did not ask other routers to back off")
	a, _ := set.Get("a")
	a.Incarnation = 2
	set.Put(a)
	g.Expect(set.Backoffs(start)).To(BeEmpty(), "a new incarnation did not ask to back off")
	g.Expect(set.Usable(start, "a", otherRouter, backpressure.Permit{})).To(BeTrue())
}

func TestAvoidForIsBounded(t *testing.T) {
	g := NewWithT(t)
	set, query := newSetWithSignals(backpressure.Signals{})
	send := set.BeginQuery(start, "a", 10, query)
	set.AvoidFor(start, send, time.Minute)
	request, _ := set.Candidates(start.Add(maxPeerAvoidTime-1), query)
	g.Expect(request.Excluded).To(Equal([]string{"a"}))
	request, _ = set.Candidates(start.Add(maxPeerAvoidTime), query)
	g.Expect(request.Excluded).To(BeEmpty())
}

// Callers must not be told to retry later for a runner that is leaving.
func TestLeavingRunnerIsNotHeldBack(t *testing.T) {
	g := NewWithT(t)
	set, query := newSetWithSignals(backpressure.Signals{Limited: true, Rate: 1, Leaving: true, Backoff: time.Second})
	set.TakePermit(start, "a")
	_, held := eligibleRunners(set, query)
	g.Expect(held.Any()).To(BeFalse())
}

// Signals that other routers report for unlisted runners apply once the runners are listed.
func TestSignalsApplyToRunnersListedLater(t *testing.T) {
	g, set := NewWithT(t), NewSet("z")
	set.MergeSignals(start, []backpressure.Record{{Runner: backpressure.Runner{ID: "a", Incarnation: 1}, LeavingAt: start}})
	set.Put(Runner{ID: "a", Incarnation: 1, Service: "s"})
	g.Expect(set.IsActive("a", "s")).To(BeFalse())
	set.Put(Runner{ID: "a", Incarnation: 2, Service: "s"})
	g.Expect(set.IsActive("a", "s")).To(BeTrue())
}
