// Package namings computes until when older versions of a model's weights may be used. A version is
// named when the store lists it as the version of its model. The result depends on what one router
// has observed of the time of that naming, including store outages, pauses of the process and
// reports of other routers. The package has no I/O and no clock, and does not know how observations
// are made.
package namings

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/clock"
)

// expiryMargin is how long before the deadline of older weights routers stop sending requests to
// them. Requests that take longer to begin than estimated are withdrawn, so the margin need only
// cover the time in which 99% of the requests begin, which is 0.45 to 0.7 s in known deployments.
const expiryMargin = 750 * time.Millisecond

// withdrawalMargin is how long before the deadline of older weights requests are withdrawn that
// have not begun on them. The end of a connection takes up to 20 ms to reach a runner of another
// region, and a router with a fifth of a core is late by up to 0.1 s.
const withdrawalMargin = 250 * time.Millisecond

// Config holds the periods that the operator configures, and MaxLossDelay.
type Config struct {
	// Deadline is the time within which named weights replace older ones.
	Deadline time.Duration
	// GracePeriod is the time after the naming of newer weights during which older ones count as
	// equally good.
	GracePeriod time.Duration
	// SettlePeriod is the time after a start or a store failure during which a router may use older
	// weights even if it has not seen the naming of newer ones.
	SettlePeriod time.Duration
	// MaxLossDelay is the maximum delay of news from the store that lost calls alone can cause. A
	// longer delay means that the store, or the connection to it, did not work.
	MaxLossDelay time.Duration
}

// effectiveSettlePeriod returns how long after a start or a store failure the deadline does not
// apply to a router. It is shorter than SettlePeriod, because a router notices its start 20 to 30
// ms after the process began, and a request that it withdraws may still begin until the runner
// notices.
func (c Config) effectiveSettlePeriod() time.Duration {
	return c.SettlePeriod - min(withdrawalMargin, c.SettlePeriod/8)
}

// Observation is what a router knows about the time at which weights were named.
type Observation struct {
	// LearnedAt is when this router learned of the naming. It is zero if only other routers
	// reported it.
	LearnedAt time.Time
	// StartedAt is when the process started.
	StartedAt time.Time
	// NotNamedAt is the latest time at which the weights are known not to have been named yet, or
	// zero if none is known.
	NotNamedAt time.Time
	// CopyCurrentAt is the latest time at which this router's copy of the store, without these
	// weights, was known to be complete, or zero. No version newer than those in the copy had been
	// named by then.
	CopyCurrentAt time.Time
	// Reported is set if another router that learned of the naming without delay reported
	// NotNamedAt.
	Reported bool
	// StoreFailures is the period of the latest failed calls to the store.
	StoreFailures Span
	// SingleRouter is set if there are no other routers that could report namings.
	SingleRouter bool
}

// outOfDate reports whether, when this router learned of the weights, its last knowledge of the
// store was older than lost watches can explain.
func (o Observation) outOfDate(c Config) bool {
	return o.NotNamedAt.IsZero() || o.LearnedAt.Sub(o.NotNamedAt) > c.MaxLossDelay
}

// storeUnavailable reports whether the store was unavailable to all routers while this router was
// out of date: the failures began soon after the last known time and followed one another, and no
// router that could read the store has reported otherwise. A process that was paused has not seen
// such failures.
func (o Observation) storeUnavailable(c Config) bool {
	return o.outOfDate(c) && !o.Reported && !o.SingleRouter && o.StoreFailures.First.Sub(o.NotNamedAt) < c.MaxLossDelay
}

// withNotNamedAt returns the observation with another time, which may be reported by another
// router.
func (o Observation) withNotNamedAt(notNamedAt time.Time, reported bool) Observation {
	o.NotNamedAt, o.Reported = notNamedAt, reported
	return o
}

// merge combines two observations of the same weights.
func (o Observation) merge(other Observation) Observation {
	if o.LearnedAt.IsZero() {
		o, other = other, o
	}
	return o.withNotNamedAt(clock.Later(o.NotNamedAt, other.NotNamedAt), o.Reported || other.Reported)
}

// Span is the period from the first to the last of several failures. It is zero without failures.
type Span struct{ First, Last time.Time }

// OlderVersionDeadlines returns the deadlines of older weights after newer ones were named. They
// are computed from the earliest time at which the newer weights can have been named, so a router
// that learns of the naming late has less time left. If they were computed from LearnedAt, older
// weights would be used beyond the deadline by as long as the news was delayed.
func OlderVersionDeadlines(c Config, observation Observation) backend.Deadlines {
	deadlines := backend.Deadlines{StaleAt: observation.LearnedAt.Add(c.GracePeriod)}
	settledAt := clock.Later(observation.StartedAt, observation.StoreFailures.Last).Add(c.effectiveSettlePeriod())
	if observation.NotNamedAt.IsZero() {
		expiry := clock.Later(settledAt, observation.LearnedAt)
		deadlines.Expiry, deadlines.WithdrawAt = expiry, expiry
		return deadlines
	}
	namedAt := observation.NotNamedAt
	if observation.storeUnavailable(c) {
		// No weights can have been named while the store was unavailable.
		namedAt = clock.Later(namedAt, observation.StoreFailures.Last)
	}
	deadline := namedAt.Add(c.Deadline)
	deadlines.Expiry = clock.Later(settledAt, deadline.Add(-min(expiryMargin, c.Deadline/4)))
	deadlines.WithdrawAt = clock.Later(settledAt, deadline.Add(-min(withdrawalMargin, c.Deadline/8)))
	return deadlines
}
