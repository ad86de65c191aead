package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// incompletePageDelay is the interval between two pulls from a router whose directory is incomplete
	// too. It sends a notification once it is complete.
	incompletePageDelay = 100 * time.Millisecond
	// partialPagerReuseTime is how long the pages of an incomplete directory are reused although it has
	// grown.
	partialPagerReuseTime = 500 * time.Millisecond
)

// pageRequests requests the pages of the directory that a router lacks. It is safe for concurrent use.
type pageRequests struct {
	gateway *Gateway
	mutex   sync.Mutex
	// withoutPages are the routers of versions that send no pages.
	withoutPages map[string]bool
	// interval is the interval to the next pull.
	interval time.Duration
}

func newPageRequests(g *Gateway) *pageRequests {
	return &pageRequests{gateway: g, withoutPages: map[string]bool{}, interval: nextPullDelay}
}

// request returns the request for the next page to a router, nil if no page is requested from it.
func (p *pageRequests) request(address string, waits bool) *wire.DirectoryPosition {
	if !p.requestsFrom(address) {
		return nil
	}
	position, _ := p.gateway.copies.wantedPosition()
	return &wire.DirectoryPosition{Position: position, Waits: waits}
}

// requestsFrom reports whether a page is requested from the router.
func (p *pageRequests) requestsFrom(address string) bool {
	_, wanted := p.gateway.copies.wantedPosition()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return wanted && !p.withoutPages[address]
}

// revisionFor returns the revision of a kind to send with a pull. It returns false if the changes of the kind
// are not requested, because nothing of it is known and a page is.
func (p *pageRequests) revisionFor(kind ObjectKind, page *wire.DirectoryPosition) (revision storerev.Revision, wanted bool) {
	if kind != RunnerObjects || page == nil {
		return p.gateway.copies.revision(kind), true
	}
	revision = p.gateway.copies.currentThrough(kind)
	return revision, revision > 0
}

// record records whether the answer of a router to a request for a page has one, and whether it brought the
// assembly forward.
func (p *pageRequests) record(address string, answered, advanced bool, applied time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !answered {
		p.withoutPages[address] = true
	}
	// Calls need the processor as well.
	p.interval = max(nextPullDelay, applied)
	if answered && !advanced {
		p.interval = incompletePageDelay
	}
}

// recordNoSource records that no router has answered.
func (p *pageRequests) recordNoSource() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.interval = minRetryDelay
}

// pullInterval returns the interval to the next pull while the directory is incomplete.
func (p *pageRequests) pullInterval() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.interval
}

// receivePage uses the page of an answer, if there is one.
func (r *peerRouters) receivePage(address string, answer *wire.CopyAnswer, sentAt time.Time) {
	position, wanted := r.gateway.copies.wantedPosition()
	if !wanted {
		return
	}
	received, startedAt := answer.GetDirectoryPage(), r.gateway.now()
	if received.GetObjects() != nil {
		page, pageProof, ok := r.decodePage(received, sentAt)
		if !ok {
			return
		}
		r.gateway.copies.addPage(page, pageProof)
	}
	next, stillWanted := r.gateway.copies.wantedPosition()
	advanced := next != position || !stillWanted
	r.pages.record(address, received != nil, advanced, r.gateway.since(startedAt))
	if !advanced {
		r.dropIncompleteRelay(address)
	}
}

// dropIncompleteRelay makes the next pull go to a seed if the router at the address is the relay. Its directory
// is as incomplete as this router's.
func (r *peerRouters) dropIncompleteRelay(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if address == r.selector.Relay() {
		r.selector.RecordFailure(r.gateway.now(), address)
	}
}

// decodePage decodes a page. It returns false, and logs why, if that is not possible.
func (r *peerRouters) decodePage(received *wire.DirectoryPage, sentAt time.Time) (coldstart.Page, proof, bool) {
	deltas, ok := r.unpackDeltas([]*wire.CopyDelta{received.GetObjects()})
	if !ok || len(deltas) != 1 {
		return coldstart.Page{}, proof{}, false
	}
	delta := deltas[0].delta
	page := coldstart.Page{Range: coldstart.Range{Index: received.GetRangeIndex(), Count: received.GetRangeCount()}, Objects: delta.Objects, Through: delta.Through}
	return page, proof{at: sentAt.Add(-wire.AgeFromMillis(received.GetProofAgeMillis())), valid: received.GetProven()}, true
}

// pageServer answers requests for pages of the directory. It is safe for concurrent use.
type pageServer struct {
	gateway *Gateway
	mutex   sync.Mutex
	pager   *coldstart.Pager
	builtAt time.Time
	// encoded holds the encoded pages of the pager, because many routers request the same ones.
	encoded map[coldstart.Range]*wire.CopyDelta
}

