package runnerstand

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Announce has all answers to calls bear the headers from now on, as name and value in turn.
func (r *Runner) Announce(headers ...string) {
	announced := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		announced.Set(headers[i], headers[i+1])
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.announced = announced
}

// announce adds the headers to those of an answer.
func (r *Runner) announce(header http.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.Copy(header, r.announced)
}

// rest is the rest that refusals ask for, 0 for none. The mutex is held.
func (r *Runner) rest() time.Duration {
	seconds, err := strconv.ParseFloat(r.announced.Get(platform.HeaderRetryAfter), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
