package membership

import (
	"math/rand/v2"
	"slices"
	"time"

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
	// JoinInterval is the time between two contacts of the seeds that have not
	// been heard of yet, during the JoinTime after the start.
	JoinInterval time.Duration
	JoinTime     time.Duration
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
		// A peer that could not be dialled is not dialled again for 100 ms, and
		// whatever is sent meanwhile is lost.
		JoinInterval: 200 * time.Millisecond,
		JoinTime:     2 * time.Second,
		ListInterval: 30 * time.Second,
		ForgetAfter:  10 * time.Minute,
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
	// nextJoin is when the seeds that have not been heard of are contacted next,
	// and joinUntil when only a node that knows nobody goes on doing so.
	nextJoin  time.Time
	joinUntil time.Time
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
	c.join(now)
	if now.Before(c.nextProbe) || !c.KnowsOthers() {
		return
	}
	c.nextProbe = now.Add(c.settings.ProbeInterval)
	c.probeNextInZone(now)
	if c.IsRelay() {
		c.probeOtherZones(now)
	}
}

// KnowsOthers tells whether this node has heard of any other node.
func (c *Core) KnowsOthers() bool { return len(c.members) > 0 }

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

func (c *Core) emit(event Event) { c.ready.Events = append(c.ready.Events, event) }
