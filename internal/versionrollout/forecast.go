package versionrollout

import "time"

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
