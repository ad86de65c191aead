package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/placement"
)

var start = time.Unix(1_000, 0)

func runner(id, zone string) Runner {
	return Runner{ID: id, Service: "s", Address: id + ":1", Zone: zone, Slots: 8, Models: []ModelVersion{{"m", 1}}}
}

func names(candidates []placement.Candidate) []string {
	var ids []string
	for _, candidate := range candidates {
		ids = append(ids, candidate.Name)
	}
	return ids
}

func TestReplacedRunnersAreGone(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	g.Expect(set.Put(runner("a", "z"))).To(BeTrue())
	g.Expect(set.Put(runner("b", "z"))).To(BeTrue())
	g.Expect(set.Put(runner("a", "z"))).To(BeFalse())
	g.Expect(set.Retain(map[string]bool{"b": true})).To(Equal([]string{"a"}))
	_, candidates := set.Candidates(start, Query{Service: "s"})
	g.Expect(names(candidates)).To(Equal([]string{"b"}))
	moved := runner("b", "z")
	moved.Service = "other"
	set.Put(moved)
	_, candidates = set.Candidates(start, Query{Service: "s"})
	g.Expect(candidates).To(BeEmpty(), "a runner that is another service's now")
}

func TestExpiredWeightsBeginNoRequest(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	g.Expect(set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Second)})).To(BeTrue())
	g.Expect(set.Weights().Name("m", 3, Deadlines{Old: start, Expired: start.Add(5 * time.Second)})).To(BeTrue())
	g.Expect(set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start})).To(BeFalse(), "versions only rise")
	set.LearnVersion("b", "m", 2)
	_, candidates := set.Candidates(start, Query{Service: "s", Model: "m"})
	g.Expect(names(candidates)).To(Equal([]string{"a", "b"}))
	_, candidates = set.Candidates(start.Add(2*time.Second), Query{Service: "s", Model: "m"})
	g.Expect(names(candidates)).To(Equal([]string{"b"}), "version 1 ends with the deadline of 2, not of 3")
	_, candidates = set.Candidates(start.Add(6*time.Second), Query{Service: "s", Model: "m"})
	g.Expect(candidates).To(BeEmpty())
	_, candidates = set.Candidates(start.Add(6*time.Second), Query{Service: "s"})
	g.Expect(candidates).To(HaveLen(2), "requests without a model need no weights")
}

// A request that would wait in a runner's queue until the weights expire is not
// sent there (hunt-9213-31 of gelombang-ulang: it began 0.6 s too late).
func TestWeightsThatExpireWhileARequestWaitsBeginNothing(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Second)})
	query := Query{Service: "s", Model: "m", PromptTokens: 1000}
	_, candidates := set.Candidates(start, query)
	g.Expect(candidates).To(HaveLen(1))
	send := set.Begin(start.Add(-3*time.Second), "a", 0)
	set.FirstAnswer(start, send)
	set.End(start, send, Answered)
	_, candidates = set.Candidates(start, query)
	g.Expect(candidates).To(BeEmpty(), "requests wait 1.5 s there")
	query.PromptTokens = 2 * PrefillRate
	_, candidates = set.Candidates(start.Add(10*waitHalfLife), query)
	g.Expect(candidates).To(BeEmpty(), "its own prompt takes two seconds")
}

func TestOldWeightsAreDearOnlyAfterTheirGrace(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	set.Put(runner("c", "z"))
	set.Weights().Name("m", 2, Deadlines{Old: start.Add(time.Second), Expired: start.Add(time.Minute)})
	cost := func(now time.Time) int {
		_, candidates := set.Candidates(now, Query{Service: "s", Model: "m"})
		return candidates[2].PenaltyTokens // of c, as a is the next to be updated
	}
	g.Expect(cost(start)).To(BeZero())
	g.Expect(cost(start.Add(time.Second))).To(Equal(oldWeightsCost))
}

func TestHomeIsTheSameOnAllRoutersAndMovesWhenItLeaves(t *testing.T) {
	g := NewWithT(t)
	one, other := NewSet("z1"), NewSet("z2")
	for _, id := range []string{"a", "b", "c", "d"} {
		one.Put(runner(id, "z1"))
		other.Put(runner(id, "z1"))
	}
	query := Query{Service: "s", Model: "m", Family: 42, PromptTokens: 1000, SharedTokens: 900}
	cached := func(set *Set) string {
		_, candidates := set.Candidates(start, query)
		for _, candidate := range candidates {
			if candidate.CachedTokens == 900 {
				return candidate.Name
			}
		}
		return ""
	}
	home := cached(one)
	g.Expect(home).NotTo(BeEmpty())
	g.Expect(cached(other)).To(Equal(home))
	leaving := runner(home, "z1")
	leaving.Draining = true
	one.Put(leaving)
	g.Expect(cached(one)).NotTo(Equal(home))
}

func TestUnreachableRunnersAreSetAsideForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	now := start
	for range 20 {
		set.End(now, set.Begin(now, "a", 0), Unreachable)
	}
	request, candidates := set.Candidates(now, Query{Service: "s"})
	g.Expect(request.Excluded).To(Equal([]string{"a"}))
	g.Expect(candidates).To(HaveLen(2), "set aside, not removed")
	request, _ = set.Candidates(now.Add(maxAside), Query{Service: "s"})
	g.Expect(request.Excluded).To(BeEmpty())
}

