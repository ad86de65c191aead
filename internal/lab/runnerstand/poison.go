package runnerstand

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Poison configures which calls crash the runner that processes them, and how.
type Poison struct {
	// Prefix is the prefix of the bodies of calls that crash the runner. If it is empty, no
	// call does.
	Prefix string
	// CrashDelay is how long the runner processes the call before it crashes.
	CrashDelay time.Duration
	// NoResponse makes the runner crash before it sends response headers. Otherwise it crashes
	// after the first event.
	NoResponse bool
	// OnCrash is called after the runner crashed during a run. It may be nil.
	OnCrash func(*Runner, Run)
}

// matches reports whether a call with the body crashes the runner.
func (p Poison) matches(body []byte) bool {
	return p.Prefix != "" && strings.HasPrefix(string(body), p.Prefix)
}

// crash closes the runner while it processes the run, and panics to break the connection.
func (r *Runner) crash(writer http.ResponseWriter, run Run) {
	time.Sleep(r.Poison.CrashDelay)
	if !r.Poison.NoResponse {
		header := writer.Header()
		header.Set(platform.HeaderRequestID, run.RequestID)
		header.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.WeightVersion(), 10))
		header.Set(platform.HeaderResponseStamp, r.ID+"."+run.RequestID)
		fmt.Fprint(writer, formatEvent(1))
		// The runner crashes whether or not the gateway received the event.
		_ = http.NewResponseController(writer).Flush()
	}
	r.Close()
	if r.Poison.OnCrash != nil {
		r.Poison.OnCrash(r, run)
	}
	panic(http.ErrAbortHandler)
}
