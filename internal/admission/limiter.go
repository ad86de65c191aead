// Package admission decides at the ingress whether a tenant's request is taken
// in: rate, concurrency and fair share. What it refuses is refused at once and
// with the time after which to come back.
//
// The package has no I/O and no clock of its own.
package admission

import (
	"math"
	"time"
)

// Limits are one tenant's limits on this node.
type Limits struct {
	// RequestsPerSecond is this node's share of the tenant's rate.
	RequestsPerSecond float64
	// MaxConcurrent is this node's share of the tenant's open requests.
	MaxConcurrent int
}

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	Admitted        Reason = ""
	RateExceeded    Reason = "request rate is above the tenant's limit"
	TooManyInFlight Reason = "open requests are at the tenant's limit"
)

// Decision is the outcome of Admit.
type Decision struct {
	Reason Reason
	// RetryAfter is when a refused request would be admitted.
	RetryAfter time.Duration
}

const (
	// burstSeconds is how much unused rate a tenant may save up.
	burstSeconds = 2
	// minBurst lets a tenant with a small rate send a few requests together.
	minBurst = 4
	// concurrencyRetry is the wait told when the open requests are at the limit.
	concurrencyRetry = time.Second
	// shareHalfLife is the half-life of the tenants' measured use.
	shareHalfLife = 10 * time.Second
)

// tenantState is a tenant's bucket and use.
type tenantState struct {
	tokens   float64
	filled   time.Time
	inFlight int
	// use is the decaying sum of prompt tokens admitted.
	use    float64
	usedAt time.Time
	tier   string
}

// Limiter holds the tenants' state on one node. It is not safe for concurrent use.
type Limiter struct {
	tenants map[string]*tenantState
}

// NewLimiter returns a limiter without tenants.
func NewLimiter() *Limiter { return &Limiter{tenants: map[string]*tenantState{}} }

// NodeShare splits a tenant's limits evenly over the live routers. Each node's
// share is rounded up, so that small tenants can use any node.
func NodeShare(requestsPerSecond float64, maxConcurrent, nodes int) Limits {
	nodes = max(nodes, 1)
	return Limits{
		RequestsPerSecond: math.Max(requestsPerSecond/float64(nodes), 1),
		MaxConcurrent:     max((maxConcurrent+nodes-1)/nodes, 1),
	}
}

// Admit takes one request of a tenant in, or refuses it.
func (l *Limiter) Admit(now time.Time, tenant, tier string, limits Limits) Decision {
	state := l.state(now, tenant, limits)
	state.tier = tier
	if state.inFlight >= limits.MaxConcurrent {
		return Decision{Reason: TooManyInFlight, RetryAfter: concurrencyRetry}
	}
	state.refill(now, limits)
	if state.tokens < 1 {
		missing := (1 - state.tokens) / limits.RequestsPerSecond
		return Decision{Reason: RateExceeded, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	state.tokens--
	state.inFlight++
	return Decision{}
}

// Release ends one admitted request.
func (l *Limiter) Release(tenant string) {
	if state := l.tenants[tenant]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// Use adds prompt tokens to a tenant's measured use.
func (l *Limiter) Use(now time.Time, tenant string, tokens int) {
	if state := l.tenants[tenant]; state != nil {
		state.decay(now)
		state.use += float64(tokens)
	}
}

// WaitShare returns the factor by which the tenant's longest accepted wait is
// scaled: 1 for a tenant at or below its fair share of its tier's use, less for
// one above, so that under overload those who use most are refused first.
func (l *Limiter) WaitShare(now time.Time, tenant string) float64 {
	own := l.tenants[tenant]
	if own == nil {
		return 1
	}
	total, active := 0.0, 0
	for _, state := range l.tenants {
		if state.tier != own.tier {
			continue
		}
		state.decay(now)
		if state.use >= 1 {
			total += state.use
			active++
		}
	}
	if active < 2 || own.use <= total/float64(active) {
		return 1
	}
	return math.Max(total/float64(active)/own.use, minWaitShare)
}

// minWaitShare is the least factor of WaitShare.
const minWaitShare = 0.25

func (l *Limiter) state(now time.Time, tenant string, limits Limits) *tenantState {
	state := l.tenants[tenant]
	if state == nil {
		state = &tenantState{tokens: burst(limits), filled: now, usedAt: now}
		l.tenants[tenant] = state
	}
	return state
}

func burst(limits Limits) float64 {
	return math.Max(limits.RequestsPerSecond*burstSeconds, minBurst)
}

func (s *tenantState) refill(now time.Time, limits Limits) {
	elapsed := now.Sub(s.filled).Seconds()
	s.filled = now
	s.tokens = math.Min(s.tokens+elapsed*limits.RequestsPerSecond, burst(limits))
}

func (s *tenantState) decay(now time.Time) {
	elapsed := now.Sub(s.usedAt)
	if elapsed <= 0 {
		return
	}
	s.usedAt = now
	s.use *= math.Exp2(-elapsed.Seconds() / shareHalfLife.Seconds())
}
