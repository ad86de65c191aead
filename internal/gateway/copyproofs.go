package gateway

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// proveByCheckpoint records a proof for the copy if it is complete through the checkpoint's
// revision, and reports whether it is. A checkpoint of an earlier era says nothing about the copy.
func (c *copies) proveByCheckpoint(kind ObjectKind, known checkpoint) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	revision := c.currentThroughLocked(kind)
	if revision < known.revision || revision.Era() != known.revision.Era() {
		return false
	}
	c.recordProof(kind, known.at)
	c.updateStartup()
	return true
}

// newestRevision returns the highest revision that any copy has reached.
func (c *copies) newestRevision() storerev.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reachedBy(c.gateway.now())
}

// recordReached records the revision that a copy has reached if it is the highest so far. The mutex
// must be held.
func (c *copies) recordReached(reached checkpoint) {
	if last := len(c.reachedRevisions) - 1; last >= 0 && c.reachedRevisions[last].revision >= reached.revision {
		return
	}
	c.reachedRevisions = append(c.reachedRevisions, reached)
	c.reachedRevisions = slices.Delete(c.reachedRevisions, 0, max(len(c.reachedRevisions)-maxCheckpoints, 0))
}

// reachedBy returns the highest revision that any copy had reached at the time asOf, or 0 if that
// is no longer known. The mutex must be held.
func (c *copies) reachedBy(asOf time.Time) storerev.Revision {
	for _, reached := range slices.Backward(c.reachedRevisions) {
		if !reached.at.After(asOf) {
			return reached.revision
		}
	}
	return 0
}

// isCurrent reports whether the response shows the newest state as of the given time. A response is
// outdated if its revision is below one that was known before the call or before that time, for
// example because it comes from a store replica that lags behind. An outdated response proves no
// copy, and gives no bound on when the changes that it lacks were written.
func (c *copies) isCurrent(response storeResponse, at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return response.revision >= max(response.knownRevision, c.reachedBy(at))
}

// anyOlderThan reports whether the copy of runners or of weights may be older than the limit.
func (c *copies) anyOlderThan(now time.Time, limit time.Duration) bool {
	for _, kind := range c.separatelyProvenKinds() {
		if age, known := c.age(now, kind); known && age > limit {
			return true
		}
	}
	return false
}

// proofs returns the proofs of the copies of runners and weights. Each age is read before the
// revision, so the revision is at least the one that the proof covers.
func (c *copies) proofs() []*wire.CopyProof {
	var proofs []*wire.CopyProof
	for _, kind := range c.separatelyProvenKinds() {
		age, known := c.age(c.gateway.now(), kind)
		if !known || c.revision(kind) == 0 {
			continue
		}
		proofs = append(proofs, &wire.CopyProof{Kind: uint32(kind), AgeMillis: wire.AgeToMillis(age), Revision: uint64(c.revision(kind))})
	}
	return proofs
}

// isRecent reports whether the answer's proof of the configuration is at most maxAge old, and those
// of runners and weights at most copyProofMargin older than that.
func isRecent(answer *wire.CopyAnswer, maxAge time.Duration) bool {
	for _, copyProof := range answer.GetProofs() {
		if wire.AgeFromMillis(copyProof.GetAgeMillis()) > maxAge+copyProofMargin {
			return false
		}
	}
	return wire.AgeFromMillis(answer.GetProofAgeMillis()) <= maxAge
}

// applyProofs applies the proofs of another router's copies to this router's. Routers of a version
// that sends no proofs assume that all copies are as old as the configuration. That is accepted
// only for copies that are complete through the newest revision known to this router.
func (r *peerRouters) applyProofs(answer *wire.CopyAnswer, sentAt time.Time, configAge time.Duration) {
	copies := r.gateway.copies
	if answer.GetStoreRevision() > 0 {
		copies.checkpoints.add(checkpoint{revision: storerev.Revision(answer.GetStoreRevision()), at: sentAt.Add(-wire.AgeFromMillis(answer.GetStoreAgeMillis()))})
	}
	if !answer.GetTellsProofs() {
		newest, _ := copies.checkpoints.newest()
		for _, kind := range copies.separatelyProvenKinds() {
			copies.proveByCheckpoint(kind, checkpoint{revision: newest.revision, at: sentAt.Add(-configAge)})
		}
		return
	}
	for _, copyProof := range answer.GetProofs() {
		kind := ObjectKind(copyProof.GetKind())
		if copies.holds(kind) && kind != ConfigObjects {
			copies.proveByCheckpoint(kind, checkpoint{revision: storerev.Revision(copyProof.GetRevision()), at: sentAt.Add(-wire.AgeFromMillis(copyProof.GetAgeMillis()))})
		}
	}
}
