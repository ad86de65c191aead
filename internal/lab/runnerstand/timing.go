package runnerstand

import (
	"net/http"
	"time"
)

// SetQueueTime sets how long calls wait under Queues and QueuesAfterHeaders.
func (r *Runner) SetQueueTime(duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queueTime = duration
}

func (b Behaviour) isQueueing() bool { return b == Queues || b == QueuesAfterHeaders }

// startAfterQueue waits for the queue time and then records the run with the current weight version.
// It returns false if the connection was closed before.
func (r *Runner) startAfterQueue(request *http.Request, run Run) bool {
	r.mutex.Lock()
	timer := time.NewTimer(r.queueTime)
	r.mutex.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.Version, run.StartedAt = r.weightVersion, time.Now()
	r.runs = append(r.runs, run)
	return true
}

// ResumeStreams lets all streams continue that are paused now or later.
func (r *Runner) ResumeStreams() { close(r.resumed) }

// AbortStreams closes the connections of all streams that are paused now or later.
func (r *Runner) AbortStreams() { close(r.aborted) }

// pauseStream blocks until the stream is resumed, or its request ends. It panics to break the
// connection if streams are aborted.
func (r *Runner) pauseStream(request *http.Request) {
	select {
	case <-r.resumed:
	case <-r.aborted:
		panic(http.ErrAbortHandler)
	case <-request.Context().Done():
	}
}

// SetReportDelay sets how long the runner takes to respond to a request for its report.
func (r *Runner) SetReportDelay(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reportDelay = delay
}

// ReportCount returns the number of requests for a report.
func (r *Runner) ReportCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reportCount
}

// countReport counts a request for a report and returns the delay of its response.
func (r *Runner) countReport() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reportCount++
	return r.reportDelay
}
