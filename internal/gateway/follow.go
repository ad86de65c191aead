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

// Times of following the store.
const (
	// configWait is how long a watch of the configuration waits: each answer,
	// empty or not, proves the configuration anew.
	configWait = 900 * time.Millisecond
	// directoryWait is the same for runners and weights, which the configuration's
	// answers prove.
	directoryWait = 12 * time.Second
	// configSlack is how long before its proof is too old for followers a watch of the
	// configuration ends: its answer takes 2 to 95 ms.
	configSlack = 150 * time.Millisecond
	// settle is the pause after a change of the directory, so that changes in
	// quick succession come in one answer.
	settle = 120 * time.Millisecond
	// fallbackSettle is the same for a router that reads the store only as it finds
	// nobody to ask: many may do so at once, each for itself, and every answer that
	// brings one change is a call.
	fallbackSettle = 500 * time.Millisecond
	// regainWait is how long watches wait that look whether the store answers again.
	regainWait = 50 * time.Millisecond
	// callSlack is how much longer than its wait a call may take.
	callSlack = 700 * time.Millisecond
	listTime  = 1500 * time.Millisecond
	// slowestFactor is how much longer than normal a call may take after a failure.
	slowestFactor = 6
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// follower keeps the gateway's copy of one kind of objects equal to the store
// while the gateway reads the store itself.
type follower struct {
	gateway *Gateway
	kind    ObjectKind
	wait    time.Duration
	// listed is false while the copy may lack changes that history no longer has.
	listed   bool
	failures int
	// lost is true after the store was reported as lost.
	lost bool
	// behind is true after an answer that was older than what is known.
	behind atomic.Bool
	// renewing is true from when the watch was found to be behind until the next one is
	// answered, and interrupt ends the one that waits.
	renewing  atomic.Bool
	interrupt atomic.Pointer[context.CancelCauseFunc]
}

func newFollower(g *Gateway, kind ObjectKind) *follower {
	f := &follower{gateway: g, kind: kind, wait: directoryWait, listed: true}
	if kind == ConfigObjects {
		f.wait = configWait
	}
	return f
}

func (f *follower) run() {
	for f.gateway.directReads.wait(f.gateway.ctx) {
		if err := f.step(); err != nil {
			f.failed(err)
			continue
		}
		f.succeeded()
	}
}

// step makes one call and applies its answer.
func (f *follower) step() error {
	revision := f.gateway.copies.revision(f.kind)
	if !f.listed || revision == 0 {
		return f.list()
	}
	return f.watch(revision)
}

// ask makes a call that takes the time if all is well. After a failure it has
// more patience with a slow store, without waiting for a silent one.
func (f *follower) ask(ctx context.Context, normal time.Duration, call storeCall) storeAnswer {
	if f.failures > 0 {
		return askTwice(ctx, patience{again: normal, whole: normal * slowestFactor}, call)
	}
	ctx, cancel := context.WithTimeout(ctx, normal)
	defer cancel()
	return call(ctx)
}

// list reads all objects of the kind. A router that has just started and found
// nobody to ask may be one of many: it takes a list that may be some seconds old, as
// that costs the store little, and the watch that follows brings it up to date and
// proves it.
func (f *follower) list() error {
	g := f.gateway
	stale := f.listed && !g.relays.isSource()
	answer := f.ask(g.ctx, listTime, func(ctx context.Context) storeAnswer {
		return f.call(ctx, callList, func() ([]v1.Object, storerev.Revision, error) { return g.ports.Store.List(ctx, f.kind, stale) })
	})
	if answer.err != nil {
		return answer.err
	}
	g.transfer.await(answer.revision.Era())
	delta := config.Delta{Through: answer.revision, Full: true, Objects: answer.objects}
	shown := g.copies.shownBy(answer, answer.sent)
	outcome := g.copies.apply(f.kind, delta, proof{at: answer.sent, given: shown && !stale})
	if !shown && !stale {
		f.noteBehind(callList, answer)
		return errFromThePast
	}
	f.listed = true
	if f.kind == ConfigObjects && !stale {
		g.verifyCopies(checkpoint{revision: answer.revision, at: answer.sent}, true)
	}
	g.log.Log(events.StoreListed, events.Fields{"kind": f.kind.String(), "objects": len(answer.objects), "revision": answer.revision.Number(), "stale": stale, "taken": outcome == config.Applied, "era": answer.revision.Era()})
	return nil
}

func (f *follower) watch(revision storerev.Revision) error {
	g := f.gateway
	ctx, end := f.interruptible()
	defer end(nil)
	wait := f.watchWait()
	answer := f.ask(ctx, wait+callSlack, func(ctx context.Context) storeAnswer { return f.callWatch(ctx, revision, wait) })
	if errors.Is(context.Cause(ctx), errRenewed) && answer.err != nil {
		return errRenewed
	}
	if answer.err != nil {
		return answer.err
	}
	known, shown := f.take(revision, wait, answer)
	f.renewing.Store(false)
	if f.kind == ConfigObjects {
		g.verifyCopies(known, shown)
	}
	if !shown {
		f.noteBehind(callWatch, answer)
		return errFromThePast
	}
	if f.kind == ConfigObjects {
		return nil
	}
	if len(answer.objects) > 0 {
		g.pause(f.settleTime())
	}
	return nil
}

// noteBehind notes an answer that is older than what was known, and logs the first of several.
func (f *follower) noteBehind(call string, answer storeAnswer) {
	g := f.gateway
	g.metrics.staleStoreAnswers.WithLabelValues(f.kind.String()).Inc()
	if f.behind.Swap(true) {
		return
	}
	known := g.copies.newestRevision()
	g.log.Log(events.StoreStale, events.Fields{
		"kind": f.kind.String(), "call": call, "revision": answer.revision.Number(), "era": answer.revision.Era(),
		"known_revision": known.Number(), "known_era": known.Era(), "objects": len(answer.objects),
	})
}

// call makes one call to the store and notes how it went.
func (f *follower) call(ctx context.Context, name string, made func() ([]v1.Object, storerev.Revision, error)) storeAnswer {
	g := f.gateway
	answer := storeAnswer{known: g.copies.newestRevision(), sent: f.gateway.now()}
	answer.objects, answer.revision, answer.err = made()
	g.metrics.observeStoreCall(f.kind.String(), name, g.since(answer.sent))
	g.storeFailures.record(answer.sent, answer.err, ctx.Err())
	return answer
}

// callWatch makes one watch. A store in another era may well have the revision's number, but
// what it answers does not follow on what the copy holds.
func (f *follower) callWatch(ctx context.Context, revision storerev.Revision, wait time.Duration) storeAnswer {
	answer := f.call(ctx, callWatch, func() ([]v1.Object, storerev.Revision, error) {
		return f.gateway.ports.Store.Watch(ctx, f.kind, revision, wait)
	})
	if answer.err != nil {
		return answer
	}
	switch {
	case answer.revision.Era() > revision.Era():
		answer.err = ErrHistoryGone
	case answer.revision.Era() < revision.Era():
		f.noteBehind(callWatch, answer)
		answer.err = errFromThePast
	}
	return answer
}

// take takes a watch's answer into the copy and returns the checkpoint that it tells, and
// whether that is shown.
func (f *follower) take(revision storerev.Revision, wait time.Duration, answer storeAnswer) (known checkpoint, shown bool) {
	g := f.gateway
	known = checkpoint{revision: answer.revision, at: provenSince(g.now(), answer.sent, wait, answer.objects)}
	shown = g.copies.shownBy(answer, known.at)
	if shown {
		g.copies.checkpoints.add(known)
	}
	delta := config.Delta{From: revision, Through: throughOf(answer.objects, revision, answer.revision), Objects: answer.objects}
	g.copies.apply(f.kind, delta, proof{at: known.at, given: shown})
	return known, shown
}

// watchWait is how long a watch made now waits for changes.
func (f *follower) watchWait() time.Duration {
	if f.failures > 0 || f.renewing.Load() {
		return regainWait
	}
	if f.kind != ConfigObjects {
		return f.wait
	}
	// An answer that brings a change proves what was known when its watch was sent only,
	// and a wait after it is short, so that the proof does not grow too old meanwhile.
	left := proofAge - configSlack - f.gateway.since(f.gateway.configProvenAt())
	return min(f.wait, max(left, regainWait))
}

// settleTime is the pause after a change.
func (f *follower) settleTime() time.Duration {
	if f.gateway.relays.isSource() {
		return settle
	}
	return fallbackSettle
}

// provenSince returns from when a watch's answer proves what it says. A store
// that had something to say would have said so; an empty answer after the whole
// wait shows that nothing had changed until then.
func provenSince(now, sent time.Time, wait time.Duration, objects []v1.Object) time.Time {
	if waited := sent.Add(wait); len(objects) == 0 && !now.Before(waited) {
		return waited
	}
	return sent
}

// throughOf returns the revision up to which a watch's answer is complete.
func throughOf(objects []v1.Object, revision, at storerev.Revision) storerev.Revision {
	through := max(revision, at)
	for _, object := range objects {
		through = max(through, storerev.Revision(object.Version))
	}
	return through
}

func (f *follower) failed(err error) {
	g := f.gateway
	if g.ctx.Err() != nil || errors.Is(err, errRenewed) {
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		f.historyGone()
		return
	}
	f.failures++
	g.metrics.storeFailures.WithLabelValues(f.kind.String()).Inc()
	if !f.lost {
		f.lost = true
		g.log.Log(events.StoreUnavailable, events.Fields{"kind": f.kind.String(), "revision": g.copies.revision(f.kind).Number(), "error": err.Error()})
	}
	g.backoff(f.failures-1, firstRetry, lastRetry)
}

// historyGone has the copy listed anew, unless another router tells what the store holds in a new
// era.
func (f *follower) historyGone() {
	g := f.gateway
	f.listed = false
	revision := g.copies.revision(f.kind)
	g.log.Log(events.StoreHistoryGone, events.Fields{"kind": f.kind.String(), "revision": revision.Number(), "era": revision.Era()})
	if g.relays.isSource() || g.era.newest() == revision.Era() {
		return
	}
	g.pauseInNewEra()
	f.listed = g.copies.revision(f.kind).Era() == g.era.newest()
}

func (f *follower) succeeded() {
	if f.lost {
		f.lost = false
		f.gateway.log.Log(events.StoreRecovered, events.Fields{"kind": f.kind.String(), "revision": f.gateway.copies.revision(f.kind).Number(), "failures": f.failures})
	}
	f.failures = 0
	f.behind.Store(false)
}
