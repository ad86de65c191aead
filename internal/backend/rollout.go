package backend

import (
	"cmp"
	"slices"
	"time"
)

// WeightVersion returns the newest known version of the model's weights at the runner, 0 if
// it does not hold the model.
func (s *Set) WeightVersion(id, model string) uint64 {
	e := s.entries[id]
	if e == nil {
		return 0
	}
	version, _ := e.weightVersion(model)
	return version
}

// LearnVersion records the weight version reported in a response of the runner, and
// returns whether it is newer than the known one.
func (s *Set) LearnVersion(id, model string, version uint64) (newer bool) {
	e := s.entries[id]
	if e == nil || model == "" {
		return false
	}
	known, _ := e.weightVersion(model)
	if version <= known {
		return false
	}
	e.learnedVersions[model] = version
	s.newestWeights[model] = max(s.newestWeights[model], version)
	s.outdated.valid = false
	return true
}

// SetUpdating records whether this router's order to update the runner's weights is in
// progress.
func (s *Set) SetUpdating(id string, updating bool) {
	if e := s.entries[id]; e != nil {
		e.updating = updating
	}
}

// GroupRunner is a runner with the version that it has of one model's weights.
type GroupRunner struct {
	Runner
	Version uint64
	// Expired is set when the weights get no requests any more.
	Expired bool
}

// ModelGroup is the set of runners of one service that hold one model.
type ModelGroup struct {
	Service string
	Model   string
	// Target is the newest version that the runners should have.
	Target uint64
	// MaxConcurrent is how many of the runners may update at once.
	MaxConcurrent int
	Runners       []GroupRunner
}

// CountOutdated returns the number of runners of configured services that are not draining
// and hold weights older than the target.
//
// Routers ask several times a second, so the result is kept until a runner, a target or the
// configured services change.
func (s *Set) CountOutdated() int {
	if count := &s.outdated; !count.valid || count.targetChanges != s.weightTargets.changes {
		*count = outdatedCount{valid: true, targetChanges: s.weightTargets.changes, runners: s.scanOutdated()}
	}
	return s.outdated.runners
}

// outdatedCount is the result of the last scan for outdated runners.
type outdatedCount struct {
	valid bool
	// targetChanges is the number of changes of the targets at the scan.
	targetChanges uint64
	runners       int
}

// scanOutdated counts the outdated runners by looking at all runners.
func (s *Set) scanOutdated() int {
	s.outdatedScans++
	count := 0
	for _, e := range s.entries {
		if s.needsUpdate(e) {
			count++
		}
	}
	return count
}

// needsUpdate reports whether the runner belongs to a configured service, is not draining and is outdated.
func (s *Set) needsUpdate(e *entry) bool { return !e.Draining && s.isConfigured(e) && s.isOutdated(e) }

func (s *Set) isOutdated(e *entry) bool {
	for _, held := range e.Models {
		if version, _ := e.weightVersion(held.Name); version < s.weightTargets.Target(held.Name) {
			return true
		}
	}
	return false
}

// ModelGroups returns the groups of models with a target version, sorted by service and
// model. MaxConcurrent is computed for updates that take updateTime each.
func (s *Set) ModelGroups(now time.Time, updateTime time.Duration) []ModelGroup {
	groups := map[modelGroupKey]*ModelGroup{}
	for _, entries := range s.byService {
		for _, e := range entries {
			if !s.isConfigured(e) {
				break
			}
			for _, held := range e.Models {
				target := s.weightTargets.Target(held.Name)
				if target == 0 {
					continue
				}
				key := modelGroupKey{e.Service, held.Name}
				if groups[key] == nil {
					groups[key] = &ModelGroup{Service: e.Service, Model: held.Name, Target: target, MaxConcurrent: s.MaxConcurrentUpdates(now, e.Service, held.Name, updateTime)}
				}
				version, _ := e.weightVersion(held.Name)
				groups[key].Runners = append(groups[key].Runners, GroupRunner{e.Runner, version, s.weightTargets.State(now, held.Name, version) == Expired})
			}
		}
	}
	var ordered []ModelGroup
	for _, group := range groups {
		ordered = append(ordered, *group)
	}
	slices.SortFunc(ordered, func(a, b ModelGroup) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return ordered
}
