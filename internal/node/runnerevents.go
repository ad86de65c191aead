package node

import (
	"context"
	"slices"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Parameters of reading runners' event streams.
const (
	// runnerSilenceTimeout is the time without an event after which a runner's event stream counts
	// as lost.
	runnerSilenceTimeout    = 1500 * time.Millisecond
	minReconnectBackoff     = 50 * time.Millisecond
	maxReconnectBackoff     = time.Second
	maxBlocksPerIndexUpdate = 4096
)

// eventReader reads the event stream of one runner. Each runner's stream is read by one router
// only, the runner's home.
type eventReader struct {
	runner  string
	address string
	cancel  context.CancelFunc
	tracker *cacheindex.Tracker
	// connected is true between the first event of a stream and its end.
	connected bool
}

// updateEventReaders starts readers for the runners whose home is this node, and stops those for
// other runners. A runner with a new address gets a new reader. The caller must hold n.mutex.
func (n *Node) updateEventReaders() {
	snapshot := n.snapshot.Load()
	owned := map[string]bool{}
	for name, runner := range snapshot.Runners {
		if n.control.RunnerHome(name, runner.Spec.Zone) != n.settings.Node {
			continue
		}
		owned[name] = true
		reader := n.eventReaders[name]
		if reader != nil && reader.address == runner.Spec.Address {
			continue
		}
		if reader != nil {
			reader.cancel()
		}
		n.startEventReader(name, runner, snapshot.Pools[runner.Spec.Pool])
	}
	for name, reader := range n.eventReaders {
		if !owned[name] {
			reader.cancel()
			delete(n.eventReaders, name)
		}
	}
}

// startEventReader starts reading the runner's events. The caller must hold n.mutex.
func (n *Node) startEventReader(name string, runner *config.Runner, pool *v1.PoolSpec) {
	stride := v1.DefaultAnchorStride
	if pool != nil {
		stride = pool.AnchorStride
	}
	ctx, cancel := context.WithCancel(n.ctx)
	reader := &eventReader{runner: name, address: runner.Spec.Address, cancel: cancel, tracker: cacheindex.NewTracker(stride)}
	n.eventReaders[name] = reader
	n.startGoroutine(func() { n.eventReaderLoop(ctx, reader) })
}

// eventReaderLoop reads the runner's event stream and reconnects with backoff when it ends.
func (n *Node) eventReaderLoop(ctx context.Context, reader *eventReader) {
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		received := false
		err := n.engines.Events(ctx, reader.address, runnerSilenceTimeout, func(event *engineapi.CacheEvent) {
			received = true
			n.handleRunnerEvent(ctx, reader, event)
		})
		if ctx.Err() != nil {
			return
		}
		n.handleRunnerLost(reader, err)
		if received {
			backoff = minReconnectBackoff
		}
		if !n.sleep(backoff) {
			return
		}
		backoff = min(backoff*2, maxReconnectBackoff)
	}
}

// stateFromEngine maps the states of engines. Other states are fleet.Unknown.
var stateFromEngine = map[engineapi.State]fleet.State{
	engineapi.StateServing:  fleet.Serving,
	engineapi.StateLoading:  fleet.Loading,
	engineapi.StateDraining: fleet.Draining,
}

// loadFromEngine converts a load from the engine's format. It does not set MeasuredAt.
func loadFromEngine(load engineapi.Load) fleet.Load {
	converted := fleet.Load{Running: load.Running, Waiting: load.Waiting, PrefillRate: load.PrefillRate, MaxRunning: load.MaxRunning}
	copy(converted.QueuedTokens[:], load.QueuedTokens)
	return converted
}

// handleRunnerEvent records the status and the cache changes of an event and sends the changes to
// the index owners. It starts a resync if the tracker needs one. Events without a status are
// ignored.
func (n *Node) handleRunnerEvent(ctx context.Context, reader *eventReader, event *engineapi.CacheEvent) {
	status := event.Status
	if status == nil {
		return
	}
	newlyConnected, needsResync := false, false
	var sends []control.Outgoing
	n.updateControl(func(now time.Time) {
		if n.eventReaders[reader.runner] != reader {
			return
		}
		if reader.tracker.Incarnation() != status.Incarnation {
			reader.tracker.Restart(status.Incarnation)
		}
		newlyConnected = !reader.connected
		reader.connected = true
		n.control.ObserveRunner(now, fleet.Report{
			Runner: reader.runner, Incarnation: status.Incarnation, State: stateFromEngine[status.State],
			Model: status.Model, WeightVersion: status.WeightVersion, Adapters: status.Adapters,
			Role: status.Role, Connected: true, Load: loadFromEngine(status.Load),
		})
		changes := reader.tracker.ApplyEvent(event.Sequence, blocksFromEngine(event.Added), blocksFromEngine(event.Removed))
		sends = n.routeChanges(reader, changes)
		needsResync = reader.tracker.NeedsResync(now)
	})
	n.sendIndexUpdates(sends)
	if newlyConnected {
		n.log.Log(events.RunnerConnected, events.Fields{"runner": reader.runner, "incarnation": status.Incarnation})
	}
	if needsResync {
		n.startGoroutine(func() { n.resync(ctx, reader) })
	}
}

