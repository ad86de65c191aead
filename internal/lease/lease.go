// Package lease decides who holds a lease kept in the platform's object API.
//
// The revision of the lease object at the acquiring write is the fencing token
// of the holder's term. Engines remember the highest token they have seen and
// refuse lower ones, so a holder that was paused past its lease and wakes does
// no harm. Revisions hold the era of the platform's store first, so tokens rise
// too when the store comes back from a copy and gives out numbers again.
//
// Such a copy may lack the lease of a node that still believes in it. So no
// lease is taken in a new era before that belief has ended, but by its holder.
//
// The package has no I/O and no clock; spec/lease.pml and spec/restore.pml model it.
package lease

import (
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Observation is the lease object as last read.
type Observation struct {
	Exists bool
	// Revision is when the object last changed; without one, any of the era.
	Revision storerev.Revision
	Spec     v1.LeaseSpec
}

// Action is what a candidate is to do.
type Action uint8

// The actions.
const (
	// Wait means: another node holds the lease.
	Wait Action = iota
	// Acquire means: write the lease with a new term, at the observed version.
	Acquire
	// Renew means: write the lease with a higher renew count, at the observed version.
	Renew
	// Hold means: the lease is held and needs no write yet.
	Hold
)

// Candidate is one node's view of one lease. It is not safe for concurrent use.
type Candidate struct {
	node     string
	duration time.Duration
	// takeover is how long another holder's lease must stand unchanged before
	// it may be taken; at least the duration.
	takeover time.Duration

	seen Observation
	// changedAt is when this node saw the observed revision first, by its own clock.
	changedAt time.Time
	// era is the newest era of the store that this node knows of, and lostUntil until when
	// a lease that this era does not know may be believed in by another node.
	era       uint64
	lostUntil time.Time
	// token is the fencing token of the own term, 0 when not holding.
	token storerev.Revision
	// validUntil is when the own term ends unless renewed, counted from before
	// the write that started or renewed it.
	validUntil time.Time
}

// NewCandidate returns a candidate for a lease of the given duration.
func NewCandidate(node string, duration time.Duration) *Candidate {
	return NewCandidateWithGap(node, duration, 0)
}

// NewCandidateWithGap returns a candidate for a lease of the given duration
// that keeps a gap between the last moment at which one holder can have acted
// and the first at which another may.
func NewCandidateWithGap(node string, duration, gap time.Duration) *Candidate {
	return &Candidate{node: node, duration: duration, takeover: duration + gap, era: storerev.FirstEra}
}

// EnterEra notes that the store is known to have been in the era at the moment. A holder of
// the era before goes on to believe in its lease for the duration at most.
func (c *Candidate) EnterEra(at time.Time, era uint64) {
	if era <= c.era {
		return
	}
	c.era = era
	c.lostUntil = at.Add(c.takeover)
}

// Observe takes a read of the lease object. A holder that sees another one's
// write has lost its term, unless that write may have come with a copy of the
// store: nobody takes the lease in a new era while it is held.
func (c *Candidate) Observe(now time.Time, observation Observation) {
	if observation.Revision < c.seen.Revision {
		return
	}
	c.EnterEra(now, observation.Revision.Era())
	if observation.Revision != c.seen.Revision || c.changedAt.IsZero() {
		c.changedAt = now
	}
	c.seen = observation
	if c.token != 0 && observation.Spec.Holder != c.node && c.token.Era() == observation.Revision.Era() {
		c.token = 0
	}
}

// HeldLast tells whether the last holder that this node knows of is itself: then its lease
// keeps all others waiting.
func (c *Candidate) HeldLast() bool { return c.seen.Exists && c.seen.Spec.Holder == c.node }

// Next returns what to do. Another holder's lease may be taken only after this
// node has watched it unchanged for the whole duration on its own clock. A holder
// takes its own anew once the store is in another era.
func (c *Candidate) Next(now time.Time) Action {
	if token, held := c.Token(now); held {
		if token.Era() < c.era {
			return Acquire
		}
		if now.Before(c.validUntil.Add(-c.duration * 2 / 3)) {
			return Hold
		}
		return Renew
	}
	if now.Before(c.lostUntil) {
		return Wait
	}
	if !c.seen.Exists || c.seen.Spec.Holder == "" || c.heldHere() {
		return Acquire
	}
	if !c.changedAt.IsZero() && now.Sub(c.changedAt) >= c.takeover {
		return Acquire
	}
	return Wait
}

// heldHere tells whether no other node can have held the lease since this one wrote it: a
// write that left in an earlier era may be done late, in place of a lease of this era.
func (c *Candidate) heldHere() bool {
	writtenIn := max(c.seen.Spec.StoreEra, storerev.FirstEra)
	return c.seen.Spec.Holder == c.node && writtenIn == c.seen.Revision.Era()
}

// Proposal returns the lease content to write for the action.
func (c *Candidate) Proposal(action Action) v1.LeaseSpec {
	proposal := v1.LeaseSpec{
		Holder:         c.node,
		Term:           c.seen.Spec.Term,
		RenewCount:     c.seen.Spec.RenewCount + 1,
		DurationMillis: c.duration.Milliseconds(),
	}
	if action == Acquire {
		proposal.Term++
	}
	if era := c.seen.Revision.Era(); era > storerev.FirstEra {
		proposal.StoreEra = era
	}
	return proposal
}

// Written notes a write that the platform accepted. The term is counted from
// before the write was sent, so that this node never believes in it for longer
// than the others do. A write that meets another era than the read before it may
// have replaced what was not read: it begins and prolongs no term.
func (c *Candidate) Written(sent, answered time.Time, action Action, revision storerev.Revision, spec v1.LeaseSpec) {
	sameEra := c.seen.Revision.Era() == revision.Era()
	c.EnterEra(answered, revision.Era())
	c.seen = Observation{Exists: true, Revision: revision, Spec: spec}
	if !sameEra {
		c.changedAt = answered
		return
	}
	c.changedAt = sent
	c.validUntil = sent.Add(c.duration)
	if action == Acquire {
		c.token = revision
	}
}

// Release gives the own term up, before a planned stop.
func (c *Candidate) Release() { c.token = 0 }

// Token returns the fencing token of the own term while it is valid.
func (c *Candidate) Token(now time.Time) (storerev.Revision, bool) {
	if c.token == 0 || !now.Before(c.validUntil) {
		return 0, false
	}
	return c.token, true
}

// ValidUntil returns when the own term ends unless renewed.
func (c *Candidate) ValidUntil() time.Time { return c.validUntil }

// FreeAt returns when the lease may be taken if it stays unchanged.
func (c *Candidate) FreeAt() time.Time {
	if free := c.changedAt.Add(c.takeover); c.seen.Exists && free.After(c.lostUntil) {
		return free
	}
	return c.lostUntil
}

// Seen returns the lease as last observed.
func (c *Candidate) Seen() Observation { return c.seen }
