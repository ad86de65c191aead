package runnerstand

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Poison is what ends each runner that runs it.
type Poison struct {
	// Prefix is what such bodies begin with, empty for none.
	Prefix string
	// After is how long the runner works on it before it ends.
	After time.Duration
	// Silent ends the runner without the head of an answer; otherwise it ends after the
	// first event.
	Silent bool
	// Ended is called when the runner has ended under a run; nil tells nobody.
	Ended func(*Runner, Run)
}

func (p Poison) isIn(body []byte) bool {
	return p.Prefix != "" && strings.HasPrefix(string(body), p.Prefix)
}

// endUnder ends the whole runner under the run.
func (r *Runner) endUnder(writer http.ResponseWriter, run Run) {
	time.Sleep(r.Poison.After)
	if !r.Poison.Silent {
		header := writer.Header()
		header.Set(platform.HeaderRequestID, run.Request)
		header.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.Version(), 10))
		header.Set(platform.HeaderResponseStamp, r.ID+"."+run.Request)
		fmt.Fprint(writer, eventText(1))
		// The end of the runner follows in any case.
		_ = http.NewResponseController(writer).Flush()
	}
	r.Close()
	if r.Poison.Ended != nil {
		r.Poison.Ended(r, run)
	}
	panic(http.ErrAbortHandler)
}
