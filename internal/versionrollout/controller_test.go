package versionrollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// rolloutAt is the start of the rollouts of the tests below, which take 100 s.
var rolloutAt = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return rolloutAt.Add(time.Duration(seconds * float64(time.Second)))
}

func newTestController(change func(*Config)) *Controller {
	config := Config{
		Order:    Order{Service: "s", Target: "v2", Duration: 100 * time.Second},
		MaxShare: simulatedShare, Slack: simulatedSlack, EarliestStart: rolloutAt, LatestStart: rolloutAt, LeaderSince: rolloutAt,
	}
	if change != nil {
		change(&config)
	}
	c := NewController(config)
	c.SetCapacity(Capacity{TargetRunners: 1, TargetSlots: 10, Load: 5})
	return c
}

// placed returns a report of answered requests, in which 1 of 100 answers of the old version and the given number of
// the target version are bad.
func placed(requests, exposed, bad uint64) Report {
	return Report{Requests: requests, Exposed: exposed, Routes: map[string]RouteTally{
		"a": {Old: Tally{Answers: requests - exposed, Bad: (requests - exposed) / 100}, Target: Tally{Answers: exposed, Bad: bad}},
	}}
}

var (
	own   = Source{Router: "own"}
	other = Source{Router: "other"}
)

// steps lets a placer place and report 12 requests a second for some time. One in 60, or one in three while it is
// promoted, goes to the target version within its allowance. It returns the last decision.
func steps(c *Controller, source Source, from, to float64, report *Report, badOf func(exposed uint64) uint64) (last Decision) {
	for second := from; second <= to; second += 0.25 {
		report.Requests += 3
		permit := c.Permit(at(second), source)
		if permit.Allowance > report.Exposed && (permit.Promoted || report.Requests%60 == 0) {
			report.Exposed++
		}
		*report = Report{Requests: report.Requests, Exposed: report.Exposed, Promoted: permit.Promoted, Routes: placed(report.Requests, report.Exposed, badOf(report.Exposed)).Routes}
		c.Report(at(second), source, *report)
		last = c.Step(at(second))
		if last.Reserve > 0 {
			c.RecordReserved(last.Reserve)
		}
	}
	return last
}

func noneBad(uint64) uint64 { return 0 }

// Guards against requests that are allowed before the store has the reservation.
func TestNothingIsAllowedBeyondTheReservation(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.Report(at(1), own, placed(100, 0, 0))
	decision := c.Step(at(1))
	g.Expect(decision.Phase).To(Equal(Testing))
	g.Expect(decision.Reserve).To(BeNumerically(">", 0))
	g.Expect(c.Permit(at(1), own).Allowance).To(BeZero(), "the store has not accepted the reservation")
	c.RecordReserved(decision.Reserve)
	allowance := c.Permit(at(1), own).Allowance
	g.Expect(allowance).To(And(BeNumerically(">", 0), BeNumerically("<=", decision.Reserve)))
	for i := range 100 {
		source := Source{Router: "r", Incarnation: uint64(i)}
		c.Report(at(1), source, placed(100, 0, 0))
		c.Permit(at(1), source)
	}
	g.Expect(c.Allowed()).To(BeNumerically("<=", decision.Reserve), "also over all incarnations of a router")
	g.Expect(c.Step(at(1.1)).Reserve).To(BeZero(), "at most two writes a second")
}

// Guards against two leaders that both hand out the same part of the budget.
func TestNewLeaderCountsTheReservationAsSpent(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(func(config *Config) { config.Reserved = 40 })
	c.Report(at(30), own, placed(100, 20, 0))
	g.Expect(c.Allowed()).To(BeEquivalentTo(40), "what the placer has reported is part of it")
	c.Step(at(30))
	g.Expect(c.Permit(at(30), own).Allowance).To(BeZero())
	c.RecordOther(45)
	c.RecordOther(43)
	g.Expect(c.Allowed()).To(BeEquivalentTo(45), "reserved by another leader meanwhile")
	g.Expect(c.Permit(at(30), own).Allowance).To(BeZero())
}

