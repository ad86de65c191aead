package versionrollout

import (
	"maps"
	"time"
)

// Config is the configuration of a controller.
type Config struct {
	Order Order
	// MaxShare is the share of the service's requests that a bad version may get, and Slack the
	// number beyond this share.
	MaxShare float64
	Slack    float64
	// EarliestStart and LatestStart bound the time at which the order was written.
	EarliestStart, LatestStart time.Time
	// Reserved is the number of requests to the target version that the store says earlier leaders have
	// reserved.
	Reserved uint64
	// Requests is the number of the service's requests that was stored with the reservation, 0 if none was. It
	// lets the budget outlast the loss of the placers that counted them.
	Requests uint64
	// LeaderSince is when this router became the leader.
	LeaderSince time.Time
	// HeardAt is when schedulers last reported to this router before it led. It may lack any of them.
	HeardAt map[string]time.Time
}

// AssumedReservation returns the reservation to assume where a status of a build that reserved nothing is found:
// the part of the budget for tests.
func AssumedReservation(maxShare, slack float64, requests uint64) uint64 {
	return uint64(testPart * budgetMargin * (maxShare*float64(requests) + slack))
}

// Capacity describes whether the target version can carry the service.
type Capacity struct {
	// TargetRunners is the number of listed runners of the target version, and TargetSlots how many
	// requests they run at the same time.
	TargetRunners, TargetSlots int
	// Load is the number of requests of the service that run at the same time.
	Load int
	// IsOutdated is set if the list of runners may lack changes. Nothing follows then from the runners that it has or lacks.
	IsOutdated bool
}

func (c Capacity) suffices() bool {
	return !c.IsOutdated && c.TargetRunners > 0 && c.TargetSlots >= c.Load
}

// Decision is the result of one step.
type Decision struct {
	Phase Phase
	// State is the state to be stored. Succeeded may be withdrawn by a later step until it is stored;
	// RolledBack stays.
	State State
	// Share is the share of the requests that may test the target version.
	Share float64
	// Reserve is the number to be reserved in the store, 0 if the stored one suffices.
	Reserve uint64
	// WakeAfter is how long the caller waits before the next step.
	WakeAfter time.Duration
	// Reason is why the rollout is promoted or has ended, or what it waits for.
	Reason string
}

// Controller leads one rollout at the present leader. It is not safe for concurrent use.
//
// The caller gives it the reports of all placers, answers each with Permit, and calls Step as often as the decision
// says, after SetSchedulers, SetCapacity and the report of its own router. It writes what the decision
// says in one write: the reservation with the number of requests of Totals, and a final state. After the store has
// accepted a reservation it calls RecordReserved; only then do permits make use of it. A report of a router that
// keeps to no allowance must not be given to it.
type Controller struct {
	config   Config
	account  *account
	demand   *demand
	history  *history
	capacity Capacity
	// schedulers holds the other schedulers, and when they were named.
	schedulers map[string]time.Time
	// isReady is set when each of them has reported or was silent.
	isReady bool
	// promotedAt is when the present promotion began, and promotedTotal what had been counted until then.
	promotedAt    time.Time
	promotedTotal counts
	pause         *pause
	reservedAt    time.Time
	rolledBack    string
	forecast      forecast
	decision      Decision
}

// NewController returns the controller of a leader that has no reports yet.
func NewController(config Config) *Controller {
	return &Controller{
		config: config, account: newAccount(config.Reserved), demand: newDemand(config.Order.Duration),
		schedulers: map[string]time.Time{}, decision: Decision{Phase: Waiting},
	}
}

// Report records the report of a placer, also of this router. Reports may arrive late and in any order.
func (c *Controller) Report(now time.Time, source Source, report Report) {
	c.demand.arrived += c.account.record(now, source, report)
}

// SetSchedulers names the other schedulers that should report.
func (c *Controller) SetSchedulers(now time.Time, names []string) {
	named := map[string]time.Time{}
	for _, name := range names {
		named[name] = now
		if before, ok := c.schedulers[name]; ok {
			named[name] = before
		}
	}
	c.schedulers = named
}

