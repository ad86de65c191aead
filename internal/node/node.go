// Package node implements the router process. It connects the packages that decide without I/O
// (control, cacheindex, placement, claim, attempt and others) to the clock, to network connections
// and to the HTTP API. Among its peers a router is called a node.
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

// Intervals and timeouts of a node.
const (
	tickInterval = 100 * time.Millisecond
	// placementConfirmTimeout is how long an index entry of a new placement remains without
	// confirmation by the engine's cache events.
	placementConfirmTimeout = 10 * time.Second
	// dispatchTransitTime is the assumed time from the placement of a request to its arrival at
	// the engine.
	dispatchTransitTime = 20 * time.Millisecond
	// staleSweepInterval is the interval at which the entries of ended engine processes are removed
	// from the index to free memory.
	staleSweepInterval = time.Minute
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
	httpServer  *http.Server
	// snapshot is the configuration in force. Its Revision is 0 until the first one is applied.
	snapshot atomic.Pointer[config.Snapshot]
	draining atomic.Bool

	// mutex guards the fields below up to nextStaleSweep. It is never held during I/O.
	mutex       sync.Mutex
	control     *control.Core
	shard       *cacheindex.Shard
	placer      *placement.Placer
	claimHolder *claim.Holder
	random      *rand.Rand
	// eventReaders maps the runners whose home is this node to their readers.
	eventReaders map[string]*eventReader
	// indexOwners are the usable nodes among which the index was last distributed.
	indexOwners    []string
	nextStaleSweep time.Time

	// admissionMutex guards the fields below up to ejector, which apply to the requests that
	// callers send to this router.
	admissionMutex sync.Mutex
	limiter        *admission.Limiter
	retryBudget    *admission.RetryBudget
	ejector        *placement.Ejector

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// started is the start time of the process, for logging the time until it serves requests.
	started time.Time
}

// Listeners are the open listeners of a router.
type Listeners struct {
	HTTP net.Listener
	Peer net.Listener
}

// Listen opens listeners at the addresses in the settings.
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
		settings:     settings,
		incarnation:  uint64(started.UnixMilli()),
		log:          events.NewLogger(logOutput, settings.Node, level),
		platform:     platform.NewClient(settings.Platform),
		engines:      engineapi.NewClient(),
		shard:        cacheindex.NewShard(placementConfirmTimeout),
		claimHolder:  claim.NewHolder(),
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		eventReaders: map[string]*eventReader{},
		limiter:      admission.NewLimiter(),
		retryBudget:  admission.NewRetryBudget(admission.DefaultRetryRatio, admission.DefaultRetryCapacity),
		ejector:      placement.NewEjector(),
		ctx:          ctx,
		cancel:       cancel,
		started:      started,
	}
	self := membership.Member{
		ID: settings.Node, Zone: settings.Zone, Region: settings.Region,
		PeerAddress: listeners.Peer.Addr().String(), Incarnation: n.incarnation,
	}
	n.control = control.New(self, settings.Seeds, control.DefaultSettings(), n.random)
	n.placer = &placement.Placer{Index: n.shard, Pending: placement.NewPendingPlacements(dispatchTransitTime), Fleet: n.control.Fleet(), RetrySchedule: admission.NewRetrySchedule(), Random: n.random}
	n.snapshot.Store(config.NewSnapshot(n.control.Store()))
	n.metrics = newMetrics(n)
	n.transport = wire.NewTransport(wire.Identity{Node: settings.Node, Incarnation: n.incarnation}, listeners.Peer, n.handlePeerMessage)
	if err := n.serveHTTP(listeners.HTTP); err != nil {
		n.transport.Close()
		cancel()
		return nil, err
	}
	n.log.Log(events.NodeStarted, events.Fields{"zone": settings.Zone, "incarnation": n.incarnation, "http": listeners.HTTP.Addr().String(), "peer": listeners.Peer.Addr().String()})
	n.startGoroutine(n.tickLoop)
	n.startGoroutine(n.watchLoop)
	n.startGoroutine(n.controllerLoop)
	n.startGoroutine(n.assignmentLoop)
	return n, nil
}

// startGoroutine runs the function in a goroutine that Kill waits for.
func (n *Node) startGoroutine(loop func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		loop()
	}()
}

// sleep waits for the duration. It returns false at once when the router stops.
func (n *Node) sleep(duration time.Duration) bool {
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
	n.updateControl(func(now time.Time) {
		n.control.Tick(now)
		n.shard.ExpireProvisional(now)
		if now.After(n.nextStaleSweep) {
			n.nextStaleSweep = now.Add(staleSweepInterval)
			n.shard.RemoveStale()
		}
	})
}

// updateControl runs update with n.mutex held. It then applies the resulting changes to the node,
// sends the resulting messages and logs the membership events.
func (n *Node) updateControl(update func(now time.Time)) {
	n.mutex.Lock()
	update(time.Now())
	ready := n.control.TakeReady()
	sends := n.applyReady(ready)
	n.mutex.Unlock()
	for _, send := range append(ready.Messages, sends...) {
		// The protocols tolerate lost messages, so errors need no handling.
		_ = n.transport.Send(send.To, send.Address, send.Envelope)
	}
	n.logMemberEvents(ready.Events)
}

