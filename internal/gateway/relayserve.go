package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/relay"
	"github.com/clovertiller/clovertiller/internal/storerev"
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
	from, through storerev.Revision
	// reusable copies are given out for a while though there are newer changes:
	// whole directories only. A configuration goes with a proof that it is the
	// newest, so an older one must never be given.
	reusable bool
	at       time.Time
	message  *wire.CopyDelta
}

// answers tells whether the copy serves for changes between the revisions.
func (p packedCopy) answers(from, through storerev.Revision, now time.Time) bool {
	if p.message == nil || p.from != from || p.through.Era() != through.Era() {
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
		deltas, _ := r.unpack(body.CopyPush.GetDeltas())
		r.applyDeltas(deltas, proof{})
	case *wire.Envelope_QuotaAsk:
		return &wire.Envelope{Body: &wire.Envelope_QuotaAnswer{QuotaAnswer: r.gateway.limits.Answer(body.QuotaAsk)}}
	case *wire.Envelope_RunnerAsk:
		return &wire.Envelope{Body: &wire.Envelope_RunnerAnswer{RunnerAnswer: r.gateway.schedulers.place(envelope, body.RunnerAsk)}}
	case *wire.Envelope_SendNotice:
		r.gateway.schedulers.noticed(envelope, body.SendNotice)
	case *wire.Envelope_LoadShare:
		r.gateway.schedulers.told(envelope.GetFrom(), body.LoadShare)
	case *wire.Envelope_SuspectNews:
		r.gateway.suspects.learn(recordsOf(r.gateway.now(), body.SuspectNews.GetRecords()))
	case *wire.Envelope_SignalNews:
		r.gateway.signals.learn(body.SignalNews.GetSignals())
	case *wire.Envelope_QuotaReturn:
		r.gateway.limits.Returned(body.QuotaReturn)
	}
	return nil
}

// answer returns what the asking router lacks, with the proof of the
// configuration. The delta of the configuration is always there: it may be empty.
func (r *relays) answer(pull *wire.CopyPull) *wire.CopyAnswer {
	g := r.gateway
	if pull.GetStateTransfer() {
		return g.transfer.answer(pull)
	}
	referTo, interval := r.noteFollower(pull)
	stores := g.cacheStores.status.Load()
	answer := &wire.CopyAnswer{
		Zone: g.settings.Zone, CacheStores: stores.availableBits, CacheStoresConfig: stores.configVersion, Routers: uint32(g.routerCount()),
		ReferTo: referTo, PullAfterMillis: uint32(interval.Milliseconds()),
		StoreOnly: g.transfer.running.Load(),
	}
	if pull.GetWantsCache() {
		answer.Cache = g.caches.deltaSince(pull.GetCacheFeed(), pull.GetCacheThrough())
	}
	// The proof is read before the copies: what is given is at least as new.
	if current := g.activeConfig.Load(); current != nil && !current.provenAt.IsZero() {
		answer.Proven = true
		answer.ProofAgeMillis = wire.AgeMillis(r.gateway.since(current.provenAt))
	} else if empty := g.provenEmptyAt.Load(); empty != nil {
		answer.Unconfigured = true
		answer.ProofAgeMillis = wire.AgeMillis(r.gateway.since(*empty))
	}
	answer.Suspects, answer.Signals = g.suspects.answer(pull), g.signals.answer(pull)
	answer.TellsProofs, answer.Proofs, answer.WeightBounds = true, g.copies.proofs(), g.boundsToShare()
	if newest, known := g.copies.checkpoints.newest(); known {
		answer.StoreRevision, answer.StoreAgeMillis = uint64(newest.revision), wire.AgeMillis(r.gateway.since(newest.at))
	}
	for _, have := range pull.GetHave() {
		kind := ObjectKind(have.GetKind())
		if int(kind) >= len(objectKinds) {
			continue
		}
		known := storerev.Revision(have.GetRevision())
		if kind == ConfigObjects || g.copies.revision(kind) > known {
			answer.Deltas = append(answer.Deltas, r.changes(kind, known))
		}
	}
	return answer
}

// follows is a router that pulls from this one.
type follows struct {
	// until is when changes are no longer pushed to it, unless it pulls again.
	until time.Time
	// below is how many routers pull from it.
	below int
}

