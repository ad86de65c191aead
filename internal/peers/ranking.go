// Package peers ranks the routers that a router may send requests to: itself first, then routers
// of its own zone and of its own region, and last those that did not reply recently. The delay before a request is
// hedged to another router follows from the observed round trip times. The package also estimates
// the number of routers of a system.
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
	for address := range r.peers {
		if !slices.Contains(addresses, address) {
			delete(r.peers, address)
		}
	}
}

// Len returns the number of routers.
func (r *Ranking) Len() int { return len(r.addresses) }

// IncludesSelf reports whether this router is in the list itself.
func (r *Ranking) IncludesSelf() bool { return slices.Contains(r.addresses, r.self) }

// Order returns the routers in the order in which to send requests to them, the best first.
func (r *Ranking) Order(now time.Time) []string {
	order := slices.Clone(r.addresses)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(r.rank(now, a), r.rank(now, b)) })
	return order
}

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

// RegionOrder returns the routers of the own region that are not silent, in the order in which to
// send requests to them. A router whose zone is unknown is not among them.
func (r *Ranking) RegionOrder(now time.Time) []string {
	return slices.DeleteFunc(r.Order(now), func(address string) bool { return r.rank(now, address) > rankSameRegion })
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

// statsFor returns the stats of a router in the list, or nil for any other router.
func (r *Ranking) statsFor(address string) *peerStats {
	if !slices.Contains(r.addresses, address) {
		return nil
	}
	if r.peers[address] == nil {
		r.peers[address] = &peerStats{}
	}
	return r.peers[address]
}
