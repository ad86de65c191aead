package runnerstand

import (
	"net/http"
	"slices"
	"time"
)

// Run is a call that the runner processed.
type Run struct {
	RequestID string
	Header    http.Header
	Path      string
	Body      string
	// Version is the weight version when processing started.
	Version uint64
	// StartedAt is when the runner started to process the call.
	StartedAt time.Time
	// Finished is closed when the runner stops processing the call.
	Finished chan struct{}
}

// Arrival is a call that reached the runner, whether or not it was processed.
type Arrival struct {
	RequestID  string
	Path       string
	ReceivedAt time.Time
	// RetryAfter is the wait that the runner asked for when it refused the call, 0 for none.
	RetryAfter time.Duration
}

// Order is a weight order that the runner received.
type Order struct {
	Op               string `json:"op"`
	Model            string `json:"model"`
	Version          uint64 `json:"version"`
	Mode             string `json:"mode"`
	Holder           string `json:"holder"`
	FencingToken     uint64 `json:"fence"`
	ExpectedRevision uint64 `json:"expected_rev"`
	// Status is the HTTP status of the runner's response, 0 if it ignored the order. ReceivedAt is
	// when the order arrived.
	Status     int       `json:"-"`
	ReceivedAt time.Time `json:"-"`
}

// Runs returns the calls that the runner processed, in the order in which it started them.
func (r *Runner) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Run(nil), r.runs...)
}

// forgetRun removes the record of a run that was rejected.
func (r *Runner) forgetRun(run Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = slices.DeleteFunc(r.runs, func(other Run) bool { return other.Finished == run.Finished })
}

// ArrivalCount returns the number of calls that reached the runner, processed or not.
func (r *Runner) ArrivalCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.arrivals)
}

// ArrivalLog returns the calls that reached the runner, processed or not.
func (r *Runner) ArrivalLog() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrivals)
}

// ContinuedRuns returns the request IDs of the runs that the runner continued from a KV copy.
func (r *Runner) ContinuedRuns() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.continuedRuns...)
}

// Orders returns the orders that the runner received.
func (r *Runner) Orders() []Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Order(nil), r.orders...)
}
