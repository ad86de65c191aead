package gateway

import (
	"context"
	"errors"
	"sync"
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

// weightNews is what a router knows of when weights were named.
type weightNews struct {
	// learned is when this router learned of them.
	learned time.Time
	// started is when the process started.
	started time.Time
	// before is the latest moment at which they are known not to have been named yet,
	// zero when none is known.
	before time.Time
	// proven is when the copy without them was last known to lack nothing, zero before:
	// nothing newer had been named than what it held.
	proven time.Time
	// told is true when another router that learned without delay told such a moment.
	told bool
	// disturbed is when calls to the store failed last.
	disturbed span
	// alone routers have no others to learn from.
	alone bool
}

// blind tells whether the router knew nothing of the store for longer before it learned
// of the weights than lost watches explain.
func (n weightNews) blind() bool { return n.before.IsZero() || n.learned.Sub(n.before) > lostNews }

// storeAway tells whether the store was away for all while this router was blind: the
// failures began soon after the last moment known and followed one another, and nobody who
// could read it has told otherwise. A process that stood still has seen no such failures.
func (n weightNews) storeAway() bool {
	return n.blind() && !n.told && !n.alone && n.disturbed.first.Sub(n.before) < lostNews
}

// bounded returns the news with another moment, told by others or not.
func (n weightNews) bounded(before time.Time, told bool) weightNews {
	n.before, n.told = before, told
	return n
}

// joined returns what two news of the same weights say together.
func (n weightNews) joined(other weightNews) weightNews {
	if n.learned.IsZero() {
		n, other = other, n
	}
	return n.bounded(later(n.before, other.before), n.told || other.told)
}

// newsOfWeights returns what is known of weights that were named at the revision, before
// they are taken into the copy.
func (g *Gateway) newsOfWeights(now time.Time, revision uint64) weightNews {
	proven := g.copies.provenAt(WeightObjects)
	return weightNews{
		learned: now, started: g.started, disturbed: g.disturbance.latest(), alone: g.relays.alone(),
		proven: proven, before: later(proven, g.copies.checkpoints.before(revision)),
	}
}

// olderDeadlines returns what named weights mean for older ones. The time counts from the
// earliest moment at which the newer ones can have been named, so a router that learns late
// has the less of it left. Counted from when it learned, older weights were used beyond
// the deadline by whatever had held the news up.
func olderDeadlines(settings Settings, news weightNews) backend.Deadlines {
	deadlines := backend.Deadlines{Old: news.learned.Add(settings.WeightGrace)}
	// After a start or a disturbance a router is held to the deadline only once it has
	// settled.
	settled := later(news.started, news.disturbed.last).Add(settings.SettleTime)
	if news.before.IsZero() {
		at := later(settled, news.learned)
		deadlines.Expired, deadlines.Unbegun = at, at
		return deadlines
	}
	named := news.before
	if news.storeAway() {
		// Nothing was named before the store worked again.
		named = later(named, news.disturbed.last)
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

// span is the time from the first to the last of several failures, zero without any.
type span struct{ first, last time.Time }

// disturbance holds when calls to the store failed last, one after another. It is safe for
// concurrent use.
type disturbance struct {
	mutex  sync.Mutex
	failed span
}

func (d *disturbance) latest() span {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.failed
}

// note takes the error of a call that left at the moment: the store, or the way to it, did
// not work then. Calls that were given up, too many calls and a history that is gone show
// nothing of the kind.
func (d *disturbance) note(sent time.Time, err, givenUp error) {
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrThrottled) || errors.Is(givenUp, context.Canceled) {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if sent.Sub(d.failed.last) > lostNews {
		d.failed.first = sent
	}
	d.failed.last = later(d.failed.last, sent)
}
