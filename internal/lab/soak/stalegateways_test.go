package soak

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// checkTallies returns the failures that the tallies of a run lead to.
func checkTallies(tallies staleTallies) []string {
	s := &Soak{settings: Settings{Out: io.Discard}}
	f := newStaleGatewayInjector(s)
	f.tallies = tallies
	f.check()
	return s.failures
}

// Guards against a run that passes although nothing was taken up at stale gateways.
func TestStaleGatewaysWithoutTakeUpsFail(t *testing.T) {
	g := NewWithT(t)
	g.Expect(checkTallies(staleTallies{})).To(HaveLen(1))
	few := staleTally{takenUp: attemptTally{minStaleTakeUps - 1, minStaleTakeUps - 1}, isJudged: true}
	g.Expect(checkTallies(staleTallies{{1, "paused, at the end"}: &few})).To(HaveLen(1))
}

// Guards against refused streams that are not noticed, and against failures where the store is away, or new streams do not begin
// either.
func TestStreamsRefusedAtStaleGatewaysFail(t *testing.T) {
	g := NewWithT(t)
	tally := func(takenUp, begun int, isJudged bool) staleTallies {
		return staleTallies{
			{1, "x"}: {takenUp: attemptTally{100, takenUp}, begun: attemptTally{100, begun}, isJudged: isJudged},
			{2, "x"}: {takenUp: attemptTally{100, 0}, isJudged: true},
		}
	}
	g.Expect(checkTallies(tally(95, 100, true))).To(BeEmpty())
	g.Expect(checkTallies(tally(94, 95, true))).To(HaveLen(1))
	g.Expect(checkTallies(tally(94, 94, true))).To(BeEmpty())
	g.Expect(checkTallies(tally(0, 100, false))).To(BeEmpty())
}

// Guards against attempts at a gateway that counts as stale before or long after its fault, and against such that are judged while the
// store does not answer it.
func TestPhaseOfAttemptAtStaleGateway(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	e := &staleEpisode{from: now, to: now.Add(time.Second)}
	phase := func(fault storestand.Fault, after time.Duration) (string, bool) {
		return e.phase(&staleAttempt{stale: staleGateway{kind: staleKind{name: "k", storeFault: fault}}, sentAt: now.Add(after)})
	}
	for _, expected := range []struct {
		fault    storestand.Fault
		after    time.Duration
		name     string
		isJudged bool
	}{
		{storestand.Healthy, -time.Millisecond, "", false},
		{storestand.Healthy, time.Millisecond, "k, meanwhile", true},
		{storestand.Busy, time.Millisecond, "k, meanwhile", false},
		{storestand.Busy, time.Second + maxAfterEnd, "k, at the end", true},
		{storestand.Busy, time.Second + endTime, "k, afterwards", true},
		{storestand.Healthy, time.Second + endTime + afterStaleTime + time.Millisecond, "", false},
	} {
		name, isJudged := phase(expected.fault, expected.after)
		g.Expect(name).To(Equal(expected.name), "%+v", expected)
		g.Expect(isJudged).To(Equal(expected.isJudged), "%+v", expected)
	}
}

// Guards against lost streams that count although their gateway could not have recorded them, and the reverse.
func TestStreamsOfKilledGatewaysCountOnceRecorded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := &staleCaller{episode: &staleEpisode{newVersion: "v2", joinAt: now}}
	origin := func(killedAfter time.Duration) *process {
		return &process{lives: []life{{startedAt: now.Add(-time.Minute), endedAt: now.Add(killedAfter)}}}
	}
	lost := func(version string, beganAfter time.Duration, origin *process) bool {
		return c.wasLost(&receivedStream{beganAt: now.Add(beganAfter)}, version, origin)
	}
	alive := &process{lives: []life{{startedAt: now.Add(-time.Minute)}}}
	g.Expect(lost("v1", 0, alive)).To(BeFalse())
	g.Expect(lost("v1", -time.Second, origin(maxDrainDelay))).To(BeTrue())
	g.Expect(lost("v1", -time.Second, origin(maxDrainDelay+maxRecordTime))).To(BeFalse())
	g.Expect(lost("v2", time.Second, origin(time.Second+maxRecordTime/2))).To(BeTrue())
	g.Expect(lost("v2", time.Second, origin(time.Second+maxRecordTime))).To(BeFalse())
}