// Guards against a store that was restored from a copy without the reservation.
func TestReportedExposureCountsWithoutReservation(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(func(config *Config) { config.Reserved = 5 })
	c.Report(at(30), own, placed(100, 20, 0))
	c.Report(at(30), other, placed(100, 25, 0))
	g.Expect(c.Allowed()).To(BeEquivalentTo(45))
	g.Expect(c.account.spent(at(30))).To(BeEquivalentTo(45))
	c.Step(at(30))
	g.Expect(c.Permit(at(30), own).Allowance).To(BeZero())
	g.Expect(AssumedReservation(0.1, 50, 1000)).To(BeEquivalentTo(27), "a fifth of nine tenths of 150")
}

// Guards against an account that forgets the requests of placers that were lost or cut off.
func TestAllowanceOfLostPlacerStaysSpent(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.Report(at(1), own, placed(100, 0, 0))
	c.RecordReserved(c.Step(at(1)).Reserve)
	allowance := c.Permit(at(1), own).Allowance
	g.Expect(allowance).To(BeNumerically(">", 0))
	c.Report(at(50), other, placed(100, 0, 0))
	c.Step(at(50))
	g.Expect(c.Allowed()).To(BeNumerically(">=", allowance))
	g.Expect(c.account.spent(at(50))).To(BeNumerically(">=", allowance))
	c.Report(at(51), Source{Router: own.Router, Incarnation: 1}, placed(0, 0, 0))
	g.Expect(c.Allowed()).To(BeNumerically(">=", allowance), "its next incarnation counts anew")
}

// Guards against late reports that lower counts, and thereby what is spent.
func TestReportsInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.Report(at(2), own, placed(200, 20, 3))
	c.Report(at(2.1), own, placed(100, 10, 1))
	total := c.Totals()
	g.Expect(total.Requests).To(BeEquivalentTo(200))
	g.Expect(total.Exposed).To(BeEquivalentTo(20))
	g.Expect(total.Routes["a"].Target).To(Equal(Tally{Answers: 20, Bad: 3}))
}

// Guards against a new leader that decides on the counts of one of several schedulers.
func TestNewLeaderWaitsForSchedulers(t *testing.T) {
	g := NewWithT(t)
	newLeader := func() *Controller {
		c := newTestController(func(config *Config) { config.LeaderSince, config.Reserved = at(90), 100 })
		c.SetSchedulers(at(90), []string{"other", "silent"})
		c.Report(at(90), own, placed(100, 20, 20))
		return c
	}
	c := newLeader()
	g.Expect(c.Step(at(90.1)).Phase).To(Equal(Waiting))
	g.Expect(c.Permit(at(90.1), own)).To(HaveField("Allowance", BeZero()))
	c.Report(at(90.2), other, placed(100, 0, 0))
	g.Expect(c.Step(at(90.2)).Phase).To(Equal(Waiting), "one is missing")
	g.Expect(c.Step(at(91)).State).To(Equal(RolledBack), "it was silent for longer than a permit lasts")
	c = newLeader()
	c.Report(at(90.2), other, placed(100, 0, 0))
	c.Report(at(90.3), Source{Router: "silent"}, placed(100, 0, 0))
	g.Expect(c.Step(at(90.3)).State).To(Equal(RolledBack))
}

// Guards against a leader that is cut off from all others and decides on what it received before.
func TestLeaderThatIsCutOffDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.SetSchedulers(at(0), []string{"other"})
	c.Report(at(1), other, placed(1000, 10, 0))
	for second := 1.0; second < 200; second++ {
		c.Report(at(second), own, placed(0, 0, 0))
		decision := c.Step(at(second))
		g.Expect(decision.State).To(Equal(Running))
		g.Expect(decision.Phase).To(Equal(Testing))
	}
	// Also in a promotion: the one router that still reports is no scheduler and places nothing.
	c = newTestController(nil)
	report := &Report{}
	steps(c, own, 0, 98, report, noneBad)
	c.SetSchedulers(at(99), []string{"own"})
	for second := 99.25; second < 200; second++ {
		c.Report(at(second), other, Report{Promoted: true})
		g.Expect(c.Step(at(second))).To(And(HaveField("Phase", Promoting), HaveField("State", Running)), "at %v s", second)
	}
}

