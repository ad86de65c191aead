package gateway

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// check proves the copy by the checkpoint, or returns false when it is not complete so far. A
// checkpoint of an earlier era says nothing of the copy's.
func (c *copies) check(kind ObjectKind, known checkpoint) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	revision := c.stores[kind].Revision()
	if revision < known.revision || revision.Era() != known.revision.Era() {
		return false
	}
	c.prove(kind, known.at)
	return true
}

// newestRevision is the highest revision that any copy has reached.
func (c *copies) newestRevision() storerev.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reachedBy(c.gateway.now())
}

// noteReached notes what a copy has reached, if none has reached as much. The mutex is held.
func (c *copies) noteReached(known checkpoint) {
	if last := len(c.reached) - 1; last >= 0 && c.reached[last].revision >= known.revision {
		return
	}
	c.reached = append(c.reached, known)
	c.reached = slices.Delete(c.reached, 0, max(len(c.reached)-maxCheckpoints, 0))
}

// reachedBy returns the highest revision that any copy had reached by the moment, 0 when
// that is not known any more. The mutex is held.
func (c *copies) reachedBy(moment time.Time) storerev.Revision {
	for _, known := range slices.Backward(c.reached) {
		if !known.at.After(moment) {
			return known.revision
		}
	}
	return 0
}

// shownBy tells whether the answer shows what was the newest at the moment. One below a
// revision that was known before its call, or before the moment, comes from the past, as
// that of a replica that is behind: it proves no copy, and does not bound when what it
// lacks was written.
func (c *copies) shownBy(answer storeAnswer, at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return answer.revision >= max(answer.known, c.reachedBy(at))
}

// behind tells whether the copy of runners or weights may be older than the limit.
func (c *copies) behind(now time.Time, limit time.Duration) bool {
	for _, kind := range provenApart {
		if age, known := c.age(now, kind); known && age > limit {
			return true
		}
	}
	return false
}

// proofs tells how old the copies of runners and weights may be. Each age is read before
// the revision, which so is at least what the proof covers.
func (c *copies) proofs() []*wire.CopyProof {
	var proofs []*wire.CopyProof
	for _, kind := range provenApart {
		age, known := c.age(c.gateway.now(), kind)
		if !known {
			continue
		}
		proofs = append(proofs, &wire.CopyProof{Kind: uint32(kind), AgeMillis: wire.AgeMillis(age), Revision: uint64(c.revision(kind))})
	}
	return proofs
}

// recent tells whether the answer's proofs are at most so old: the configuration's, and
// with some slack those of runners and weights.
func recent(answer *wire.CopyAnswer, oldest time.Duration) bool {
	for _, told := range answer.GetProofs() {
		if wire.Age(told.GetAgeMillis()) > oldest+copySlack {
			return false
		}
	}
	return wire.Age(answer.GetProofAgeMillis()) <= oldest
}

// checkProofs takes another router's word on how old its copies may be. A version of the
// router that does not tell takes them to be as old as the configuration; that is believed
// of copies that are complete up to the newest revision that this router knows of.
func (r *relays) checkProofs(answer *wire.CopyAnswer, sent time.Time, configAge time.Duration) {
	copies := r.gateway.copies
	if answer.GetStoreRevision() > 0 {
		copies.checkpoints.add(checkpoint{revision: storerev.Revision(answer.GetStoreRevision()), at: sent.Add(-wire.Age(answer.GetStoreAgeMillis()))})
	}
	if !answer.GetTellsProofs() {
		newest, _ := copies.checkpoints.newest()
		for _, kind := range provenApart {
			copies.check(kind, checkpoint{revision: newest.revision, at: sent.Add(-configAge)})
		}
		return
	}
	for _, told := range answer.GetProofs() {
		kind := ObjectKind(told.GetKind())
		if int(kind) < len(objectKinds) && kind != ConfigObjects {
			copies.check(kind, checkpoint{revision: storerev.Revision(told.GetRevision()), at: sent.Add(-wire.Age(told.GetAgeMillis()))})
		}
	}
}
