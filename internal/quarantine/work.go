package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Runner names one start of a runner.
type Runner struct {
	ID string
	// Incarnation is another number for each start, 0 when the runner does not tell.
	Incarnation uint64
}

// RunEnd is how a run ended, as far as its router saw.
type RunEnd uint8

// The ends of a run.
const (
	// NotRun means that the request was not sent, or the runner said that it did not run it.
	NotRun RunEnd = iota
	// Outlived means that the runner has answered well, to the end.
	Outlived
	// Broken means that the connection to the runner ended before the answer did.
	Broken
	// Left means that the router ended the connection: the caller left or the time was up.
	Left
	// Unclear means that the runner failed, which it may do before it runs anything, or that
	// something else came in place of the answer.
	Unclear
)

// Run is one request at a runner.
type Run struct {
	Content Content
	Runner  Runner
	// Began is when it was sent.
	Began time.Time
	// endedAt is when the router saw it end, zero while it is open.
	endedAt time.Time
	// how is how it ended.
	how RunEnd
}

// Bounds of what is remembered of runs that have ended.
const (
	// recentTime is how long after its connection ended a run may have ended its runner:
	// above the time in which a runner is asked whether it still runs (0.75 s).
	recentTime = time.Second
	// keptRuns bounds the runs at one runner that have ended: twice the slots of the
	// largest runners seen.
	keptRuns = 128
	// endedTime is how long a runner is remembered to have ended: the directory names it
	// for some seconds more.
	endedTime = 30 * time.Second
)

// Work is what one router has at each runner: runs that are open, and those that ended of
// late without an answer. It is not safe for concurrent use.
type Work struct {
	runs map[Runner][]*Run
	// ended holds when runners were found to have ended.
	ended map[Runner]time.Time
}

// NewWork returns a table without runs.
func NewWork() *Work { return &Work{runs: map[Runner][]*Run{}, ended: map[Runner]time.Time{}} }

// Begin notes a request that is about to be sent to the runner.
func (w *Work) Begin(now time.Time, runner Runner, content Content) *Run {
	run := &Run{Content: content, Runner: runner, Began: now}
	w.runs[runner] = append(w.runs[runner], run)
	return run
}

// End notes that the router's part of the run is over.
func (w *Work) End(now time.Time, run *Run, how RunEnd) {
	run.endedAt, run.how = now, how
	w.tidy(now, run.Runner)
}

// isOpen tells whether the router still waits for the answer.
func (r *Run) isOpen() bool { return r.endedAt.IsZero() }

// isOver tells whether nothing more is to be learned from the run.
func (r *Run) isOver(now time.Time) bool {
	if r.isOpen() {
		return false
	}
	return r.how != Broken && r.how != Left || now.Sub(r.endedAt) >= recentTime
}

// RunnerRuns notes that the runner was running at the moment: it has outlived the runs that
// broke off before. One whose caller left before may still be at work.
func (w *Work) RunnerRuns(at time.Time, runner Runner) {
	for _, run := range w.runs[runner] {
		if run.how == Broken && !run.endedAt.After(at) {
			run.how = Outlived
		}
	}
	w.tidy(at, runner)
}

// RunnerEnded takes out the runner's runs and returns them: those that are open, and those
// that ended of late without an answer.
func (w *Work) RunnerEnded(now time.Time, runner Runner) []*Run {
	w.tidy(now, runner)
	ended := w.runs[runner]
	delete(w.runs, runner)
	w.ended[runner] = now
	return ended
}

// HasEnded tells whether the runner was found to have ended.
func (w *Work) HasEnded(runner Runner) bool {
	_, ended := w.ended[runner]
	return ended
}

// Open tells whether a run of the content is open.
func (w *Work) Open(content Content) bool {
	for _, runs := range w.runs {
		if slices.ContainsFunc(runs, func(run *Run) bool { return run.isOpen() && run.Content == content }) {
			return true
		}
	}
	return false
}

// Sweep forgets runs that are over, and runners that ended long ago.
func (w *Work) Sweep(now time.Time) {
	maps.DeleteFunc(w.ended, func(_ Runner, at time.Time) bool { return now.Sub(at) >= endedTime })
	for runner := range w.runs {
		w.tidy(now, runner)
	}
}

// tidy forgets the runner's runs that are over, and the first ones that have ended if there
// are more than keptRuns of these.
func (w *Work) tidy(now time.Time, runner Runner) {
	runs, ended := slices.DeleteFunc(w.runs[runner], func(run *Run) bool { return run.isOver(now) }), 0
	for _, run := range runs {
		if !run.isOpen() {
			ended++
		}
	}
	runs = slices.DeleteFunc(runs, func(run *Run) bool {
		dropped := ended > keptRuns && !run.isOpen()
		if dropped {
			ended--
		}
		return dropped
	})
	if len(runs) == 0 {
		delete(w.runs, runner)
		return
	}
	w.runs[runner] = runs
}
