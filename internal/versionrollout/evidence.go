package versionrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// oldDeviations is the confidence, in standard deviations, with which the share of bad answers of the
	// old version is bounded from above.
	oldDeviations = 3
	// condemnStrength and finalStrength are the negative logarithms of the chance at which bad
	// answers of the target version are no longer taken for bad luck: at each check during the
	// rollout, to which the logarithm of the number of checks is added, and at the one before the end.
	condemnStrength = 9
	finalStrength   = 8
	// minBadAnswers is the number of bad answers below which a version is not condemned.
	minBadAnswers = 4
	// toleratedShare is the difference in the share of bad answers that is never held against the
	// target version.
	toleratedShare = 0.02
	// toleratedMissing is the same for requests without an answer, of which some are lost in other
	// ways than by a version that hangs.
	toleratedMissing = 0.2
	// minOldAnswers is the number of answers of the old version in a window below which its answers
	// since the order are used instead, as while all requests go to the target version.
	minOldAnswers = 20
	// shortestWindow is the length of the shortest window in which answers are judged on their own.
	// A version that turns bad late would otherwise be covered by its good start.
	shortestWindow = 250 * time.Millisecond
)

// counts is the sum of all reports at one time.
type counts struct {
	at                          time.Time
	requests, exposed, unjudged uint64
	routes                      map[string]RouteTally
}

// add replaces what an earlier report of one placer added by the later one.
func (c *counts) add(earlier, later Report) {
	c.requests += later.Requests - earlier.Requests
	c.exposed += later.Exposed - earlier.Exposed
	c.unjudged += later.Unjudged - earlier.Unjudged
	for route, tally := range later.Routes {
		c.routes[route] = c.routes[route].plus(tally.minus(earlier.Routes[route]))
	}
}

func (c counts) tally() (total RouteTally) {
	for _, tally := range c.routes {
		total = total.plus(tally)
	}
	return total
}

// window holds the counts at the start of the period in which answers are judged. The period is
// one to two times as long as the window's length.
type window struct {
	length        time.Duration
	before, start counts
}

// history keeps windows whose lengths double from the shortest one to the duration of the rollout.
type history struct {
	duration time.Duration
	windows  []window
}

func newHistory(duration time.Duration, start counts) *history {
	h := &history{duration: duration}
	for length := shortestWindow; length < duration; length *= 2 {
		h.windows = append(h.windows, window{length: length, before: start, start: start})
	}
	return h
}

// add moves the windows on.
func (h *history) add(current counts) {
	for i := range h.windows {
		if w := &h.windows[i]; current.at.Sub(w.start.at) >= w.length {
			w.before, w.start = w.start, current
		}
	}
}

// worse describes evidence that the target version is worse than the old one, "" if there is none.
func (h *history) worse(current counts) string {
	if reason := worseSince(counts{}, current, condemnStrength); reason != "" {
		return reason
	}
	for _, w := range h.windows {
		checks := 1 + h.duration.Seconds()/w.length.Seconds()
		if reason := worseSince(w.before, current, condemnStrength+math.Log(checks)); reason != "" {
			return reason
		}
		if reason := missingSince(w.before, current, condemnStrength+math.Log(checks)); reason != "" {
			return reason
		}
	}
	return ""
}

// worseSince compares the answers since earlier counts, on each route and on all together.
func worseSince(earlier, current counts, strength float64) string {
	for _, route := range slices.Sorted(maps.Keys(current.routes)) {
		recent := current.routes[route].minus(earlier.routes[route])
		if isTargetWorse(recent, current.routes[route].Old, strength) {
			return describe("route "+route, recent)
		}
	}
	total := current.tally()
	if recent := total.minus(earlier.tally()); isTargetWorse(recent, total.Old, strength) {
		return describe("all routes", recent)
	}
	return ""
}

// isTargetWorse reports whether the target version gave more bad answers than the old version did. An
// old version that is as bad, as when a dependency of both fails, is no evidence against the
// target. allOld are the answers of the old version since the order.
func isTargetWorse(recent RouteTally, allOld Tally, strength float64) bool {
	old := recent.Old
	if old.Answers < minOldAnswers {
		old = allOld
	}
	return recent.Target.Bad >= minBadAnswers && recent.Target.exceeds(old.upperShare()+toleratedShare, strength)
}

// missingSince compares how many of the requests sent before the earlier counts have no answer yet.
func missingSince(earlier, current counts, strength float64) string {
	total := current.tally()
	target := missing(earlier.exposed, total.Target.Answers+current.unjudged)
	old := missing(earlier.requests-earlier.exposed, total.Old.Answers)
	if target.Bad >= minBadAnswers && target.exceeds(old.upperShare()+toleratedMissing, strength) {
		return fmt.Sprintf("%d of %d requests to the target version have no answer, %d of %d to the old one", target.Bad, target.Answers, old.Bad, old.Answers)
	}
	return ""
}

func missing(sent, ended uint64) Tally {
	return Tally{Answers: sent, Bad: sent - min(sent, ended)}
}

// exceeds reports whether the chance of so many bad answers, if the share of bad ones were the given
// one, is below exp(-strength). The Chernoff bound on this chance holds for any number of answers.
func (t Tally) exceeds(share, strength float64) bool {
	if t.Answers == 0 || share >= 1 {
		return false
	}
	observed := float64(t.Bad) / float64(t.Answers)
	if observed <= share {
		return false
	}
	divergence := observed * math.Log(observed/share)
	if observed < 1 {
		divergence += (1 - observed) * math.Log((1-observed)/(1-share))
	}
	return float64(t.Answers)*divergence >= strength
}

// upperShare returns the upper bound of the Wilson score interval for the share of bad answers. Without
// answers nothing is known, and it is 1.
func (t Tally) upperShare() float64 {
	if t.Answers == 0 {
		return 1
	}
	const z2 = oldDeviations * oldDeviations
	n, share := float64(t.Answers), float64(t.Bad)/float64(t.Answers)
	centre := (share + z2/(2*n)) / (1 + z2/n)
	return centre + oldDeviations/(1+z2/n)*math.Sqrt(share*(1-share)/n+z2/(4*n*n))
}

func describe(where string, tally RouteTally) string {
	return fmt.Sprintf("%s: %d of %d answers of the target version were bad, %d of %d of the old one",
		where, tally.Target.Bad, tally.Target.Answers, tally.Old.Bad, tally.Old.Answers)
}
