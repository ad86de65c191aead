package node

import (
	"context"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/control"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// placeTimeout is how long an ingress waits for the owner of the index before
// it places without the index.
const placeTimeout = 100 * time.Millisecond

func anchorsToWire(anchors []prefix.Anchor) []*wire.IndexEntry {
	converted := make([]*wire.IndexEntry, len(anchors))
	for i, anchor := range anchors {
		converted[i] = &wire.IndexEntry{Hash: anchor.Hash, Depth: uint32(anchor.Depth)}
	}
	return converted
}

func anchorsFromWire(entries []*wire.IndexEntry) []prefix.Anchor {
	converted := make([]prefix.Anchor, len(entries))
	for i, entry := range entries {
		converted[i] = prefix.Anchor{Hash: entry.GetHash(), Depth: int(entry.GetDepth())}
	}
	return converted
}

// place asks the owner of the prompt's family for a runner. If the owner does
// not answer in time, this node places by itself without the index: that costs
// hits, not answers.
func (n *Node) place(ctx context.Context, request *wire.PlaceRequest) *wire.PlaceResponse {
	n.mutex.Lock()
	owner := n.control.ShardOf(request.GetFamily())
	address, found := n.control.Address(owner)
	n.mutex.Unlock()
	if owner == n.settings.Node {
		return n.placeLocally(request, true)
	}
	if found {
		ctx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		reply, err := n.transport.Call(ctx, owner, address, &wire.Envelope{Body: &wire.Envelope_PlaceRequest{PlaceRequest: request}})
		if err == nil && reply.GetPlaceResponse() != nil {
			return reply.GetPlaceResponse()
		}
		n.metrics.placeFallbacks.Inc()
		n.log.Log(events.PlacementFallback, events.Fields{"owner": owner})
	}
	return n.placeLocally(request, false)
}

// placeLocally chooses a runner from this node's index and reports.
func (n *Node) placeLocally(request *wire.PlaceRequest, indexed bool) *wire.PlaceResponse {
	snapshot := n.snapshot.Load()
	pool := snapshot.Pools[request.GetPool()]
	if pool == nil {
		return &wire.PlaceResponse{Refused: true, Reason: placement.NoRunner.String(), RetryAfterMillis: 1000}
	}
	wanted := placement.Request{
		Model: request.GetModel(), Adapter: request.GetAdapter(), WeightVersion: request.GetWeightVersion(),
		PromptTokens: int(request.GetPromptTokens()), MaxTokens: int(request.GetMaxTokens()),
		Priority: int(request.GetPriority()), MaxWait: time.Duration(request.GetMaxWaitMillis()) * time.Millisecond,
		Excluded: request.GetExcluded(),
	}
	anchors := anchorsFromWire(request.GetAnchors())
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	candidates := n.candidates(now, snapshot, pool, request, anchors, indexed)
	pick := placement.Choose(wanted, candidates, placement.Weights{Hit: pool.HitWeight}, n.random)
	if pick.Status != placement.Picked {
		return &wire.PlaceResponse{Refused: true, Reason: pick.Status.String(), RetryAfterMillis: uint32(pick.RetryAfter.Milliseconds())}
	}
	chosen := pick.Candidate
	n.pending.Add(now, chosen.Name, wanted.Priority, wanted.PromptTokens-chosen.CachedTokens)
	if indexed {
		n.shard.Note(now, cacheindex.Holder{Runner: chosen.Name, Incarnation: chosen.Report.Incarnation}, anchors)
	}
	return &wire.PlaceResponse{
		Runner: chosen.Name, Incarnation: chosen.Report.Incarnation,
		ExpectedCachedTokens: uint32(chosen.CachedTokens), ExpectedWaitMillis: uint32(pick.Wait.Milliseconds()),
	}
}

// candidates describes the pool's runners for the choice. The mutex is held.
func (n *Node) candidates(now time.Time, snapshot *config.Snapshot, pool *v1.PoolSpec, request *wire.PlaceRequest, anchors []prefix.Anchor, indexed bool) []placement.Candidate {
	cached := n.cachedTokens(pool, request, anchors, snapshot, indexed)
	runners := snapshot.ByPool[request.GetPool()]
	candidates := make([]placement.Candidate, 0, len(runners))
	for _, runner := range runners {
		report, found := n.control.Fleet().Get(runner.Name)
		if !found {
			continue
		}
		candidate := placement.Candidate{
			Name: runner.Name, Leaving: runner.Leaving, Standby: runner.Spec.Role == v1.RoleStandby, Report: report,
			CachedTokens: cached[cacheindex.Holder{Runner: runner.Name, Incarnation: report.Incarnation}],
		}
		candidate.PendingTokens, candidate.PendingRequests = n.pending.Of(now, runner.Name, int(request.GetPriority()))
		candidates = append(candidates, candidate)
	}
	return candidates
}

// cachedTokens returns how much of the prompt each holder has. Without the
// index, the family's first runner by rendezvous is taken to hold half of it,
// so that nodes that cannot ask still agree on where a family goes.
func (n *Node) cachedTokens(pool *v1.PoolSpec, request *wire.PlaceRequest, anchors []prefix.Anchor, snapshot *config.Snapshot, indexed bool) map[cacheindex.Holder]int {
	cached := map[cacheindex.Holder]int{}
	if indexed {
		blockTokens := pool.BlockBytes / prefix.BytesPerToken
		for _, match := range n.shard.Lookup(anchors) {
			cached[match.Holder] = min(match.Depth*blockTokens, int(request.GetPromptTokens()))
		}
		return cached
	}
	var names []string
	for _, runner := range snapshot.ByPool[request.GetPool()] {
		names = append(names, runner.Name)
	}
	first := rendezvous.Owner(names, request.GetFamily())
	if report, found := n.control.Fleet().Get(first); found {
		cached[cacheindex.Holder{Runner: first, Incarnation: report.Incarnation}] = int(request.GetPromptTokens()) / 2
	}
	return cached
}

// sendPlaceResult tells the index's owner what the engine did.
func (n *Node) sendPlaceResult(result *wire.PlaceResult) {
	n.mutex.Lock()
	owner := n.control.ShardOf(result.GetFamily())
	address, found := n.control.Address(owner)
	n.mutex.Unlock()
	n.applyPlaceResult(result)
	if found && owner != n.settings.Node {
		// A lost result costs accuracy only; the engine's events repair it.
		_ = n.transport.Send(owner, address, &wire.Envelope{Body: &wire.Envelope_PlaceResult{PlaceResult: result}})
	}
}

func (n *Node) applyPlaceResult(result *wire.PlaceResult) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	holder := cacheindex.Holder{Runner: result.GetRunner(), Incarnation: result.GetIncarnation()}
	owned := n.control.ShardOf(result.GetFamily()) == n.settings.Node
	if result.GetDraining() {
		n.control.Fleet().MarkDraining(holder.Runner, holder.Incarnation)
	}
	if result.GetRejected() {
		if owned {
			n.shard.Withdraw(holder, anchorsFromWire(result.GetAnchors()))
		}
		return
	}
	n.control.Fleet().UpdateLoad(holder.Runner, holder.Incarnation, control.LoadFromWire(result.GetLoad()))
	if owned {
		n.shard.Note(time.Now(), holder, anchorsFromWire(result.GetAnchors()))
	}
}
