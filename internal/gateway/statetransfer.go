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
	// transferWait is how long the first lists of a router that starts in a later era are held
	// back for another router's answer.
	transferWait = 100 * time.Millisecond
	// transferFirstRetry and transferLastRetry bound the pause before others are asked again.
	transferFirstRetry = 20 * time.Millisecond
	transferLastRetry  = 500 * time.Millisecond
	// transferTime is how long others are asked: by then all is written again that the store
	// lost.
	transferTime = 10 * time.Second
)

// stateTransfer has other routers tell what they know beyond a store that came back from a copy
// before this router started. What that store lists may be older, at revisions that the others
// have too, so that no delta tells it.
type stateTransfer struct {
	gateway *Gateway
	once    sync.Once
	// running is true while this router may know nothing but what such a store lists.
	running atomic.Bool
	// over is closed when a transfer has succeeded, is given up or is not needed.
	over chan struct{}
}

func newStateTransfer(g *Gateway) *stateTransfer {
	return &stateTransfer{gateway: g, over: make(chan struct{})}
}

// begin asks for a transfer if this router does not have copies of all kinds yet.
func (t *stateTransfer) begin() {
	t.once.Do(func() {
		if t.gateway.relays.transport == nil || t.gateway.copies.complete() {
			close(t.over)
			return
		}
		t.running.Store(true)
		t.gateway.spawn(t.run)
	})
}

// await holds a list of the era back for a transfer, if one is needed.
func (t *stateTransfer) await(era uint64) {
	if era == storerev.FirstEra {
		return
	}
	t.begin()
	timer := time.NewTimer(transferWait)
	defer timer.Stop()
	select {
	case <-t.over:
	case <-timer.C:
	case <-t.gateway.ctx.Done():
	}
}

func (t *stateTransfer) run() {
	g := t.gateway
	defer func() {
		t.running.Store(false)
		close(t.over)
	}()
	began := g.now()
	for attempt := 0; g.since(began) < transferTime; attempt++ {
		if t.askAny(g.relays.transferSources(), attempt > 0) || !g.backoff(attempt, transferFirstRetry, transferLastRetry) {
			return
		}
	}
}

// askAny asks the routers at once and tells whether one has transferred its copies.
func (t *stateTransfer) askAny(addresses []string, again bool) bool {
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		t.gateway.spawn(func() { answers <- t.ask(address, again) })
	}
	for range addresses {
		if <-answers {
			return true
		}
	}
	return false
}

// ask asks one router and takes its copies. Whole copies may take long, and a call that may take
// long keeps a silent connection from being replaced: from the second time on they are asked of
// routers only that have just said that they have any.
func (t *stateTransfer) ask(address string, again bool) bool {
	g, patience := t.gateway, pullTime
	if again {
		if !knows(t.call(address, pullTime, nil)) {
			return false
		}
		patience = directoryTime
	}
	answer := t.call(address, patience, objectKinds)
	if !knows(answer) {
		return false
	}
	deltas, readable := g.relays.unpack(answer.GetDeltas())
	joined := 0
	for _, d := range deltas {
		joined += g.copies.inherit(d.kind, d.delta)
	}
	g.log.Log(events.StateTransferred, events.Fields{"router": address, "era": g.era.newest(), "objects": joined})
	return readable
}

// knows tells whether the answer is of a router that knows more than the store may.
func knows(answer *wire.CopyAnswer) bool { return answer.GetProven() && !answer.GetStoreOnly() }

// call asks a router for whole copies of the kinds and returns its answer, or nil.
func (t *stateTransfer) call(address string, patience time.Duration, kinds []ObjectKind) *wire.CopyAnswer {
	relays := t.gateway.relays
	ctx, cancel := context.WithTimeout(t.gateway.ctx, patience)
	defer cancel()
	request := relays.newPull(address)
	request.StateTransfer = true
	for _, kind := range kinds {
		request.Have = append(request.Have, &wire.CopyRevision{Kind: uint32(kind)})
	}
	reply, err := relays.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: request}})
	if err != nil {
		// The next attempt asks again.
		return nil
	}
	return reply.GetCopyAnswer()
}

// answer returns this router's copies.
func (t *stateTransfer) answer(pull *wire.CopyPull) *wire.CopyAnswer {
	g := t.gateway
	current := g.activeConfig.Load()
	answer := &wire.CopyAnswer{Zone: g.settings.Zone, Proven: current != nil && !current.provenAt.IsZero(), StoreOnly: t.running.Load()}
	if !answer.Proven || answer.StoreOnly {
		return answer
	}
	answer.ProofAgeMillis = wire.AgeMillis(g.since(current.provenAt))
	for _, have := range pull.GetHave() {
		if kind := ObjectKind(have.GetKind()); int(kind) < len(objectKinds) {
			answer.Deltas = append(answer.Deltas, g.relays.changes(kind, 0))
		}
	}
	return answer
}

// inherit takes the whole copy of another router and returns how many objects are newer there
// than the store lists them.
func (c *copies) inherit(kind ObjectKind, whole config.Delta) int {
	c.apply(kind, whole, proof{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newer := c.newerThanListed(kind, whole)
	if len(newer) == 0 {
		return 0
	}
	store := c.stores[kind]
	store.Replace(newer)
	c.gateway.relays.forgetPacked()
	for _, object := range newer {
		c.gateway.putObjectInForce(kind, object)
	}
	c.settleLater(kind, config.Delta{Through: store.Revision(), Full: true, Objects: newer})
	return len(newer)
}

// newerThanListed returns the objects of another router's copy that are newer than this copy's,
// at the revisions that this one has them, and those of earlier eras that it lacks. The mutex is
// held.
func (c *copies) newerThanListed(kind ObjectKind, whole config.Delta) []v1.Object {
	store := c.stores[kind]
	var newer []v1.Object
	for _, object := range whole.Objects {
		known, found := store.Object(object.Key())
		switch {
		case object.Deleted:
		case found && writtenBefore(kind, known, object) && c.precedes(kind, known, object):
			object.Version = known.Version
			newer = append(newer, object)
		case !found && !store.Deleted(object.Key()) && ofEarlierEra(object, store.Revision()):
			newer = append(newer, object)
		}
	}
	return newer
}

// writtenBefore tells whether the known object is not written anew since the other one was
// known. Configurations and weights carry a version that tells which one is newer in any case.
func writtenBefore(kind ObjectKind, known, other v1.Object) bool {
	return kind != RunnerObjects || known.Version == other.Version || ofEarlierEra(other, storerev.Revision(known.Version))
}
