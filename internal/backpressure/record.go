package backpressure

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Runner identifies one run of a runner process. Signals from an earlier incarnation do not
// apply to a later one.
type Runner struct {
	ID          string
	Incarnation uint64
}

// liftMargin is the minimum time between the last report of a limit and the sending of a
// request whose response lifts it. Times reported by other routers are accurate only to within
// the message delay, and if a limit is lifted too early, all routers send at once.
const liftMargin = time.Second

// Record is the state of one runner that is shared by all routers. Merging records is
// commutative, associative and idempotent, so routers may exchange them in any order and any
// number of times.
type Record struct {
	Runner
	// LeavingAt is when the runner last reported that it is shutting down, zero if it never
	// did.
	LeavingAt time.Time
	// Rate is the last reported limit in requests per second, and LimitReportedAt is when a
	// response last reported it; both are zero if no response ever did.
	Rate            float64
	LimitReportedAt time.Time
	// LimitLiftedAt is when the latest request was sent whose response reported no limit.
	LimitLiftedAt time.Time
	// MaxRejections is the number of requests that the runner may reject within a second, and
	// BrittleReportedAt is when a response last reported it. BrittleLiftedAt is when the latest request
	// was sent whose response reported no such number.
	MaxRejections     int
	BrittleReportedAt time.Time
	BrittleLiftedAt   time.Time
	// RejectedAt is when the runner last rejected a request for want of room while it was brittle.
	RejectedAt time.Time
}

// Leaving reports whether the runner is shutting down.
func (r Record) Leaving() bool { return !r.LeavingAt.IsZero() }

// Limited reports whether the runner currently limits requests.
func (r Record) Limited() bool {
	return isInForce(r.LimitReportedAt, r.LimitLiftedAt)
}

// Brittle reports whether the runner currently falls over if it rejects too many requests.
func (r Record) Brittle() bool {
	return isInForce(r.BrittleReportedAt, r.BrittleLiftedAt)
}

// isInForce reports whether a signal that was last reported and last lifted at the given times applies.
func isInForce(reportedAt, liftedAt time.Time) bool {
	return !reportedAt.IsZero() && liftedAt.Before(reportedAt.Add(liftMargin))
}

// minRejectionInterval is the difference below which two times of a rejection are the same. Times that
// other routers report are accurate to within the message delay.
const minRejectionInterval = 100 * time.Millisecond

// isEquivalent reports whether both records have the same effect on placement.
func (r Record) isEquivalent(other Record) bool {
	if r.Leaving() != other.Leaving() || r.Limited() != other.Limited() || r.Brittle() != other.Brittle() {
		return false
	}
	if r.Brittle() && (r.MaxRejections != other.MaxRejections || r.RejectedAt.Sub(other.RejectedAt).Abs() >= minRejectionInterval) {
		return false
	}
	return !r.Limited() || r.Rate == other.Rate
}

// merge combines both records and keeps the newest value of each field.
func (r Record) merge(other Record) Record {
	r.LeavingAt = clock.Later(r.LeavingAt, other.LeavingAt)
	if other.LimitReportedAt.After(r.LimitReportedAt) {
		r.Rate, r.LimitReportedAt = other.Rate, other.LimitReportedAt
	}
	r.LimitLiftedAt = clock.Later(r.LimitLiftedAt, other.LimitLiftedAt)
	if other.BrittleReportedAt.After(r.BrittleReportedAt) {
		r.MaxRejections, r.BrittleReportedAt = other.MaxRejections, other.BrittleReportedAt
	}
	r.BrittleLiftedAt, r.RejectedAt = clock.Later(r.BrittleLiftedAt, other.BrittleLiftedAt), clock.Later(r.RejectedAt, other.RejectedAt)
	return r
}
