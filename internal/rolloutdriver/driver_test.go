package rolloutdriver

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
	"github.com/clovertiller/clovertiller/internal/wire"
)

func TestGoodVersionSucceedsBeforeTheDeadline(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.run(testDuration - testTick)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against allowances of a lost leader that are granted a second time, and against a new
// leader that grants before it knows what the schedulers have used.
func TestNextLeaderTakesTheReservationAsSpent(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	f.leader.isStopped = true
	f.leader = nil
	f.run(versionrollout.PermitDuration)
	exposed, reserved := f.exposed, f.stored.Status.Reserved
	f.g.Expect(exposed).To(BeNumerically("<=", reserved))
	f.run(testLease + testLeaseGap - versionrollout.PermitDuration)
	f.g.Expect(f.exposed).To(Equal(exposed), "no permit outlives its leader by more than a second")
	f.leader = f.routers[1]
	f.run(500 * time.Millisecond)
	f.g.Expect(f.exposed).To(Equal(exposed), "the lost scheduler may still report")
	f.runUntilExposed(exposed + 1)
	f.g.Expect(f.routers[1].Summaries(f.now)[0].Allowed).To(BeNumerically(">", reserved))
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against a new leader that waits for the report of the lost one for as long as if it had heard nothing before it led.
func TestNextLeaderKnowsThatTheLostOneIsSilent(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	f.leader.isStopped = true
	f.replaceLeader(f.routers[1])
	f.run(800 * time.Millisecond)
	f.g.Expect(f.leader.Summaries(f.now)[0].Phase).To(Equal("testing"))
}

// Guards against a leader that was cut off, grants what it had reserved, and is replaced meanwhile.
func TestLeaderThatIsCutOffGrantsNothingAfterItsTerm(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	first := f.leader
	first.isCutOff, first.lacksStore = true, true
	f.replaceLeader(f.routers[1])
	f.run(versionrollout.PermitDuration) // The permit that it gave to itself at the end of its term.
	own := first.ownExposed
	f.run(testDuration / 2)
	f.g.Expect(first.ownExposed).To(Equal(own))
	first.isCutOff, first.lacksStore = false, false
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against an allowance of a lost scheduler that is handed out again: it may have been used.
func TestAllowanceOfALostSchedulerCountsAsSpent(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	allowed := f.leader.Summaries(f.now)[0].Allowed
	f.routers[2].isStopped = true
	f.run(2 * time.Second)
	f.g.Expect(f.leader.Summaries(f.now)[0].Allowed).To(BeNumerically(">=", allowed))
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against a scheduler that uses its allowance without a leader that learns of it.
func TestSchedulerThatIsCutOffFromTheLeaderSendsNothing(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	cutOff := f.routers[2]
	cutOff.isCutOff = true
	f.run(versionrollout.PermitDuration)
	exposed := cutOff.ownExposed
	f.run(3 * time.Second)
	f.g.Expect(cutOff.ownExposed).To(Equal(exposed))
	cutOff.isCutOff = false
	f.run(3 * time.Second)
	f.g.Expect(cutOff.ownExposed).To(BeNumerically(">", exposed))
}

// Guards against steps of a holder of the lease that is no scheduler.
func TestHolderOfTheLeaseThatIsNoSchedulerTakesNoStep(t *testing.T) {
	f := newTestFleet(t, 4)
	f.routers[3].isNoPlacer = true
	f.leader = f.routers[3]
	f.order(testDuration)
	f.run(testDuration + time.Second)
	f.g.Expect(f.stored.Status).To(BeNil())
	f.g.Expect(f.exposed).To(BeZero())
}

// Guards against allowances that were not reserved before.
func TestNothingBeyondTheReservationIsAllowedWithoutTheStore(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(5)
	f.storeFails = true
	reserved := f.stored.Status.Reserved
	f.run(2 * time.Second)
	f.g.Expect(f.exposed).To(BeNumerically("<=", reserved))
	f.storeFails = false
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against what was spent being spent again after the store was restored from a copy.
func TestReservationOutlivesARestoredStore(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.run(500 * time.Millisecond)
	backup := *f.stored
	f.runUntilExposed(20)
	reserved := f.stored.Status.Reserved
	f.g.Expect(backup.Status.Reserved).To(BeNumerically("<", reserved))
	f.stored = &backup
	f.revision += 100 // The next era.
	f.run(5 * testTick)
	f.g.Expect(f.stored.Status.Reserved).To(BeNumerically(">=", reserved))
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

func TestFinalStateOutlivesARestoredStore(t *testing.T) {
	f := newTestFleet(t, 3)
	f.isBad = true
	f.order(testDuration)
	f.run(500 * time.Millisecond)
	backup := *f.stored
	f.run(testDuration / 2)
	f.g.Expect(f.state()).To(Equal(versionrollout.RolledBack))
	exposed, reason := f.exposed, f.stored.Status.Reason
	f.stored = &backup
	f.revision += 100 // The next era.
	f.run(time.Second)
	f.g.Expect(f.state()).To(Equal(versionrollout.RolledBack))
	f.g.Expect(f.stored.Status.Reason).To(Equal(reason))
	f.g.Expect(f.exposed).To(Equal(exposed))
}

// Guards against a leader that condemns the version while its write of the success is under way: the old runners
// stop at the stored success, so no router may keep to them.
func TestStoredSuccessHoldsOverARollbackThatWasNotStored(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	leader := f.leader
	leader.mutex.Lock()
	leader.enterState(leader.byService[testService], versionrollout.RolledBack, "bad answers")
	leader.mutex.Unlock()
	succeeded := *f.stored.Status
	succeeded.State, succeeded.Writer = versionrollout.Succeeded, "other"
	f.stored = &StoredRollout{Order: f.stored.Order, Status: &succeeded}
	f.revision++
	f.run(2 * testTick)
	for _, r := range f.routers {
		f.g.Expect(r.Summaries(f.now)[0].State).To(Equal("succeeded"), r.address)
	}
}

// Guards against allowances of the earlier runs of all routers that are forgotten.
func TestReservationOutlivesARestartOfAllRouters(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(20)
	reserved := f.stored.Status.Reserved
	for i := range f.routers {
		f.restart(i)
	}
	f.replaceLeader(f.routers[0])
	f.run(2 * time.Second)
	summary := f.leader.Summaries(f.now)[0]
	f.g.Expect(summary.Allowed).To(BeNumerically(">=", reserved))
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against a budget that begins at zero when all routers restart: what was reserved before would
// exceed it, and nothing could be tested until as many requests have come again.
func TestBudgetOutlivesARestartOfAllRouters(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.run(testDuration / 2)
	before := f.leader.Summaries(f.now)[0].Budget
	for i := range f.routers {
		f.restart(i)
	}
	f.replaceLeader(f.routers[0])
	f.run(500 * time.Millisecond)
	after := f.leader.Summaries(f.now)[0].Budget
	f.g.Expect(after).To(BeNumerically(">=", 0.9*float64(before)), "the store had at least nine tenths of the requests")
}

// Guards against requests to the runners of a later order that this router does not know yet: they are listed
// as soon as that order is written, and the store may bring the order seconds later.
func TestVersionOfAnUnknownOrderGetsNoRequests(t *testing.T) {
	for name, bad := range map[string]bool{"running": false, "rolled back": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.isBad = bad
			f.order(testDuration)
			f.run(testDuration / 2)
			r := f.routers[0]
			f.g.Expect(f.state()).To(Equal(map[bool]versionrollout.State{false: versionrollout.Running, true: versionrollout.RolledBack}[bad]))
			for i := range 4 {
				r.set.Put(backend.Runner{ID: fmt.Sprint("later-", i), Service: testService, Zone: "z", SoftwareVersion: "v3", Slots: 8})
			}
			r.UpdateRules()
			_, candidates := r.set.Candidates(f.now, backend.Query{Service: testService})
			f.g.Expect(candidates).To(HaveLen(4))
			for _, candidate := range candidates {
				f.g.Expect(candidate.Name).NotTo(HavePrefix("later"))
			}
		})
	}
}

// Guards against an order that inherits the state or the account of the one that it replaces.
func TestChangedOrderBeginsANewAccount(t *testing.T) {
	f := newTestFleet(t, 3)
	f.isBad = true
	f.order(testDuration)
	f.run(testDuration / 2)
	f.g.Expect(f.state()).To(Equal(versionrollout.RolledBack))
	f.isBad, f.requests, f.exposed = false, 0, 0
	f.order(2 * testDuration)
	f.run(time.Second)
	f.g.Expect(f.state()).To(Equal(versionrollout.Running))
	f.g.Expect(f.stored.Status.Reserved).To(BeNumerically("<=", testShare*float64(f.requests)+testSlack))
	f.run(2*testDuration - time.Second - testTick)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against an order that comes back into force after another one has replaced it, because a write of
// its status was still under way.
func TestReplacedOrderDoesNotComeBackByItsStatus(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.routers[0]
	target := func() string { return r.Summaries(f.now)[0].Target }
	first := versionrollout.Order{Service: testService, Target: "v0", Duration: time.Hour}
	second := versionrollout.Order{Service: testService, Target: testTarget, Duration: time.Hour}
	r.Apply(Object{Name: "first", Revision: 1, Rollout: &StoredRollout{Order: first}})
	r.Apply(Object{Name: "second", Revision: 2, Rollout: &StoredRollout{Order: second}})
	r.Apply(Object{Name: "first", Revision: 3, Rollout: &StoredRollout{Order: first, Status: &Status{}}})
	f.g.Expect(target()).To(Equal(testTarget))
	first.Duration *= 2
	r.Apply(Object{Name: "first", Revision: 4, Rollout: &StoredRollout{Order: first}})
	f.g.Expect(target()).To(Equal("v0"), "the operator has changed it")
	r.Apply(Object{Name: "second", Revision: 5, Rollout: &StoredRollout{Order: second, Status: &Status{}}})
	f.g.Expect(target()).To(Equal("v0"))
}

// Guards against routers that follow different orders for a service, and take the target version of the other one
// for the old version: a copy of the store brings objects in any sequence.
func TestOrderThatWasWrittenLastHolds(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.routers[0]
	first := versionrollout.Order{Service: testService, Target: "v0", Duration: time.Hour}
	second := versionrollout.Order{Service: testService, Target: testTarget, Duration: time.Hour}
	r.Apply(Object{Name: "second", Revision: 2, Rollout: &StoredRollout{Order: second}})
	r.Apply(Object{Name: "first", Revision: 1, Rollout: &StoredRollout{Order: first}})
	f.g.Expect(r.Summaries(f.now)[0].Target).To(Equal(testTarget))
	r.Apply(Object{Name: "first", Revision: 3, Rollout: &StoredRollout{Order: first, Status: &Status{}}})
	f.g.Expect(r.Summaries(f.now)[0].Target).To(Equal(testTarget), "the status of the first order was written")
}

func TestDeletedOrderSendsNothingMore(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(5)
	f.stored = nil
	for _, r := range f.routers {
		r.Apply(Object{Name: testService})
	}
	exposed := f.exposed
	f.run(time.Second)
	f.g.Expect(f.exposed).To(Equal(exposed))
	f.g.Expect(f.routers[0].Summaries(f.now)).To(BeEmpty())
}

// Guards against permits of a previous build, which bound a share and no number.
func TestPermitOfAPreviousBuildAllowsNothing(t *testing.T) {
	f := newTestFleet(t, 2)
	f.leader = nil
	f.routers[0].answer = func(*wire.RolloutReport) *wire.RolloutPermit {
		return &wire.RolloutPermit{Granted: true, Share: testShare}
	}
	f.order(testDuration)
	f.run(testDuration)
	f.g.Expect(f.exposed).To(BeZero())
}

// Guards against a permit for a placer of a previous build, which would exceed it, and against a budget that
// its requests raise although nothing bounds what it sends to the target version.
func TestReportOfAPreviousBuildGetsNoPermit(t *testing.T) {
	f := newTestFleet(t, 2)
	f.order(testDuration)
	f.run(time.Second)
	order := f.stored.Order
	report := encodeReport(order, versionrollout.Report{Requests: 10_000})
	report.Counted, report.From = false, ""
	budget := f.leader.Summaries(f.now)[0].Budget
	permit := f.leader.HandleReport(&wire.Envelope{From: "node", FromIncarnation: 7}, report)
	f.g.Expect(permit.GetGranted()).To(BeFalse())
	f.g.Expect(permit.GetReportAfterMillis()).To(BeZero())
	f.g.Expect(f.leader.Summaries(f.now)[0].Budget).To(Equal(budget))
}

// Guards against the exposure of a previous build that is forgotten because its routers' requests are not
// part of the account.
func TestExposureOfAPreviousBuildCountsItsRequests(t *testing.T) {
	f := newTestFleet(t, 2)
	f.order(testDuration)
	f.stored.Status = &Status{Uncounted: true}
	report := encodeReport(f.stored.Order, versionrollout.Report{Requests: 10_000})
	report.Counted = false
	for f.leader.byService[testService] == nil || f.leader.byService[testService].lead.controller == nil {
		f.run(testTick)
	}
	f.leader.HandleReport(&wire.Envelope{From: "node", FromIncarnation: 7}, report)
	f.run(time.Second)
	f.g.Expect(f.stored.Status.Reserved).To(BeNumerically(">=", 900))
}

// Guards against a status of a previous build, which has no reservation, being taken for one of a
// rollout that has spent nothing.
func TestStatusOfAPreviousBuildCountsAsSpent(t *testing.T) {
	for _, promoted := range []bool{false, true} {
		f := newTestFleet(t, 3)
		f.order(testDuration)
		f.stored.Status = &Status{Uncounted: true, UncountedPromotion: promoted}
		f.run(2 * time.Second)
		status := f.stored.Status
		f.g.Expect(status.Uncounted).To(BeFalse())
		if promoted {
			f.g.Expect(f.exposed).To(BeZero())
			f.g.Expect(status.Reserved).To(BeNumerically(">=", unknownReservation))
		} else {
			f.g.Expect(status.Reserved).To(BeNumerically(">", 0))
		}
		f.run(testDuration)
		f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded), "at the latest after the deadline")
	}
}

// Guards against a reservation of another leader that counts as the leader's own, because this one has
// just asked for the same number: the other one may have allowed all of it.
func TestReservationOfAnotherLeaderIsNotGrantedAgain(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.runUntilExposed(10)
	f.leader.writesFail = true
	lead := &f.leader.byService[testService].lead
	for lead.reserve <= f.stored.Status.Reserved {
		f.run(testTick)
	}
	other := *f.stored.Status
	other.Reserved, other.Writer = lead.reserve, "other"
	f.stored = &StoredRollout{Order: f.stored.Order, Status: &other}
	f.revision++
	f.leader.writesFail = false
	f.run(400 * time.Millisecond)
	summary := f.leader.Summaries(f.now)[0]
	f.g.Expect(summary.Phase).To(Equal("testing"))
	f.g.Expect(summary.Allowed).To(BeNumerically(">=", other.Reserved))
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
	f.expectWithinBound()
}

// Guards against evidence from requests that could not be sent, that may crash any runner, or that were
// open when one runner was lost.
func TestEndsThatAreNoEvidence(t *testing.T) {
	f := newTestFleet(t, 1)
	f.order(testDuration)
	f.run(500 * time.Millisecond)
	r := f.routers[0]
	send := r.set.Begin(f.now, "4", 0)
	query := backend.Query{Service: testService, Route: "route", TargetVersion: testTarget}
	bad := func() uint64 {
		total := uint64(0)
		for _, route := range r.Summaries(f.now)[0].Routes {
			total += route.TargetBad
		}
		return total
	}
	f.leader = nil
	f.run(2 * time.Second)
	for range 20 {
		r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Unreachable, NotSent: true})
		r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.NotConfirmed})
		r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Refused})
	}
	suspect := query
	suspect.SuspectContent = 1
	r.RecordOutcome(f.now, suspect, send, SendEnd{Outcome: backend.Failed})
	f.g.Expect(bad()).To(BeZero())
	for range 20 {
		r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Unreachable, ConnectionLost: true})
		r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Failed, ConnectionLost: true})
	}
	f.g.Expect(bad()).To(Equal(uint64(1)))
	r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Failed})
	f.g.Expect(bad()).To(Equal(uint64(2)))
}

