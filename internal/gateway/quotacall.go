package gateway

import (
	"net/http"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quota"
)

// leastQuotaRetry is the shortest time told to a caller that is over its limit.
const leastQuotaRetry = 20 * time.Millisecond

// startQuota begins to count the call against its tenant's limit, while its body
// arrives.
func (c *call) startQuota() {
	if c.tenant == nil || c.tenant.Quota == nil {
		return
	}
	limit := c.tenant.Quota
	c.spending = spending{
		tenant: c.tenant.Name, amount: limit.Amount(c.facts.PromptTokens, c.facts.MaxTokens, c.facts.Counted),
		limit: quota.Limit{Rate: limit.Rate, Burst: limit.Burst, Window: c.gateway.settings.QuotaWindow, Revision: c.view.revision},
	}
	decided, arrived, ctx, s := make(chan quotaDecision, 1), make(chan struct{}), c.caller.Context(), c.spending
	go func() { decided <- c.gateway.quotas.decide(ctx, s, arrived) }()
	c.quotaDecided, c.bodyArrived = decided, arrived
}

// awaitQuota says why the call is refused if its tenant's limit is reached.
func (c *call) awaitQuota() *refusal {
	if c.quotaDecided == nil {
		return nil
	}
	began := time.Now()
	close(c.bodyArrived)
	decision := <-c.quotaDecided
	waited := time.Since(began)
	c.spentAt = decision.keeper
	c.gateway.metrics.quotaDecided(decision, waited)
	c.note(events.QuotaDecided, events.Fields{
		"tenant": c.spending.tenant, "amount": c.spending.amount, "rate": c.spending.limit.Rate, "burst": c.spending.limit.Burst, "granted": decision.Granted,
		"by": decision.by, "keeper": decision.keeper, "left": int64(decision.Level), "waited_us": waited.Microseconds(),
		"spent": int64(decision.spent), "below_limit": decision.belowLimit,
	})
	if decision.Granted {
		return nil
	}
	refused := &refusal{status: http.StatusTooManyRequests, reason: "the tenant's limit is reached"}
	if decision.by == decidedBySize {
		refused.reason = "the request is larger than the tenant's limit allows"
		return refused
	}
	if decision.by == decidedAlone {
		// The tenant may well be below its limit.
		return unavailable("no router that keeps the tenant's limit answers", busyRetryAfter)
	}
	refused.retryAfter = max(decision.RetryAfter, leastQuotaRetry)
	return refused
}

// abandonQuota gives back what is granted to a call that ends before its body is here.
func (c *call) abandonQuota() {
	if c.quotaDecided == nil {
		return
	}
	close(c.bodyArrived)
	go func() {
		if decision := <-c.quotaDecided; decision.keeper != "" {
			c.gateway.quotas.giveBack(c.spending, decision.keeper)
		}
	}()
}

// unspend gives back what was granted to a call that has not run.
func (c *call) unspend() {
	if c.spentAt == "" {
		return
	}
	c.gateway.quotas.giveBack(c.spending, c.spentAt)
	c.spentAt = ""
}
