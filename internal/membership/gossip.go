package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// gossip is a change still to be carried on messages.
type gossip struct {
	id    string
	sends int
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
