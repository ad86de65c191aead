package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// transferListDelay is the maximum time that the first lists of a router that starts in a later
	// era wait for the answer of another router.
	transferListDelay = 100 * time.Millisecond
	// minTransferRetryDelay and maxTransferRetryDelay bound the delay between two attempts.
	minTransferRetryDelay = 20 * time.Millisecond
	maxTransferRetryDelay = 500 * time.Millisecond
	// transferTimeout is when the attempts end. By then everything that the store lost has been
	// rewritten.
	transferTimeout = 10 * time.Second
)

// stateTransfer pulls the copies of other routers if the store was restored from a backup before
// this router started. The store may then list older states at revisions that the other routers
// have too, so a delta would not include the newer states.
type stateTransfer struct {
	gateway *Gateway
	once    sync.Once
	// running is true while this router may know no more than the restored store lists.
	running atomic.Bool
	// done is closed when a transfer has succeeded, was abandoned or is not needed.
	done chan struct{}
}

func newStateTransfer(g *Gateway) *stateTransfer {
	return &stateTransfer{gateway: g, done: make(chan struct{})}
}

// start starts a transfer unless this router already has copies of all kinds.
func (t *stateTransfer) start() {
	t.once.Do(func() {
		if t.gateway.peerRouters.transport == nil || t.gateway.copies.hasAllKinds() {
			close(t.done)
			return
		}
		t.running.Store(true)
		t.gateway.spawn(t.run)
	})
}

// await delays a list of the given era until the transfer is done, if one is needed.
func (t *stateTransfer) await(era uint64) {
	if era == storerev.FirstEra {
		return
	}
	t.start()
	timer := time.NewTimer(transferListDelay)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-t.gateway.ctx.Done():
	}
}

func (t *stateTransfer) run() {
	g := t.gateway
	defer func() {
		t.running.Store(false)
		close(t.done)
	}()
	startedAt := g.now()
	for attempt := 0; g.since(startedAt) < transferTimeout; attempt++ {
		if t.pullFromAny(g.peerRouters.transferSources(), attempt > 0) || !g.backoff(attempt, minTransferRetryDelay, maxTransferRetryDelay) {
			return
		}
	}
}

// pullFromAny pulls from all routers concurrently and reports whether one of them has transferred
// its copies.
func (t *stateTransfer) pullFromAny(addresses []string, retry bool) bool {
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		t.gateway.spawn(func() { answers <- t.pullFrom(address, retry) })
	}
	for range addresses {
		if <-answers {
			return true
		}
	}
	return false
}

// pullFrom pulls from one router and merges its copies. Full copies need a long timeout, and a call
// with a long timeout delays the replacement of a silent connection. On retries they are therefore
// requested only from a router that has just reported having copies.
func (t *stateTransfer) pullFrom(address string, retry bool) bool {
	g, timeout := t.gateway, pullTimeout
	if retry {
		if !canTransfer(t.sendPull(address, pullTimeout, nil)) {
			return false
		}
		timeout = directoryPullTimeout
	}
	answer := t.sendPull(address, timeout, t.gateway.copies.kinds)
	if !canTransfer(answer) {
		return false
	}
	deltas, ok := g.peerRouters.unpackDeltas(answer.GetDeltas())
	merged := 0
	for _, d := range deltas {
		merged += g.copies.mergeTransferred(d.kind, d.delta)
	}
	g.log.Log(events.StateTransferred, events.Fields{"router": address, "era": g.eraTracker.newest(), "objects": merged})
	return ok
}

// canTransfer reports whether the answer is from a router that may know more than the store.
func canTransfer(answer *wire.CopyAnswer) bool { return answer.GetProven() && !answer.GetStoreOnly() }

// sendPull requests full copies of the kinds from a router and returns its answer, or nil.
func (t *stateTransfer) sendPull(address string, timeout time.Duration, kinds []ObjectKind) *wire.CopyAnswer {
	peers := t.gateway.peerRouters
	ctx, cancel := context.WithTimeout(t.gateway.ctx, timeout)
	defer cancel()
	request := peers.newPull(address)
	request.StateTransfer = true
	for _, kind := range kinds {
		request.Have = append(request.Have, &wire.CopyRevision{Kind: uint32(kind)})
	}
	reply, err := peers.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: request}})
	if err != nil {
		// The next attempt pulls again.
		return nil
	}
	return reply.GetCopyAnswer()
}

// answer returns this router's full copies of the requested kinds.
func (t *stateTransfer) answer(pull *wire.CopyPull) *wire.CopyAnswer {
	g := t.gateway
	current := g.activeConfig.Load()
	answer := &wire.CopyAnswer{Zone: g.settings.Zone, Proven: current != nil && !current.provenAt.IsZero(), StoreOnly: t.running.Load()}
	if !answer.Proven || answer.StoreOnly {
		return answer
	}
	answer.ProofAgeMillis = wire.AgeToMillis(g.since(current.provenAt))
	for _, have := range pull.GetHave() {
		if kind := ObjectKind(have.GetKind()); t.gateway.copies.holds(kind) {
			answer.Deltas = append(answer.Deltas, g.peerRouters.packedChanges(kind, 0))
		}
	}
	return answer
}

// mergeTransferred merges the full copy of another router and returns the number of objects whose
// state there is newer than the one that the store lists.
func (c *copies) mergeTransferred(kind ObjectKind, full config.Delta) int {
	c.apply(kind, full, proof{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newer := c.newerThanListed(kind, full)
	if len(newer) == 0 {
		return 0
	}
	store := c.stores[kind]
	store.Replace(newer)
	c.gateway.peerRouters.clearPackedDeltas()
	for _, object := range newer {
		c.gateway.applySingleObject(kind, object)
	}
	c.scheduleGracePeriods(kind, config.Delta{Through: store.Revision(), Full: true, Objects: newer})
	return len(newer)
}

// newerThanListed returns the objects of another router's copy that are newer than this copy's, at
// the revisions of this copy, and the objects of earlier eras that this copy lacks. The mutex must
// be held.
func (c *copies) newerThanListed(kind ObjectKind, full config.Delta) []v1.Object {
	store := c.stores[kind]
	var newer []v1.Object
	for _, object := range full.Objects {
		known, found := store.Object(object.Key())
		switch {
		case object.Deleted:
		case found && notRewritten(kind, known, object) && c.precedes(kind, known, object):
			object.Version = known.Version
			newer = append(newer, object)
		case !found && !store.IsDeleted(object.Key()) && isFromEarlierEra(object, store.Revision()):
			newer = append(newer, object)
		}
	}
	return newer
}

// notRewritten reports whether the known object has not been rewritten since the other state.
// Configurations and weights always pass, because their versions tell which one is newer.
func notRewritten(kind ObjectKind, known, other v1.Object) bool {
	return kind != RunnerObjects || known.Version == other.Version || isFromEarlierEra(other, storerev.Revision(known.Version))
}
