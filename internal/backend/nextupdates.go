package backend

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The router that holds the controller lease orders runners to update their weights, the
// oldest weights first and a bounded number of runners at once. All routers know the target version and the versions of the
// runners, so each can compute which runners are updating or next without communication.
// Routers avoid these runners: an update of a runner without requests delays nobody.

const (
	// maxUpdatingShare bounds the share of a service's runners that update their weights at
	// once, or that are avoided because they are next. The weight store slows down for all
	// runners when many of them load, and the remaining runners must serve the whole
	// traffic.
	maxUpdatingShare = 0.25
	// TypicalUpdateTime is the assumed duration of one update: 0.57 to 0.76 s for loading
	// on the observed deployments, and 0.2 s until the runner's report arrives.
	TypicalUpdateTime = 900 * time.Millisecond
	// lookAheadFactor is the number of runners avoided for each one that updates
	// concurrently: the updating runner itself and one that is next, where maxUpdatingShare
	// allows it. The news that an update is done takes 0.3 to 0.5 s to reach all routers,
	// and the open requests of the next runner take another 0.3 s to end.
	lookAheadFactor = 2
	// nextUpdatesTTL is how long the computed set of runners to be updated next is cached.
	nextUpdatesTTL = 50 * time.Millisecond
	// defaultRolloutTime is half of the eight-second deadline of the first deployments.
	defaultRolloutTime = 4 * time.Second
)

// SetRolloutTime sets the time within which all runners of a service should reach a new
// target version. It should be well below the deadline of older weights, as orders may be
// lost and the lease may pass to another router.
func (s *Set) SetRolloutTime(within time.Duration) { s.rolloutTime = within }

// MaxConcurrentUpdates returns how many of a service's runners may update at once when each
// update takes updateTime. The result is enough to update all runners within the rollout
// time, or more when older weights are about to expire, and never above the limit of
// maxUpdatingRunners.
func (s *Set) MaxConcurrentUpdates(now time.Time, service, model string, updateTime time.Duration) int {
	entries := s.byService[service]
	limit := maxUpdatingRunners(len(entries))
	byRolloutTime := requiredConcurrency(len(entries), updateTime, s.rolloutTime)
	return min(max(byRolloutTime, s.concurrencyForDeadlines(now, entries, model, updateTime)), limit)
}

// maxUpdatingRunners returns how many of the runners may be out of service for updates at
// once.
func maxUpdatingRunners(runners int) int { return max(1, int(float64(runners)*maxUpdatingShare)) }

// requiredConcurrency returns how many concurrent updates are needed to update all the
// runners in time. Without time left, all must update at once.
func requiredConcurrency(runners int, updateTime, within time.Duration) int {
	if within <= 0 {
		return runners
	}
	return int(math.Ceil(float64(runners) * updateTime.Seconds() / within.Seconds()))
}

// concurrencyForDeadlines returns how many concurrent updates are needed so that no
// runner's weights expire, earliest deadline first.
func (s *Set) concurrencyForDeadlines(now time.Time, entries []*entry, model string, updateTime time.Duration) int {
	countByVersion := map[uint64]int{}
	for _, runner := range outdatedRunners(entries, model, s.weightTargets.Target(model)) {
		countByVersion[runner.Version]++
	}
	versions := make([]uint64, 0, len(countByVersion))
	for version := range countByVersion {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	required, cumulative := 0, 0
	for _, version := range versions {
		cumulative += countByVersion[version]
		timeLeft := s.weightTargets.ExpiresAt(model, version).Sub(now) - updateTime
		required = max(required, requiredConcurrency(cumulative, updateTime, timeLeft))
	}
	return required
}

// outdatedRunners returns the runners with a weight version below the target, except those
// that are draining.
func outdatedRunners(entries []*entry, model string, target uint64) []GroupRunner {
	var outdated []GroupRunner
	for _, e := range entries {
		if version, held := e.weightVersion(model); held && version < target && !e.Draining {
			outdated = append(outdated, GroupRunner{Runner: e.Runner, Version: version})
		}
	}
	return outdated
}

// SortForUpdate sorts runners into update order: oldest version first, then by id. When
// versions follow each other quickly, every runner still gets its turn and skips the
// versions in between.
func SortForUpdate(runners []GroupRunner) {
	slices.SortFunc(runners, func(a, b GroupRunner) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
}

// modelGroupKey identifies the runners of one service that hold one model.
type modelGroupKey struct{ service, model string }

// nextUpdates is the cached set of runners that are updating now or next.
type nextUpdates struct {
	runners    map[string]bool
	computedAt time.Time
}

// updatesSoon reports whether the runner is updating now or is next in line.
func (s *Set) updatesSoon(now time.Time, e *entry, model string) bool {
	if s.weightTargets.Target(model) == 0 {
		return false
	}
	key := modelGroupKey{e.Service, model}
	known, found := s.upcomingUpdates[key]
	if !found || now.Sub(known.computedAt) >= nextUpdatesTTL {
		known = nextUpdates{runners: s.computeNextUpdates(now, key), computedAt: now}
		s.upcomingUpdates[key] = known
	}
	return known.runners[e.ID]
}

func (s *Set) computeNextUpdates(now time.Time, group modelGroupKey) map[string]bool {
	outdated := outdatedRunners(s.byService[group.service], group.model, s.weightTargets.Target(group.model))
	next := map[string]bool{}
	if len(outdated) == 0 {
		return next
	}
	SortForUpdate(outdated)
	concurrent := s.MaxConcurrentUpdates(now, group.service, group.model, TypicalUpdateTime)
	avoided := max(concurrent, min(lookAheadFactor*concurrent, maxUpdatingRunners(len(s.byService[group.service]))))
	for _, runner := range outdated[:min(len(outdated), avoided)] {
		next[runner.ID] = true
	}
	return next
}
