package backend

import (
	"maps"
	"math"
	"slices"
	"time"
)

// VersionRule restricts which software versions of a service's runners get requests. The zero
// value allows all.
type VersionRule struct {
	// Only is the only allowed version, empty for no such restriction.
	Only string
	// Excluded is a version that gets no requests except those that name it, empty for none.
	Excluded string
	// WithoutOrder is set if no order to move the service is known. The rule then holds for new streams only: a
	// version that has begun streams may finish them.
	WithoutOrder bool
	// None is set if no version is allowed.
	None bool
}

// allows reports whether requests that name no version may go to the version.
func (r VersionRule) allows(version string) bool {
	return !r.None && (r.Only == "" || version == r.Only) && (r.Excluded == "" || version != r.Excluded)
}

// SetVersionRules replaces the rules of all services. exposedShare is the largest share of a
// service's requests that tests a version.
func (s *Set) SetVersionRules(rules map[string]VersionRule, exposedShare float64) {
	s.versionRules, s.exposedShare = rules, exposedShare
}

// VersionCounts counts the service's runners that are not leaving, by software version.
func (s *Set) VersionCounts(service string) map[string]int {
	counts := map[string]int{}
	for _, e := range s.byService[service] {
		if !e.isLeaving() {
			counts[e.SoftwareVersion]++
		}
	}
	return counts
}

// allowsVersion reports whether the request may go to the runner's software version.
func (s *Set) allowsVersion(e *entry, query Query) bool {
	if query.BoundVersion != "" {
		if e.SoftwareVersion != query.BoundVersion {
			return false
		}
		if s.versionRules[e.Service].WithoutOrder {
			return true
		}
	}
	if query.TargetVersion != "" {
		return e.SoftwareVersion == query.TargetVersion
	}
	return s.versionRules[e.Service].allows(e.SoftwareVersion)
}

// VersionLoad compares the runners of one version of a service with the others.
type VersionLoad struct {
	// Runners is the number of runners of the version that are not leaving, Slots how many requests they
	// run at the same time, and OtherSlots the same for the other versions.
	Runners, Slots, OtherSlots int
	// Open is the number of open requests of the service, as far as this router knows, and
	// PlacedAtOthers how many of those that it placed itself are at other versions.
	Open, PlacedAtOthers int
}

// VersionLoad returns the load of the service and what its runners of the version can carry.
func (s *Set) VersionLoad(now time.Time, service, version string) (load VersionLoad) {
	for _, e := range s.byService[service] {
		load.Open += e.inFlight + s.peerLoad(now, e.ID).Requests
		switch {
		case e.SoftwareVersion != version:
			load.PlacedAtOthers += e.inFlight
			if !e.isLeaving() {
				load.OtherSlots += e.Slots
			}
		case !e.isLeaving():
			load.Runners++
			load.Slots += e.Slots
		}
	}
	return load
}

// ListedVersions returns the software versions of the listed runners, leaving ones included, by service.
func (s *Set) ListedVersions() map[string][]string {
	listed := map[string][]string{}
	for service, counts := range s.listedVersions {
		listed[service] = slices.Sorted(maps.Keys(counts))
	}
	return listed
}

// VersionChanges counts the changes of what ListedVersions returns.
func (s *Set) VersionChanges() uint64 { return s.versionChanges }

// countListedVersion adds to the number of listed runners of the software version.
func (s *Set) countListedVersion(runner Runner, change int) {
	counts := s.listedVersions[runner.Service]
	if counts == nil {
		counts = map[string]int{}
		s.listedVersions[runner.Service] = counts
	}
	before := counts[runner.SoftwareVersion]
	counts[runner.SoftwareVersion] += change
	if before == 0 || before+change == 0 {
		s.versionChanges++
	}
	if before+change == 0 {
		delete(counts, runner.SoftwareVersion)
	}
}

// HaveVersion reports whether one of the runners has the software version.
func (s *Set) HaveVersion(ids []string, version string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return s.entries[id] != nil && s.entries[id].SoftwareVersion == version })
}

// allowedEntries returns the service's runners to which the request may go. Requests that test a
// version go to so few of its runners that each has as much load as the runners of the other
// versions have: some faults show only under load.
func (s *Set) allowedEntries(query Query) []*entry {
	all := s.byService[query.Service]
	if query.TargetVersion == "" && query.BoundVersion == "" && s.versionRules[query.Service] == (VersionRule{}) {
		return all
	}
	var allowed []*entry
	for _, e := range all {
		if s.allowsVersion(e, query) && (query.TargetVersion == "" || !e.isLeaving()) {
			allowed = append(allowed, e)
		}
	}
	if query.Testing {
		others := len(all) - len(allowed)
		allowed = allowed[:min(len(allowed), max(1, int(math.Ceil(s.exposedShare*float64(others)))))]
	}
	return allowed
}
