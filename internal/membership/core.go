package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Settings are the parameters of the membership protocol.
type Settings struct {
	// ProbeInterval is the time between two probes of a node to its own zone, and between the
	// rounds of probes of a relay to other zones.
	ProbeInterval time.Duration
	// ProbeTimeout is the time within which a probe must be acknowledged.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect that has not refuted is declared dead.
	SuspicionTimeout time.Duration
	// ZoneTimeout is the time without contact after which a zone can be declared unreachable.
	ZoneTimeout time.Duration
	// CrossZoneProbes is the number of probes that a relay sends to other zones per ProbeInterval.
	CrossZoneProbes int
	// MaxUpdatesPerMessage is the maximum number of queued member updates in a probe or an ack.
	MaxUpdatesPerMessage int
	// JoinInterval is the interval at which a node contacts seeds that it has no member record of,
	// during the first JoinDuration after its start.
	JoinInterval time.Duration
	JoinDuration time.Duration
	// ListRequestInterval is the mean time between two requests for a full member list. The
	// interval varies by up to 50%.
	ListRequestInterval time.Duration
	// DeadRetention is how long the record of a dead member is kept.
	DeadRetention time.Duration
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:        time.Second,
		ProbeTimeout:         600 * time.Millisecond,
		SuspicionTimeout:     3 * time.Second,
		ZoneTimeout:          5 * time.Second,
		CrossZoneProbes:      2,
		MaxUpdatesPerMessage: 6,
		// Longer than the 100 ms for which a peer is not dialled again after a failed dial.
		// Messages to the peer are lost during that time.
		JoinInterval:        200 * time.Millisecond,
		JoinDuration:        2 * time.Second,
		ListRequestInterval: 30 * time.Second,
		DeadRetention:       10 * time.Minute,
	}
}

// RelaysPerZone is the number of relays of a zone, which are the nodes that probe other zones.
const RelaysPerZone = 2

// memberRecord is what this node knows about another node.
type memberRecord struct {
	member Member
	// changedAt is the local time at which the member record last changed.
	changedAt time.Time
}

// zoneRecord is what this node knows about another zone.
type zoneRecord struct {
	status ZoneStatus
	// lastContact is when a message from a node of the zone last arrived.
	lastContact time.Time
	// failedProbes is the number of probes to the zone that timed out since lastContact.
	failedProbes int
}

// Core is the membership state machine of one node.
type Core struct {
	settings Settings
	random   *rand.Rand
	self     Member
	seeds    []string

	members       map[string]*memberRecord
	zones         map[string]*zoneRecord
	pendingProbes map[uint64]pendingProbe
	updateQueue   []queuedUpdate

	// view is derived from members and zones. It is invalidated when they change.
	view derivedView

	// sequence is the number of the last probe or list request sent.
	sequence uint64
	// probeOrder holds the peers of the zone that are still to be probed in the current round, the
	// next one last.
	probeOrder []string
	lastTick   time.Time
	nextProbe  time.Time
	// nextList is the earliest time of the next list request.
	nextList time.Time
	// nextJoin is when seeds without a member record are contacted next. After joinUntil they are
	// contacted only while this node knows no peers.
	nextJoin  time.Time
	joinUntil time.Time
	ready     Ready
}

// derivedView caches values that are read often and change seldom.
type derivedView struct {
	valid bool
	// usableInZone holds the IDs of the usable nodes of this node's zone.
	usableInZone []string
	isRelay      bool
	hash         uint64
}

// invalidateView must be called whenever members, zones or the node's own state change.
func (c *Core) invalidateView() { c.view = derivedView{} }

// currentView returns the derived view and recomputes it if it is invalid.
func (c *Core) currentView() *derivedView {
	if !c.view.valid {
		inZone := c.UsableInZone(c.self.Zone)
		relays := rendezvous.Ranked(inZone, relayKey, RelaysPerZone)
		c.view = derivedView{valid: true, usableInZone: inZone, isRelay: slices.Contains(relays, c.self.ID), hash: c.computeViewHash()}
	}
	return &c.view
}

// NewCore returns the state machine of the node self. Seeds are the peer addresses that it contacts
// to join the cluster; its own address among them is ignored.
func NewCore(self Member, seeds []string, settings Settings, random *rand.Rand) *Core {
	return &Core{
		settings:      settings,
		random:        random,
		self:          self,
		seeds:         seeds,
		members:       map[string]*memberRecord{},
		zones:         map[string]*zoneRecord{},
		pendingProbes: map[uint64]pendingProbe{},
	}
}

// Self returns the node's own member data.
func (c *Core) Self() Member { return c.self }

// SetRevision sets the configuration revision in force on this node, which its messages carry.
func (c *Core) SetRevision(revision uint64) { c.self.Revision = revision }

// Leave sets this node's state to Leaving and announces it to all peers of its zone and to one node
// of each other zone.
func (c *Core) Leave(now time.Time) {
	if c.self.State == Leaving {
		return
	}
	c.self.State = Leaving
	c.self.Refutation++
	c.invalidateView()
	for _, id := range c.peerIDsInZone(c.self.Zone) {
		c.probe(now, c.members[id].member)
	}
	for _, zone := range c.otherZones() {
		c.probeZone(now, zone)
	}
}

// TakeReady returns the messages and events since the last call, and clears them.
func (c *Core) TakeReady() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick advances the state machine to now. It must be called several times per ProbeInterval.
func (c *Core) Tick(now time.Time) {
	c.compensateOwnPause(now)
	c.lastTick = now
	c.expireProbes(now)
	c.expireSuspects(now)
	c.expireZones(now)
	c.join(now)
	if now.Before(c.nextProbe) || !c.KnowsPeers() {
		return
	}
	c.nextProbe = now.Add(c.settings.ProbeInterval)
	c.probeNextInZone(now)
	if c.IsRelay() {
		c.probeOtherZones(now)
	}
}

// KnowsPeers reports whether this node has a record of any other node, dead or alive.
func (c *Core) KnowsPeers() bool { return len(c.members) > 0 }

// Step processes a message from another node.
func (c *Core) Step(now time.Time, message Message) {
	if message.Sender.ID == c.self.ID {
		c.checkDuplicateID(message.Sender)
		return
	}
	c.mergeMember(now, message.Sender)
	c.recordContact(now, message.Sender)
	for _, update := range message.Updates {
		c.mergeMember(now, update)
		if message.Kind == List {
			c.limitSends(update.ID)
		}
	}
	if message.Kind == List {
		c.markUnlistedDead(now, message)
	}
	for _, status := range message.Zones {
		if message.Sender.Zone == c.self.Zone {
			c.mergeZone(now, status)
		}
	}
	c.respond(now, message)
}

func (c *Core) emit(event Event) { c.ready.Events = append(c.ready.Events, event) }
