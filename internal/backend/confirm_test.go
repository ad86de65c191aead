package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

func TestRequestMayBeSentWhereItsRunnerStaysWithTheNamedWeights(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	query := Query{Service: "s", Model: "m", PromptTokens: PrefillRate}
	set.Begin(start, "a", query.PromptTokens)
	mayBegin := func(now time.Time) bool { return set.MaySend(now, "a", query, 1, backpressure.Permit{}) }
	g.Expect(mayBegin(start)).To(BeTrue())
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(3 * time.Second)})
	g.Expect(mayBegin(start.Add(1900*time.Millisecond))).To(BeTrue(), "its prompt takes a second")
	g.Expect(mayBegin(start.Add(2100*time.Millisecond))).To(BeFalse(), "the weights expire before it is read")
	g.Expect(set.MaySend(start, "a", Query{Service: "s"}, 0, backpressure.Permit{})).To(BeTrue(), "needs no weights")
	set.LearnVersion("a", "m", 2)
	g.Expect(mayBegin(start)).To(BeFalse(), "the runner has other weights now")
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeTrue())
	leaving := runner("a", "z")
	leaving.Draining = true
	set.Put(leaving)
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.MaySend(start, "a", Query{Service: "s"}, 0, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.Stays("a", "s")).To(BeFalse())
	set.Remove("a")
	g.Expect(set.MaySend(start, "a", query, 2, backpressure.Permit{})).To(BeFalse())
}

// The choice weighed them; a request that is on its way does not turn back for them.
func TestEvidenceSinceTheChoiceDoesNotKeepARequestFromBeginning(t *testing.T) {
	g := NewWithT(t)
	set, _ := ledgerSet()
	query := Query{Service: "s", Excluded: []string{"a"}, MaxQueue: time.Millisecond}
	for range 20 {
		set.Begin(start, "a", 1000)
	}
	set.End(start, set.Begin(start, "a", 0), Unreachable)
	g.Expect(set.MaySend(start, "a", query, 0, backpressure.Permit{})).To(BeTrue())
}

func TestRequestThatIsNotConfirmedIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	set, _ := ledgerSet()
	now := start.Add(time.Second)
	set.End(now, set.Begin(start, "a", 1000), NotConfirmed)
	e := set.entries["a"]
	g.Expect(e.currentWait(now)).To(BeZero())
	g.Expect(e.currentFailureShare(now)).To(BeZero())
	g.Expect(e.asideUntil).To(BeZero())
	g.Expect([]int{e.inFlight, e.pendingTokens, e.unanswered}).To(Equal([]int{0, 0, 0}))
}
