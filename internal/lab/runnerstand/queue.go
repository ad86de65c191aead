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

// pause stops a stream after its first event.
func (r *Runner) pause(request *http.Request, event int) {
	if event > 1 {
		return
	}
	select {
	case <-r.resume:
	case <-request.Context().Done():
	}
}

// SetVersion replaces the weights without an order.
func (r *Runner) SetVersion(version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version = version
}
