package backend

import (
	"slices"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/distance"
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
	now       time.Time
	query     *Query
	byVersion map[uint64]versionDepths
}

// versionDepths holds the cached depths of a prompt under one weight version, in tokens
// from its start.
type versionDepths struct {
	byHolder map[string]int
	// deepest is the maximum over all holders or, with regions, over those whose zone is unknown.
	deepest int
	// byZone is the maximum over the holders of each zone, indexed by the number of the zone, nil
	// without regions. fetchable memoizes how far runners of each zone can fetch the prompt, -1 if it
	// has not been computed.
	byZone    []int
	fetchable []int
	// isReplaced is set if a newer version has been named. Runners then fetch all shared parts from a cache store, if isStored is
	// set, or none.
	isReplaced, isStored bool
}

// holderDepths returns how many tokens of the prompt the runner has cached, and how many it can have
// by fetching the others from a holder under the same weight version.
func (l *depthLookup) holderDepths(e *entry) (depth, fetchableDepth int) {
	if len(l.query.Shared) == 0 {
		return 0, 0
	}
	depths := l.versionDepths(e)
	depth = depths.byHolder[e.ID]
	if depths.isReplaced {
		return depth, l.replacedDepth(depths, depth)
	}
	if depths.byZone == nil {
		return depth, depths.deepest
	}
	if depths.fetchable[e.zoneNumber] < 0 {
		depths.fetchable[e.zoneNumber] = l.set.fetchableDepth(l.now, e, depths)
	}
	return depth, max(depth, depths.fetchable[e.zoneNumber])
}

// cachedDepth returns how many tokens of the prompt the runner has cached, and the maximum over all
// holders under the same weight version.
func (l *depthLookup) cachedDepth(e *entry) (depth, deepest int) {
	depths := l.versionDepths(e)
	if depth = depths.byHolder[e.ID]; depths.isReplaced {
		return depth, l.replacedDepth(depths, depth)
	}
	deepest = depths.deepest
	for _, depth := range depths.byZone {
		deepest = max(deepest, depth)
	}
	return depth, deepest
}

// versionDepths returns the cached depths under the runner's weight version.
func (l *depthLookup) versionDepths(e *entry) versionDepths {
	version, _ := e.weightVersion(l.query.Model)
	depths, found := l.byVersion[version]
	if !found {
		depths.byHolder = l.set.cachedDepths(l.query, version)
		weights := l.set.ShareableWeights(l.query.Model, version)
		depths.isReplaced = !weights.AreNewest()
		depths.isStored = depths.isReplaced && l.set.isStoredBefore(depths.byHolder, l.query, weights)
		l.set.findDeepest(&depths)
		l.byVersion[version] = depths
	}
	return depths
}

// replacedDepth returns how many tokens a runner that has the depth can have by fetching the others.
func (l *depthLookup) replacedDepth(depths versionDepths, depth int) int {
	if depths.isStored {
		return l.query.SharedTokens
	}
	return depth
}

// findDeepest sets the maxima of the depths.
func (s *Set) findDeepest(depths *versionDepths) {
	if s.regions != nil {
		depths.byZone = make([]int, len(s.regions.names))
		depths.fetchable = slices.Repeat([]int{-1}, len(s.regions.names))
	}
	for holder, depth := range depths.byHolder {
		if number, known := s.holderZone(holder); known && depths.byZone != nil {
			depths.byZone[number] = max(depths.byZone[number], depth)
			continue
		}
		depths.deepest = max(depths.deepest, depth)
	}
}

// holderZone returns the number of the zone of a runner or cache store.
func (s *Set) holderZone(holder string) (number int, known bool) {
	if source := s.entries[holder]; source != nil {
		return source.zoneNumber, true
	}
	number, known = s.cacheStoreZones[holder]
	return number, known
}

// fetchableDepth returns up to which depth runners in the zone of e can fetch the prompt: from the
// deepest holder of their region, or from another region as far as that is sooner than the prefill.
func (s *Set) fetchableDepth(now time.Time, e *entry, depths versionDepths) int {
	view, prefill := s.regions.view(now, e.Zone), s.runnerPrefill(e)
	inRegion := depths.deepest
	for zone, depth := range depths.byZone {
		if view.zones[zone].relation != distance.OtherRegion {
			inRegion = max(inRegion, depth)
		}
	}
	best := inRegion
	for zone, depth := range depths.byZone {
		if view.zones[zone].relation == distance.OtherRegion && depth > inRegion {
			// Fetching these tokens is as expensive as prefilling those that are not saved.
			saved := (depth - inRegion) - fetchCost(prefill, view.zones[zone], depth-inRegion)
			best = max(best, inRegion+saved)
		}
	}
	return best
}

