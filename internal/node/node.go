// Package node is the shell of one router: it wires the pure parts (control,
// index, placement, claims, attempts) to the clock, sockets and HTTP.
package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/claim"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/platform"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of the shell.
const (
	tickInterval = 100 * time.Millisecond
	// confirmPlacement is how long a noted placement waits for the engine's events.
	confirmPlacement = 10 * time.Second
	// dispatchTransit is how long a placed request is on its way to its engine.
	dispatchTransit = 20 * time.Millisecond
	// sweepInterval is how often entries of dead engines leave the index's memory.
	sweepInterval = time.Minute
)

// Node is one router.
type Node struct {
	settings    Settings
	incarnation uint64
	log         *events.Logger
	metrics     *metrics
	platform    *platform.Client
	engines     *engineapi.Client
	transport   *wire.Transport
	http        *http.Server
	snapshot    atomic.Pointer[config.Snapshot]
	draining    atomic.Bool

	// mutex guards the state machines below; it is never held over I/O.
	mutex     sync.Mutex
	control   *control.Core
	shard     *cacheindex.Shard
	placer    *placement.Placer
	holder    *claim.Holder
	random    *rand.Rand
	homes     map[string]*home
	owners    []string
	nextSweep time.Time

	// admissionMutex guards the limits of this ingress.
	admissionMutex sync.Mutex
	limiter        *admission.Limiter
	retries        *admission.RetryBudget
	ejector        *placement.Ejector

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// started is when the process began, for the time to the first request.
	started time.Time
}

// Listeners are the open sockets of a router.
type Listeners struct {
	HTTP net.Listener
	Peer net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(settings Settings) (Listeners, error) {
	httpListener, err := net.Listen("tcp", settings.HTTPAddress)
	if err != nil {
		return Listeners{}, trace.ConvertSystemError(err)
	}
	peerListener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		httpListener.Close()
		return Listeners{}, trace.ConvertSystemError(err)
	}
	return Listeners{HTTP: httpListener, Peer: peerListener}, nil
}

// Start runs a router on the listeners until Stop or Kill.
func Start(settings Settings, listeners Listeners, logOutput io.Writer) (*Node, error) {
	settings.SetDefaults()
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		return nil, trace.BadParameter("logLevel: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	n := &Node{
		settings:    settings,
		incarnation: uint64(started.UnixMilli()),
		log:         events.NewLogger(logOutput, settings.Node, level),
		platform:    platform.NewClient(settings.Platform),
		engines:     engineapi.NewClient(),
		shard:       cacheindex.NewShard(confirmPlacement),
		holder:      claim.NewHolder(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		homes:       map[string]*home{},
		limiter:     admission.NewLimiter(),
		retries:     admission.NewRetryBudget(admission.DefaultRetryRatio, admission.DefaultRetryCapacity),
		ejector:     placement.NewEjector(),
		ctx:         ctx,
		cancel:      cancel,
		started:     started,
	}
	self := membership.Member{
		ID: settings.Node, Zone: settings.Zone, Region: settings.Region,
		PeerAddress: listeners.Peer.Addr().String(), Incarnation: n.incarnation,
	}
	n.control = control.New(self, settings.Seeds, control.DefaultSettings(), n.random)
	n.placer = &placement.Placer{Index: n.shard, Pending: placement.NewPendingPlacements(dispatchTransit), Fleet: n.control.Fleet(), RetrySchedule: admission.NewRetrySchedule(), Random: n.random}
	n.snapshot.Store(config.NewSnapshot(n.control.Store()))
	n.metrics = newMetrics(n)
	n.transport = wire.NewTransport(wire.Identity{Node: settings.Node, Incarnation: n.incarnation}, listeners.Peer, n.handlePeer)
	if err := n.serveHTTP(listeners.HTTP); err != nil {
		n.transport.Close()
		cancel()
		return nil, err
	}
	n.log.Log(events.NodeStarted, events.Fields{"zone": settings.Zone, "incarnation": n.incarnation, "http": listeners.HTTP.Addr().String(), "peer": listeners.Peer.Addr().String()})
	n.spawn(n.tickLoop)
	n.spawn(n.watchLoop)
	n.spawn(n.controllerLoop)
	n.spawn(n.assignmentLoop)
	return n, nil
}

func (n *Node) spawn(loop func()) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		loop()
	}()
}

