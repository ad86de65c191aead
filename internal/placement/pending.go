package placement

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// pendingEntry is one placement that the load report does not show yet.
type pendingEntry struct {
	expires time.Time
	class   int
	tokens  int
}

// Pending remembers recent placements until the runners' lagging load reports
// show them. It is not safe for concurrent use.
type Pending struct {
	lag     time.Duration
	entries map[string][]pendingEntry
}

// NewPending returns an empty memory for load reports of the given lag.
func NewPending(lag time.Duration) *Pending {
	return &Pending{lag: lag, entries: map[string][]pendingEntry{}}
}

// Add notes a placement of uncached prompt tokens on a runner.
func (p *Pending) Add(now time.Time, runner string, priority, tokens int) {
	entry := pendingEntry{expires: now.Add(p.lag), class: fleet.PriorityClass(priority), tokens: tokens}
	p.entries[runner] = append(p.entries[runner], entry)
}

// Of returns the tokens, at the priority or before it, and the requests placed
// on the runner within the lag.
func (p *Pending) Of(now time.Time, runner string, priority int) (tokens, requests int) {
	entries := p.entries[runner]
	kept := entries[:0]
	for _, entry := range entries {
		if now.Before(entry.expires) {
			kept = append(kept, entry)
		}
	}
	if len(kept) == 0 {
		delete(p.entries, runner)
		return 0, 0
	}
	p.entries[runner] = kept
	class := fleet.PriorityClass(priority)
	for _, entry := range kept {
		if entry.class <= class {
			tokens += entry.tokens
		}
	}
	return tokens, len(kept)
}