// Guards against a leader without any knowledge of the service that promotes a version or rolls it back.
func TestLeaderThatHearsNobodyDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.SetCapacity(Capacity{})
	c.SetSchedulers(at(0), []string{"other"})
	for second := 1.0; second < 200; second++ {
		c.Report(at(second), own, placed(0, 0, 0))
		decision := c.Step(at(second))
		g.Expect(decision.State).To(Equal(Running))
		g.Expect(decision.Phase).To(Equal(Testing))
	}
}

func TestServiceWithoutRequestsIsMoved(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.SetSchedulers(at(0), []string{"other"})
	promoted, end := time.Time{}, time.Time{}
	for second := 1.0; second < 100; second += 0.25 {
		for _, source := range []Source{own, other} {
			c.Report(at(second), source, Report{Promoted: !promoted.IsZero()})
		}
		decision := c.Step(at(second))
		if promoted.IsZero() && decision.Phase == Promoting {
			promoted = at(second)
		}
		if end.IsZero() && decision.State == Succeeded {
			end = at(second)
		}
	}
	g.Expect(promoted).To(BeTemporally(">=", at(60)))
	g.Expect(end).To(And(BeTemporally(">=", at(90)), BeTemporally("<", at(100))))
}

// Guards against a good version that is rolled back for lack of requests.
func TestTooFewAnswersAreNoEvidence(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.SetSchedulers(at(0), []string{"other"})
	var decision Decision
	for second := 1.0; second < 99.5; second += 0.25 {
		c.Report(at(second), other, Report{Requests: uint64(second / 10), Promoted: second > 90, Routes: map[string]RouteTally{"a": {Old: Tally{Answers: uint64(second / 10)}}}})
		decision = c.Step(at(second))
		g.Expect(decision.State).NotTo(Equal(RolledBack))
	}
	g.Expect(decision.State).To(Equal(Succeeded))
}

// Guards against a version that passes because its bad answers never come.
func TestRequestsWithoutAnswerAreEvidence(t *testing.T) {
	run := func(change func(*Report)) (last Decision) {
		c := newTestController(nil)
		for i := range 40 {
			requests, exposed := uint64(100+40*i), uint64(min(i, 30))
			report := Report{Requests: requests, Exposed: exposed, OpenOld: 4, Routes: map[string]RouteTally{"a": {Old: Tally{Answers: requests - exposed}}}}
			change(&report)
			c.Report(at(float64(i)), own, report)
			last = c.Step(at(float64(i)))
		}
		return last
	}
	g := NewWithT(t)
	decision := run(func(*Report) {})
	g.Expect(decision.State).To(Equal(RolledBack))
	g.Expect(decision.Reason).To(ContainSubstring("no answer"))
	g.Expect(run(func(r *Report) { r.Unjudged = r.Exposed }).State).To(Equal(Running), "they ended without evidence")
	g.Expect(run(func(r *Report) { r.Routes = nil }).State).To(Equal(Running), "answers of the old version are missing as well")
	g.Expect(run(func(r *Report) { r.OpenOld = 0 }).State).To(Equal(Running), "it isn't known how long answers take")
}

