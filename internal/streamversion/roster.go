package streamversion

import (
	"maps"
	"slices"
)

// Roster holds for each service the software versions at which streams that may still live began. Routers keep it
// in the store: a version is added when it is first listed, and removed once no runner of it was listed for a
// window. A service that has one version in it therefore has streams of that version only.
type Roster map[string][]string

// With returns a roster that also has the versions of the other one, and whether that differs from r.
func (r Roster) With(other Roster) (merged Roster, changed bool) {
	merged = maps.Clone(r)
	if merged == nil {
		merged = Roster{}
	}
	for service, versions := range other {
		for _, version := range versions {
			index, found := slices.BinarySearch(merged[service], version)
			if !found {
				merged[service], changed = slices.Insert(slices.Clone(merged[service]), index, version), true
			}
		}
	}
	return merged, changed
}

// Equal reports whether both have the same versions.
func (r Roster) Equal(other Roster) bool { return maps.EqualFunc(r, other, slices.Equal) }
