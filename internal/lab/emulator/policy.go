package emulator

import (
	"math/rand/v2"

	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Policy is the name of a policy that chooses a runner for each request.
type Policy string

// The policies. Product is the routers' own placement code. Oracle scores candidates with the
// same code, but with immediate and exact knowledge of caches and loads. The others are baselines.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round robin"
	LeastLoad  Policy = "least load"
	PrefixHash Policy = "prefix hash"
	Product    Policy = "product"
	Oracle     Policy = "oracle"
)

// Policies returns all policies in the order of reports.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastLoad, PrefixHash, Product, Oracle}
}

// baselinePolicy is a policy that doesn't use the cache index.
type baselinePolicy struct {
	policy Policy
	random *rand.Rand
	next   int
}

// choose returns the index of the chosen candidate, or -1 if there are no candidates.
func (b *baselinePolicy) choose(family uint64, candidates []placement.Runner, table *fleet.Table) int {
	if len(candidates) == 0 {
		return -1
	}
	switch b.policy {
	case Random:
		return b.random.IntN(len(candidates))
	case RoundRobin:
		b.next++
		return b.next % len(candidates)
	case PrefixHash:
		names := make([]string, len(candidates))
		for i, candidate := range candidates {
			names[i] = candidate.Name
		}
		owner := rendezvous.Owner(names, family)
		for i, name := range names {
			if name == owner {
				return i
			}
		}
	}
	return b.leastLoaded(candidates, table)
}

// leastLoaded returns the index of the candidate with the fewest running and waiting requests
// according to its last report. Of equals it takes the first after a random start.
func (b *baselinePolicy) leastLoaded(candidates []placement.Runner, table *fleet.Table) int {
	bestIndex, fewestRequests := 0, -1
	start := b.random.IntN(len(candidates))
	for i := range candidates {
		index := (start + i) % len(candidates)
		report, _ := table.Get(candidates[index].Name)
		requests := report.Load.Running + report.Load.Waiting
		if fewestRequests < 0 || requests < fewestRequests {
			bestIndex, fewestRequests = index, requests
		}
	}
	return bestIndex
}
