// Package placement chooses the runner of a request: filter, score, pick. It is
// the only place where a runner is chosen.
//
// A score is the expected time to the first token: work already queued ahead
// of the request plus the prompt tokens that the runner has not cached. The
// package has no I/O, clock or random source of its own.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// Request is what placement needs to know of a request.
type Request struct {
	Model         string
	Adapter       string
	WeightVersion string
	PromptTokens  int
	MaxTokens     int
	// Priority is the tier's priority, 0 first.
	Priority int
	// MaxWait is the longest expected wait at which the request is accepted.
	MaxWait time.Duration
	// Excluded names runners that refused or failed this request, or failed
	// others of late. They are used only when no other runner can serve.
	Excluded []string
}

// Candidate is a runner of the request's pool.
type Candidate struct {
	Name string
	// Leaving is the machine list's word that the runner's machine leaves.
	Leaving bool
	// Standby keeps the runner out of placement.
	Standby bool
	Report  fleet.Report
	// CachedTokens is how many tokens of the prompt the index says it holds.
	CachedTokens int
	// FetchableTokens is how many further tokens of the prompt it can fetch from a
	// runner or store that keeps them.
	FetchableTokens int
	// PendingTokens counts uncached prompt tokens placed on the runner that its
	// lagging load report cannot show yet, at the request's priority or before it.
	PendingTokens int
	// PendingRequests counts requests placed that the report cannot show yet.
	PendingRequests int
	// DrainedTokens is what the engine can have computed since its report.
	DrainedTokens int
	// ExtraTokens is the cost, in prompt tokens, of what the caller of Choose
	// knows against the runner: distance, failures, weights to be replaced.
	ExtraTokens int
}

// Weights tune the score.
type Weights struct {
	// Hit is the cost of an uncached prompt token relative to a queued one.
	Hit float64
	// Fetch is the cost of a fetched prompt token relative to one that is computed.
	Fetch float64
}

// Status explains a pick.
type Status int

// The statuses of a pick.
const (
	// Picked means that a runner was chosen.
	Picked Status = iota
	// NoRunner means that no runner of the pool can serve the request now.
	NoRunner
	// Overloaded means that every runner's expected wait is above the tier's.
	Overloaded
)

// String returns the status as used in messages to callers.
func (s Status) String() string {
	switch s {
	case Picked:
		return "picked"
	case NoRunner:
		return "no runner serves the model now"
	case Overloaded:
		return "expected wait is above the tier's limit"
	}
	return "unknown"
}

// Pick is the outcome of a choice.
type Pick struct {
	Status    Status
	Candidate Candidate
	// Wait is the expected time to the first token on the candidate.
	Wait time.Duration
	// Queueing is the part of the wait that is due to other requests.
	Queueing time.Duration
	// RetryAfter says when a refused caller may expect to be served.
	RetryAfter time.Duration
}

// Costs used where a runner has not reported its own rates.
const (
	defaultPrefillRate = 20000
	defaultMaxRunning  = 16
	// sequenceCostTokens is what a running sequence costs a new one, in prompt
	// tokens: it takes a slot of every step.
	sequenceCostTokens = 4
	// slotCostTokens is what a waiting sequence without a free slot costs.
	slotCostTokens = 400
	// tieShare is how near to the best score counts as equal.
	tieShare = 0.02
	// noRunnerRetry is the wait told to callers when no runner serves the model.
	noRunnerRetry = time.Second
)

// Filter says whether a runner may serve a request at all.
type Filter func(Request, Candidate) bool

// Scorer gives the cost of a runner for a request, in prompt tokens.
type Scorer func(Request, Candidate, Weights) float64

var filters = []Filter{connected, serving, staying, hasWeights, hasAdapter, notExcluded}

var scorers = []Scorer{uncachedCost, queueCost, sequenceCost, extraCost}

func connected(_ Request, c Candidate) bool { return c.Report.Connected }

func serving(_ Request, c Candidate) bool {
	return c.Report.State == fleet.Serving && !c.Standby
}

func staying(_ Request, c Candidate) bool { return !c.Leaving }

func hasWeights(r Request, c Candidate) bool {
	return c.Report.Model == r.Model && c.Report.WeightVersion == r.WeightVersion
}

func hasAdapter(r Request, c Candidate) bool {
	if r.Adapter == "" {
		return true
	}
	for _, adapter := range c.Report.Adapters {
		if adapter == r.Adapter {
			return true
		}
	}
	return false
}