// Guards against tests with requests that may crash runners, with retries, and with requests whose router
// has not learned of the order.
func TestRequestsThatTestNothing(t *testing.T) {
	f := newTestFleet(t, 1)
	f.order(testDuration)
	f.runUntilExposed(3)
	r := f.routers[0]
	for _, query := range []backend.Query{
		{Service: testService, Route: "route", SuspectContent: 1},
		{Service: testService, Route: "route", Excluded: []string{"0"}},
		{Service: testService},
	} {
		for range 100 {
			f.g.Expect(r.TakeTarget(f.now, query, r.set)).To(Equal(Target{}))
		}
	}
}

// Guards against streams that the version under test began and that cannot go on, take more than the permitted
// requests, or are sent to another version.
func TestBoundStreamsTakePermittedRequestsOfTheirVersion(t *testing.T) {
	f := newTestFleet(t, 1)
	f.order(testDuration)
	f.runUntilExposed(3)
	r := f.routers[0]
	bound := backend.Query{Service: testService, Route: "route", Excluded: []string{"4"}, BoundVersion: testTarget}
	taken := 0
	for range 200 {
		f.run(testTick)
		if target := r.TakeTarget(f.now, bound, r.set); target != (Target{}) {
			f.g.Expect(target.Version).To(Equal(testTarget))
			f.g.Expect(target.IsCounted()).To(BeTrue())
			taken++
		}
	}
	f.g.Expect(taken).To(BeNumerically(">", 0))
	f.g.Expect(f.exposed + taken).To(BeNumerically("<=", f.stored.Status.Reserved))
	bound.BoundVersion = "another"
	for range 1000 {
		f.g.Expect(r.TakeTarget(f.now, bound, r.set)).To(Equal(Target{}))
	}
	f.g.Expect(r.Fallback(bound, func(string) bool { return false })).To(BeEmpty())
}

