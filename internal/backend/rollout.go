package backend

import (
	"cmp"
	"slices"
	"time"
)

// WeightVersion returns the version of the model's weights that the runner is
// known to have, 0 when it does not hold the model.
func (s *Set) WeightVersion(id, model string) uint64 {
	e := s.entries[id]
	if e == nil {
		return 0
	}
	version, _ := e.version(model)
	return version
}

// LearnVersion notes the version of weights that an answer of the runner named
// and tells whether it is newer than what was known.
func (s *Set) LearnVersion(id, model string, version uint64) (news bool) {
	e := s.entries[id]
	if e == nil || model == "" {
		return false
	}
	known, _ := e.version(model)
	if version <= known {
		return false
	}
	e.learned[model] = version
	return true
}

// SetUpdating notes that the runner's weights are being replaced, or no longer.
func (s *Set) SetUpdating(id string, updating bool) {
	if e := s.entries[id]; e != nil {
		e.updating = updating
	}
}

// GroupRunner is a runner with the version of one model's weights.
type GroupRunner struct {
	Runner
	Version uint64
	// Expired tells that the weights get no requests any more.
	Expired bool
}

// ModelGroup is the runners of one service that hold one model.
type ModelGroup struct {
	Service string
	Model   string
	// Target is the newest named version.
	Target uint64
	// AtOnce is how many of the runners may take new weights at once.
	AtOnce  int
	Runners []GroupRunner
}

// Outdated counts the runners that stay and have older weights than named.
func (s *Set) Outdated() int {
	count := 0
	for _, e := range s.entries {
		if !e.Draining && s.inUse(e) && s.outdated(e) {
			count++
		}
	}
	return count
}

func (s *Set) outdated(e *entry) bool {
	for _, held := range e.Models {
		if version, _ := e.version(held.Name); version < s.weights.Target(held.Name) {
			return true
		}
	}
	return false
}

// ModelGroups returns the groups in which a version was named, in order, planned
// with the time that one update takes.
func (s *Set) ModelGroups(now time.Time, taken time.Duration) []ModelGroup {
	groups := map[updateGroup]*ModelGroup{}
	for _, entries := range s.byService {
		for _, e := range entries {
			if !s.inUse(e) {
				break
			}
			for _, held := range e.Models {
				target := s.weights.Target(held.Name)
				if target == 0 {
					continue
				}
				key := updateGroup{e.Service, held.Name}
				if groups[key] == nil {
					groups[key] = &ModelGroup{Service: e.Service, Model: held.Name, Target: target, AtOnce: s.UpdatesAtOnce(now, e.Service, held.Name, taken)}
				}
				version, _ := e.version(held.Name)
				groups[key].Runners = append(groups[key].Runners, GroupRunner{e.Runner, version, s.weights.State(now, held.Name, version) == Expired})
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
