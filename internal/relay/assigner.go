package relay

import "time"

// A seed with many followers assigns most of them to another router of their zone, a relay, which
// pulls from the seed and responds to their pulls. A relay holds no lease and needs no agreement:
// it is a relay as long as it pulls from the seed and the seed assigns others to it. Several relays
// in one zone do no harm. A relay that stops pulling is dropped within relayTimeout. Its followers
// then pull from the seeds again, and one of them becomes the next relay.

const (
	// relayTimeout is how long a relay stays known after its last pull. Relays pull every 0.15 to
	// 0.45 s.
	relayTimeout = time.Second
	// replacementFactor is the minimum ratio of a router's capacity to that of a relay for the
	// router to replace the relay. A smaller gain is not worth moving the followers.
	replacementFactor = 2
)

// Router describes a router that pulls changes from a seed.
type Router struct {
	Address string
	// Zone is empty for routers of a version without support for relays.
	Zone string
	// Capacity is how many followers it can serve, estimated by the router itself from its machine.
	Capacity int
	// Followers is its current number of followers.
	Followers int
}

// Assigner decides on a seed which routers are relays of their zones, and assigns other routers to
// them. The caller passes the time. An Assigner is not safe for concurrent use.
type Assigner struct {
	// relays holds the relays of each zone by address.
	relays map[string]map[string]*relayState
}

// relayState is what the seed knows of a relay.
type relayState struct {
	// capacity and followers are from the relay's last pull.
	capacity  int
	followers int
	// assigned counts the routers newly assigned to the relay since its last pull.
	assigned int
	lastPull time.Time
}

// freeCapacity returns how many more followers the relay can serve. It may be negative.
func (r *relayState) freeCapacity() int { return r.capacity - r.followers - r.assigned }

// NewAssigner returns an assigner without relays.
func NewAssigner() *Assigner { return &Assigner{relays: map[string]map[string]*relayState{}} }

// RelayCount returns the number of relays of all zones.
func (a *Assigner) RelayCount() int {
	count := 0
	for _, zone := range a.relays {
		count += len(zone)
	}
	return count
}

// Assign returns the address of the relay that the router must pull from, or "" if it must keep
// pulling from the seed. The first relay of a zone is chosen only if the seed is overloaded.
func (a *Assigner) Assign(now time.Time, router Router, overloaded bool) string {
	if router.Zone == "" || router.Address == "" {
		return ""
	}
	relays := a.activeRelays(now, router.Zone)
	known := relays[router.Address]
	if known == nil && len(relays) == 0 && !overloaded {
		return ""
	}
	if known != nil {
		known.capacity, known.followers, known.assigned, known.lastPull = router.Capacity, router.Followers, 0, now
	}
	best, found := mostFreeCapacity(relays, router.Address)
	switch {
	case known != nil:
		replace := found && relays[best].capacity >= replacementFactor*known.capacity && relays[best].freeCapacity() > known.followers
		if !replace {
			return ""
		}
		delete(relays, router.Address)
	case !found || relays[best].freeCapacity() <= 0 || router.Capacity >= replacementFactor*relays[best].capacity:
		relays[router.Address] = &relayState{capacity: router.Capacity, followers: router.Followers, lastPull: now}
		return ""
	}
	relays[best].assigned += 1 + router.Followers
	return best
}

// activeRelays removes the relays of the zone that have timed out and returns the others.
func (a *Assigner) activeRelays(now time.Time, zone string) map[string]*relayState {
	relays := a.relays[zone]
	if relays == nil {
		relays = map[string]*relayState{}
		a.relays[zone] = relays
	}
	for address, relay := range relays {
		if now.Sub(relay.lastPull) > relayTimeout {
			delete(relays, address)
		}
	}
	return relays
}

// mostFreeCapacity returns the relay with the most free capacity other than the excluded one. Ties
// are broken by address.
func mostFreeCapacity(relays map[string]*relayState, excluded string) (best string, found bool) {
	for address, relay := range relays {
		if address == excluded {
			continue
		}
		if !found || relay.freeCapacity() > relays[best].freeCapacity() || (relay.freeCapacity() == relays[best].freeCapacity() && address < best) {
			best, found = address, true
		}
	}
	return best, found
}
