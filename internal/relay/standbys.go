package relay

import (
	"cmp"
	"slices"
	"time"
)

// The schedulers of a region are its seeds and up to maxStandbys standby schedulers, routers that
// place requests when no seed of the region does. The seed that a router pulls from selects them, so
// they hold no lease and need no agreement: two seeds may select different ones, which only means
// that the routers of the region ask different schedulers.

const (
	// maxStandbys is the number of standby schedulers of a region: one to ask, and one for its loss.
	maxStandbys = 2
	// standbyTimeout is how long a standby scheduler stays selected after its last pull. Followers
	// pull every 0.15 to 0.45 s, and on a lossy link some of them more than a second apart: the
	// timeout of a pull, failureBackoff and an interval.
	standbyTimeout = 2 * time.Second
)

// StandbySelector selects the standby schedulers of each region at a seed, from the routers that pull
// from it. The selection is stable: a live standby scheduler is replaced only by a router of at least
// replacementFactor times its capacity. A StandbySelector is not safe for concurrent use.
type StandbySelector struct {
	// regions holds the followers of each region.
	regions map[string]*regionFollowers
}

// regionFollowers are the followers of one region.
type regionFollowers struct {
	followers map[string]standbyCandidate
	// standbys are the addresses of the standby schedulers in the order in which to ask them, which
	// is that of their selection.
	standbys []string
}

// standbyCandidate is what the seed knows of a follower from its last pull.
type standbyCandidate struct {
	capacity int
	lastPull time.Time
}

// NewStandbySelector returns a selector without followers.
func NewStandbySelector() *StandbySelector {
	return &StandbySelector{regions: map[string]*regionFollowers{}}
}

// RecordPull records that a router of the region pulled from this seed. Routers of a version that
// names no region are ignored.
func (s *StandbySelector) RecordPull(now time.Time, address, region string, capacity int) {
	if address == "" || region == "" {
		return
	}
	if s.regions[region] == nil {
		s.regions[region] = &regionFollowers{followers: map[string]standbyCandidate{}}
	}
	s.regions[region].followers[address] = standbyCandidate{capacity: max(capacity, 1), lastPull: now}
}

// Forget removes a router of the region that will pull from another one.
func (s *StandbySelector) Forget(address, region string) {
	if known := s.regions[region]; known != nil {
		delete(known.followers, address)
	}
}

// Standbys returns the standby schedulers of the region in the order in which to ask them.
func (s *StandbySelector) Standbys(now time.Time, region string) []string {
	known := s.regions[region]
	if known == nil {
		return nil
	}
	known.update(now)
	return slices.Clone(known.standbys)
}

// update removes the routers that no longer pull, fills free places, and replaces weak standby
// schedulers.
func (r *regionFollowers) update(now time.Time) {
	for address, follower := range r.followers {
		if now.Sub(follower.lastPull) > standbyTimeout {
			delete(r.followers, address)
		}
	}
	r.standbys = slices.DeleteFunc(r.standbys, func(address string) bool {
		_, live := r.followers[address]
		return !live
	})
	for {
		best, found := r.bestFollower()
		if !found {
			return
		}
		if len(r.standbys) < maxStandbys {
			r.standbys = append(r.standbys, best)
			continue
		}
		weakest := r.weakestStandby()
		if r.followers[best].capacity < replacementFactor*r.followers[r.standbys[weakest]].capacity {
			return
		}
		r.standbys[weakest] = best
	}
}

// bestFollower returns the follower with the highest capacity that is no standby scheduler. Ties are
// broken by address.
func (r *regionFollowers) bestFollower() (best string, found bool) {
	for address, follower := range r.followers {
		if slices.Contains(r.standbys, address) {
			continue
		}
		if !found || cmp.Or(cmp.Compare(follower.capacity, r.followers[best].capacity), cmp.Compare(best, address)) > 0 {
			best, found = address, true
		}
	}
	return best, found
}

// weakestStandby returns the index of the standby scheduler with the lowest capacity, the last one
// of equals.
func (r *regionFollowers) weakestStandby() int {
	weakest := 0
	for i, address := range r.standbys {
		if r.followers[address].capacity <= r.followers[r.standbys[weakest]].capacity {
			weakest = i
		}
	}
	return weakest
}
