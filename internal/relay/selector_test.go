package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/distance"
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
	selector := NewSelector("x", "z", distance.New(distance.Config{}), []string{"a", "b"})
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
	selector := NewSelector("a", "z", distance.New(distance.Config{}), []string{"a", "b"})
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
		next, _ := firstCandidate(NewSelector(self, "z", distance.New(distance.Config{}), []string{"a", "b", "c"}), start)
		counts[next]++
	}
	g.Expect(counts).To(HaveLen(3))
}

func TestSeedsOfSameZoneArePreferred(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z1", distance.New(distance.Config{}), []string{"a", "b", "c"})
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
	selector := NewSelector("x", "z", distance.New(distance.Config{}), []string{"a", "b"})
	selector.RecordReply("a", "z")
	selector.SetRelay("x")
	g.Expect(selector.Relay()).To(BeEmpty(), "its own address is ignored")
	selector.SetRelay("r")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"r", "a", "b"}))
	selector.RecordFailure(start, "r")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"a", "b"}))
}

// regional are the regions of the zones in tests: z1 and z2 are in one, z3 and z4 in others.
func regional(zone string) *distance.Table {
	return distance.New(distance.Config{Zone: zone, Regions: map[string]string{"z1": "near", "z2": "near", "z3": "far", "z4": "farther"}})
}

// Guards against pulls over a border while a seed of the own region answers.
func TestSeedsOfSameRegionArePreferred(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z1", regional("z1"), []string{"a", "b", "c", "d"})
	selector.RecordReply("a", "z3")
	selector.RecordReply("b", "z2")
	selector.RecordReply("c", "z1")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"c", "b", "d", "a"}), "own zone, own region, unknown zone, other region")
}

// Guards against a region without a seed that learns different things from several seeds.
func TestRoutersOfRegionWithoutSeedPullFromSameSeed(t *testing.T) {
	g := NewWithT(t)
	firsts := map[string]bool{}
	for _, self := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"} {
		selector := NewSelector(self, "z1", regional("z1"), []string{"a", "b", "c"})
		selector.RecordReply("a", "z3")
		selector.RecordReply("b", "z3")
		selector.RecordReply("c", "z4")
		first, _ := firstCandidate(selector, start)
		firsts[first] = true
	}
	g.Expect(firsts).To(HaveLen(1))
}

// Guards against a whole region that reads the store when it loses its seeds, and against standby
// schedulers that wait for each other.
func TestStandbysAreLastCandidates(t *testing.T) {
	g := NewWithT(t)
	selector := NewSelector("x", "z1", regional("z1"), []string{"a"})
	selector.RecordReply("a", "z3")
	selector.SetStandbys([]string{"a", "s", "t"})
	g.Expect(selector.Candidates(start)).To(Equal([]string{"a", "s", "t"}))
	selector.RecordFailure(start, "a")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"s", "t"}))
	selector.RecordFailure(start, "s")
	g.Expect(selector.Candidates(start)).To(Equal([]string{"t"}))
	selector.SetStandbys([]string{"a", "x", "t"})
	g.Expect(selector.Candidates(start)).To(BeEmpty(), "a standby scheduler reads the store")
}