// Guards against frequent reports to a lost leader until the end of the rollout.
func TestPlacerReportsLessOftenToALostLeader(t *testing.T) {
	f := newTestFleet(t, 2)
	f.order(testDuration)
	f.run(time.Second)
	schedule := &f.routers[1].byService[testService].placer.schedule
	schedule.leaderInterval = 20 * time.Millisecond
	f.g.Expect(schedule.leader).To(Equal("r0"))
	f.leader.isStopped = true
	f.run(2 * time.Second)
	f.g.Expect(schedule.leader).To(BeEmpty())
	f.g.Expect(schedule.interval(f.now, f.deadline)).To(Equal(reportInterval))
}

// Guards against requests to the target version that nobody has allowed, because the runners of the other
// versions are gone.
func TestFallbackNeedsAPromotion(t *testing.T) {
	f := newTestFleet(t, 2)
	f.order(testDuration)
	query := backend.Query{Service: testService, Route: "route"}
	failedThere := false
	fallback := func() string {
		return f.routers[1].Fallback(query, func(string) bool { return failedThere })
	}
	f.run(time.Second)
	f.g.Expect(fallback()).To(BeEmpty(), "while the version is tested")
	for f.stored.Status == nil || !f.stored.Status.Promoted {
		f.run(testTick)
	}
	f.run(testTick)
	f.g.Expect(fallback()).To(Equal(testTarget))
	failedThere = true
	f.g.Expect(fallback()).To(BeEmpty(), "a request goes there once")
	failedThere, f.isBad = false, true
	for f.state() == versionrollout.Running {
		f.run(testTick)
	}
	f.run(testTick)
	f.g.Expect(f.state()).To(Equal(versionrollout.RolledBack))
	f.g.Expect(fallback()).To(BeEmpty())
}

