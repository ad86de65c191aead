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
	"github.com/clovertiller/clovertiller/internal/wire"
)

// placeTimeout is how long a router waits for the response of the index owner before it places a
// request without the index.
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

// place asks the index owner of the prompt's family for a runner. If the owner does not respond in
// time, this node chooses a runner without the index. That lowers the cache hit rate, but the
// request is still served.
func (n *Node) place(ctx context.Context, request *wire.PlaceRequest) *wire.PlaceResponse {
	n.mutex.Lock()
	owner := n.control.ShardOwner(request.GetFamily())
	address, found := n.control.NodeAddress(owner)
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

// placeLocally chooses a runner by this node's own runner reports and, if useIndex is set, by its
// own index shard.
func (n *Node) placeLocally(request *wire.PlaceRequest, useIndex bool) *wire.PlaceResponse {
	snapshot := n.snapshot.Load()
	pool := snapshot.Pools[request.GetPool()]
	if pool == nil {
		return &wire.PlaceResponse{Refused: true, NoRunner: true, Reason: placement.NoRunner.String(), RetryAfterMillis: 1000}
	}
	query := newQuery(request, pool, snapshot.RunnersByPool[request.GetPool()])
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var pick placement.Pick
	if useIndex {
		pick = n.placer.Place(now, query)
	} else {
		pick = n.placer.PlaceWithoutIndex(now, query)
	}
	if pick.Status != placement.Picked {
		return &wire.PlaceResponse{
			Refused: true, NoRunner: pick.Status == placement.NoRunner,
			Reason: pick.Status.String(), RetryAfterMillis: uint32(pick.RetryAfter.Milliseconds()),
		}
	}
	return &wire.PlaceResponse{
		Runner: pick.Candidate.Name, Incarnation: pick.Candidate.Report.Incarnation,
		ExpectedCachedTokens: uint32(pick.Candidate.CachedTokens), ExpectedWaitMillis: uint32(pick.Wait.Milliseconds()),
	}
}

// newQuery converts a place request for the runners of the pool.
func newQuery(request *wire.PlaceRequest, pool *v1.PoolSpec, runners []*config.Runner) placement.Query {
	query := placement.Query{
		Request: placement.Request{
			Model: request.GetModel(), Adapter: request.GetAdapter(), WeightVersion: request.GetWeightVersion(),
			PromptTokens: int(request.GetPromptTokens()), MaxTokens: int(request.GetMaxTokens()),
			Priority: int(request.GetPriority()), MaxWait: time.Duration(request.GetMaxWaitMillis()) * time.Millisecond,
			Excluded: request.GetExcluded(),
		},
		Family:      request.GetFamily(),
		Ticket:      request.GetTicket(),
		Anchors:     anchorsFromWire(request.GetAnchors()),
		BlockTokens: pool.BlockBytes / prefix.BytesPerToken,
		Weights:     placement.ScoreWeights{Uncached: pool.HitWeight},
	}
	for _, runner := range runners {
		query.Runners = append(query.Runners, placement.Runner{Name: runner.Name, Leaving: runner.Leaving, Standby: runner.Spec.Role == v1.RoleStandby})
	}
	return query
}

// reportPlaceResult applies the outcome of a placement locally and sends it to the index owner.
func (n *Node) reportPlaceResult(result *wire.PlaceResult) {
	n.mutex.Lock()
	owner := n.control.ShardOwner(result.GetFamily())
	address, found := n.control.NodeAddress(owner)
	n.mutex.Unlock()
	n.applyPlaceResult(result)
	if found && owner != n.settings.Node {
		// A lost result only makes the index less accurate until the engine's events repair it.
		_ = n.transport.Send(owner, address, &wire.Envelope{Body: &wire.Envelope_PlaceResult{PlaceResult: result}})
	}
}

// applyPlaceResult updates the runner's state and load and, if this node owns the index of the
// family, the provisional index entries.
func (n *Node) applyPlaceResult(result *wire.PlaceResult) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	holder := cacheindex.Holder{Runner: result.GetRunner(), Incarnation: result.GetIncarnation()}
	ownsFamily := n.control.ShardOwner(result.GetFamily()) == n.settings.Node
	if result.GetDraining() {
		n.control.Fleet().MarkDraining(holder.Runner, holder.Incarnation)
	}
	if result.GetRejected() {
		if ownsFamily {
			n.shard.RemoveProvisional(holder, anchorsFromWire(result.GetAnchors()))
		}
		return
	}
	load := control.LoadFromWire(result.GetLoad())
	load.MeasuredAt = time.Now()
	n.control.Fleet().UpdateLoad(holder.Runner, holder.Incarnation, load)
	if ownsFamily {
		n.shard.AddProvisional(time.Now(), holder, anchorsFromWire(result.GetAnchors()))
	}
}