// noteFollower notes a router that pulls, and returns whom it is to pull from
// instead, if anybody, and how long after this pull the next one is to come.
func (r *relays) noteFollower(pull *wire.CopyPull) (referTo string, interval time.Duration) {
	address, now := pull.GetPeerAddress(), r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if address != "" {
		r.followers[address] = follows{until: now.Add(pushTime), below: int(pull.GetFollowers())}
	}
	if !now.Before(r.countAgain) {
		r.countAgain = now.Add(countInterval)
		r.countFollowers(now)
	}
	return r.referral(now, pull), intervalFor(r.following)
}

// countFollowers counts who pulled of late. The mutex is held.
func (r *relays) countFollowers(now time.Time) {
	r.following = 0
	for _, follower := range r.followers {
		if now.Before(follower.until) {
			r.following++
		}
	}
}

// routersBehind counts the routers that learn from this one, itself included. Seeds that pull
// from it for want of a proof are counted by themselves. The mutex is held.
func (r *relays) routersBehind(now time.Time) int {
	count := 1
	for address, follower := range r.followers {
		if now.Before(follower.until) && !r.chooser.HasSeed(address) {
			count += 1 + follower.below
		}
	}
	return count
}

// followersBeside counts the routers that pull from this one beside the one at the address:
// two may pull from each other while one takes the other's place. The mutex is held.
func (r *relays) followersBeside(now time.Time, address string) (count int) {
	for other, follower := range r.followers {
		if other != address && now.Before(follower.until) && !r.chooser.HasSeed(other) {
			count++
		}
	}
	return count
}

// countRouters counts all routers, at a seed, and returns how many learn from this one,
// itself included. Each router learns from one seed or a relay of one, and is told the number.
func (r *relays) countRouters() (own int) {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own = r.routersBehind(now)
	r.gateway.knownRouters.Store(int64(r.counter.Total(now, r.chooser.Seeds(), own)))
	return own
}

// toldBehind takes another seed's count of the routers that learn from it.
func (r *relays) toldBehind(seed string, routers int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Told(r.gateway.now(), seed, routers)
}

// referral returns whom the asking router is to pull from: at a seed one of the
// relays of its zone, if many ask; at a router that has a relay itself that one, so
// that changes take two steps and not more. The mutex is held.
func (r *relays) referral(now time.Time, pull *wire.CopyPull) string {
	if r.chooser.HasSeed(pull.GetPeerAddress()) {
		return ""
	}
	if !r.chooser.IsSeed() {
		return r.chooser.Referred()
	}
	asker := relay.Asker{
		Address: pull.GetPeerAddress(), Zone: pull.GetZone(),
		Capacity: int(pull.GetCapacity()), Followers: int(pull.GetFollowers()),
	}
	referred := r.assigner.Assign(now, asker, r.following > r.gateway.settings.DirectFollowers)
	if referred != "" {
		delete(r.followers, asker.Address)
	}
	return referred
}

// changes returns what changed after the revision, encoded. The last such
// answer is kept, as many routers ask for the same after a change or a restart.
func (r *relays) changes(kind ObjectKind, after storerev.Revision) *wire.CopyDelta {
	through := r.gateway.copies.revision(kind)
	r.mutex.Lock()
	kept := r.packed[kind]
	r.mutex.Unlock()
	if kept.answers(after, through, r.gateway.now()) {
		return kept.message
	}
	delta := r.gateway.copies.since(kind, after)
	message, err := wire.PackCopyDelta(uint32(kind), control.DeltaToWire(delta))
	if err != nil {
		// Objects that cannot be encoded are none of the store's.
		panic("gateway: " + err.Error())
	}
	r.mutex.Lock()
	r.packed[kind] = packedCopy{from: after, through: delta.Through, reusable: kind == RunnerObjects && delta.Full && delta.Through > 0, at: r.gateway.now(), message: message}
	r.mutex.Unlock()
	return message
}

// forgetPacked has answers packed anew after a change that no revision tells.
func (r *relays) forgetPacked() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.packed)
}

// push tells the routers that pulled of late what has changed after the revision.
func (r *relays) push(kind ObjectKind, after storerev.Revision) {
	addresses := r.pushed(r.gateway.now())
	if len(addresses) == 0 {
		return
	}
	message := &wire.CopyPush{Deltas: []*wire.CopyDelta{r.changes(kind, after)}}
	for _, address := range addresses {
		// A push that is lost is repaired by the next pull.
		_ = r.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_CopyPush{CopyPush: message}})
	}
}

// pushed returns the routers that pulled of late.
func (r *relays) pushed(now time.Time) (addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, follower := range r.followers {
		if now.After(follower.until) {
			delete(r.followers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}
