// Package gateway is the shell of a router in front of a platform that keeps
// configuration, directory and lease in a store: it takes callers' requests,
// sends them to runners and brings runners to the named weights.
//
// What is decided is decided by the pure packages routing, backend, placement,
// attempt, admission, lease and rollout; how the platform writes things is
// behind the ports in ports.go.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Ports are the platform's implementations of what the gateway needs.
type Ports struct {
	Protocol Protocol
	Store    Store
	// Decode reads an object of the store.
	Decode  func(kind ObjectKind, object v1.Object) Object
	Runners RunnerControl
	// Caches reads what runners keep; nil reads nothing.
	Caches CacheReader
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// DroppedLines returns how many log lines were dropped; nil counts none.
	DroppedLines func() uint64
	// RunnerPool carries requests to runners.
	RunnerPool *httpconn.Pool
	// Clock tells moments that others count by, too.
	Clock Clock
}

// view is a configuration with the moment that it was proved to be in force.
// Both change together, so that a request never joins an old configuration with
// a newer proof.
type view struct {
	table *routing.Table
	// revision is the store's revision of the configuration.
	revision storerev.Revision
	// provenAt is when the call was sent whose answer proved the configuration.
	provenAt time.Time
}

// precedes tells whether the object holds a configuration that replaces the one in force. At one
// revision a later version does: it was lost by a store that came back from a copy.
func (v *view) precedes(object Object) bool {
	if object.Revision == v.revision {
		return object.Config.Version > v.table.Version
	}
	return object.Revision > v.revision && object.Config.Version >= v.table.Version
}

// Gateway is one router process.
type Gateway struct {
	settings Settings
	ports    Ports
	log      *events.Logger
	metrics  *metrics

	view     atomic.Pointer[view]
	draining atomic.Bool
	// stale is true while the configuration in force is known to be unproved.
	stale atomic.Bool
	// unconfigured is the newest moment at which the store was proved to hold no
	// configuration, nil before.
	unconfigured atomic.Pointer[time.Time]

	// mutex guards the state below; it is never held over I/O.
	mutex   sync.Mutex
	runners *backend.Set
	// unbegun are the requests that are withdrawn if they do not begin in time.
	unbegun map[*unstartedSend]struct{}
	// bounds are what is known of when weights were named.
	bounds   namings.Table
	splitter *routing.Splitter
	saves    *backend.SaveThrottle
	// retries holds the budget for further attempts of each service.
	retries map[string]*admission.RetryBudget
	random  *rand.Rand
	// order decides which requests for the same runners are refused.
	order *admission.LoadShedder
	// routers is how many routers there seem to be, 0 when unknown.
	routers atomic.Int64
	// leaseToken is the fencing token while this router orders runners, or 0.
	leaseToken atomic.Uint64
	// directoryRevision is the revision of the directory in force.
	directoryRevision atomic.Uint64
	// copies are the copies of the store's objects, direct tells whether this
	// router reads the store itself, and relays connects it with others.
	copies *copies
	direct *directMode
	relays *peerRouters
	// followers read each kind of objects while this router reads the store.
	followers []*storeWatcher
	// era is how often the store came back from a copy.
	era *eraTracker
	// transfer has other routers tell what the store lost before this one started.
	transfer *stateTransfer
	// disturbance is when a call to the store last failed.
	disturbance disturbance
	// schedulers place requests for other routers, or this one's.
	schedulers *schedulers
	// limits keeps tenants to their limits, and shares to their fair shares of short services.
	limits *limits.Client
	shares *fairShares
	// ends finds out which runners have ended, and under which requests.
	ends *crashDetector
	// signals are what runners say of themselves in answers.
	signals *signals
	// suspects are the contents of requests under which runners have ended.
	suspects *suspects
	// cacheStores watches the stores of kept cache.
	cacheStores *cacheStoreWatch
	// caches reads what runners and stores keep, for all routers that ask.
	caches *cacheReader
	// named is told when a version of weights was named.
	named chan struct{}

	callers   *http.Server
	readiness *http.Server
	figures   *http.Server
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup
	started   time.Time
	startup   *startup
}

