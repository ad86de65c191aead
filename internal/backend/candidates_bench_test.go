package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// BenchmarkCandidatesChoose measures one placement among the runners of a large pool.
func BenchmarkCandidatesChoose(b *testing.B) {
	set := NewSet("z")
	for i := range 3000 {
		set.Put(runner(fmt.Sprintf("i-%04d", i), "z"))
	}
	random := rand.New(rand.NewPCG(1, 2))
	query := Query{Service: "s", Model: "m", PromptTokens: 9000, SharedTokens: 6000, Family: 7, MaxEventGap: 300_000_000}
	for b.Loop() {
		request, candidates := set.Candidates(start, query)
		placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random)
	}
}
