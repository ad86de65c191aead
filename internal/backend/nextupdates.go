package backend

import (
	"cmp"
	"slices"
	"time"
)

// Whoever holds the lease orders the runners with the oldest weights first, a
// bounded number at once. All routers know what is named and what the runners
// have, so each can tell which runners are being updated without being told.

const (
	// maxUpdatingShare is the share of a service's runners whose weights are
	// replaced at once; the weight store slows all when many load.
	maxUpdatingShare = 0.25
	// nextUpdatesAge is how long the runners to be updated next are remembered.
	nextUpdatesAge = 50 * time.Millisecond
)

// UpdatesAtOnce returns how many of a service's runners take new weights at once.
func UpdatesAtOnce(runners int) int { return max(1, int(float64(runners)*maxUpdatingShare)) }

// SortForUpdate puts runners in the order in which they take new weights: the
// oldest weights first. With versions named in quick succession every runner gets
// its turn, and skips those in between.
func SortForUpdate(runners []GroupRunner) {
	slices.SortFunc(runners, func(a, b GroupRunner) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
}

// updateGroup names the runners of one service that hold one model.
type updateGroup struct{ service, model string }

// nextUpdates are runners that take new weights now or next.
type nextUpdates struct {
	runners map[string]bool
	at      time.Time
}

// takesWeightsNext tells whether the runner is being updated, or is next.
func (s *Set) takesWeightsNext(now time.Time, e *entry, model string) bool {
	target := s.weights.Target(model)
	if target == 0 {
		return false
	}
	key := updateGroup{e.Service, model}
	known, found := s.next[key]
	if !found || now.Sub(known.at) >= nextUpdatesAge {
		known = nextUpdates{runners: s.findNextUpdates(key, target), at: now}
		s.next[key] = known
	}
	return known.runners[e.ID]
}

func (s *Set) findNextUpdates(group updateGroup, target uint64) map[string]bool {
	entries := s.byService[group.service]
	var outdated []GroupRunner
	for _, e := range entries {
		if version, held := e.version(group.model); held && version < target && !e.Draining {
			outdated = append(outdated, GroupRunner{e.Runner, version})
		}
	}
	SortForUpdate(outdated)
	next := map[string]bool{}
	for _, runner := range outdated[:min(len(outdated), UpdatesAtOnce(len(entries)))] {
		next[runner.ID] = true
	}
	return next
}