// Guards against an allowance that grows by requests that were never taken from it.
func TestFallbackThatIsNotSentReturnsNothing(t *testing.T) {
	f := newTestFleet(t, 1)
	f.order(testDuration)
	f.runUntilExposed(3)
	r := f.routers[0]
	query := backend.Query{Service: testService, Route: "route", TargetVersion: testTarget, Fallback: true}
	exposed := r.byService[testService].placer.exposure.Exposed()
	r.RecordOutcome(f.now, query, r.set.Begin(f.now, "4", 0), SendEnd{Outcome: backend.Unreachable, NotSent: true})
	f.g.Expect(r.byService[testService].placer.exposure.Exposed()).To(Equal(exposed))
	query.Fallback = false
	r.RecordOutcome(f.now, query, r.set.Begin(f.now, "4", 0), SendEnd{Outcome: backend.Unreachable, NotSent: true})
	f.g.Expect(r.byService[testService].placer.exposure.Exposed()).To(Equal(exposed - 1))
}

// Guards against a good version that counts as slow because the few runners on which it is tested are in
// another region.
func TestDistanceToAnotherRegionIsNoSlowness(t *testing.T) {
	f := newTestFleet(t, 1)
	f.order(testDuration)
	f.run(time.Second)
	f.leader = nil
	f.run(2 * time.Second)
	r := f.routers[0]
	query := backend.Query{Service: testService, Route: "route", TargetVersion: testTarget}
	bad := func() uint64 { return r.Summaries(f.now)[0].Routes[0].TargetBad }
	send := r.set.Begin(f.now.Add(-45*time.Millisecond), "4", 0)
	before := bad()
	r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Succeeded, RoundTrip: 40 * time.Millisecond})
	f.g.Expect(bad()).To(Equal(before))
	send = r.set.Begin(f.now.Add(-500*time.Millisecond), "4", 0)
	r.RecordOutcome(f.now, query, send, SendEnd{Outcome: backend.Succeeded, RoundTrip: 40 * time.Millisecond})
	f.g.Expect(bad()).To(Equal(before + 1))
}