// Guards against a good version that is rolled back because its answers take long, and many requests came to it
// with the promotion.
func TestLongAnswersOfPromotedVersion(t *testing.T) {
	g := NewWithT(t)
	const answerTime, rate = 8.0, 20.0
	c := newTestController(nil)
	var sentOld, sentTarget []float64
	for second := 0.0; second < 100; second += 0.05 {
		permit := c.Permit(at(second), own)
		exposed := uint64(len(sentTarget))
		if exposed < permit.Allowance && (permit.Promoted || int(second*rate)%50 == 0) {
			sentTarget = append(sentTarget, second)
		} else {
			sentOld = append(sentOld, second)
		}
		answered := func(sent []float64) (n uint64) {
			for _, s := range sent {
				if s+answerTime <= second {
					n++
				}
			}
			return n
		}
		c.Report(at(second), own, Report{
			Requests: uint64(len(sentOld) + len(sentTarget)), Exposed: uint64(len(sentTarget)), Promoted: permit.Promoted, OpenOld: uint64(len(sentOld)) - answered(sentOld),
			Routes: map[string]RouteTally{"a": {Old: Tally{Answers: answered(sentOld)}, Target: Tally{Answers: answered(sentTarget)}}},
		})
		decision := c.Step(at(second))
		if decision.Reserve > 0 {
			c.RecordReserved(decision.Reserve)
		}
		g.Expect(decision.State).NotTo(Equal(RolledBack), "at %.2f s: %s", second, decision.Reason)
	}
	g.Expect(c.Step(at(99.99)).State).To(Equal(Succeeded))
}

// Guards against the end of the old runners while the new ones can't carry the service.
func TestPromotionWaitsForCapacity(t *testing.T) {
	g := NewWithT(t)
	c, report := newTestController(nil), &Report{}
	c.SetCapacity(Capacity{TargetRunners: 1, TargetSlots: 4, Load: 5})
	g.Expect(steps(c, own, 0, 99, report, noneBad).Phase).To(Equal(Testing))
	g.Expect(steps(c, own, 99, 150, report, noneBad).State).To(Equal(Running), "also after the deadline")
	c.SetCapacity(Capacity{TargetRunners: 2, TargetSlots: 8, Load: 5})
	g.Expect(steps(c, own, 150, 152, report, noneBad).State).To(Equal(Succeeded))
}

// A target version whose runners never start is rolled back before the deadline.
func TestTargetWithoutRunnersIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	c, report := newTestController(nil), &Report{}
	c.SetCapacity(Capacity{})
	g.Expect(steps(c, own, 0, 90, report, noneBad).State).To(Equal(Running))
	g.Expect(steps(c, own, 90, 99.75, report, noneBad).State).To(Equal(RolledBack))
}

// Guards against an end that is written although the requests still to come exceed the budget.
func TestEndWaitsForTheDeadlineIfTheBudgetIsSpent(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(func(config *Config) { config.Reserved, config.LatestStart = 10_000, at(5) })
	report := &Report{}
	for second := 0.0; second < 105; second += 0.25 {
		g.Expect(steps(c, own, second, second, report, noneBad).State).To(Equal(Running))
	}
	g.Expect(report.Exposed).To(BeZero())
	c.Report(at(105), other, Report{Promoted: true, OpenOld: 3})
	g.Expect(steps(c, own, 105, 105.75, report, noneBad).State).To(Equal(Running), "requests at the old runners are still open")
	g.Expect(steps(c, own, 106, 108, report, noneBad).State).To(Equal(Running), "nothing has been tested")
	g.Expect(steps(c, own, 108, 160, report, noneBad).State).To(Equal(Succeeded))
}

// Guards against an end in a burst that would exceed the bound after the old runners have stopped.
func TestEndWaitsForTheDeadlineInABurst(t *testing.T) {
	g := NewWithT(t)
	c, report := newTestController(nil), &Report{}
	g.Expect(steps(c, own, 0, 98, report, noneBad).Phase).To(Equal(Promoting))
	isOver := false
	for second := 98.0; second < 100; second += 0.05 {
		// 500 requests a second
		report.Requests += 25
		if isOver {
			report.Exposed += 25
			continue
		}
		c.Report(at(second), own, Report{Requests: report.Requests, Exposed: report.Exposed, Promoted: true, Routes: placed(report.Requests, report.Exposed, 0).Routes})
		isOver = c.Step(at(second)).State == Succeeded
	}
	g.Expect(float64(report.Exposed)).To(BeNumerically("<=", simulatedShare*float64(report.Requests)+simulatedSlack))
}

