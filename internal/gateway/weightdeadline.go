package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Times of news.
const (
	// noticeTime is within which a router whose watch fell silent has the answer of the
	// next one: a watch is given up after its wait and slack, and made again after a pause.
	noticeTime = configWatchTimeout + watchCallMargin + maxRetryDelay
	// lostNews is the longest that lost watches alone keep news from any router: until
	// a seed notices, compares revisions and is asked by the others. Whatever took longer
	// was a store, or a way to it, that did not work.
	lostNews = noticeTime + batchDelay + watchLatencyMargin + maxPullInterval + pullTimeout
)

// namingTimes are the times by which older weights are used.
func (s *Settings) namingTimes() namings.Config {
	return namings.Config{Deadline: s.WeightDeadline, GracePeriod: s.WeightGrace, SettlePeriod: s.SettleTime, MaxLossDelay: lostNews}
}

// newsOfWeights returns what is known of weights that were named at the revision, before
// they are taken into the copy.
func (g *Gateway) newsOfWeights(now time.Time, revision storerev.Revision) namings.Observation {
	proven := g.copies.provenAt(WeightObjects)
	return namings.Observation{
		LearnedAt: now, StartedAt: g.started, StoreFailures: g.disturbance.latest(), SingleRouter: g.relays.hasNoPeers(),
		CopyCurrentAt: proven, NotNamedAt: namings.Later(proven, g.copies.checkpoints.before(revision)),
	}
}

// disturbance holds when calls to the store failed last, one after another. It is safe for
// concurrent use.
type disturbance struct {
	mutex  sync.Mutex
	failed namings.Span
}

func (d *disturbance) latest() namings.Span {
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
	if sent.Sub(d.failed.Last) > lostNews {
		d.failed.First = sent
	}
	d.failed.Last = namings.Later(d.failed.Last, sent)
}
