package backend

import (
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// SharedPart is a segment of a prompt that other requests have in common with this one,
// such as a system prompt.
type SharedPart struct {
	ID string
	// Depth is the token offset at which the part ends, counted from the start of the
	// prompt.
	Depth int
}

// Salt returns the hash salt that separates cached prompt parts by owner and weight
// version.
func Salt(owner string, weightVersion uint64) string {
	return owner + "/" + strconv.FormatUint(weightVersion, 10)
}

// PartHash returns the cache index hash of a prompt part under the salt.
func PartHash(salt, part string) uint64 { return rendezvous.KeyOf(salt + "/" + part) }

// unconfirmedTTL is how long a part counts as cached by a runner that has just prefilled
// it, unless the runner's own cache events confirm it earlier. These events are 0.1 s late
// and take another 0.2 s to reach all routers, or up to 1 s where many routers pull from
// each seed. A TTL of 1 s measured no better than 2 s (docs/POLICY.md).
const unconfirmedTTL = 2 * time.Second

// anchors returns the hashes and depths of the prompt's shared parts under the weight
// version, in prompt order.
func (q *Query) anchors(weightVersion uint64) []prefix.Anchor {
	salt := Salt(q.Owner, weightVersion)
	anchors := make([]prefix.Anchor, 0, len(q.Shared))
	for _, part := range q.Shared {
		anchors = append(anchors, prefix.Anchor{Hash: PartHash(salt, part.ID), Depth: part.Depth})
	}
	return anchors
}

// cachedDepths returns how many tokens from the start of the prompt each holder has cached.
// Runners are keyed by id and cache stores by address.
func (s *Set) cachedDepths(query *Query, weightVersion uint64) map[string]int {
	depths := map[string]int{}
	for _, match := range s.cacheIndex.Lookup(query.anchors(weightVersion)) {
		depths[match.Holder.Runner] = match.Depth
	}
	return depths
}

// depthLookup memoizes cachedDepths by weight version while one request is placed: a
// service's runners have one or two versions.
type depthLookup struct {
	set       *Set
	query     *Query
	byVersion map[uint64]versionDepths
}

// versionDepths holds the cached depths of a prompt under one weight version, in tokens
// from its start.
type versionDepths struct {
	byHolder map[string]int
	// deepest is the maximum over all holders.
	deepest int
}

// holderDepths returns how many tokens of the prompt the runner has cached, and how many
// some holder has cached under the same weight version, which the runner can fetch.
func (l *depthLookup) holderDepths(e *entry) (depth, deepest int) {
	if len(l.query.Shared) == 0 {
		return 0, 0
	}
	version, _ := e.weightVersion(l.query.Model)
	depths, found := l.byVersion[version]
	if !found {
		depths.byHolder = l.set.cachedDepths(l.query, version)
		for _, depth := range depths.byHolder {
			depths.deepest = max(depths.deepest, depth)
		}
		l.byVersion[version] = depths
	}
	return depths.byHolder[e.ID], depths.deepest
}

// ApplyCacheDelta applies changes to the index of prompt parts that runners and cache
// stores hold. A full delta replaces the index.
func (s *Set) ApplyCacheDelta(delta cacheindex.FeedDelta) {
	s.cacheIndexLoaded = true
	if delta.Full {
		s.cacheIndex = cacheindex.NewShard(unconfirmedTTL)
	}
	for _, change := range delta.Changes {
		holder := cacheindex.Holder{Runner: change.Holder}
		if change.Removed {
			s.cacheIndex.Remove(holder, change.Part)
		} else {
			s.cacheIndex.Add(holder, change.Part)
		}
	}
}

// ClearCachedParts empties the index of prompt parts that runners and cache stores hold.
func (s *Set) ClearCachedParts() {
	s.cacheIndex, s.cacheIndexLoaded = cacheindex.NewShard(unconfirmedTTL), false
}

// RecordPrefill records that the runner has prefilled the prompt and therefore has its
// shared parts cached, pending confirmation by its cache events.
func (s *Set) RecordPrefill(now time.Time, id string, query Query, weightVersion uint64) {
	if len(query.Shared) > 0 && s.entries[id] != nil {
		s.cacheIndex.AddProvisional(now, cacheindex.Holder{Runner: id}, query.anchors(weightVersion))
	}
}

// Costs of a fetch source, in units of one open request of this router at the source.
const (
	// storeSourceCost makes runners preferred to a cache store, whose single link all
	// runners share: when the store was always used, its link was the bottleneck of a fleet
	// (docs/POLICY.md). Only a runner that is nearly full of requests costs more.
	storeSourceCost = 100
	// crossZoneSourceCost applies to a source in another zone, as transfers between zones
	// take twice as long.
	crossZoneSourceCost = 20
)

// FetchSource is where a runner fetches the cached prompt tokens that it lacks.
type FetchSource struct {
	// Address is IP:port, empty when no known source has more of the prompt than the
	// runner.
	Address string
	// Depth is the number of tokens available at the source, from the start of the prompt.
	Depth int
	// StoreHasAll is true when the cache store has all shared parts of the prompt.
	StoreHasAll bool
}

// ChooseFetchSource returns the source from which the runner should fetch the part of the
// prompt that it lacks: the holder with the most tokens and, among equals, the cheapest by
// sourceCost. store is the address of the cache store that serves the prompt, or "". Until
// the cache index is loaded, the store is the source.
func (s *Set) ChooseFetchSource(now time.Time, id string, query Query, weightVersion uint64, store string) FetchSource {
	requester := s.entries[id]
	if requester == nil || len(query.Shared) == 0 {
		return FetchSource{}
	}
	if !s.cacheIndexLoaded {
		return FetchSource{Address: store}
	}
	depths := s.cachedDepths(&query, weightVersion)
	best, bestCost := FetchSource{Depth: depths[id], StoreHasAll: store != "" && depths[store] >= query.SharedTokens}, 0
	for holder, depth := range depths {
		address, cost, usable := s.sourceCost(now, requester, holder, store)
		if !usable || depth < best.Depth || (depth == best.Depth && (best.Address == "" || cost >= bestCost)) {
			continue
		}
		best.Address, best.Depth, bestCost = address, depth, cost
	}
	if best.Address == "" && best.Depth < query.SharedTokens {
		// The index may be out of date, and a miss costs only a millisecond.
		best.Address = store
	}
	return best
}

// sourceCost reports whether the runner may fetch from the holder, and at which cost.
func (s *Set) sourceCost(now time.Time, requester *entry, holder, store string) (address string, cost int, usable bool) {
	if holder == store {
		return store, storeSourceCost, true
	}
	source := s.entries[holder]
	if source == nil || source == requester || source.updating || now.Before(source.avoidUntil) {
		return "", 0, false
	}
	cost = source.inFlight
	if source.Zone != requester.Zone {
		cost += crossZoneSourceCost
	}
	return source.Address, cost, true
}

// CacheHolder is the address and incarnation of a runner whose cached prompt parts can be
// read.
type CacheHolder struct {
	Address     string
	Incarnation uint64
	// Zone is empty for a cache store.
	Zone string
}

// CacheHolders returns the runners that cache prompt parts and belong to configured
// services, by id.
func (s *Set) CacheHolders() map[string]CacheHolder {
	holders := map[string]CacheHolder{}
	for _, e := range s.entries {
		if len(e.Models) > 0 && s.isConfigured(e) {
			holders[e.ID] = CacheHolder{Address: e.Address, Incarnation: e.Incarnation, Zone: e.Zone}
		}
	}
	return holders
}
