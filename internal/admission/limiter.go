// Package admission decides which requests are accepted. A Limiter enforces the rate and
// concurrency limits of tenants at the ingress, and a LoadShedder refuses requests that would
// queue for too long. A request is refused at once and with the time after which to retry.
//
// The package has no I/O and no clock of its own.
package admission

import (
	"math"
	"time"
)

// Limits are the limits of one tenant on this router.
type Limits struct {
	// RequestsPerSecond is this router's share of the tenant's request rate.
	RequestsPerSecond float64
	// MaxConcurrent is this router's share of the tenant's concurrent requests.
	MaxConcurrent int
}

// Reason says why a request was refused; it is empty for an admitted one.
type Reason string

// The values of Reason.
const (
	Admitted        Reason = ""
	RateExceeded    Reason = "request rate is above the tenant's limit"
	TooManyInFlight Reason = "open requests are at the tenant's limit"
)

// Decision is the result of Admit.
type Decision struct {
	Reason Reason
	// RetryAfter is the time after which a refused request would be admitted.
	RetryAfter time.Duration
}

const (
	// maxBurstSeconds is the duration for which a tenant can accumulate unused rate.
	maxBurstSeconds = 2
	// minBurst lets a tenant with a low rate send a few requests at once.
	minBurst = 4
	// concurrencyRetryAfter is the retry time given when the concurrency limit is reached.
	concurrencyRetryAfter = time.Second
	// usageHalfLife is the half-life of the tenants' measured usage.
	usageHalfLife = 10 * time.Second
)

// tenantState is the token bucket, the concurrency and the usage of one tenant.
type tenantState struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
	// usage is the decaying sum of admitted prompt tokens.
	usage   float64
	usageAt time.Time
	tier    string
}

// Limiter enforces the limits of all tenants on one router. It is not safe for concurrent use.
type Limiter struct {
	tenants map[string]*tenantState
}

// NewLimiter returns a Limiter that knows no tenants.
func NewLimiter() *Limiter { return &Limiter{tenants: map[string]*tenantState{}} }

// PerNodeLimits divides a tenant's limits evenly among the live routers. Each router's share is at
// least one request per second and one concurrent request, so that tenants with low limits can use
// any router.
func PerNodeLimits(requestsPerSecond float64, maxConcurrent, nodes int) Limits {
	nodes = max(nodes, 1)
	return Limits{
		RequestsPerSecond: math.Max(requestsPerSecond/float64(nodes), 1),
		MaxConcurrent:     max((maxConcurrent+nodes-1)/nodes, 1),
	}
}

// Admit admits or refuses one request of a tenant. Each admitted request must be ended by Release.
func (l *Limiter) Admit(now time.Time, tenant, tier string, limits Limits) Decision {
	state := l.state(now, tenant, limits)
	state.tier = tier
	if state.inFlight >= limits.MaxConcurrent {
		return Decision{Reason: TooManyInFlight, RetryAfter: concurrencyRetryAfter}
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

// Release ends one admitted request of the tenant.
func (l *Limiter) Release(tenant string) {
	if state := l.tenants[tenant]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// RecordUsage adds prompt tokens to the tenant's measured usage.
func (l *Limiter) RecordUsage(now time.Time, tenant string, tokens int) {
	if state := l.tenants[tenant]; state != nil {
		state.decay(now)
		state.usage += float64(tokens)
	}
}

// MaxWaitFactor returns the factor by which the tenant's longest accepted wait is multiplied. It
// is 1 for a tenant at or below its fair share of the usage of its tier and less for a tenant
// above it, so that the heaviest tenants are refused first under overload.
func (l *Limiter) MaxWaitFactor(now time.Time, tenant string) float64 {
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
		if state.usage >= 1 {
			total += state.usage
			active++
		}
	}
	if active < 2 || own.usage <= total/float64(active) {
		return 1
	}
	return math.Max(total/float64(active)/own.usage, minMaxWaitFactor)
}

// minMaxWaitFactor is the lower bound of MaxWaitFactor.
const minMaxWaitFactor = 0.25

func (l *Limiter) state(now time.Time, tenant string, limits Limits) *tenantState {
	state := l.tenants[tenant]
	if state == nil {
		state = &tenantState{tokens: burstCapacity(limits), refilledAt: now, usageAt: now}
		l.tenants[tenant] = state
	}
	return state
}

func burstCapacity(limits Limits) float64 {
	return math.Max(limits.RequestsPerSecond*maxBurstSeconds, minBurst)
}

func (s *tenantState) refill(now time.Time, limits Limits) {
	elapsed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.tokens = math.Min(s.tokens+elapsed*limits.RequestsPerSecond, burstCapacity(limits))
}

func (s *tenantState) decay(now time.Time) {
	elapsed := now.Sub(s.usageAt)
	if elapsed <= 0 {
		return
	}
	s.usageAt = now
	s.usage *= math.Exp2(-elapsed.Seconds() / usageHalfLife.Seconds())
}
