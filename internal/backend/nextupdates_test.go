package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Routers that do not order runners leave those alone that are being updated.
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
	g.Expect(avoided(start)).To(BeEmpty(), "nothing was named")
	set.Weights().Name("m", 2, Deadlines{Old: start.Add(time.Minute), Expired: start.Add(2 * time.Minute)})
	now := start.Add(time.Second)
	g.Expect(avoided(now)).To(Equal([]string{"r0", "r1"}), "a quarter at once")
	set.LearnVersion("r0", "m", 2)
	now = now.Add(nextUpdatesAge)
	g.Expect(avoided(now)).To(Equal([]string{"r1", "r2"}), "the next one's turn")
	for i := range 8 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 2)
	}
	now = now.Add(nextUpdatesAge)
	g.Expect(avoided(now)).To(BeEmpty(), "all have them")
	set.Weights().Name("m", 3, Deadlines{Old: start.Add(time.Minute), Expired: start.Add(2 * time.Minute)})
	set.LearnVersion("r0", "m", 3)
	now = now.Add(nextUpdatesAge)
	g.Expect(avoided(now)).To(Equal([]string{"r1", "r2"}))
}

// manyRunners returns a table with that many runners.
func manyRunners(count int) *Set {
	set := NewSet("z")
	for i := range count {
		set.Put(runner(fmt.Sprintf("r%d", i), "z"))
	}
	return set
}

// A large service takes as many runners out at once as bring all of them to the
// weights in the time of a rollout, not a fixed share.
func TestRolloutsAreSpreadOverTheirTime(t *testing.T) {
	g := NewWithT(t)
	set := manyRunners(200)
	set.SetRolloutTime(5 * time.Second)
	set.Weights().Name("m", 2, Deadlines{Old: start.Add(time.Second), Expired: start.Add(8 * time.Second)})
	g.Expect(set.UpdatesAtOnce(start, "s", "m", time.Second)).To(Equal(40), "200 runners, 5 s, 1 s each")
	g.Expect(set.UpdatesAtOnce(start, "s", "m", 2*time.Second)).To(Equal(50), "never more than a quarter")
}

// Updates that were held up are hastened before the weights expire.
func TestRolloutsAreHastenedBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	set := manyRunners(200)
	set.SetRolloutTime(20 * time.Second)
	set.Weights().Name("m", 2, Deadlines{Old: start.Add(time.Second), Expired: start.Add(8 * time.Second)})
	set.Weights().Name("m", 3, Deadlines{Old: start.Add(5 * time.Second), Expired: start.Add(12 * time.Second)})
	for i := range 160 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 2)
	}
	g.Expect(set.UpdatesAtOnce(start, "s", "m", time.Second)).To(Equal(19), "200 in the 11 s until version 2 expires")
	g.Expect(set.UpdatesAtOnce(start.Add(5*time.Second), "s", "m", time.Second)).To(Equal(34), "200 in 6 s")
	g.Expect(set.UpdatesAtOnce(start.Add(7*time.Second), "s", "m", time.Second)).To(Equal(50), "40 have expired or are about to")
	for i := range 200 {
		set.LearnVersion(fmt.Sprintf("r%d", i), "m", 3)
	}
	g.Expect(set.UpdatesAtOnce(start, "s", "m", time.Second)).To(Equal(10), "nothing is urgent when all have the newest")
}

// Whoever plans updates is told which runners serve nobody any more.
func TestGroupsTellWhichWeightsExpired(t *testing.T) {
	g := NewWithT(t)
	set := manyRunners(3)
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Second)})
	set.Weights().Name("m", 3, Deadlines{Old: start, Expired: start.Add(time.Minute)})
	set.LearnVersion("r1", "m", 2)
	set.LearnVersion("r2", "m", 3)
	expired := func(now time.Time) map[string]bool {
		told := map[string]bool{}
		for _, runner := range set.ModelGroups(now, time.Second)[0].Runners {
			told[runner.ID] = runner.Expired
		}
		return told
	}
	g.Expect(expired(start)).To(Equal(map[string]bool{"r0": false, "r1": false, "r2": false}))
	g.Expect(expired(start.Add(time.Second))).To(Equal(map[string]bool{"r0": true, "r1": false, "r2": false}))
	g.Expect(expired(start.Add(time.Minute))).To(Equal(map[string]bool{"r0": true, "r1": true, "r2": false}))
}
