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

func candidateNames(candidates []placement.Candidate) []string {
	var ids []string
	for _, candidate := range candidates {
		ids = append(ids, candidate.Name)
	}
	return ids
}

func TestRetainRemovesUnlistedRunners(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	g.Expect(set.Put(runner("a", "z"))).To(BeTrue())
	g.Expect(set.Put(runner("b", "z"))).To(BeTrue())
	g.Expect(set.Put(runner("a", "z"))).To(BeFalse())
	g.Expect(set.Retain(map[string]bool{"b": true})).To(Equal([]string{"a"}))
	_, candidates := set.Candidates(start, Query{Service: "s"})
	g.Expect(candidateNames(candidates)).To(Equal([]string{"b"}))
	moved := runner("b", "z")
	moved.Service = "other"
	set.Put(moved)
	_, candidates = set.Candidates(start, Query{Service: "s"})
	g.Expect(candidates).To(BeEmpty(), "the runner belongs to another service now")
}

func TestCandidatesExcludeExpiredWeights(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	g.Expect(set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Second)})).To(BeTrue())
	g.Expect(set.WeightTargets().SetTarget("m", 3, Deadlines{StaleAt: start, Expiry: start.Add(5 * time.Second)})).To(BeTrue())
	g.Expect(set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start})).To(BeFalse(), "versions must increase")
	set.LearnVersion("b", "m", 2)
	_, candidates := set.Candidates(start, Query{Service: "s", Model: "m"})
	g.Expect(candidateNames(candidates)).To(Equal([]string{"a", "b"}))
	_, candidates = set.Candidates(start.Add(2*time.Second), Query{Service: "s", Model: "m"})
	g.Expect(candidateNames(candidates)).To(Equal([]string{"b"}), "version 1 expires with the deadline set by version 2, not 3")
	_, candidates = set.Candidates(start.Add(6*time.Second), Query{Service: "s", Model: "m"})
	g.Expect(candidates).To(BeEmpty())
	_, candidates = set.Candidates(start.Add(6*time.Second), Query{Service: "s"})
	g.Expect(candidates).To(HaveLen(2), "requests without a model need no weights")
}

// A request must not be sent to a runner where it would queue until the weights expire.
// In run hunt-9213-31 of gelombang-ulang such a request began 0.6 s too late.
func TestCandidatesExcludeWeightsExpiringBeforeStart(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Second)})
	query := Query{Service: "s", Model: "m", PromptTokens: 1000}
	_, candidates := set.Candidates(start, query)
	g.Expect(candidates).To(HaveLen(1))
	send := set.Begin(start.Add(-3*time.Second), "a", 0)
	set.FirstResponse(start, send)
	set.End(start, send, Succeeded)
	_, candidates = set.Candidates(start, query)
	g.Expect(candidates).To(BeEmpty(), "requests wait 1.5 s at the runner")
	query.PromptTokens = 2 * PrefillRate
	_, candidates = set.Candidates(start.Add(10*waitHalfLife), query)
	g.Expect(candidates).To(BeEmpty(), "the prefill of the request takes two seconds")
}

func TestStaleWeightsCostOnlyAfterGracePeriod(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	set.Put(runner("c", "z"))
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start.Add(time.Second), Expiry: start.Add(time.Minute)})
	cost := func(now time.Time) int {
		_, candidates := set.Candidates(now, Query{Service: "s", Model: "m"})
		return candidates[2].PenaltyTokens // cost of runner c, as a is next to be updated
	}
	g.Expect(cost(start)).To(BeZero())
	g.Expect(cost(start.Add(time.Second))).To(Equal(staleWeightsCost))
}

func TestHomeRunnerIsConsistentAndMovesWhenDraining(t *testing.T) {
	g := NewWithT(t)
	first, second := NewSet("z1"), NewSet("z2")
	for _, id := range []string{"a", "b", "c", "d"} {
		first.Put(runner(id, "z1"))
		second.Put(runner(id, "z1"))
	}
	query := Query{Service: "s", Model: "m", Family: 42, PromptTokens: 1000, SharedTokens: 900}
	homeOf := func(set *Set) string {
		_, candidates := set.Candidates(start, query)
		for _, candidate := range candidates {
			if candidate.CachedTokens == 900 {
				return candidate.Name
			}
		}
		return ""
	}
	home := homeOf(first)
	g.Expect(home).NotTo(BeEmpty())
	g.Expect(homeOf(second)).To(Equal(home))
	leaving := runner(home, "z1")
	leaving.Draining = true
	first.Put(leaving)
	g.Expect(homeOf(first)).NotTo(Equal(home))
}

func TestUnreachableRunnersAreAvoidedForBoundedTime(t *testing.T) {
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
	g.Expect(candidates).To(HaveLen(2), "avoided, not removed")
	request, _ = set.Candidates(now.Add(maxAvoidTime), Query{Service: "s"})
	g.Expect(request.Excluded).To(BeEmpty())
}

func TestFailureCostDecays(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.End(start, set.Begin(start, "a", 0), Failed)
	_, before := set.Candidates(start, Query{Service: "s"})
	_, after := set.Candidates(start.Add(10*failureHalfLife), Query{Service: "s"})
	g.Expect(before[0].PenaltyTokens).To(BeNumerically(">", 5000))
	g.Expect(after[0].PenaltyTokens).To(BeNumerically("<", 20))
}

