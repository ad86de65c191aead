package backend

import (
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// SharedPart is a part of a prompt that other requests have too.
type SharedPart struct {
	ID string
	// Depth is the number of tokens from the start of the prompt to its end.
	Depth int
}

// Salt keeps prompt parts of different owners and weights apart.
func Salt(owner string, weights uint64) string {
	return owner + "/" + strconv.FormatUint(weights, 10)
}

// PartHash names a part under a salt.
func PartHash(salt, part string) uint64 { return rendezvous.KeyOf(salt + "/" + part) }

// confirmTime is how long a part counts as kept by a runner that was just seen to
// read it, until the runner's own events say so: these are 0.1 s late and take 0.2 s
// to all routers, up to 1 s where many pull from each seed. 1 s in place of 2 measured
// no better (docs/POLICY.md).
const confirmTime = 2 * time.Second

// anchors are the shared parts under the weights, in order.
func (q *Query) anchors(weights uint64) []prefix.Anchor {
	salt := Salt(q.Owner, weights)
	anchors := make([]prefix.Anchor, 0, len(q.Shared))
	for _, part := range q.Shared {
		anchors = append(anchors, prefix.Anchor{Hash: PartHash(salt, part.ID), Depth: part.Depth})
	}
	return anchors
}

// keptDepths tells how many tokens from the start of the prompt each holder
// keeps: runners by id, stores of kept cache by address.
func (s *Set) keptDepths(query *Query, weights uint64) map[string]int {
	depths := map[string]int{}
	for _, match := range s.cached.Lookup(query.anchors(weights)) {
		depths[match.Holder.Runner] = match.Depth
	}
	return depths
}

// keptByWeights remembers keptDepths during one choice: a service's runners have
// one or two versions of weights.
type keptByWeights struct {
	set   *Set
	query *Query
	known map[uint64]keptParts
}

// keptParts is what is kept of a prompt under one version of weights, in tokens
// from its start.
type keptParts struct {
	depths map[string]int
	// deepest is the greatest depth that anybody keeps.
	deepest int
}

// of tells how much of the prompt the runner keeps, and how much somebody keeps
// under the same weights, so that the runner can fetch it.
func (k *keptByWeights) of(e *entry) (depth, deepest int) {
	if len(k.query.Shared) == 0 {
		return 0, 0
	}
	weights, _ := e.version(k.query.Model)
	kept, found := k.known[weights]
	if !found {
		kept.depths = k.set.keptDepths(k.query, weights)
		for _, depth := range kept.depths {
			kept.deepest = max(kept.deepest, depth)
		}
		k.known[weights] = kept
	}
	return kept.depths[e.ID], kept.deepest
}

// ApplyCacheDelta takes what changed of the parts that runners and stores keep.
func (s *Set) ApplyCacheDelta(delta cacheindex.FeedDelta) {
	s.cachedKnown = true
	if delta.Full {
		s.cached = cacheindex.NewShard(confirmTime)
	}
	for _, change := range delta.Changes {
		holder := cacheindex.Holder{Runner: change.Holder}
		if change.Removed {
			s.cached.Remove(holder, change.Part)
		} else {
			s.cached.Add(holder, change.Part)
		}
	}
}

// ForgetCached drops all that is known of the parts that runners and stores keep.
func (s *Set) ForgetCached() {
	s.cached, s.cachedKnown = cacheindex.NewShard(confirmTime), false
}

// NoteRead notes that the runner has read the prompt and so keeps its shared parts.
func (s *Set) NoteRead(now time.Time, id string, query Query, weights uint64) {
	if len(query.Shared) > 0 && s.entries[id] != nil {
		s.cached.AddProvisional(now, cacheindex.Holder{Runner: id}, query.anchors(weights))
	}
}

// Costs of a source, in open requests of this router at it.
const (
	// storeSourceCost prefers runners to a store of kept cache, whose one link all
	// runners share: taken always, the store's link was the bottleneck of a fleet
	// (docs/POLICY.md). Only a runner that is nearly full of requests is worse.
	storeSourceCost = 100
	// otherZoneSourceCost is for a source in another zone, as moves between zones
	// take twice as long.
	otherZoneSourceCost = 20
)

// FetchSource is where a runner fetches what it lacks of a prompt.
type FetchSource struct {
	// Address is IP:port, empty when nothing is known to keep more than the runner.
	Address string
	// Depth is the number of tokens that are there, from the start of the prompt.
	Depth int
	// StoreKeeps is true when the store keeps all shared parts.
	StoreKeeps bool
}

// Source chooses where the runner fetches what it lacks of the prompt: from
// whoever keeps most of it, and among those from a runner near by. While nothing is
// known it is the store. The store is the address of the store of kept cache that serves the prompt, or "".
func (s *Set) Source(now time.Time, id string, query Query, weights uint64, store string) FetchSource {
	runner := s.entries[id]
	if runner == nil || len(query.Shared) == 0 {
		return FetchSource{}
	}
	if !s.cachedKnown {
		return FetchSource{Address: store}
	}
	depths := s.keptDepths(&query, weights)
	best, bestCost := FetchSource{Depth: depths[id], StoreKeeps: store != "" && depths[store] >= query.SharedTokens}, 0
	for holder, depth := range depths {
		address, cost, usable := s.sourceCost(now, runner, holder, store)
		if !usable || depth < best.Depth || (depth == best.Depth && (best.Address == "" || cost >= bestCost)) {
			continue
		}
		best.Address, best.Depth, bestCost = address, depth, cost
	}
	if best.Address == "" && best.Depth < query.SharedTokens {
		// What is known may be out of date, and a miss costs a millisecond.
		best.Address = store
	}
	return best
}

// sourceCost tells whether the runner may fetch from the holder, and how dear that is.
func (s *Set) sourceCost(now time.Time, runner *entry, holder, store string) (address string, cost int, usable bool) {
	if holder == store {
		return store, storeSourceCost, true
	}
	source := s.entries[holder]
	if source == nil || source == runner || source.updating || now.Before(source.asideUntil) {
		return "", 0, false
	}
	cost = source.inFlight
	if source.Zone != runner.Zone {
		cost += otherZoneSourceCost
	}
	return source.Address, cost, true
}

// CacheHolder is where the prompt parts that one incarnation of a runner keeps are read.
type CacheHolder struct {
	Address     string
	Incarnation uint64
}

// CacheHolders returns the runners that keep prompt parts, by id.
func (s *Set) CacheHolders() map[string]CacheHolder {
	holders := map[string]CacheHolder{}
	for _, e := range s.entries {
		if len(e.Models) > 0 && s.inUse(e) {
			holders[e.ID] = CacheHolder{Address: e.Address, Incarnation: e.Incarnation}
		}
	}
	return holders
}
