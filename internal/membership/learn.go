package membership

import (
	"time"
)

func (c *Core) answer(now time.Time, message Message) {
	sender := message.Sender
	switch message.Kind {
	case Probe:
		c.send(sender.ID, sender.PeerAddress, c.message(Ack, message.Sequence))
	case Ack:
		delete(c.pending, message.Sequence)
	case ListRequest:
		list := c.message(List, message.Sequence)
		list.Updates = c.list()
		c.send(sender.ID, sender.PeerAddress, list)
	}
	differs := message.Kind != ListRequest && message.Kind != List && message.ViewHash != c.viewHash()
	if differs && !now.Before(c.nextList) {
		// Jitter keeps a zone's nodes from asking all at once.
		c.nextList = now.Add(c.settings.ListInterval/2 + time.Duration(c.random.Int64N(int64(c.settings.ListInterval))))
		c.sequence++
		c.send(sender.ID, sender.PeerAddress, c.message(ListRequest, c.sequence))
	}
}

func (c *Core) checkDuplicate(sender Member) {
	if sender.Incarnation != c.self.Incarnation {
		c.emit(Event{Kind: EventDuplicateID, Member: sender})
	}
}

// contact notes a message that came straight from a member: it is evidence
// that the member and the path to its zone work.
func (c *Core) contact(now time.Time, sender Member) {
	if known := c.members[sender.ID]; known != nil && known.member.Incarnation == sender.Incarnation {
		known.member.Revision = max(known.member.Revision, sender.Revision)
	}
	if sender.Zone == c.self.Zone {
		return
	}
	zone := c.zone(now, sender.Zone)
	zone.lastContact = now
	zone.failures = 0
	if zone.status.Unreachable {
		c.adoptZone(now, ZoneStatus{Zone: sender.Zone, ObservedMillis: max(now.UnixMilli(), zone.status.ObservedMillis+1)})
	}
}

func (c *Core) learn(now time.Time, update Member) {
	if update.ID == c.self.ID {
		c.refute(update)
		return
	}
	known := c.members[update.ID]
	if known == nil && update.State == Dead {
		return
	}
	if known == nil || supersedes(update, known.member) {
		c.adopt(now, update)
	}
}

// refute overrules a false belief about this node.
func (c *Core) refute(update Member) {
	if update.Incarnation > c.self.Incarnation {
		c.emit(Event{Kind: EventDuplicateID, Member: update})
		return
	}
	if update.Incarnation == c.self.Incarnation && update.State >= Suspect && update.Refutation >= c.self.Refutation {
		c.self.Refutation = update.Refutation + 1
	}
}

func (c *Core) adopt(now time.Time, member Member) {
	known := c.members[member.ID]
	kind := EventChanged
	if known == nil || known.member.Incarnation != member.Incarnation {
		kind = EventJoined
	} else {
		member.Revision = max(member.Revision, known.member.Revision)
	}
	c.members[member.ID] = &record{member: member, changed: now}
	c.changed()
	if member.Zone != c.self.Zone {
		c.zone(now, member.Zone)
	}
	c.enqueue(member.ID)
	c.emit(Event{Kind: kind, Member: member})
}

func (c *Core) zone(now time.Time, name string) *zoneRecord {
	zone := c.zones[name]
	if zone == nil {
		zone = &zoneRecord{status: ZoneStatus{Zone: name}, lastContact: now}
		c.zones[name] = zone
	}
	return zone
}

func (c *Core) learnZone(now time.Time, status ZoneStatus) {
	if status.Zone == c.self.Zone {
		return
	}
	current := c.zone(now, status.Zone)
	if status.ObservedMillis > current.status.ObservedMillis {
		c.adoptZone(now, status)
	}
}

func (c *Core) adoptZone(now time.Time, status ZoneStatus) {
	zone := c.zone(now, status.Zone)
	changed := zone.status.Unreachable != status.Unreachable
	zone.status = status
	c.changed()
	if !status.Unreachable {
		zone.lastContact = now
	}
	if !changed {
		return
	}
	kind := EventZoneReachable
	if status.Unreachable {
		kind = EventZoneUnreachable
	}
	c.emit(Event{Kind: kind, Zone: status.Zone})
}

// settledAge is how long a belief must have stood before a list that lacks the
// member overrules it.
const settledAge = time.Minute

// dropMissing takes a zone's own list as the truth about its members: one that
// the zone has forgotten by now is dead.
func (c *Core) dropMissing(now time.Time, message Message) {
	listed := make(map[string]bool, len(message.Updates))
	for _, update := range message.Updates {
		listed[update.ID] = true
	}
	for id, known := range c.members {
		forgotten := known.member.Zone == message.Sender.Zone && known.member.Zone != c.self.Zone && !listed[id]
		if forgotten && known.member.State != Dead && now.Sub(known.changed) >= settledAge {
			dead := known.member
			dead.State = Dead
			c.adopt(now, dead)
		}
	}
}
