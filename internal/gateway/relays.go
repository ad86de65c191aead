package gateway

import (
	"cmp"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/peers"
	"github.com/clovertiller/clovertiller/internal/relay"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of choosing a source.
const (
	// proofAge is the age at which a proof is too old to rely on its source:
	// above what a source that reaches the store ever has.
	proofAge = 1250 * time.Millisecond
	// relayedProofAge is the same for a relay's proof: a relay asks again once its own is
	// too old, and one such pull may be lost.
	relayedProofAge = proofAge + nextQuestion + pullTime
	// copySlack is how much older the copies of runners and weights may be than that
	// of the configuration, whose answers prove them: by the time that news may take. A
	// router whose source hears nothing so knows of a leaving runner within 1.7 s, and
	// within 1.95 s if that is a relay.
	copySlack = newsSlack
	// startPatience is how long a router that knows nothing yet waits at most for
	// seeds that do not answer: one that runs does so within firstPullTime, and
	// after the loss of all routers those that start first would refuse callers
	// until the seeds are back. seedPatience is the same for seeds that answer but
	// know nothing yet either, as when all start in the same moment: the store is
	// to be read by few then.
	startPatience = 100 * time.Millisecond
	seedPatience  = time.Second
)

// relays connects this router with others: those it asks and those that ask it.
type relays struct {
	gateway   *Gateway
	transport *wire.Transport
	mutex     sync.Mutex
	chooser   *relay.Chooser
	// assigner refers askers to relays while this router is a seed.
	assigner *relay.Assigner
	// followers holds the routers that pulled of late, by address.
	followers map[string]follows
	// following is how many pulled of late, and countAgain when they are counted again.
	following  int
	countAgain time.Time
	// counter sums up the routers behind all seeds.
	counter *peers.Counter
	// pullAfter is the time between two pulls that the router asked last asks for.
	pullAfter time.Duration
	// behind is told when a push showed that changes are missing.
	behind chan struct{}
	// source is the router that answered last, nil or "" when there is none.
	source atomic.Pointer[string]
	// patientUntil is until when a router that knows nothing yet waits for seeds
	// that are starting too, rather than read the store with all others.
	patientUntil time.Time
	// packed holds the last answer of each kind: many ask for the same at once.
	packed map[ObjectKind]packedCopy
}

func newRelays(g *Gateway) *relays {
	return &relays{
		gateway: g, chooser: relay.NewChooser(g.settings.PeerAddress, g.settings.Zone, g.settings.Seeds),
		assigner: relay.NewAssigner(), followers: map[string]follows{}, counter: peers.NewCounter(), behind: make(chan struct{}, 1), packed: map[ObjectKind]packedCopy{},
		patientUntil: g.startedAt.Add(patienceOf(g)),
	}
}

// patienceOf is how long a started router waits for silent seeds. When the whole
// system starts for the first time nobody calls yet, and all would read the store.
func patienceOf(g *Gateway) time.Duration {
	if g.settings.FirstStart {
		return seedPatience
	}
	return g.jitter(startPatience)
}

// listen serves other routers, if the settings name an address for them.
func (r *relays) listen() error {
	if r.gateway.settings.PeerAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", cmp.Or(r.gateway.settings.PeerBindAddress, r.gateway.settings.PeerAddress))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	identity := wire.Identity{Node: r.gateway.settings.Node, Incarnation: uint64(r.gateway.startedAt.UnixMilli())}
	r.transport = wire.NewTransport(identity, listener, r.handle)
	r.transport.OnLostConnection(r.connectionsLost)
	return nil
}

// connectionsLost takes the news that a connection to another router was silent since the
// moment though that router is well. What silenced it may have silenced the idle ones to
// runners, each of which would cost a caller's request.
func (r *relays) connectionsLost(since time.Time) {
	closed := r.gateway.ports.RunnerPool.CloseIdleSince(since)
	r.gateway.log.Log(events.PeerConnectionLost, events.Fields{"silent_ms": time.Since(since).Milliseconds(), "closed": closed})
}

func (r *relays) close() {
	if r.transport != nil {
		r.transport.Close()
	}
}

// silentConnections returns how many connections were closed since they answered nothing.
func (r *relays) silentConnections() float64 {
	if r.transport == nil {
		return 0
	}
	return float64(r.transport.Counters().SilentConnections.Load())
}

// run keeps the copies proven: by other routers, or else by the store itself.
func (r *relays) run() {
	g := r.gateway
	// A seed reads the store from the start, without asking anybody first.
	r.setDirect(r.readsStore(true))
	patience := time.AfterFunc(r.gateway.until(r.patientUntil), r.patienceOver)
	defer patience.Stop()
	for g.ctx.Err() == nil {
		relayed := r.wantsPull() && r.pull()
		r.setDirect(r.readsStore(relayed))
		r.pause()
	}
}

// patienceOver begins to read the store, beside seeds that are still being asked,
// if none of them has been heard of.
func (r *relays) patienceOver() {
	if !r.gateway.knowsConfigState() {
		r.setDirect(r.readsStore(false))
	}
}

// readsStore decides whether this router reads the store itself.
func (r *relays) readsStore(relayed bool) bool {
	r.mutex.Lock()
	patient := r.gateway.now().Before(r.patientUntil)
	r.mutex.Unlock()
	waits := patient && !r.gateway.knowsConfigState()
	return r.isSource() || !(relayed || waits)
}

// isSource tells whether this router reads for others whatever happens: seeds,
// and a router without any others.
func (r *relays) isSource() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.transport == nil || r.chooser.IsSeed()
}

// wantsPull tells whether other routers are to be asked: always by those that
// do not read the store, and by the others when the store does not prove anything.
func (r *relays) wantsPull() bool {
	if r.transport == nil {
		return false
	}
	r.mutex.Lock()
	isSeed := r.chooser.IsSeed()
	r.mutex.Unlock()
	current := r.gateway.activeConfig.Load()
	return !isSeed || current == nil || r.gateway.since(current.provenAt) > proofAge || r.gateway.copies.behind(r.gateway.now(), proofAge+copySlack)
}

// alone tells whether this router has no others to learn from.
func (r *relays) alone() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.transport == nil || !r.chooser.HasOthers()
}

func (r *relays) setDirect(enabled bool) {
	if r.gateway.directReads.set(enabled) != enabled {
		r.gateway.log.Log(events.SourceChanged, events.Fields{"store": enabled, "router": r.lastSource()})
	}
}
