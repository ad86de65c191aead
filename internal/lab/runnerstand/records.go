package runnerstand

import (
	"net/http"
	"slices"
	"time"
)

// Run is one call that the runner ran.
type Run struct {
	Request string
	Header  http.Header
	Path    string
	Body    string
	// Version is that of the weights at the moment at which it began.
	Version uint64
	// Began is when the runner began to work on it.
	Began time.Time
	// Ended is closed when the runner stopped working on it.
	Ended chan struct{}
}

// Arrival is one call that reached the runner, run or not.
type Arrival struct {
	Request string
	Path    string
	At      time.Time
	// Rest is the rest that the runner asked for when it turned the call away, 0 for none.
	Rest time.Duration
}

// Order is an order that the runner saw.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  uint64 `json:"version"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Expected uint64 `json:"expected_rev"`
	// Status is what the runner answered, and At when.
	Status int       `json:"-"`
	At     time.Time `json:"-"`
}

// Runs returns the calls that were run.
func (r *Runner) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Run(nil), r.runs...)
}

// Arrivals returns how many calls arrived, run or not.
func (r *Runner) Arrivals() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.arrivals)
}

// ArrivalLog returns the calls that arrived, run or not.
func (r *Runner) ArrivalLog() []Arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrivals)
}

// Continued returns the runs that went on here from a copy.
func (r *Runner) Continued() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.continued...)
}

// Orders returns the orders seen.
func (r *Runner) Orders() []Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Order(nil), r.orders...)
}