func notExcluded(r Request, c Candidate) bool {
	for _, excluded := range r.Excluded {
		if excluded == c.Name {
			return false
		}
	}
	return true
}

// uncachedCost is the prompt tokens that the runner would have to compute or fetch.
func uncachedCost(r Request, c Candidate, w Weights) float64 {
	missing := max(r.PromptTokens-c.CachedTokens, 0)
	fetched := min(c.FetchableTokens, missing)
	return w.Hit * (float64(missing-fetched) + w.Fetch*float64(fetched))
}

// queueCost is the prompt work ahead of the request: what the engine reported
// at this priority or before it, and what was placed since.
func queueCost(r Request, c Candidate, _ Weights) float64 {
	tokens := c.PendingTokens
	for class := 0; class <= fleet.PriorityClass(r.Priority); class++ {
		tokens += c.Report.Load.QueuedTokens[class]
	}
	return float64(max(tokens-c.DrainedTokens, 0))
}

// sequenceCost is the share of the running sequences, and the wait for a slot
// when all are taken.
func sequenceCost(_ Request, c Candidate, _ Weights) float64 {
	load := c.Report.Load
	slots := load.MaxRunning
	if slots == 0 {
		slots = defaultMaxRunning
	}
	open := load.Running + load.Waiting + c.PendingRequests
	return float64(open*sequenceCostTokens + max(open-slots+1, 0)*slotCostTokens)
}

// extraCost is what the caller of Choose holds against the runner.
func extraCost(_ Request, c Candidate, _ Weights) float64 { return float64(c.ExtraTokens) }

func admissible(request Request, candidate Candidate) bool {
	for _, filter := range filters {
		if !filter(request, candidate) {
			return false
		}
	}
	return true
}

func score(request Request, candidate Candidate, weights Weights) float64 {
	total := 0.0
	for _, scorer := range scorers {
		total += scorer(request, candidate, weights)
	}
	return total
}

func rateOf(load fleet.Load) int {
	if load.PrefillRate == 0 {
		return defaultPrefillRate
	}
	return load.PrefillRate
}

// waitOf turns the work ahead and the uncached prompt into a time.
func waitOf(request Request, candidate Candidate) time.Duration {
	return time.Duration(score(request, candidate, Weights{Hit: 1}) / float64(rateOf(candidate.Report.Load)) * float64(time.Second))
}

// Choose picks the runner with the lowest score; near ties are drawn by random,
// so that several nodes with the same lagging reports do not all choose one runner.
func Choose(request Request, candidates []Candidate, weights Weights, random *rand.Rand) Pick {
	pick := chooseAmong(request, candidates, weights, random)
	if pick.Status == NoRunner && len(request.Excluded) > 0 {
		// A runner that failed before is better than none.
		request.Excluded = nil
		pick = chooseAmong(request, candidates, weights, random)
	}
	return pick
}

func chooseAmong(request Request, candidates []Candidate, weights Weights, random *rand.Rand) Pick {
	best := -1.0
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		scores[i] = -1
		if !admissible(request, candidate) {
			continue
		}
		scores[i] = score(request, candidate, weights)
		if best < 0 || scores[i] < best {
			best = scores[i]
		}
	}
	if best < 0 {
		return Pick{Status: NoRunner, RetryAfter: noRunnerRetry}
	}
	chosen, near := -1, 0
	for i, value := range scores {
		if value < 0 || value > best*(1+tieShare) {
			continue
		}
		near++
		if random.IntN(near) == 0 {
			chosen = i
		}
	}
	return admit(request, candidates[chosen])
}

// admit refuses at once what would wait longer than its tier allows. The
// prompt's own computing is not counted: no other runner would save it.
func admit(request Request, candidate Candidate) Pick {
	pick := Pick{Status: Picked, Candidate: candidate, Wait: waitOf(request, candidate)}
	idle := candidate
	idle.PendingTokens, idle.PendingRequests = 0, 0
	idle.Report.Load = fleet.Load{PrefillRate: candidate.Report.Load.PrefillRate, MaxRunning: candidate.Report.Load.MaxRunning}
	queueing := pick.Wait - waitOf(request, idle)
	pick.Queueing = queueing
	if request.MaxWait > 0 && queueing > request.MaxWait {
		pick.Status = Overloaded
		pick.RetryAfter = queueing - request.MaxWait/2
	}
	return pick
}
