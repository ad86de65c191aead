// Package control is the control plane of one node: membership, configuration
// and runner reports, as one state machine without I/O, clock or goroutines.
//
// The node's shell and tests both drive it: Step takes
// a message, Tick the time, and TakeReady gives what is to be sent and what has
// changed.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/membership"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Settings of the control plane.
type Settings struct {
	Membership membership.Settings
	// ConfigFanout is to how many peers of its zone a node passes a change on.
	ConfigFanout int
	// PullInterval is the least time between two pulls of missing changes.
	PullInterval time.Duration
	// LoadBytesPerSecond bounds what a node spends on reports of runner load.
	LoadBytesPerSecond int
	// LoadInterval is the least time between two reports of runner load.
	LoadInterval time.Duration
	// DutyRepeat is how often all reports are sent again, to repair losses.
	DutyRepeat time.Duration
	// ReportPeers bounds to how many nodes a load report goes; 0 means all of
	// the region. Changes of duty always go to all of the region.
	ReportPeers int
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		Membership:         membership.DefaultSettings(),
		ConfigFanout:       3,
		PullInterval:       200 * time.Millisecond,
		LoadBytesPerSecond: 16 << 10,
		LoadInterval:       100 * time.Millisecond,
		DutyRepeat:         10 * time.Second,
	}
}

// Send is a message with its destination. To is "" when only the address is known.
type Send struct {
	To       string
	Address  string
	Envelope *wire.Envelope
}

// Ready is what the core wants done and what has changed.
type Ready struct {
	Sends  []Send
	Events []membership.Event
	// ConfigChanged is true when the configuration moved to a newer revision.
	ConfigChanged bool
	// DutiesChanged is true when runners' homes or index owners may have moved.
	DutiesChanged bool
	// NewIncarnations lists runners whose engine process is another one.
	NewIncarnations []fleet.Report
}

// Core is the control plane of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	members  *membership.Core
	store    *config.Store
	fleet    *fleet.Table

	usable []string
	// byZone holds the usable nodes of each zone asked for since they changed.
	byZone map[string][]string
	// joined are nodes of the region that are to be told of this node's runners.
	joined     []membership.Member
	nextPull   time.Time
	dirty      map[string]bool
	loadTokens float64
	lastTick   time.Time
	nextLoad   time.Time
	nextRepeat time.Time
	ready      Ready
}

// New returns the control plane of the node self.
func New(self membership.Member, seeds []string, settings Settings, random *rand.Rand) *Core {
	c := &Core{
		settings: settings,
		random:   random,
		members:  membership.NewCore(self, seeds, settings.Membership, random),
		store:    config.NewStore(),
		fleet:    fleet.NewTable(),
		dirty:    map[string]bool{},
	}
	c.refreshUsable()
	return c
}

// Members returns the membership view.
func (c *Core) Members() *membership.Core { return c.members }

// Store returns the configuration.
func (c *Core) Store() *config.Store { return c.store }

// Fleet returns the runner table.
func (c *Core) Fleet() *fleet.Table { return c.fleet }

