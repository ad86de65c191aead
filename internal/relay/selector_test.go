package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

// firstCandidate returns the best candidate, or false if there is none.
func firstCandidate(selector *Selector, now time.Time) (string, bool) {
	candidates := selector.Candidates(now)
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[0], true
}

func TestFailedSeedsAreSkippedUntilBackoffEnds(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z", []string{"a", "b"})
	first, found := firstCandidate(selector, start)
	g.Expect(found).To(BeTrue())
	selector.RecordFailure(start, first)
	second, found := firstCandidate(selector, start)
	g.Expect(found).To(BeTrue())
	g.Expect(second).NotTo(Equal(first))
	selector.RecordFailure(start, second)
	_, found = firstCandidate(selector, start)
	g.Expect(found).To(BeFalse(), "only the store is left")
	again, _ := firstCandidate(selector, start.Add(failureBackoff))
	g.Expect(again).To(Equal(first))
	selector.RecordFailure(start.Add(failureBackoff), first)
	selector.RecordReply(first, "z")
	again, _ = firstCandidate(selector, start.Add(failureBackoff))
	g.Expect(again).To(Equal(first))
}

func TestCandidatesExcludeTheRouterItself(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("a", "z", []string{"a", "b"})
	g.Expect(selector.IsSeed()).To(BeTrue())
	next, _ := firstCandidate(selector, start)
	g.Expect(next).To(Equal("b"))
	selector.SetSeeds([]string{"b"})
	g.Expect(selector.IsSeed()).To(BeFalse())
	selector.SetSeeds(nil)
	_, found := firstCandidate(selector, start)
	g.Expect(found).To(BeFalse())
}

func TestRoutersSpreadOverSeeds(t *testing.T) {
	g := NewWithT(t)
	counts := map[string]int{}
	for _, self := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11", "r12"} {
		next, _ := firstCandidate(NewSelector(self, "z", []string{"a", "b", "c"}), start)
		counts[next]++
	}
	g.Expect(counts).To(HaveLen(3))
}

func TestSeedsOfSameZoneArePreferred(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z1", []string{"a", "b", "c"})
	first, _ := firstCandidate(selector, start)
	selector.RecordReply(first, "z2")
	second, _ := firstCandidate(selector, start)
	g.Expect(second).NotTo(Equal(first), "a seed of unknown zone may be nearer")
	selector.RecordReply(second, "z1")
	near, _ := firstCandidate(selector, start)
	g.Expect(near).To(Equal(second))
	selector.RecordFailure(start, second)
	next, found := firstCandidate(selector, start)
	g.Expect(found).To(BeTrue())
	g.Expect(next).NotTo(Equal(second))
}

func TestRelayIsFirstCandidateUntilItFails(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z", []string{"a", "b"})
	selector.RecordReply("a", "z")
	selector.SetRelay("x")
	g.Expect(selector.Relay()).To(BeEmpty(), "its own address is ignored")
	selector.SetRelay("r")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"r", "a", "b"}))
	selector.RecordFailure(start, "r")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"a", "b"}))
}
