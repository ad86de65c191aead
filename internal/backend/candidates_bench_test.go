package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// BenchmarkCandidatesChoose measures one placement among the runners of a large pool, and of a pool
// that is small enough to look at all of them, with and without regions.
func BenchmarkCandidatesChoose(b *testing.B) {
	for _, perZone := range []int{500, 23} {
		for name, regions := range map[string]map[string]string{"none": nil, "three": testRegions} {
			b.Run(fmt.Sprintf("runners=%d/regions=%s", 6*perZone, name), func(b *testing.B) {
				set, random := newRegionSet(regions, perZone), rand.New(rand.NewPCG(1, 2))
				query := longPromptQuery("a1")
				query.MaxEventGap = 300_000_000
				setCached(set, cachedChanges("b1-0", "trunk", "branch"), cachedChanges("a1-0", "trunk"))
				for b.Loop() {
					request, candidates := set.Candidates(start, query)
					placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random)
				}
			})
		}
	}
}
