package versionrollout

import (
	"math"
	"time"
)

// Parts of the budget.
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
	// fewRequests is the number of requests until the deadline below which no answer is needed: all of
	// them fit into a slack of some tens of requests.
	fewRequests = 4 * minAnswers
)

// reserveSteps is the number of steps in which the expected bound is reserved. A change of the leader
// costs at most one step of the budget.
const reserveSteps = 20

// budget returns how many requests may go to the target version, given the requests reported so far.
func (c *Controller) budget(total counts) float64 {
	return budgetMargin * (c.config.MaxShare*float64(c.knownRequests(total)) + c.config.Slack)
}

// knownRequests returns how many requests have come at least.
func (c *Controller) knownRequests(total counts) uint64 {
	return max(total.requests, c.config.Requests)
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
	if c.forecast.untilFit <= 0 && !c.isUnlimited(now) {
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
	limit, leastRise := c.testLimit(now, total), min(step, float64(c.account.reserved))/4
	if !c.promotedAt.IsZero() || fits < reserveInterval && c.progress(now) >= promoteAt {
		limit, leastRise = c.budget(total), 0
		step = max(step, c.forecast.rate*reserveInterval.Seconds())
	}
	allowed := float64(c.account.allowed())
	wanted := uint64(min(allowed+step, max(limit, allowed)))
	if c.isUnlimited(now) || wanted <= c.account.reserved || float64(c.account.reserved)-allowed > step/2 {
		return 0
	}
	if float64(wanted-c.account.reserved) < leastRise {
		// The limit rises with each request. Each rise is a write that all routers receive.
		return 0
	}
	c.reservedAt = now
	return wanted
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
	if c.isUnlimited(now) {
		permit.Allowance = p.report.Exposed + c.expectedAt(now, p, total, permit.Share)
		return permit
	}
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
