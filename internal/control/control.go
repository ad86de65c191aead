// Package control implements the control plane of one node: membership, replication of the
// configuration, and runner reports.
//
// Core is a state machine without I/O, clock or goroutines. Package node drives it: Step processes a
// message, Tick advances the time, and TakeReady returns the messages to send and what has changed.
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

// Settings are the parameters of the control plane.
type Settings struct {
	Membership membership.Settings
	// ConfigFanout is the maximum number of peers of its zone to which a node forwards a
	// configuration change.
	ConfigFanout int
	// MinPullInterval is the minimum time between two requests for missing configuration changes.
	MinPullInterval time.Duration
	// MaxLoadBytesPerSecond is the maximum rate at which a node sends load reports of its runners.
	MaxLoadBytesPerSecond int
	// LoadReportInterval is the minimum time between two messages with load reports.
	LoadReportInterval time.Duration
	// ReportRepeatInterval is the interval at which a node resends the reports of all its runners
	// within the load byte rate, in case earlier ones were lost.
	ReportRepeatInterval time.Duration
	// MaxLoadReportPeers is the maximum number of nodes to which a load report is sent; 0 means all
	// usable nodes of the region. Reports of status changes always go to all of them.
	MaxLoadReportPeers int
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		Membership:            membership.DefaultSettings(),
		ConfigFanout:          3,
		MinPullInterval:       200 * time.Millisecond,
		MaxLoadBytesPerSecond: 16 << 10,
		LoadReportInterval:    100 * time.Millisecond,
		ReportRepeatInterval:  10 * time.Second,
	}
}

// Outgoing is a message with its destination. To is the node ID, or "" if only the address is known.
type Outgoing struct {
	To       string
	Address  string
	Envelope *wire.Envelope
}

// Ready holds the messages to send and the changes since the last call of TakeReady.
type Ready struct {
	Messages []Outgoing
	Events   []membership.Event
	// ConfigChanged is set if the configuration moved to a newer revision.
	ConfigChanged bool
	// OwnersChanged is set if the homes of runners or the owners of index shards may have changed.
	OwnersChanged bool
	// NewIncarnations holds the reports of runners that are new or run another engine process.
	NewIncarnations []fleet.Report
}

// Core is the control plane of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	members  *membership.Core
	store    *config.Store
	fleet    *fleet.Table

	usableNodes []string
	// usableByZone caches the usable nodes of a zone. refreshUsable clears it.
	usableByZone map[string][]string
	// joinedMembers are nodes of the region that joined since the last tick. They are sent the
	// reports of this node's runners.
	joinedMembers []membership.Member
	// nextPull is the earliest time of the next request for configuration changes.
	nextPull time.Time
	// dirtyRunners are the runners whose current report is still to be sent.
	dirtyRunners map[string]bool
	// loadByteBudget is the number of bytes that may be spent on load reports now.
	loadByteBudget float64
	lastTick       time.Time
	nextLoadReport time.Time
	nextRepeat     time.Time
	ready          Ready
}

// New returns the control plane of the node self.
func New(self membership.Member, seeds []string, settings Settings, random *rand.Rand) *Core {
	c := &Core{
		settings:     settings,
		random:       random,
		members:      membership.NewCore(self, seeds, settings.Membership, random),
		store:        config.NewStore(),
		fleet:        fleet.NewTable(),
		dirtyRunners: map[string]bool{},
	}
	c.refreshUsable()
	return c
}

// Members returns the membership view.
func (c *Core) Members() *membership.Core { return c.members }

// Store returns the configuration.
func (c *Core) Store() *config.Store { return c.store }

// Fleet returns the table of runner reports.
func (c *Core) Fleet() *fleet.Table { return c.fleet }

// TakeReady returns the messages and changes since the last call, and clears them.
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
	c.sendReportsToJoined()
	c.refillLoadByteBudget(now)
	if !now.Before(c.nextRepeat) {
		c.nextRepeat = now.Add(c.settings.ReportRepeatInterval)
		c.markOwnRunnersDirty()
	}
	if !now.Before(c.nextLoadReport) {
		c.nextLoadReport = now.Add(c.settings.LoadReportInterval)
		c.reportLoads()
	}
}

