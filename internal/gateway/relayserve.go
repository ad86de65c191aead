package gateway

import (
	"context"
	"time"

	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/relay"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of answers to other routers.
const (
	// pushWindow is how long after its last pull a router is pushed changes.
	pushWindow = 2 * time.Second
	// followerCountInterval is the interval at which a router counts its followers.
	followerCountInterval = 500 * time.Millisecond
	// fullDeltaReuseTime is how long an encoded full directory is reused although there are newer
	// changes. The next pull fetches these.
	fullDeltaReuseTime = 2 * time.Second
)

// packedDelta holds the encoded changes between two revisions.
type packedDelta struct {
	from, through storerev.Revision
	// reusable is set if the delta may be reused for a while although there are newer changes. Only
	// full directories may. A configuration is sent with a proof that it is the newest, so an older
	// one must never be sent.
	reusable bool
	packedAt time.Time
	message  *wire.CopyDelta
}

// covers reports whether the delta can be used for the changes between the revisions.
func (p packedDelta) covers(from, through storerev.Revision, now time.Time) bool {
	if p.message == nil || p.from != from || p.through.Era() != through.Era() {
		return false
	}
	return p.through == through || (p.reusable && now.Sub(p.packedAt) < fullDeltaReuseTime)
}

// handle handles a message of another router and returns the reply, or nil.
func (r *peerRouters) handle(_ context.Context, envelope *wire.Envelope) *wire.Envelope {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_CopyPull:
		return &wire.Envelope{Body: &wire.Envelope_CopyAnswer{CopyAnswer: r.answer(body.CopyPull)}}
	case *wire.Envelope_CopyPush:
		r.handlePush(body.CopyPush)
	case *wire.Envelope_QuotaAsk:
		return &wire.Envelope{Body: &wire.Envelope_QuotaAnswer{QuotaAnswer: r.gateway.limits.HandleAsk(body.QuotaAsk)}}
	case *wire.Envelope_RunnerAsk:
		return &wire.Envelope{Body: &wire.Envelope_RunnerAnswer{RunnerAnswer: r.gateway.schedulers.place(envelope, body.RunnerAsk)}}
	case *wire.Envelope_SendNotice:
		r.gateway.schedulers.handleSendNotice(envelope, body.SendNotice)
	case *wire.Envelope_LoadShare:
		r.gateway.schedulers.handleLoadShare(envelope.GetFrom(), body.LoadShare)
	case *wire.Envelope_SuspectNews:
		r.gateway.suspects.merge(decodeSuspects(r.gateway.now(), append(body.SuspectNews.GetRecords(), body.SuspectNews.GetParts()...)))
		return recordsAck()
	case *wire.Envelope_SignalNews:
		r.gateway.signals.merge(body.SignalNews.GetSignals())
		return recordsAck()
	case *wire.Envelope_RolloutReport:
		return &wire.Envelope{Body: &wire.Envelope_RolloutPermit{RolloutPermit: r.gateway.rolloutDriver.HandleReport(envelope, body.RolloutReport)}}
	case *wire.Envelope_CacheShare:
		if ack := r.gateway.cacheReader.handleShare(body.CacheShare); ack != nil {
			return &wire.Envelope{Body: &wire.Envelope_CacheShareAck{CacheShareAck: ack}}
		}
	case *wire.Envelope_StreamRecord:
		return r.gateway.streams.receiveAll(body.StreamRecord)
	case *wire.Envelope_StreamRecords:
		return r.gateway.streams.receiveAll(body.StreamRecords.GetRecords()...)
	case *wire.Envelope_StreamAsk:
		return &wire.Envelope{Body: &wire.Envelope_StreamAnswer{StreamAnswer: r.gateway.streams.answer(body.StreamAsk)}}
	case *wire.Envelope_StreamPull:
		return &wire.Envelope{Body: &wire.Envelope_StreamState{StreamState: r.gateway.streams.state(body.StreamPull)}}
	case *wire.Envelope_QuotaReturn:
		r.gateway.limits.HandleReturn(body.QuotaReturn)
	}
	return nil
}

// recordsAck acknowledges records. It is not sent for a one-way message.
func recordsAck() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_HeartbeatAck{HeartbeatAck: &wire.Heartbeat{}}}
}

