package streamversion

import (
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// VersionSpan is the time during which a software version was listed among the runners of a service.
type VersionSpan struct {
	Service, Version string
	First, Last      time.Time
}

// History holds which software versions the runners of each service had within the last window, the longest time
// for which a stream can live. It is not safe for concurrent use.
type History struct {
	window time.Duration
	// since is the time since which the history lacks nothing.
	since time.Time
	// spans holds the spans of each service by version.
	spans map[string]map[string]VersionSpan
}

// NewHistory returns the history of an observer that begins now.
func NewHistory(now time.Time, window time.Duration) *History {
	return &History{window: window, since: now, spans: map[string]map[string]VersionSpan{}}
}

// Window returns the longest time for which a stream can live.
func (h *History) Window() time.Duration { return h.window }

// SetComplete records that the history lacks nothing, as of an observer that was there before the first runner.
func (h *History) SetComplete() { h.since = time.Time{} }

// SetWindow sets the longest time for which a stream can live.
func (h *History) SetWindow(window time.Duration) { h.window = window }

// Observe records that the versions are listed now. It must be called when the listed versions change and at least
// once a window.
func (h *History) Observe(now time.Time, listed []Origin) {
	for _, origin := range listed {
		h.add(VersionSpan{Service: origin.Service, Version: origin.Version, First: now, Last: now})
	}
	for _, versions := range h.spans {
		maps.DeleteFunc(versions, func(_ string, span VersionSpan) bool { return !h.isWithinWindow(now, span) })
	}
}

// isWithinWindow reports whether the version was listed within the window.
func (h *History) isWithinWindow(now time.Time, span VersionSpan) bool {
	return now.Sub(span.Last) <= h.window
}

func (h *History) add(span VersionSpan) {
	versions := h.spans[span.Service]
	if versions == nil {
		versions = map[string]VersionSpan{}
		h.spans[span.Service] = versions
	}
	if known, found := versions[span.Version]; found {
		span.First = clock.Earlier(known.First, span.First)
		if known.Last.After(span.Last) {
			span.Last = known.Last
		}
	}
	versions[span.Version] = span
}

// Merge adds the history of another observer, which lacks nothing since the time. An observer of longer standing knows better when the
// versions were first listed, as the roster does not tell.
func (h *History) Merge(since time.Time, spans []VersionSpan) {
	isLonger := since.Before(h.since)
	h.since = clock.Earlier(h.since, since)
	for _, span := range spans {
		h.add(span)
		if isLonger {
			known := h.spans[span.Service][span.Version]
			known.First = span.First
			h.spans[span.Service][span.Version] = known
		}
	}
}

// MergeRoster adds the versions that the store's roster had at the time. The roster lacks no version of the window
// before, but it does not tell when they were listed. It is of no use for services all of whose versions a history knows that
// covers the window.
func (h *History) MergeRoster(at time.Time, roster Roster) {
	windowStart, covers := at.Add(-h.window), h.CoversWindow(at)
	h.since = clock.Earlier(h.since, windowStart)
	for service, versions := range roster {
		if covers && h.knowsAll(service, versions) {
			continue
		}
		for _, version := range versions {
			h.add(VersionSpan{Service: service, Version: version, First: windowStart, Last: at})
		}
	}
}

func (h *History) knowsAll(service string, versions []string) bool {
	return !slices.ContainsFunc(versions, func(version string) bool {
		_, known := h.spans[service][version]
		return !known
	})
}

// Roster returns the versions that were listed within the window.
func (h *History) Roster(now time.Time) Roster {
	roster := Roster{}
	for _, span := range h.Spans() {
		if h.isWithinWindow(now, span) {
			roster[span.Service] = append(roster[span.Service], span.Version)
		}
	}
	return roster
}

// Since returns the time since which the history lacks nothing.
func (h *History) Since() time.Time { return h.since }

// Spans returns the spans, sorted by service and version.
func (h *History) Spans() []VersionSpan {
	var spans []VersionSpan
	for _, service := range slices.Sorted(maps.Keys(h.spans)) {
		for _, version := range slices.Sorted(maps.Keys(h.spans[service])) {
			spans = append(spans, h.spans[service][version])
		}
	}
	return spans
}

// CoversWindow reports whether the history lacks nothing of the last window.
func (h *History) CoversWindow(now time.Time) bool { return now.Sub(h.since) >= h.window }

// IsMixed reports whether streams of the service that live now may have begun at different versions.
func (h *History) IsMixed(now time.Time, service string) bool {
	if !h.CoversWindow(now) {
		return true
	}
	// This is asked for each event of a stream, so it sorts nothing.
	count := 0
	for _, span := range h.spans[service] {
		if h.isWithinWindow(now, span) {
			count++
		}
	}
	return count > 1
}

// LastJoined returns when the last of several versions that were listed within the window was first listed, zero if there was one.
func (h *History) LastJoined(now time.Time, service string) (joinedAt time.Time) {
	count := 0
	for _, span := range h.spans[service] {
		if h.isWithinWindow(now, span) {
			count++
			joinedAt = clock.Later(joinedAt, span.First)
		}
	}
	if count < 2 {
		return time.Time{}
	}
	return joinedAt
}

// Only returns the version at which all streams of the service that live now began. It returns false if there may
// be others, as before the history covers the window. It is true as of the last observation.
func (h *History) Only(now time.Time, service string) (version string, found bool) {
	if h.IsMixed(now, service) {
		return "", false
	}
	for _, span := range h.spans[service] {
		if h.isWithinWindow(now, span) {
			return span.Version, true
		}
	}
	return "", false
}

// KnowsThroughout reports whether the version was listed at both ends of the last window.
func (h *History) KnowsThroughout(now time.Time, origin Origin) bool {
	span, found := h.spans[origin.Service][origin.Version]
	return found && now.Sub(span.First) >= h.window && h.isWithinWindow(now, span)
}

// Knows reports whether the version was listed within the window.
func (h *History) Knows(now time.Time, origin Origin) bool {
	span, found := h.spans[origin.Service][origin.Version]
	return found && h.isWithinWindow(now, span)
}