// fetchShares are the costs of a fetched token by the relation of the zones, in prefilled tokens. The
// cost of a fetched token in scores, a quarter, was measured with sources in other zones of one
// region; a transfer takes half as long within a zone and five times as long between regions.
var fetchShares = [...]float64{distance.SameZone: 0.125, distance.SameRegion: 0.25, distance.OtherRegion: 1.25}

// fetchCost returns the time to fetch the tokens over the distance, in prompt tokens.
func fetchCost(prefill *prefillModel, from zoneDistance, tokens int) int {
	return int(fetchShares[from.relation]*float64(tokens)) + prefill.tokensIn(from.roundTrip)
}

// ApplyCacheDelta applies changes to the index of prompt parts that runners and cache
// stores hold. A full delta replaces the index.
func (s *Set) ApplyCacheDelta(delta cacheindex.FeedDelta) {
	s.cacheIndexLoaded = true
	if delta.Full {
		s.cacheIndex = cacheindex.NewShard(unconfirmedTTL)
		clear(s.storeParts)
	}
	for _, change := range delta.Changes {
		holder := cacheindex.Holder{Runner: change.Holder}
		if s.cacheStores[change.Holder] {
			s.recordStorePart(change.Holder, change.Part, change.Removed)
		}
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
	clear(s.storeParts)
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
// sourceCost. A runner in another region is the source only if that is sooner than the best
// source of the region with the prefill of the rest. store is the address of the cache store
// that serves the prompt, or "". Until the cache index is loaded, the store is the source. If newer weights have been
// named, the only source is a store that has held all shared parts since before.
func (s *Set) ChooseFetchSource(now time.Time, id string, query Query, weights ShareableWeights, store string) FetchSource {
	requester := s.entries[id]
	if requester == nil || len(query.Shared) == 0 {
		return FetchSource{}
	}
	if !weights.AreNewest() {
		return s.replacedSource(requester, query, weights, store)
	}
	if !s.cacheIndexLoaded {
		return FetchSource{Address: store}
	}
	depths := s.cachedDepths(&query, weights.version)
	known := FetchSource{Depth: depths[id], StoreHasAll: store != "" && depths[store] >= query.SharedTokens}
	view := s.regions.view(now, requester.Zone)
	best, from := s.deepestSource(now, requester, depths, known, store, func(source *entry) bool { return !view.isFar(source) })
	if view != nil {
		cost := func(source FetchSource, from zoneDistance) int {
			return fetchCost(s.runnerPrefill(requester), from, source.Depth-known.Depth) + query.SharedTokens - source.Depth
		}
		far, fromFar := s.deepestSource(now, requester, depths, known, store, view.isFar)
		if far.Depth > best.Depth && cost(far, fromFar) < cost(best, from) {
			best = far
		}
	}
	if best.Address == "" && best.Depth < query.SharedTokens {
		// The index may be out of date, and a miss costs only a millisecond.
		best.Address = store
	}
	return best
}

// replacedSource returns the source of parts under weights of which a newer version has been named.
func (s *Set) replacedSource(requester *entry, query Query, weights ShareableWeights, store string) FetchSource {
	own := s.cachedDepths(&query, weights.version)[requester.ID]
	if own >= query.SharedTokens || !s.storeHasAllBefore(store, &query, weights) || s.hasStoredSince(store, &query, weights) {
		return FetchSource{Depth: own}
	}
	return FetchSource{Address: store, Depth: query.SharedTokens, StoreHasAll: true}
}

// deepestSource returns the deepest source among the cache store and the runners for which the filter
// is true, and its distance. It returns known if no source has more tokens than the requester.
func (s *Set) deepestSource(now time.Time, requester *entry, depths map[string]int, known FetchSource, store string, filter func(*entry) bool) (best FetchSource, from zoneDistance) {
	best, bestCost, view := known, 0, s.regions.view(now, requester.Zone)
	for holder, depth := range depths {
		source := s.entries[holder]
		if source != nil && !filter(source) {
			continue
		}
		address, cost, usable := s.sourceCost(now, requester, holder, store)
		if !usable || depth < best.Depth || (depth == best.Depth && (best.Address == "" || cost >= bestCost)) {
			continue
		}
		best.Address, best.Depth, bestCost, from = address, depth, cost, zoneDistance{relation: distance.SameRegion}
		if source != nil && view != nil {
			from = view.zones[source.zoneNumber]
		}
	}
	return best, from
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
