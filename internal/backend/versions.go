package backend

import (
	"math"
)

// VersionRule restricts which software versions of a service's runners get requests. The zero
// value allows all.
type VersionRule struct {
	// Only is the only allowed version, empty for no such restriction.
	Only string
	// Excluded is a version that gets no requests except those that name it, empty for none.
	Excluded string
}

// allows reports whether requests that name no version may go to the version.
func (r VersionRule) allows(version string) bool {
	return (r.Only == "" || version == r.Only) && (r.Excluded == "" || version != r.Excluded)
}

// SetVersionRules replaces the rules of all services. exposedShare is the largest share of a
// service's requests that names a version.
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
	if query.TargetVersion != "" {
		return e.SoftwareVersion == query.TargetVersion
	}
	return s.versionRules[e.Service].allows(e.SoftwareVersion)
}

// allowedEntries returns the service's runners to which the request may go. Requests that name a
// version go to so few of its runners that each has as much load as the runners of the other
// versions have: some faults show only under load.
func (s *Set) allowedEntries(query Query) []*entry {
	all := s.byService[query.Service]
	if query.TargetVersion == "" && s.versionRules[query.Service] == (VersionRule{}) {
		return all
	}
	var allowed []*entry
	for _, e := range all {
		if s.allowsVersion(e, query) && (query.TargetVersion == "" || !e.isLeaving()) {
			allowed = append(allowed, e)
		}
	}
	if query.TargetVersion != "" {
		others := len(all) - len(allowed)
		allowed = allowed[:min(len(allowed), max(1, int(math.Ceil(s.exposedShare*float64(others)))))]
	}
	return allowed
}
