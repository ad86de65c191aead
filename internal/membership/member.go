// Package membership maintains each node's view of the other nodes. Each node probes the peers of
// its zone in a random round-robin order. A member that does not acknowledge a probe becomes a
// suspect and can refute that. Changes are piggybacked on probes and acks. Two relays per zone probe
// the other zones.
//
// Core is a state machine without I/O, clock or goroutines. Step processes a message, Tick advances
// the time, and TakeReady returns the messages to send. The protocol follows SWIM (Das, Gupta,
// Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
// 2002), with the suspicion mechanism of its section 4.2.
package membership

// State is the state of a member as another node sees it.
type State uint8

// The states of a member. Among records of equal incarnation and refutation, a later state takes
// precedence over an earlier one.
const (
	// Alive members acknowledge probes.
	Alive State = iota
	// Leaving members are shutting down: they finish their requests and are given no new duties.
	Leaving
	// Suspect members did not acknowledge a probe and can still refute the suspicion.
	Suspect
	// Dead members did not refute the suspicion in time. They return only with a higher incarnation
	// or refutation.
	Dead
)

// String returns the name of the state, which appears in logs.
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
	// Refutation is incremented by the member itself to overrule earlier states. SWIM calls it the
	// incarnation number.
	Refutation uint32
	State      State
	// Revision is the configuration revision in force on the node, as last reported by it.
	Revision uint64
}

// supersedes reports whether record a of a member takes precedence over record b of it.
func supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.State > b.State
}

// ZoneStatus is the reachability of another zone as observed by the relays of this zone.
type ZoneStatus struct {
	Zone        string
	Unreachable bool
	// ObservedMillis is the time of the observation in Unix milliseconds. The latest status wins.
	ObservedMillis int64
}

// MessageKind is the kind of a membership message.
type MessageKind uint8

const (
	// Probe is a heartbeat that requests an Ack.
	Probe MessageKind = iota
	// Ack acknowledges the Probe with the same Sequence.
	Ack
	// ListRequest requests a List.
	ListRequest
	// List carries all members that the sender has a record of in Updates.
	List
)

// Message is one membership message between two nodes.
type Message struct {
	Kind     MessageKind
	Sequence uint64
	Sender   Member
	Updates  []Member
	Zones    []ZoneStatus
	// ViewHash is a hash of the sender's members that are not dead. If it differs from the
	// receiver's hash, the receiver requests a list.
	ViewHash uint64
}

// Outgoing is a message with its destination.
type Outgoing struct {
	// To is the ID of the destination, or "" if only its address is known, as for seeds.
	To      string
	Address string
	Message Message
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventJoined means that a node or a new incarnation of it was added.
	EventJoined EventKind = iota
	// EventChanged means that the state or refutation of a member changed.
	EventChanged
	// EventRemoved means that the record of a dead member was removed.
	EventRemoved
	EventZoneUnreachable
	EventZoneReachable
	// EventDuplicateID means that another process uses this node's ID.
	EventDuplicateID
	// EventPaused means that this node itself did not run for longer than ProbeTimeout.
	EventPaused
)

// Event is a change in the membership view. Zone is set only for zone events, Member only for the
// others.
type Event struct {
	Kind   EventKind
	Member Member
	Zone   string
}

// Ready holds the messages to send and the events that occurred.
type Ready struct {
	Messages []Outgoing
	Events   []Event
}
