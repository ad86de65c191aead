package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of pulls from other routers.
const (
	// minPullInterval and maxPullInterval bound the interval at which a router that does not read
	// the store pulls from one that does. Changes of the store are pushed, and a pull renews the
	// proof and fetches lost changes. The contents of runner caches come only with pulls, and are
	// more useful the fresher they are (docs/POLICY.md). The maximum allows for one lost pull
	// before a proof becomes too old.
	minPullInterval = 150 * time.Millisecond
	maxPullInterval = 450 * time.Millisecond
	// targetPullRate is the number of pulls per second that a seed should answer. At an estimated
	// 0.1 ms each, they take less than 0.02 cores.
	targetPullRate = 150
	// pullTimeout is the timeout of one pull.
	pullTimeout = 250 * time.Millisecond
	// directoryPullTimeout is the timeout of the first pull of the whole directory, which may take
	// long when many routers request it.
	directoryPullTimeout = 2 * time.Second
	// pagePullTimeout is the timeout of a pull of one page of the directory.
	pagePullTimeout = time.Second
	// nextPullDelay is the delay before the directory is pulled.
	nextPullDelay = 10 * time.Millisecond
)

// pull pulls from the first candidate, and from all candidates if that gives no recent proof. It
// reports whether it received one.
func (r *peerRouters) pull() bool {
	if source := r.notifier.Swap(nil); source != nil && r.pullFrom(*source) {
		r.setSource(*source)
		return true
	}
	if r.gateway.knowsConfigState() {
		if candidates := r.candidates(); len(candidates) > 0 && r.pullFrom(candidates[0]) {
			r.setSource(candidates[0])
			return true
		}
	}
	return r.pullFromAny(r.candidates()) || r.pullFromAny(r.sampleFollowers())
}

// maxFollowerPulls is the number of its followers that a seed without a proof pulls from at a time.
// Followers read the store while their seed cannot provide a proof, and if the store serves one in
// three of them, it is found within 0.3 s.
const maxFollowerPulls = 3

// transferSources returns the routers that may know more than the store.
func (r *peerRouters) transferSources() []string {
	r.mutex.Lock()
	seeds := r.selector.OtherSeeds()
	r.mutex.Unlock()
	return append(seeds, r.sampleFollowers()...)
}

// sampleFollowers returns a few random followers of this seed. The store may reject all seeds while
// it serves other routers.
func (r *peerRouters) sampleFollowers() []string {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.selector.IsSeed() {
		return nil
	}
	return r.someFollowers(now)
}