// SetCapacity sets what is known of the runners of the target version.
func (c *Controller) SetCapacity(capacity Capacity) { c.capacity = capacity }

// RecordReserved notes that the store has accepted the reservation of a decision.
func (c *Controller) RecordReserved(total uint64) {
	c.account.reserved = max(c.account.reserved, total)
}

// RecordOther notes that the store, or another router, has a reservation that this leader did not write. It counts
// as spent. It must not be called with a reservation of this leader whose write has no result yet.
func (c *Controller) RecordOther(total uint64) { c.account.recordOther(total) }

// Totals returns the sum of all reports.
func (c *Controller) Totals() Report {
	current := c.counts(time.Time{})
	return Report{Requests: current.requests, Exposed: current.exposed, Unjudged: current.unjudged, Routes: maps.Clone(current.routes)}
}

// Allowed returns the upper bound on the requests to the target version that were ever allowed, and
// Budget the bound that it keeps to.
func (c *Controller) Allowed() uint64 { return c.account.allowed() }

// Budget returns the number of requests that may go to the target version at present.
func (c *Controller) Budget() uint64 { return uint64(c.budget(c.account.total)) }

// counts returns the sum of all reports. The caller must not keep it.
func (c *Controller) counts(now time.Time) counts {
	total := c.account.total
	total.at = now
	return total
}

// Step decides what happens now.
func (c *Controller) Step(now time.Time) Decision {
	if c.rolledBack != "" {
		return c.decision
	}
	total := c.counts(now)
	c.demand.sample(now)
	if !c.updateReady(now) {
		c.decision = Decision{Phase: Waiting, WakeAfter: c.interval(0), Reason: "waits for reports"}
		return c.decision
	}
	if c.history == nil {
		c.history = newHistory(c.config.Order.Duration, counts{}, total.clone())
	}
	c.history.add(total)
	if highest, known := c.demand.highestRecent(); known && c.promotedAt.IsZero() {
		c.history.observeOpen(c.account.openOld(now), max(highest, c.meanRate(now, total)))
	}
	if reason := c.condemnation(now, total); reason != "" {
		if c.isPaused(now, total, reason) {
			c.decision = Decision{Phase: Waiting, WakeAfter: c.shortestInterval(), Reason: "compares with the old version: " + reason}
			return c.decision
		}
		c.rolledBack = reason
		c.decision = Decision{Phase: Ended, State: RolledBack, WakeAfter: usualInterval, Reason: reason}
		return c.decision
	}
	c.forecast = c.newForecast(now, total)
	fits := c.forecast.untilFit
	if c.promotedAt.IsZero() && c.mayPromote(now, total) && (fits <= 0 || c.isLastMoment(now, total)) {
		c.promotedAt = now
		c.history.keepOld(total)
		c.promotedTotal = total.clone()
	}
	next := Decision{Phase: Testing, Share: c.share(now, total), WakeAfter: c.wakeAfter(now, total, fits)}
	if !c.promotedAt.IsZero() {
		next.Phase, next.Share, next.Reason = Promoting, 0, "no worse so far"
		if c.maySucceed(now, fits) {
			next.State, next.Reason = Succeeded, "the target version is no worse than the old one"
		}
	}
	next.Reserve = c.reserve(now, total, fits)
	c.decision = next
	return c.decision
}

// updateReady reports whether each scheduler has reported to this leader or was silent for longer than a
// permit lasts. The silence begins with its last report to this router, also before that led, if another scheduler reports, and counts
// once this leader has waited for two reports.
func (c *Controller) updateReady(now time.Time) bool {
	if c.isReady {
		return true
	}
	live := c.liveRouters(now)
	for name, namedAt := range c.schedulers {
		since := now.Sub(namedAt)
		if namedAt.Before(c.config.LeaderSince) {
			since = now.Sub(c.config.LeaderSince)
		}
		if heardAt, known := c.config.HeardAt[name]; known && now.Sub(c.config.LeaderSince) >= 2*usualInterval && c.hearsScheduler(live) {
			since = now.Sub(heardAt)
		}
		if !live[name] && since < PermitDuration {
			return false
		}
	}
	c.isReady = true
	return true
}

