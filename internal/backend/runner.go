// Package backend holds the runners to which a router may send requests. It combines their
// directory entries with evidence from the router's own traffic: requests in flight,
// failures, waits and weight versions.
//
// The package has no I/O and no clock. Bad evidence raises the cost of a runner or makes it
// avoided for a bounded time, but never removes it, so that wrong evidence cannot leave a
// service without runners. Only the directory removes runners.
package backend

import (
	"math"
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

// ModelVersion is a model that a runner holds and the version of its weights.
type ModelVersion struct {
	Name    string
	Version uint64
}

// Runner is a directory entry: one incarnation of a runner.
type Runner struct {
	// ID identifies the runner and stays the same when it restarts.
	ID string
	// Incarnation differs for each start of the runner: the Unix time of the start in
	// milliseconds, 0 if the runner does not report it.
	Incarnation uint64
	Service     string
	// Address is IP:port; another runner may use it later.
	Address string
	Zone    string
	// SoftwareVersion is the version of the runner program.
	SoftwareVersion string
	Slots           int
	// Draining runners finish their requests and get no new ones.
	Draining bool
	// ColdRemaining is how much longer the runner is expected to be slow after its start.
	ColdRemaining time.Duration
	Models        []ModelVersion
}

// OlderThan reports whether the entry is older than the other one: it comes from an earlier
// incarnation, or from before the runner began to drain or took newer weights.
func (r Runner) OlderThan(other Runner) bool {
	if r.Incarnation != other.Incarnation || r.Service != other.Service {
		return r.Incarnation < other.Incarnation
	}
	if r.Draining != other.Draining {
		return other.Draining
	}
	for _, model := range r.Models {
		for _, otherModel := range other.Models {
			if model.Name == otherModel.Name && model.Version < otherModel.Version {
				return true
			}
		}
	}
	return false
}

// Parameters of the evidence about runners.
const (
	// minAvoidTime and maxAvoidTime bound how long a runner that could not be reached is
	// avoided. The time doubles with each consecutive failure.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
	// refusedAvoidTime is how long a runner is avoided after it refused a request.
	refusedAvoidTime = 150 * time.Millisecond
	// failureHalfLife is the half-life of the measured failure share.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of one response in the failure share.
	failureWeight = 0.2
	// waitHalfLife is the half-life of the measured waits.
	waitHalfLife = 700 * time.Millisecond
)

// entry is a listed runner with the evidence about it.
type entry struct {
	Runner
	// zoneNumber is the number of the runner's zone among the zones of all runners, 0 without
	// regions.
	zoneNumber int
	// inFlight counts this router's open requests at the runner.
	inFlight int
	// elsewhere is the part of this router's open requests whose runner another router chose.
	elsewhere Load
	// pendingTokens is the number of prompt tokens of this router's requests whose response
	// has not begun.
	pendingTokens int
	// connectFailures counts consecutive failures to reach the runner.
	connectFailures int
	avoidUntil      time.Time
	// paths distinguishes failures of the runner from lost paths of routers.
	paths pathEvidence
	// failureShare is the exponentially decaying share of responses that were failures.
	failureShare   float64
	failureShareAt time.Time
	// assumedWait is the exponentially decaying queueing time of this router's requests,
	// computed with the assumed prefill speed. It decides whether weights expire before a
	// request begins.
	assumedWait   time.Duration
	assumedWaitAt time.Time
	// learnedWait is the same with the learned prefill speed. It is used to choose runners.
	learnedWait   time.Duration
	learnedWaitAt time.Time
	// silentWait is the part of learnedWait during which the runner was silent.
	silentWait time.Duration
	// awaitingResponse counts this router's requests whose response has not begun.
	// lastProgress is when a response last began or, if later, when the first of these
	// requests was sent.
	awaitingResponse int
	lastProgress     time.Time
	// lastEnd is when the runner last ended a response, and silence its last silence that is over.
	lastEnd time.Time
	silence interval
	// streams counts this router's requests that have begun to respond and have a bound on
	// the pause between events.
	streams openStreams
	// suspects counts this router's open requests with suspect contents.
	suspects suspectCounts
	// prefill is the prefill model of the runner's service, nil until first used.
	prefill *prefillModel
	// idHash is a hash of the id, 0 until first used.
	idHash uint64
	// learnedVersions are the weight versions reported in responses, by model. They may be
	// newer than those in the directory.
	learnedVersions map[string]uint64
	// loweredRoom is the limit of open requests at roomLoweredAt, when the runner last rejected a request
	// while it was brittle. roomLoweredAt is zero if it never did.
	loweredRoom   int
	roomLoweredAt time.Time
	// signalState is what the runner reported about itself in responses, nil if nothing.
	signalState *backpressure.RunnerState
	// updating is true while an order of this router to update the runner's weights is in
	// progress.
	updating bool
}

// update applies a newer directory entry of the same incarnation. A version that falls
// overrides the learned one: a delayed order has loaded older weights.
func (e *entry) update(runner Runner) {
	for _, held := range runner.Models {
		if before, known := e.listedVersion(held.Name); known && held.Version < before {
			delete(e.learnedVersions, held.Name)
		}
	}
	e.Runner = runner
}

// listedVersion returns the version of the model's weights in the directory entry.
func (e *entry) listedVersion(model string) (uint64, bool) {
	for _, held := range e.Models {
		if held.Name == model {
			return held.Version, true
		}
	}
	return 0, false
}

// weightVersion returns the newest known version of the model's weights, from the directory
// or from responses, and whether the runner holds the model.
func (e *entry) weightVersion(model string) (uint64, bool) {
	listed, held := e.listedVersion(model)
	if !held {
		return 0, false
	}
	return max(listed, e.learnedVersions[model]), true
}

// decayed returns the value after exponential decay for the elapsed time.
func decayed(value float64, elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return value
	}
	return value * math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

func (e *entry) decayedFailureShare(now time.Time) float64 {
	return decayed(e.failureShare, now.Sub(e.failureShareAt), failureHalfLife)
}

func (e *entry) recordResult(now time.Time, failed bool) {
	share := e.decayedFailureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	e.failureShare, e.failureShareAt = share, now
}