// Guards against the end of the old runners before all placers send to the new ones, and against an end long
// before the deadline.
func TestEndWaitsForAllPlacers(t *testing.T) {
	g := NewWithT(t)
	c, report, behind := newTestController(nil), &Report{}, Report{}
	var decision Decision
	for second := 0.0; second < 99.5; second += 0.25 {
		c.Report(at(second), other, behind)
		decision = steps(c, own, second, second, report, noneBad)
		g.Expect(decision.State).To(Equal(Running))
	}
	g.Expect(decision.Phase).To(Equal(Promoting))
	behind.Promoted = true
	c.Report(at(99.5), other, behind)
	g.Expect(c.Step(at(99.5)).State).To(Equal(Succeeded))
	c.Report(at(99.6), own, placed(report.Requests, report.Exposed+200, 150))
	decision = c.Step(at(99.6))
	g.Expect(decision.State).To(Equal(RolledBack), "the end was not written yet")
	g.Expect(c.Permit(at(99.6), own).Allowance).To(BeZero())
	g.Expect(c.Step(at(99.7)).State).To(Equal(RolledBack), "a version that was condemned stays so")
}

// Guards against a version that turns bad during the promotion and keeps all requests.
func TestVersionThatTurnsBadInThePromotion(t *testing.T) {
	g := NewWithT(t)
	c, report := newTestController(nil), &Report{}
	second, phase := 0.0, Testing
	for ; phase != Promoting; second += 0.25 {
		phase = steps(c, own, second, second, report, noneBad).Phase
	}
	before, began := report.Exposed, second
	var decision Decision
	for ; decision.Phase != Ended; second += 0.25 {
		decision = steps(c, own, second, second, report, func(exposed uint64) uint64 { return exposed - before })
	}
	g.Expect(decision.State).To(Equal(RolledBack))
	g.Expect(second - began).To(BeNumerically("<", rollbackLimit.Seconds()))
}

// Guards against a good version that is rolled back for a failure of both that begins in the promotion, when
// the old version gets no requests to compare with.
func TestBothVersionsFailInThePromotion(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	tally := RouteTally{}
	promotions, paused, state := 0, false, Running
	phase := Testing
	for second := 0.0; second < 100; second += 0.05 {
		permit := c.Permit(at(second), own)
		failing := promotions > 0
		exposed := tally.Target.Answers
		isTest := !permit.Promoted && (tally.Old.Answers+exposed)%60 == 59
		if (permit.Promoted || isTest) && exposed < permit.Allowance {
			tally.Target.Answers++
			if failing {
				tally.Target.Bad++
			}
		} else {
			tally.Old.Answers++
			if failing {
				tally.Old.Bad++
			}
		}
		c.Report(at(second), own, Report{
			Requests: tally.Old.Answers + tally.Target.Answers, Exposed: tally.Target.Answers, Promoted: permit.Promoted,
			Routes: map[string]RouteTally{"a": tally},
		})
		decision := c.Step(at(second))
		if decision.Reserve > 0 {
			c.RecordReserved(decision.Reserve)
		}
		if decision.Phase == Promoting && phase != Promoting {
			promotions++
		}
		paused = paused || decision.Phase == Waiting
		phase, state = decision.Phase, decision.State
	}
	g.Expect(paused).To(BeTrue())
	g.Expect(promotions).To(Equal(2))
	g.Expect(state).To(Equal(Succeeded))
}