// Leave announces to other nodes that this node is shutting down.
func (c *Core) Leave(now time.Time) {
	c.members.Leave(now)
	c.refreshUsable()
	c.ready.OwnersChanged = true
}

// Step processes a message from another node. It ignores kinds of messages that do not belong to the
// control plane.
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
		c.answerConfigPull(envelope.GetFrom(), storerev.Revision(body.ConfigPull.GetFromRevision()))
	case *wire.Envelope_ConfigDelta:
		c.applyDelta(now, DeltaFromWire(body.ConfigDelta), envelope.GetFrom())
	case *wire.Envelope_FleetPull:
		c.answerFleetPull(envelope.GetFrom())
	case *wire.Envelope_RunnerReports:
		for _, report := range body.RunnerReports.GetReports() {
			c.applyReport(reportFromWire(report))
		}
	}
}

// stepMembership processes a membership message, and requests the configuration and the runner
// reports from its sender if this node lacks them.
func (c *Core) stepMembership(now time.Time, message membership.Message) {
	firstPeer := !c.members.KnowsPeers()
	c.members.Step(now, message)
	c.drainMembership()
	sender := message.Sender
	if firstPeer && sender.ID != c.members.Self().ID {
		// After a start the node has no runner reports. It requests them from the first peer.
		c.send(sender.ID, sender.PeerAddress, &wire.Envelope{Body: &wire.Envelope_FleetPull{FleetPull: &wire.FleetPull{}}})
	}
	if storerev.Revision(sender.Revision) > c.store.Revision() {
		c.pullConfig(now, sender.ID, sender.PeerAddress)
	}
}

// drainMembership moves the messages and events of the membership core to c.ready and applies the
// events.
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
		c.ready.OwnersChanged = true
		if event.Kind == membership.EventJoined && event.Member.Region == c.members.Self().Region {
			c.joinedMembers = append(c.joinedMembers, event.Member)
		}
	}
}

func (c *Core) send(to, address string, envelope *wire.Envelope) {
	c.ready.Messages = append(c.ready.Messages, Outgoing{To: to, Address: address, Envelope: envelope})
}

func (c *Core) sendTo(member membership.Member, envelope *wire.Envelope) {
	c.send(member.ID, member.PeerAddress, envelope)
}

// refreshUsable recomputes the usable nodes of the region and clears the cache by zone.
func (c *Core) refreshUsable() {
	region := c.members.Self().Region
	c.usableNodes = c.members.Usable(func(member membership.Member) bool { return member.Region == region })
	c.usableByZone = map[string][]string{}
}

func (c *Core) usableInZone(zone string) []string {
	nodes, cached := c.usableByZone[zone]
	if !cached {
		nodes = c.members.UsableInZone(zone)
		c.usableByZone[zone] = nodes
	}
	return nodes
}

// UsableNodes returns the sorted IDs of the nodes of the region that can be given duties.
func (c *Core) UsableNodes() []string { return c.usableNodes }

// ShardOwner returns the node that owns the index shard of a prompt family, or "" if there is no
// usable node.
func (c *Core) ShardOwner(family uint64) string { return rendezvous.Owner(c.usableNodes, family) }

// RunnerHome returns the node that reads a runner's event stream and reports its status. It is a node
// of the runner's zone, or of the region if the zone has no usable node.
func (c *Core) RunnerHome(runner string, zone string) string {
	inZone := c.usableInZone(zone)
	if len(inZone) == 0 {
		inZone = c.usableNodes
	}
	return rendezvous.Owner(inZone, rendezvous.KeyOf(runner))
}

// NodeAddress returns the peer address of a node. It returns false if the node is not known.
func (c *Core) NodeAddress(node string) (string, bool) {
	member, found := c.members.Member(node)
	return member.PeerAddress, found
}
