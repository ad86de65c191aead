package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

var ledgerKey = SendKey{Router: "r", Incarnation: 1, Send: 7}

func ledgerSet() (*Set, *Ledger) {
	set := NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 8})
	set.Put(Runner{ID: "b", Service: "s", Slots: 8})
	return set, NewLedger(set)
}

func TestPlacedRequestsCountUntilTheyEnd(t *testing.T) {
	g := NewWithT(t)
	set, ledger := ledgerSet()
	ledger.Begin(start, ledgerKey, "a", 500, Query{Service: "s"}, time.Minute)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"a": {Tokens: 500, Requests: 1}}))
	g.Expect(set.ChangedLoads()).To(Equal(set.Loads()))
	g.Expect(set.ChangedLoads()).To(BeEmpty(), "nothing since")
	ledger.FirstAnswer(start, ledgerKey)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"a": {Requests: 1}}))
	ledger.End(start, ledgerKey, Answered)
	ledger.End(start, ledgerKey, Answered)
	g.Expect(set.Loads()).To(BeEmpty())
	g.Expect(ledger.Len()).To(BeZero())
	g.Expect(set.ChangedLoads()).To(Equal(map[string]Load{"a": {}}), "none is left")
}

func TestRequestThatIsNeverToldToHaveEndedIsForgotten(t *testing.T) {
	g := NewWithT(t)
	set, ledger := ledgerSet()
	ledger.Begin(start, ledgerKey, "a", 500, Query{Service: "s"}, 2*time.Second)
	other := ledgerKey
	other.Send++
	ledger.Begin(start.Add(3*time.Second), other, "b", 100, Query{Service: "s"}, 2*time.Second)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"b": {Tokens: 100, Requests: 1}}))
	_, candidates := set.Candidates(start.Add(3*time.Second), Query{Service: "s"})
	g.Expect(candidates[0].PendingTokens).To(BeZero(), "nothing is known against its runner")
}

func TestNumberOfARestartedRouterIsAnotherRequest(t *testing.T) {
	g := NewWithT(t)
	set, ledger := ledgerSet()
	ledger.Begin(start, ledgerKey, "a", 500, Query{Service: "s"}, time.Minute)
	restarted := ledgerKey
	restarted.Incarnation++
	ledger.End(start, restarted, Answered)
	g.Expect(set.Loads()).To(HaveKey("a"))
	ledger.Begin(start, ledgerKey, "b", 100, Query{Service: "s"}, time.Minute)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"b": {Tokens: 100, Requests: 1}}), "the same number again is in place of the first")
}

func TestLoadsOfOthersCountWhileTheyAreTold(t *testing.T) {
	g := NewWithT(t)
	set, _ := ledgerSet()
	set.SetOtherLoads(start, "x", true, map[string]Load{"a": {Tokens: 900, Requests: 2}})
	set.SetOtherLoads(start, "y", true, map[string]Load{"a": {Tokens: 100, Requests: 1}})
	set.SetOtherLoads(start, "x", false, map[string]Load{"b": {Tokens: 50, Requests: 1}})
	g.Expect(set.otherLoad(start, "a")).To(Equal(Load{Tokens: 1000, Requests: 3}))
	g.Expect(set.otherLoad(start, "b")).To(Equal(Load{Tokens: 50, Requests: 1}))
	g.Expect(set.Loads()).To(BeEmpty(), "what others told is not told on")
	set.SetOtherLoads(start.Add(otherLoadTime), "y", true, map[string]Load{})
	g.Expect(set.otherLoad(start.Add(otherLoadTime), "a")).To(Equal(Load{}), "one is silent, the other has none left")
}

func TestUsableRunnersAreThoseThatThisRouterKnowsNothingAgainst(t *testing.T) {
	g := NewWithT(t)
	set, _ := ledgerSet()
	g.Expect(set.Usable(start, "a", Query{Service: "s"}, backpressure.Permit{})).To(BeTrue())
	g.Expect(set.Usable(start, "a", Query{Service: "other"}, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.Usable(start, "c", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse(), "not in the directory here")
	g.Expect(set.Usable(start, "a", Query{Service: "s", Excluded: []string{"a"}}, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.Usable(start, "a", Query{Service: "s", Model: "m"}, backpressure.Permit{})).To(BeFalse(), "does not hold the model")
	set.End(start, set.Begin(start, "a", 0), Unreachable)
	g.Expect(set.Usable(start, "a", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse(), "could not be reached just now")
	set.Put(Runner{ID: "b", Service: "s", Draining: true})
	g.Expect(set.Usable(start, "b", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse())
}

// The directory tells of new weights later than the answers do.
func TestWeightsThatAnswerAnotherRouterAreLearned(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 8, Models: []ModelVersion{{Name: "m", Version: 1}}})
	ledger := NewLedger(set)
	ledger.Begin(start, ledgerKey, "a", 100, Query{Service: "s", Model: "m"}, time.Minute)
	ledger.LearnVersion(ledgerKey, 0)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(1))
	ledger.LearnVersion(ledgerKey, 3)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(3))
	ledger.LearnVersion(SendKey{Send: 99}, 9)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(3), "nobody's request")
}

// Runners come and go; a router that tells nobody of its loads keeps none of them.
func TestChangesOfRemovedRunnersAreNotKept(t *testing.T) {
	g := NewWithT(t)
	set, _ := ledgerSet()
	set.End(start, set.Begin(start, "a", 100), Answered)
	set.Remove("a")
	g.Expect(set.ChangedLoads()).To(BeEmpty())
}
