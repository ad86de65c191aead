// Package peers ranks the routers that a router may send requests to: itself first, then routers
// of its own zone and of its own region, and last those that did not reply recently. The delay before a
// request is hedged to another router follows from the observed round trip times. The package also
// estimates the number of routers of a system.
//
// The package has no I/O and no clock.
package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Timing of requests.
const (
	// silencePenalty is how long a router that did not reply in time is ranked last. It is a
	// tenth of the usual duration of machine freezes and network partitions in known
	// deployments.
	silencePenalty = 300 * time.Millisecond
	// minHedgeDelay is the minimum time before a request is also sent to the next router. A
	// reply takes 0.2 to 2 ms, and 7 ms more on a link of 10 Mbit/s when it queues behind one
	// request of 9 KB.
	minHedgeDelay = 10 * time.Millisecond
	// maxHedgeDelay is the maximum hedge delay, which applies if all routers are far away.
	// Regions are 20 ms apart.
	maxHedgeDelay = 50 * time.Millisecond
	// initialHedgeDelay is the hedge delay before any router has replied. Connections must then
	// be opened first, and after a loss of all routers the ones that are asked also send out the
	// whole directory.
	initialHedgeDelay = 75 * time.Millisecond
	// startupPenalty is how long a router that has never replied is ranked last after a
	// timeout. It is short because that router may still be starting.
	startupPenalty = 50 * time.Millisecond
	// hedgeRoundTrips is the hedge delay in multiples of the shortest known round trip time.
	hedgeRoundTrips = 3
	// roundTripWeight is the weight of a new sample in the smoothed round trip time.
	roundTripWeight = 0.2
)

// peerStats holds what was observed of one router.
type peerStats struct {
	// zone is empty until it is known.
	zone string
	// roundTrip is the smoothed round trip time, or 0 if the router has never replied.
	roundTrip time.Duration
	// penalizedUntil is when the router stops being ranked last after a timeout.
	penalizedUntil time.Time
}

// Ranking orders the routers that one router may send requests to. It is not safe for concurrent
// use.
type Ranking struct {
	self, zone string
	distances  *distance.Table
	// addresses are the routers in this router's own order of preference.
	addresses []string
	// listed are the routers of the own region as a seed named them, in the order in which to send
	// requests to them. They may include addresses, and others.
	listed []string
	// peers holds the stats of the routers that were used so far, by address.
	peers map[string]*peerStats
}

// NewRanking returns an empty ranking for the router with the peer address self in the zone.
func NewRanking(self, zone string, distances *distance.Table) *Ranking {
	return &Ranking{self: self, zone: zone, distances: distances, peers: map[string]*peerStats{}}
}

// Set replaces the addresses of the routers. Each router orders them differently, which spreads
// the load.
func (r *Ranking) Set(addresses []string) {
	r.addresses = rendezvous.Ranked(addresses, rendezvous.KeyOf(r.self), len(addresses))
	r.removeUnknownPeers()
}

// SetListed replaces the list of the routers of the own region.
func (r *Ranking) SetListed(addresses []string) {
	r.listed = slices.Clone(addresses)
	r.removeUnknownPeers()
}

// removeUnknownPeers removes the stats of routers that are no longer in a list.
func (r *Ranking) removeUnknownPeers() {
	for address := range r.peers {
		if !r.includes(address) {
			delete(r.peers, address)
		}
	}
}

// includes reports whether the router is in one of the lists.
func (r *Ranking) includes(address string) bool {
	return r.Ranks(address) || slices.Contains(r.listed, address)
}

// Len returns the number of routers.
func (r *Ranking) Len() int { return len(r.addresses) }

// IncludesSelf reports whether this router is in the list itself.
func (r *Ranking) IncludesSelf() bool { return r.Ranks(r.self) }

// Order returns the routers in the order in which to send requests to them, the best first.
func (r *Ranking) Order(now time.Time) []string {
	order := slices.Clone(r.addresses)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(r.rank(now, a), r.rank(now, b)) })
	return order
}

// Ranks reports whether the router is ranked, and not only listed.
func (r *Ranking) Ranks(address string) bool { return slices.Contains(r.addresses, address) }

// Others returns the routers other than this one.
func (r *Ranking) Others() []string {
	return slices.DeleteFunc(slices.Clone(r.addresses), func(address string) bool { return address == r.self })
}

// Ranks of routers, the best first. Without regions, all other zones are equal and rank last.
const (
	rankSelf = iota
	rankSameZone
	rankSameRegion
	rankUnknownZone
	rankOtherZone
	rankSilent
)

