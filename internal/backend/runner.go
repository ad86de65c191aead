// Package backend holds the runners that a router may send requests to, with
// what the directory says of them and what the router's own traffic shows:
// requests in flight, failures, weights in force.
//
// The package has no I/O and no clock. A bad signal makes a runner dearer or
// sets it aside for a bounded time; it never removes one, so that a wrong
// signal cannot empty a service. Only the directory removes runners.
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
	// ID names the runner. It may start again under it.
	ID string
	// Incarnation is another number for each start, the Unix time of the start in
	// milliseconds; 0 when the runner does not tell.
	Incarnation uint64
	Service     string
	// Address is IP:port; another runner may have it later.
	Address string
	Zone    string
	// SoftwareVersion is the version of the runner's own program.
	SoftwareVersion string
	Slots           int
	// Draining runners finish their work and get none.
	Draining bool
	// Cold is how much longer the runner is slow after its start.
	Cold   time.Duration
	Models []ModelVersion
}

// Precedes tells whether the entry says less of the runner than the other one: it is of an
// earlier start, or of before the runner began to leave or took newer weights.
func (r Runner) Precedes(other Runner) bool {
	if r.Incarnation != other.Incarnation || r.Service != other.Service {
		return r.Incarnation < other.Incarnation
	}
	if r.Draining != other.Draining {
		return other.Draining
	}
	for _, model := range r.Models {
		for _, newer := range other.Models {
			if model.Name == newer.Name && model.Version < newer.Version {
				return true
			}
		}
	}
	return false
}

// Times and weights of evidence.
const (
	// minAside and maxAside bound how long a runner that could not be reached
	// is set aside; the time doubles with each failure in a row.
	minAside = 500 * time.Millisecond
	maxAside = 4 * time.Second
	// fullAside is how long a runner is avoided after it refused a request.
	fullAside = 150 * time.Millisecond
	// failureHalfLife is the half-life of the measured share of failures.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of one answer in the measured share.
	failureWeight = 0.2
	// waitHalfLife is the half-life of the measured queueing.
	waitHalfLife = 700 * time.Millisecond
)

// entry is a runner with the evidence about it.
type entry struct {
	Runner
	// inFlight counts the router's own open requests there.
	inFlight int
	// pendingTokens counts prompt tokens of own requests without a first answer.
	pendingTokens int
	// failures counts failures to reach it in a row.
	failures   int
	asideUntil time.Time
	// failureShare is the decaying share of its answers that were failures.
	failureShare float64
	failureAt    time.Time
	// wait is the decaying queueing time that own requests met.
	wait   time.Duration
	waitAt time.Time
	// queueing is the same by the learned reading speed. It chooses runners; wait, which
	// rests on the assumed speed alone, tells when weights are begun on.
	queueing   time.Duration
	queueingAt time.Time
	// unanswered counts own requests without a first answer, and progressAt is
	// when the last of them was answered or, if later, the first was sent.
	unanswered int
	progressAt time.Time
	// streams are own requests whose events have begun and which allow no long pauses.
	streams openStreams
	// suspects are own requests whose contents may end the runner.
	suspects suspectRuns
	// speed is the learned reading speed of its service, nil until it is needed.
	speed *readSpeed
	// splitKey is a hash of the id, 0 until it is needed.
	splitKey uint64
	// learned is the version of each model's weights as answers named it, which
	// may be newer than the directory's.
	learned map[string]uint64
	// said is what the runner said of itself in answers, nil if it said nothing.
	said *backpressure.RunnerState
	// updating is true while an order of this router's is under way there.
	updating bool
}

// update takes a newer directory entry of the same incarnation. Weights that fall are
// newer news than any answer's: an order that was delayed brought older ones.
func (e *entry) update(runner Runner) {
	for _, held := range runner.Models {
		if before, known := e.listedVersion(held.Name); known && held.Version < before {
			delete(e.learned, held.Name)
		}
	}
	e.Runner = runner
}

// listedVersion is the version of the model's weights that the directory names.
func (e *entry) listedVersion(model string) (uint64, bool) {
	for _, held := range e.Models {
		if held.Name == model {
			return held.Version, true
		}
	}
	return 0, false
}

func (e *entry) version(model string) (uint64, bool) {
	listed, held := e.listedVersion(model)
	if !held {
		return 0, false
	}
	return max(listed, e.learned[model]), true
}

func decayed(value float64, elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return value
	}
	return value * math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

func (e *entry) currentFailureShare(now time.Time) float64 {
	return decayed(e.failureShare, now.Sub(e.failureAt), failureHalfLife)
}

func (e *entry) noteAnswer(now time.Time, failed bool) {
	share := e.currentFailureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	e.failureShare, e.failureAt = share, now
}
