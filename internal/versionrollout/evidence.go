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
	// old version since the order is bounded from above, and recentDeviations that for its recent answers.
	oldDeviations    = 3
	recentDeviations = 1
	// condemnStrength and finalStrength are the negative logarithms of the chance at which bad
	// answers of the target version are no longer taken for bad luck: at each check during the
	// rollout, to which the logarithm of the number of checks is added, and at the one before the end.
	condemnStrength = 8
	finalStrength   = 6
	// manyBadAnswers is the number of bad answers at which manyBadStrength suffices, as a bad version may get no
	// requests some seconds after its 50th bad answer.
	manyBadAnswers  = 40
	manyBadStrength = 5
	// minBadAnswers is the number of bad answers below which a version is not condemned.
	minBadAnswers = 4
	// raisedStrength is the same strength for a higher share of bad answers of the old version.
	raisedStrength = 3
	// toleratedShare is the difference in the share of bad answers that is never held against the
	// target version.
	toleratedShare = 0.02
	// toleratedMissing is the same for requests without an answer, of which some are lost in other
	// ways than by a version that hangs.
	toleratedMissing = 0.2
	// answerTimes is the number of mean answer times after which a request should have an answer.
	answerTimes = 5
	// shortestWindow is the length of the shortest window in which answers are judged on their own.
	// A version that turns bad late would otherwise be covered by its good start.
	shortestWindow = 250 * time.Millisecond
	// windowSteps is the number of steps in which a window moves on.
	windowSteps = 4
)

// counts is the sum of all reports at one time.
type counts struct {
	at                          time.Time
	requests, exposed, unjudged uint64
	routes                      map[string]RouteTally
	// sum is that of all routes.
	sum RouteTally
}

// raise raises the counts of one placer, which are part of the sum, to those of a report. Reports may arrive in
// any order, so the larger of each count holds.
func (c *counts) raise(placer *Report, report Report) {
	c.requests += raise(&placer.Requests, report.Requests)
	c.exposed += raise(&placer.Exposed, report.Exposed)
	c.unjudged += raise(&placer.Unjudged, report.Unjudged)
	for route, tally := range report.Routes {
		before := placer.Routes[route]
		after := before.larger(tally)
		if after == before {
			continue
		}
		placer.Routes[route] = after
		added := after.minus(before)
		c.routes[route], c.sum = c.routes[route].plus(added), c.sum.plus(added)
	}
}

// raise raises a count and returns by how much.
func raise(count *uint64, to uint64) uint64 {
	before := *count
	*count = max(before, to)
	return *count - before
}

// clone returns a copy that shares nothing with the counts.
func (c counts) clone() counts {
	c.routes = maps.Clone(c.routes)
	return c
}

// window holds the counts at the start of the period in which answers are judged.
type window struct {
	length time.Duration
	// starts holds counts of the last length of time, several in a window. The first one is at least as old
	// as the window is long, once the rollout is.
	starts []counts
}

// start returns the counts at the start of the window.
func (w window) start() counts { return w.starts[0] }

// isDue reports whether the window needs the present counts.
func (w window) isDue(now time.Time) bool {
	return now.Sub(w.starts[len(w.starts)-1].at) >= w.length/windowSteps
}

func (w *window) add(current counts) {
	w.starts = append(w.starts, current)
	for len(w.starts) > 1 && current.at.Sub(w.starts[1].at) >= w.length {
		w.starts = w.starts[1:]
	}
}

// history keeps windows whose lengths double from the shortest one to the duration of the rollout.
type history struct {
	duration time.Duration
	// base holds the counts from which on answers are judged, all of them unless a pause has shown that both
	// versions fail.
	base    counts
	windows []window
	// oldShares holds, by route and for all together (allRoutes), the highest raised share of the old version in
	// any window that ended with the promotion. Afterwards it gets hardly any requests.
	oldShares map[string]float64
	// answerTime is the highest mean time from request to answer that the old version had, 0 if it isn't known.
	answerTime time.Duration
}

// allRoutes stands for the sum of all routes.
const allRoutes = ""

func newHistory(duration time.Duration, base, start counts) *history {
	h := &history{duration: duration, base: base}
	for length := shortestWindow; length < duration; length *= 2 {
		h.windows = append(h.windows, window{length: length, starts: []counts{start}})
	}
	return h
}

// add moves the windows on.
func (h *history) add(current counts) {
	var kept *counts
	for i := range h.windows {
		w := &h.windows[i]
		if !w.isDue(current.at) {
			continue
		}
		if kept == nil {
			copied := current.clone()
			kept = &copied
		}
		w.add(*kept)
	}
}

// worseSinceBase compares all answers that are judged.
func (h *history) worseSinceBase(current counts, strength float64) string {
	return h.worseSince(h.base, current, strength)
}

// worseSince compares the answers since earlier counts. If the share of the old version has risen since, as when a
// dependency fails, a target version that was tested more after than before would look worse than the old
// one for this reason alone. The share of the old version in its worst window is therefore taken into account.
func (h *history) worseSince(earlier, current counts, strength float64) string {
	if reason := h.compare(earlier, current, strength); reason == "" {
		return ""
	}
	withWindows := *h
	withWindows.keepOld(current)
	return withWindows.compare(earlier, current, strength)
}

