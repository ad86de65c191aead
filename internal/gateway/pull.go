package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of asking other routers.
const (
	// shortestPull and longestPull bound how often a router that does not read the
	// store asks one that does. Changes of the store are pushed, and the pull proves
	// and repairs; what runners keep comes with pulls only, and is worth more the
	// fresher it is (docs/POLICY.md). The longest leaves room for a pull that is
	// lost before a proof is too old.
	shortestPull = 150 * time.Millisecond
	longestPull  = 450 * time.Millisecond
	// pullsPerSecond is how many pulls a seed is to answer. At an estimated 0.1 ms
	// each they take under two hundredths of a core.
	pullsPerSecond = 150
	// pullTime bounds one pull.
	pullTime = 250 * time.Millisecond
	// firstPullTime bounds the pulls of a router that knows nothing yet: a seed
	// that runs answers in a few milliseconds, and callers wait. The next seed is
	// asked firstPullStagger after the one before, so that most ask one seed only.
	firstPullTime    = 50 * time.Millisecond
	firstPullStagger = 12 * time.Millisecond
	// directoryTime bounds the first pull of the whole directory, which may take
	// long when many routers ask for it.
	directoryTime = 2 * time.Second
	// nextQuestion is the pause before the directory is asked for.
	nextQuestion = 10 * time.Millisecond
)

