package emulator

import (
	"math/rand/v2"

	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Policy names a way to choose runners.
type Policy string

// The policies. Product is the routers' own code; Oracle is the same scorer
// with instant and exact knowledge of caches and loads; the others are baselines.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round robin"
	LeastLoad  Policy = "least load"
	PrefixHash Policy = "prefix hash"
	Product    Policy = "product"
	Oracle     Policy = "oracle"
)

// Policies lists all policies in the order of reports.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastLoad, PrefixHash, Product, Oracle}
}

// baseline chooses by a simple rule among the runners that serve the version.
type baseline struct {
	policy Policy
	random *rand.Rand
	next   int
}

// choose returns an index into candidates, or -1 when there are none.
func (b *baseline) choose(family uint64, candidates []placement.Runner, reports *fleet.Table) int {
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
	return b.leastLoaded(candidates, reports)
}

func (b *baseline) leastLoaded(candidates []placement.Runner, reports *fleet.Table) int {
	best, least := 0, -1
	start := b.random.IntN(len(candidates))
	for i := range candidates {
		index := (start + i) % len(candidates)
		report, _ := reports.Get(candidates[index].Name)
		open := report.Load.Running + report.Load.Waiting
		if least < 0 || open < least {
			best, least = index, open
		}
	}
	return best
}
