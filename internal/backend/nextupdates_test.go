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
			if candidate.ExtraTokens >= updatingCost {
				ids = append(ids, candidate.Name)
			}
		}
		return ids
	}
	g.Expect(avoided(start)).To(BeEmpty(), "nothing was named")
	set.Weights().Name("m", 2, start.Add(time.Minute), start.Add(2*time.Minute))
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
	set.Weights().Name("m", 3, start.Add(time.Minute), start.Add(2*time.Minute))
	set.LearnVersion("r0", "m", 3)
	now = now.Add(nextUpdatesAge)
	g.Expect(avoided(now)).To(Equal([]string{"r1", "r2"}))
}
