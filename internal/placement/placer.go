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

// Runner is a configured runner of a pool.
type Runner struct {
	Name string
	// Leaving is set if the machine list marks the runner's machine as leaving.
	Leaving bool
	Standby bool
}

// Query is a request together with the data that a Placer needs to choose its runner.
type Query struct {
	Request Request
	// Family selects the index shard of the prompt.
	Family uint64
	// Anchors are the indexed blocks of the prompt in order of increasing depth.
	Anchors []prefix.Anchor
	// BlockTokens is the number of prompt tokens in one cache block.
	BlockTokens int
	// Ticket identifies the request if it is refused and retried. It is the digest of the salt and
	// the whole prompt.
	Ticket  uint64
	Runners []Runner
	Weights ScoreWeights
}

// Placer places requests using one index shard and one table of runner reports. The routers and
// the emulator share this implementation. It is not safe for concurrent use.
type Placer struct {
	Index         *cacheindex.Shard
	Pending       *PendingPlacements
	Fleet         *fleet.Table
	RetrySchedule *admission.RetrySchedule
	Random        *rand.Rand
}

// Factors applied to a request's MaxWait because of retry reservations.
const (
	// returningWaitFactor applies to a request that is retried at its reserved time.
	returningWaitFactor = 4
	// newRequestWaitFactor applies to a new request while others of its priority class hold a
	// reservation.
	newRequestWaitFactor = 0.5
)

// placeWithReservations places a request after adjusting its MaxWait for outstanding retry
// reservations. If the request is refused as overloaded, it reserves a retry time for it.
func (p *Placer) placeWithReservations(now time.Time, query Query, place func(Query) Pick) Pick {
	class := fleet.PriorityClass(query.Request.Priority)
	if p.RetrySchedule.Redeem(now, query.Ticket) {
		query.Request.MaxWait *= returningWaitFactor
	} else if p.RetrySchedule.HasOutstanding(now, class) {
		query.Request.MaxWait = time.Duration(float64(query.Request.MaxWait) * newRequestWaitFactor)
	}
	pick := place(query)
	switch pick.Status {
	case Picked:
		p.RetrySchedule.RecordAdmission(now, class)
	case Overloaded:
		pick.RetryAfter = p.RetrySchedule.ReserveForTicket(now, query.Ticket, class, pick.RetryAfter)
	}
	return pick
}

// Place chooses a runner using the index and records the choice in the index at once, so that
// requests with the same prefix go to the same runner before the engine's cache events arrive.
func (p *Placer) Place(now time.Time, query Query) Pick {
	return p.placeWithReservations(now, query, func(query Query) Pick { return p.placeByIndex(now, query) })
}

func (p *Placer) placeByIndex(now time.Time, query Query) Pick {
	cached := map[cacheindex.Holder]int{}
	for _, match := range p.Index.Lookup(query.Anchors) {
		cached[match.Holder] = min(match.Depth*query.BlockTokens, query.Request.PromptTokens)
	}
	pick := p.choose(now, query, cached)
	if pick.Status == Picked {
		holder := cacheindex.Holder{Runner: pick.Candidate.Name, Incarnation: pick.Candidate.Report.Incarnation}
		p.Index.AddProvisional(now, holder, query.Anchors)
	}
	return pick
}

// PlaceWithoutIndex chooses a runner when the index owner cannot be reached. It assumes that the
// family's first runner by rendezvous hashing has cached half of the prompt, so that routers
// without access to the index still agree on the runner of a family.
func (p *Placer) PlaceWithoutIndex(now time.Time, query Query) Pick {
	names := make([]string, len(query.Runners))
	for i, runner := range query.Runners {
		names[i] = runner.Name
	}
	preferred := rendezvous.Owner(names, query.Family)
	cached := map[cacheindex.Holder]int{}
	if report, found := p.Fleet.Get(preferred); found {
		cached[cacheindex.Holder{Runner: preferred, Incarnation: report.Incarnation}] = query.Request.PromptTokens / 2
	}
	return p.placeWithReservations(now, query, func(query Query) Pick { return p.choose(now, query, cached) })
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
		candidate.PendingTokens, candidate.PendingRequests = p.Pending.Unreported(now, runner.Name, query.Request.Priority, report.Load.MeasuredAt)
		candidate.ComputedTokens = computedTokens(now, report.Load)
		candidates = append(candidates, candidate)
	}
	pick := Choose(query.Request, candidates, query.Weights, p.Random)
	if pick.Status == Picked {
		chosen := pick.Candidate
		p.Pending.Add(now, chosen.Name, query.Request.Priority, query.Request.PromptTokens-chosen.CachedTokens)
	}
	return pick
}

// maxExtrapolationAge bounds the report age for which progress is extrapolated.
const maxExtrapolationAge = time.Second

// computedTokens estimates how many prompt tokens an engine has computed since its load was
// reported.
func computedTokens(now time.Time, load fleet.Load) int {
	age := min(max(now.Sub(load.MeasuredAt), 0), maxExtrapolationAge)
	return int(age.Seconds() * float64(prefillRate(load)))
}
