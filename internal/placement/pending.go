package placement

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// pendingEntry is one placement that the load report does not show yet.
type pendingEntry struct {
	placed time.Time
	class  int
	tokens int
}

// maxPendingAge bounds how long a placement is remembered for a runner whose
// load is not heard of.
const maxPendingAge = 2 * time.Second

// Pending remembers recent placements until the runners' lagging load reports
// show them. It is not safe for concurrent use.
type Pending struct {
	// transit is how long a placed request is on its way to the engine.
	transit time.Duration
	entries map[string][]pendingEntry
}

// NewPending returns an empty memory. A load as of some moment shows the
// placements made up to the transit time before it.
func NewPending(transit time.Duration) *Pending {
	return &Pending{transit: transit, entries: map[string][]pendingEntry{}}
}

// Add notes a placement of uncached prompt tokens on a runner.
func (p *Pending) Add(now time.Time, runner string, priority, tokens int) {
	entry := pendingEntry{placed: now, class: fleet.PriorityClass(priority), tokens: tokens}
	p.entries[runner] = append(p.entries[runner], entry)
}

// Of returns the tokens, at the priority or before it, and the requests placed
// on the runner that its load as of the given moment cannot show.
func (p *Pending) Of(now time.Time, runner string, priority int, asOf time.Time) (tokens, requests int) {
	shown := asOf.Add(-p.transit)
	if oldest := now.Add(-maxPendingAge); shown.Before(oldest) {
		shown = oldest
	}
	entries := p.entries[runner]
	kept := entries[:0]
	for _, entry := range entries {
		if entry.placed.After(shown) {
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
