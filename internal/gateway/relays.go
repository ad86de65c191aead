package gateway

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/peers"
	"github.com/clovertiller/clovertiller/internal/relay"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of the choice of a source.
const (
	// maxProofAge is the age at which a proof is too old to rely on its source. A source that
	// reaches the store never has one that old.
	maxProofAge = 1250 * time.Millisecond
	// maxRelayedProofAge is the same for the proof of a relay. A relay pulls again when its own
	// proof is too old, and one such pull may be lost.
	maxRelayedProofAge = maxProofAge + nextPullDelay + pullTimeout
	// copyProofMargin is how much older the copies of runners and weights may be than the
	// configuration, whose responses prove them. It is the time that a change may take to be
	// reported. A router whose source stops receiving changes thus learns of a draining runner
	// within 1.7 s, or within 1.95 s if the source is a relay.
	copyProofMargin = watchLatencyMargin
	// waitCheckInterval is the interval at which a starting router checks whether its wait for the seeds
	// has ended.
	waitCheckInterval = 10 * time.Millisecond
)

// peerRouters connects this router to those that it pulls from and those that pull from it.
type peerRouters struct {
	gateway   *Gateway
	transport *wire.Transport
	mutex     sync.Mutex
	selector  *relay.Selector
	// assigner assigns followers to relays while this router is a seed.
	assigner *relay.Assigner
	// standbys selects the standby schedulers of each region while this router is a seed.
	standbys *relay.StandbySelector
	// followers holds the routers that pulled recently, by address.
	followers map[string]followerState
	// activeFollowers is the number of routers that pulled recently, and nextCountAt when they are
	// counted again.
	activeFollowers int
	nextCountAt     time.Time
	// counter adds up the routers behind all seeds.
	counter *peers.RouterCounter
	// requestedInterval is the pull interval that the last source requested, or 0 if it is of a
	// version that requests none.
	requestedInterval time.Duration
	// schedule decides on pulls until there is a configuration.
	schedule *coldstart.Schedule
	// pages requests pages of the directory, and pageServer answers such requests.
	pages      *pageRequests
	pageServer *pageServer
	// notifier is the router that has sent a notification that it has data, nil if there is none.
	notifier atomic.Pointer[string]
	// dataLevel is how much data waiting routers were notified of.
	dataLevel atomic.Int32
	// pacer spreads the answers to routers without data over time, and paceNow receives a value when some
	// of them may be notified.
	pacer   *coldstart.Pacer
	paceNow chan struct{}
	// lastPullIdle is set if the last answered pull brought no changes.
	lastPullIdle atomic.Bool
	// pullNow receives a value when a push showed that changes are missing.
	pullNow chan struct{}
	// source is the router that last provided a recent proof, nil or "" if there is none.
	source atomic.Pointer[string]
	// packedDeltas holds the last encoded delta of each kind, because many routers request the same
	// one at once.
	packedDeltas map[ObjectKind]packedDelta
}

func newPeerRouters(g *Gateway) *peerRouters {
	return &peerRouters{
		gateway: g, selector: relay.NewSelector(g.settings.PeerAddress, g.settings.Zone, g.distances, g.settings.Seeds),
		assigner: relay.NewAssigner(), standbys: relay.NewStandbySelector(), followers: map[string]followerState{}, counter: peers.NewRouterCounter(), pullNow: make(chan struct{}, 1), packedDeltas: map[ObjectKind]packedDelta{},
		schedule:   coldstart.NewSchedule(coldstart.ScheduleConfig{Started: g.startedAt, FirstStart: g.settings.FirstStart, Jitter: g.jitter}),
		pacer:      coldstart.NewPacer(),
		paceNow:    make(chan struct{}, 1),
		pages:      newPageRequests(g),
		pageServer: newPageServer(g),
	}
}

// listen accepts connections of other routers if the settings contain a peer address.
func (r *peerRouters) listen() error {
	if r.gateway.settings.PeerAddress == "" {
		return nil
	}
	listener, err := r.gateway.listenTCP(cmp.Or(r.gateway.settings.PeerBindAddress, r.gateway.settings.PeerAddress))
	if err != nil {
		return err
	}
	identity := wire.Identity{Node: r.gateway.settings.Node, Incarnation: uint64(r.gateway.startedAt.UnixMilli())}
	r.transport = wire.NewTransport(identity, listener, r.handle)
	r.transport.OnLostConnection(r.handleSilentConnection)
	r.transport.OnSilentConnection(r.gateway.streams.resendSince)
	return nil
}