// Whatever outcomes are reported, placement can pick a runner of every service for which the
// directory lists one that accepts work.
func TestFailuresNeverRemoveAllRunners(t *testing.T) {
	testkit.SetRapidDefaults(2000)
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
			outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Refused, Unreachable, Abandoned}).Draw(t, "outcome")
			after := time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond
			send := set.Begin(now.Add(-after), id, 100)
			if rapid.Bool().Draw(t, "responded") {
				set.FirstResponse(now, send)
			}
			set.End(now, send, outcome)
			request, candidates := set.Candidates(now, Query{Service: "s", Model: "m", PromptTokens: 500})
			pick := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, testRandom())
			if pick.Status != placement.Picked {
				t.Fatalf("no runner was picked: status %v", pick.Status)
			}
		}
		for _, e := range set.entries {
			if e.inFlight != 0 || e.pendingTokens != 0 || e.awaitingResponse != 0 {
				t.Fatalf("runner %s: %d requests in flight and %d tokens pending after all ended", e.ID, e.inFlight, e.pendingTokens)
			}
		}
	})
}

func TestModelGroupsOfOutdatedRunners(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	set.Put(runner("b", "z"))
	g.Expect(set.CountOutdated()).To(BeZero())
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Minute)})
	g.Expect(set.CountOutdated()).To(Equal(2))
	groups := set.ModelGroups(start, time.Second)
	g.Expect(groups).To(HaveLen(1))
	g.Expect(groups[0].Target).To(Equal(uint64(2)))
	g.Expect(groups[0].Runners).To(HaveLen(2))
	g.Expect(set.LearnVersion("a", "m", 2)).To(BeTrue())
	g.Expect(set.LearnVersion("a", "m", 2)).To(BeFalse(), "not newer")
	leaving := runner("b", "z")
	leaving.Draining = true
	set.Put(leaving)
	g.Expect(set.CountOutdated()).To(BeZero(), "a draining runner needs no update")
}

// A request that was sent in time may begin for longer than new ones are sent, but not
// after the withdraw deadline, unless its runner has newer weights by then.
func TestMayBeginUntilWithdrawDeadline(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	mayBegin := func(after time.Duration, versionAtSend uint64) bool {
		return set.MayBegin(start.Add(after), "a", "m", versionAtSend)
	}
	g.Expect(mayBegin(time.Hour, 1)).To(BeTrue(), "no target version is set")
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Second), WithdrawAt: start.Add(2 * time.Second)})
	set.WeightTargets().SetTarget("m", 3, Deadlines{StaleAt: start, Expiry: start.Add(5 * time.Second), WithdrawAt: start.Add(6 * time.Second)})
	g.Expect(set.WeightTargets().State(start.Add(time.Second), "m", 1)).To(Equal(Expired))
	g.Expect(mayBegin(2*time.Second-1, 1)).To(BeTrue())
	g.Expect(mayBegin(2*time.Second, 1)).To(BeFalse())
	g.Expect(mayBegin(2*time.Second, 2)).To(BeTrue(), "version known when the request was sent")
	g.Expect(set.MayBegin(start.Add(2*time.Second), "a", "other", 1)).To(BeTrue(), "a model without a target version")
	set.LearnVersion("a", "m", 2)
	g.Expect(mayBegin(6*time.Second-1, 1)).To(BeTrue(), "version learned since the send")
	g.Expect(mayBegin(6*time.Second, 1)).To(BeFalse(), "version 3 has its own deadline")
	set.LearnVersion("a", "m", 3)
	g.Expect(mayBegin(time.Hour, 1)).To(BeTrue())
	set.Remove("a")
	g.Expect(mayBegin(time.Hour, 1)).To(BeFalse(), "the version of a removed runner is unknown")
}

// A long-running router sees more versions than maxDeadlines. The newest target must still
// expire the version before it.
func TestWeightsExpireAfterAnyNumberOfVersions(t *testing.T) {
	g := NewWithT(t)
	weights := NewWeightTargets()
	now := start
	const versions = 3 * maxDeadlines
	for version := uint64(1); version <= versions; version++ {
		now = now.Add(10 * time.Second)
		weights.SetTarget("m", version, Deadlines{StaleAt: now.Add(time.Second), Expiry: now.Add(5 * time.Second), WithdrawAt: now.Add(6 * time.Second)})
	}
	g.Expect(weights.MayBegin(now.Add(5*time.Second), "m", versions-1)).To(BeTrue())
	g.Expect(weights.MayBegin(now.Add(6*time.Second), "m", versions-1)).To(BeFalse())
	g.Expect(weights.State(now, "m", versions-1)).To(Equal(InGrace))
	g.Expect(weights.State(now.Add(2*time.Second), "m", versions-1)).To(Equal(Stale))
	g.Expect(weights.State(now.Add(6*time.Second), "m", versions-1)).To(Equal(Expired))
	g.Expect(weights.State(now, "m", versions-2)).To(Equal(Expired))
	g.Expect(weights.State(now.Add(6*time.Second), "m", versions)).To(Equal(Current))
}
