package placement

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// pendingPlacement is one placement that the runner's load report does not include yet.
type pendingPlacement struct {
	placedAt      time.Time
	priorityClass int
	tokens        int
}

// maxPendingAge bounds how long a placement is kept for a runner that sends no load reports.
const maxPendingAge = 2 * time.Second

// PendingPlacements keeps recent placements until the runners' delayed load reports include them.
// It is not safe for concurrent use.
type PendingPlacements struct {
	// transitTime is how long a placed request takes to reach the engine.
	transitTime time.Duration
	// entries holds the placements by runner, oldest first.
	entries map[string][]pendingPlacement
}

// NewPendingPlacements returns an empty PendingPlacements. A load report is taken to include the
// placements made up to transitTime before it.
func NewPendingPlacements(transitTime time.Duration) *PendingPlacements {
	return &PendingPlacements{transitTime: transitTime, entries: map[string][]pendingPlacement{}}
}

// Add records that uncached prompt tokens were placed on a runner.
func (p *PendingPlacements) Add(now time.Time, runner string, priority, tokens int) {
	entry := pendingPlacement{placedAt: now, priorityClass: fleet.PriorityClass(priority), tokens: tokens}
	p.entries[runner] = append(p.entries[runner], entry)
}

// Unreported returns the tokens and the requests that were placed on the runner and that its load
// report taken at asOf cannot include. The tokens cover only requests of the given or a higher
// priority; the requests cover all priorities.
func (p *PendingPlacements) Unreported(now time.Time, runner string, priority int, asOf time.Time) (tokens, requests int) {
	reportedUntil := asOf.Add(-p.transitTime)
	if oldest := now.Add(-maxPendingAge); reportedUntil.Before(oldest) {
		reportedUntil = oldest
	}
	entries := p.entries[runner]
	unreported := entries[:0]
	for _, entry := range entries {
		if entry.placedAt.After(reportedUntil) {
			unreported = append(unreported, entry)
		}
	}
	if len(unreported) == 0 {
		delete(p.entries, runner)
		return 0, 0
	}
	p.entries[runner] = unreported
	class := fleet.PriorityClass(priority)
	for _, entry := range unreported {
		if entry.priorityClass <= class {
			tokens += entry.tokens
		}
	}
	return tokens, len(unreported)
}