// handleRunnerLost reports the runner as not connected after the end of its event stream.
func (n *Node) handleRunnerLost(reader *eventReader, cause error) {
	changed := false
	n.updateControl(func(now time.Time) {
		report, found := n.control.Fleet().Get(reader.runner)
		if !found || !report.Connected || n.eventReaders[reader.runner] != reader {
			return
		}
		report.Connected = false
		reader.connected = false
		n.control.ObserveRunner(now, report)
		changed = true
	})
	if changed {
		fields := events.Fields{"runner": reader.runner}
		if cause != nil {
			fields["error"] = cause.Error()
		}
		n.log.Log(events.RunnerLost, fields)
	}
}

// resync reads the runner's full list of cached blocks and sends the index owners the difference
// to what they were sent before.
func (n *Node) resync(ctx context.Context, reader *eventReader) {
	list, err := n.engines.Blocks(ctx, reader.address)
	if err != nil {
		return
	}
	var sends []control.Outgoing
	n.updateControl(func(time.Time) {
		if n.eventReaders[reader.runner] != reader || reader.tracker.Incarnation() != list.Incarnation {
			return
		}
		sends = n.routeChanges(reader, reader.tracker.ApplySnapshot(list.Sequence, blocksFromEngine(list.Blocks)))
	})
	n.sendIndexUpdates(sends)
	n.log.Log(events.RunnerIndexReloaded, events.Fields{"runner": reader.runner, "blocks": len(list.Blocks)})
}

func blocksFromEngine(blocks []engineapi.Block) []cacheindex.Block {
	converted := make([]cacheindex.Block, len(blocks))
	for i, block := range blocks {
		converted[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	return converted
}

// routeChanges groups the changes by index owner. It applies those that this node owns and returns
// the messages to the other owners. The caller must hold n.mutex.
func (n *Node) routeChanges(reader *eventReader, changes cacheindex.Changes) []control.Outgoing {
	updatesByOwner := map[string][]*wire.IndexUpdate{}
	updateFor := func(root uint64) *wire.IndexUpdate {
		owner := n.control.ShardOwner(root)
		updates := updatesByOwner[owner]
		if len(updates) > 0 {
			last := updates[len(updates)-1]
			if len(last.Added)+len(last.Removed) < maxBlocksPerIndexUpdate {
				return last
			}
		}
		created := &wire.IndexUpdate{Runner: reader.runner, Incarnation: reader.tracker.Incarnation()}
		updatesByOwner[owner] = append(updates, created)
		return created
	}
	for _, block := range changes.Removed {
		update := updateFor(block.Root)
		update.Removed = append(update.Removed, block.Hash)
	}
	for _, block := range changes.Added {
		update := updateFor(block.Root)
		update.Added = append(update.Added, &wire.IndexEntry{Hash: block.Hash, Depth: uint32(block.Depth)})
	}
	return n.applyOwnUpdates(updatesByOwner)
}

// applyOwnUpdates applies the updates that this node owns and returns the messages to the other
// owners. Updates for owners without a known address are dropped. The caller must hold n.mutex.
func (n *Node) applyOwnUpdates(updatesByOwner map[string][]*wire.IndexUpdate) []control.Outgoing {
	var sends []control.Outgoing
	for owner, updates := range updatesByOwner {
		for _, update := range updates {
			if owner == n.settings.Node {
				n.applyIndexUpdateLocked(update)
				continue
			}
			if address, found := n.control.NodeAddress(owner); found {
				sends = append(sends, control.Outgoing{To: owner, Address: address, Envelope: &wire.Envelope{Body: &wire.Envelope_IndexUpdate{IndexUpdate: update}}})
			}
		}
	}
	return sends
}

// sendIndexUpdates sends the messages returned by routeChanges.
func (n *Node) sendIndexUpdates(sends []control.Outgoing) {
	for _, send := range sends {
		// A lost index update lowers the cache hit rate until placement results repair the index.
		_ = n.transport.Send(send.To, send.Address, send.Envelope)
	}
}

// resendMovedAnchors returns the messages with tracked anchors to the nodes that now own them:
// anchors whose owner changed, and all anchors of an owner whose process has just joined. The
// caller must hold n.mutex.
func (n *Node) resendMovedAnchors(memberEvents []membership.Event) []control.Outgoing {
	usable := n.control.UsableNodes()
	joined := map[string]bool{}
	for _, event := range memberEvents {
		if event.Kind == membership.EventJoined {
			joined[event.Member.ID] = true
		}
	}
	if len(joined) == 0 && slices.Equal(usable, n.indexOwners) {
		return nil
	}
	previousOwners := n.indexOwners
	n.indexOwners = slices.Clone(usable)
	var sends []control.Outgoing
	for _, reader := range n.eventReaders {
		moved := reader.tracker.Select(func(root uint64) bool {
			owner := rendezvous.Owner(usable, root)
			return joined[owner] || owner != rendezvous.Owner(previousOwners, root)
		})
		sends = append(sends, n.routeChanges(reader, cacheindex.Changes{Added: moved})...)
	}
	return sends
}

func (n *Node) applyIndexUpdate(update *wire.IndexUpdate) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.applyIndexUpdateLocked(update)
}

// applyIndexUpdateLocked applies an update to this node's index shard. The caller must hold
// n.mutex.
func (n *Node) applyIndexUpdateLocked(update *wire.IndexUpdate) {
	holder := cacheindex.Holder{Runner: update.GetRunner(), Incarnation: update.GetIncarnation()}
	n.shard.Remove(holder, update.GetRemoved()...)
	for _, entry := range update.GetAdded() {
		n.shard.Add(holder, entry.GetHash())
	}
}
