// Package gateway runs a router on a platform that keeps the configuration, the directory of
// runners and the lease in an object store. The router accepts callers' requests, sends them to
// runners and updates the runners to the target weights.
//
// The package does the I/O. Decisions are made by the packages routing, backend, placement,
// attempt, admission, lease and rollout, which have none. The platform's formats and protocols are
// implemented behind the interfaces in ports.go and runnerports.go.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/membudget"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Ports holds the platform's implementations of the interfaces that the gateway uses.
type Ports struct {
	Protocol Protocol
	Store    Store
	// Decode decodes an object of the store.
	Decode  func(kind ObjectKind, object v1.Object) Object
	Runners RunnerControl
	// Caches reads which prompt parts runners and cache stores hold. If it is nil, nothing is
	// read.
	Caches CacheReader
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// DroppedLines returns the number of log lines dropped so far. It may be nil.
	DroppedLines func() uint64
	// RunnerPool holds the connections over which requests are sent to runners.
	RunnerPool *httpconn.Pool
	// ControlPool holds the connections of control calls to the store, runners and cache stores. It may be nil.
	ControlPool *httpconn.Pool
	// Clock is the source of all times that are compared with those of other processes.
	Clock Clock
}

// activeConfig is the configuration that the router applies and the time at which it was last
// proven, that is, confirmed by the store as current. Both are replaced together, so that a request
// never combines an old configuration with a newer proof.
type activeConfig struct {
	table *routing.Table
	// revision is the store's revision of the configuration object.
	revision storerev.Revision
	// provenAt is when the call was sent whose response proved the configuration.
	provenAt time.Time
}

// isSupersededBy reports whether the object holds a configuration that replaces the active one.
// At the same revision, a later version does: a store that was restored from a backup has lost
// that version and assigned its revision again.
func (c *activeConfig) isSupersededBy(object Object) bool {
	if object.Revision == c.revision {
		return object.Config.Version > c.table.Version
	}
	return object.Revision > c.revision && object.Config.Version >= c.table.Version
}

// Gateway is one router process. Start creates it.
type Gateway struct {
	// memory bounds what open connections and calls hold together.
	memory *membudget.Budget
	// bufferedBytes is what calls hold of the bodies of responses.
	bufferedBytes atomic.Int64
	settings      Settings
	ports         Ports
	log           *events.Logger
	metrics       *metrics
	// unreadable logs objects that cannot be read.
	unreadable *unreadableLog

	activeConfig atomic.Pointer[activeConfig]
	draining     atomic.Bool
	// configStale is set while the configuration is known to be no longer proven.
	configStale atomic.Bool
	// provenEmptyAt is the latest time at which the store was proven to hold no configuration,
	// nil if it never was.
	provenEmptyAt atomic.Pointer[time.Time]

	// mutex guards the fields below. It is never held during I/O.
	mutex   sync.Mutex
	runners *backend.Set
	// unstartedSends holds the streaming requests that their runners are not known to have started.
	// They are withdrawn if they do not start before their weights expire.
	unstartedSends map[*unstartedSend]struct{}
	// namingHistories holds, for each model, what is known about when its weights were named.
	namingHistories namings.Table
	splitter        *routing.Splitter
	saveThrottle    *backend.SaveThrottle
	// retryBudgets holds the budget for further attempts of each service.
	retryBudgets map[string]*admission.RetryBudget
	random       *rand.Rand
	// loadShedder decides which requests are refused when runners are overloaded.
	loadShedder *admission.LoadShedder
	// knownRouters is the estimated number of routers, 0 if unknown.
	knownRouters atomic.Int64
	// leaseToken is the fencing token while this router holds the lease on ordering runners,
	// otherwise 0.
	leaseToken atomic.Uint64
	// directoryRevision is the revision of the directory in use.
	directoryRevision atomic.Uint64
	// copies holds this router's copies of the store's objects, directReads tells whether it reads
	// the store itself, and peerRouters exchanges changes with other routers.
	copies      *copies
	directReads *directMode
	peerRouters *peerRouters
	// storeWatchers read the store, one for each kind of object, while directReads is enabled.
	storeWatchers []*storeWatcher
	// eraTracker tracks the store's era, which increases by one with each restore from a backup.
	eraTracker *eraTracker
	// transfer requests from other routers the changes that a restored store had lost before
	// this router started.
	transfer *stateTransfer
	// storeFailures records when calls to the store last failed.
	storeFailures storeFailures
	// schedulers chooses runners for the requests of other routers, or asks other routers to choose
	// for this one.
	schedulers *schedulers
	// paths observes the links to the runners.
	paths *runnerPaths
	// egress forwards calls to other routers while this one cannot reach the runners itself.
	egress *egressRouters
	// limits enforces the tenants' quotas, and fairShares their fair shares of overloaded services.
	limits     *limits.Client
	fairShares *fairShares
	// crashDetector detects which runners have crashed, and which requests they were running.
	crashDetector *crashDetector
	// silentRunners checks whether the runners of silent streams have ended.
	silentRunners *silentRunners
	// signals holds what runners report about themselves in their responses.
	signals *signals
	// suspects holds the request contents that were running when runners crashed.
	suspects *suspects
	// cacheStoreMonitor checks which cache stores are available.
	cacheStoreMonitor *cacheStoreMonitor
	// cacheReader reads which prompt parts runners and cache stores hold, and sends the result to
	// other routers.
	cacheReader *cacheReader
	// distances knows the regions of zones and learns the times between them.
	distances *distance.Table
	// streams knows at which software versions streams began.
	streams *streamVersions
	// rolloutDriver moves services to other software versions.
	rolloutDriver *rolloutdriver.Driver
	// weightsNamed receives a value when a new version of a model's weights is named.
	weightsNamed chan struct{}

	callerServer    *callServer
	readinessServer *callServer
	metricsServer   *callServer
	ctx             context.Context
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
	startedAt       time.Time
	startup         *startup
	// openCalls is the number of calls being handled, and cutCalls that of calls whose response a stop of the router
	// cut off.
	openCalls, cutCalls atomic.Int64
	// callsCtx is canceled when open calls are to be ended, and serversClosed is set when the connections are closed.
	callsCtx      context.Context
	endCalls      context.CancelFunc
	serversClosed atomic.Bool
	// callsEndAt is when open calls are to be ended, nil while new requests are accepted.
	callsEndAt atomic.Pointer[time.Time]
}