// Guards against a success that is decided by a list of runners which may lack that the new ones have gone: the old runners stop at once.
func TestLeaderWithAnOldListOfRunnersEndsNothing(t *testing.T) {
	f := newTestFleet(t, 3)
	f.order(testDuration)
	f.run(testDuration / 2)
	f.leader.hasOldList = true
	f.run(testDuration)
	f.g.Expect(f.state()).To(Equal(versionrollout.Running))
	f.leader.hasOldList = false
	f.run(time.Second)
	f.g.Expect(f.state()).To(Equal(versionrollout.Succeeded))
}

// Guards against requests to a version that is tested, or was rolled back, at a router that has not read the orders yet: that none is known
// shows nothing, nor does a version that is alone on a partial list.
func TestRouterThatHasNotReadTheOrdersSendsNothingToAVersionOfSeveral(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.routers[0]
	r.ordersKnown = false
	candidates := func() int {
		r.UpdateRules()
		_, found := r.set.Candidates(f.now, backend.Query{Service: testService})
		return len(found)
	}
	f.g.Expect(candidates()).To(BeZero())
	for i := range 4 {
		r.set.Remove(fmt.Sprint(i))
	}
	r.hasPartialList = true
	f.g.Expect(candidates()).To(BeZero(), "only the target version is listed yet")
	r.hasPartialList = false
	f.g.Expect(candidates()).To(Equal(4), "all runners have one version")
	r.Retain(nil)
	f.g.Expect(candidates()).To(Equal(4))
}
