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

// Times of reading from runners.
const (
	// runnerSilence is how long a runner's event stream may be silent.
	runnerSilence    = 1500 * time.Millisecond
	minReconnect     = 50 * time.Millisecond
	maxReconnect     = time.Second
	indexUpdateBatch = 4096
)

// home is this router's duty for one runner: it alone reads the runner's events.
type home struct {
	runner  string
	address string
	cancel  context.CancelFunc
	tracker *cacheindex.Tracker
	// connected is true between the first event of a stream and its end.
	connected bool
}

// updateHomes takes up and gives up duties. The mutex is held.
func (n *Node) updateHomes() {
	snapshot := n.snapshot.Load()
	wanted := map[string]bool{}
	for name, runner := range snapshot.Runners {
		if n.control.HomeOf(name, runner.Spec.Zone) != n.settings.Node {
			continue
		}
		wanted[name] = true
		current := n.homes[name]
		if current != nil && current.address == runner.Spec.Address {
			continue
		}
		if current != nil {
			current.cancel()
		}
		n.takeHome(name, runner, snapshot.Pools[runner.Spec.Pool])
	}
	for name, current := range n.homes {
		if !wanted[name] {
			current.cancel()
			delete(n.homes, name)
		}
	}
}

func (n *Node) takeHome(name string, runner *config.Runner, pool *v1.PoolSpec) {
	stride := v1.DefaultAnchorStride
	if pool != nil {
		stride = pool.AnchorStride
	}
	ctx, cancel := context.WithCancel(n.ctx)
	h := &home{runner: name, address: runner.Spec.Address, cancel: cancel, tracker: cacheindex.NewTracker(stride)}
	n.homes[name] = h
	n.spawn(func() { n.homeLoop(ctx, h) })
}

// homeLoop reads the runner's event stream and connects again when it ends.
func (n *Node) homeLoop(ctx context.Context, h *home) {
	backoff := minReconnect
	for ctx.Err() == nil {
		seen := false
		err := n.engines.Events(ctx, h.address, runnerSilence, func(event *engineapi.CacheEvent) {
			seen = true
			n.runnerEvent(ctx, h, event)
		})
		if ctx.Err() != nil {
			return
		}
		n.runnerLost(h, err)
		if seen {
			backoff = minReconnect
		}
		if !n.pause(backoff) {
			return
		}
		backoff = min(backoff*2, maxReconnect)
	}
}

var stateOf = map[engineapi.State]fleet.State{
	engineapi.StateServing:  fleet.Serving,
	engineapi.StateLoading:  fleet.Loading,
	engineapi.StateDraining: fleet.Draining,
}

func loadFromEngine(load engineapi.Load) fleet.Load {
	converted := fleet.Load{Running: load.Running, Waiting: load.Waiting, PrefillRate: load.PrefillRate, MaxRunning: load.MaxRunning}
	copy(converted.QueuedTokens[:], load.QueuedTokens)
	return converted
}

func (n *Node) runnerEvent(ctx context.Context, h *home, event *engineapi.CacheEvent) {
	status := event.Status
	if status == nil {
		return
	}
	first, resync := false, false
	var sends []control.Send
	n.withControl(func(now time.Time) {
		if n.homes[h.runner] != h {
			return
		}
		if h.tracker.Incarnation() != status.Incarnation {
			h.tracker.Restart(status.Incarnation)
		}
		first = !h.connected
		h.connected = true
		n.control.ObserveRunner(now, fleet.Report{
			Runner: h.runner, Incarnation: status.Incarnation, State: stateOf[status.State],
			Model: status.Model, WeightVersion: status.WeightVersion, Adapters: status.Adapters,
			Role: status.Role, Connected: true, Load: loadFromEngine(status.Load),
		})
		changes := h.tracker.ApplyEvent(event.Sequence, blocksFromEngine(event.Added), blocksFromEngine(event.Removed))
		sends = n.routeChanges(h, changes)
		resync = h.tracker.NeedsResync(now)
	})
	n.sendAll(sends)
	if first {
		n.log.Log(events.RunnerConnected, events.Fields{"runner": h.runner, "incarnation": status.Incarnation})
	}
	if resync {
		n.spawn(func() { n.resync(ctx, h) })
	}
}

func (n *Node) runnerLost(h *home, cause error) {
	reported := false
	n.withControl(func(now time.Time) {
		report, found := n.control.Fleet().Get(h.runner)
		if !found || !report.Connected || n.homes[h.runner] != h {
			return
		}
		report.Connected = false
		h.connected = false
		n.control.ObserveRunner(now, report)
		reported = true
	})
	if reported {
		fields := events.Fields{"runner": h.runner}
		if cause != nil {
			fields["error"] = cause.Error()
		}
		n.log.Log(events.RunnerLost, fields)
	}
}

