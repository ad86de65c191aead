// Package placement chooses the runner that serves a request: it filters the candidates, scores
// the rest and picks the one with the lowest score. No other package chooses runners.
//
// A score estimates, in prompt tokens, the time to the first token plus the pauses that the choice
// causes in streams already running on the runner. The time to the first token covers the work
// queued ahead of the request and the prompt tokens that the runner has not cached. The package
// has no I/O, clock or random source of its own.
package placement

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// Request describes a request to be placed.
type Request struct {
	Model         string
	Adapter       string
	WeightVersion string
	PromptTokens  int
	// MaxTokens is the maximum number of tokens that the request generates.
	MaxTokens int
	// Priority is the priority of the tenant's tier; 0 is the highest.
	Priority int
	// MaxWait is the longest expected queueing time at which the request is accepted.
	MaxWait time.Duration
	// Excluded names runners that refused or failed this request, or recently failed others. They
	// are used only if no other runner can serve the request.
	Excluded []string
	// HeldBack summarizes the runners that were left out of the candidates because they currently
	// accept no requests.
	HeldBack HeldBack
}

// HeldBack summarizes the runners that currently accept no requests because they requested a
// backoff or have reached their own rate limit.
type HeldBack struct {
	// InBackoff counts runners that asked for no requests for a while. Limited counts runners that
	// have received as many requests as the rate limit that they set allows.
	InBackoff, Limited int
	// BackoffWait is the time until the first backoff ends. LimitWait is the time until the first
	// limited runner accepts requests again.
	BackoffWait, LimitWait time.Duration
	// Rate is the sum of the limits of the limited runners in requests per second.
	Rate float64
}

// AddInBackoff adds a runner whose backoff ends after wait.
func (h *HeldBack) AddInBackoff(wait time.Duration) {
	if h.InBackoff == 0 || wait < h.BackoffWait {
		h.BackoffWait = wait
	}
	h.InBackoff++
}

// AddLimited adds a runner whose limit of rate requests per second allows the next request after
// wait.
func (h *HeldBack) AddLimited(wait time.Duration, rate float64) {
	if h.Limited == 0 || wait < h.LimitWait {
		h.LimitWait = wait
	}
	h.Limited++
	h.Rate += rate
}

// Any reports whether any runner is in backoff or limited.
func (h HeldBack) Any() bool { return h.InBackoff+h.Limited > 0 }

// Candidate is a runner of the request's pool with its state and costs.
type Candidate struct {
	Name string
	// Leaving is set if the machine list marks the runner's machine as leaving.
	Leaving bool
	// Standby excludes the runner from placement.
	Standby bool
	Report  fleet.Report
	// CachedTokens is the number of prompt tokens that the runner has cached according to the
	// index.
	CachedTokens int
	// FetchableTokens is the number of further prompt tokens that the runner can fetch from
	// another runner or a store.
	FetchableTokens int
	// PendingTokens is the number of uncached prompt tokens that were placed on the runner too
	// recently for its load report to include them. Only requests of the same or a higher priority
	// are counted.
	PendingTokens int
	// PendingRequests is the number of requests that were placed too recently for the load report
	// to include them.
	PendingRequests int
	// ComputedTokens estimates how many prompt tokens the engine has computed since its load
	// report.
	ComputedTokens int
	// PenaltyTokens is a cost, in prompt tokens, that the caller of Choose adds for properties
	// such as distance, failures or weights about to be replaced.
	PenaltyTokens int
	// StreamLoad describes the streams that a prefill on the runner would interrupt.
	StreamLoad
	// PickFirst is set for a runner that receives the next request it can serve, whatever its
	// score.
	PickFirst bool
	// SeparationPenaltyTokens is the cost, in prompt tokens, of using a runner that should be left
	// to requests of another kind. It is not part of the expected wait.
	SeparationPenaltyTokens int
}

// ScoreWeights are the factors that a score applies to parts of the prompt.
type ScoreWeights struct {
	// Uncached is the cost of an uncached prompt token relative to a queued one.
	Uncached float64
	// Fetched is the cost of a fetched prompt token relative to a computed one.
	Fetched float64
}

// Status is the result code of a Pick.
type Status int

// The status values.
const (
	// Picked means that a runner was chosen.
	Picked Status = iota
	// NoRunner means that no runner of the pool can currently serve the request.
	NoRunner
	// Overloaded means that every runner's expected queueing time exceeds the limit of the tier.
	Overloaded
	// AllHeldBack means that every runner that could serve the request is in backoff or has
	// reached its own rate limit.
	AllHeldBack
)

// String returns the status text that is sent to callers.
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

