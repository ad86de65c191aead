package gateway

import (
	"net/http"

	"github.com/clovertiller/clovertiller/internal/attempt"
)

// callerStatus is the status of a response to a caller or to the router that forwarded its call. Callers infer from some statuses
// that the call has not run and never will, so these can't be had without a promise of that.
type callerStatus struct{ code int }

// promisedStatus returns the status, or 502 if callers infer from it what the promise does not hold for.
func promisedStatus(code int, promise attempt.Promise) callerStatus {
	if impliesNotRun(code) && !promise.Holds() {
		return callerStatus{http.StatusBadGateway}
	}
	return callerStatus{code}
}

// unpromisedStatus returns the status of a response to a call that may have run.
func unpromisedStatus(code int) callerStatus { return promisedStatus(code, attempt.Promise{}) }

// impliesNotRun reports whether callers infer from the status that the call has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
