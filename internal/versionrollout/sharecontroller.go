package versionrollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Schedule of a rollout, as shares of its duration.
const (
	// shareSecondStepAt and shareFullStepAt are when the share of the target version rises.
	shareSecondStepAt = 0.08
	shareFullStepAt   = 0.2
	// shareDecideAt is when a target version without evidence against it is promoted. The full step is
	// longer than the others together, because some faults show late or under load only.
	shareDecideAt = 0.6
	// evidenceAt is until when the decision waits for enough answers. What remains is for the
	// promotion and a change of the leader.
	evidenceAt = 0.7
	// promotionShare bounds the time between the promotion and the end of the old version.
	promotionShare = 0.15
)

// Shares of the permitted exposure in the first two steps.
const (
	shareFirstStep  = 0.25
	shareSecondStep = 0.5
	// shareMargin is the part of the bound that is used. The rest is for requests that were
	// counted and reached no runner.
	shareMargin = 0.9
)

// maxPromotion is how long all traffic goes to the target version before the old runners may stop:
// all routers know of the promotion by then, and most requests at old runners have ended.
const maxPromotion = 2 * time.Second

// shareMinAnswers is the number of answers of the target version without which it isn't promoted.
const shareMinAnswers = 10

// shareWindow is the length of the window, as a share of the duration, in which answers are also
// judged on their own. A version that turns bad late would otherwise be covered by its good start.
const shareWindow = 0.1

// ShareDecision is the result of one step.
type ShareDecision struct {
	Phase Phase
	State State
	// Share is the share of the requests that the target version may get while it is tested.
	Share float64
	// Reason is why the rollout is promoted or rolled back, empty before.
	Reason string
}

// ShareConfig is the configuration of a controller.
type ShareConfig struct {
	Order Order
	// MaxShare is the share of the service's requests that a bad version may get.
	MaxShare float64
	// StartedAt is the earliest time at which the order may have been written.
	StartedAt time.Time
	// PromotedAt is when an earlier leader promoted the target version, zero if none did.
	PromotedAt time.Time
}

// shareSnapshot is the sum of all reports at one time.
type shareSnapshot struct {
	at     time.Time
	routes map[string]RouteTally
}

// ShareController is the previous controller, which bounds the exposure by shares instead of
// numbers. It is kept until the driver uses Controller.
//
// ShareController judges one rollout. It is not safe for concurrent use.
type ShareController struct {
	config     ShareConfig
	reports    map[Source]Report
	snapshots  []shareSnapshot
	promotedAt time.Time
	end        ShareDecision
	// TargetListed is set once a runner of the target version is known.
	TargetListed bool
}

// NewShareController returns a controller without reports.
func NewShareController(config ShareConfig) *ShareController {
	return &ShareController{config: config, reports: map[Source]Report{}, promotedAt: config.PromotedAt}
}

// Report replaces the report of one router. The reports of its earlier runs keep counting.
func (c *ShareController) Report(source Source, report Report) { c.reports[source] = report }

// Totals returns the sum of all reports.
func (c *ShareController) Totals() Report {
	total := Report{Routes: map[string]RouteTally{}}
	for _, report := range c.reports {
		total.Requests += report.Requests
		total.Exposed += report.Exposed
		for route, tally := range report.Routes {
			total.Routes[route] = total.Routes[route].plus(tally)
		}
	}
	return total
}

// Step decides what happens now. After a final state it returns the same decision again.
func (c *ShareController) Step(now time.Time) ShareDecision {
	if c.end.State.IsFinal() {
		return c.end
	}
	total := c.Totals()
	if reason := c.condemnation(now, total); reason != "" {
		return c.finish(RolledBack, reason)
	}
	c.addSnapshot(now, total)
	progress := now.Sub(c.config.StartedAt).Seconds() / c.config.Order.Duration.Seconds()
	switch {
	case !c.promotedAt.IsZero():
		return c.promote(now)
	case progress < shareDecideAt:
		return ShareDecision{Share: c.stepShare(progress)}
	}
	return c.decide(now, progress, total)
}