// handleSilentConnection handles a connection to another router that was silent since the given
// time although that router is healthy. The cause may have silenced idle connections to runners
// too, each of which would fail a caller's request, so these are closed.
func (r *peerRouters) handleSilentConnection(since time.Time) {
	closed := r.gateway.ports.RunnerPool.CloseIdleSince(since)
	r.gateway.log.Log(events.PeerConnectionLost, events.Fields{"silent_ms": time.Since(since).Milliseconds(), "closed": closed})
}

func (r *peerRouters) close() {
	if r.transport != nil {
		r.transport.Close()
	}
}

// silentConnectionCount returns the number of connections closed because they were silent.
func (r *peerRouters) silentConnectionCount() float64 {
	if r.transport == nil {
		return 0
	}
	return float64(r.transport.Counters().SilentConnections.Load())
}

// run keeps the copies proven by pulling from other routers, or else by reading the store.
func (r *peerRouters) run() {
	g := r.gateway
	// A seed reads the store from the start, without pulling first.
	r.setDirectReads(r.shouldReadStore(true))
	g.spawn(r.readStoreAfterWait)
	g.spawn(r.paceLoop)
	for g.ctx.Err() == nil {
		pulled := r.shouldPull() && r.pull()
		if !pulled {
			r.pages.recordNoSource()
		}
		r.setDirectReads(r.shouldReadStore(pulled))
		if followers := r.followersOfUnprovenStandby(); !pulled && len(followers) > 0 {
			r.pullFromAny(followers)
		}
		r.waitForNextPull()
	}
}

// readStoreAfterWait starts to read the store if no configuration was received until the wait for the seeds
// has ended, while pulls from them continue. Their replies may extend or shorten the wait.
func (r *peerRouters) readStoreAfterWait() {
	for remaining := r.remainingWait(); remaining > 0; remaining = r.remainingWait() {
		if !r.gateway.pause(min(remaining, waitCheckInterval)) {
			return
		}
	}
	if !r.gateway.knowsConfigState() {
		r.setDirectReads(r.shouldReadStore(false))
	}
}

// remainingWait returns how long a router without a configuration still waits for its seeds, instead of
// reading the store with all the others.
func (r *peerRouters) remainingWait() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.gateway.until(r.schedule.WaitUntil())
}

// shouldReadStore reports whether this router must read the store itself.
func (r *peerRouters) shouldReadStore(pulled bool) bool {
	waits := r.remainingWait() > 0 && !r.gateway.knowsConfigState()
	return r.alwaysReadsStore() || !(pulled || waits)
}

// alwaysReadsStore reports whether this router reads the store in any case, which holds for seeds
// and for a router without peers.
func (r *peerRouters) alwaysReadsStore() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.transport == nil || r.selector.IsSeed()
}

// shouldPull reports whether to pull from other routers. Routers other than seeds always do, and
// seeds do while the store gives no recent proof.
func (r *peerRouters) shouldPull() bool {
	if r.transport == nil {
		return false
	}
	isSeed := r.isSeed()
	current := r.gateway.activeConfig.Load()
	return !isSeed || current == nil || r.gateway.since(current.provenAt) > maxProofAge || r.gateway.copies.anyOlderThan(r.gateway.now(), maxProofAge+copyProofMargin)
}

// otherSeeds returns the seeds other than this router if it is a seed itself.
func (r *peerRouters) otherSeeds() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.transport == nil || !r.selector.IsSeed() {
		return nil
	}
	return r.selector.OtherSeeds()
}

// hasNoPeers reports whether there are no other routers to pull from.
func (r *peerRouters) hasNoPeers() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.transport == nil || !r.selector.HasOtherSeeds()
}

func (r *peerRouters) setDirectReads(enabled bool) {
	if r.gateway.directReads.setEnabled(enabled) != enabled {
		r.gateway.log.Log(events.SourceChanged, events.Fields{"store": enabled, "router": r.lastSource()})
	}
}
