package versionrollout

import (
	"maps"
	"math"
	"time"
)

// Schedule of a rollout, as shares of its duration.
const (
	// secondStepAt and fullStepAt are when more of the budget for tests may be used.
	secondStepAt = 0.08
	fullStepAt   = 0.2
	// promoteAt is the earliest time of the promotion, as some faults show late or under load only.
	promoteAt = 0.6
	// answersAt is until when a promotion waits for minAnswers answers, if it could be made earlier.
	answersAt = 0.8
)

const (
	// firstStepShare and secondStepShare are the parts of the budget for tests in the first two steps.
	firstStepShare  = 0.25
	secondStepShare = 0.5
	// budgetMargin is the part of the bound that is used. The rest is for requests that come faster than
	// expected after the end, when none can be held back any more.
	budgetMargin = 0.9
	// testPart is the part of the budget that is used for tests. The rest is for the promotion.
	testPart = 0.2
	// minAnswers is the number of answers of the target version for which the promotion waits.
	minAnswers = 10
)

// Timing of the leader.
const (
	// usualInterval is the time between two steps, and between two reports of a placer. In rollouts of a few
	// seconds it is usualShare of the duration, as the rate of requests is to be measured within a second there.
	usualInterval = 250 * time.Millisecond
	usualShare    = 0.008
	// shortestInterval is the same when a promotion or the deadline is near. It is short enough for
	// a rollout of some seconds, in which only some tenths of a second are left for the promotion.
	shortestInterval = 25 * time.Millisecond
	// reportLoad is the number of reports per second that the leader asks all placers for at most.
	reportLoad = 5000
	// confirmIntervals is how many reports it takes until all placers are known to be promoted, some of
	// which may be lost.
	confirmIntervals = 6
	// reserveInterval is the minimum time between two reservations, each of which is a write to the store.
	reserveInterval = 500 * time.Millisecond
	// shortestEndLead and longestEndLead bound how long before the deadline the final state is decided.
	// A write takes 5 to 100 ms.
	shortestEndLead = 150 * time.Millisecond
	// A longer time would leave more requests to the estimate of their rate. endLeadShare is the share of the
	// duration between these bounds.
	longestEndLead = 2 * time.Second
	endLeadShare   = 0.01
)

// reserveSteps is the number of steps in which the expected bound is reserved. A change of the leader
// costs at most one step of the budget.
const reserveSteps = 20

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
}

func (c Capacity) suffices() bool { return c.TargetRunners > 0 && c.TargetSlots >= c.Load }

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

func (c *Controller) budget(total counts) float64 {
	return budgetMargin * (c.config.MaxShare*float64(c.knownRequests(total)) + c.config.Slack)
}

// knownRequests returns how many requests have come at least.
func (c *Controller) knownRequests(total counts) uint64 {
	return max(total.requests, c.config.Requests)
}

// earliestDeadline is the deadline for states, latestDeadline that for requests still to come.
func (c *Controller) earliestDeadline() time.Time {
	return c.config.EarliestStart.Add(c.config.Order.Duration)
}

func (c *Controller) latestDeadline() time.Time {
	return c.config.LatestStart.Add(c.config.Order.Duration)
}

// endAt is when the final state is decided.
func (c *Controller) endAt() time.Time {
	lead := time.Duration(endLeadShare * float64(c.config.Order.Duration))
	return c.earliestDeadline().Add(-min(max(lead, shortestEndLead), longestEndLead))
}

func (c *Controller) progress(now time.Time) float64 {
	return now.Sub(c.config.EarliestStart).Seconds() / c.config.Order.Duration.Seconds()
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
// permit lasts.
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
		if !live[name] && since < PermitDuration {
			return false
		}
	}
	c.isReady = true
	return true
}

