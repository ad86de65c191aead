// Package namings tells until when older weights of a model may be used, from what one router
// knows of when newer ones were named. It has no I/O and no clock, and knows nothing of how the
// news came: a store that was away, a router that stood still and another router's word are
// facts that it is given.
package namings

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// weightMargin is how long before the deadline of older weights sends to them stop: what
// takes longer to begin than was estimated is withdrawn, so it need only cover the time in
// which 99 of 100 requests begin, 0.45 to 0.7 s on the deployments seen.
const weightMargin = 750 * time.Millisecond

// withdrawMargin is how long before the deadline of older weights requests that wait
// for them to begin are withdrawn: the end of a connection takes up to 20 ms to reach a
// runner of another region, and a router with a fifth of a core is late by up to 0.1 s.
const withdrawMargin = 250 * time.Millisecond

// Config are the times that the operator gives.
type Config struct {
	// Deadline is the time within which named weights replace older ones.
	Deadline time.Duration
	// Grace is how long after newer weights were named older ones are as good as these.
	Grace time.Duration
	// Settle is how long after its start or a disturbance a router may use older weights
	// whose naming it has not seen.
	Settle time.Duration
	// LostNews is the longest that lost calls alone keep news from any router: whatever
	// took longer was a store, or a way to it, that did not work.
	LostNews time.Duration
}

// settled is how long after its start or a disturbance a router is not yet held to the
// deadline. A router notices its start 20 to 30 ms after the process began, and what it
// withdraws may begin until the runner notices.
func (c Config) settled() time.Duration { return c.Settle - min(withdrawMargin, c.Settle/8) }

// News is what a router knows of when weights were named.
type News struct {
	// Learned is when this router learned of them.
	Learned time.Time
	// Started is when the process started.
	Started time.Time
	// Before is the latest moment at which they are known not to have been named yet,
	// zero when none is known.
	Before time.Time
	// Proven is when the copy without them was last known to lack nothing, zero before:
	// nothing newer had been named than what it held.
	Proven time.Time
	// Told is true when another router that learned without delay told such a moment.
	Told bool
	// Disturbed is when calls to the store failed last.
	Disturbed Span
	// Alone routers have no others to learn from.
	Alone bool
}

// blind tells whether the router knew nothing of the store for longer before it learned
// of the weights than lost watches explain.
func (n News) blind(c Config) bool {
	return n.Before.IsZero() || n.Learned.Sub(n.Before) > c.LostNews
}

// storeAway tells whether the store was away for all while this router was blind: the
// failures began soon after the last moment known and followed one another, and nobody who
// could read it has told otherwise. A process that stood still has seen no such failures.
func (n News) storeAway(c Config) bool {
	return n.blind(c) && !n.Told && !n.Alone && n.Disturbed.First.Sub(n.Before) < c.LostNews
}

// bounded returns the news with another moment, told by others or not.
func (n News) bounded(before time.Time, told bool) News {
	n.Before, n.Told = before, told
	return n
}

// joined returns what two news of the same weights say together.
func (n News) joined(other News) News {
	if n.Learned.IsZero() {
		n, other = other, n
	}
	return n.bounded(Later(n.Before, other.Before), n.Told || other.Told)
}

// Span is the time from the first to the last of several failures, zero without any.
type Span struct{ First, Last time.Time }

// Older returns what named weights mean for older ones. The time counts from the
// earliest moment at which the newer ones can have been named, so a router that learns late
// has the less of it left. Counted from when it learned, they would be used beyond
// the deadline by whatever held the news up.
func Older(c Config, news News) backend.Deadlines {
	deadlines := backend.Deadlines{StaleAt: news.Learned.Add(c.Grace)}
	settled := Later(news.Started, news.Disturbed.Last).Add(c.settled())
	if news.Before.IsZero() {
		at := Later(settled, news.Learned)
		deadlines.Expiry, deadlines.WithdrawAt = at, at
		return deadlines
	}
	named := news.Before
	if news.storeAway(c) {
		// Nothing was named before the store worked again.
		named = Later(named, news.Disturbed.Last)
	}
	deadline := named.Add(c.Deadline)
	deadlines.Expiry = Later(settled, deadline.Add(-min(weightMargin, c.Deadline/4)))
	deadlines.WithdrawAt = Later(settled, deadline.Add(-min(withdrawMargin, c.Deadline/8)))
	return deadlines
}

// Later returns the later moment.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
