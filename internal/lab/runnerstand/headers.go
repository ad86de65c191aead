package runnerstand

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// SetResponseHeaders replaces the extra headers of all later responses to calls. The arguments
// are pairs of name and value.
func (r *Runner) SetResponseHeaders(headers ...string) {
	responseHeaders := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		responseHeaders.Set(headers[i], headers[i+1])
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.responseHeaders = responseHeaders
}

// addResponseHeaders adds the extra headers to those of a response.
func (r *Runner) addResponseHeaders(header http.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.Copy(header, r.responseHeaders)
}

// retryAfter returns the duration in the Retry-After header of responses, 0 for none. The mutex
// must be held.
func (r *Runner) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.responseHeaders.Get(platform.HeaderRetryAfter), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