// someFollowers returns a few random followers that are no seeds. The mutex must be held.
func (r *peerRouters) someFollowers(now time.Time) []string {
	var addresses []string
	for address, follower := range r.followers {
		if len(addresses) == maxFollowerPulls {
			break
		}
		if now.Before(follower.pushUntil) && !r.selector.HasSeed(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// candidates returns the routers that can be pulled from now, the best first.
func (r *peerRouters) candidates() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.selector.Candidates(r.gateway.now())
}

// pullFromAny pulls from several routers with staggered starts and reports whether one returned a
// recent proof. Silent routers do not delay the answers of others.
func (r *peerRouters) pullFromAny(addresses []string) bool {
	g := r.gateway
	sources := make(chan string, len(addresses))
	var found atomic.Bool
	r.mutex.Lock()
	stagger := r.schedule.Stagger()
	r.mutex.Unlock()
	defer r.endRound()
	for i, address := range addresses {
		g.spawn(func() {
			running := g.pause(time.Duration(i) * stagger)
			if !running || found.Load() || !r.pullFrom(address) {
				address = ""
			}
			found.Store(found.Load() || address != "")
			sources <- address
		})
	}
	for range addresses {
		if address := <-sources; address != "" {
			r.setSource(address)
			return true
		}
	}
	r.setSource("")
	return false
}

// endRound ends a series of pulls from several routers.
func (r *peerRouters) endRound() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.schedule.EndRound()
}

// replyOf returns how a router replied to a pull.
func (r *peerRouters) replyOf(address string, answer *wire.CopyAnswer, err error) coldstart.Reply {
	switch {
	case errors.Is(err, wire.ErrRefused), err != nil && !r.transport.IsConnected(address):
		return coldstart.Unreachable
	case err != nil || answer == nil:
		return coldstart.Silent
	case answer.GetProven() || answer.GetUnconfigured():
		return coldstart.Data
	}
	return coldstart.Empty
}

// pullFrom pulls changes from one router and reports whether its proof is recent.
func (r *peerRouters) pullFrom(address string) bool {
	answer, sentAt, err := r.sendPull(address)
	now := r.gateway.now()
	age := wire.AgeFromMillis(answer.GetProofAgeMillis())
	hasState := answer.GetProven() || answer.GetUnconfigured()
	deltas, decoded := r.unpackDeltas(answer.GetDeltas())
	// A router that does not know the era of this router's copies proves none of them.
	usable := hasState && decoded && !r.fromEarlierEra(deltas)
	isFirst, reply := !r.gateway.knowsConfigState(), r.replyOf(address, answer, err)
	r.mutex.Lock()
	maxAge := r.proofAgeLimit(address)
	isReliable := usable && isRecent(answer, maxAge)
	r.recordReply(now, address, answer, reply, isReliable)
	r.mutex.Unlock()
	if !hasState {
		return false
	}
	if answer.GetStoreOnly() {
		r.gateway.transfer.start()
	}
	r.gateway.schedulers.applyList(address, answer.GetSchedulers())
	r.gateway.egress.receiveList(answer.GetEgress())
	r.gateway.suspects.applyPull(address, answer.GetSuspects())
	r.gateway.signals.applyPull(address, answer.GetSignals())
	r.gateway.streams.mergeHistory(answer.GetVersions())
	r.gateway.receiveBounds(answer.GetWeightBounds(), sentAt)
	if isFirst {
		// The next pull requests what the first answer leaves out to be small.
		r.requestPull()
	}
	r.receivePage(address, answer, sentAt)
	r.lastPullIdle.Store(!hasObjects(deltas) && len(answer.GetCache().GetHolders()) == 0)
	r.applyDeltas(deltas, proof{at: sentAt.Add(-age), valid: true})
	r.applyProofs(answer, sentAt, age)
	if !r.alwaysReadsStore() {
		r.gateway.knownRouters.Store(int64(answer.GetRouters()))
	}
	r.gateway.cacheReader.receiveDelta(address, answer.GetCache())
	r.gateway.cacheStoreMonitor.receiveStatus(cacheStoreStatus{configVersion: answer.GetCacheStoresConfig(), availableBits: answer.GetCacheStores()}, address)
	return isReliable
}

// recordReply records for later pulls how a router replied to one. isReliable is set if the answer has a recent
// proof. The mutex must be held.
func (r *peerRouters) recordReply(now time.Time, address string, answer *wire.CopyAnswer, reply coldstart.Reply, isReliable bool) {
	isFirst, hasState := !r.gateway.knowsConfigState(), reply == coldstart.Data
	if isFirst {
		r.schedule.Record(address, reply)
	}
	switch {
	case isReliable:
		r.selector.RecordReply(address, answer.GetZone())
		r.requestedInterval = time.Duration(answer.GetPullAfterMillis()) * time.Millisecond
		if address == r.selector.Primary(now) {
			r.acceptReferral(address, answer.GetReferTo())
		}
	case isFirst && answer == nil, answer != nil && !hasState && address != r.selector.Relay():
		r.selector.RecordStarting(now, address, r.schedule.Backoff(address))
	default:
		r.selector.RecordFailure(now, address)
	}
}

func hasObjects(deltas []copyDelta) bool {
	return slices.ContainsFunc(deltas, func(d copyDelta) bool { return len(d.delta.Objects) > 0 })
}

// fromEarlierEra reports whether the deltas are of an earlier era of the store than this router's
// copies. It compares the configuration, whose revision all router versions send.
func (r *peerRouters) fromEarlierEra(deltas []copyDelta) bool {
	for _, d := range deltas {
		if d.kind == ConfigObjects {
			return d.delta.Through.Era() < r.gateway.copies.revision(ConfigObjects).Era()
		}
	}
	return false
}

// acceptReferral changes the relay to the one that another router refers to. The mutex must be
// held.
func (r *peerRouters) acceptReferral(from, to string) {
	if to == "" || to == r.selector.Relay() || r.selector.IsSeed() {
		return
	}
	r.selector.SetRelay(to)
	r.gateway.log.Log(events.RelayChanged, events.Fields{"from": from, "relay": to})
}

func (r *peerRouters) setSource(address string) { r.source.Store(&address) }

func (r *peerRouters) lastSource() string {
	if source := r.source.Load(); source != nil {
		return *source
	}
	return ""
}

// sendPull sends one pull. It returns the answer, and when the pull was sent.
func (r *peerRouters) sendPull(address string) (*wire.CopyAnswer, time.Time, error) {
	g := r.gateway
	timeout, kinds := r.pullParameters(address)
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	request := r.newPull(address)
	if g.knowsConfigState() {
		// The first answer should be small, and a full feed is not requested again soon.
		g.cacheReader.addToPull(address, request)
	}
	request.Egress = g.egress.report()
	g.suspects.addPullPosition(address, request)
	g.signals.addPullPosition(address, request)
	r.mutex.Lock()
	waits := r.schedule.Waits()
	r.mutex.Unlock()
	request.DirectoryPage = r.pages.request(address, waits)
	for _, kind := range kinds {
		if have, wanted := r.pages.revisionFor(kind, request.DirectoryPage); wanted {
			request.Have = append(request.Have, &wire.CopyRevision{Kind: uint32(kind), Revision: uint64(have)})
		}
	}
	sentAt := r.gateway.now()
	reply, err := r.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: request}})
	g.metrics.peerCalls.WithLabelValues(outcomeLabel(err == nil)).Observe(r.gateway.since(sentAt).Seconds())
	if err != nil {
		g.cacheReader.recordPullFailure(address)
		return nil, sentAt, err
	}
	r.recordRoundTrip(reply, r.gateway.since(sentAt))
	if zone := reply.GetCopyAnswer().GetZone(); zone != "" {
		g.schedulers.recordZone(address, zone)
	}
	return reply.GetCopyAnswer(), sentAt, nil
}

