// Package fleet holds what a node knows of the runners: incarnation, loaded
// weights, state and load, as reported by each runner's home node.
//
// The table has no I/O and no clock. Reports are ordered by incarnation and
// then by sequence, so that late and crossed reports never undo newer ones.
package fleet

import "time"

// State is a runner's readiness.
type State uint8

// The states of a runner.
const (
	// Unknown runners have not been heard of.
	Unknown State = iota
	// Serving runners take new work.
	Serving
	// Loading runners are loading weights.
	Loading
	// Draining runners finish their work and take none.
	Draining
)

// String returns the state's name.
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

// PriorityClasses is the number of classes in which queued work is counted;
// tiers of higher priority number share the last one.
const PriorityClasses = 4

// PriorityClass returns the class of a tier's priority.
func PriorityClass(priority int) int { return min(max(priority, 0), PriorityClasses-1) }

// Load is an engine's own account of its work.
type Load struct {
	Running int
	Waiting int
	// QueuedTokens counts prompt tokens still to be computed, by priority class.
	QueuedTokens [PriorityClasses]int
	// PrefillRate is the measured prompt tokens computed a second.
	PrefillRate int
	// MaxRunning is how many sequences the engine runs at once.
	MaxRunning int
	// AsOf is when the engine had this load, by this node's estimate.
	AsOf time.Time
}

// Report is what a home says of a runner.
type Report struct {
	Runner      string
	Incarnation uint64
	// Sequence orders the reports of one incarnation.
	Sequence      uint64
	State         State
	Model         string
	WeightVersion string
	Adapters      []string
	Role          string
	// Connected is false when the home has lost the runner.
	Connected bool
	Load      Load
}

// sameDuty tells whether two reports differ in load only.
func sameDuty(a, b Report) bool {
	if a.Incarnation != b.Incarnation || a.State != b.State || a.Connected != b.Connected {
		return false
	}
	return a.Model == b.Model && a.WeightVersion == b.WeightVersion && a.Role == b.Role && len(a.Adapters) == len(b.Adapters)
}

// Table is the latest report of each runner. It is not safe for concurrent use.
type Table struct {
	reports map[string]Report
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[string]Report{}} }

// Change says what a report changed.
type Change int

// The changes.
const (
	// ChangeNone means that the report was late or repeated.
	ChangeNone Change = iota
	// ChangeLoad means that only the load is new.
	ChangeLoad
	// ChangeDuty means that state, weights, role or connection changed.
	ChangeDuty
	// ChangeIncarnation means that the engine process is another one: whatever
	// was believed cached on it is gone.
	ChangeIncarnation
)

// Apply takes a report. Invariant: the incarnation of a runner never decreases.
func (t *Table) Apply(report Report) Change {
	known, found := t.reports[report.Runner]
	if found && report.Incarnation < known.Incarnation {
		return ChangeNone
	}
	if found && report.Incarnation == known.Incarnation && report.Sequence <= known.Sequence {
		return ChangeNone
	}
	if found && report.Incarnation == known.Incarnation && report.Load.AsOf.Before(known.Load.AsOf) {
		// A load heard on an answer since is newer than the lagging report's.
		report.Load = known.Load
	}
	t.reports[report.Runner] = report
	switch {
	case !found || report.Incarnation != known.Incarnation:
		return ChangeIncarnation
	case !sameDuty(report, known):
		return ChangeDuty
	}
	return ChangeLoad
}

// Get returns the latest report of a runner.
func (t *Table) Get(runner string) (Report, bool) {
	report, found := t.reports[runner]
	return report, found
}

// UpdateLoad takes a load heard from the engine itself, on an answer.
func (t *Table) UpdateLoad(runner string, incarnation uint64, load Load) {
	known, found := t.reports[runner]
	if !found || known.Incarnation != incarnation || load.AsOf.Before(known.Load.AsOf) {
		return
	}
	known.Load = load
	t.reports[runner] = known
}

// MarkDraining notes an engine's own word that it takes no more work.
func (t *Table) MarkDraining(runner string, incarnation uint64) {
	t.mark(runner, incarnation, Draining)
}

// MarkLoading notes that an engine took an order to load weights, ahead of its report.
func (t *Table) MarkLoading(runner string, incarnation uint64) {
	t.mark(runner, incarnation, Loading)
}

func (t *Table) mark(runner string, incarnation uint64, state State) {
	known, found := t.reports[runner]
	if !found || known.Incarnation != incarnation {
		return
	}
	known.State = state
	t.reports[runner] = known
}

// Forget removes a runner that is no longer configured.
func (t *Table) Forget(runner string) { delete(t.reports, runner) }

// All calls visit for each report.
func (t *Table) All(visit func(Report)) {
	for _, report := range t.reports {
		visit(report)
	}
}

// Len returns the number of runners known.
func (t *Table) Len() int { return len(t.reports) }

// ActiveVersion returns the weight version that requests of a model are to
// use: the desired one once at least half of the model's connected runners have
// it loaded, otherwise the one that most of them have. Runners is the pool.
func (t *Table) ActiveVersion(model, desired string, runners []string) string {
	counts := map[string]int{}
	total := 0
	for _, runner := range runners {
		report, found := t.reports[runner]
		if !found || !report.Connected || report.Model != model || report.State != Serving {
			continue
		}
		counts[report.WeightVersion]++
		total++
	}
	if counts[desired]*2 >= total {
		return desired
	}
	best := desired
	for version, count := range counts {
		if count > counts[best] || (count == counts[best] && version > best) {
			best = version
		}
	}
	return best
}
