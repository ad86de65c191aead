// Package relay decides from which source a router pulls the contents of the store: from the store
// itself, or from another router.
//
// Seeds, the routers named in the settings, read the store, and all other routers pull from them.
// So the load on the store does not grow with the number of routers. A seed with many followers
// assigns them to relays of their zones, so its own load does not grow either. A seed that does not
// reply, or whose proof that its copy is current is too old, is skipped for a while. A router
// without any candidate reads the store itself.
//
// The package has no I/O and no clock.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// failureBackoff is how long a seed is skipped after a failure.
const failureBackoff = 500 * time.Millisecond

// Selector selects the routers that one router pulls from. It is not safe for concurrent use.
type Selector struct {
	self string
	// seeds are in this router's own order of preference, and regionSeeds in that of its region.
	seeds, regionSeeds []string
	distances          *distance.Table
	// retryAt is when the skipped seeds become candidates again, by address.
	retryAt map[string]time.Time
	// zone is the zone of this router, and seedZones the zones of the seeds that have replied.
	zone      string
	seedZones map[string]string
	// relay is the relay that this router was assigned to, or "".
	relay string
	// standbys are the standby schedulers of the own region to pull from, and isStandby is set if this
	// router is one of them.
	standbys  []string
	isStandby bool
}

// NewSelector returns a selector for the router with the peer address self in the zone.
func NewSelector(self, zone string, distances *distance.Table, seeds []string) *Selector {
	s := &Selector{self: self, zone: zone, distances: distances, retryAt: map[string]time.Time{}, seedZones: map[string]string{}}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds replaces the seeds. Each router orders them differently, which spreads the load.
func (s *Selector) SetSeeds(seeds []string) {
	s.seeds = rendezvous.Ranked(seeds, rendezvous.KeyOf(s.self), len(seeds))
	s.regionSeeds = rendezvous.Ranked(seeds, rendezvous.KeyOf(s.distances.Region(s.zone)), len(seeds))
}

// Seeds returns the seeds.
func (s *Selector) Seeds() []string { return slices.Clone(s.seeds) }

// SetStandbys replaces the standby schedulers of the own region, which are the last candidates. If
// this router is one of them, it has no such candidates: it reads the store instead, without waiting
// for the others.
func (s *Selector) SetStandbys(addresses []string) {
	s.standbys, s.isStandby = nil, slices.Contains(addresses, s.self) && !s.IsSeed()
	if !slices.Contains(addresses, s.self) {
		s.standbys = slices.DeleteFunc(slices.Clone(addresses), s.HasSeed)
	}
}

// IsStandby reports whether this router is a standby scheduler of its region.
func (s *Selector) IsStandby() bool { return s.isStandby }

// SeedCount returns the number of seeds.
func (s *Selector) SeedCount() int { return len(s.seeds) }

// OtherSeeds returns the seeds other than this router, including those that are skipped.
func (s *Selector) OtherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(s.seeds), func(seed string) bool { return seed == s.self })
}

// HasOtherSeeds reports whether there are seeds other than this router.
func (s *Selector) HasOtherSeeds() bool { return len(s.OtherSeeds()) > 0 }

// IsSeed reports whether this router is a seed.
func (s *Selector) IsSeed() bool { return s.HasSeed(s.self) }

// HasSeed reports whether the address is that of a seed.
func (s *Selector) HasSeed(address string) bool { return slices.Contains(s.seeds, address) }

// SetRelay sets the relay to pull from first. The router's own address is ignored.
func (s *Selector) SetRelay(address string) {
	if address != s.self {
		s.relay = address
	}
}

// Relay returns the relay that this router was assigned to, or "".
func (s *Selector) Relay() string { return s.relay }

// Candidates returns the routers to pull from that are not skipped, the best first: the assigned
// relay, seeds of the own zone, seeds of the own region, seeds of unknown zone, and seeds of other
// zones. All routers of a region order the seeds of other regions alike, so that a region without a
// seed learns everything from one place. The standby schedulers of the own region come last: they
// read the store when no seed answers.
func (s *Selector) Candidates(now time.Time) []string {
	var candidates []string
	if s.relay != "" {
		candidates = append(candidates, s.relay)
	}
	for _, seed := range s.seeds {
		if seed != s.self && seed != s.relay && !now.Before(s.retryAt[seed]) {
			candidates = append(candidates, seed)
		}
	}
	for _, standby := range s.standbys {
		if standby != s.relay && !s.HasSeed(standby) && !now.Before(s.retryAt[standby]) {
			candidates = append(candidates, standby)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int {
		rankA, rankB := s.rank(a), s.rank(b)
		if rankA == rankOtherZone && rankB == rankOtherZone && s.distances.HasRegions() {
			return cmp.Compare(slices.Index(s.regionSeeds, a), slices.Index(s.regionSeeds, b))
		}
		return cmp.Compare(rankA, rankB)
	})
	return candidates
}

// Primary returns the best candidate, or "" if there is none. Routers that all follow the referrals of their
// primary seed only are never referred to each other in a circle.
func (s *Selector) Primary(now time.Time) string {
	if candidates := s.Candidates(now); len(candidates) > 0 {
		return candidates[0]
	}
	return ""
}

// Ranks of candidates, the best first. Without regions, all other zones are equal and rank last.
const (
	rankRelay = iota
	rankSameZone
	rankSameRegion
	rankUnknownZone
	rankOtherZone
	rankStandby
)

// rank returns the rank of a candidate.
func (s *Selector) rank(address string) int {
	zone, known := s.seedZones[address]
	switch {
	case address == s.relay:
		return rankRelay
	case slices.Contains(s.standbys, address):
		return rankStandby
	case !known:
		return rankUnknownZone
	case zone == s.zone:
		return rankSameZone
	case s.distances.HasRegions() && s.distances.Relation(s.zone, zone) == distance.SameRegion:
		return rankSameRegion
	}
	return rankOtherZone
}

// RecordFailure skips a seed until its backoff ends. If the address is that of the relay, the relay
// is dropped, and the seeds will assign another one.
func (s *Selector) RecordFailure(now time.Time, address string) {
	if address == s.relay {
		s.relay = ""
		return
	}
	s.retryAt[address] = now.Add(failureBackoff)
}

// RecordStarting skips a seed for the given time because it has no data yet or may be starting at the
// same time as this router.
func (s *Selector) RecordStarting(now time.Time, seed string, backoff time.Duration) {
	s.retryAt[seed] = now.Add(backoff)
}

// RecordNotification makes a seed a candidate again that has sent a notification.
func (s *Selector) RecordNotification(seed string) { delete(s.retryAt, seed) }

// RecordReply makes a seed a candidate again and records its zone.
func (s *Selector) RecordReply(seed, zone string) {
	delete(s.retryAt, seed)
	s.seedZones[seed] = zone
}