// peerCallTimeout is the timeout of a request to another router on behalf of a call. It is longer
// than the call waits, because late replies still show how far away the router is and what has to
// be returned to it.
const peerCallTimeout = 500 * time.Millisecond

// Call sends a request to a router on behalf of a call. It returns the reply, or nil, and the
// elapsed time.
func (r *peerRouters) Call(address string, request *wire.Envelope) (*wire.Envelope, time.Duration) {
	ctx, cancel := context.WithTimeout(r.gateway.ctx, peerCallTimeout)
	defer cancel()
	sentAt := r.gateway.now()
	reply, err := r.transport.Call(ctx, "", address, request)
	elapsed := r.gateway.since(sentAt)
	if err != nil {
		return nil, elapsed
	}
	r.recordRoundTrip(reply, elapsed)
	return reply, elapsed
}

// recordRoundTrip records how long another router took to reply, if the reply names its zone.
func (r *peerRouters) recordRoundTrip(reply *wire.Envelope, elapsed time.Duration) {
	zone := cmp.Or(reply.GetCopyAnswer().GetZone(), reply.GetRunnerAnswer().GetZone(), reply.GetQuotaAnswer().GetZone())
	if zone != "" {
		r.gateway.distances.RecordRoundTrip(r.gateway.now(), zone, elapsed)
	}
}

// Send sends a message to a router. It may be lost. The comments where Send is used state the
// effect of a loss.
func (r *peerRouters) Send(address string, message *wire.Envelope) {
	_ = r.transport.Send("", address, message)
}

// newPull returns a pull that describes this router to the router at the address.
func (r *peerRouters) newPull(address string) *wire.CopyPull {
	settings, list := r.gateway.settings, r.gateway.schedulers.list()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return &wire.CopyPull{
		Region: r.gateway.regionName(), SchedulersDigest: list.GetDigest(), WantsVersions: r.gateway.streams.wantsHistory(),
		PeerAddress: settings.PeerAddress, Zone: settings.Zone,
		Capacity: uint32(settings.relayCapacity()), Followers: uint32(r.countOtherFollowers(r.gateway.now(), address)),
	}
}

// pullParameters returns the kinds to pull and the timeout. A router without a configuration pulls
// only small kinds, to find a live seed. The whole directory may take long at first, when many
// routers request it.
func (r *peerRouters) pullParameters(address string) (timeout time.Duration, kinds []ObjectKind) {
	switch {
	case !r.gateway.knowsConfigState():
		r.mutex.Lock()
		defer r.mutex.Unlock()
		return r.schedule.Timeout(address), []ObjectKind{ConfigObjects, WeightObjects}
	case r.pages.requestsFrom(address):
		return pagePullTimeout, r.gateway.copies.kinds
	case r.gateway.copies.revision(RunnerObjects) == 0:
		return directoryPullTimeout, r.gateway.copies.kinds
	}
	return pullTimeout, r.gateway.copies.kinds
}

// copyDelta is the change of the copy of one kind.
type copyDelta struct {
	kind  ObjectKind
	delta config.Delta
}

// unpackDeltas decodes the deltas of a message. It logs those that cannot be decoded and then
// returns false. Kinds that this version does not know are skipped.
func (r *peerRouters) unpackDeltas(messages []*wire.CopyDelta) (deltas []copyDelta, ok bool) {
	ok = true
	for _, message := range messages {
		kind := ObjectKind(message.GetKind())
		if !r.gateway.copies.holds(kind) {
			continue
		}
		unpacked, err := wire.UnpackCopyDelta(message)
		if err != nil {
			r.gateway.unreadable.record(kind.String(), "", err.Error(), nil)
			ok = false
			continue
		}
		deltas = append(deltas, copyDelta{kind: kind, delta: control.DeltaFromWire(unpacked)})
	}
	return deltas, ok
}

// applyDeltas applies changes received from another router.
func (r *peerRouters) applyDeltas(deltas []copyDelta, newProof proof) {
	for _, d := range deltas {
		deltaProof := proof{at: newProof.at, valid: newProof.valid && d.kind == ConfigObjects}
		if r.gateway.copies.apply(d.kind, d.delta, deltaProof) == config.Gap {
			r.requestPull()
		}
	}
}

func (r *peerRouters) requestPull() {
	wake(r.pullNow)
}
