package relay

import "time"

// A seed that many routers ask refers most of them to another router of their
// zone, a relay, which asks the seed and answers them. A relay holds no lease and
// needs no agreement: it is one as long as it asks the seed and the seed refers
// others to it, and several at once do no harm. One that falls silent is forgotten
// within relayPatience; its followers ask the seeds again, and one of them becomes
// the next.

const (
	// relayPatience is how long a relay counts after it was heard of: it asks each
	// 0.15 to 0.45 s.
	relayPatience = time.Second
	// strongerFactor is how much more a router must be able to carry to take the
	// place of a relay; a small difference is not worth the move of its followers.
	strongerFactor = 2
)

// Asker is a router that asks a seed for changes.
type Asker struct {
	Address string
	// Zone is empty for routers of a version that knows no relays.
	Zone string
	// Capacity is how many routers it can answer, by what it knows of its machine.
	Capacity int
	// Followers is how many ask it now.
	Followers int
}

// Assigner decides at a seed which routers are relays of their zone, and refers
// others to them. It has no clock and is not safe for concurrent use.
type Assigner struct {
	// relays holds those of each zone by address.
	relays map[string]map[string]*assigned
}

// assigned is a relay as the seed sees it.
type assigned struct {
	// capacity and followers are what it said with its last pull.
	capacity  int
	followers int
	// referred counts the routers referred to it since it was heard of.
	referred int
	heardAt  time.Time
}

func (a *assigned) room() int { return a.capacity - a.followers - a.referred }

// NewAssigner returns an assigner without relays.
func NewAssigner() *Assigner { return &Assigner{relays: map[string]map[string]*assigned{}} }

// Relays counts the relays of all zones.
func (a *Assigner) Relays() int {
	count := 0
	for _, zone := range a.relays {
		count += len(zone)
	}
	return count
}

// Assign returns the relay that the asker is to ask from now on, or "" when it is
// to go on asking the seed. The first relay of a zone is chosen only when the seed
// is crowded.
func (a *Assigner) Assign(now time.Time, asker Asker, crowded bool) string {
	if asker.Zone == "" || asker.Address == "" {
		return ""
	}
	relays := a.alive(now, asker.Zone)
	known := relays[asker.Address]
	if known == nil && len(relays) == 0 && !crowded {
		return ""
	}
	if known != nil {
		known.capacity, known.followers, known.referred, known.heardAt = asker.Capacity, asker.Followers, 0, now
	}
	best, found := mostRoom(relays, asker.Address)
	switch {
	case known != nil:
		replaced := found && relays[best].capacity >= strongerFactor*known.capacity && relays[best].room() > known.followers
		if !replaced {
			return ""
		}
		delete(relays, asker.Address)
	case !found || relays[best].room() <= 0 || asker.Capacity >= strongerFactor*relays[best].capacity:
		relays[asker.Address] = &assigned{capacity: asker.Capacity, followers: asker.Followers, heardAt: now}
		return ""
	}
	relays[best].referred += 1 + asker.Followers
	return best
}

// alive returns the zone's relays after those that fell silent were forgotten.
func (a *Assigner) alive(now time.Time, zone string) map[string]*assigned {
	relays := a.relays[zone]
	if relays == nil {
		relays = map[string]*assigned{}
		a.relays[zone] = relays
	}
	for address, relay := range relays {
		if now.Sub(relay.heardAt) > relayPatience {
			delete(relays, address)
		}
	}
	return relays
}

// mostRoom returns the relay that can take most further followers, except the
// address; among equals the first by name.
func mostRoom(relays map[string]*assigned, except string) (best string, found bool) {
	for address, relay := range relays {
		if address == except {
			continue
		}
		if !found || relay.room() > relays[best].room() || (relay.room() == relays[best].room() && address < best) {
			best, found = address, true
		}
	}
	return best, found
}
