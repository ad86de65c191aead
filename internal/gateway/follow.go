package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Timing of store calls.
const (
	// configWatchTimeout is how long a watch of the configuration waits for a change. Each
	// response, empty or not, is a new proof of the configuration.
	configWatchTimeout = 900 * time.Millisecond
	// directoryWatchTimeout is the same for runners and weights, which are proven by the responses
	// on the configuration.
	directoryWatchTimeout = 12 * time.Second
	// configWatchMargin is how long before the proof becomes too old for followers a watch of the
	// configuration ends. Its response takes 2 to 95 ms.
	configWatchMargin = 150 * time.Millisecond
	// batchDelay is the pause after a change of the directory, so that changes in quick succession
	// arrive in one response.
	batchDelay = 120 * time.Millisecond
	// fallbackBatchDelay is the same for a router that reads the store only because it found no
	// other router to pull from. Many routers may do so at once, each for itself, and each response
	// with a single change costs a call.
	fallbackBatchDelay = 500 * time.Millisecond
	// shortWatchTimeout is the timeout of watches that check whether the store responds again or
	// whether changes were missed.
	shortWatchTimeout = 50 * time.Millisecond
	// provingWatchTimeout is the timeout of a watch that proves a copy for the first time. Calls wait for
	// its response.
	provingWatchTimeout = time.Millisecond
	// watchCallMargin is how much longer than the watch timeout a call may take.
	watchCallMargin = 700 * time.Millisecond
	listTimeout     = 1500 * time.Millisecond
	// slowCallFactor is how many times its normal timeout a call may take after a failure.
	slowCallFactor = 6
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// storeWatcher keeps the gateway's copy of one kind of objects up to date while the gateway reads
// the store itself.
type storeWatcher struct {
	gateway      *Gateway
	kind         ObjectKind
	watchTimeout time.Duration
	// listed is false while the copy may lack changes that are no longer in the store's history.
	listed   bool
	failures int
	// unavailable is true after the store was reported as unavailable.
	unavailable bool
	// stale is true after a response that was older than the newest known revision.
	stale atomic.Bool
	// catchingUp is true while responses bring changes but do not reach the newest known revision
	// yet: the store returns many changes in several responses.
	catchingUp atomic.Bool
	// pending is the list of which some pages are missing, nil if there is none. paging is true while
	// readFurtherPages reads them.
	pending *pendingList
	paging  atomic.Bool
	// sentProvingWatch is set once the first watch after a list was sent.
	sentProvingWatch bool
	// probing is true from when the pending watch was found to have missed changes until the next
	// one is answered. cancelWatch cancels the pending watch.
	probing     atomic.Bool
	cancelWatch atomic.Pointer[context.CancelCauseFunc]
}

func newStoreWatcher(g *Gateway, kind ObjectKind) *storeWatcher {
	w := &storeWatcher{gateway: g, kind: kind, watchTimeout: directoryWatchTimeout, listed: true}
	if kind == ConfigObjects {
		w.watchTimeout = configWatchTimeout
	}
	return w
}

func (w *storeWatcher) run() {
	for w.gateway.directReads.waitEnabled(w.gateway.ctx) {
		if err := w.step(); err != nil {
			w.handleFailure(err)
			continue
		}
		w.handleSuccess()
	}
}

// step makes one call and applies its response.
func (w *storeWatcher) step() error {
	revision := w.gateway.copies.currentThrough(w.kind)
	if !w.listed || revision == 0 || w.pending != nil || w.lacksPages() {
		return w.list()
	}
	return w.watch(revision)
}

// callWithTimeout makes a call with the timeout. After a failure it allows a slow store more time,
// without waiting that long for a silent one.
func (w *storeWatcher) callWithTimeout(ctx context.Context, timeout time.Duration, call storeCall) storeResponse {
	if w.failures > 0 {
		return callHedged(ctx, hedgeTimeouts{attempt: timeout, total: timeout * slowCallFactor}, call)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

func (w *storeWatcher) watch(revision storerev.Revision) error {
	g := w.gateway
	ctx, cancel := w.cancelableContext()
	defer cancel(nil)
	timeout, isProving := w.nextWatchTimeout(), w.isProvingWatch()
	if isProving {
		timeout, w.sentProvingWatch = provingWatchTimeout, true
	}
	response := w.callWithTimeout(ctx, timeout+watchCallMargin, func(ctx context.Context) storeResponse { return w.requestWatch(ctx, revision, timeout) })
	if errors.Is(context.Cause(ctx), errWatchReplaced) && response.err != nil {
		return errWatchReplaced
	}
	if response.err != nil {
		return response.err
	}
	observed, current := w.applyWatch(revision, timeout, response)
	w.probing.Store(false)
	if w.kind == ConfigObjects {
		g.verifyCopies(observed, current)
	}
	w.catchingUp.Store(!current && len(response.objects) > 0)
	switch {
	case w.catchingUp.Load():
		if !g.peerRouters.alwaysReadsStore() {
			// Another router that reads the store will have caught up soon.
			g.pause(fallbackBatchDelay)
		}
		return nil
	case !current:
		w.recordStaleResponse(callWatch, response)
		return errStaleResponse
	case w.kind != ConfigObjects && len(response.objects) > 0:
		g.pause(w.delayAfterChange())
	case isProving && !g.peerRouters.alwaysReadsStore():
		// Another router that reads the store may answer by then.
		g.pause(fallbackBatchDelay)
	}
	return nil
}

// isProvingWatch reports whether the next watch is the first one after a stale list. Only its response proves
// the copy.
func (w *storeWatcher) isProvingWatch() bool {
	_, proven := w.gateway.copies.age(w.gateway.now(), w.kind)
	return !proven && !w.sentProvingWatch
}

// recordStaleResponse counts a response that is older than the newest known revision, and logs the
// first one of a series.
func (w *storeWatcher) recordStaleResponse(call string, response storeResponse) {
	g := w.gateway
	g.metrics.staleStoreResponses.WithLabelValues(w.kind.String()).Inc()
	if w.stale.Swap(true) {
		return
	}
	known := g.copies.newestRevision()
	g.log.Log(events.StoreStale, events.Fields{
		"kind": w.kind.String(), "call": call, "revision": response.revision.Number(), "era": response.revision.Era(),
		"known_revision": known.Number(), "known_era": known.Era(), "objects": len(response.objects),
	})
}

// recordedCall makes one call to the store and records its duration and result.
func (w *storeWatcher) recordedCall(ctx context.Context, name string, do func() ([]v1.Object, storerev.Revision, error)) storeResponse {
	g := w.gateway
	response := storeResponse{knownRevision: g.copies.newestRevision(), sentAt: w.gateway.now()}
	response.objects, response.revision, response.err = do()
	g.metrics.observeStoreCall(w.kind.String(), name, g.since(response.sentAt))
	g.storeFailures.record(response.sentAt, response.err, ctx.Err())
	return response
}

// requestWatch makes one watch call. A store in another era may have the same revision number, but
// its response does not continue from the state of the copy.
func (w *storeWatcher) requestWatch(ctx context.Context, revision storerev.Revision, timeout time.Duration) storeResponse {
	response := w.recordedCall(ctx, callWatch, func() ([]v1.Object, storerev.Revision, error) {
		return w.gateway.ports.Store.Watch(ctx, w.kind, revision, timeout)
	})
	if response.err != nil {
		return response
	}
	switch {
	case response.revision.Era() > revision.Era():
		response.err = ErrHistoryGone
	case response.revision.Era() < revision.Era():
		w.recordStaleResponse(callWatch, response)
		response.err = errStaleResponse
	}
	return response
}

// applyWatch applies the response to a watch. It returns the checkpoint that the response shows,
// and whether the response is current.
func (w *storeWatcher) applyWatch(revision storerev.Revision, timeout time.Duration, response storeResponse) (observed checkpoint, current bool) {
	g := w.gateway
	observed = checkpoint{revision: response.revision, at: provenTime(g.now(), response.sentAt, timeout, response.objects)}
	current = g.copies.isCurrent(response, observed.at)
	if current {
		g.copies.checkpoints.add(observed)
	}
	delta := config.Delta{From: revision, Through: completeThrough(response.objects, revision, response.revision), Objects: response.objects}
	g.copies.apply(w.kind, delta, proof{at: observed.at, valid: current})
	return observed, current
}

// nextWatchTimeout returns how long the next watch waits for changes.
func (w *storeWatcher) nextWatchTimeout() time.Duration {
	if w.failures > 0 || w.probing.Load() || w.catchingUp.Load() {
		return shortWatchTimeout
	}
	if w.kind != ConfigObjects {
		return w.watchTimeout
	}
	// A response with a change proves only the state at the time its watch was sent. The next watch
	// is short, so that the proof does not become too old meanwhile.
	remaining := maxProofAge - configWatchMargin - w.gateway.since(w.gateway.configProvenAt())
	return min(w.watchTimeout, max(remaining, shortWatchTimeout))
}

// delayAfterChange returns the pause after a change.
func (w *storeWatcher) delayAfterChange() time.Duration {
	if w.gateway.peerRouters.alwaysReadsStore() {
		return batchDelay
	}
	return fallbackBatchDelay
}

// provenTime returns the time as of which the response to a watch proves the copy. The store would
// have reported a change at once, so an empty response after the full timeout shows that nothing
// changed until then.
func provenTime(now, sentAt time.Time, timeout time.Duration, objects []v1.Object) time.Time {
	if waitEnd := sentAt.Add(timeout); len(objects) == 0 && !now.Before(waitEnd) {
		return waitEnd
	}
	return sentAt
}

// completeThrough returns the revision through which the response to a watch is complete.
func completeThrough(objects []v1.Object, from, reported storerev.Revision) storerev.Revision {
	through := max(from, reported)
	for _, object := range objects {
		through = max(through, storerev.Revision(object.Version))
	}
	return through
}

func (w *storeWatcher) handleFailure(err error) {
	g := w.gateway
	if g.ctx.Err() != nil || errors.Is(err, errWatchReplaced) {
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		w.handleHistoryGone()
		return
	}
	w.failures++
	w.catchingUp.Store(false)
	g.metrics.storeFailures.WithLabelValues(w.kind.String()).Inc()
	if !w.unavailable {
		w.unavailable = true
		g.log.Log(events.StoreUnavailable, events.Fields{"kind": w.kind.String(), "revision": g.copies.revision(w.kind).Number(), "error": err.Error()})
	}
	g.backoff(w.failures-1, minRetryDelay, maxRetryDelay)
}

// handleHistoryGone causes a new list, unless another router provides the objects of a new era
// first.
func (w *storeWatcher) handleHistoryGone() {
	g := w.gateway
	w.listed = false
	revision := g.copies.revision(w.kind)
	g.log.Log(events.StoreHistoryGone, events.Fields{"kind": w.kind.String(), "revision": revision.Number(), "era": revision.Era()})
	if g.peerRouters.alwaysReadsStore() || g.eraTracker.newest() == revision.Era() {
		return
	}
	g.delayNewEraList()
	w.listed = g.copies.revision(w.kind).Era() == g.eraTracker.newest()
}

func (w *storeWatcher) handleSuccess() {
	if w.unavailable {
		w.unavailable = false
		w.gateway.log.Log(events.StoreRecovered, events.Fields{"kind": w.kind.String(), "revision": w.gateway.copies.revision(w.kind).Number(), "failures": w.failures})
	}
	w.failures = 0
	w.stale.Store(false)
}
