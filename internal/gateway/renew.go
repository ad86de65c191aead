package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// A watch that waits for a change looks the same as one whose answer is lost or whose
// connection is dead. Only the configuration is read so often that silence is noticed.
// Its answers tell the store's revision, which counts the changes of all kinds: a copy that
// is complete up to it is proved without a call of its own; beside the watch of one that is
// behind a short one is made, and if that brings changes the first is given up. So a
// leaving runner or named weights are known 1.2 s after the change at the latest while the
// configuration's watch works, instead of 12.7 s, and 2.1 s if that one is silent as well.
// While nothing in the store changes it costs no call, else one a kind each 0.9 s.

// newsSlack is how much longer than the pause after a change the news of the next one may
// take on a sound watch: 2 to 95 ms were measured.
const newsSlack = 130 * time.Millisecond

// errRenewed means that a watch was ended as another one is to be made in its place.
var errRenewed = errors.New("watch is made anew")

// verifyCopies proves the copies of the other kinds by an answer on the configuration, or
// renews their watches, at once if the answer shows nothing.
func (g *Gateway) verifyCopies(known checkpoint, shown bool) {
	for _, f := range g.followers {
		if f.kind != ConfigObjects {
			f.verify(known, shown)
		}
	}
}

func (f *follower) verify(known checkpoint, shown bool) {
	if !shown {
		f.renew()
		return
	}
	if f.gateway.copies.check(f.kind, known) {
		return
	}
	time.AfterFunc(f.settleTime()+newsSlack, func() {
		if !f.gateway.copies.check(f.kind, known) {
			f.renew()
		}
	})
}

// renew looks beside the watch that waits whether there are changes.
func (f *follower) renew() {
	if f.gateway.directReads.on() && f.renewing.CompareAndSwap(false, true) {
		f.gateway.spawn(f.lookBeside)
	}
}

// lookBeside makes a short watch. If it brings changes, or is not answered either, the
// waiting one ends and the next is made at once.
func (f *follower) lookBeside() {
	g := f.gateway
	revision := g.copies.revision(f.kind)
	answer := f.askBeside(revision)
	if answer.err != nil {
		// The next watch of the follower is short too, until one is answered.
		f.endWatch()
		return
	}
	f.take(revision, regainWait, answer)
	f.renewing.Store(false)
	g.metrics.watchRenewals.WithLabelValues(f.kind.String(), renewalOutcomeLabel(len(answer.objects) > 0)).Inc()
	if len(answer.objects) > 0 {
		f.endWatch()
		g.log.Log(events.WatchStalled, events.Fields{"kind": f.kind.String(), "objects": len(answer.objects), "revision": g.copies.revision(f.kind).Number()})
	}
}

// endWatch ends the watch that waits, if there is one.
func (f *follower) endWatch() {
	if interrupt := f.interrupt.Load(); interrupt != nil {
		(*interrupt)(errRenewed)
	}
}

func (f *follower) askBeside(revision storerev.Revision) storeAnswer {
	ctx, cancel := context.WithTimeout(f.gateway.ctx, regainWait+callSlack)
	defer cancel()
	return f.callWatch(ctx, revision, regainWait)
}

// interruptible returns a context that a renewal ends.
func (f *follower) interruptible() (context.Context, context.CancelCauseFunc) {
	ctx, interrupt := context.WithCancelCause(f.gateway.ctx)
	f.interrupt.Store(&interrupt)
	return ctx, interrupt
}