func TestAnsweredRunnerIsForgiven(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.End(start, set.Begin(start, "a", 0), Failed)
	_, before := set.Candidates(start, Query{Service: "s"})
	_, after := set.Candidates(start.Add(10*failureHalfLife), Query{Service: "s"})
	g.Expect(before[0].PenaltyTokens).To(BeNumerically(">", 5000))
	g.Expect(after[0].PenaltyTokens).To(BeNumerically("<", 20))
}

// Whatever is reported about runners, a service whose directory lists a runner
// that takes work always has one that placement picks.
func TestEvidenceNeverEmptiesAService(t *testing.T) {
	testkit.Properties(2000)
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet("z")
		ids := []string{"a", "b", "c"}
		for _, id := range ids {
			set.Put(runner(id, rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")))
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "runner")
			outcome := rapid.SampledFrom([]Outcome{Answered, Failed, Refused, Unreachable, Abandoned}).Draw(t, "outcome")
			after := time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond
			send := set.Begin(now.Add(-after), id, 100)
			if rapid.Bool().Draw(t, "answered first") {
				set.FirstAnswer(now, send)
			}
			set.End(now, send, outcome)
			request, candidates := set.Candidates(now, Query{Service: "s", Model: "m", PromptTokens: 500})
			pick := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, testRandom())
			if pick.Status != placement.Picked {
				t.Fatalf("no runner is picked: %v", pick.Status)
			}
		}
		for _, e := range set.entries {
			if e.inFlight != 0 || e.pendingTokens != 0 || e.unanswered != 0 {
				t.Fatalf("%s: %d in flight, %d tokens pending after all ended", e.ID, e.inFlight, e.pendingTokens)
			}
		}
	})
}

func TestOutdatedRunnersAreGrouped(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	g.Expect(set.Outdated()).To(BeZero())
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Minute)})
	g.Expect(set.Outdated()).To(Equal(2))
	groups := set.ModelGroups(start, time.Second)
	g.Expect(groups).To(HaveLen(1))
	g.Expect(groups[0].Target).To(Equal(uint64(2)))
	g.Expect(groups[0].Runners).To(HaveLen(2))
	g.Expect(set.LearnVersion("a", "m", 2)).To(BeTrue())
	g.Expect(set.LearnVersion("a", "m", 2)).To(BeFalse(), "no news")
	leaving := runner("b", "z")
	leaving.Draining = true
	set.Put(leaving)
	g.Expect(set.Outdated()).To(BeZero(), "a runner that leaves needs no weights")
}

// A request that was sent in good time may begin for longer than new ones are sent, but
// not on weights past their deadline, unless its runner has newer ones by then.
func TestSentRequestsMayBeginUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	mayBegin := func(after time.Duration, sentTo uint64) bool {
		return set.MayBegin(start.Add(after), "a", "m", sentTo)
	}
	g.Expect(mayBegin(time.Hour, 1)).To(BeTrue(), "nothing was named")
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Second), Unbegun: start.Add(2 * time.Second)})
	set.Weights().Name("m", 3, Deadlines{Old: start, Expired: start.Add(5 * time.Second), Unbegun: start.Add(6 * time.Second)})
	g.Expect(set.Weights().State(start.Add(time.Second), "m", 1)).To(Equal(Expired))
	g.Expect(mayBegin(2*time.Second-1, 1)).To(BeTrue())
	g.Expect(mayBegin(2*time.Second, 1)).To(BeFalse())
	g.Expect(mayBegin(2*time.Second, 2)).To(BeTrue(), "known at the send")
	g.Expect(set.MayBegin(start.Add(2*time.Second), "a", "other", 1)).To(BeTrue(), "another model")
	set.LearnVersion("a", "m", 2)
	g.Expect(mayBegin(6*time.Second-1, 1)).To(BeTrue(), "learned since")
	g.Expect(mayBegin(6*time.Second, 1)).To(BeFalse(), "version 3 has its own deadline")
	set.LearnVersion("a", "m", 3)
	g.Expect(mayBegin(time.Hour, 1)).To(BeTrue())
	set.Remove("a")
	g.Expect(mayBegin(time.Hour, 1)).To(BeFalse(), "what a removed runner has is not known")
}

// A router that lives long sees more versions than it keeps deadlines for: the
// newest must expire the one before it all the same.
func TestWeightsExpireAfterAnyNumberOfVersions(t *testing.T) {
	g := NewWithT(t)
	weights := NewWeights()
	now := start
	const versions = 3 * maxDeadlines
	for version := uint64(1); version <= versions; version++ {
		now = now.Add(10 * time.Second)
		weights.Name("m", version, Deadlines{Old: now.Add(time.Second), Expired: now.Add(5 * time.Second), Unbegun: now.Add(6 * time.Second)})
	}
	g.Expect(weights.MayBegin(now.Add(5*time.Second), "m", versions-1)).To(BeTrue())
	g.Expect(weights.MayBegin(now.Add(6*time.Second), "m", versions-1)).To(BeFalse())
	g.Expect(weights.State(now, "m", versions-1)).To(Equal(Replaced))
	g.Expect(weights.State(now.Add(2*time.Second), "m", versions-1)).To(Equal(Old))
	g.Expect(weights.State(now.Add(6*time.Second), "m", versions-1)).To(Equal(Expired))
	g.Expect(weights.State(now, "m", versions-2)).To(Equal(Expired))
	g.Expect(weights.State(now.Add(6*time.Second), "m", versions)).To(Equal(Current))
}
