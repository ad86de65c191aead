// Package fleet holds the latest status of each runner that a node knows: incarnation, loaded
// weights, state and load. The status is reported by the runner's home, which is the node that reads
// the runner's event stream.
//
// The package has no I/O and no clock. Reports are ordered by incarnation and then by sequence, so
// that a report that arrives late or out of order never replaces a newer one.
package fleet

import "time"

// State is a runner's readiness.
type State uint8

const (
	// Unknown means that the runner reported no state, or one that is not defined here.
	Unknown State = iota
	// Serving means that the runner accepts new requests.
	Serving
	// Loading means that the runner is loading weights.
	Loading
	// Draining means that the runner finishes its requests and accepts no new ones.
	Draining
)

// String returns the name of the state, which appears in runner statuses.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Loading:
		return "loading"
	case Draining:
		return "draining"
	}
	return "unknown"
}

// PriorityClasses is the number of priority classes by which queued tokens are counted. Class 0 is
// the most important. All priorities from PriorityClasses-1 on share the last class.
const PriorityClasses = 4

// PriorityClass returns the priority class of a tier's priority.
func PriorityClass(priority int) int { return min(max(priority, 0), PriorityClasses-1) }

// Load is the load of a runner as measured by its engine.
type Load struct {
	// Running and Waiting are the numbers of running and of queued sequences.
	Running int
	Waiting int
	// QueuedTokens is the number of prompt tokens that are not computed yet, by priority class.
	QueuedTokens [PriorityClasses]int
	// PrefillRate is the measured number of prompt tokens computed per second.
	PrefillRate int
	// MaxRunning is the maximum number of sequences that the engine runs concurrently.
	MaxRunning int
	// MeasuredAt is this node's estimate of when the engine measured the load.
	MeasuredAt time.Time
}

// Report is the status of a runner as reported by its home.
type Report struct {
	Runner string
	// Incarnation identifies the engine process. A later process has a higher incarnation.
	Incarnation uint64
	// Sequence orders the reports of one incarnation.
	Sequence      uint64
	State         State
	Model         string
	WeightVersion string
	Adapters      []string
	Role          string
	// Connected is false if the home has lost its connection to the runner.
	Connected bool
	Load      Load
}

// equalExceptLoad reports whether two reports of a runner have the same status apart from the load.
// Of the adapters it compares only the number.
func equalExceptLoad(a, b Report) bool {
	if a.Incarnation != b.Incarnation || a.State != b.State || a.Connected != b.Connected {
		return false
	}
	return a.Model == b.Model && a.WeightVersion == b.WeightVersion && a.Role == b.Role && len(a.Adapters) == len(b.Adapters)
}

// Table holds the latest report of each runner. It is not safe for concurrent use.
type Table struct {
	reports map[string]Report
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[string]Report{}} }

// Change is the kind of change that a report caused.
type Change int

const (
	// ChangeNone means that the report was outdated or a duplicate and was ignored.
	ChangeNone Change = iota
	// ChangeLoad means that at most the load changed.
	ChangeLoad
	// ChangeStatus means that the state, weights, adapters, role or connection changed.
	ChangeStatus
	// ChangeIncarnation means that the runner is new or runs another engine process, so that
	// nothing known about its cache applies any more.
	ChangeIncarnation
)

// Apply stores a report if it is newer than the current one.
//
// Invariant: the incarnation of a runner never decreases.
func (t *Table) Apply(report Report) Change {
	current, found := t.reports[report.Runner]
	if found && report.Incarnation < current.Incarnation {
		return ChangeNone
	}
	if found && report.Incarnation == current.Incarnation && report.Sequence <= current.Sequence {
		return ChangeNone
	}
	if found && report.Incarnation == current.Incarnation && report.Load.MeasuredAt.Before(current.Load.MeasuredAt) {
		// The engine has sent a newer load with a response in the meantime.
		report.Load = current.Load
	}
	t.reports[report.Runner] = report
	switch {
	case !found || report.Incarnation != current.Incarnation:
		return ChangeIncarnation
	case !equalExceptLoad(report, current):
		return ChangeStatus
	}
	return ChangeLoad
}

// Get returns the latest report of a runner, or false if there is none.
func (t *Table) Get(runner string) (Report, bool) {
	report, found := t.reports[runner]
	return report, found
}

// UpdateLoad stores a load that the engine sent with a response. It is ignored if it is older than
// the current load or of another incarnation.
func (t *Table) UpdateLoad(runner string, incarnation uint64, load Load) {
	current, found := t.reports[runner]
	if !found || current.Incarnation != incarnation || load.MeasuredAt.Before(current.Load.MeasuredAt) {
		return
	}
	current.Load = load
	t.reports[runner] = current
}

// MarkDraining sets the state of a runner whose engine has refused work because it is draining.
func (t *Table) MarkDraining(runner string, incarnation uint64) {
	t.setState(runner, incarnation, Draining)
}

// MarkLoading sets the state of a runner whose engine has accepted an order to load weights, before
// the engine reports it.
func (t *Table) MarkLoading(runner string, incarnation uint64) {
	t.setState(runner, incarnation, Loading)
}

// setState sets the state of a runner unless another incarnation of it has reported since.
func (t *Table) setState(runner string, incarnation uint64, state State) {
	current, found := t.reports[runner]
	if !found || current.Incarnation != incarnation {
		return
	}
	current.State = state
	t.reports[runner] = current
}

// Remove removes the report of a runner that is no longer configured.
func (t *Table) Remove(runner string) { delete(t.reports, runner) }

// ForEach calls fn for each report.
func (t *Table) ForEach(fn func(Report)) {
	for _, report := range t.reports {
		fn(report)
	}
}

// Len returns the number of runners with a report.
func (t *Table) Len() int { return len(t.reports) }

// ActiveVersion returns the weight version that requests for a model use. It is the desired version
// if at least half of the connected and serving runners of the model have loaded it, otherwise the
// version that most of them have loaded. The runners are those of the model's pool.
func (t *Table) ActiveVersion(model, desired string, runners []string) string {
	runnersByVersion := map[string]int{}
	runnerCount := 0
	for _, runner := range runners {
		report, found := t.reports[runner]
		if !found || !report.Connected || report.Model != model || report.State != Serving {
			continue
		}
		runnersByVersion[report.WeightVersion]++
		runnerCount++
	}
	if runnersByVersion[desired]*2 >= runnerCount {
		return desired
	}
	bestVersion := desired
	for version, count := range runnersByVersion {
		if count > runnersByVersion[bestVersion] || (count == runnersByVersion[bestVersion] && version > bestVersion) {
			bestVersion = version
		}
	}
	return bestVersion
}