// resync reads the full list of cached blocks and sends the shards the difference.
func (n *Node) resync(ctx context.Context, h *home) {
	list, err := n.engines.Blocks(ctx, h.address)
	if err != nil {
		return
	}
	var sends []control.Send
	n.withControl(func(time.Time) {
		if n.homes[h.runner] != h || h.tracker.Incarnation() != list.Incarnation {
			return
		}
		sends = n.routeChanges(h, h.tracker.ApplySnapshot(list.Sequence, blocksFromEngine(list.Blocks)))
	})
	n.sendAll(sends)
	n.log.Log(events.RunnerIndexReloaded, events.Fields{"runner": h.runner, "blocks": len(list.Blocks)})
}

func blocksFromEngine(blocks []engineapi.Block) []cacheindex.Block {
	converted := make([]cacheindex.Block, len(blocks))
	for i, block := range blocks {
		converted[i] = cacheindex.Block{Hash: block.Hash, Root: block.Root, Depth: block.Depth}
	}
	return converted
}

// routeChanges splits changes by the node that owns each family's index. The
// mutex is held.
func (n *Node) routeChanges(h *home, changes cacheindex.Changes) []control.Send {
	updates := map[string][]*wire.IndexUpdate{}
	update := func(root uint64) *wire.IndexUpdate {
		owner := n.control.ShardOf(root)
		batches := updates[owner]
		if len(batches) > 0 {
			last := batches[len(batches)-1]
			if len(last.Added)+len(last.Removed) < indexUpdateBatch {
				return last
			}
		}
		created := &wire.IndexUpdate{Runner: h.runner, Incarnation: h.tracker.Incarnation()}
		updates[owner] = append(batches, created)
		return created
	}
	for _, block := range changes.Removed {
		u := update(block.Root)
		u.Removed = append(u.Removed, block.Hash)
	}
	for _, block := range changes.Added {
		u := update(block.Root)
		u.Added = append(u.Added, &wire.IndexEntry{Hash: block.Hash, Depth: uint32(block.Depth)})
	}
	return n.addressUpdates(updates)
}

func (n *Node) addressUpdates(updates map[string][]*wire.IndexUpdate) []control.Send {
	var sends []control.Send
	for owner, batches := range updates {
		for _, batch := range batches {
			if owner == n.settings.Node {
				n.applyIndexUpdateLocked(batch)
				continue
			}
			if address, found := n.control.Address(owner); found {
				sends = append(sends, control.Send{To: owner, Address: address, Envelope: &wire.Envelope{Body: &wire.Envelope_IndexUpdate{IndexUpdate: batch}}})
			}
		}
	}
	return sends
}

func (n *Node) sendAll(sends []control.Send) {
	for _, send := range sends {
		// Lost index updates cost hits and are repaired by placement results.
		_ = n.transport.Send(send.To, send.Address, send.Envelope)
	}
}

// moveIndex sends tracked anchors to the nodes that now own them: those whose
// owner changed, and all of a node whose process is new. The mutex is held.
func (n *Node) moveIndex(changes []membership.Event) []control.Send {
	usable := n.control.UsableNodes()
	restarted := map[string]bool{}
	for _, change := range changes {
		if change.Kind == membership.EventJoined {
			restarted[change.Member.ID] = true
		}
	}
	if len(restarted) == 0 && slices.Equal(usable, n.owners) {
		return nil
	}
	before := n.owners
	n.owners = slices.Clone(usable)
	var sends []control.Send
	for _, h := range n.homes {
		moved := h.tracker.Select(func(root uint64) bool {
			owner := rendezvous.Owner(usable, root)
			return restarted[owner] || owner != rendezvous.Owner(before, root)
		})
		sends = append(sends, n.routeChanges(h, cacheindex.Changes{Added: moved})...)
	}
	return sends
}

func (n *Node) applyIndexUpdate(update *wire.IndexUpdate) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.applyIndexUpdateLocked(update)
}

func (n *Node) applyIndexUpdateLocked(update *wire.IndexUpdate) {
	holder := cacheindex.Holder{Runner: update.GetRunner(), Incarnation: update.GetIncarnation()}
	n.shard.Remove(holder, update.GetRemoved()...)
	for _, entry := range update.GetAdded() {
		n.shard.Add(holder, entry.GetHash())
	}
}
