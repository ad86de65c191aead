package gateway

import (
	"context"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// fallbackPageDelay is the pause between two pages of a list that a router reads only because it found no
// other router to pull from. Many routers may do so at once.
const fallbackPageDelay = 500 * time.Millisecond

// listAttemptTimeout is the time after which the call for a page of a list is sent once more, while the first
// one keeps waiting. A router that has just started can serve nothing meanwhile, and a call that was sent to a
// silent store is lost.
const listAttemptTimeout = 300 * time.Millisecond

// pendingList is a list of the store of which some pages may be missing.
type pendingList struct {
	stale bool
	// objects are those of the pages so far, and next is the name after which the next page begins.
	objects []v1.Object
	next    string
	// through is the lowest revision of the pages, as stale pages may reflect different moments.
	through storerev.Revision
	// sentAt is when the first page was requested, and knownRevision the newest revision known then.
	sentAt        time.Time
	knownRevision storerev.Revision
	pages         int
}

// add adds the response with the next page.
func (l *pendingList) add(response storeResponse) {
	if l.pages == 0 {
		l.through, l.sentAt, l.knownRevision = response.revision, response.sentAt, response.knownRevision
	}
	l.pages++
	l.through = min(l.through, response.revision)
	l.objects = append(l.objects, response.objects...)
	l.next = response.next
}

// list reads the next page of a list. A router that has just started and found no router to pull from may be
// one of many. It accepts a list that is some seconds old, which costs the store little. The next watch
// brings the copy up to date and proves it.
func (w *storeWatcher) list() error {
	g := w.gateway
	if w.pending == nil {
		w.pending = &pendingList{stale: w.listed && !g.peerRouters.alwaysReadsStore()}
	}
	more, err := w.readPage(w.pending)
	if err != nil {
		return err
	}
	list := w.pending
	switch {
	case !more:
		w.pending = nil
		return w.finishList(list)
	case w.kind == RunnerObjects && !g.peerRouters.alwaysReadsStore() && g.copies.hasPartialDirectory():
		// The router serves with the first page, which the next watch proves.
		w.pending, w.listed = nil, true
		w.paging.Store(true)
		g.spawn(func() { w.readFurtherPages(list) })
	}
	return nil
}

// readPage reads the next page and reports whether others follow. The runners of a page are used at once.
func (w *storeWatcher) readPage(list *pendingList) (more bool, err error) {
	g := w.gateway
	timeouts := hedgeTimeouts{attempt: listAttemptTimeout, total: listTimeout}
	if w.failures > 0 {
		timeouts.total *= slowCallFactor
	}
	after, stale := list.next, list.stale
	response := callHedged(g.ctx, timeouts, func(ctx context.Context) storeResponse {
		next := ""
		response := w.recordedCall(ctx, callList, func() (objects []v1.Object, revision storerev.Revision, err error) {
			objects, revision, next, err = g.ports.Store.ListPage(ctx, w.kind, after, stale)
			return objects, revision, err
		})
		response.next = next
		return response
	})
	if response.err != nil {
		return false, response.err
	}
	if list.pages > 0 && response.revision.Era() != list.through.Era() {
		w.pending = nil
		return false, errStaleResponse
	}
	list.add(response)
	// A list of one page is applied as a whole.
	if w.kind == RunnerObjects && (response.next != "" || w.gateway.copies.hasPartialDirectory()) {
		w.usePage(list, response)
	}
	return response.next != "", nil
}

// usePage uses the runners of a page of an incomplete list.
func (w *storeWatcher) usePage(list *pendingList, response storeResponse) {
	current := w.gateway.copies.isCurrent(response, response.sentAt)
	if !current && !list.stale {
		return
	}
	w.gateway.copies.addPage(listedPage(response), proof{at: list.sentAt, valid: current && !list.stale})
}

// finishList applies a complete list.
func (w *storeWatcher) finishList(list *pendingList) error {
	g := w.gateway
	g.transfer.await(list.through.Era())
	delta := config.Delta{Through: list.through, Full: true, Objects: list.objects}
	current := g.copies.isCurrent(storeResponse{revision: list.through, knownRevision: list.knownRevision}, list.sentAt)
	outcome := g.copies.apply(w.kind, delta, proof{at: list.sentAt, valid: current && !list.stale})
	if !current && !list.stale {
		w.recordStaleResponse(callList, storeResponse{objects: list.objects, revision: list.through})
		return errStaleResponse
	}
	w.listed = true
	if w.kind == ConfigObjects && !list.stale {
		g.verifyCopies(checkpoint{revision: list.through, at: list.sentAt}, true)
	}
	w.logList(list, outcome == config.Applied)
	return nil
}

func (w *storeWatcher) logList(list *pendingList, taken bool) {
	w.gateway.log.Log(events.StoreListed, events.Fields{
		"kind": w.kind.String(), "objects": len(list.objects), "pages": list.pages, "revision": list.through.Number(), "stale": list.stale, "taken": taken, "era": list.through.Era(),
	})
}

// lacksPages reports whether the directory is partial although no page of a list is pending.
func (w *storeWatcher) lacksPages() bool {
	return w.kind == RunnerObjects && !w.paging.Load() && w.gateway.copies.hasPartialDirectory()
}

// readFurtherPages reads the other pages of a list, one at a time with pauses, while the router finds no
// other router to pull from. Watches keep the runners of the earlier pages current.
func (w *storeWatcher) readFurtherPages(list *pendingList) {
	g := w.gateway
	defer w.paging.Store(false)
	list.stale = false
	for g.pause(g.jitter(fallbackPageDelay)) && g.directReads.isEnabled() && g.copies.hasPartialDirectory() {
		more, err := w.readPage(list)
		if err != nil || more {
			// A page that fails is read again after the next pause; handleFailure logs failures of watches.
			continue
		}
		g.copies.completeList(list)
		w.logList(list, true)
		return
	}
}
