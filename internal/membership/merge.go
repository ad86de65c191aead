package membership

import (
	"time"
)

// respond sends the reply to a message, and a list request if the sender's view differs.
func (c *Core) respond(now time.Time, message Message) {
	sender := message.Sender
	switch message.Kind {
	case Probe:
		c.send(sender.ID, sender.PeerAddress, c.newMessage(Ack, message.Sequence))
	case Ack:
		delete(c.pendingProbes, message.Sequence)
	case ListRequest:
		list := c.newMessage(List, message.Sequence)
		list.Updates = c.allMembers()
		c.send(sender.ID, sender.PeerAddress, list)
	}
	viewDiffers := message.Kind != ListRequest && message.Kind != List && message.ViewHash != c.viewHash()
	if viewDiffers && !now.Before(c.nextList) {
		// The jitter keeps the nodes of a zone from requesting lists at the same time.
		c.nextList = now.Add(c.settings.ListRequestInterval/2 + time.Duration(c.random.Int64N(int64(c.settings.ListRequestInterval))))
		c.sequence++
		c.send(sender.ID, sender.PeerAddress, c.newMessage(ListRequest, c.sequence))
	}
}

// checkDuplicateID emits an event if a sender with this node's ID is another process.
func (c *Core) checkDuplicateID(sender Member) {
	if sender.Incarnation != c.self.Incarnation {
		c.emit(Event{Kind: EventDuplicateID, Member: sender})
	}
}

// recordContact records that a message arrived directly from a member, which shows that the member's
// zone is reachable.
func (c *Core) recordContact(now time.Time, sender Member) {
	if record := c.members[sender.ID]; record != nil && record.member.Incarnation == sender.Incarnation {
		record.member.Revision = max(record.member.Revision, sender.Revision)
	}
	if sender.Zone == c.self.Zone {
		return
	}
	zone := c.zoneRecordFor(now, sender.Zone)
	zone.lastContact = now
	zone.failedProbes = 0
	if zone.status.Unreachable {
		c.setZoneStatus(now, ZoneStatus{Zone: sender.Zone, ObservedMillis: max(now.UnixMilli(), zone.status.ObservedMillis+1)})
	}
}

// mergeMember applies a member update if it supersedes the current record. Updates about this node
// itself go to refute. The death of a member without a record is ignored.
func (c *Core) mergeMember(now time.Time, update Member) {
	if update.ID == c.self.ID {
		c.refute(update)
		return
	}
	record := c.members[update.ID]
	if record == nil && update.State == Dead {
		return
	}
	if record == nil || supersedes(update, record.member) {
		c.setMember(now, update)
	}
}

// refute overrules an update that declares this node suspect or dead, by a higher refutation.
func (c *Core) refute(update Member) {
	if update.Incarnation > c.self.Incarnation {
		c.emit(Event{Kind: EventDuplicateID, Member: update})
		return
	}
	if update.Incarnation == c.self.Incarnation && update.State >= Suspect && update.Refutation >= c.self.Refutation {
		c.self.Refutation = update.Refutation + 1
	}
}

// setMember stores the member, queues the change for other nodes and emits an event.
func (c *Core) setMember(now time.Time, member Member) {
	record := c.members[member.ID]
	kind := EventChanged
	if record == nil || record.member.Incarnation != member.Incarnation {
		kind = EventJoined
	} else {
		member.Revision = max(member.Revision, record.member.Revision)
	}
	c.members[member.ID] = &memberRecord{member: member, changedAt: now}
	c.invalidateView()
	if member.Zone != c.self.Zone {
		c.zoneRecordFor(now, member.Zone)
	}
	c.enqueueUpdate(member.ID)
	c.emit(Event{Kind: kind, Member: member})
}

// zoneRecordFor returns the record of a zone and creates it if there is none.
func (c *Core) zoneRecordFor(now time.Time, name string) *zoneRecord {
	zone := c.zones[name]
	if zone == nil {
		zone = &zoneRecord{status: ZoneStatus{Zone: name}, lastContact: now}
		c.zones[name] = zone
	}
	return zone
}

// mergeZone applies a zone status if it was observed after the current one.
func (c *Core) mergeZone(now time.Time, status ZoneStatus) {
	if status.Zone == c.self.Zone {
		return
	}
	current := c.zoneRecordFor(now, status.Zone)
	if status.ObservedMillis > current.status.ObservedMillis {
		c.setZoneStatus(now, status)
	}
}

// setZoneStatus stores the status of a zone and emits an event if its reachability changed.
func (c *Core) setZoneStatus(now time.Time, status ZoneStatus) {
	zone := c.zoneRecordFor(now, status.Zone)
	changed := zone.status.Unreachable != status.Unreachable
	zone.status = status
	c.invalidateView()
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

// minUnlistedAge is the time for which a member's record must be unchanged before a list that lacks
// the member overrules it.
const minUnlistedAge = time.Minute

// markUnlistedDead marks members of another zone as dead that are missing from a list sent by a node
// of that zone. The zone's own list is authoritative: a missing member died and its record has been
// removed there since.
func (c *Core) markUnlistedDead(now time.Time, message Message) {
	listed := make(map[string]bool, len(message.Updates))
	for _, update := range message.Updates {
		listed[update.ID] = true
	}
	for id, record := range c.members {
		unlisted := record.member.Zone == message.Sender.Zone && record.member.Zone != c.self.Zone && !listed[id]
		if unlisted && record.member.State != Dead && now.Sub(record.changedAt) >= minUnlistedAge {
			dead := record.member
			dead.State = Dead
			c.setMember(now, dead)
		}
	}
}
