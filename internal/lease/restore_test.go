package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/storerev"
)

func revisionOf(t *testing.T, era, number uint64) storerev.Revision {
	t.Helper()
	revision, err := storerev.New(era, number)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return revision
}

// Guards against a holder whose renewal, sent before the store came back from a copy, replaced
// the lease of another node that had got the number again, and which believes in it on.
func TestRenewalThatMeetsAnotherEraProlongsNoTerm(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", duration, gap)
	c.Written(now, now, Acquire, revisionOf(t, 1, 7), c.Proposal(Acquire))
	sent := now.Add(duration - time.Millisecond)
	g.Expect(c.Next(sent)).To(Equal(Renew))
	answered := sent.Add(time.Second)
	c.Written(sent, answered, Renew, revisionOf(t, 2, 8), c.Proposal(Renew))
	_, held := c.Token(answered)
	g.Expect(held).To(BeFalse(), "the term has ended")
	g.Expect(c.Next(answered.Add(duration))).To(Equal(Wait), "whose lease it has replaced may believe in it")
	g.Expect(c.Next(answered.Add(duration + gap))).To(Equal(Acquire))
}

// Guards against a holder that waits for its own lease to end when the store has lost it.
func TestHolderTakesItsLeaseAnewInANewEra(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", duration, gap)
	c.Written(now, now, Acquire, revisionOf(t, 1, 7), c.Proposal(Acquire))
	back := now.Add(time.Second)
	c.EnterEra(back, 2)
	c.Observe(back, Observation{Revision: storerev.StartOf(2)})
	g.Expect(c.Next(back)).To(Equal(Acquire))
	c.Written(back, back, Acquire, revisionOf(t, 2, 3), c.Proposal(Acquire))
	token, held := c.Token(back)
	g.Expect(held).To(BeTrue())
	g.Expect(token).To(BeNumerically(">", revisionOf(t, 1, 7)), "its engines have seen the former token")
	g.Expect(c.Next(back)).To(Equal(Hold))
}

// Guards against a node that takes its own lease at once when a write of its, which nobody
// answered, was done late in another era, in place of the lease of a node that believes in it.
func TestLeaseWrittenLateFromAnEarlierEraIsNotTakenAtOnce(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1_000, 0)
	c := NewCandidateWithGap("n1", duration, gap)
	c.Observe(now, Observation{Exists: true, Revision: revisionOf(t, 1, 7)})
	late := c.Proposal(Acquire)
	c.EnterEra(now, 2)
	now = now.Add(time.Minute)
	c.Observe(now, Observation{Exists: true, Revision: revisionOf(t, 2, 9), Spec: late})
	g.Expect(c.Next(now)).To(Equal(Wait))
	g.Expect(c.Next(now.Add(duration + gap))).To(Equal(Acquire))

	inTime := c.Proposal(Acquire)
	c.Observe(now, Observation{Exists: true, Revision: revisionOf(t, 2, 10), Spec: inTime})
	g.Expect(c.Next(now)).To(Equal(Acquire), "its answer was lost, in the era of its read")
}
