package backend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Whoever holds the lease orders the runners with the oldest weights first, a
// bounded number at once. All routers know what is named and what the runners
// have, so each can tell which runners are being updated or are next, without
// being told, and leaves them alone: a runner that is empty when it loads delays
// nobody.

const (
	// maxUpdatingShare bounds the share of a service's runners whose weights are
	// replaced at once, or that are left alone as they are next; the weight store
	// slows all when many load, and the others have to serve everybody.
	maxUpdatingShare = 0.25
	// UpdateTime is how long one update takes: 0.57 to 0.76 s for the load on the
	// deployments seen, and 0.2 s until the runner's report tells.
	UpdateTime = 900 * time.Millisecond
	// lookAhead is how many times the runners being updated are left alone: those
	// themselves and as many that are next, where the share allows. The news that one
	// is done takes 0.3 to 0.5 s to all routers, and its requests another 0.3 s to end.
	lookAhead = 2
	// nextUpdatesAge is how long the runners to be updated next are remembered.
	nextUpdatesAge = 50 * time.Millisecond
	// defaultRolloutTime is half of the deadline of eight seconds that the first
	// deployments give.
	defaultRolloutTime = 4 * time.Second
)

// SetRolloutTime sets the time within which all runners of a service are to be
// brought to named weights: well below the deadline, as orders are lost and
// holders of the lease change.
func (s *Set) SetRolloutTime(within time.Duration) { s.rolloutTime = within }

// UpdatesAtOnce returns how many of a service's runners take new weights at once,
// each for the time taken: as many as bring all of them there within the time of
// a rollout, or more when the deadline of older weights is near.
func (s *Set) UpdatesAtOnce(now time.Time, service, model string, taken time.Duration) int {
	entries := s.byService[service]
	most := mostUpdating(len(entries))
	pace := neededAtOnce(len(entries), taken, s.rolloutTime)
	return min(max(pace, s.neededByDeadlines(now, entries, model, taken)), most)
}

// mostUpdating is how many of the runners may be out of use for updates.
func mostUpdating(runners int) int { return max(1, int(float64(runners)*maxUpdatingShare)) }

// neededAtOnce is how many updates at once bring the runners through in time.
func neededAtOnce(runners int, taken, within time.Duration) int {
	if within <= 0 {
		return runners
	}
	return int(math.Ceil(float64(runners) * taken.Seconds() / within.Seconds()))
}

// neededByDeadlines is how many updates at once keep every runner's weights from
// expiring, the earliest deadline first.
func (s *Set) neededByDeadlines(now time.Time, entries []*entry, model string, taken time.Duration) int {
	expiring := map[uint64]int{}
	for _, runner := range outdatedOf(entries, model, s.weights.Target(model)) {
		expiring[runner.Version]++
	}
	versions := make([]uint64, 0, len(expiring))
	for version := range expiring {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	needed, before := 0, 0
	for _, version := range versions {
		before += expiring[version]
		left := s.weights.ExpiresAt(model, version).Sub(now) - taken
		needed = max(needed, neededAtOnce(before, taken, left))
	}
	return needed
}

// outdatedOf returns the runners that stay and have older weights than the target.
func outdatedOf(entries []*entry, model string, target uint64) []GroupRunner {
	var outdated []GroupRunner
	for _, e := range entries {
		if version, held := e.version(model); held && version < target && !e.Draining {
			outdated = append(outdated, GroupRunner{Runner: e.Runner, Version: version})
		}
	}
	return outdated
}

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
	if s.weights.Target(model) == 0 {
		return false
	}
	key := updateGroup{e.Service, model}
	known, found := s.next[key]
	if !found || now.Sub(known.at) >= nextUpdatesAge {
		known = nextUpdates{runners: s.findNextUpdates(now, key), at: now}
		s.next[key] = known
	}
	return known.runners[e.ID]
}

func (s *Set) findNextUpdates(now time.Time, group updateGroup) map[string]bool {
	outdated := outdatedOf(s.byService[group.service], group.model, s.weights.Target(group.model))
	next := map[string]bool{}
	if len(outdated) == 0 {
		return next
	}
	SortForUpdate(outdated)
	atOnce := s.UpdatesAtOnce(now, group.service, group.model, UpdateTime)
	leftAlone := max(atOnce, min(lookAhead*atOnce, mostUpdating(len(s.byService[group.service]))))
	for _, runner := range outdated[:min(len(outdated), leftAlone)] {
		next[runner.ID] = true
	}
	return next
}