// answer returns the changes that the pulling router lacks, with the proof of the configuration. It
// always includes a delta of the configuration, which may be empty.
func (r *peerRouters) answer(pull *wire.CopyPull) *wire.CopyAnswer {
	g := r.gateway
	if pull.GetStateTransfer() {
		return g.transfer.answer(pull)
	}
	isFirst := isFirstPull(pull)
	if isFirst && !r.admitsFirstPull(pull) {
		return r.emptyAnswer()
	}
	referTo, interval := r.recordFollower(pull)
	stores := g.cacheStoreMonitor.status.Load()
	answer := &wire.CopyAnswer{
		Zone: g.settings.Zone, CacheStores: stores.availableBits, CacheStoresConfig: stores.configVersion, Routers: uint32(g.routerCount()),
		ReferTo: referTo, PullAfterMillis: uint32(interval.Milliseconds()),
		StoreOnly: g.transfer.running.Load(), Region: g.regionName(), Schedulers: r.listFor(pull),
		Egress: g.egress.answerPull(pull),
	}
	if pull.GetWantsVersions() {
		answer.Versions = g.streams.encodeHistory()
	}
	if pull.GetWantsCache() {
		answer.Cache = g.cacheReader.deltaSince(pull.GetCacheFeed(), pull.GetCacheThrough())
	}
	// The proof is read before the copies, so the copies are at least as new as the proof.
	if current := g.activeConfig.Load(); current != nil && !current.provenAt.IsZero() {
		answer.Proven = true
		answer.ProofAgeMillis = wire.AgeToMillis(r.gateway.since(current.provenAt))
	} else if empty := g.provenEmptyAt.Load(); empty != nil {
		answer.Unconfigured = true
		answer.ProofAgeMillis = wire.AgeToMillis(r.gateway.since(*empty))
	}
	answer.Suspects, answer.Signals = g.suspects.answerPull(pull), g.signals.answerPull(pull)
	answer.TellsProofs, answer.Proofs, answer.WeightBounds = true, g.copies.proofs(), g.boundsToReport()
	if newest, known := g.copies.checkpoints.newest(); known {
		answer.StoreRevision, answer.StoreAgeMillis = uint64(newest.revision), wire.AgeToMillis(r.gateway.since(newest.at))
	}
	page, pageThrough := r.pageServer.answer(pull.GetDirectoryPage(), hasRunners(pull))
	answer.DirectoryPage = page
	for _, have := range haveWithPage(pull.GetHave(), pageThrough) {
		kind := ObjectKind(have.GetKind())
		if !g.copies.holds(kind) {
			continue
		}
		known := storerev.Revision(have.GetRevision())
		if kind == ConfigObjects || g.copies.revision(kind) > known {
			answer.Deltas = append(answer.Deltas, r.packedChanges(kind, known))
		}
	}
	if isFirst {
		r.recordFirstAnswer(answer)
	}
	return answer
}

// followerState describes a router that pulls from this one.
type followerState struct {
	// pushUntil is when changes are no longer pushed to it, unless it pulls again.
	pushUntil time.Time
	// followerCount is how many routers pull from it.
	followerCount int
}

// recordFollower records a router that pulls. It returns the address that the router should pull
// from instead, or "", and the interval until its next pull.
func (r *peerRouters) recordFollower(pull *wire.CopyPull) (referTo string, interval time.Duration) {
	address, now := pull.GetPeerAddress(), r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if address != "" {
		if _, known := r.followers[address]; !known {
			// Hundreds of routers may start before the followers are counted again.
			r.activeFollowers++
		}
		r.followers[address] = followerState{pushUntil: now.Add(pushWindow), followerCount: int(pull.GetFollowers())}
	}
	if !now.Before(r.nextCountAt) {
		r.nextCountAt = now.Add(followerCountInterval)
		r.countFollowers(now)
	}
	r.recordStandbyCandidate(now, pull)
	return r.referral(now, pull), pullIntervalFor(r.activeFollowers)
}

// countFollowers counts the routers that pulled recently. The mutex must be held.
func (r *peerRouters) countFollowers(now time.Time) {
	r.activeFollowers = 0
	for _, follower := range r.followers {
		if now.Before(follower.pushUntil) {
			r.activeFollowers++
		}
	}
}

