// Package placement chooses the runner of a request: filter, score, pick. It is
// the only place where a runner is chosen.
//
// A score is the expected time to the first token, work already queued ahead
// of the request plus the prompt tokens that the runner has not cached, and the
// pauses that the choice puts on the streams at the runner. The
// package has no I/O, clock or random source of its own.
package placement

import (
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
	// HeldBack are the runners that are left out of the candidates as they take no request
	// now.
	HeldBack HeldBack
}

// HeldBack sums up runners that take no request now, by their own word.
type HeldBack struct {
	// Resting and Limited count them by what they have said.
	Resting, Limited int
	// RestWait is when the first rest ends, and LimitWait when the first limit allows a
	// request again.
	RestWait, LimitWait time.Duration
	// Rate is how many requests a second the limits allow together.
	Rate float64
}

// AddResting takes a runner that rests into the sum.
func (h *HeldBack) AddResting(wait time.Duration) {
	if h.Resting == 0 || wait < h.RestWait {
		h.RestWait = wait
	}
	h.Resting++
}

// AddLimited takes a runner that has got what its limit allows.
func (h *HeldBack) AddLimited(wait time.Duration, rate float64) {
	if h.Limited == 0 || wait < h.LimitWait {
		h.LimitWait = wait
	}
	h.Limited++
	h.Rate += rate
}

// Any tells whether there is any such runner.
func (h HeldBack) Any() bool { return h.Resting+h.Limited > 0 }

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
	// Pauses is who bears the reading of the prompt at the runner.
	Pauses
	// First is set for a runner that is to get the next request that it can serve, whatever
	// it costs.
	First bool
	// ApartTokens is the cost, in prompt tokens, of a runner that is better left to
	// requests of another kind. It is no part of the wait.
	ApartTokens int
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
	// AllHeldBack means that every runner that could serve the request takes none now, by its
	// own word.
	AllHeldBack
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
	case AllHeldBack:
		return "all runners rest or have got what their limits allow"
	}
	return "unknown"
}

// Pick is the outcome of a choice.
type Pick struct {
	Status    Status
	Candidate Candidate
	// Wait is the expected time to the first token on the candidate.
	Wait time.Duration
	// Queueing is the part of Wait that the request would not have on an idle candidate.
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

// score is the cost of a choice for the request and for those at the runner.
func score(request Request, candidate Candidate, weights Weights) float64 {
	return delay(request, candidate, weights) + interference(request, candidate, weights)
}

// delay is the part of the score that is the request's own time to the first token.
func delay(request Request, candidate Candidate, weights Weights) float64 {
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
	return time.Duration(delay(request, candidate, Weights{Hit: 1}) / float64(rateOf(candidate.Report.Load)) * float64(time.Second))
}
