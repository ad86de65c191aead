package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a cost that each router pays several times a second for each runner.
func TestOutdatedRunnersAreScannedOnlyAfterChanges(t *testing.T) {
	for _, runners := range []int{300, 10_000} {
		g, set := NewWithT(t), NewSet("z")
		for i := range runners {
			set.Put(Runner{ID: fmt.Sprint(i), Service: "s", Models: []ModelVersion{{Name: "m", Version: 1}}})
		}
		for range 100 {
			g.Expect(set.CountOutdated()).To(BeZero())
		}
		g.Expect(set.outdatedScans).To(Equal(1), "%d runners", runners)
		set.WeightTargets().SetTarget("m", 2, Deadlines{})
		g.Expect(set.CountOutdated()).To(Equal(runners))
	}
}

func TestCountOfOutdatedRunnersFollowsAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, set, now := NewWithT(t), NewSet("z"), time.Unix(1000, 0)
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				set.Put(Runner{
					ID: id.Draw(t, "id"), Service: rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service"), Draining: rapid.Bool().Draw(t, "draining"),
					Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"), Models: []ModelVersion{{Name: "m", Version: rapid.Uint64Range(1, 3).Draw(t, "version")}},
				})
			},
			"remove": func(t *rapid.T) { set.Remove(id.Draw(t, "id")) },
			"retain": func(t *rapid.T) { set.Retain(map[string]bool{id.Draw(t, "id"): true}) },
			"learn":  func(t *rapid.T) { set.LearnVersion(id.Draw(t, "id"), "m", rapid.Uint64Range(1, 4).Draw(t, "version")) },
			"target": func(t *rapid.T) {
				set.WeightTargets().SetTarget("m", rapid.Uint64Range(1, 4).Draw(t, "version"), Deadlines{Expiry: now})
			},
			"services": func(t *rapid.T) {
				set.SetServices([]string{rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")})
			},
			"": func(t *rapid.T) { g.Expect(set.CountOutdated()).To(Equal(set.scanOutdated())) },
		})
	})
}
