package membership

import (
	"slices"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Members returns all known members including this node, ordered by ID.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, known := range c.members {
		members = append(members, known.member)
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

// Member returns the record of a node.
func (c *Core) Member(id string) (Member, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	known := c.members[id]
	if known == nil {
		return Member{}, false
	}
	return known.member, true
}

// ZoneUnreachable tells whether the zone's relays lost contact with the other zone.
func (c *Core) ZoneUnreachable(zone string) bool {
	known := c.zones[zone]
	return known != nil && known.status.Unreachable
}

// usable tells whether the member may be given duties. A suspect keeps its
// duties, so that one lost heartbeat does not move them twice.
func (c *Core) usable(member Member) bool {
	return (member.State == Alive || member.State == Suspect) && !c.ZoneUnreachable(member.Zone)
}

// Usable returns the IDs of the nodes that may be given duties, in all zones
// that the filter admits; nil admits all.
func (c *Core) Usable(admit func(Member) bool) []string {
	var ids []string
	consider := func(member Member) {
		if c.usable(member) && (admit == nil || admit(member)) {
			ids = append(ids, member.ID)
		}
	}
	consider(c.self)
	for _, known := range c.members {
		consider(known.member)
	}
	slices.Sort(ids)
	return ids
}

// UsableInZone returns the IDs of the usable nodes of a zone.
func (c *Core) UsableInZone(zone string) []string {
	return c.Usable(func(member Member) bool { return member.Zone == zone })
}

// relayKey and watcherKey pick different nodes for different duties.
var (
	relayKey   = rendezvous.KeyOf("duty/relay")
	watcherKey = rendezvous.KeyOf("duty/watcher")
)

// IsRelay tells whether this node probes other zones.
func (c *Core) IsRelay() bool { return c.derive().isRelay }

// Watchers returns the count nodes of this zone that read from the platform, the first one first.
func (c *Core) Watchers(count int) []string {
	return rendezvous.Ranked(c.derive().inZone, watcherKey, count)
}

// peersInZone returns the other nodes of a zone that are not dead, ordered.
func (c *Core) peersInZone(zone string) []string {
	var ids []string
	for id, known := range c.members {
		if known.member.Zone == zone && known.member.State != Dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// PeersInZone returns the other usable nodes of this node's zone, ordered.
func (c *Core) PeersInZone() []Member {
	var members []Member
	for _, id := range c.peersInZone(c.self.Zone) {
		if member := c.members[id].member; c.usable(member) {
			members = append(members, member)
		}
	}
	return members
}

func (c *Core) otherZones() []string {
	var zones []string
	for zone := range c.zones {
		if len(c.peersInZone(zone)) > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
