package runnerstand

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Poison configures which calls crash the runner that processes them, and how.
type Poison struct {
	// Prefix is the prefix of the bodies of calls that crash the runner. If it is empty, no
	// body does.
	Prefix string
	// Part reports whether a prompt part crashes the runner, wherever it stands but at the end. If
	// it is nil, no part does.
	Part func(id string) bool
	// CrashDelay is how long the runner processes the call before it crashes.
	CrashDelay time.Duration
	// NoResponse makes the runner crash before it sends response headers. Otherwise it crashes
	// after the first event.
	NoResponse bool
	// OnCrash is called after the runner crashed during a run. It may be nil.
	OnCrash func(*Runner, Run)
}

// matches reports whether a call crashes the runner.
func (p Poison) matches(header http.Header, body []byte) bool {
	if p.Prefix != "" && strings.HasPrefix(string(body), p.Prefix) {
		return true
	}
	return p.Part != nil && slices.ContainsFunc(SharedParts(header), p.Part)
}

// SharedParts returns the IDs of all prompt parts of a call but the last, which belongs to the call itself.
func SharedParts(header http.Header) (ids []string) {
	parts := strings.Split(header.Get(platform.HeaderPromptPrefix), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids
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
