package runnerstand

import (
	"io"
	"net/http"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// longBodyBytes is the length from which ShedsEarly refuses a call before its body has arrived.
const longBodyBytes = 4 << 10

// refuses reports whether the behaviour refuses calls.
func (b Behaviour) refuses() bool { return b == Sheds || b == ShedsEarly }

// refusesEarly reports whether the call is refused before its body is read.
func (r *Runner) refusesEarly(request *http.Request) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.behaviour == ShedsEarly && request.ContentLength >= longBodyBytes
}

// refuseEarly refuses the call and reads its body afterwards.
func (r *Runner) refuseEarly(writer http.ResponseWriter, request *http.Request, receivedAt time.Time) {
	r.recordArrival(request, nil, receivedAt)
	controller := http.NewResponseController(writer)
	// Without this, net/http reads the body before it sends the response.
	_ = controller.EnableFullDuplex()
	header := writer.Header()
	r.addResponseHeaders(header)
	header.Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
	header.Set(platform.HeaderNotExecuted, "1")
	header.Set("Content-Length", "0")
	r.prepareSurplus(request, writer, http.StatusServiceUnavailable)
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = controller.Flush()
	_, _ = io.Copy(io.Discard, request.Body)
}
