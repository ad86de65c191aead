package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Runner identifies one run of a runner process.
type Runner struct {
	ID string
	// Incarnation differs between the runs of a process. It is 0 if the runner does not report
	// it.
	Incarnation uint64
}

// RunOutcome is the outcome of a run as observed by its router.
type RunOutcome uint8

// The outcomes of a run.
const (
	// NotRun means that the request was not sent, or that the runner reported that it did not
	// run it.
	NotRun RunOutcome = iota
	// Survived means that the runner completed the response, or was found to be alive after the
	// run.
	Survived
	// ConnectionLost means that the connection to the runner was lost before the response was
	// complete.
	ConnectionLost
	// Canceled means that the router closed the connection because the caller disconnected or
	// the deadline passed.
	Canceled
	// Indeterminate means that the runner returned a failure, which it may do before it runs
	// the request, or that something other than a response was received.
	Indeterminate
)

// Run is one request sent to a runner.
type Run struct {
	Content Subject
	// Parts are the IDs of the prompt parts that the request may share with others.
	Parts []string
	// Credential is the CredentialHash of the caller.
	Credential uint64
	Runner     Runner
	// Service is the service of the runner.
	Service string
	// SentAt is when the request was sent, and BeganAt when the runner was seen to begin the
	// response, zero if it was not.
	SentAt, BeganAt time.Time
	// endedAt is when the router saw the run end, zero while it is open.
	endedAt time.Time
	outcome RunOutcome
	// crashedAt is when the runner crashed, zero if it did not.
	crashedAt time.Time
}

// Request returns what of the run's request may crash runners.
func (r *Run) Request() Request {
	return Request{Content: r.Content, Parts: r.Parts, Credential: r.Credential}
}

// Bounds of the information kept about ended runs and crashed runners.
const (
	// attributionWindow is how long after a run's connection ended a crash of the runner is
	// still attributed to the run. It is longer than the time needed to check whether a runner
	// is alive (0.75 s).
	attributionWindow = time.Second
	// maxEndedRuns limits the ended runs kept per runner. It is twice the number of slots of
	// the largest runners seen.
	maxEndedRuns = 128
	// crashedRetention is how long a runner is remembered as crashed. The directory still lists
	// it for some seconds after the crash.
	crashedRetention = 30 * time.Second
)

// RunTable holds the runs of one router on each runner: open runs, and recently ended runs
// without a complete response. It is not safe for concurrent use.
type RunTable struct {
	runs map[Runner][]*Run
	// crashed holds the time at which each crashed runner was detected.
	crashed map[Runner]time.Time
}

// NewRunTable returns an empty RunTable.
func NewRunTable() *RunTable {
	return &RunTable{runs: map[Runner][]*Run{}, crashed: map[Runner]time.Time{}}
}

// Begin adds a run that is about to be sent.
func (t *RunTable) Begin(run *Run) { t.runs[run.Runner] = append(t.runs[run.Runner], run) }

// startedAt returns the latest known time before the runner began the run.
func (r *Run) startedAt() time.Time { return clock.Later(r.SentAt, r.BeganAt) }

// Includes reports whether the run is one of the subject.
func (r *Run) Includes(subject Subject) bool {
	if subject.IsPart() {
		return subject.Tenant == r.Content.Tenant && slices.Contains(r.Parts, subject.Part)
	}
	return subject == r.Content
}

// End records the outcome of a run.
func (t *RunTable) End(now time.Time, run *Run, outcome RunOutcome) {
	run.endedAt, run.outcome = now, outcome
	t.pruneRunner(now, run.Runner)
}

// isOpen reports whether the router is still waiting for the response.
func (r *Run) isOpen() bool { return r.endedAt.IsZero() }

// isSettled reports whether a later event can no longer change what is known about the run.
func (r *Run) isSettled(now time.Time) bool {
	if r.isOpen() {
		return false
	}
	return r.outcome != ConnectionLost && r.outcome != Canceled || now.Sub(r.endedAt) >= attributionWindow
}

// RunnerAlive records that the runner was alive at the given time. It therefore survived the
// runs whose connections were lost before. Canceled runs stay as they are, because the runner
// may still be processing them.
func (t *RunTable) RunnerAlive(at time.Time, runner Runner) {
	for _, run := range t.runs[runner] {
		if run.outcome == ConnectionLost && !run.endedAt.After(at) {
			run.outcome = Survived
		}
	}
	t.pruneRunner(at, runner)
}

// RunnerCrashed marks the runner as crashed and removes and returns its runs: those that are
// open, and those that ended recently without a response. The runner crashed when the first of their
// connections was lost, which is before the crash is detected.
func (t *RunTable) RunnerCrashed(now time.Time, runner Runner) []*Run {
	t.pruneRunner(now, runner)
	affected, crashedAt := t.runs[runner], now
	for _, run := range affected {
		if run.outcome == ConnectionLost && run.endedAt.Before(crashedAt) {
			crashedAt = run.endedAt
		}
	}
	for _, run := range affected {
		run.crashedAt = crashedAt
	}
	delete(t.runs, runner)
	t.crashed[runner] = now
	return affected
}

// HasCrashed reports whether a crash of the runner was recorded.
func (t *RunTable) HasCrashed(runner Runner) bool {
	_, crashed := t.crashed[runner]
	return crashed
}

// HasOpenRun reports whether a run of the subject is open.
func (t *RunTable) HasOpenRun(subject Subject) bool {
	for _, runs := range t.runs {
		if slices.ContainsFunc(runs, func(run *Run) bool { return run.isOpen() && run.Includes(subject) }) {
			return true
		}
	}
	return false
}

// Prune removes the settled runs, and the runners that crashed at least crashedRetention ago.
func (t *RunTable) Prune(now time.Time) {
	maps.DeleteFunc(t.crashed, func(_ Runner, at time.Time) bool { return now.Sub(at) >= crashedRetention })
	for runner := range t.runs {
		t.pruneRunner(now, runner)
	}
}

// pruneRunner removes the runner's settled runs, and the oldest of its ended runs beyond
// maxEndedRuns.
func (t *RunTable) pruneRunner(now time.Time, runner Runner) {
	runs, ended := slices.DeleteFunc(t.runs[runner], func(run *Run) bool { return run.isSettled(now) }), 0
	for _, run := range runs {
		if !run.isOpen() {
			ended++
		}
	}
	runs = slices.DeleteFunc(runs, func(run *Run) bool {
		drop := ended > maxEndedRuns && !run.isOpen()
		if drop {
			ended--
		}
		return drop
	})
	if len(runs) == 0 {
		delete(t.runs, runner)
		return
	}
	t.runs[runner] = runs
}