// Start runs a gateway until Stop.
func Start(settings Settings, ports Ports, logger *events.Logger) (*Gateway, error) {
	settings.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	started := ports.Clock.Now()
	g := &Gateway{
		settings: settings, ports: ports, log: logger, ctx: ctx, cancel: cancel, started: started, startup: newStartup(),
		runners:  backend.NewSet(settings.Zone),
		unbegun:  map[*unstartedSend]struct{}{},
		bounds:   namings.Table{},
		splitter: routing.NewSplitter(),
		saves:    backend.NewSaveThrottle(),
		retries:  map[string]*admission.RetryBudget{},
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		named:    make(chan struct{}, 1),
	}
	g.order = admission.NewLoadShedder(g.random)
	g.runners.SetRolloutTime(time.Duration(rolloutShare * float64(settings.WeightDeadline)))
	g.metrics = newMetrics(g)
	ports.RunnerPool.OnOpen, ports.RunnerPool.OnSilentClosed = g.metrics.connections.Inc, g.metrics.silentConnections.Inc
	ports.RunnerPool.SilenceTimeout = runnerSilenceTimeout
	g.schedulers, g.shares = newSchedulers(g), newFairShares(g)
	g.ends, g.suspects, g.signals = newCrashDetector(g), newSuspects(g), newSignals(g)
	g.cacheStores = newCacheStoreWatch(g)
	g.caches = newCacheReader(g)
	g.copies, g.direct, g.relays = newCopies(g), newDirectMode(), newPeerRouters(g)
	g.era, g.transfer = newEraTracker(g), newStateTransfer(g)
	ports.Store.OnEra(g.era.observe)
	g.limits = limits.New(g.limitsConfig())
	for _, kind := range objectKinds {
		g.followers = append(g.followers, newStoreWatcher(g, kind))
	}
	if err := g.listen(); err != nil {
		cancel()
		return nil, err
	}
	g.log.Log(events.GatewayStarted, events.Fields{"zone": settings.Zone, "callers": settings.CallerAddress, "store": settings.StoreAddress})
	for _, f := range g.followers {
		g.spawn(f.run)
	}
	g.spawn(g.relays.run)
	g.spawn(func() { newLeader(g).run() })
	g.spawn(g.cacheStores.run)
	g.spawn(g.caches.run)
	g.spawn(g.schedulers.loadReportLoop)
	g.spawn(g.suspects.broadcasts.run)
	g.spawn(g.signals.broadcasts.run)
	g.spawn(g.suspects.stored.readLoop)
	g.spawn(g.suspects.stored.writeLoop)
	g.spawn(g.sweepLoop)
	return g, nil
}

func (g *Gateway) spawn(loop func()) {
	g.group.Add(1)
	go func() {
		defer g.group.Done()
		loop()
	}()
}

// pause waits for the duration, or returns false when the gateway stops.
func (g *Gateway) pause(duration time.Duration) bool { return sleep(g.ctx, duration) }

// sweepInterval is how often idle connections and the log's state are looked at.
const sweepInterval = time.Second

func (g *Gateway) sweepLoop() {
	reported, suspended := uint64(0), time.Duration(0)
	for g.pause(sweepInterval) {
		g.ports.RunnerPool.CloseExpired(time.Now())
		suspended = g.noteSuspended(suspended)
		g.logStaleConfig(g.now())
		g.ends.sweep(g.now())
		g.signals.sweep(g.now())
		g.suspects.sweep(g.now())
		if dropped := g.droppedLines(); dropped > reported {
			g.log.Log(events.LogLinesDropped, events.Fields{"lines": dropped - reported, "total": dropped})
			reported = dropped
		}
	}
}

func (g *Gateway) droppedLines() uint64 {
	if g.ports.DroppedLines == nil {
		return 0
	}
	return g.ports.DroppedLines()
}

// jitter returns a duration between half of the given one and all of it.
func (g *Gateway) jitter(duration time.Duration) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return duration/2 + time.Duration(g.random.Int64N(int64(duration/2)+1))
}

// maxDoublings keeps the shift of backOff small: pauses are at their longest before.
const maxDoublings = 4

// backOff waits after one more failed call than the failures before it, twice as long each
// time from the first pause to the longest. It returns false when the gateway stops.
func (g *Gateway) backOff(failures int, first, longest time.Duration) bool {
	return g.pause(g.jitter(min(first<<min(failures, maxDoublings), longest)))
}

// noteSuspended notes that the machine was suspended, and returns for how long in all. What
// timers were to withdraw meanwhile is withdrawn now.
func (g *Gateway) noteSuspended(before time.Duration) time.Duration {
	suspended := g.ports.Clock.Suspended()
	if suspended == before {
		return before
	}
	g.metrics.suspensions.Add((suspended - before).Seconds())
	g.log.Log(events.MachineSuspended, events.Fields{"suspended_ms": (suspended - before).Milliseconds()})
	g.mutex.Lock()
	models := slices.Collect(maps.Keys(g.bounds))
	g.mutex.Unlock()
	for _, model := range models {
		g.withdrawExpiredSends(g.now(), model)
	}
	return suspended
}

// proven tells whether the configuration in force is known well enough for
// requests with a key.
func (g *Gateway) proven(now time.Time) bool {
	current := g.view.Load()
	return current != nil && current.fresh(now, g.settings.ConfigLease)
}

// informed tells whether this router has heard from the store, itself or by others:
// of a configuration, or that there is none yet.
func (g *Gateway) informed() bool { return g.view.Load() != nil || g.unconfigured.Load() != nil }

// provenAt is the newest moment at which the store proved the configuration in
// force, or that it has none; zero before.
func (g *Gateway) provenAt() time.Time {
	if current := g.view.Load(); current != nil {
		return current.provenAt
	}
	if empty := g.unconfigured.Load(); empty != nil {
		return *empty
	}
	return time.Time{}
}

// leaseMargin is kept from the end of the lease on the configuration: the
// store's watches may be silent for a second, and requests take a while to arrive.
const leaseMargin = 1500 * time.Millisecond

func (v *view) fresh(now time.Time, lease time.Duration) bool {
	return now.Sub(v.provenAt) < usableFor(lease)
}

// usableFor is how long after its proof what is held under the lease may be used.
func usableFor(lease time.Duration) time.Duration { return lease - min(leaseMargin, lease/2) }