// hearsScheduler reports whether another scheduler reports to this leader, so that the silence of a further one is not due to this
// router.
func (c *Controller) hearsScheduler(live map[string]bool) bool {
	for name := range c.schedulers {
		if live[name] {
			return true
		}
	}
	return false
}

// receivesReports reports whether what this leader knows of the service is complete:
// another scheduler reports to it, or it places requests itself, or there is no other scheduler.
func (c *Controller) receivesReports(now time.Time) bool {
	for source, p := range c.account.placers {
		_, isOther := c.schedulers[source.Router]
		if p.isLive(now) && (isOther || len(c.schedulers) == 0 || p.report.Requests > 0) {
			return true
		}
	}
	return false
}

// condemnation returns the reason why the target version is to be rolled back, or "".
func (c *Controller) condemnation(now time.Time, total counts) string {
	if c.pause != nil {
		return c.pauseResult(now, total)
	}
	if reason := c.history.worse(total); reason != "" {
		return reason
	}
	if now.Before(c.endAt()) || !c.receivesReports(now) {
		return ""
	}
	if c.capacity.TargetRunners == 0 && !c.capacity.IsOutdated {
		return "no runner of the target version is listed"
	}
	if !c.promotedAt.IsZero() {
		// A version that is bad under load has shown it in the promotion only.
		if reason := c.history.worseSince(c.promotedTotal, total, finalStrength); reason != "" {
			return reason
		}
	}
	return c.history.worseSinceBase(total, finalStrength)
}

// mayPromote reports whether the evidence allows the promotion.
func (c *Controller) mayPromote(now time.Time, total counts) bool {
	progress := c.progress(now)
	if progress < promoteAt || !c.receivesReports(now) || !c.capacity.suffices() {
		return false
	}
	if !c.hasEvidence(now, total) {
		return false
	}
	return c.history.worseSinceBase(total, finalStrength) == ""
}

// hasEvidence reports whether the target version has answered enough requests for a promotion. Fewer answers than
// could condemn it never suffice, unless the service has so few requests that the bound covers all of them: after the
// loss of the routers that counted the answers, the promotion waits for new ones, also beyond the deadline.
func (c *Controller) hasEvidence(now time.Time, total counts) bool {
	answers := total.sum.Target.Answers
	if c.knownRequests(total) == 0 || answers >= minAnswers {
		return true
	}
	return c.progress(now) >= answersAt && (answers >= minBadAnswers || c.expectedRequests(now, total) < fewRequests)
}

// isLastMoment reports whether the promotion must start now for the end before the deadline, and the budget
// suffices for what comes after the end. Until then, allowances keep to the budget.
func (c *Controller) isLastMoment(now time.Time, total counts) bool {
	confirmed := now.Add(confirmIntervals * c.shortestInterval())
	return c.forecast.isKnown && confirmed.After(c.endAt()) && c.account.spent(now) < c.promotionLimit(now, total)
}

// maySucceed reports whether the old runners may stop now.
func (c *Controller) maySucceed(now time.Time, fits time.Duration) bool {
	if now.Before(c.endAt()) || fits > 0 || !c.receivesReports(now) || !c.capacity.suffices() {
		return false
	}
	if c.isUnlimited(now) && now.Sub(c.promotedAt) >= longestEndLead {
		return true
	}
	for _, p := range c.account.placers {
		if p.isLive(now) && !p.isPromoted {
			return false
		}
	}
	// After the deadline, some more time for the last requests at the old runners costs nothing.
	return !c.isUnlimited(now) || c.account.openOld(now) == 0
}