// Pick is the result of Choose.
type Pick struct {
	Status    Status
	Candidate Candidate
	// Wait is the expected time to the first token on the candidate.
	Wait time.Duration
	// QueueWait is the part of Wait that is caused by other requests on the candidate.
	QueueWait time.Duration
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// LeaveReason is why the candidate is in another region. The caller of Choose sets it.
	LeaveReason LeaveReason
}

// Score parameters. defaultPrefillRate, in prompt tokens per second, and defaultMaxRunning, in
// concurrent sequences, apply to runners that have not reported their own values.
const (
	defaultPrefillRate = 20000
	defaultMaxRunning  = 16
	// runningSequenceCostTokens is the cost that each running sequence adds for a new one, in
	// prompt tokens, because it takes a slot of every step.
	runningSequenceCostTokens = 4
	// missingSlotCostTokens is the cost of each sequence that waits because no slot is free.
	missingSlotCostTokens = 400
	// tieTolerance is the relative distance from the best score within which scores count as
	// equal.
	tieTolerance = 0.02
	// noRunnerRetryAfter is the retry time sent to callers when no runner serves the model.
	noRunnerRetryAfter = time.Second
)

// Filter reports whether a runner is eligible for a request.
type Filter func(Request, Candidate) bool

// Scorer returns one part of a runner's cost for a request, in prompt tokens.
type Scorer func(Request, Candidate, ScoreWeights) float64

var filters = []Filter{connected, serving, notLeaving, hasWeights, hasAdapter, notExcluded}

var scorers = []Scorer{uncachedCost, queueCost, sequenceCost, penaltyCost}

func connected(_ Request, c Candidate) bool { return c.Report.Connected }

func serving(_ Request, c Candidate) bool {
	return c.Report.State == fleet.Serving && !c.Standby
}

func notLeaving(_ Request, c Candidate) bool { return !c.Leaving }

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

// uncachedCost returns the cost of the prompt tokens that the runner has to compute or fetch.
func uncachedCost(r Request, c Candidate, w ScoreWeights) float64 {
	missing := max(r.PromptTokens-c.CachedTokens, 0)
	fetched := min(c.FetchableTokens, missing)
	return w.Uncached * (float64(missing-fetched) + w.Fetched*float64(fetched))
}

// queueCost returns the prompt tokens queued ahead of the request: those that the engine reported
// at the same or a higher priority, plus those placed since, minus the estimated progress.
func queueCost(r Request, c Candidate, _ ScoreWeights) float64 {
	tokens := c.PendingTokens
	for class := 0; class <= fleet.PriorityClass(r.Priority); class++ {
		tokens += c.Report.Load.QueuedTokens[class]
	}
	return float64(max(tokens-c.ComputedTokens, 0))
}

// sequenceCost returns the cost of sharing the engine's steps with other sequences and, if all
// slots are taken, of waiting for a slot.
func sequenceCost(_ Request, c Candidate, _ ScoreWeights) float64 {
	load := c.Report.Load
	slots := load.MaxRunning
	if slots == 0 {
		slots = defaultMaxRunning
	}
	requests := load.Running + load.Waiting + c.PendingRequests
	return float64(requests*runningSequenceCostTokens + max(requests-slots+1, 0)*missingSlotCostTokens)
}

// penaltyCost returns the penalty set by the caller of Choose.
func penaltyCost(_ Request, c Candidate, _ ScoreWeights) float64 { return float64(c.PenaltyTokens) }

func admissible(request Request, candidate Candidate) bool {
	for _, filter := range filters {
		if !filter(request, candidate) {
			return false
		}
	}
	return true
}

// score returns the cost of a choice for the request itself and for the streams on the runner.
func score(request Request, candidate Candidate, weights ScoreWeights) float64 {
	return firstTokenCost(request, candidate, weights) + interferenceCost(request, candidate, weights)
}

// firstTokenCost returns the part of the score that covers the request's own time to the first
// token.
func firstTokenCost(request Request, candidate Candidate, weights ScoreWeights) float64 {
	total := 0.0
	for _, scorer := range scorers {
		total += scorer(request, candidate, weights)
	}
	return total
}

func prefillRate(load fleet.Load) int {
	if load.PrefillRate == 0 {
		return defaultPrefillRate
	}
	return load.PrefillRate
}

// expectedWait converts the queued work and the uncached prompt into an expected time to the first
// token.
func expectedWait(request Request, candidate Candidate) time.Duration {
	return time.Duration(firstTokenCost(request, candidate, ScoreWeights{Uncached: 1}) / float64(prefillRate(candidate.Report.Load)) * float64(time.Second))
}
