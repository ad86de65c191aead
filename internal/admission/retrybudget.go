package admission

import (
	"math"
	"time"
)

// RetryBudget limits retries to a ratio of the requests, so that a partial outage does not amplify
// its own load. Each request deposits a fraction of a retry. It is not safe for concurrent use.
type RetryBudget struct {
	ratio    float64
	capacity float64
	balance  float64
	// recent is what the requests of about the last savingTime earned, as of recentAt. It may be saved in
	// addition to the capacity.
	recent   float64
	recentAt time.Time
}

// savingTime is the time in which requests earn what a budget saves beyond its capacity. Several retries are
// needed at once when a runner crashes, in proportion to the requests that it was running.
const savingTime = time.Second

// Default parameters of a RetryBudget.
const (
	// DefaultRetryRatio allows one retry for every ten requests.
	DefaultRetryRatio = 0.1
	// DefaultRetryCapacity allows a few retries even when there is little traffic.
	DefaultRetryCapacity = 20
)

// NewRetryBudget returns a full budget.
func NewRetryBudget(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, capacity: capacity, balance: capacity}
}

// Deposit adds the fraction of a retry that one request earns.
func (b *RetryBudget) Deposit() { b.balance = min(b.balance+b.ratio, b.capacity) }

// DepositAt adds the fraction of a retry that one request earns at the given time. Of routers with equal
// capacities, one that gets most of the requests can save more than the others.
func (b *RetryBudget) DepositAt(now time.Time) {
	if elapsed := now.Sub(b.recentAt); elapsed > 0 {
		b.recent *= math.Exp(-elapsed.Seconds() / savingTime.Seconds())
		b.recentAt = now
	}
	b.recent += b.ratio
	b.balance = min(b.balance+b.ratio, b.capacity+b.recent)
}

// SetCapacity changes how many retries can be saved up. The capacity is at least one, because
// otherwise no retry could ever be earned.
func (b *RetryBudget) SetCapacity(capacity float64) {
	b.capacity = max(capacity, 1)
	b.balance = min(b.balance, b.capacity+b.recent)
}

// TryWithdraw takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