// Guards against a success after a second promotion that a placer has confirmed in the first one only.
func TestPauseEndsTheConfirmationsOfAPromotion(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	report := placed(100, 0, 0)
	report.Promoted = true
	c.Report(at(70), own, report)
	c.promotedAt = at(69)
	g.Expect(c.account.placers[own].isPromoted).To(BeTrue())
	g.Expect(c.isPaused(at(70), c.counts(at(70)), "bad answers")).To(BeTrue())
	c.Report(at(70.25), own, placed(101, 0, 0))
	g.Expect(c.account.placers[own].isPromoted).To(BeFalse())
}

// Guards against a good start that covers what comes later: recent answers are judged on their own.
func TestVersionThatTurnsBadLate(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(func(config *Config) { config.Order.Duration = 20 * time.Second })
	counted := RouteTally{}
	var decision Decision
	for i := range 100 {
		counted.Old.Answers += 50
		counted.Target.Answers += 5
		if i >= 90 {
			counted.Target.Bad++
		}
		c.Report(at(0.1*float64(i)), own, Report{Requests: counted.Old.Answers + counted.Target.Answers, Exposed: counted.Target.Answers, Routes: map[string]RouteTally{"a": counted}})
		decision = c.Step(at(0.1 * float64(i)))
	}
	g.Expect(decision.State).To(Equal(RolledBack), "10 of the last 50 answers, 10 of all 500")
}

// Guards against a version that fails on a route of few requests only, which the answers of all routes
// together don't show: 31 of 1,030 are bad there, and 1 of 100 of the old version.
func TestVersionThatIsBadOnARouteOfFewRequests(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.Report(at(1), own, Report{Requests: 11_330, Exposed: 1030, Routes: map[string]RouteTally{
		"busy":  {Old: Tally{Answers: 10_000, Bad: 100}, Target: Tally{Answers: 1000, Bad: 10}},
		"quiet": {Old: Tally{Answers: 300, Bad: 3}, Target: Tally{Answers: 30, Bad: 21}},
	}})
	decision := c.Step(at(1))
	g.Expect(decision.State).To(Equal(RolledBack))
	g.Expect(decision.Reason).To(ContainSubstring("route quiet"))
}

// Guards against a promotion on the word of nobody: all routers restarted, what was counted is lost, and
// the reservation leaves nothing for further tests before the deadline.
func TestVersionIsTestedBeyondTheDeadlineAfterTheLossOfAllCounts(t *testing.T) {
	for name, bad := range map[string]bool{"good": false, "bad": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestController(func(config *Config) {
				config.Reserved, config.Requests, config.LeaderSince = 120, 840, at(70)
			})
			badOf := noneBad
			if bad {
				badOf = func(exposed uint64) uint64 { return exposed }
			}
			report := &Report{}
			decision := steps(c, own, 70, 100, report, badOf)
			g.Expect(decision.Phase).To(Equal(Testing))
			g.Expect(decision.State).To(Equal(Running))
			exposedBefore := report.Exposed
			decision = steps(c, own, 100.25, 110, report, badOf)
			g.Expect(decision.State).To(Equal(Running))
			g.Expect(report.Exposed-exposedBefore).To(BeNumerically("<=", 5), "tests go on with a small share")
			decision = steps(c, own, 110.25, 200, report, badOf)
			g.Expect(decision.State).To(Equal(map[bool]State{false: Succeeded, true: RolledBack}[bad]))
		})
	}
}

// Guards against a write to the store every half second for the whole rollout: the budget grows with each
// request, and each bit of it was reserved at once.
func TestReservationsAreMadeInSteps(t *testing.T) {
	g := NewWithT(t)
	c, report, reservations, reserved := newTestController(func(config *Config) { config.Order.Duration = 10 * time.Minute }), &Report{}, 0, uint64(0)
	for second := 0.0; second < 550; second += 0.25 {
		steps(c, own, second, second, report, noneBad)
		if c.account.reserved > reserved {
			reservations, reserved = reservations+1, c.account.reserved
		}
	}
	g.Expect(report.Exposed).To(BeNumerically(">", 50))
	g.Expect(reservations).To(BeNumerically("<=", 2*reserveSteps))
}

