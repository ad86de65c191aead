// Package membership keeps each node's view of the other nodes: random
// round-robin heartbeats inside a zone, suspicion that the suspect can refute,
// changes carried on heartbeats, and two relays a zone that probe other zones.
//
// The core is a state machine without I/O, clock or goroutines: Step takes a
// message, Tick the time, and TakeReady gives what is to be sent. The protocol
// follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002), with the suspicion
// mechanism of its section 4.2.
package membership

// State is what a node believes of another one.
type State uint8

// The states of a member, in order of precedence at equal incarnation and refutation.
const (
	// Alive members answer heartbeats.
	Alive State = iota
	// Leaving members finish their work and take no new duties.
	Leaving
	// Suspect members have missed heartbeats and may still refute it.
	Suspect
	// Dead members did not refute in time. Only a higher incarnation or
	// refutation brings one back.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one node as another node knows it.
type Member struct {
	ID          string
	Zone        string
	Region      string
	PeerAddress string
	// Incarnation is the start time of the node's process in Unix milliseconds.
	Incarnation uint64
	// Refutation is raised by the member itself to overrule older beliefs.
	Refutation uint32
	State      State
	// Revision is the configuration revision last heard to be in force there.
	Revision uint64
}

// supersedes tells whether belief a about a member overrules belief b.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.State > b.State
}

// ZoneStatus is the belief of a zone's relays about another zone.
type ZoneStatus struct {
	Zone        string
	Unreachable bool
	// ObservedMillis is when the relay saw it, in Unix milliseconds; the later one wins.
	ObservedMillis int64
}

// MessageKind names a membership message.
type MessageKind uint8

// The membership messages.
const (
	// Probe asks for an Ack.
	Probe MessageKind = iota
	// Ack answers a Probe of the same Sequence.
	Ack
	// ListRequest asks for a List.
	ListRequest
	// List holds all members the sender knows, in Updates.
	List
)

// Message is one membership message between two nodes.
type Message struct {
	Kind     MessageKind
	Sequence uint64
	Sender   Member
	Updates  []Member
	Zones    []ZoneStatus
	// ViewHash summarises the sender's member list for its own zone's peers.
	ViewHash uint64
}

// Outgoing is a message with its destination.
type Outgoing struct {
	// To is the node's ID, or "" when only its address is known (a seed).
	To      string
	Address string
	Message Message
}

// EventKind names a change of belief.
type EventKind uint8

// The membership events.
const (
	EventJoined EventKind = iota
	EventChanged
	EventForgotten
	EventZoneUnreachable
	EventZoneReachable
	// EventDuplicateID means that another process runs under this node's ID.
	EventDuplicateID
	// EventPaused means that this node itself did not run for a while.
	EventPaused
)

// Event is a change of belief, for logs and for the node's other parts.
type Event struct {
	Kind   EventKind
	Member Member
	Zone   string
}

// Ready is what the core wants done.
type Ready struct {
	Messages []Outgoing
	Events   []Event
}
