package membership

import (
	"time"
)

// pendingProbe is a probe that has not been acknowledged.
type pendingProbe struct {
	target   string
	zone     string
	deadline time.Time
}

// compensateOwnPause detects that this node did not run for longer than ProbeTimeout. It then
// discards pending probes and extends the timeouts of suspects and zones by the pause, because the
// node could not receive acks and refutations during that time.
//
// Invariant: a pause of the observing node alone makes no member suspect or dead.
func (c *Core) compensateOwnPause(now time.Time) {
	if c.lastTick.IsZero() || now.Sub(c.lastTick) <= c.settings.ProbeTimeout {
		return
	}
	pause := now.Sub(c.lastTick)
	clear(c.pendingProbes)
	for _, record := range c.members {
		if record.member.State == Suspect {
			record.changedAt = record.changedAt.Add(pause)
		}
	}
	for _, zone := range c.zones {
		zone.lastContact = zone.lastContact.Add(pause)
		zone.failedProbes = 0
	}
	c.emit(Event{Kind: EventPaused, Member: c.self})
}

// join contacts the seeds that this node has no record of. During JoinDuration after the start it
// does so often: if all nodes start at the same time, the first messages reach peers that do not
// listen yet, or the replies are lost because the connection back has just failed.
func (c *Core) join(now time.Time) {
	if c.joinUntil.IsZero() {
		c.joinUntil = now.Add(c.settings.JoinDuration)
	}
	if now.Before(c.nextJoin) {
		return
	}
	switch {
	case now.Before(c.joinUntil):
		c.nextJoin = now.Add(c.settings.JoinInterval)
	case c.KnowsPeers():
		return
	default:
		c.nextJoin = now.Add(c.settings.ProbeInterval)
	}
	c.contactUnknownSeeds()
}

// contactUnknownSeeds sends a probe and a list request to each seed whose address belongs to no
// known member.
func (c *Core) contactUnknownSeeds() {
	knownAddresses := map[string]bool{c.self.PeerAddress: true}
	for _, record := range c.members {
		knownAddresses[record.member.PeerAddress] = true
	}
	for _, address := range c.seeds {
		if knownAddresses[address] {
			continue
		}
		c.sequence++
		c.send("", address, c.newMessage(Probe, c.sequence))
		c.sequence++
		c.send("", address, c.newMessage(ListRequest, c.sequence))
	}
}

// probeNextInZone probes the next peer of this node's zone. Each round probes all peers once in a
// new random order.
func (c *Core) probeNextInZone(now time.Time) {
	peers := c.peerIDsInZone(c.self.Zone)
	if len(peers) == 0 {
		return
	}
	for len(c.probeOrder) > 0 {
		next := c.probeOrder[len(c.probeOrder)-1]
		c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
		record := c.members[next]
		if record != nil && record.member.State != Dead && record.member.Zone == c.self.Zone {
			c.probe(now, record.member)
			return
		}
	}
	c.probeOrder = peers
	c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	next := c.probeOrder[len(c.probeOrder)-1]
	c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
	c.probe(now, c.members[next].member)
}

// probeOtherZones probes up to CrossZoneProbes randomly chosen other zones.
func (c *Core) probeOtherZones(now time.Time) {
	zones := c.otherZones()
	c.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones[:min(len(zones), c.settings.CrossZoneProbes)] {
		c.probeZone(now, zone)
	}
}

// probeZone probes a random member of the zone that is not dead.
func (c *Core) probeZone(now time.Time, zone string) {
	peers := c.peerIDsInZone(zone)
	if len(peers) == 0 {
		return
	}
	c.probe(now, c.members[peers[c.random.IntN(len(peers))]].member)
}

// probe sends a probe and registers it as pending.
func (c *Core) probe(now time.Time, target Member) {
	c.sequence++
	c.pendingProbes[c.sequence] = pendingProbe{target: target.ID, zone: target.Zone, deadline: now.Add(c.settings.ProbeTimeout)}
	c.send(target.ID, target.PeerAddress, c.newMessage(Probe, c.sequence))
}

// expireProbes handles probes whose ack did not arrive in time. A target in this node's zone becomes
// a suspect.
func (c *Core) expireProbes(now time.Time) {
	for sequence, probe := range c.pendingProbes {
		if now.Before(probe.deadline) {
			continue
		}
		delete(c.pendingProbes, sequence)
		if probe.zone != c.self.Zone {
			// Only nodes of the same zone suspect a member. For other zones a failed probe
			// counts against the connection to the zone.
			c.zoneRecordFor(now, probe.zone).failedProbes++
			continue
		}
		record := c.members[probe.target]
		if record != nil && record.member.State < Suspect {
			suspect := record.member
			suspect.State = Suspect
			c.setMember(now, suspect)
		}
	}
}

// expireSuspects declares suspects of this node's zone dead after SuspicionTimeout and removes the
// records of dead members after DeadRetention.
func (c *Core) expireSuspects(now time.Time) {
	for id, record := range c.members {
		age := now.Sub(record.changedAt)
		switch {
		case record.member.State == Suspect && age >= c.settings.SuspicionTimeout && record.member.Zone == c.self.Zone:
			dead := record.member
			dead.State = Dead
			c.setMember(now, dead)
		case record.member.State == Dead && age >= c.settings.DeadRetention:
			delete(c.members, id)
			c.invalidateView()
			c.emit(Event{Kind: EventRemoved, Member: record.member})
		}
	}
}

// minFailedZoneProbes is the number of failed probes after which a zone is declared unreachable, if
// ZoneTimeout has passed too.
const minFailedZoneProbes = 2

// expireZones declares zones unreachable that this node, as a relay, has lost contact with.
func (c *Core) expireZones(now time.Time) {
	if !c.IsRelay() {
		return
	}
	for name, zone := range c.zones {
		lostContact := now.Sub(zone.lastContact) >= c.settings.ZoneTimeout && zone.failedProbes >= minFailedZoneProbes
		if lostContact && !zone.status.Unreachable {
			c.setZoneStatus(now, ZoneStatus{Zone: name, Unreachable: true, ObservedMillis: now.UnixMilli()})
		}
	}
}
