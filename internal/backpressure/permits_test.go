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

func TestPermitsFollowRate(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetStandalone()
	granted := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if permits.Wait(now, runner, 2) == 0 {
			permits.Take(now, runner, 2)
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically("~", 20, 1))
}

func TestNewSchedulerWaitsForShareChangeDelay(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	g.Expect(permits.Wait(start, runner, 1)).To(BeNumerically(">", 0), "a router that is not a scheduler grants nothing")
	g.Expect(permits.RetryAfter(start, "s", defaultRetryAfter, permits.Share(start, 1))).To(Equal(defaultRetryAfter))
	g.Expect(permits.RetryAfter(start, "s", defaultRetryAfter, permits.Share(start, 1))).To(Equal(defaultRetryAfter), "without a share, retry times are not spaced")
	permits.SetSchedulerCount(start, 3)
	g.Expect(permits.Wait(start.Add(shareChangeDelay-time.Millisecond), runner, 1)).To(BeNumerically(">", 0))
	g.Expect(permits.Wait(start.Add(shareChangeDelay), runner, 1)).To(BeZero())
}

func TestLargerShareTakesEffectAfterDelay(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetSchedulerCount(start, 4)
	now := start.Add(time.Minute)
	permits.SetSchedulerCount(now, 2)
	g.Expect(permits.Share(now, 4)).To(Equal(1.0))
	g.Expect(permits.Share(now.Add(shareChangeDelay), 4)).To(Equal(2.0))
	permits.SetSchedulerCount(now.Add(time.Minute), 4)
	g.Expect(permits.Share(now.Add(time.Minute), 4)).To(Equal(1.0), "a smaller share takes effect at once")
}

func TestPermitExpires(t *testing.T) {
	g := NewWithT(t)
	permit := NewPermit(start)
	g.Expect(permit.Valid(start.Add(permitLifetime - 1))).To(BeTrue())
	g.Expect(permit.Valid(start.Add(permitLifetime))).To(BeFalse())
	g.Expect(Permit{}.Valid(start)).To(BeFalse())
}

func TestZeroRateIsProbedAtMinRate(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetStandalone()
	g.Expect(permits.Wait(start, runner, 0)).To(BeZero())
	permits.Take(start, runner, 0)
	g.Expect(permits.Wait(start, runner, 0)).To(Equal(10 * time.Second))
	g.Expect(permits.Wait(start.Add(time.Second), runner, 5)).To(BeNumerically("<", time.Second), "a higher limit takes effect at once")
}

func TestRetryTimesOfRefusedCallersAreSpaced(t *testing.T) {
	g, permits := NewWithT(t), NewPermits()
	permits.SetStandalone()
	g.Expect(permits.RetryAfter(start, "s", time.Second, 2)).To(Equal(time.Second))
	g.Expect(permits.RetryAfter(start, "s", time.Second, 2)).To(Equal(1500 * time.Millisecond))
	g.Expect(permits.RetryAfter(start, "other", time.Second, 2)).To(Equal(time.Second))
	for range 100 {
		g.Expect(permits.RetryAfter(start, "s", time.Second, 2)).To(BeNumerically("<=", maxRetryAfter))
	}
}
