package membership

import (
	"slices"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Members returns all members with a record, including this node and dead ones, ordered by ID.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, record := range c.members {
		members = append(members, record.member)
	}
	slices.SortFunc(members, func(a, b Member) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return members
}

// Member returns the node with the ID. It returns false if there is no record of it.
func (c *Core) Member(id string) (Member, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	record := c.members[id]
	if record == nil {
		return Member{}, false
	}
	return record.member, true
}

// ZoneUnreachable reports whether the relays of this node's zone have lost contact with another zone.
func (c *Core) ZoneUnreachable(zone string) bool {
	record := c.zones[zone]
	return record != nil && record.status.Unreachable
}

// usable reports whether the member can be given duties, such as index shards, runner homes or
// watching the platform. A suspect stays usable, so that one lost probe does not move its duties away
// and back.
func (c *Core) usable(member Member) bool {
	return (member.State == Alive || member.State == Suspect) && !c.ZoneUnreachable(member.Zone)
}

// Usable returns the sorted IDs of all usable nodes that the filter accepts, including this node. A
// nil filter accepts all.
func (c *Core) Usable(accept func(Member) bool) []string {
	var ids []string
	addIfAccepted := func(member Member) {
		if c.usable(member) && (accept == nil || accept(member)) {
			ids = append(ids, member.ID)
		}
	}
	addIfAccepted(c.self)
	for _, record := range c.members {
		addIfAccepted(record.member)
	}
	slices.Sort(ids)
	return ids
}

// UsableInZone returns the sorted IDs of the usable nodes of a zone.
func (c *Core) UsableInZone(zone string) []string {
	return c.Usable(func(member Member) bool { return member.Zone == zone })
}

// relayKey and watcherKey are the rendezvous keys of the duties. They differ so that the duties
// usually fall to different nodes.
var (
	relayKey   = rendezvous.KeyOf("duty/relay")
	watcherKey = rendezvous.KeyOf("duty/watcher")
)

// IsRelay reports whether this node is one of its zone's relays, which probe other zones.
func (c *Core) IsRelay() bool { return c.currentView().isRelay }

// Watchers returns the IDs of up to count nodes of this zone that watch the platform, in order of
// rank.
func (c *Core) Watchers(count int) []string {
	return rendezvous.Ranked(c.currentView().usableInZone, watcherKey, count)
}

// peerIDsInZone returns the sorted IDs of the other nodes of a zone that are not dead.
func (c *Core) peerIDsInZone(zone string) []string {
	var ids []string
	for id, record := range c.members {
		if record.member.Zone == zone && record.member.State != Dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// PeersInZone returns the other usable nodes of this node's zone, ordered by ID.
func (c *Core) PeersInZone() []Member {
	var members []Member
	for _, id := range c.peerIDsInZone(c.self.Zone) {
		if member := c.members[id].member; c.usable(member) {
			members = append(members, member)
		}
	}
	return members
}

// otherZones returns the sorted names of the other zones that have members that are not dead.
func (c *Core) otherZones() []string {
	var zones []string
	for zone := range c.zones {
		if len(c.peerIDsInZone(zone)) > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