func (c *ShareController) stepShare(progress float64) float64 {
	share := c.config.MaxShare * shareMargin
	switch {
	case progress < shareSecondStepAt:
		return share * shareFirstStep
	case progress < shareFullStepAt:
		return share * shareSecondStep
	}
	return share
}

// decide promotes the target version or rolls it back, or waits for more answers.
func (c *ShareController) decide(now time.Time, progress float64, total Report) ShareDecision {
	if reason := shareWorseRoute(total.Routes, finalDeviations); reason != "" {
		return c.finish(RolledBack, reason)
	}
	answers := shareSum(total.Routes).Target.Answers
	if answers < shareMinAnswers && progress < evidenceAt {
		return ShareDecision{Share: c.stepShare(progress)}
	}
	switch {
	case !c.TargetListed:
		return c.finish(RolledBack, "no runner of the target version is listed")
	case answers < shareMinAnswers && total.Requests > 0:
		return c.finish(RolledBack, fmt.Sprintf("only %d answers of the target version", answers))
	}
	c.promotedAt = now
	return c.promote(now)
}

func (c *ShareController) promote(now time.Time) ShareDecision {
	promotion := min(maxPromotion, time.Duration(promotionShare*float64(c.config.Order.Duration)))
	if now.Sub(c.promotedAt) >= promotion {
		return c.finish(Succeeded, "the target version is no worse than the old one")
	}
	return ShareDecision{Phase: Promoting, Reason: "no worse so far"}
}

func (c *ShareController) finish(state State, reason string) ShareDecision {
	c.end = ShareDecision{Phase: Ended, State: state, Reason: reason}
	return c.end
}

// condemnation returns the reason why the target version is rolled back at once, or "".
func (c *ShareController) condemnation(now time.Time, total Report) string {
	if reason := shareWorseRoute(total.Routes, condemnDeviations); reason != "" {
		return reason
	}
	earlier := c.windowStart(now)
	if earlier == nil {
		return ""
	}
	recent := map[string]RouteTally{}
	for route, tally := range total.Routes {
		before := earlier.routes[route]
		recent[route] = RouteTally{Old: tally.Old.minus(before.Old), Target: tally.Target.minus(before.Target)}
	}
	return shareWorseRoute(recent, condemnDeviations)
}

func (c *ShareController) window() time.Duration {
	return time.Duration(shareWindow * float64(c.config.Order.Duration))
}

// windowStart returns the last shareSnapshot that is at least one window old, or nil.
func (c *ShareController) windowStart(now time.Time) *shareSnapshot {
	for i := range slices.Backward(c.snapshots) {
		if now.Sub(c.snapshots[i].at) >= c.window() {
			return &c.snapshots[i]
		}
	}
	return nil
}

// addSnapshot keeps the sum of the reports, at most four in a window.
func (c *ShareController) addSnapshot(now time.Time, total Report) {
	if last := len(c.snapshots) - 1; last >= 0 && now.Sub(c.snapshots[last].at) < c.window()/4 {
		return
	}
	c.snapshots = append(c.snapshots, shareSnapshot{at: now, routes: total.Routes})
	for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].at) >= c.window() {
		c.snapshots = c.snapshots[1:]
	}
}

func shareSum(routes map[string]RouteTally) (total RouteTally) {
	for _, tally := range routes {
		total = total.plus(tally)
	}
	return total
}

// shareWorseRoute describes the first route on which the target version is worse than the old one, or
// all routes together. It returns "" if there is none.
func shareWorseRoute(routes map[string]RouteTally, deviations float64) string {
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		if routes[route].shareIsTargetWorse(deviations) {
			return shareDescribe("route "+route, routes[route])
		}
	}
	if total := shareSum(routes); total.shareIsTargetWorse(deviations) {
		return shareDescribe("all routes", total)
	}
	return ""
}

func shareDescribe(where string, tally RouteTally) string {
	return fmt.Sprintf("%s: %d of %d answers of the target version were bad, %d of %d of the old one",
		where, tally.Target.Bad, tally.Target.Answers, tally.Old.Bad, tally.Old.Answers)
}
