package placement

import (
	"time"
)

// Bounds of an ejection's duration.
const (
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// ejection records the consecutive failures of one runner process.
type ejection struct {
	incarnation  uint64
	failures     int
	ejectedUntil time.Time
}

// Ejector excludes runners that failed this router's own requests from placement for a while. The
// duration doubles with each failure up to maxEjection and is reset by one success. A new
// incarnation of a runner starts without failures. It is not safe for concurrent use.
type Ejector struct {
	runners map[string]*ejection
}

// NewEjector returns an Ejector without recorded failures.
func NewEjector() *Ejector { return &Ejector{runners: map[string]*ejection{}} }

// RecordFailure records a lost or refused connection to the runner and ejects it.
func (e *Ejector) RecordFailure(now time.Time, runner string, incarnation uint64) {
	current := e.runners[runner]
	if current == nil || current.incarnation != incarnation {
		current = &ejection{incarnation: incarnation}
		e.runners[runner] = current
	}
	duration := min(minEjection<<min(current.failures, 10), maxEjection)
	current.failures++
	current.ejectedUntil = now.Add(duration)
}

// RecordSuccess clears the failures of the runner.
func (e *Ejector) RecordSuccess(runner string) { delete(e.runners, runner) }

// Ejected returns the names of the runners that are ejected at now.
func (e *Ejector) Ejected(now time.Time) []string {
	var names []string
	for name, ejected := range e.runners {
		if now.Before(ejected.ejectedUntil) {
			names = append(names, name)
		}
	}
	return names
}
