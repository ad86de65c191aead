package backpressure

import "time"

// Runner names one start of a runner: what an earlier start said does not hold for the next.
type Runner struct {
	ID          string
	Incarnation uint64
}

// liftMargin is by how much the request whose answer names no limit must have been sent
// after the limit was last named: moments of other routers are known to within the time that
// their messages take, and a limit lifted too soon lets all of them send at once.
const liftMargin = time.Second

// Record is what all routers know together of one runner. Records are merged in any order
// and any number of times to the same one.
type Record struct {
	Runner
	// LeavingAt is when it last said that it leaves, zero if it never did.
	LeavingAt time.Time
	// Rate is the limit that it named last, in requests a second, and NamedAt when an answer
	// last did so; zero if none ever did.
	Rate    float64
	NamedAt time.Time
	// LiftedAt is when the last request was sent whose answer named no limit.
	LiftedAt time.Time
}

// Leaving tells whether the runner leaves.
func (r Record) Leaving() bool { return !r.LeavingAt.IsZero() }

// Limited tells whether the runner limits requests.
func (r Record) Limited() bool {
	return !r.NamedAt.IsZero() && r.LiftedAt.Before(r.NamedAt.Add(liftMargin))
}

// agrees tells whether the same follows from both records.
func (r Record) agrees(other Record) bool {
	if r.Leaving() != other.Leaving() || r.Limited() != other.Limited() {
		return false
	}
	return !r.Limited() || r.Rate == other.Rate
}

// merge returns what both records tell together: the newest of each.
func (r Record) merge(other Record) Record {
	r.LeavingAt = later(r.LeavingAt, other.LeavingAt)
	if other.NamedAt.After(r.NamedAt) {
		r.Rate, r.NamedAt = other.Rate, other.NamedAt
	}
	r.LiftedAt = later(r.LiftedAt, other.LiftedAt)
	return r
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
