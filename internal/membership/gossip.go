package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// queuedUpdate is a member whose change is still to be piggybacked on messages.
type queuedUpdate struct {
	id             string
	remainingSends int
}

// enqueueUpdate queues the change of a member for the next messages. The number of times that it is
// sent grows with the logarithm of the number of members, as in SWIM.
func (c *Core) enqueueUpdate(id string) {
	c.updateQueue = slices.DeleteFunc(c.updateQueue, func(update queuedUpdate) bool { return update.id == id })
	sends := 3 * bits.Len(uint(len(c.members)+1))
	c.updateQueue = append(c.updateQueue, queuedUpdate{id: id, remainingSends: sends})
}

// maxSendsFromList is the maximum number of times that a change learnt from a list is sent. Other
// nodes that lack the change can request the list too.
const maxSendsFromList = 2

// limitSends limits the sends of a change that was just learnt from a list, so that the changes after
// a start of all nodes do not fill the heartbeats for minutes.
func (c *Core) limitSends(id string) {
	for i := range c.updateQueue {
		if c.updateQueue[i].id == id {
			c.updateQueue[i].remainingSends = min(c.updateQueue[i].remainingSends, maxSendsFromList)
		}
	}
}

// takeUpdates returns the member updates for the next message and counts them as sent. Updates that
// were sent least often come first.
func (c *Core) takeUpdates() []Member {
	count := min(len(c.updateQueue), c.settings.MaxUpdatesPerMessage)
	if count == 0 {
		return nil
	}
	slices.SortStableFunc(c.updateQueue, func(a, b queuedUpdate) int { return cmp.Compare(b.remainingSends, a.remainingSends) })
	updates := make([]Member, 0, count)
	for i := range count {
		if record := c.members[c.updateQueue[i].id]; record != nil {
			updates = append(updates, record.member)
		}
		c.updateQueue[i].remainingSends--
	}
	c.updateQueue = slices.DeleteFunc(c.updateQueue, func(update queuedUpdate) bool { return update.remainingSends <= 0 })
	return updates
}

// newMessage returns a message of this node. Probes and acks carry member updates and zone statuses.
func (c *Core) newMessage(kind MessageKind, sequence uint64) Message {
	message := Message{Kind: kind, Sequence: sequence, Sender: c.self, ViewHash: c.viewHash()}
	if kind == Probe || kind == Ack {
		message.Updates = c.takeUpdates()
		message.Zones = c.zoneStatuses()
	}
	return message
}

// zoneStatuses returns the statuses of all zones for which a status was ever set.
func (c *Core) zoneStatuses() []ZoneStatus {
	var statuses []ZoneStatus
	for _, zone := range c.zones {
		if zone.status.ObservedMillis > 0 {
			statuses = append(statuses, zone.status)
		}
	}
	return statuses
}

// send queues a message. If the receiver is recorded as suspect or dead, the message carries that
// record, because only the receiver can refute it. Without this, a receiver that is no longer in any
// update queue would be excluded for good.
func (c *Core) send(to, address string, message Message) {
	if record := c.members[to]; record != nil && record.member.State >= Suspect {
		message.Updates = append(message.Updates, record.member)
	}
	c.ready.Messages = append(c.ready.Messages, Outgoing{To: to, Address: address, Message: message})
}

func (c *Core) viewHash() uint64 { return c.currentView().hash }

// computeViewHash returns the XOR of the hashes of all members that are not dead. It does not depend
// on their order.
func (c *Core) computeViewHash() uint64 {
	hash := memberHash(c.self)
	for _, record := range c.members {
		if record.member.State != Dead {
			hash ^= memberHash(record.member)
		}
	}
	return hash
}

func memberHash(member Member) uint64 {
	return rendezvous.Weight(member.ID, member.Incarnation) ^ xxhash.Sum64String(member.ID)
}

// allMembers returns all members with a record, including this node. It includes dead members, so
// that a zone that missed their death learns it from the list.
func (c *Core) allMembers() []Member {
	members := []Member{c.self}
	for _, record := range c.members {
		members = append(members, record.member)
	}
	return members
}
