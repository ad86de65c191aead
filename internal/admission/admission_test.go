package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var startTime = time.Unix(1_000, 0)

func TestLimiterEnforcesRateAndReportsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 10, MaxConcurrent: 1000}
	admitted := 0
	for range 100 {
		if limiter.Admit(startTime, "t", "gold", limits).Reason == Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(20), "the burst covers two seconds of the rate")
	decision := limiter.Admit(startTime, "t", "gold", limits)
	g.Expect(decision.Reason).To(Equal(RateExceeded))
	g.Expect(limiter.Admit(startTime.Add(decision.RetryAfter), "t", "gold", limits).Reason).To(Equal(Admitted))
}

func TestLimiterEnforcesConcurrency(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 100, MaxConcurrent: 2}
	g.Expect(limiter.Admit(startTime, "t", "gold", limits).Reason).To(Equal(Admitted))
	g.Expect(limiter.Admit(startTime, "t", "gold", limits).Reason).To(Equal(Admitted))
	g.Expect(limiter.Admit(startTime, "t", "gold", limits).Reason).To(Equal(TooManyInFlight))
	limiter.Release("t")
	g.Expect(limiter.Admit(startTime, "t", "gold", limits).Reason).To(Equal(Admitted))
}

func TestMaxWaitFactorShrinksForHeavyTenants(t *testing.T) {
	g := NewWithT(t)
	limiter := NewLimiter()
	limits := Limits{RequestsPerSecond: 100, MaxConcurrent: 10}
	for _, tenant := range []string{"heavy", "light", "other"} {
		limiter.Admit(startTime, tenant, "gold", limits)
	}
	limiter.Admit(startTime, "elsewhere", "silver", limits)
	limiter.RecordUsage(startTime, "heavy", 9000)
	limiter.RecordUsage(startTime, "light", 100)
	limiter.RecordUsage(startTime, "elsewhere", 100000)
	g.Expect(limiter.MaxWaitFactor(startTime, "light")).To(Equal(1.0))
	g.Expect(limiter.MaxWaitFactor(startTime, "heavy")).To(BeNumerically("~", 0.5, 0.02))
	g.Expect(limiter.MaxWaitFactor(startTime, "elsewhere")).To(Equal(1.0), "the tenant is alone in its tier")
	g.Expect(limiter.MaxWaitFactor(startTime.Add(time.Hour), "heavy")).To(Equal(1.0), "usage decays")
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	g := NewWithT(t)
	budget := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.Deposit()
		for budget.TryWithdraw() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", 105))
	g.Expect(retries).To(BeNumerically(">=", 100))
}

// Guards against a router that gets most connections and can send only its equal share of retries when a runner
// crashes under its requests.
func TestRetryBudgetFollowsTraffic(t *testing.T) {
	g := NewWithT(t)
	const ratio, capacity, rate = 0.15, 5.0, 185
	withdraw := func(budget *RetryBudget) (retries int) {
		for budget.TryWithdraw() {
			retries++
		}
		return retries
	}
	busy, now := NewRetryBudget(ratio, capacity), startTime
	deposit := func(seconds int) {
		for range seconds * rate {
			now = now.Add(time.Second / rate)
			busy.DepositAt(now)
		}
	}
	deposit(3)
	busy.SetCapacity(capacity)
	g.Expect(withdraw(busy)).To(BeNumerically("~", capacity+ratio*rate, 2))
	g.Expect(withdraw(NewRetryBudget(ratio, capacity))).To(Equal(int(capacity)))
	retries := 0
	for range 10 {
		deposit(1)
		retries += withdraw(busy)
	}
	g.Expect(retries).To(BeNumerically("<=", ratio*rate*10+1), "what is saved does not add to the rate")
	now = now.Add(time.Minute)
	for range 100 {
		busy.DepositAt(now)
	}
	g.Expect(withdraw(busy)).To(BeNumerically("<=", capacity+ratio*100+1), "savings of earlier traffic are gone")
}

func TestPerNodeLimitsAreAtLeastOne(t *testing.T) {
	g := NewWithT(t)
	g.Expect(PerNodeLimits(2, 1, 400)).To(Equal(Limits{RequestsPerSecond: 1, MaxConcurrent: 1}))
	g.Expect(PerNodeLimits(100, 30, 3).MaxConcurrent).To(Equal(10))
}

func TestReservationsAreSpacedByAdmissionRate(t *testing.T) {
	g := NewWithT(t)
	schedule := NewRetrySchedule()
	now := startTime
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		schedule.RecordAdmission(now, 2)
	}
	first := schedule.ReserveForTicket(now, 1, 2, time.Second)
	second := schedule.ReserveForTicket(now, 2, 2, time.Second)
	g.Expect(first).To(Equal(time.Second))
	g.Expect(second-first).To(BeNumerically("~", 143*time.Millisecond, 15*time.Millisecond), "0.7 times 10 admissions per second")
	g.Expect(schedule.ReserveForTicket(now, 1, 2, time.Second)).To(Equal(first), "an early retry keeps its reservation")
}

func TestReservationIsRedeemedOnceAndWhenDue(t *testing.T) {
	g := NewWithT(t)
	schedule := NewRetrySchedule()
	after := schedule.ReserveForTicket(startTime, 7, 1, time.Second)
	g.Expect(schedule.Redeem(startTime.Add(after/2), 7)).To(BeFalse())
	g.Expect(schedule.HasOutstanding(startTime, 1)).To(BeTrue())
	g.Expect(schedule.HasOutstanding(startTime, 0)).To(BeFalse(), "reservations of another class do not count")
	g.Expect(schedule.Redeem(startTime.Add(after), 7)).To(BeTrue())
	g.Expect(schedule.Redeem(startTime.Add(after), 7)).To(BeFalse())
	g.Expect(schedule.HasOutstanding(startTime, 1)).To(BeFalse())
	schedule.ReserveForTicket(startTime, 8, 1, time.Second)
	g.Expect(schedule.HasOutstanding(startTime.Add(time.Minute), 1)).To(BeFalse(), "the reservation has expired")
}

func TestRetryBudgetCapacityIsAtLeastOne(t *testing.T) {
	budget := NewRetryBudget(0.25, 0.3)
	budget.SetCapacity(0.3)
	if budget.TryWithdraw() {
		t.Fatal("a retry was allowed before any was earned")
	}
	for range 3 {
		budget.Deposit()
	}
	if !budget.TryWithdraw() {
		t.Fatal("an earned retry was refused")
	}
	for range 100 {
		budget.Deposit()
	}
	if !budget.TryWithdraw() || budget.TryWithdraw() {
		t.Fatal("want exactly one retry to be saved up")
	}
}
