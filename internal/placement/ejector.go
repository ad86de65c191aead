package placement

import (
	"time"
)

// Times of ejection.
const (
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// ejection is the evidence against one runner process.
type ejection struct {
	incarnation uint64
	failures    int
	until       time.Time
}

// Ejector keeps runners that failed this node's own requests out of placement
// for a while: longer each time, and until one success. A new incarnation
// starts clean. It is not safe for concurrent use.
type Ejector struct {
	runners map[string]*ejection
}

// NewEjector returns an ejector without evidence.
func NewEjector() *Ejector { return &Ejector{runners: map[string]*ejection{}} }

// Fail notes a lost or refused connection.
func (e *Ejector) Fail(now time.Time, runner string, incarnation uint64) {
	known := e.runners[runner]
	if known == nil || known.incarnation != incarnation {
		known = &ejection{incarnation: incarnation}
		e.runners[runner] = known
	}
	pause := min(firstEjection<<min(known.failures, 10), maxEjection)
	known.failures++
	known.until = now.Add(pause)
}

// Succeed clears the evidence against a runner.
func (e *Ejector) Succeed(runner string) { delete(e.runners, runner) }

// Ejected returns the runners to leave out now.
func (e *Ejector) Ejected(now time.Time) []string {
	var names []string
	for name, known := range e.runners {
		if now.Before(known.until) {
			names = append(names, name)
		}
	}
	return names
}