// rank returns the current rank of a router.
func (r *Ranking) rank(now time.Time, address string) int {
	stats := r.peers[address]
	switch {
	case address == r.self:
		return rankSelf
	case stats == nil:
		return rankUnknownZone
	case now.Before(stats.penalizedUntil):
		return rankSilent
	case stats.zone == r.zone:
		return rankSameZone
	case !r.distances.HasRegions():
		return rankOtherZone
	case stats.zone == "":
		return rankUnknownZone
	case r.distances.Relation(r.zone, stats.zone) == distance.SameRegion:
		return rankSameRegion
	}
	return rankOtherZone
}

// RegionMembers returns the known routers of the own region in the order in which to send requests to
// them: those that are ranked, and then the others in the order of the list. A ranked router whose
// zone is unknown is among them only if it is listed.
func (r *Ranking) RegionMembers(now time.Time) []string {
	var members []string
	for _, address := range r.Order(now) {
		if r.isInRegion(address) {
			members = append(members, address)
		}
	}
	for _, address := range r.listed {
		if !r.Ranks(address) {
			members = append(members, address)
		}
	}
	return members
}

// isInRegion reports whether a router is known to be in the own region.
func (r *Ranking) isInRegion(address string) bool {
	if address == r.self || slices.Contains(r.listed, address) {
		return true
	}
	stats := r.peers[address]
	return stats != nil && stats.zone != "" && r.distances.Relation(r.zone, stats.zone) != distance.OtherRegion
}

// RegionOrder returns the members of the own region without those that are silent. Routers after this
// one are left out, because it needs no others then.
func (r *Ranking) RegionOrder(now time.Time) []string {
	order := slices.DeleteFunc(r.RegionMembers(now), func(address string) bool { return r.IsSilent(now, address) })
	if own := slices.Index(order, r.self); own >= 0 {
		order = order[:own+1]
	}
	return order
}

// Answers reports whether a router has replied and is not silent, or is this one.
func (r *Ranking) Answers(now time.Time, address string) bool {
	if address == r.self {
		return true
	}
	stats := r.peers[address]
	return stats != nil && stats.roundTrip > 0 && !now.Before(stats.penalizedUntil)
}

// Reachable reports whether any router is not silent.
func (r *Ranking) Reachable(now time.Time) bool {
	for _, address := range r.addresses {
		if r.rank(now, address) != rankSilent {
			return true
		}
	}
	return false
}

// IsSilent reports whether the router is ranked last because of a recent timeout.
func (r *Ranking) IsSilent(now time.Time, address string) bool {
	return r.rank(now, address) == rankSilent
}

// HedgeDelay returns how long to wait for the reply of one router before the request is sent to
// others too.
func (r *Ranking) HedgeDelay() time.Duration {
	shortest := time.Duration(0)
	for _, stats := range r.peers {
		if stats.roundTrip > 0 && (shortest == 0 || stats.roundTrip < shortest) {
			shortest = stats.roundTrip
		}
	}
	if shortest == 0 {
		return initialHedgeDelay
	}
	return min(max(hedgeRoundTrips*shortest, minHedgeDelay), maxHedgeDelay)
}

// RecordReply records the zone and the round trip time of a router that replied, and lifts its
// penalty. It also applies to replies that came too late.
func (r *Ranking) RecordReply(address, zone string, roundTrip time.Duration) {
	stats := r.statsFor(address)
	if stats == nil {
		return
	}
	if stats.roundTrip == 0 {
		stats.roundTrip = roundTrip
	}
	stats.zone, stats.penalizedUntil = zone, time.Time{}
	stats.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-stats.roundTrip))
}

// RecordZone records the zone of a router that was learned otherwise than from its reply.
func (r *Ranking) RecordZone(address, zone string) {
	if stats := r.statsFor(address); stats != nil {
		stats.zone = zone
	}
}

// RecordTimeout records that a router did not reply in time.
func (r *Ranking) RecordTimeout(now time.Time, address string) {
	stats := r.statsFor(address)
	switch {
	case stats == nil:
	case stats.roundTrip == 0:
		stats.penalizedUntil = now.Add(startupPenalty)
	default:
		stats.penalizedUntil = now.Add(silencePenalty)
	}
}

// statsFor returns the stats of a router in one of the lists, or nil for any other router.
func (r *Ranking) statsFor(address string) *peerStats {
	if !r.includes(address) {
		return nil
	}
	if r.peers[address] == nil {
		r.peers[address] = &peerStats{}
	}
	return r.peers[address]
}