func newPageServer(g *Gateway) *pageServer { return &pageServer{gateway: g} }

// answer returns the requested page, and the revision through which it is current if it has a range. It
// returns nil if no page is requested, and an empty page if it would bring nothing new to a router that
// already has runners.
func (p *pageServer) answer(request *wire.DirectoryPosition, hasRunners bool) (*wire.DirectoryPage, storerev.Revision) {
	if request == nil {
		return nil, 0
	}
	if hasRunners && p.gateway.copies.revision(RunnerObjects) == 0 {
		return &wire.DirectoryPage{}, 0
	}
	now := p.gateway.now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refresh(now)
	if p.pager == nil {
		return &wire.DirectoryPage{}, 0
	}
	r := p.pager.RangeAt(request.GetPosition())
	page := &wire.DirectoryPage{Objects: p.encode(r)}
	if p.pager.IsComplete() {
		page.RangeIndex, page.RangeCount = r.Index, r.Count
		return page, p.pager.Through()
	}
	if age, known := p.gateway.copies.age(now, RunnerObjects); known {
		page.Proven, page.ProofAgeMillis = true, wire.AgeToMillis(age)
	}
	return page, 0
}

// refresh builds the pager again if the directory has changed, but not after each change: answers include
// the changes since the revision of their page. The mutex must be held.
func (p *pageServer) refresh(now time.Time) {
	copies := p.gateway.copies
	complete := copies.revision(RunnerObjects) > 0
	if p.pager != nil && p.pager.IsComplete() == complete {
		reuse := fullDeltaReuseTime
		if !complete {
			reuse = partialPagerReuseTime
		}
		isCurrent := complete && p.pager.Through() == copies.revision(RunnerObjects)
		if isCurrent || now.Sub(p.builtAt) < reuse {
			return
		}
	}
	p.pager, p.builtAt, p.encoded = copies.newPager(), now, map[coldstart.Range]*wire.CopyDelta{}
}

// encode returns the encoded objects of the page of the range. The mutex must be held.
func (p *pageServer) encode(r coldstart.Range) *wire.CopyDelta {
	if encoded := p.encoded[r]; encoded != nil {
		return encoded
	}
	page := p.pager.Page(r)
	encoded, err := wire.PackCopyDelta(uint32(RunnerObjects), control.DeltaToWire(config.Delta{Through: page.Through, Objects: page.Objects}))
	if err != nil {
		// Objects that cannot be encoded cannot have come from the store.
		panic("gateway: " + err.Error())
	}
	p.encoded[r] = encoded
	return encoded
}

// hasRunners reports whether the pulling router has received runners.
func hasRunners(pull *wire.CopyPull) bool {
	for _, have := range pull.GetHave() {
		if ObjectKind(have.GetKind()) == RunnerObjects && have.GetRevision() > 0 {
			return true
		}
	}
	return false
}

// haveWithPage returns the revisions of a pull that is answered with a page which is current through the
// revision, 0 if there is none. The changes since then are part of the answer, so that all objects of the
// puller are current through the same revision.
func haveWithPage(have []*wire.CopyRevision, pageThrough storerev.Revision) []*wire.CopyRevision {
	if pageThrough == 0 {
		return have
	}
	lowest := uint64(pageThrough)
	adjusted := make([]*wire.CopyRevision, 0, len(have)+1)
	for _, revision := range have {
		if ObjectKind(revision.GetKind()) == RunnerObjects {
			lowest = min(lowest, revision.GetRevision())
			continue
		}
		adjusted = append(adjusted, revision)
	}
	return append(adjusted, &wire.CopyRevision{Kind: uint32(RunnerObjects), Revision: lowest})
}

// handlePush applies changes that another router has pushed.
func (r *peerRouters) handlePush(push *wire.CopyPush) {
	deltas, _ := r.unpackDeltas(push.GetDeltas())
	r.applyDeltas(deltas, proof{})
	if source := push.GetSource(); push.GetHasData() && source != "" && r.lacksData() {
		r.mutex.Lock()
		r.schedule.RecordNotification(source)
		r.selector.RecordNotification(source)
		r.mutex.Unlock()
		r.notifier.Store(&source)
		r.requestPull()
	}
}

// lacksData reports whether this router lacks a configuration or a part of the directory.
func (r *peerRouters) lacksData() bool {
	return !r.gateway.knowsConfigState() || r.gateway.copies.revision(RunnerObjects) == 0
}
