package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Maximum delays with which changes reach a router.
const (
	// stalledWatchDetectionTime is the maximum time until a router whose watch went silent has
	// the answer of the next one: a watch is given up after its wait and slack, and the next
	// one starts after a delay.
	stalledWatchDetectionTime = configWatchTimeout + watchCallMargin + maxRetryDelay
	// maxLostWatchDelay is the maximum time for which lost watches alone can keep a change from
	// any router: a seed has to notice, compare revisions and be pulled from by the others. A
	// longer delay means that the store, or the path to it, did not work.
	maxLostWatchDelay = stalledWatchDetectionTime + batchDelay + watchLatencyMargin + maxPullInterval + pullTimeout
)

// namingConfig returns the settings that determine when older weights expire.
func (s *Settings) namingConfig() namings.Config {
	return namings.Config{Deadline: s.WeightDeadline, GracePeriod: s.WeightGrace, SettlePeriod: s.SettleTime, MaxLossDelay: maxLostWatchDelay}
}

// namingObservation returns what is known about when the weights at the revision were named. It must
// be called before they are applied to the copy.
func (g *Gateway) namingObservation(now time.Time, revision storerev.Revision) namings.Observation {
	proven := g.copies.provenAt(WeightObjects)
	return namings.Observation{
		LearnedAt: now, StartedAt: g.startedAt, StoreFailures: g.storeFailures.latestSpan(), SingleRouter: g.peerRouters.hasNoPeers(),
		CopyCurrentAt: proven, NotNamedAt: clock.Later(proven, g.copies.checkpoints.latestBefore(revision)),
	}
}

// storeFailures records the first and the last of the most recent failed calls to the store
// that followed one another. It is safe for concurrent use.
type storeFailures struct {
	mutex sync.Mutex
	span  namings.Span
}

func (f *storeFailures) latestSpan() namings.Span {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.span
}

// record records the error of a call that was sent at the given time, as evidence that the store or
// the path to it did not work then. Canceled calls, throttled calls and a history that is gone are
// no such evidence.
func (f *storeFailures) record(sentAt time.Time, err, ctxErr error) {
	if err == nil || errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrThrottled) || errors.Is(ctxErr, context.Canceled) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if sentAt.Sub(f.span.Last) > maxLostWatchDelay {
		f.span.First = sentAt
	}
	f.span.Last = clock.Later(f.span.Last, sentAt)
}
