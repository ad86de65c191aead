package runnerstand

import (
	"net/http"
	"time"
)

// Queue sets how long calls queue under the behaviours that queue.
func (r *Runner) Queue(wait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queueing = wait
}

func (b Behaviour) queues() bool { return b == Queues || b == QueuesAfterHead }

// begin runs a call after its time in the queue, with the weights held then. It
// returns false for a call whose connection ended before.
func (r *Runner) begin(request *http.Request, run Run) bool {
	r.mutex.Lock()
	timer := time.NewTimer(r.queueing)
	r.mutex.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.Version, run.Began = r.version, time.Now()
	r.runs = append(r.runs, run)
	return true
}

// Resume lets the streams go on that pause now or will.
func (r *Runner) Resume() { close(r.resume) }

// Break breaks the streams off that pause now or will.
func (r *Runner) Break() { close(r.broken) }

// pause stops a stream.
func (r *Runner) pause(request *http.Request) {
	select {
	case <-r.resume:
	case <-r.broken:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
	}
}

// DelayReports sets how long the runner takes to answer a question for its report.
func (r *Runner) DelayReports(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reportTime = delay
}

// Reports returns how many questions for a report arrived.
func (r *Runner) Reports() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reports
}

func (r *Runner) noteReport() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reports++
	return r.reportTime
}
