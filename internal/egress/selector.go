package egress

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
)

const (
	// avoidTime is how long a router that failed or declined is avoided.
	avoidTime = 500 * time.Millisecond
	// Costs of the distance to a router, in open forwarded requests: a router of another zone is used
	// when those of the own zone have that many more.
	otherZoneCost   = 4
	otherRegionCost = 64
)

// Selector chooses the egress router of each request that an ingress router forwards.
type Selector struct {
	zone      string
	distances *distance.Table
	list      []Router
	digest    uint64
	// open counts the forwarded requests in progress, and avoidUntil holds the routers that failed, by
	// address.
	open       map[string]int
	avoidUntil map[string]time.Time
}

// NewSelector returns a selector without routers.
func NewSelector(zone string, distances *distance.Table) *Selector {
	return &Selector{zone: zone, distances: distances, open: map[string]int{}, avoidUntil: map[string]time.Time{}}
}

// SetList replaces the routers to choose from.
func (s *Selector) SetList(list []Router) { s.list, s.digest = slices.Clone(list), Digest(list) }

// Digest identifies the current list, 0 if there is none.
func (s *Selector) Digest() uint64 {
	if len(s.list) == 0 {
		return 0
	}
	return s.digest
}

// Routers returns the current list.
func (s *Selector) Routers() []Router { return slices.Clone(s.list) }

// Next returns the router to which a request is forwarded, other than those tried, or false if there is
// none. End must be called when the request is over.
func (s *Selector) Next(now time.Time, tried []string) (Router, bool) {
	best, bestCost := Router{}, 0
	for _, router := range s.list {
		if slices.Contains(tried, router.Address) || now.Before(s.avoidUntil[router.Address]) {
			continue
		}
		if cost := s.open[router.Address] + s.distanceCost(router); best.Address == "" || cost < bestCost {
			best, bestCost = router, cost
		}
	}
	if best.Address == "" {
		return best, false
	}
	s.open[best.Address]++
	return best, true
}

// HasNext reports whether there is a router to which a request can be forwarded.
func (s *Selector) HasNext(now time.Time) bool {
	return slices.ContainsFunc(s.list, func(router Router) bool { return !now.Before(s.avoidUntil[router.Address]) })
}

func (s *Selector) distanceCost(router Router) int {
	switch s.distances.Relation(s.zone, router.Zone) {
	case distance.SameZone:
		return 0
	case distance.OtherRegion:
		return otherRegionCost
	}
	return otherZoneCost
}

// End records the end of a forwarded request. failed is set if the router could not be reached, declined the
// request or broke it off.
func (s *Selector) End(now time.Time, address string, failed bool) {
	if s.open[address]--; s.open[address] <= 0 {
		delete(s.open, address)
	}
	if failed {
		s.avoidUntil[address] = now.Add(avoidTime)
	} else {
		delete(s.avoidUntil, address)
	}
}
