package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Settings are the times and sizes of the protocol.
type Settings struct {
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// ZoneTimeout is how long without contact makes a zone unreachable.
	ZoneTimeout time.Duration
	// CrossProbes is the number of probes a relay sends to other zones an interval.
	CrossProbes int
	// MaxUpdates bounds the member changes carried on one message.
	MaxUpdates int
	// ListInterval is the least time between two requests for a full list.
	ListInterval time.Duration
	// ForgetAfter is how long a dead member is remembered.
	ForgetAfter time.Duration
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:    time.Second,
		ProbeTimeout:     600 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		ZoneTimeout:      5 * time.Second,
		CrossProbes:      2,
		MaxUpdates:       6,
		ListInterval:     30 * time.Second,
		ForgetAfter:      10 * time.Minute,
	}
}

// RelaysPerZone is how many nodes of a zone probe the other zones.
const RelaysPerZone = 2

// record is a member with the local times of the belief.
type record struct {
	member Member
	// changed is when the belief was taken up.
	changed time.Time
}

// pendingProbe is a probe without its ack.
type pendingProbe struct {
	target   string
	zone     string
	deadline time.Time
}

// gossip is a change still to be carried on messages.
type gossip struct {
	id    string
	sends int
}

// zoneRecord is the belief about another zone.
type zoneRecord struct {
	status      ZoneStatus
	lastContact time.Time
	failures    int
}

// Core is the membership state machine of one node.
type Core struct {
	settings Settings
	random   *rand.Rand
	self     Member
	seeds    []string

	members map[string]*record
	zones   map[string]*zoneRecord
	pending map[uint64]pendingProbe
	queue   []gossip

	// cached is derived from the members and zones, and dropped when they change.
	cached derived

	sequence  uint64
	order     []string
	lastTick  time.Time
	nextProbe time.Time
	nextList  time.Time
	ready     Ready
}

// derived is what is asked for often and changes seldom.
type derived struct {
	known    bool
	inZone   []string
	isRelay  bool
	viewHash uint64
}

// changed drops what was derived from the members and zones.
func (c *Core) changed() { c.cached = derived{} }

func (c *Core) derive() *derived {
	if !c.cached.known {
		inZone := c.UsableInZone(c.self.Zone)
		relays := rendezvous.Ranked(inZone, relayKey, RelaysPerZone)
		c.cached = derived{known: true, inZone: inZone, isRelay: slices.Contains(relays, c.self.ID), viewHash: c.hashView()}
	}
	return &c.cached
}

// NewCore returns the state machine of the node self. Seeds are peer addresses
// to join through; its own address among them does no harm.
func NewCore(self Member, seeds []string, settings Settings, random *rand.Rand) *Core {
	return &Core{
		settings: settings,
		random:   random,
		self:     self,
		seeds:    seeds,
		members:  map[string]*record{},
		zones:    map[string]*zoneRecord{},
		pending:  map[uint64]pendingProbe{},
	}
}

// Self returns the node's own record.
func (c *Core) Self() Member { return c.self }

// SetRevision records the configuration revision in force on this node.
func (c *Core) SetRevision(revision uint64) { c.self.Revision = revision }

// Leave announces that this node finishes its work and takes no new duties.
func (c *Core) Leave(now time.Time) {
	if c.self.State == Leaving {
		return
	}
	c.self.State = Leaving
	c.self.Refutation++
	c.changed()
	for _, id := range c.peersInZone(c.self.Zone) {
		c.probe(now, c.members[id].member)
	}
	for _, zone := range c.otherZones() {
		c.probeZone(now, zone)
	}
}

