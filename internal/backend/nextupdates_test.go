package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Routers that do not order updates also avoid the runners that are updating or next.
func TestRunnersToBeUpdatedNextAreAvoided(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	for i := range 8 {
		set.Put(runner(fmt.Sprintf("r%d", i), "z"))
	}
	avoided := func(now time.Time) (ids []string) {
		_, candidates := set.Candidates(now, Query{Service: "s", Model: "m", PromptTokens: 10})
		for _, candidate := range candidates {
			if candidate.PenaltyTokens >= updatingCost {
				ids = append(ids, candidate.Name)
			}
		}
		return ids
	}
	g.Expect(avoided(start)).To(BeEmpty(), "no target version is set")
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start.Add(time.Minute), Expiry: start.Add(2 * time.Minute)})
	now := start.Add(time.Second)
	g.Expect(avoided(now)).To(Equal([]string{"r0", "r1"}), "a quarter of the runners at once")
	set.LearnVersion("r0", "m", 2)
	now = now.Add(nextUpdatesTTL)
	g.Expect(avoided(now)).To(Equal([]string{"r1", "r2"}), "the next runner in order")
	for i := range 8 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 2)
	}
	now = now.Add(nextUpdatesTTL)
	g.Expect(avoided(now)).To(BeEmpty(), "all runners have the target version")
	set.WeightTargets().SetTarget("m", 3, Deadlines{StaleAt: start.Add(time.Minute), Expiry: start.Add(2 * time.Minute)})
	set.LearnVersion("r0", "m", 3)
	now = now.Add(nextUpdatesTTL)
	g.Expect(avoided(now)).To(Equal([]string{"r1", "r2"}))
}

// newSetWithRunners returns a table with the given number of runners.
func newSetWithRunners(count int) *Set {
	set := NewSet("z")
	for i := range count {
		set.Put(runner(fmt.Sprintf("r%d", i), "z"))
	}
	return set
}

// Enough runners of a large service update at once to finish within the rollout time,
// instead of a fixed share of them.
func TestUpdateConcurrencyFollowsRolloutTime(t *testing.T) {
	g := NewWithT(t)
	set := newSetWithRunners(200)
	set.SetRolloutTime(5 * time.Second)
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start.Add(time.Second), Expiry: start.Add(8 * time.Second)})
	g.Expect(set.MaxConcurrentUpdates(start, "s", "m", time.Second)).To(Equal(40), "200 runners, 5 s, 1 s each")
	g.Expect(set.MaxConcurrentUpdates(start, "s", "m", 2*time.Second)).To(Equal(50), "never more than a quarter")
}

// Delayed updates run at a higher concurrency before the weights expire.
func TestUpdateConcurrencyRisesBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	set := newSetWithRunners(200)
	set.SetRolloutTime(20 * time.Second)
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start.Add(time.Second), Expiry: start.Add(8 * time.Second)})
	set.WeightTargets().SetTarget("m", 3, Deadlines{StaleAt: start.Add(5 * time.Second), Expiry: start.Add(12 * time.Second)})
	for i := range 160 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 2)
	}
	g.Expect(set.MaxConcurrentUpdates(start, "s", "m", time.Second)).To(Equal(19), "200 runners in the 11 s until version 2 expires")
	g.Expect(set.MaxConcurrentUpdates(start.Add(5*time.Second), "s", "m", time.Second)).To(Equal(34), "200 runners in 6 s")
	g.Expect(set.MaxConcurrentUpdates(start.Add(7*time.Second), "s", "m", time.Second)).To(Equal(50), "40 runners have expired weights or are about to")
	for i := range 200 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 3)
	}
	g.Expect(set.MaxConcurrentUpdates(start, "s", "m", time.Second)).To(Equal(10), "no deadline applies when all runners are up to date")
}

// The planner of updates learns from Expired which runners no longer serve requests.
func TestModelGroupsMarkExpiredWeights(t *testing.T) {
	g := NewWithT(t)
	set := newSetWithRunners(3)
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Second)})
	set.WeightTargets().SetTarget("m", 3, Deadlines{StaleAt: start, Expiry: start.Add(time.Minute)})
	set.LearnVersion("r1", "m", 2)
	set.LearnVersion("r2", "m", 3)
	expired := func(now time.Time) map[string]bool {
		byRunner := map[string]bool{}
		for _, runner := range set.ModelGroups(now, time.Second)[0].Runners {
			byRunner[runner.ID] = runner.Expired
		}
		return byRunner
	}
	g.Expect(expired(start)).To(Equal(map[string]bool{"r0": false, "r1": false, "r2": false}))
	g.Expect(expired(start.Add(time.Second))).To(Equal(map[string]bool{"r0": true, "r1": false, "r2": false}))
	g.Expect(expired(start.Add(time.Minute))).To(Equal(map[string]bool{"r0": true, "r1": true, "r2": false}))
}
