// Package lease decides which node holds a lease that is stored as an object in
// the platform's object API.
//
// The revision of the lease object at the write that acquired it is the fencing
// token of the holder's term. Engines remember the highest token they have seen
// and refuse lower ones, so a holder that was paused beyond its lease does no
// harm when it resumes. The high bits of a revision are the era of the platform's
// store, which rises when the store is restored from a backup. Tokens therefore
// increase even though the restored store assigns the same numbers again.
//
// The backup may lack the lease of a node that still considers itself the holder.
// In a new era, nodes other than the holder therefore wait until any such lease
// has expired before they acquire it.
//
// The package has no I/O and no clock; spec/lease.pml and spec/restore.pml model it.
package lease

import (
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Observation is the result of one read of the lease object.
type Observation struct {
	Exists bool
	// Revision is the revision of the object's last change. If the object does not
	// exist, it is any revision of the store's era.
	Revision storerev.Revision
	Spec     v1.LeaseSpec
}

// Action is the next step of a candidate.
type Action uint8

// The actions.
const (
	// Wait means that another node holds the lease, or may still hold it.
	Wait Action = iota
	// Acquire means to write the lease with a new term, on condition that the
	// object is unchanged since the last observation.
	Acquire
	// Renew means to write the lease with a higher renew count, on the same condition.
	Renew
	// Hold means that this node holds the lease and need not renew it yet.
	Hold
)

// Candidate is the state of one node that holds or wants to hold a lease. It is
// not safe for concurrent use.
type Candidate struct {
	node     string
	duration time.Duration
	// takeoverDelay is how long another holder's lease must be observed unchanged
	// before this node may acquire it. It is at least the lease duration.
	takeoverDelay time.Duration

	observed Observation
	// changedAt is when this node first observed the current revision, on its own clock.
	changedAt time.Time
	// era is the newest known era of the store.
	era uint64
	// priorEraLeaseExpiry is when a lease of an earlier era, which the restored
	// store may lack, has expired at any other node that holds it.
	priorEraLeaseExpiry time.Time
	// token is the fencing token of this node's own term, or 0 if it does not hold
	// the lease.
	token storerev.Revision
	// validUntil is when the own term expires unless renewed. The term is counted
	// from before the write that started or renewed it was sent.
	validUntil time.Time
}

// NewCandidate returns a candidate for a lease of the given duration, without a
// gap between two holders.
func NewCandidate(node string, duration time.Duration) *Candidate {
	return NewCandidateWithGap(node, duration, 0)
}

// NewCandidateWithGap returns a candidate for a lease of the given duration. It
// acquires another holder's lease only when that lease has expired for at least
// gap.
func NewCandidateWithGap(node string, duration, gap time.Duration) *Candidate {
	return &Candidate{node: node, duration: duration, takeoverDelay: duration + gap, era: storerev.FirstEra}
}

// EnterEra records that the store was in the given era at the given time. A holder
// of an earlier era may still hold its lease, for at most the lease duration.
func (c *Candidate) EnterEra(at time.Time, era uint64) {
	if era <= c.era {
		return
	}
	c.era = era
	c.priorEraLeaseExpiry = at.Add(c.takeoverDelay)
}

// Observe records a read of the lease object. A holder that observes another
// holder in the era of its own token has lost its term. An observation of another
// era doesn't end the term, since the object may come from a backup of the store,
// and no other node acquires the lease in a new era while it may be held.
func (c *Candidate) Observe(now time.Time, observation Observation) {
	if observation.Revision < c.observed.Revision {
		return
	}
	c.EnterEra(now, observation.Revision.Era())
	if observation.Revision != c.observed.Revision || c.changedAt.IsZero() {
		c.changedAt = now
	}
	c.observed = observation
	if c.token != 0 && observation.Spec.Holder != c.node && c.token.Era() == observation.Revision.Era() {
		c.token = 0
	}
}

// IsLastHolder reports whether the last observed holder is this node. All other
// nodes then wait for its lease to expire.
func (c *Candidate) IsLastHolder() bool { return c.observed.Exists && c.observed.Spec.Holder == c.node }

// Next returns the next step. A node acquires another holder's lease only after
// it has observed it unchanged for the takeover delay on its own clock, and in a
// new era only after any lease of an earlier era has expired. A holder acquires its
// own lease again when the store has entered a new era.
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
	if now.Before(c.priorEraLeaseExpiry) {
		return Wait
	}
	if !c.observed.Exists || c.observed.Spec.Holder == "" || c.wroteLeaseInSameEra() {
		return Acquire
	}
	if !c.changedAt.IsZero() && now.Sub(c.changedAt) >= c.takeoverDelay {
		return Acquire
	}
	return Wait
}

// wroteLeaseInSameEra reports whether this node sent the write of the observed
// lease in the era in which the store applied it. Only then can no other node have
// held the lease since: a write sent in an earlier era may be applied late and
// overwrite a lease of the current era.
func (c *Candidate) wroteLeaseInSameEra() bool {
	writeEra := max(c.observed.Spec.StoreEra, storerev.FirstEra)
	return c.observed.Spec.Holder == c.node && writeEra == c.observed.Revision.Era()
}

// Proposal returns the lease content to write for action, which is Acquire or Renew.
func (c *Candidate) Proposal(action Action) v1.LeaseSpec {
	proposal := v1.LeaseSpec{
		Holder:         c.node,
		Term:           c.observed.Spec.Term,
		RenewCount:     c.observed.Spec.RenewCount + 1,
		DurationMillis: c.duration.Milliseconds(),
	}
	if action == Acquire {
		proposal.Term++
	}
	if era := c.observed.Revision.Era(); era > storerev.FirstEra {
		proposal.StoreEra = era
	}
	return proposal
}

// RecordWrite records a write of spec that the platform accepted at the given
// revision. The term is counted from before the write was sent, so that this node
// never considers it valid for longer than the others do. A write applied in
// another era than that of the read before it may have replaced a lease that this
// node has not read. Such a write neither starts nor extends a term.
func (c *Candidate) RecordWrite(sent, answered time.Time, action Action, revision storerev.Revision, spec v1.LeaseSpec) {
	sameEra := c.observed.Revision.Era() == revision.Era()
	c.EnterEra(answered, revision.Era())
	c.observed = Observation{Exists: true, Revision: revision, Spec: spec}
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

// Release gives up the own term before a planned stop.
func (c *Candidate) Release() { c.token = 0 }

// Token returns the fencing token of the own term, and whether the term is valid.
func (c *Candidate) Token(now time.Time) (storerev.Revision, bool) {
	if c.token == 0 || !now.Before(c.validUntil) {
		return 0, false
	}
	return c.token, true
}

// ValidUntil returns when the own term expires unless renewed.
func (c *Candidate) ValidUntil() time.Time { return c.validUntil }

// AvailableAt returns when another node's lease may be acquired if it stays unchanged.
func (c *Candidate) AvailableAt() time.Time {
	if expiry := c.changedAt.Add(c.takeoverDelay); c.observed.Exists && expiry.After(c.priorEraLeaseExpiry) {
		return expiry
	}
	return c.priorEraLeaseExpiry
}

// LastObservation returns the lease object as last read or written by this node.
func (c *Candidate) LastObservation() Observation { return c.observed }