// TakeReady returns what is to be sent and reported, and clears it.
func (c *Core) TakeReady() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick advances the state machine to now. It is to be called several times a
// probe interval.
func (c *Core) Tick(now time.Time) {
	c.checkOwnPause(now)
	c.lastTick = now
	c.expireProbes(now)
	c.expireSuspects(now)
	c.checkZones(now)
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(c.settings.ProbeInterval)
	if !c.KnowsOthers() {
		c.contactSeeds(now)
		return
	}
	c.probeNextInZone(now)
	if c.IsRelay() {
		c.probeOtherZones(now)
	}
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

// KnowsOthers tells whether this node has heard of any other node.
func (c *Core) KnowsOthers() bool { return len(c.members) > 0 }

func (c *Core) contactSeeds(now time.Time) {
	for _, address := range c.seeds {
		if address == c.self.PeerAddress {
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

// Step takes a message from another node.
func (c *Core) Step(now time.Time, message Message) {
	if message.Sender.ID == c.self.ID {
		c.checkDuplicate(message.Sender)
		return
	}
	c.learn(now, message.Sender)
	c.contact(now, message.Sender)
	for _, update := range message.Updates {
		c.learn(now, update)
		if message.Kind == List {
			c.shorten(update.ID)
		}
	}
	if message.Kind == List {
		c.dropMissing(now, message)
	}
	for _, status := range message.Zones {
		if message.Sender.Zone == c.self.Zone {
			c.learnZone(now, status)
		}
	}
	c.answer(now, message)
}

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

// enqueue makes a change ride on the next messages.
func (c *Core) enqueue(id string) {
	c.queue = slices.DeleteFunc(c.queue, func(g gossip) bool { return g.id == id })
	sends := 3 * bits.Len(uint(len(c.members)+1))
	c.queue = append(c.queue, gossip{id: id, sends: sends})
}

// listSends is how often a change that was learnt from a list is carried on:
// whoever lacks it can get the list too.
const listSends = 2

// shorten makes a change that was just learnt from a list ride on few messages,
// so that a start of all nodes does not fill heartbeats for minutes.
func (c *Core) shorten(id string) {
	for i := range c.queue {
		if c.queue[i].id == id {
			c.queue[i].sends = min(c.queue[i].sends, listSends)
		}
	}
}

// takeUpdates returns the changes to carry, those sent least first.
func (c *Core) takeUpdates() []Member {
	count := min(len(c.queue), c.settings.MaxUpdates)
	if count == 0 {
		return nil
	}
	slices.SortStableFunc(c.queue, func(a, b gossip) int { return cmp.Compare(b.sends, a.sends) })
	updates := make([]Member, 0, count)
	for i := range count {
		if known := c.members[c.queue[i].id]; known != nil {
			updates = append(updates, known.member)
		}
		c.queue[i].sends--
	}
	c.queue = slices.DeleteFunc(c.queue, func(g gossip) bool { return g.sends <= 0 })
	return updates
}

func (c *Core) message(kind MessageKind, sequence uint64) Message {
	message := Message{Kind: kind, Sequence: sequence, Sender: c.self, ViewHash: c.viewHash()}
	if kind == Probe || kind == Ack {
		message.Updates = c.takeUpdates()
		message.Zones = c.zoneStatuses()
	}
	return message
}

func (c *Core) zoneStatuses() []ZoneStatus {
	var statuses []ZoneStatus
	for _, zone := range c.zones {
		if zone.status.ObservedMillis > 0 {
			statuses = append(statuses, zone.status)
		}
	}
	return statuses
}

// send queues a message. A member that is suspected or held dead is always told
// so, as it alone can refute it; without this, a node that everybody had
// forgotten to tell would stay out for good.
func (c *Core) send(to, address string, message Message) {
	if known := c.members[to]; known != nil && known.member.State >= Suspect {
		message.Updates = append(message.Updates, known.member)
	}
	c.ready.Messages = append(c.ready.Messages, Outgoing{To: to, Address: address, Message: message})
}

func (c *Core) emit(event Event) { c.ready.Events = append(c.ready.Events, event) }

func (c *Core) viewHash() uint64 { return c.derive().viewHash }

// hashView is the exclusive or of one hash a member, so that it does not depend on order.
func (c *Core) hashView() uint64 {
	hash := memberHash(c.self)
	for _, known := range c.members {
		if known.member.State != Dead {
			hash ^= memberHash(known.member)
		}
	}
	return hash
}

func memberHash(member Member) uint64 {
	return rendezvous.Weight(member.ID, member.Incarnation) ^ xxhash.Sum64String(member.ID)
}

// list returns all known members, the dead ones too while they are remembered:
// another zone that missed the news learns it here.
func (c *Core) list() []Member {
	members := []Member{c.self}
	for _, known := range c.members {
		members = append(members, known.member)
	}
	return members
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