func TestFinalStateStays(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	c.Report(at(1), own, placed(200, 20, 20))
	g.Expect(c.Step(at(1)).State).To(Equal(RolledBack))
	c.Report(at(90), own, placed(20000, 2000, 20))
	g.Expect(c.Step(at(90)).State).To(Equal(RolledBack))
}

// Guards against an old version that answers as badly and is not taken into account.
func TestFailureOfBothVersions(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	for i := range 50 {
		old, target := uint64(50*i), uint64(2*i)
		c.Report(at(float64(i)), own, Report{Requests: old + target, Exposed: target, Routes: map[string]RouteTally{
			"a": {Old: Tally{Answers: old, Bad: old / 2}, Target: Tally{Answers: target, Bad: target / 2}},
		}})
		g.Expect(c.Step(at(float64(i))).State).To(Equal(Running))
	}
}

// Guards against a leader and placers that exchange 40 reports a second for minutes, because a promotion that
// would fit has to wait for something else.
func TestLongWaitHasLongIntervals(t *testing.T) {
	g := NewWithT(t)
	c, report := newTestController(func(config *Config) { config.Order.Duration = time.Hour }), &Report{}
	c.SetCapacity(Capacity{TargetRunners: 1, TargetSlots: 1, Load: 2})
	for second := 0.0; second < 4000; second += 10 {
		report.Requests++
		c.Report(at(second), own, placed(report.Requests, 0, 0))
		decision := c.Step(at(second))
		if second < 3590 || second > 3610 {
			g.Expect(decision.WakeAfter).To(Equal(usualInterval), "at %v s", second)
		}
	}
}

// Guards against a rollout of some seconds in which the leader or the placers are too slow for the end.
func TestShortRolloutHasShortIntervals(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(func(config *Config) { config.Order.Duration = 6 * time.Second })
	report := &Report{}
	for second := 0.0; second < 5.8; second += 0.05 {
		report.Requests += 4
		c.Report(at(second), own, placed(report.Requests, 0, 0))
		decision := c.Step(at(second))
		g.Expect(c.Permit(at(second), own).ReportAfter).To(Equal(decision.WakeAfter))
		if second > 5.3 {
			g.Expect(decision.WakeAfter).To(BeNumerically("<=", 50*time.Millisecond), "at %.2f s", second)
		}
	}
}

// Guards against a promotion that uses up what comes after the end: the end would then have to wait for the
// deadline.
func TestPromotionKeepsBackWhatTheEndNeeds(t *testing.T) {
	g := NewWithT(t)
	c := newTestController(nil)
	report := &Report{}
	phase, second := Testing, 0.0
	for ; phase != Promoting; second += 0.25 {
		phase = steps(c, own, second, second, report, noneBad).Phase
	}
	c.RecordReserved(1_000)
	c.account.spentBefore = 0
	for range 1000 {
		exposed := c.Permit(at(second), own).Allowance
		report.Exposed, report.Requests = exposed, report.Requests+1
		c.Report(at(second), own, placed(report.Requests, report.Exposed, 0))
	}
	rate := float64(report.Requests) / second
	g.Expect(float64(c.Allowed())).To(BeNumerically("<=", float64(c.Budget())-rate))
	g.Expect(c.Allowed()).To(BeNumerically(">", c.Budget()/2))
}

