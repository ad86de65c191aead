package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

func TestMaySendRequiresActiveRunnerWithExpectedWeights(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	query := Query{Service: "s", Model: "m", PromptTokens: PrefillRate}
	set.Begin(start, "a", query.PromptTokens)
	maySend := func(now time.Time) bool { return set.MaySend(now, "a", query, 1, backpressure.Permit{}) }
	g.Expect(maySend(start)).To(BeTrue())
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(3 * time.Second)})
	g.Expect(maySend(start.Add(1900*time.Millisecond))).To(BeTrue(), "the prefill takes one second")
	g.Expect(maySend(start.Add(2100*time.Millisecond))).To(BeFalse(), "the weights expire before the prefill ends")
	g.Expect(set.MaySend(start, "a", Query{Service: "s"}, 0, backpressure.Permit{})).To(BeTrue(), "requests without a model need no weights")
	set.LearnVersion("a", "m", 2)
	g.Expect(maySend(start)).To(BeFalse(), "the runner has a different weight version now")
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeTrue())
	leaving := runner("a", "z")
	leaving.Draining = true
	set.Put(leaving)
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.MaySend(start, "a", Query{Service: "s"}, 0, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.IsActive("a", "s")).To(BeFalse())
	set.Remove("a")
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeFalse())
}

// The placement has already weighed waits and failures, so MaySend must not reject a
// request for them.
func TestMaySendIgnoresFailuresSincePlacement(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	query := Query{Service: "s", Excluded: []string{"a"}, MaxQueueTime: time.Millisecond}
	for range 20 {
		set.Begin(start, "a", 1000)
	}
	set.End(start, set.Begin(start, "a", 0), Unreachable)
	g.Expect(set.MaySend(start, "a", query, 0, backpressure.Permit{})).To(BeTrue())
}

func TestNotConfirmedSendLeavesRunnerStateUnchanged(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	now := start.Add(time.Second)
	set.End(now, set.Begin(start, "a", 1000), NotConfirmed)
	e := set.entries["a"]
	g.Expect(e.currentAssumedWait(now)).To(BeZero())
	g.Expect(e.decayedFailureShare(now)).To(BeZero())
	g.Expect(e.avoidUntil).To(BeZero())
	g.Expect([]int{e.inFlight, e.pendingTokens, e.awaitingResponse}).To(Equal([]int{0, 0, 0}))
}