// Start starts a gateway, which runs until Stop or Kill.
func Start(settings Settings, ports Ports, logger *events.Logger) (*Gateway, error) {
	settings.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	started := ports.Clock.Now()
	g := &Gateway{
		settings: settings, ports: ports, log: logger, ctx: ctx, cancel: cancel, startedAt: started,
		runners:         backend.NewSet(settings.Zone),
		unstartedSends:  map[*unstartedSend]struct{}{},
		namingHistories: namings.Table{},
		splitter:        routing.NewSplitter(),
		saveThrottle:    backend.NewSaveThrottle(),
		retryBudgets:    map[string]*admission.RetryBudget{},
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		weightsNamed:    make(chan struct{}, 1),
		distances:       distance.New(distance.Config{Zone: settings.Zone, Regions: settings.ZoneRegions}),
	}
	g.callsCtx, g.endCalls = context.WithCancel(context.Background())
	g.memory = newRequestMemory(g)
	g.startup = newStartup(g)
	g.runners.UseDistances(g.distances)
	g.loadShedder = admission.NewLoadShedder(g.random)
	g.runners.SetRolloutTime(time.Duration(rolloutDeadlineShare * float64(settings.WeightDeadline)))
	g.metrics = newMetrics(g)
	ports.RunnerPool.OnOpen, ports.RunnerPool.OnSilentClosed = g.metrics.runnerConnections.Inc, g.metrics.silentRunnerConnections.Inc
	ports.RunnerPool.OnDialError = g.metrics.countDialError
	ports.RunnerPool.SilenceTimeout = runnerSilenceTimeout
	g.schedulers, g.fairShares = newSchedulers(g), newFairShares(g)
	g.paths, g.egress = newRunnerPaths(g), newEgressRouters(g)
	ports.RunnerPool.OnEndless, g.egress.pool.OnEndless = g.logEndless("request"), g.logEndless("forwarded request")
	if ports.ControlPool != nil {
		ports.ControlPool.OnEndless = g.logEndless("control call")
	}
	g.crashDetector, g.suspects, g.signals = newCrashDetector(g), newSuspects(g), newSignals(g)
	g.silentRunners = newSilentRunners(g)
	g.cacheStoreMonitor = newCacheStoreMonitor(g)
	g.cacheReader = newCacheReader(g)
	g.unreadable = newUnreadableLog(g)
	g.copies, g.directReads, g.peerRouters = newCopies(g), newDirectMode(), newPeerRouters(g)
	g.eraTracker, g.transfer = newEraTracker(g), newStateTransfer(g)
	g.rolloutDriver = newRolloutDriver(g)
	g.streams = newStreamVersions(g)
	ports.Store.OnEra(g.eraTracker.observe)
	g.limits = limits.New(g.limitsConfig())
	for _, kind := range g.copies.kinds {
		g.storeWatchers = append(g.storeWatchers, newStoreWatcher(g, kind))
	}
	if err := g.listen(); err != nil {
		cancel()
		return nil, err
	}
	g.log.Log(events.GatewayStarted, events.Fields{"zone": settings.Zone, "callers": settings.CallerAddress, "store": settings.StoreAddress})
	for _, f := range g.storeWatchers {
		g.spawn(f.run)
	}
	g.spawn(g.peerRouters.run)
	g.spawn(func() { newLeader(g).run() })
	g.spawn(g.cacheStoreMonitor.run)
	g.spawn(g.cacheReader.run)
	g.spawn(g.cacheReader.shareLoop)
	g.spawn(g.schedulers.loadReportLoop)
	g.spawn(func() { g.rolloutDriver.LeadLoop(g.ctx) })
	if g.peerRouters.transport != nil {
		g.spawn(func() { g.rolloutDriver.ReportLoop(g.ctx) })
	}
	g.spawn(g.suspects.broadcasts.run)
	g.spawn(g.signals.broadcasts.run)
	g.spawn(g.suspects.stored.readLoop)
	g.spawn(g.suspects.stored.writeLoop)
	g.spawn(g.streams.synchronize)
	g.spawn(g.streams.recordMixedLoop)
	g.spawn(g.streams.stored.rosterLoop)
	g.spawn(g.streams.stored.journalLoop)
	g.spawn(g.sweepLoop)
	return g, nil
}

