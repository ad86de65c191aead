package versionrollout

import "time"

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