// pause waits for the next pull, less long when changes are known to be missing
// or nothing is known yet.
func (r *relays) pause() {
	interval := r.pullInterval()
	switch {
	case !r.gateway.knowsConfigState():
		interval = firstRetry
	case r.gateway.copies.revision(RunnerObjects) == 0:
		interval = nextQuestion
	}
	timer := time.NewTimer(r.beforeTooOld(r.gateway.now(), r.gateway.jitter(interval)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.behind:
	case <-r.gateway.ctx.Done():
	}
}

// beforeTooOld shortens a pause so that the next pull comes once a copy is too old to rely
// on the router that answered last: with the pause on top, changes would be known too late.
func (r *relays) beforeTooOld(now time.Time, pause time.Duration) time.Duration {
	r.mutex.Lock()
	oldest := r.oldestProof(r.lastSource())
	r.mutex.Unlock()
	for _, kind := range objectKinds {
		limit := oldest
		if kind != ConfigObjects {
			limit += copySlack
		}
		// One that is too old already was asked for in vain. The answer is to show it, too:
		// ages that are told are rounded, and take their time on the way.
		if age, known := r.gateway.copies.age(now, kind); known && age < limit {
			pause = min(pause, limit-age+nextQuestion)
		}
	}
	return pause
}

// oldestProof is the age up to which a proof by the router counts as recent. The mutex is
// held.
func (r *relays) oldestProof(address string) time.Duration {
	if address != "" && address == r.chooser.Referred() {
		return relayedProofAge
	}
	return proofAge
}

// pullInterval is the time between two pulls: what the router that answered last
// asked for, or, if it is of a version that does not, what suits the seeds.
func (r *relays) pullInterval() time.Duration {
	r.mutex.Lock()
	asked, seeds := r.pullAfter, max(r.chooser.Seeds(), 1)
	r.mutex.Unlock()
	if asked > 0 {
		return min(max(asked, shortestPull), longestPull)
	}
	return intervalFor(int(r.gateway.knownRouters.Load()) / seeds)
}

// intervalFor is the time between two pulls of each of the followers: shorter
// where few pull.
func intervalFor(followers int) time.Duration {
	return min(max(time.Duration(followers)*time.Second/pullsPerSecond, shortestPull), longestPull)
}

// pull asks the relay or the seed that is first in turn, and the others at once if
// that does not give a recent proof. It tells whether one did.
func (r *relays) pull() bool {
	if r.gateway.knowsConfigState() {
		if askable := r.askable(); len(askable) > 0 && r.pullFrom(askable[0]) {
			r.setSource(askable[0])
			return true
		}
	}
	return r.pullFromAny(r.askable()) || r.pullFromAny(r.someFollowers())
}

// askedFollowers is how many of its followers a seed without a proof asks at a time. They
// read the store while it has none to give, and one in three that the store serves is
// found within 0.3 s.
const askedFollowers = 3

// transferSources returns the routers that may know more than the store.
func (r *relays) transferSources() []string {
	r.mutex.Lock()
	seeds := r.chooser.Others()
	r.mutex.Unlock()
	return append(seeds, r.someFollowers()...)
}

// someFollowers returns a few routers that pull from this seed, at random: the store may
// turn all seeds away while it serves others.
func (r *relays) someFollowers() []string {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.chooser.IsSeed() {
		return nil
	}
	var addresses []string
	for address, follower := range r.followers {
		if len(addresses) == askedFollowers {
			break
		}
		if now.Before(follower.until) && !r.chooser.HasSeed(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// askable returns who can be asked now, the best first.
func (r *relays) askable() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.chooser.Askable(r.gateway.now())
}

// pullFromAny asks several routers, each a moment after the one before, and tells
// whether one gave a recent proof. Silent ones do not delay the answer of another.
func (r *relays) pullFromAny(addresses []string) bool {
	g := r.gateway
	proven := make(chan string, len(addresses))
	var found atomic.Bool
	for i, address := range addresses {
		g.spawn(func() {
			waited := g.pause(time.Duration(i) * firstPullStagger)
			if !waited || found.Load() || !r.pullFrom(address) {
				address = ""
			}
			found.Store(found.Load() || address != "")
			proven <- address
		})
	}
	for range addresses {
		if address := <-proven; address != "" {
			r.setSource(address)
			return true
		}
	}
	r.setSource("")
	return false
}

// pullFrom asks one router for changes and tells whether its proof is recent.
func (r *relays) pullFrom(address string) bool {
	answer, sent := r.askFor(address)
	now := r.gateway.now()
	age := wire.Age(answer.GetProofAgeMillis())
	known := answer.GetProven() || answer.GetUnconfigured()
	deltas, readable := r.unpack(answer.GetDeltas())
	// A router that knows nothing of the era of this one's copies proves none of them.
	usable := known && readable && !r.behindEra(deltas)
	r.mutex.Lock()
	oldest := r.oldestProof(address)
	switch {
	case answer == nil && !r.gateway.knowsConfigState():
		r.chooser.Starting(now, address)
	case answer == nil, !known && address == r.chooser.Referred():
		r.chooser.Failed(now, address)
	case !known:
		r.chooser.Starting(now, address)
		r.patientUntil = r.gateway.startedAt.Add(seedPatience)
	case !usable, !recent(answer, oldest):
		r.chooser.Failed(now, address)
	default:
		r.chooser.Answered(address, answer.GetZone())
		r.pullAfter = time.Duration(answer.GetPullAfterMillis()) * time.Millisecond
		r.refer(address, answer.GetReferTo())
	}
	r.mutex.Unlock()
	if !known {
		return false
	}
	if answer.GetStoreOnly() {
		r.gateway.transfer.begin()
	}
	r.gateway.suspects.told(address, answer.GetSuspects())
	r.gateway.signals.told(address, answer.GetSignals())
	r.gateway.receiveBounds(answer.GetWeightBounds(), sent)
	r.applyDeltas(deltas, proof{at: sent.Add(-age), given: true})
	r.checkProofs(answer, sent, age)
	if !r.isSource() {
		r.gateway.knownRouters.Store(int64(answer.GetRouters()))
	}
	r.gateway.caches.receiveDelta(address, answer.GetCache())
	r.gateway.cacheStores.receiveStatus(cacheStoreStatus{configVersion: answer.GetCacheStoresConfig(), availableBits: answer.GetCacheStores()}, address)
	return usable && recent(answer, oldest)
}

// behindEra tells whether the deltas are of an earlier era of the store than this router's
// copies. The configuration's revision is told by all versions of the router.
func (r *relays) behindEra(deltas []copyDelta) bool {
	for _, d := range deltas {
		if d.kind == ConfigObjects {
			return d.delta.Through.Era() < r.gateway.copies.revision(ConfigObjects).Era()
		}
	}
	return false
}

// refer takes another router's word on whom to ask. The mutex is held.
func (r *relays) refer(from, to string) {
	if to == "" || to == r.chooser.Referred() || r.chooser.IsSeed() {
		return
	}
	r.chooser.Refer(to)
	r.gateway.log.Log(events.RelayChanged, events.Fields{"from": from, "relay": to})
}

func (r *relays) setSource(address string) { r.source.Store(&address) }

func (r *relays) lastSource() string {
	if source := r.source.Load(); source != nil {
		return *source
	}
	return ""
}

// askFor makes one pull and returns the answer, or nil, and when it was asked for.
func (r *relays) askFor(address string) (*wire.CopyAnswer, time.Time) {
	g := r.gateway
	patience, kinds := r.question()
	ctx, cancel := context.WithTimeout(g.ctx, patience)
	defer cancel()
	request := r.newPull(address)
	if g.knowsConfigState() {
		// The first answer is to be small, and a whole feed is not asked for twice soon.
		g.caches.addToPull(address, request)
	}
	g.suspects.ask(address, request)
	g.signals.ask(address, request)
	for _, kind := range kinds {
		request.Have = append(request.Have, &wire.CopyRevision{Kind: uint32(kind), Revision: uint64(g.copies.revision(kind))})
	}
	sent := r.gateway.now()
	reply, err := r.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_CopyPull{CopyPull: request}})
	g.metrics.peerCalls.WithLabelValues(outcomeLabel(err == nil)).Observe(r.gateway.since(sent).Seconds())
	if err != nil {
		return nil, sent
	}
	return reply.GetCopyAnswer(), sent
}

// callTime bounds one question to another router on behalf of a call. It outlasts the
// wait of the call, so that late answers still tell how far the router is and what is
// to be given back.
const callTime = 500 * time.Millisecond

// Call asks one router on behalf of a call and returns its reply, nil without one, and
// how long that took.
func (r *relays) Call(address string, question *wire.Envelope) (*wire.Envelope, time.Duration) {
	ctx, cancel := context.WithTimeout(r.gateway.ctx, callTime)
	defer cancel()
	sent := r.gateway.now()
	reply, err := r.transport.Call(ctx, "", address, question)
	taken := r.gateway.since(sent)
	if err != nil {
		return nil, taken
	}
	return reply, taken
}

// Send sends the router at the address a message. One that is lost costs what its sender
// says where it is sent.
func (r *relays) Send(address string, message *wire.Envelope) {
	_ = r.transport.Send("", address, message)
}

// newPull says to the router at the address who asks.
func (r *relays) newPull(address string) *wire.CopyPull {
	settings := r.gateway.settings
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return &wire.CopyPull{
		PeerAddress: settings.PeerAddress, Zone: settings.Zone,
		Capacity: uint32(settings.relayCapacity()), Followers: uint32(r.followersBeside(r.gateway.now(), address)),
	}
}

// question returns what is asked for and how long the answer may take. A router
// that knows nothing asks for what is small, to find a seed that is alive; the
// whole directory may take long at first, when many ask for it.
func (r *relays) question() (patience time.Duration, kinds []ObjectKind) {
	switch {
	case !r.gateway.knowsConfigState():
		return firstPullTime, []ObjectKind{ConfigObjects, WeightObjects}
	case r.gateway.copies.revision(RunnerObjects) == 0:
		return directoryTime, objectKinds
	}
	return pullTime, objectKinds
}

// copyDelta is what an answer says of the copy of one kind.
type copyDelta struct {
	kind  ObjectKind
	delta config.Delta
}

// unpack returns the deltas of a message, and false when one cannot be read, which it logs. Kinds
// that this version of the router does not know are left out.
func (r *relays) unpack(packed []*wire.CopyDelta) (deltas []copyDelta, readable bool) {
	readable = true
	for _, one := range packed {
		kind := ObjectKind(one.GetKind())
		if int(kind) >= len(objectKinds) {
			continue
		}
		unpacked, err := wire.UnpackCopyDelta(one)
		if err != nil {
			r.gateway.log.Log(events.ObjectUnreadable, events.Fields{"kind": kind.String(), "fault": err.Error()})
			readable = false
			continue
		}
		deltas = append(deltas, copyDelta{kind: kind, delta: control.DeltaFromWire(unpacked)})
	}
	return deltas, readable
}

// applyDeltas applies changes from another router.
func (r *relays) applyDeltas(deltas []copyDelta, proven proof) {
	for _, d := range deltas {
		given := proof{at: proven.at, given: proven.given && d.kind == ConfigObjects}
		if r.gateway.copies.apply(d.kind, d.delta, given) == config.Gap {
			r.askAgain()
		}
	}
}

func (r *relays) askAgain() {
	select {
	case r.behind <- struct{}{}:
	default:
	}
}