// applyReady applies changes of the control plane to the node's other parts and returns further
// messages to send. The caller must hold n.mutex.
func (n *Node) applyReady(ready control.Ready) []control.Outgoing {
	for _, report := range ready.NewIncarnations {
		n.shard.Reset(cacheindex.Holder{Runner: report.Runner, Incarnation: report.Incarnation})
	}
	if ready.ConfigChanged {
		snapshot := config.NewSnapshot(n.control.Store())
		firstConfig := n.snapshot.Load().Revision == 0
		n.snapshot.Store(snapshot)
		n.applyAssignment(snapshot)
		fields := events.Fields{"revision": snapshot.Revision, "objects": n.control.Store().Len()}
		n.log.Log(events.ConfigApplied, fields)
		if firstConfig {
			n.log.Log(events.NodeServing, events.Fields{"after_ms": time.Since(n.started).Milliseconds()})
		}
	}
	if !ready.ConfigChanged && !ready.OwnersChanged {
		return nil
	}
	sends := n.resendMovedAnchors(ready.Events)
	n.updateEventReaders()
	return sends
}

func (n *Node) logMemberEvents(memberEvents []membership.Event) {
	for _, event := range memberEvents {
		fields := events.Fields{"member": event.Member.ID, "state": event.Member.State.String(), "zone": event.Zone}
		switch event.Kind {
		case membership.EventJoined:
			n.log.Log(events.MemberJoined, fields)
		case membership.EventChanged:
			n.log.Log(events.MemberChanged, fields)
		case membership.EventRemoved:
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

// handlePeerMessage handles a message from another router and returns the reply, or nil for one-way
// messages.
func (n *Node) handlePeerMessage(_ context.Context, envelope *wire.Envelope) *wire.Envelope {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_IndexUpdate:
		n.applyIndexUpdate(body.IndexUpdate)
	case *wire.Envelope_PlaceRequest:
		return &wire.Envelope{Body: &wire.Envelope_PlaceResponse{PlaceResponse: n.placeLocally(body.PlaceRequest, true)}}
	case *wire.Envelope_PlaceResult:
		n.applyPlaceResult(body.PlaceResult)
	case *wire.Envelope_ClaimRequest:
		return &wire.Envelope{Body: &wire.Envelope_ClaimResponse{ClaimResponse: n.handleClaim(body.ClaimRequest)}}
	case *wire.Envelope_SealRequest:
		return &wire.Envelope{Body: &wire.Envelope_SealResponse{SealResponse: n.handleSeal(body.SealRequest)}}
	case *wire.Envelope_InstallRequest:
		return &wire.Envelope{Body: &wire.Envelope_InstallResponse{InstallResponse: n.handleInstall(body.InstallRequest)}}
	default:
		n.updateControl(func(now time.Time) { n.control.Step(now, envelope) })
	}
	return nil
}

// PeerAddress returns the address at which other routers connect.
func (n *Node) PeerAddress() string { return n.transport.Address() }

// Incarnation returns the start time of the process in Unix milliseconds, which identifies it.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Revision returns the configuration revision in force.
func (n *Node) Revision() uint64 { return n.snapshot.Load().Revision }

// SetPartitionedNodes sets the routers to and from which all traffic is dropped. It injects
// network partitions in tests.
func (n *Node) SetPartitionedNodes(nodes []string) { n.transport.SetPartitioned(nodes) }

// Stop shuts the router down gracefully. It announces that the router leaves, waits for the claim
// handover and the drain grace period, finishes all open requests and then returns. If ctx ends
// first, it stops at once.
func (n *Node) Stop(ctx context.Context) {
	n.draining.Store(true)
	n.log.Log(events.NodeDraining, events.Fields{})
	n.updateControl(func(now time.Time) { n.control.Leave(now) })
	grace := time.After(time.Duration(n.settings.DrainGraceMillis) * time.Millisecond)
	n.awaitClaimHandover(ctx)
	select {
	case <-grace:
	case <-ctx.Done():
	}
	n.httpServer.Shutdown(ctx)
	n.Kill()
	n.log.Log(events.NodeStopped, events.Fields{})
}

// claimHandoverTimeout bounds how long a stopping claim holder waits for its replacement.
const claimHandoverTimeout = 3 * time.Second

// awaitClaimHandover waits until this node grants no more claims, at most for claimHandoverTimeout.
// It returns at once if there is no usable node that could take over.
func (n *Node) awaitClaimHandover(ctx context.Context) {
	deadline := time.Now().Add(claimHandoverTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		n.mutex.Lock()
		_, granting := n.claimHolder.Assignment()
		othersUsable := len(n.control.UsableNodes()) > 0
		n.mutex.Unlock()
		if !granting || !othersUsable {
			return
		}
		time.Sleep(tickInterval)
	}
}

// Kill stops the router at once and without an announcement, as a crash does. It waits for the
// router's goroutines.
func (n *Node) Kill() {
	n.cancel()
	n.httpServer.Close()
	n.transport.Close()
	n.goroutines.Wait()
}