// pause waits for the duration, or returns false when the router stops.
func (n *Node) pause(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *Node) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.tick()
	for {
		select {
		case <-ticker.C:
			n.tick()
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) tick() {
	n.withControl(func(now time.Time) {
		n.control.Tick(now)
		n.shard.ExpireProvisional(now)
		if now.After(n.nextSweep) {
			n.nextSweep = now.Add(sweepInterval)
			n.shard.RemoveStale()
		}
	})
}

// withControl runs a change of the state machines and then does what it asks for.
func (n *Node) withControl(change func(now time.Time)) {
	n.mutex.Lock()
	change(time.Now())
	ready := n.control.TakeReady()
	sends := n.react(ready)
	n.mutex.Unlock()
	for _, send := range append(ready.Sends, sends...) {
		// A message that cannot be sent is lost, as on any network; the
		// protocols repair it.
		_ = n.transport.Send(send.To, send.Address, send.Envelope)
	}
	n.logEvents(ready.Events)
}

// react applies changes of the control plane to the node's other parts. The
// mutex is held.
func (n *Node) react(ready control.Ready) []control.Send {
	for _, report := range ready.NewIncarnations {
		n.shard.Reset(cacheindex.Holder{Runner: report.Runner, Incarnation: report.Incarnation})
	}
	if ready.ConfigChanged {
		snapshot := config.NewSnapshot(n.control.Store())
		first := n.snapshot.Load().Revision == 0
		n.snapshot.Store(snapshot)
		n.followAssignment(snapshot)
		fields := events.Fields{"revision": snapshot.Revision, "objects": n.control.Store().Len()}
		n.log.Log(events.ConfigApplied, fields)
		if first {
			n.log.Log(events.NodeServing, events.Fields{"after_ms": time.Since(n.started).Milliseconds()})
		}
	}
	if !ready.ConfigChanged && !ready.DutiesChanged {
		return nil
	}
	sends := n.moveIndex(ready.Events)
	n.updateHomes()
	return sends
}

func (n *Node) logEvents(changes []membership.Event) {
	for _, change := range changes {
		fields := events.Fields{"member": change.Member.ID, "state": change.Member.State.String(), "zone": change.Zone}
		switch change.Kind {
		case membership.EventJoined:
			n.log.Log(events.MemberJoined, fields)
		case membership.EventChanged:
			n.log.Log(events.MemberChanged, fields)
		case membership.EventForgotten:
			n.log.Log(events.MemberRemoved, fields)
		case membership.EventZoneUnreachable:
			n.log.Log(events.ZoneUnreachable, fields)
		case membership.EventZoneReachable:
			n.log.Log(events.ZoneReachable, fields)
		case membership.EventDuplicateID:
			n.log.Log(events.DuplicateNode, fields)
		case membership.EventPaused:
			n.log.Log(events.NodePaused, fields)
		}
	}
}

// handlePeer takes a message from another router.
func (n *Node) handlePeer(_ context.Context, envelope *wire.Envelope) *wire.Envelope {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_IndexUpdate:
		n.applyIndexUpdate(body.IndexUpdate)
	case *wire.Envelope_PlaceRequest:
		return &wire.Envelope{Body: &wire.Envelope_PlaceResponse{PlaceResponse: n.placeLocally(body.PlaceRequest, true)}}
	case *wire.Envelope_PlaceResult:
		n.applyPlaceResult(body.PlaceResult)
	case *wire.Envelope_ClaimRequest:
		return &wire.Envelope{Body: &wire.Envelope_ClaimResponse{ClaimResponse: n.answerClaim(body.ClaimRequest)}}
	case *wire.Envelope_SealRequest:
		return &wire.Envelope{Body: &wire.Envelope_SealResponse{SealResponse: n.answerSeal(body.SealRequest)}}
	case *wire.Envelope_InstallRequest:
		return &wire.Envelope{Body: &wire.Envelope_InstallResponse{InstallResponse: n.answerInstall(body.InstallRequest)}}
	default:
		n.withControl(func(now time.Time) { n.control.Step(now, envelope) })
	}
	return nil
}

// PeerAddress returns the address that other routers use.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Incarnation returns the identity of this process.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Revision returns the configuration revision in force.
func (n *Node) Revision() uint64 { return n.snapshot.Load().Revision }

// SetCut cuts the router off from the named routers; it is a fault setting.
func (n *Node) SetCut(nodes []string) { n.transport.SetPartitioned(nodes) }

// Stop ends the router as planned: it announces that it leaves, hands its
// duties over, finishes every open request and then returns.
func (n *Node) Stop(ctx context.Context) {
	n.draining.Store(true)
	n.log.Log(events.NodeDraining, events.Fields{})
	n.withControl(func(now time.Time) { n.control.Leave(now) })
	grace := time.After(time.Duration(n.settings.DrainGraceMillis) * time.Millisecond)
	n.awaitClaimHandover(ctx)
	select {
	case <-grace:
	case <-ctx.Done():
	}
	n.http.Shutdown(ctx)
	n.Kill()
	n.log.Log(events.NodeStopped, events.Fields{})
}

// claimHandoverTimeout bounds how long a stopping holder waits to be replaced.
const claimHandoverTimeout = 3 * time.Second

func (n *Node) awaitClaimHandover(ctx context.Context) {
	deadline := time.Now().Add(claimHandoverTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		n.mutex.Lock()
		_, granting := n.holder.Assignment()
		others := len(n.control.UsableNodes()) > 0
		n.mutex.Unlock()
		if !granting || !others {
			return
		}
		time.Sleep(tickInterval)
	}
}

// Kill ends the router at once, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	n.http.Close()
	n.transport.Close()
	n.group.Wait()
}