// hearsPlacers reports whether what this leader knows of the service may be taken for all that there is:
// another scheduler reports to it, or it places requests itself, or there is no other scheduler.
func (c *Controller) hearsPlacers(now time.Time) bool {
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
	if now.Before(c.endAt()) || !c.hearsPlacers(now) {
		return ""
	}
	if c.capacity.TargetRunners == 0 {
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

// forecast is what the leader expects until the deadline, as of the last step.
type forecast struct {
	// rate is an upper bound on the rate of requests per second. It is not known in the first moments of a
	// leader.
	rate    float64
	isKnown bool
	// untilFit is how long it takes at this rate until the requests that can still come until the latest
	// deadline fit into the budget, 0 if they do.
	untilFit time.Duration
}

func (c *Controller) newForecast(now time.Time, total counts) forecast {
	rate, known := c.rate(now, total)
	f := forecast{rate: rate, isKnown: known}
	f.untilFit = c.timeUntilFit(now, total, f)
	return f
}

// rate returns an upper bound on the rate of requests until the deadline, and false while too little is known.
func (c *Controller) rate(now time.Time, total counts) (float64, bool) {
	highest, known := c.demand.highestRecent()
	rate := max(burstFactor*highest, rateFactor*c.meanRate(now, total))
	// Schedulers that don't report may place as many requests as the others.
	live := c.liveRouters(now)
	silent := 0
	for name := range c.schedulers {
		if !live[name] {
			silent++
		}
	}
	// In the first moments of a rollout, the mean rate isn't known either.
	known = known && now.Sub(c.config.EarliestStart) >= minRateWindow
	return rate * (1 + float64(silent)/float64(max(len(live), 1))), known
}

// meanRate returns the mean rate of requests since the order.
func (c *Controller) meanRate(now time.Time, total counts) float64 {
	elapsed := now.Sub(c.config.EarliestStart)
	if elapsed <= 0 {
		return 0
	}
	return float64(c.knownRequests(total)) / elapsed.Seconds()
}

// liveRouters returns the routers that have reported recently.
func (c *Controller) liveRouters(now time.Time) map[string]bool {
	live := map[string]bool{}
	for source, p := range c.account.placers {
		if p.isLive(now) {
			live[source.Router] = true
		}
	}
	return live
}

// timeUntilFit returns how long it takes until the requests that can still come fit into the budget.
func (c *Controller) timeUntilFit(now time.Time, total counts, f forecast) time.Duration {
	left := c.latestDeadline().Sub(now)
	if left <= 0 {
		return 0
	}
	if !f.isKnown {
		return left
	}
	// Each request to come raises the budget as well. Requests since the last reports also come.
	perRequest := 1 - budgetMargin*c.config.MaxShare
	toCome := f.rate * (left + c.reportAge(now)).Seconds() * perRequest
	excess := float64(c.account.spent(now)) + toCome - c.budget(total)
	if excess <= 0 {
		return 0
	}
	return min(left, time.Duration(excess/(f.rate*perRequest)*float64(time.Second)))
}

// reportAge returns the mean age of the reports of live placers.
func (c *Controller) reportAge(now time.Time) time.Duration {
	var sum time.Duration
	live := 0
	for _, p := range c.account.placers {
		if p.isLive(now) {
			sum += now.Sub(p.reportedAt)
			live++
		}
	}
	return sum / time.Duration(max(live, 1))
}

// mayPromote reports whether the evidence allows the promotion.
func (c *Controller) mayPromote(now time.Time, total counts) bool {
	progress := c.progress(now)
	if progress < promoteAt || !c.hearsPlacers(now) || !c.capacity.suffices() {
		return false
	}
	if total.requests > 0 && total.sum.Target.Answers < minAnswers && progress < answersAt {
		return false
	}
	return c.history.worseSinceBase(total, finalStrength) == ""
}

// isLastMoment reports whether the promotion must start now for the end before the deadline, and the budget
// suffices for what comes after the end. Until then, allowances keep to the budget.
func (c *Controller) isLastMoment(now time.Time, total counts) bool {
	confirmed := now.Add(confirmIntervals * c.shortestInterval())
	return c.forecast.isKnown && confirmed.After(c.endAt()) && c.account.spent(now) < c.promotionLimit(now, total)
}

// maySucceed reports whether the old runners may stop now.
func (c *Controller) maySucceed(now time.Time, fits time.Duration) bool {
	if now.Before(c.endAt()) || fits > 0 || !c.hearsPlacers(now) || !c.capacity.suffices() {
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

// stepPart returns which part of the budget for tests may be used at present.
func (c *Controller) stepPart(now time.Time) float64 {
	switch progress := c.progress(now); {
	case progress < secondStepAt:
		return firstStepShare
	case progress < fullStepAt:
		return secondStepShare
	}
	return 1
}

// testLimit returns how many requests may go to the target version before the promotion.
func (c *Controller) testLimit(now time.Time, total counts) float64 {
	limit := c.budget(total) * c.stepPart(now)
	if c.forecast.untilFit <= 0 {
		return limit
	}
	return limit * testPart
}

// expectedRequests returns the number of requests that are expected until the deadline at the mean rate.
func (c *Controller) expectedRequests(now time.Time, total counts) float64 {
	return float64(c.knownRequests(total)) / min(max(c.progress(now), 0.01), 1)
}

// share returns the share of requests that test the target version. Where a placer is expected to get so few
// requests that this share of them is less than one or two, each request may test, as far as the
// allowance goes.
func (c *Controller) share(now time.Time, total counts) float64 {
	expected := c.expectedRequests(now, total)
	if expected == 0 {
		return 0
	}
	if c.forecast.untilFit <= 0 {
		return 1
	}
	share := c.stepPart(now) * testPart * budgetMargin * (c.config.MaxShare + c.config.Slack/expected)
	if share*expected < 2*float64(len(c.account.placers)) {
		return 1
	}
	return min(share, 1)
}

// reserve returns the number to be reserved in the store, 0 if nothing is to be written now.
func (c *Controller) reserve(now time.Time, total counts, fits time.Duration) uint64 {
	if !c.reservedAt.IsZero() && now.Sub(c.reservedAt) < reserveInterval {
		return 0
	}
	step := (c.config.MaxShare*c.expectedRequests(now, total) + c.config.Slack) / reserveSteps
	limit := c.testLimit(now, total)
	if !c.promotedAt.IsZero() || fits < reserveInterval && c.progress(now) >= promoteAt {
		limit = c.budget(total)
		step = max(step, c.forecast.rate*reserveInterval.Seconds())
	}
	allowed := float64(c.account.allowed())
	wanted := uint64(min(allowed+step, max(limit, allowed)))
	if c.isUnlimited(now) || wanted <= c.account.reserved || float64(c.account.reserved)-allowed > step/2 {
		return 0
	}
	c.reservedAt = now
	return wanted
}

// isUnlimited reports whether the deadline has certainly passed, so that no request counts any more.
func (c *Controller) isUnlimited(now time.Time) bool { return !now.Before(c.latestDeadline()) }

// shortestInterval returns the shortest time between two reports of one placer.
func (c *Controller) shortestInterval() time.Duration {
	return max(shortestInterval, time.Duration(len(c.account.placers))*time.Second/reportLoad)
}

// interval returns the time between two steps if something is expected to happen after the given time.
func (c *Controller) interval(expected time.Duration) time.Duration {
	shortest := c.shortestInterval()
	usual := min(time.Duration(usualShare*float64(c.config.Order.Duration)), usualInterval)
	return max(min(expected/4, usual), shortest)
}

// wakeAfter returns the time until the next step.
func (c *Controller) wakeAfter(now time.Time, total counts, fits time.Duration) time.Duration {
	if now.Sub(c.latestDeadline()) > longestEndLead {
		return usualInterval
	}
	untilEnd := max(c.endAt().Sub(now), 0)
	if !c.promotedAt.IsZero() {
		return c.interval(untilEnd)
	}
	untilPromotion := c.config.EarliestStart.Add(time.Duration(promoteAt * float64(c.config.Order.Duration))).Sub(now)
	if untilPromotion <= 0 && !c.mayPromote(now, total) {
		return c.interval(untilEnd)
	}
	return min(c.interval(max(fits, untilPromotion)), c.interval(untilEnd))
}

// Permit answers the report that the source has just made. It is the zero permit, which ends an earlier
// one, if the source may send nothing to the target version.
func (c *Controller) Permit(now time.Time, source Source) Permit {
	permit := Permit{ReportAfter: c.decision.WakeAfter}
	p := c.account.placers[source]
	if p == nil || c.decision.Phase == Waiting || c.decision.Phase == Ended {
		return permit
	}
	total := c.account.total
	if c.decision.Phase == Promoting {
		permit.Promoted = true
		if c.isUnlimited(now) {
			permit.Allowance = math.MaxUint64
			return permit
		}
		permit.Allowance = c.account.grant(p, p.report.Exposed+c.expectedAt(now, p, total, 1), c.promotionLimit(now, total))
		return permit
	}
	permit.Share = c.decision.Share
	permit.Allowance = c.account.grant(p, p.report.Exposed+c.expectedAt(now, p, total, permit.Share), uint64(c.testLimit(now, total)))
	return permit
}

// promotionLimit returns how many requests may go to the target version while the old runners run. What is needed
// after they have stopped is kept back, also if requests come faster than expected during the promotion.
func (c *Controller) promotionLimit(now time.Time, total counts) uint64 {
	end := c.endAt()
	if end.Before(now) {
		end = now
	}
	keptBack := c.forecast.rate * (c.latestDeadline().Sub(end) + c.reportAge(now)).Seconds()
	return uint64(max(c.budget(total)-keptBack, 0))
}

// expectedAt returns how many requests the placer is expected to send to the target version until it has had
// time for four reports.
func (c *Controller) expectedAt(now time.Time, p *placerAccount, total counts, share float64) uint64 {
	rate := c.forecast.rate
	if total.requests > 0 {
		rate *= float64(p.report.Requests) / float64(total.requests)
	}
	if elapsed := p.reportedAt.Sub(p.previousReportedAt); elapsed > 0 {
		rate = max(rate, float64(p.report.Requests-p.previousRequests)/elapsed.Seconds())
	}
	if share < 1 {
		share *= 2
	} else if c.promotedAt.IsZero() {
		return 1
	}
	return 1 + uint64(min(share, 1)*rate*(4*c.decision.WakeAfter).Seconds())
}
