package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// weightMargin is how long before the deadline of older weights sends to them stop: what
// takes longer to begin than was estimated is withdrawn, so it need only cover the time in
// which 99 of 100 requests begin, 0.45 to 0.7 s on the deployments seen.
const weightMargin = 750 * time.Millisecond

// Times of news.
const (
	// noticeTime is within which a router whose watch fell silent has the answer of the
	// next one: a watch is given up after its wait and slack, and made again after a pause.
	noticeTime = configWait + callSlack + lastRetry
	// lostNews is the longest that lost watches alone keep news from any router: until
	// a seed notices, compares revisions and is asked by the others. Whatever took longer
	// was a store, or a way to it, that did not work.
	lostNews = noticeTime + settle + newsSlack + longestPull + pullTime
)

// weightNews is what a router knows of how late it learned of named weights.
type weightNews struct {
	// started is when the process started.
	started time.Time
	// before is the latest moment at which the newer ones are known not to have been
	// named yet, zero when none is known.
	before time.Time
	// disturbed is when a call to the store last failed, zero when none did.
	disturbed time.Time
	// alone routers have no others to learn from.
	alone bool
}

// newsOfWeights returns what is known of weights that were named at the revision, before
// they are taken into the copy.
func (g *Gateway) newsOfWeights(revision uint64) weightNews {
	return weightNews{
		started: g.started, disturbed: g.disturbance.last(), alone: g.relays.alone(),
		before: later(g.copies.provenAt(WeightObjects), g.copies.checkpoints.before(revision)),
	}
}

// olderDeadlines returns what the weights learned of now mean for older ones. The time
// counts from the earliest moment at which the newer ones can have been named, so a router
// that learns late has the less of it left. Counted from when it learned, older weights
// were used beyond the deadline by whatever had held the news up.
func olderDeadlines(now time.Time, settings Settings, news weightNews) backend.Deadlines {
	deadlines := backend.Deadlines{Old: now.Add(settings.WeightGrace)}
	// After a start or a disturbance a router is held to the deadline only once it has
	// settled.
	settled := later(news.started, news.disturbed).Add(settings.SettleTime)
	if news.before.IsZero() {
		deadlines.Expired, deadlines.Unbegun = later(settled, now), later(settled, now)
		return deadlines
	}
	named := news.before
	if now.Sub(named) > lostNews && !news.alone {
		// No router that this one reaches could read the store either, so nothing was
		// named before it worked again.
		named = later(named, news.disturbed)
	}
	deadline := named.Add(settings.WeightDeadline)
	deadlines.Expired = later(settled, deadline.Add(-min(weightMargin, settings.WeightDeadline/4)))
	deadlines.Unbegun = later(settled, deadline.Add(-min(withdrawMargin, settings.WeightDeadline/8)))
	return deadlines
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// disturbance holds when a call to the store last failed.
type disturbance struct{ at atomic.Pointer[time.Time] }

func (d *disturbance) last() time.Time {
	if at := d.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// note takes the error of a call that left at the moment. One that was answered badly
// failed when the answer came; one that was not answered shows only that the store, or
// the way to it, did not work when it left. Calls that were given up show nothing.
func (d *disturbance) note(sent time.Time, err error, givenUp error) {
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(givenUp, context.Canceled) {
		return
	}
	at := sent
	if givenUp == nil {
		at = time.Now()
	}
	if at.After(d.last()) {
		d.at.Store(&at)
	}
}