// keepOld keeps how the old version answers at present, in the worst window.
func (h *history) keepOld(current counts) {
	shares := map[string]float64{}
	for _, w := range h.windows {
		for route, tally := range current.routes {
			recent := tally.Old.minus(w.start().routes[route].Old)
			shares[route] = max(shares[route], h.oldShares[route], recent.raisedShare(tally.Old))
		}
		recent := current.sum.Old.minus(w.start().sum.Old)
		shares[allRoutes] = max(shares[allRoutes], h.oldShares[allRoutes], recent.raisedShare(current.sum.Old))
	}
	h.oldShares = shares
}

// worse describes evidence that the target version is worse than the old one, "" if there is none.
func (h *history) worse(current counts) string {
	strength := float64(condemnStrength)
	if current.sum.Target.Bad-h.base.sum.Target.Bad >= manyBadAnswers {
		strength = manyBadStrength
	}
	if reason := h.worseSinceBase(current, strength); reason != "" {
		return reason
	}
	for _, w := range h.windows {
		checks := 1 + h.duration.Seconds()/w.length.Seconds()
		if reason := h.worseSince(w.start(), current, condemnStrength+math.Log(checks)); reason != "" {
			return reason
		}
		if h.answerTime == 0 || w.length < answerTimes*h.answerTime {
			continue
		}
		if reason := missingSince(w.start(), current, condemnStrength+math.Log(checks)); reason != "" {
			return reason
		}
	}
	return ""
}

// compare compares the answers since earlier counts, on each route and on all together.
func (h *history) compare(earlier, current counts, strength float64) string {
	recent := current.sum.minus(earlier.sum)
	if recent.Target.Bad < minBadAnswers {
		return ""
	}
	if recent.isTargetWorse(h.oldShare(allRoutes, recent.Old, current.sum.Old), strength) {
		return describe("all routes", recent)
	}
	for _, route := range slices.Sorted(maps.Keys(current.routes)) {
		recent := current.routes[route].minus(earlier.routes[route])
		if recent.isTargetWorse(h.oldShare(route, recent.Old, current.routes[route].Old), strength) {
			return describe("route "+route, recent)
		}
	}
	return ""
}

// oldShare returns the upper bound on the share of bad answers of the old version, from all its answers since the
// order. It is raised if the old version answers worse at present, or did so shortly before the promotion, on this
// route or on all together.
func (h *history) oldShare(route string, recent, all Tally) float64 {
	return max(all.upperShare(oldDeviations), recent.raisedShare(all), h.oldShares[route], h.oldShares[allRoutes])
}

// raisedShare returns the upper bound on the share of bad answers in a window if it is certainly higher than that of
// all answers, and else 0. Some bad answers in a row of an old version that answers as usual must not
// cover a target version that is bad under load.
func (t Tally) raisedShare(all Tally) float64 {
	if t.Bad < minBadAnswers || !t.exceeds(all.upperShare(oldDeviations), raisedStrength) {
		return 0
	}
	return t.upperShare(recentDeviations)
}

// isTargetWorse reports whether the target version gave more bad answers than the old version did. An
// old version that is as bad, as when a dependency of both fails, is no evidence against the target.
func (t RouteTally) isTargetWorse(oldShare, strength float64) bool {
	return t.Target.Bad >= minBadAnswers && t.Target.exceeds(oldShare+toleratedShare, strength)
}

// observeOpen learns the mean answer time of the old version from the requests that are open there, which is their
// rate times this time.
func (h *history) observeOpen(open uint64, rate float64) {
	if rate > 0 {
		h.answerTime = max(h.answerTime, time.Duration(float64(open)/rate*float64(time.Second)))
	}
}

// missingSince compares how many of the requests sent before the earlier counts have no answer yet.
func missingSince(earlier, current counts, strength float64) string {
	total := current.sum
	target := missing(earlier.exposed, total.Target.Answers+current.unjudged)
	old := missing(earlier.requests-earlier.exposed, total.Old.Answers)
	if target.Bad >= minBadAnswers && target.exceeds(old.upperShare(oldDeviations)+toleratedMissing, strength) {
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
func (t Tally) upperShare(deviations float64) float64 {
	if t.Answers == 0 {
		return 1
	}
	z2 := deviations * deviations
	n, share := float64(t.Answers), float64(t.Bad)/float64(t.Answers)
	centre := (share + z2/(2*n)) / (1 + z2/n)
	return centre + deviations/(1+z2/n)*math.Sqrt(share*(1-share)/n+z2/(4*n*n))
}

func describe(where string, tally RouteTally) string {
	return fmt.Sprintf("%s: %d of %d answers of the target version were bad, %d of %d of the old one",
		where, tally.Target.Bad, tally.Target.Answers, tally.Old.Bad, tally.Old.Answers)
}
