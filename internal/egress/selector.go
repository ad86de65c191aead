package egress

import (
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/distance"
)

const (
	// avoidTime is how long a router that failed or declined is avoided.
	avoidTime = 500 * time.Millisecond
	// provenTime is how long a router that served a request counts as one that serves the service.
	provenTime = time.Second
	// referralLifetime is how long a router is used that another one referred to.
	referralLifetime = 2 * time.Second
	// maxReferred bounds the routers that are known by referral only, and maxReferrals those that one router
	// refers to.
	maxReferred  = 16
	maxReferrals = 4
	// Costs of the distance to a router, in open forwarded requests: a router of another zone is used
	// when those of the own zone have that many more.
	otherZoneCost   = 4
	otherRegionCost = 64
	// unprovenCost is the cost of a router that served no request lately, while others decline.
	unprovenCost = 8
)

// Result is the result of a forwarded request, as far as it concerns the choice of egress routers.
type Result uint8

const (
	// Served means that the router accepted the request.
	Served Result = iota
	// Refused means that the router accepted the request, but no runner has room for it.
	Refused
	// Declined means that the router does not accept requests of the service now.
	Declined
	// Unreachable means that the router could not be reached or broke the request off.
	Unreachable
)

// Selector chooses the egress router of each request that an ingress router forwards.
type Selector struct {
	zone      string
	distances *distance.Table
	list      []Router
	digest    uint64
	// referred holds the routers that others referred to, by address, with the times until when.
	referred map[string]referral
	// open counts the forwarded requests in progress, and usedAt is when a router was last chosen, by
	// address.
	open   map[string]int
	usedAt map[string]time.Time
	// avoidUntil holds the routers that failed, and provenAt those that served a request.
	avoidUntil, provenAt map[serviceRouter]time.Time
	// declinedAt is when a router last declined a request of the service.
	declinedAt map[string]time.Time
}

type referral struct {
	Router
	until time.Time
}

// serviceRouter is a router in its role for a service, or for all services if that is empty.
type serviceRouter struct{ service, address string }

// NewSelector returns a selector without routers.
func NewSelector(zone string, distances *distance.Table) *Selector {
	return &Selector{
		zone: zone, distances: distances, referred: map[string]referral{}, open: map[string]int{}, usedAt: map[string]time.Time{},
		avoidUntil: map[serviceRouter]time.Time{}, provenAt: map[serviceRouter]time.Time{}, declinedAt: map[string]time.Time{},
	}
}

// SetList replaces the routers to choose from. It reports whether they have changed.
func (s *Selector) SetList(list []Router) (changed bool) {
	digest := Digest(list)
	changed = digest != s.digest
	s.list, s.digest = slices.Clone(list), digest
	return changed
}

// Refer adds routers to which a router has referred that declined a request.
func (s *Selector) Refer(now time.Time, routers []Router) {
	maps.DeleteFunc(s.referred, func(_ string, r referral) bool { return !now.Before(r.until) })
	for _, router := range routers {
		if _, known := s.referred[router.Address]; known || len(s.referred) < maxReferred {
			s.referred[router.Address] = referral{Router: router, until: now.Add(referralLifetime)}
		}
	}
}

// Referrals returns the routers to which this one refers a request of the service that it declines: those that served one
// lately, and then those of its list.
func (s *Selector) Referrals(now time.Time, service string) (routers []Router) {
	for _, proven := range []bool{true, false} {
		for _, router := range s.candidates(now, service, nil) {
			if len(routers) < maxReferrals && s.isProven(now, service, router) == proven {
				routers = append(routers, router)
			}
		}
	}
	return routers
}

// Digest identifies the current list, 0 if there is none.
func (s *Selector) Digest() uint64 {
	if len(s.list) == 0 {
		return 0
	}
	return s.digest
}

// Routers returns the current list.
func (s *Selector) Routers() []Router { return slices.Clone(s.list) }

// candidates returns the routers that may serve a request of the service, other than those tried.
func (s *Selector) candidates(now time.Time, service string, tried []string) (candidates []Router) {
	add := func(router Router) {
		if router.serves(service) && !slices.Contains(tried, router.Address) && !s.isAvoided(now, service, router) {
			candidates = append(candidates, router)
		}
	}
	for _, router := range s.list {
		add(router)
	}
	for _, address := range slices.Sorted(maps.Keys(s.referred)) {
		r := s.referred[address]
		if now.Before(r.until) && !slices.ContainsFunc(s.list, func(router Router) bool { return router.Address == address }) {
			add(r.Router)
		}
	}
	return candidates
}

func (s *Selector) isAvoided(now time.Time, service string, router Router) bool {
	return now.Before(s.avoidUntil[serviceRouter{service, router.Address}]) || now.Before(s.avoidUntil[serviceRouter{"", router.Address}])
}

func (s *Selector) isProven(now time.Time, service string, router Router) bool {
	provenAt, found := s.provenAt[serviceRouter{service, router.Address}]
	return found && now.Sub(provenAt) < provenTime
}

// Next returns the router to which a request of the service is forwarded, other than those tried, or false if there
// is none. End must be called when the request is over.
func (s *Selector) Next(now time.Time, service string, tried []string) (Router, bool) {
	candidates := s.candidates(now, service, tried)
	if len(candidates) == 0 {
		return Router{}, false
	}
	declinedAt, declined := s.declinedAt[service]
	declined = declined && now.Sub(declinedAt) < provenTime
	cost := func(router Router) int {
		sum := s.open[router.Address] + s.distanceCost(router)
		if declined && !s.isProven(now, service, router) {
			sum += unprovenCost
		}
		return sum
	}
	best := slices.MinFunc(candidates, func(a, b Router) int {
		if difference := cost(a) - cost(b); difference != 0 {
			return difference
		}
		return s.usedAt[a.Address].Compare(s.usedAt[b.Address])
	})
	s.open[best.Address]++
	s.usedAt[best.Address] = now
	return best, true
}

// HasNext reports whether there is a router to which a request of the service can be forwarded.
func (s *Selector) HasNext(now time.Time, service string) bool {
	return len(s.candidates(now, service, nil)) > 0
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

// End records the end of a forwarded request.
func (s *Selector) End(now time.Time, service, address string, result Result) {
	s.sweep(now)
	if s.open[address]--; s.open[address] <= 0 {
		delete(s.open, address)
	}
	key := serviceRouter{service, address}
	switch result {
	case Served:
		s.provenAt[key] = now
		delete(s.avoidUntil, key)
		delete(s.avoidUntil, serviceRouter{"", address})
	case Refused:
		delete(s.provenAt, key)
	case Declined:
		delete(s.provenAt, key)
		s.avoidUntil[key], s.declinedAt[service] = now.Add(avoidTime), now
	case Unreachable:
		delete(s.provenAt, key)
		s.avoidUntil[serviceRouter{"", address}] = now.Add(avoidTime)
	}
}

// HasServedSince reports whether the router has served a request of any service after the given time.
func (s *Selector) HasServedSince(address string, since time.Time) bool {
	for key, provenAt := range s.provenAt {
		if key.address == address && provenAt.After(since) {
			return true
		}
	}
	return false
}

// sweep forgets what does not matter any more.
func (s *Selector) sweep(now time.Time) {
	if len(s.avoidUntil)+len(s.provenAt)+len(s.usedAt) < 8*maxListed {
		return
	}
	maps.DeleteFunc(s.avoidUntil, func(_ serviceRouter, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(s.provenAt, func(_ serviceRouter, at time.Time) bool { return now.Sub(at) >= provenTime })
	maps.DeleteFunc(s.usedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= referralLifetime })
}