// Guards against an end in the expectation of fewer requests than come: they can no longer be held back then.
func TestRateIsEstimatedFromAbove(t *testing.T) {
	g := NewWithT(t)
	for _, rates := range [][]float64{{10, 10, 10, 10, 10}, {10, 10, 10, 10, 30}, {30, 10, 10, 10, 10}, {10, 10, 10, 30, 10}} {
		c := newTestController(nil)
		requests, highest := 0.0, 0.0
		for second := 0.0; second < 100; second += 0.25 {
			rate := rates[int(second/20)]
			requests += rate / 4
			if second > 80 {
				highest = max(highest, rate)
			}
			c.Report(at(second), own, placed(uint64(requests), 0, 0))
			c.Step(at(second))
		}
		g.Expect(c.forecast.rate).To(BeNumerically(">=", 2*requests/100-1))
		g.Expect(c.forecast.rate).To(BeNumerically(">=", 1.2*highest))
		before := c.forecast.rate
		c.SetSchedulers(at(99), []string{"silent"})
		c.Step(at(99.75))
		g.Expect(c.forecast.rate).To(BeNumerically("~", 2*before, before/10), "a scheduler that can't report places requests as well")
	}
}

// Guards against bad luck of the old version shortly before the promotion that covers a target version which is bad
// under load, and against a failure of the old version that is not seen there.
func TestOldVersionBeforeThePromotion(t *testing.T) {
	g := NewWithT(t)
	oldShare := func(bad uint64) float64 {
		start := counts{at: at(0), routes: map[string]RouteTally{}}
		h := newHistory(100*time.Second, counts{}, start)
		usual := counts{at: at(90), routes: map[string]RouteTally{"a": {Old: Tally{Answers: 10_000, Bad: 200}}}, sum: RouteTally{Old: Tally{Answers: 10_000, Bad: 200}}}
		h.add(usual)
		recent := RouteTally{Old: Tally{Answers: 10_040, Bad: 200 + bad}}
		current := counts{at: at(91), routes: map[string]RouteTally{"a": recent}, sum: recent}
		h.add(current)
		h.keepOld(current)
		return h.oldShares["a"]
	}
	g.Expect(oldShare(4)).To(BeZero(), "4 of the last 40, 204 of 10,040")
	g.Expect(oldShare(12)).To(BeNumerically(">", 0.3))
}

// Guards against a rollout that ends by a list of runners which may lack changes, whatever is on it.
func TestOldListOfRunnersEndsNothing(t *testing.T) {
	for name, capacity := range map[string]Capacity{"no runner": {IsOutdated: true}, "enough runners": {TargetRunners: 2, TargetSlots: 8, Load: 5, IsOutdated: true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, report := newTestController(nil), &Report{}
			c.SetCapacity(capacity)
			g.Expect(steps(c, own, 0, 150, report, noneBad).State).To(Equal(Running), "also after the deadline")
			g.Expect(steps(c, own, 150, 155, report, func(exposed uint64) uint64 { return exposed }).State).To(Equal(RolledBack), "for its answers")
		})
	}
}

// Guards against a new leader that waits for a scheduler which was lost before it led, and against one that takes a scheduler for lost
// because nobody reported to it, or before that had time to report.
func TestNewLeaderDoesNotWaitForASchedulerThatWasSilentBefore(t *testing.T) {
	const lost = "lost"
	for name, test := range map[string]struct {
		heardAt map[string]time.Time
		reports bool
		ready   float64
	}{
		"silent before":           {heardAt: map[string]time.Time{lost: at(18.5)}, reports: true, ready: 20.5},
		"silent for a short time": {heardAt: map[string]time.Time{lost: at(19.8)}, reports: true, ready: 20.8},
		"never heard":             {reports: true, ready: 21},
		"nobody reports":          {heardAt: map[string]time.Time{lost: at(18.5), other.Router: at(18.5)}, ready: 21},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestController(func(config *Config) { config.LeaderSince, config.HeardAt = at(20), test.heardAt })
			for tenth := 200; tenth <= 215; tenth++ {
				second := float64(tenth) / 10
				c.SetSchedulers(at(second), []string{other.Router, lost})
				c.Report(at(second), own, placed(100, 0, 0))
				if test.reports {
					c.Report(at(second), other, placed(100, 0, 0))
				}
				g.Expect(c.Step(at(second)).Phase == Waiting).To(Equal(second < test.ready), "at %v s", second)
			}
		})
	}
}