func (g *Gateway) spawn(task func()) {
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		task()
	}()
}

// pause waits for the duration. It returns false if the gateway stops first.
func (g *Gateway) pause(duration time.Duration) bool { return sleep(g.ctx, duration) }

// sweepInterval is the interval of checks for idle connections, suspensions, outdated records
// and dropped log lines.
const sweepInterval = time.Second

func (g *Gateway) sweepLoop() {
	reportedLines, suspendedTotal := uint64(0), time.Duration(0)
	for g.pause(sweepInterval) {
		g.ports.RunnerPool.CloseExpired(time.Now())
		suspendedTotal = g.recordSuspension(suspendedTotal)
		g.logStaleConfig(g.now())
		g.crashDetector.sweep(g.now())
		g.silentRunners.sweep(g.now())
		g.signals.sweep(g.now())
		g.suspects.sweep(g.now())
		g.streams.sweep(g.now())
		if dropped := g.droppedLogLines(); dropped > reportedLines {
			g.log.Log(events.LogLinesDropped, events.Fields{"lines": dropped - reportedLines, "total": dropped})
			reportedLines = dropped
		}
	}
}

func (g *Gateway) droppedLogLines() uint64 {
	if g.ports.DroppedLines == nil {
		return 0
	}
	return g.ports.DroppedLines()
}

// jitter returns a random duration between half of the given one and all of it.
func (g *Gateway) jitter(duration time.Duration) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return duration/2 + time.Duration(g.random.Int64N(int64(duration/2)+1))
}

// maxDoublings bounds the shift in backoff, which would overflow otherwise. The calls to the
// store reach their maximum delay before; state transfers stop growing at 16 times the initial
// delay.
const maxDoublings = 4

// backoff waits after a failed call that was preceded by the given number of failures. The
// delay doubles with each failure from initial to maximum and is jittered. It returns false if
// the gateway stops.
func (g *Gateway) backoff(failures int, initial, maximum time.Duration) bool {
	return g.pause(g.jitter(min(initial<<min(failures, maxDoublings), maximum)))
}

// recordSuspension records that the machine was suspended and returns the total time of all
// suspensions, given the previous total. Sends whose withdrawal timers should have fired during
// the suspension are withdrawn now.
func (g *Gateway) recordSuspension(previousTotal time.Duration) time.Duration {
	total := g.ports.Clock.Suspended()
	if total == previousTotal {
		return previousTotal
	}
	g.metrics.suspendedSeconds.Add((total - previousTotal).Seconds())
	g.log.Log(events.MachineSuspended, events.Fields{"suspended_ms": (total - previousTotal).Milliseconds()})
	g.mutex.Lock()
	models := slices.Collect(maps.Keys(g.namingHistories))
	g.mutex.Unlock()
	for _, model := range models {
		g.withdrawExpiredSends(g.now(), model)
	}
	return total
}

// configIsProven reports whether the configuration was proven recently enough to serve requests
// with an API key.
func (g *Gateway) configIsProven(now time.Time) bool {
	current := g.activeConfig.Load()
	return current != nil && current.isFresh(now, g.settings.ConfigLease)
}

// knowsConfigState reports whether this router has learned from the store, directly or through
// another router, either a configuration or that there is none.
func (g *Gateway) knowsConfigState() bool {
	return g.activeConfig.Load() != nil || g.provenEmptyAt.Load() != nil
}

// configProvenAt returns the latest time at which the store proved the configuration, or proved
// that it holds none. It is zero if neither has happened.
func (g *Gateway) configProvenAt() time.Time {
	if current := g.activeConfig.Load(); current != nil {
		return current.provenAt
	}
	if empty := g.provenEmptyAt.Load(); empty != nil {
		return *empty
	}
	return time.Time{}
}

// configLeaseMargin is subtracted from the validity of the configuration: the store's watches
// may be silent for a second, and requests take a while to arrive.
const configLeaseMargin = 1500 * time.Millisecond

// isFresh reports whether the proof is recent enough to use the configuration under the lease.
func (c *activeConfig) isFresh(now time.Time, lease time.Duration) bool {
	return now.Sub(c.provenAt) < validAfterProof(lease)
}

// validAfterProof returns for how long after its proof a copy held under the lease may be used.
func validAfterProof(lease time.Duration) time.Duration {
	return lease - min(configLeaseMargin, lease/2)
}
