package namings

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/clock"
)

// Bound is a lower bound on a naming time: neither the version of a model's weights nor a later one
// had been named at NotNamedAt. Versions only increase, so it also bounds when weights before the
// version were replaced by versions that this router never learned of. Lists and other routers only
// provide the newest version.
type Bound struct {
	Version     uint64
	observation Observation
}

// NotNamedAt returns the time at which the version had not been named yet.
func (b Bound) NotNamedAt() time.Time { return b.observation.NotNamedAt }

// History is what a router knows about the namings of one model's weights.
type History struct {
	// namedVersion is the newest version that this router learned of, or 0, and observation is its
	// observation.
	namedVersion uint64
	observation  Observation
	// firstObservation is the observation of the first naming. The deadlines of weights before all
	// bounds are computed from it and are not extended later.
	firstObservation Observation
	// bounds increase by version, and their times do not decrease. There are at most maxBounds.
	bounds []Bound
	// reportedVersion is the newest version whose naming another router has reported.
	reportedVersion uint64
}

const (
	// maxBounds is the maximum number of bounds per model. Weights before all of them are assumed
	// to have expired. With eight namings per second the bounds cover the deadline of older weights
	// in known deployments.
	maxBounds = 64
	// minBoundIncrease is how much later than the known time a bound must be to replace it.
	// Reported times are inexact by the transmission time of a message, which is 0.2 to 20 ms.
	minBoundIncrease = 50 * time.Millisecond
)

// NamedVersion returns the newest version that this router learned of, or 0.
func (h *History) NamedVersion() uint64 { return h.namedVersion }

// RecordNaming records the naming of a version that is newer than all previous ones.
func (h *History) RecordNaming(version uint64, observation Observation) {
	if h.namedVersion == 0 {
		h.firstObservation = observation.withNotNamedAt(time.Time{}, false)
	}
	for i, bound := range h.bounds {
		if bound.Version <= version && bound.observation.LearnedAt.IsZero() {
			h.bounds[i].observation = observation.withNotNamedAt(bound.observation.NotNamedAt, true)
		}
	}
	if !observation.CopyCurrentAt.IsZero() {
		h.addBound(Bound{h.namedVersion + 1, observation.withNotNamedAt(observation.CopyCurrentAt, false)})
	}
	if !observation.NotNamedAt.IsZero() {
		h.addBound(Bound{version, observation})
	}
	h.namedVersion, h.observation = version, observation
}

// RecordReport records another router's report that the version had not been named at the time. It
// returns whether the report changes any deadline.
func (h *History) RecordReport(c Config, version uint64, notNamedAt time.Time) bool {
	observation := Observation{NotNamedAt: notNamedAt, Reported: true}
	if version <= h.namedVersion {
		observation = h.observation.withNotNamedAt(notNamedAt, true)
	}
	refutesOutage := version > h.reportedVersion && slices.ContainsFunc(h.bounds, func(b Bound) bool {
		return b.Version <= version && h.observationOf(b).storeUnavailable(c)
	})
	h.reportedVersion = max(h.reportedVersion, version)
	return (h.addBound(Bound{version, observation}) || refutesOutage) && version <= h.namedVersion
}

// observationOf returns the observation of a bound combined with reports of other routers. If
// another router learned of that version or a later one, the store was not unavailable to all
// routers.
func (h *History) observationOf(bound Bound) Observation {
	return bound.observation.withNotNamedAt(bound.observation.NotNamedAt, bound.observation.Reported || bound.Version <= h.reportedVersion)
}

// addBound adds or updates a bound and returns whether it adds knowledge.
func (h *History) addBound(bound Bound) bool {
	index, found := slices.BinarySearchFunc(h.bounds, bound.Version, func(existing Bound, version uint64) int {
		return cmp.Compare(existing.Version, version)
	})
	switch {
	case found:
		existing := h.bounds[index].observation
		bound.observation = existing.merge(bound.observation)
		if bound.observation.Reported == existing.Reported && bound.observation.NotNamedAt.Sub(existing.NotNamedAt) < minBoundIncrease {
			return false
		}
		h.bounds[index] = bound
	case index == 0 && len(h.bounds) == maxBounds:
		return false
	default:
		if index > 0 {
			bound.observation.NotNamedAt = clock.Later(bound.observation.NotNamedAt, h.bounds[index-1].observation.NotNamedAt)
		}
		h.bounds = slices.Insert(h.bounds, index, bound)
	}
	// The bound also applies to later versions.
	for i := index + 1; i < len(h.bounds); i++ {
		h.bounds[i].observation.NotNamedAt = clock.Later(h.bounds[i].observation.NotNamedAt, bound.observation.NotNamedAt)
	}
	h.bounds = slices.Delete(h.bounds, 0, max(len(h.bounds)-maxBounds, 0))
	return true
}

// Deadlines returns the deadlines of all older versions.
func (h *History) Deadlines(c Config) []backend.VersionDeadlines {
	var deadlines []backend.VersionDeadlines
	observation := h.firstObservation
	for _, bound := range h.bounds {
		if bound.Version > h.namedVersion {
			break
		}
		if bound.Version > 1 {
			deadlines = append(deadlines, backend.VersionDeadlines{BelowVersion: bound.Version - 1, Deadlines: OlderVersionDeadlines(c, observation)})
		}
		observation = h.observationOf(bound)
	}
	return append(deadlines, backend.VersionDeadlines{BelowVersion: h.namedVersion, Deadlines: OlderVersionDeadlines(c, observation)})
}

// OldestExpiry returns when the oldest weights with a bound expire. Without bounds all older
// weights expire together.
func (h *History) OldestExpiry(c Config) time.Time {
	observation := h.firstObservation
	if len(h.bounds) > 0 && h.bounds[0].Version <= h.namedVersion {
		observation = h.observationOf(h.bounds[0])
	}
	return OlderVersionDeadlines(c, observation).Expiry
}

// ReportableBounds returns the bounds to report to other routers that are not older than maxAge.
// Only bounds of an observation that was not out of date, or that was reported by another router,
// are reliable enough.
func (h *History) ReportableBounds(c Config, now time.Time, maxAge time.Duration) []Bound {
	var reportable []Bound
	for _, bound := range h.bounds {
		reliable := bound.observation.Reported || !bound.observation.outOfDate(c)
		if bound.Version <= h.namedVersion && reliable && now.Sub(bound.observation.NotNamedAt) <= maxAge {
			reportable = append(reportable, bound)
		}
	}
	return reportable
}
