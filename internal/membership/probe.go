package membership

import (
	"time"
)

// pendingProbe is a probe without its ack.
type pendingProbe struct {
	target   string
	zone     string
	deadline time.Time
}

// checkOwnPause keeps a node that was frozen from judging the others by acks
// that it could not have read: invariant, a pause of the observer alone makes
// no member suspect or dead.
func (c *Core) checkOwnPause(now time.Time) {
	if c.lastTick.IsZero() || now.Sub(c.lastTick) <= c.settings.ProbeTimeout {
		return
	}
	pause := now.Sub(c.lastTick)
	clear(c.pending)
	for _, known := range c.members {
		if known.member.State == Suspect {
			known.changed = known.changed.Add(pause)
		}
	}
	for _, zone := range c.zones {
		zone.lastContact = zone.lastContact.Add(pause)
		zone.failures = 0
	}
	c.emit(Event{Kind: EventPaused, Member: c.self})
}

// join contacts the seeds that have not been heard of. Just after the start this
// is done often: where all nodes start together, the first messages meet peers that
// do not listen yet, or whose answer is lost on a path that has just failed.
func (c *Core) join(now time.Time) {
	if c.joinUntil.IsZero() {
		c.joinUntil = now.Add(c.settings.JoinTime)
	}
	if now.Before(c.nextJoin) {
		return
	}
	switch {
	case now.Before(c.joinUntil):
		c.nextJoin = now.Add(c.settings.JoinInterval)
	case c.KnowsOthers():
		return
	default:
		c.nextJoin = now.Add(c.settings.ProbeInterval)
	}
	c.contactUnknownSeeds()
}

func (c *Core) contactUnknownSeeds() {
	heardOf := map[string]bool{c.self.PeerAddress: true}
	for _, known := range c.members {
		heardOf[known.member.PeerAddress] = true
	}
	for _, address := range c.seeds {
		if heardOf[address] {
			continue
		}
		c.sequence++
		c.send("", address, c.message(Probe, c.sequence))
		c.sequence++
		c.send("", address, c.message(ListRequest, c.sequence))
	}
}

func (c *Core) probeNextInZone(now time.Time) {
	peers := c.peersInZone(c.self.Zone)
	if len(peers) == 0 {
		return
	}
	for len(c.order) > 0 {
		next := c.order[len(c.order)-1]
		c.order = c.order[:len(c.order)-1]
		known := c.members[next]
		if known != nil && known.member.State != Dead && known.member.Zone == c.self.Zone {
			c.probe(now, known.member)
			return
		}
	}
	c.order = peers
	c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	next := c.order[len(c.order)-1]
	c.order = c.order[:len(c.order)-1]
	c.probe(now, c.members[next].member)
}

func (c *Core) probeOtherZones(now time.Time) {
	zones := c.otherZones()
	c.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones[:min(len(zones), c.settings.CrossProbes)] {
		c.probeZone(now, zone)
	}
}

func (c *Core) probeZone(now time.Time, zone string) {
	peers := c.peersInZone(zone)
	if len(peers) == 0 {
		return
	}
	c.probe(now, c.members[peers[c.random.IntN(len(peers))]].member)
}

func (c *Core) probe(now time.Time, target Member) {
	c.sequence++
	c.pending[c.sequence] = pendingProbe{target: target.ID, zone: target.Zone, deadline: now.Add(c.settings.ProbeTimeout)}
	c.send(target.ID, target.PeerAddress, c.message(Probe, c.sequence))
}

func (c *Core) expireProbes(now time.Time) {
	for sequence, probe := range c.pending {
		if now.Before(probe.deadline) {
			continue
		}
		delete(c.pending, sequence)
		if probe.zone != c.self.Zone {
			// Only a zone's own nodes judge its members; from outside, a lost
			// probe is evidence about the path.
			c.zone(now, probe.zone).failures++
			continue
		}
		known := c.members[probe.target]
		if known != nil && known.member.State < Suspect {
			suspect := known.member
			suspect.State = Suspect
			c.adopt(now, suspect)
		}
	}
}

func (c *Core) expireSuspects(now time.Time) {
	for id, known := range c.members {
		age := now.Sub(known.changed)
		switch {
		case known.member.State == Suspect && age >= c.settings.SuspicionTimeout && known.member.Zone == c.self.Zone:
			dead := known.member
			dead.State = Dead
			c.adopt(now, dead)
		case known.member.State == Dead && age >= c.settings.ForgetAfter:
			delete(c.members, id)
			c.changed()
			c.emit(Event{Kind: EventForgotten, Member: known.member})
		}
	}
}

// minZoneFailures is how many lost probes, besides the time, make a zone unreachable.
const minZoneFailures = 2

func (c *Core) checkZones(now time.Time) {
	if !c.IsRelay() {
		return
	}
	for name, zone := range c.zones {
		silent := now.Sub(zone.lastContact) >= c.settings.ZoneTimeout && zone.failures >= minZoneFailures
		if silent && !zone.status.Unreachable {
			c.adoptZone(now, ZoneStatus{Zone: name, Unreachable: true, ObservedMillis: now.UnixMilli()})
		}
	}
}
