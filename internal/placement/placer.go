package placement

import (
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Runner is one runner of a pool, as configured.
type Runner struct {
	Name string
	// Leaving is the machine list's word that the runner's machine leaves.
	Leaving bool
	Standby bool
}

// Query is a request with what a Placer needs to find its runner.
type Query struct {
	Request Request
	// Family assigns the prompt to an index shard.
	Family uint64
	// Anchors are the indexed blocks of the prompt, shallowest first.
	Anchors     []prefix.Anchor
	BlockTokens int
	// Ticket names the request when it is refused and comes back: a digest of
	// its whole prompt under its salt.
	Ticket  uint64
	Runners []Runner
	Weights Weights
}

// Placer places requests by one index shard and one table of reports. The
// routers and the emulator use the same one. It is not safe for concurrent use.
type Placer struct {
	Index    *cacheindex.Shard
	Pending  *Pending
	Fleet    *fleet.Table
	Promises *admission.Promises
	Random   *rand.Rand
}

// Factors of the longest accepted wait while promises are open.
const (
	// promisedWait is for a request that comes back when it was told to.
	promisedWait = 4
	// freshWait is for a new request while others have a promise.
	freshWait = 0.5
)

// admit places a request under the wait that its promises allow, and promises
// a time to come back when it is refused.
func (p *Placer) admit(now time.Time, query Query, place func(Query) Pick) Pick {
	class := fleet.PriorityClass(query.Request.Priority)
	if p.Promises.Redeem(now, query.Ticket) {
		query.Request.MaxWait *= promisedWait
	} else if p.Promises.Outstanding(now, class) {
		query.Request.MaxWait = time.Duration(float64(query.Request.MaxWait) * freshWait)
	}
	pick := place(query)
	switch pick.Status {
	case Picked:
		p.Promises.Admitted(now, class)
	case Overloaded:
		pick.RetryAfter = p.Promises.Refuse(now, query.Ticket, class, pick.RetryAfter)
	}
	return pick
}

// Place chooses a runner by the index and notes the choice at once, so that
// requests with the same prefix follow it before the engine's events arrive.
func (p *Placer) Place(now time.Time, query Query) Pick {
	return p.admit(now, query, func(query Query) Pick { return p.placeByIndex(now, query) })
}

func (p *Placer) placeByIndex(now time.Time, query Query) Pick {
	cached := map[cacheindex.Holder]int{}
	for _, match := range p.Index.Lookup(query.Anchors) {
		cached[match.Holder] = min(match.Depth*query.BlockTokens, query.Request.PromptTokens)
	}
	pick := p.choose(now, query, cached)
	if pick.Status == Picked {
		holder := cacheindex.Holder{Runner: pick.Candidate.Name, Incarnation: pick.Candidate.Report.Incarnation}
		p.Index.Note(now, holder, query.Anchors)
	}
	return pick
}

// PlaceWithoutIndex chooses when the index's owner cannot be asked: the
// family's first runner by rendezvous is taken to hold half of the prompt, so
// that nodes that cannot ask still agree on where a family goes.
func (p *Placer) PlaceWithoutIndex(now time.Time, query Query) Pick {
	names := make([]string, len(query.Runners))
	for i, runner := range query.Runners {
		names[i] = runner.Name
	}
	first := rendezvous.Owner(names, query.Family)
	cached := map[cacheindex.Holder]int{}
	if report, found := p.Fleet.Get(first); found {
		cached[cacheindex.Holder{Runner: first, Incarnation: report.Incarnation}] = query.Request.PromptTokens / 2
	}
	return p.admit(now, query, func(query Query) Pick { return p.choose(now, query, cached) })
}

func (p *Placer) choose(now time.Time, query Query, cached map[cacheindex.Holder]int) Pick {
	candidates := make([]Candidate, 0, len(query.Runners))
	for _, runner := range query.Runners {
		report, found := p.Fleet.Get(runner.Name)
		if !found {
			continue
		}
		candidate := Candidate{
			Name: runner.Name, Leaving: runner.Leaving, Standby: runner.Standby, Report: report,
			CachedTokens: cached[cacheindex.Holder{Runner: runner.Name, Incarnation: report.Incarnation}],
		}
		candidate.PendingTokens, candidate.PendingRequests = p.Pending.Of(now, runner.Name, query.Request.Priority, report.Load.AsOf)
		candidate.DrainedTokens = drained(now, report.Load)
		candidates = append(candidates, candidate)
	}
	pick := Choose(query.Request, candidates, query.Weights, p.Random)
	if pick.Status == Picked {
		chosen := pick.Candidate
		p.Pending.Add(now, chosen.Name, query.Request.Priority, query.Request.PromptTokens-chosen.CachedTokens)
	}
	return pick
}

// maxDrainAge bounds the age of a report from which progress is still inferred.
const maxDrainAge = time.Second

// drained estimates what an engine has computed since its load was taken.
func drained(now time.Time, load fleet.Load) int {
	age := min(max(now.Sub(load.AsOf), 0), maxDrainAge)
	return int(age.Seconds() * float64(rateOf(load)))
}
