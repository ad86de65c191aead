package runnerstand

import (
	"maps"
	"net/http"
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