// countDownstream counts the routers that receive changes through this one, including itself. Seeds
// that pull from it because they lack a proof are not included, since they report their own count.
// The mutex must be held.
func (r *peerRouters) countDownstream(now time.Time) int {
	count := 1
	for address, follower := range r.followers {
		if now.Before(follower.pushUntil) && !r.selector.HasSeed(address) {
			count += 1 + follower.followerCount
		}
	}
	return count
}

// countOtherFollowers counts the followers of this router other than the one at the address. Two
// routers may pull from each other while one replaces the other as relay. The mutex must be held.
func (r *peerRouters) countOtherFollowers(now time.Time, address string) (count int) {
	for other, follower := range r.followers {
		if other != address && now.Before(follower.pushUntil) && !r.selector.HasSeed(other) {
			count++
		}
	}
	return count
}

// countRouters updates the total number of routers at a seed. It returns the number that receive
// changes through this one, including itself. Each router receives changes through one seed, or
// through a relay of one, and is sent the total.
func (r *peerRouters) countRouters() (downstream int) {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	downstream = r.countDownstream(now)
	r.gateway.knownRouters.Store(int64(r.counter.Total(now, r.selector.SeedCount(), downstream)))
	return downstream
}

// recordSeedCount records another seed's count of the routers that receive changes through it.
func (r *peerRouters) recordSeedCount(seed string, routers int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Report(r.gateway.now(), seed, routers)
}

// referral returns the address that the pulling router should pull from instead, or "". An
// overloaded seed refers it to a relay of its zone, and any seed does so with routers of regions
// without a seed: changes then cross the border once for each zone, and not once for each router.
// Standby schedulers stay, because the seed selects them from the routers that pull from it. A router
// that has a relay itself refers to that one, so that changes never need more than two hops. The mutex
// must be held.
func (r *peerRouters) referral(now time.Time, pull *wire.CopyPull) string {
	if r.selector.HasSeed(pull.GetPeerAddress()) {
		return ""
	}
	if !r.selector.IsSeed() {
		return r.selector.Relay()
	}
	puller := relay.Router{
		Address: pull.GetPeerAddress(), Zone: pull.GetZone(),
		Capacity: int(pull.GetCapacity()), Followers: int(pull.GetFollowers()),
	}
	assigned := r.assigner.Assign(now, puller, r.activeFollowers > r.gateway.settings.DirectFollowers || r.isFromRegionWithoutSeed(pull))
	if assigned == "" || r.isStandby(now, pull) {
		return ""
	}
	delete(r.followers, puller.Address)
	r.standbys.Forget(puller.Address, pull.GetRegion())
	return assigned
}

// packedChanges returns the encoded changes after the revision. The last result is cached, because
// many routers request the same after a change or a restart.
func (r *peerRouters) packedChanges(kind ObjectKind, after storerev.Revision) *wire.CopyDelta {
	through := r.gateway.copies.revision(kind)
	r.mutex.Lock()
	cached := r.packedDeltas[kind]
	r.mutex.Unlock()
	if cached.covers(after, through, r.gateway.now()) {
		return cached.message
	}
	delta := r.gateway.copies.changesAfter(kind, after)
	message, err := wire.PackCopyDelta(uint32(kind), control.DeltaToWire(delta))
	if err != nil {
		// Objects that cannot be encoded cannot have come from the store.
		panic("gateway: " + err.Error())
	}
	r.mutex.Lock()
	r.packedDeltas[kind] = packedDelta{from: after, through: delta.Through, reusable: kind == RunnerObjects && delta.Full && delta.Through > 0, packedAt: r.gateway.now(), message: message}
	r.mutex.Unlock()
	return message
}

// clearPackedDeltas clears the cached deltas after a change that does not change the revision.
func (r *peerRouters) clearPackedDeltas() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clear(r.packedDeltas)
}

// push sends the changes after the revision to all routers that pulled recently.
func (r *peerRouters) push(kind ObjectKind, after storerev.Revision) {
	addresses := r.pushTargets(r.gateway.now())
	if len(addresses) == 0 {
		return
	}
	message := &wire.CopyPush{Deltas: []*wire.CopyDelta{r.packedChanges(kind, after)}}
	for _, address := range addresses {
		// A lost push is repaired by the next pull.
		_ = r.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_CopyPush{CopyPush: message}})
	}
}

// pushTargets returns the routers that pulled recently, and forgets the others.
func (r *peerRouters) pushTargets(now time.Time) (addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, follower := range r.followers {
		if now.After(follower.pushUntil) {
			delete(r.followers, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}
