package versionrollout

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPermitRunsOut(t *testing.T) {
	g := NewWithT(t)
	e := Exposure{}
	g.Expect(e.Take(at(0))).To(BeFalse())
	e.SetPermit(at(0), Permit{Share: 1, Allowance: 10})
	g.Expect(e.Take(at(0).Add(PermitDuration - time.Millisecond))).To(BeTrue())
	g.Expect(e.Take(at(0).Add(PermitDuration))).To(BeFalse(), "the leader was not reached for the whole time")
	e.SetPermit(at(1), Permit{Share: 1, Allowance: 10})
	e.Revoke()
	g.Expect(e.Take(at(1))).To(BeFalse())
	e.SetPermit(at(2), Permit{Share: 1, Allowance: 10})
	e.SetPermit(at(2), Permit{})
	g.Expect(e.Take(at(2))).To(BeFalse(), "the leader has ended the permit")
}

// Guards against more requests than allowed, whatever the share and the phase.
func TestAllowanceIsKept(t *testing.T) {
	g := NewWithT(t)
	e := Exposure{}
	taken := 0
	for _, permit := range []Permit{{Share: 1, Allowance: 5}, {Promoted: true, Allowance: 8}, {Promoted: true}, {Share: 0.5}} {
		e.SetPermit(at(0), permit)
		for range 50 {
			e.CountRequest(at(0))
			if e.Take(at(0)) {
				taken++
			}
		}
	}
	g.Expect(taken).To(Equal(8))
	g.Expect(e.Exposed()).To(BeEquivalentTo(8))
	e.Return()
	g.Expect(e.Exposed()).To(BeEquivalentTo(7), "it was not sent")
}

// Guards against an earlier permit, or the answer of an earlier leader, that replaces a later one.
func TestPermitsInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	e := Exposure{}
	e.SetPermit(at(0.2), Permit{Share: 1, Allowance: 1})
	e.SetPermit(at(0.1), Permit{Promoted: true, Allowance: 100})
	g.Expect(e.IsPromoted(at(0.3))).To(BeFalse())
	g.Expect(e.Take(at(0.3))).To(BeTrue())
	g.Expect(e.Take(at(0.3))).To(BeFalse())
}

// A placer whose share of the budget is used up still confirms the promotion, or the rollout would not end.
func TestPromotedWithoutAllowance(t *testing.T) {
	g := NewWithT(t)
	e := Exposure{}
	e.SetPermit(at(0), Permit{Promoted: true})
	g.Expect(e.IsPromoted(at(0.5))).To(BeTrue())
	g.Expect(e.Take(at(0.5))).To(BeFalse())
	g.Expect(e.IsPromoted(at(1))).To(BeFalse())
}

func TestExposureOfManyRoutersAddsUp(t *testing.T) {
	g := NewWithT(t)
	for _, routers := range []int{3, 81, 1000} {
		requests, exposed := 0, 0
		exposures := make([]Exposure, routers)
		random := rand.New(rand.NewPCG(7, uint64(routers)))
		for i := range exposures {
			exposures[i].SetPermit(at(0), Permit{Share: simulatedShare, Allowance: 1 << 20})
		}
		for range 100_000 {
			e := &exposures[random.IntN(routers)]
			if e.Take(at(0)) {
				exposed++
			}
			e.CountRequest(at(0))
			requests++
		}
		g.Expect(float64(exposed)).To(BeNumerically("<=", simulatedShare*float64(requests)), "%d routers", routers)
		g.Expect(float64(exposed)).To(BeNumerically(">", simulatedShare*float64(requests)*0.9-float64(routers)), "%d routers", routers)
	}
}

func targetTally(o *Outcomes) (Tally, uint64) {
	var report Report
	o.AddTo(&report)
	return report.Routes["a"].Target, report.Unjudged
}

// Guards against evidence from requests that say nothing of the version.
func TestWhatIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	o := &Outcomes{}
	for range 10 {
		o.Record(Completion{Route: "a", Runner: "old", Latency: 100 * time.Millisecond})
	}
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Result: AnswerFailed, IsSuspect: true})
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Result: CallerLeft, Latency: 50 * time.Millisecond})
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Result: NotSent})
	tally, unjudged := targetTally(o)
	g.Expect(tally).To(Equal(Tally{}))
	g.Expect(unjudged).To(BeEquivalentTo(2), "a request that was not sent is returned instead")
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Latency: 250 * time.Millisecond})
	tally, _ = targetTally(o)
	g.Expect(tally).To(Equal(Tally{Answers: 1}), "less than three times as slow")
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Latency: 310 * time.Millisecond})
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Result: CallerLeft, Latency: 310 * time.Millisecond})
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Result: AnswerFailed})
	tally, _ = targetTally(o)
	g.Expect(tally).To(Equal(Tally{Answers: 4, Bad: 3}))
}

// Guards against the loss of one runner that counts as often as it had open requests.
func TestLostRunnerCountsOnce(t *testing.T) {
	g := NewWithT(t)
	o := &Outcomes{}
	for range 30 {
		o.Record(Completion{Route: "a", IsTarget: true, Runner: "new-1/1", Result: ConnectionLost})
	}
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new-1/2", Result: ConnectionLost})
	tally, unjudged := targetTally(o)
	g.Expect(tally).To(Equal(Tally{Answers: 2, Bad: 2}), "its next incarnation counts again")
	g.Expect(unjudged).To(BeEquivalentTo(29))
}

// Guards against a good version that counts as slow because its answers of a millisecond waited for new
// connections.
func TestMillisecondsAreNoSlowness(t *testing.T) {
	g := NewWithT(t)
	var o Outcomes
	for range 20 {
		o.Record(Completion{Route: "a", Runner: "old", Latency: time.Millisecond})
	}
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Latency: 10 * time.Millisecond})
	var report Report
	o.AddTo(&report)
	g.Expect(report.Routes["a"].Target).To(Equal(Tally{Answers: 1}))
	o.Record(Completion{Route: "a", IsTarget: true, Runner: "new", Latency: 20 * time.Millisecond})
	o.AddTo(&report)
	g.Expect(report.Routes["a"].Target).To(Equal(Tally{Answers: 2, Bad: 1}))
}
