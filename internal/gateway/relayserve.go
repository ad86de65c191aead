package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of answering other routers.
const (
	// pushTime is how long after a pull changes are pushed to a router.
	pushTime = 2 * time.Second
	// countInterval is how often a router counts those that pull from it.
	countInterval = 500 * time.Millisecond
	// fullTime is how long a whole directory is given out though there are newer
	// changes: the next pull brings these.
	fullTime = 2 * time.Second
)

// packedCopy is the encoded changes between two revisions.
type packedCopy struct {
	from, through uint64
	// reusable copies are given out for a while though there are newer changes:
	// whole directories only. A configuration goes with a proof that it is the
	// newest, so an older one must never be given.
	reusable bool
	at       time.Time
	message  *wire.CopyDelta
}

// answers tells whether the copy serves for changes between the revisions.
func (p packedCopy) answers(from, through uint64, now time.Time) bool {
	if p.message == nil || p.from != from {
		return false
	}
	return p.through == through || (p.reusable && now.Sub(p.at) < fullTime)
}

// handle takes a message of another router.
func (r *relays) handle(_ context.Context, envelope *wire.Envelope) *wire.Envelope {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_CopyPull:
		return &wire.Envelope{Body: &wire.Envelope_CopyAnswer{CopyAnswer: r.answer(body.CopyPull)}}
	case *wire.Envelope_CopyPush:
		r.applyDeltas(body.CopyPush.GetDeltas(), proof{})
	}
	return nil
}

// answer returns what the asking router lacks, with the proof of the
// configuration. The delta of the configuration is always there: it may be empty.
func (r *relays) answer(pull *wire.CopyPull) *wire.CopyAnswer {
	g := r.gateway
	r.noteFollower(pull.GetPeerAddress())
	stores := g.cacheStores.state.Load()
	answer := &wire.CopyAnswer{Zone: g.settings.Zone, CacheStores: stores.answering, CacheStoresConfig: stores.config, Routers: uint32(g.routerCount())}
	if pull.GetWantsCache() {
		answer.Cache = g.caches.answer(pull.GetCacheFeed(), pull.GetCacheThrough())
	}
	// The proof is read before the copies: what is given is at least as new.
	if current := g.view.Load(); current != nil && !current.provenAt.IsZero() {
		answer.Proven = true
		answer.ProofAgeMillis = uint64(max(time.Since(current.provenAt), 0).Milliseconds()) + 1
	}
	for _, have := range pull.GetHave() {
		kind := ObjectKind(have.GetKind())
		if int(kind) >= len(objectKinds) {
			continue
		}
		if kind == ConfigObjects || g.copies.revision(kind) > have.GetRevision() {
			answer.Deltas = append(answer.Deltas, r.changes(kind, have.GetRevision()))
		}
	}
	return answer
}

// noteFollower notes a router that pulls. Each router pulls from one seed, and the
// seeds have about the same number of followers, so this one's stand for all.
func (r *relays) noteFollower(address string) {
	if address == "" {
		return
	}
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.followers[address] = now.Add(pushTime)
	if now.Before(r.countAgain) {
		return
	}
	r.countAgain = now.Add(countInterval)
	following := 0
	for _, until := range r.followers {
		if now.Before(until) {
			following++
		}
	}
	r.gateway.routers.Store(int64((following + 1) * r.chooser.Seeds()))
}

// changes returns what changed after the revision, encoded. The last such
// answer is kept, as many routers ask for the same after a change or a restart.
func (r *relays) changes(kind ObjectKind, after uint64) *wire.CopyDelta {
	through := r.gateway.copies.revision(kind)
	r.mutex.Lock()
	kept := r.packed[kind]
	r.mutex.Unlock()
	if kept.answers(after, through, time.Now()) {
		return kept.message
	}
	delta := r.gateway.copies.since(kind, after)
	message, err := wire.PackCopyDelta(uint32(kind), control.DeltaToWire(delta))
	if err != nil {
		// Objects that cannot be encoded are none of the store's.
		panic("gateway: " + err.Error())
	}
	r.mutex.Lock()
	r.packed[kind] = packedCopy{from: after, through: delta.Through, reusable: kind == RunnerObjects && delta.Full && delta.Through > 0, at: time.Now(), message: message}
	r.mutex.Unlock()
	return message
}

// push tells the routers that pulled of late what has changed after the revision.
func (r *relays) push(kind ObjectKind, after uint64) {
	now := time.Now()
	r.mutex.Lock()
	var addresses []string
	for address, until := range r.followers {
		if now.After(until) {
			delete(r.followers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	r.mutex.Unlock()
	if len(addresses) == 0 {
		return
	}
	delta := r.changes(kind, after)
	for _, address := range addresses {
		// A push that is lost is repaired by the next pull.
		_ = r.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_CopyPush{CopyPush: &wire.CopyPush{Deltas: []*wire.CopyDelta{delta}}}})
	}
}
