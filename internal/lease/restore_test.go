package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/storerev"
)

func newRevision(t *testing.T, era, number uint64) storerev.Revision {
	t.Helper()
	revision, err := storerev.New(era, number)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return revision
}

// Guards against two holders at the same time: a renewal that was sent before the store
// was restored from a backup is applied afterwards, and replaces the lease of another node
// that was assigned the same number. Its sender must not extend its term.
func TestRenewalAppliedInAnotherEraDoesNotExtendTerm(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", leaseDuration, takeoverGap)
	c.RecordWrite(now, now, Acquire, newRevision(t, 1, 7), c.Proposal(Acquire))
	sent := now.Add(leaseDuration - time.Millisecond)
	g.Expect(c.Next(sent)).To(Equal(Renew))
	answered := sent.Add(time.Second)
	c.RecordWrite(sent, answered, Renew, newRevision(t, 2, 8), c.Proposal(Renew))
	_, held := c.Token(answered)
	g.Expect(held).To(BeFalse(), "the term has expired")
	g.Expect(c.Next(answered.Add(leaseDuration))).To(Equal(Wait), "the node whose lease was replaced may still hold it")
	g.Expect(c.Next(answered.Add(leaseDuration + takeoverGap))).To(Equal(Acquire))
}

// Guards against a holder that waits for its own lease to expire after the store has
// lost it.
func TestHolderReacquiresLeaseInNewEra(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", leaseDuration, takeoverGap)
	c.RecordWrite(now, now, Acquire, newRevision(t, 1, 7), c.Proposal(Acquire))
	restored := now.Add(time.Second)
	c.EnterEra(restored, 2)
	c.Observe(restored, Observation{Revision: storerev.StartOf(2)})
	g.Expect(c.Next(restored)).To(Equal(Acquire))
	c.RecordWrite(restored, restored, Acquire, newRevision(t, 2, 3), c.Proposal(Acquire))
	token, held := c.Token(restored)
	g.Expect(held).To(BeTrue())
	g.Expect(token).To(BeNumerically(">", newRevision(t, 1, 7)), "engines have seen the former token")
	g.Expect(c.Next(restored)).To(Equal(Hold))
}

// Guards against a node that acquires its own lease at once although another node may hold
// it: an unanswered write of the node was applied late, in another era, and replaced the
// lease of the other node.
func TestLeaseFromDelayedWriteOfEarlierEraIsNotAcquiredAtOnce(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", leaseDuration, takeoverGap)
	c.Observe(now, Observation{Exists: true, Revision: newRevision(t, 1, 7)})
	delayed := c.Proposal(Acquire)
	c.EnterEra(now, 2)
	now = now.Add(time.Minute)
	c.Observe(now, Observation{Exists: true, Revision: newRevision(t, 2, 9), Spec: delayed})
	g.Expect(c.Next(now)).To(Equal(Wait))
	g.Expect(c.Next(now.Add(leaseDuration + takeoverGap))).To(Equal(Acquire))

	sameEra := c.Proposal(Acquire)
	c.Observe(now, Observation{Exists: true, Revision: newRevision(t, 2, 10), Spec: sameEra})
	g.Expect(c.Next(now)).To(Equal(Acquire), "the write was sent and applied in the same era, and only the response was lost")
}