// TakeReady returns what is to be done, and clears it.
func (c *Core) TakeReady() Ready {
	c.drainMembership()
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick advances the state machine to now.
func (c *Core) Tick(now time.Time) {
	c.members.Tick(now)
	c.drainMembership()
	c.tellJoined()
	c.earnLoadBytes(now)
	if !now.Before(c.nextRepeat) {
		c.nextRepeat = now.Add(c.settings.DutyRepeat)
		c.markOwnDirty()
	}
	if !now.Before(c.nextLoad) {
		c.nextLoad = now.Add(c.settings.LoadInterval)
		c.reportLoads()
	}
}

// Leave announces a planned stop.
func (c *Core) Leave(now time.Time) {
	c.members.Leave(now)
	c.refreshUsable()
	c.ready.DutiesChanged = true
}

// Step takes a message from another node. Messages of other kinds are not its concern.
func (c *Core) Step(now time.Time, envelope *wire.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		c.stepMembership(now, heartbeatFromWire(membership.Probe, body.Heartbeat))
	case *wire.Envelope_HeartbeatAck:
		c.stepMembership(now, heartbeatFromWire(membership.Ack, body.HeartbeatAck))
	case *wire.Envelope_MemberListRequest:
		c.stepMembership(now, membership.Message{Kind: membership.ListRequest, Sender: memberFromWire(body.MemberListRequest.GetSender())})
	case *wire.Envelope_MemberList:
		c.stepMembership(now, membership.Message{
			Kind:    membership.List,
			Sender:  memberFromWire(body.MemberList.GetSender()),
			Updates: membersFromWire(body.MemberList.GetMembers()),
		})
	case *wire.Envelope_ConfigPull:
		c.answerPull(envelope.GetFrom(), storerev.Revision(body.ConfigPull.GetFromRevision()))
	case *wire.Envelope_ConfigDelta:
		c.applyDelta(now, DeltaFromWire(body.ConfigDelta), envelope.GetFrom())
	case *wire.Envelope_FleetPull:
		c.sendFleet(envelope.GetFrom())
	case *wire.Envelope_RunnerReports:
		for _, report := range body.RunnerReports.GetReports() {
			c.applyReport(reportFromWire(report))
		}
	}
}

func (c *Core) stepMembership(now time.Time, message membership.Message) {
	first := !c.members.KnowsPeers()
	c.members.Step(now, message)
	c.drainMembership()
	sender := message.Sender
	if first && sender.ID != c.members.Self().ID {
		// The first peer heard of after a start is asked for what this node lost.
		c.send(sender.ID, sender.PeerAddress, &wire.Envelope{Body: &wire.Envelope_FleetPull{FleetPull: &wire.FleetPull{}}})
	}
	if storerev.Revision(sender.Revision) > c.store.Revision() {
		c.pull(now, sender.ID, sender.PeerAddress)
	}
}

// drainMembership turns the membership's outputs into the core's own.
func (c *Core) drainMembership() {
	ready := c.members.TakeReady()
	for _, outgoing := range ready.Messages {
		c.send(outgoing.To, outgoing.Address, membershipToWire(outgoing.Message))
	}
	c.ready.Events = append(c.ready.Events, ready.Events...)
	for _, event := range ready.Events {
		if event.Kind == membership.EventPaused {
			continue
		}
		c.refreshUsable()
		c.ready.DutiesChanged = true
		if event.Kind == membership.EventJoined && event.Member.Region == c.members.Self().Region {
			c.joined = append(c.joined, event.Member)
		}
	}
}

func (c *Core) send(to, address string, envelope *wire.Envelope) {
	c.ready.Sends = append(c.ready.Sends, Send{To: to, Address: address, Envelope: envelope})
}

func (c *Core) sendTo(member membership.Member, envelope *wire.Envelope) {
	c.send(member.ID, member.PeerAddress, envelope)
}

// refreshUsable recomputes the nodes of the region that may be given duties.
func (c *Core) refreshUsable() {
	region := c.members.Self().Region
	c.usable = c.members.Usable(func(member membership.Member) bool { return member.Region == region })
	c.byZone = map[string][]string{}
}

func (c *Core) usableInZone(zone string) []string {
	nodes, known := c.byZone[zone]
	if !known {
		nodes = c.members.UsableInZone(zone)
		c.byZone[zone] = nodes
	}
	return nodes
}

// UsableNodes returns the nodes of the region that may be given duties.
func (c *Core) UsableNodes() []string { return c.usable }

// ShardOf returns the node that owns the index of a prompt family, or "" when
// no node can.
func (c *Core) ShardOf(family uint64) string { return rendezvous.Owner(c.usable, family) }

// HomeOf returns the node that reads a runner's events: one of the runner's
// zone, or of the region when the zone has no usable node.
func (c *Core) HomeOf(runner string, zone string) string {
	inZone := c.usableInZone(zone)
	if len(inZone) == 0 {
		inZone = c.usable
	}
	return rendezvous.Owner(inZone, rendezvous.KeyOf(runner))
}

// Address returns a node's peer address.
func (c *Core) Address(node string) (string, bool) {
	member, found := c.members.Member(node)
	return member.PeerAddress, found
}
