package backpressure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	start  = time.Unix(1_000_000, 0)
	runner = Runner{ID: "e", Incarnation: 1}
)

func TestPermitsKeepTheirPace(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetAlone()
	granted := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if permits.Wait(now, runner, 2) == 0 {
			permits.Take(now, runner, 2)
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically("~", 20, 1))
}

func TestNewSchedulerWaitsUntilOthersHaveCeasedToGrant(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	g.Expect(permits.Wait(start, runner, 1)).To(BeNumerically(">", 0), "grants nothing while it is none")
	g.Expect(permits.Promise(start, "s", askAgainTime, permits.Share(start, 1))).To(Equal(askAgainTime))
	g.Expect(permits.Promise(start, "s", askAgainTime, permits.Share(start, 1))).To(Equal(askAgainTime), "it has promised nothing")
	permits.SetParts(start, 3)
	g.Expect(permits.Wait(start.Add(handoverTime-time.Millisecond), runner, 1)).To(BeNumerically(">", 0))
	g.Expect(permits.Wait(start.Add(handoverTime), runner, 1)).To(BeZero())
}

func TestLargerPartCountsLater(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetParts(start, 4)
	now := start.Add(time.Minute)
	permits.SetParts(now, 2)
	g.Expect(permits.Share(now, 4)).To(Equal(1.0))
	g.Expect(permits.Share(now.Add(handoverTime), 4)).To(Equal(2.0))
	permits.SetParts(now.Add(time.Minute), 4)
	g.Expect(permits.Share(now.Add(time.Minute), 4)).To(Equal(1.0), "a smaller one counts at once")
}

func TestPermitLapses(t *testing.T) {
	g := NewWithT(t)
	permit := PermitAskedAt(start)
	g.Expect(permit.Valid(start.Add(permitTime - 1))).To(BeTrue())
	g.Expect(permit.Valid(start.Add(permitTime))).To(BeFalse())
	g.Expect(Permit{}.Valid(start)).To(BeFalse())
}

func TestLimitOfNothingIsAskedNowAndThen(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetAlone()
	g.Expect(permits.Wait(start, runner, 0)).To(BeZero())
	permits.Take(start, runner, 0)
	g.Expect(permits.Wait(start, runner, 0)).To(Equal(10 * time.Second))
	g.Expect(permits.Wait(start.Add(time.Second), runner, 5)).To(BeNumerically("<", time.Second), "a raised limit counts at once")
}

func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetAlone()
	g.Expect(permits.Promise(start, "s", time.Second, 2)).To(Equal(time.Second))
	g.Expect(permits.Promise(start, "s", time.Second, 2)).To(Equal(1500 * time.Millisecond))
	g.Expect(permits.Promise(start, "other", time.Second, 2)).To(Equal(time.Second))
	for range 100 {
		g.Expect(permits.Promise(start, "s", time.Second, 2)).To(BeNumerically("<=", longestPromise))
	}
}
