package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

func TestRateIsKeptAndRetryAfterIsTrue(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 10, MaxConcurrent: 1000}
	admitted := 0
	for range 100 {
		if limiter.Admit(start, "t", "gold", limits).Reason == Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(20), "two seconds of burst")
	refused := limiter.Admit(start, "t", "gold", limits)
	g.Expect(refused.Reason).To(Equal(RateExceeded))
	g.Expect(limiter.Admit(start.Add(refused.RetryAfter), "t", "gold", limits).Reason).To(Equal(Admitted))
}

func TestConcurrencyIsKept(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 100, MaxConcurrent: 2}
	g.Expect(limiter.Admit(start, "t", "gold", limits).Reason).To(Equal(Admitted))
	g.Expect(limiter.Admit(start, "t", "gold", limits).Reason).To(Equal(Admitted))
	g.Expect(limiter.Admit(start, "t", "gold", limits).Reason).To(Equal(TooManyInFlight))
	limiter.Release("t")
	g.Expect(limiter.Admit(start, "t", "gold", limits).Reason).To(Equal(Admitted))
}

func TestHeavyTenantsWaitShareShrinks(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 100, MaxConcurrent: 10}
	for _, tenant := range []string{"heavy", "light", "other"} {
		limiter.Admit(start, tenant, "gold", limits)
	}
	limiter.Admit(start, "elsewhere", "silver", limits)
	limiter.Use(start, "heavy", 9000)
	limiter.Use(start, "light", 100)
	limiter.Use(start, "elsewhere", 100000)
	g.Expect(limiter.WaitShare(start, "light")).To(Equal(1.0))
	g.Expect(limiter.WaitShare(start, "heavy")).To(BeNumerically("~", 0.5, 0.02))
	g.Expect(limiter.WaitShare(start, "elsewhere")).To(Equal(1.0), "alone in its tier")
	g.Expect(limiter.WaitShare(start.Add(time.Hour), "heavy")).To(Equal(1.0), "use decays")
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	g := NewWithT(t)
	budget := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.Earn()
		for budget.Spend() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", 105))
	g.Expect(retries).To(BeNumerically(">=", 100))
}

func TestNodeShareIsNeverNothing(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NodeShare(2, 1, 400)).To(Equal(Limits{RequestsPerSecond: 1, MaxConcurrent: 1}))
	g.Expect(NodeShare(100, 30, 3).MaxConcurrent).To(Equal(10))
}

func TestPromisesAreSpacedByWhatTheClassGets(t *testing.T) {
	g := NewWithT(t)
	promises := NewPromises()
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		promises.Admitted(now, 2)
	}
	first := promises.Refuse(now, 1, 2, time.Second)
	second := promises.Refuse(now, 2, 2, time.Second)
	g.Expect(first).To(Equal(time.Second))
	g.Expect(second-first).To(BeNumerically("~", 143*time.Millisecond, 15*time.Millisecond), "seven tenths of ten a second")
	g.Expect(promises.Refuse(now, 1, 2, time.Second)).To(Equal(first), "asked again too early: the place is kept")
}

func TestPromiseIsHonouredOnceAndAtItsTime(t *testing.T) {
	g := NewWithT(t)
	promises := NewPromises()
	after := promises.Refuse(start, 7, 1, time.Second)
	g.Expect(promises.Redeem(start.Add(after/2), 7)).To(BeFalse())
	g.Expect(promises.Outstanding(start, 1)).To(BeTrue())
	g.Expect(promises.Outstanding(start, 0)).To(BeFalse(), "another class")
	g.Expect(promises.Redeem(start.Add(after), 7)).To(BeTrue())
	g.Expect(promises.Redeem(start.Add(after), 7)).To(BeFalse())
	g.Expect(promises.Outstanding(start, 1)).To(BeFalse())
	promises.Refuse(start, 8, 1, time.Second)
	g.Expect(promises.Outstanding(start.Add(time.Minute), 1)).To(BeFalse(), "the caller did not come back")
}

func TestSmallReserveStillLetsAttemptsBeEarned(t *testing.T) {
	budget := NewRetryBudget(0.25, 0.3)
	budget.SetReserve(0.3)
	if budget.Spend() {
		t.Fatal("an attempt that nobody earned")
	}
	for range 3 {
		budget.Earn()
	}
	if !budget.Spend() {
		t.Fatal("an earned attempt was refused")
	}
	for range 100 {
		budget.Earn()
	}
	if !budget.Spend() || budget.Spend() {
		t.Fatal("one attempt may be saved up, no more")
	}
}
