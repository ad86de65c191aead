package gateway

import (
	"net/http"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/quota"
)

// leastQuotaRetry is the shortest time told to a caller that is over its limit.
const leastQuotaRetry = 20 * time.Millisecond

// limitsConfig says what keeps tenants to their limits.
func (g *Gateway) limitsConfig() limits.Config {
	return limits.Config{
		PeerAddress: g.settings.PeerAddress, Zone: g.settings.Zone, Seeds: g.settings.Seeds, Started: g.startedAt,
		Peers: g.relays, Routers: g.routerCount,
		Asked: func(answered bool, taken time.Duration) {
			g.metrics.quotaCalls.WithLabelValues(outcomeLabel(answered)).Observe(taken.Seconds())
		},
	}
}

// startQuota begins to count the call against its tenant's limit, while its body
// arrives.
func (c *call) startQuota() {
	if c.tenant == nil || c.tenant.Quota == nil {
		return
	}
	limit := c.tenant.Quota
	c.spending = limits.Spending{
		Tenant: c.tenant.Name, Amount: limit.Amount(c.facts.PromptTokens, c.facts.MaxTokens, c.facts.Counted),
		Limit: quota.Limit{Rate: limit.Rate, Burst: limit.Burst, Window: c.gateway.settings.QuotaWindow, Revision: uint64(c.view.revision)},
	}
	decided, arrived, ctx, s := make(chan limits.Decision, 1), make(chan struct{}), c.caller.Context(), c.spending
	go func() { decided <- c.gateway.limits.Decide(ctx, s, arrived) }()
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
	c.spentAt = decision.Keeper
	c.gateway.metrics.observeQuotaDecision(decision, waited)
	c.note(events.QuotaDecided, events.Fields{
		"tenant": c.spending.Tenant, "amount": c.spending.Amount, "rate": c.spending.Limit.Rate, "burst": c.spending.Limit.Burst, "granted": decision.Granted,
		"by": decision.By, "keeper": decision.Keeper, "left": int64(decision.Level), "waited_us": waited.Microseconds(),
		"spent": int64(decision.SpentInWindow), "below_limit": decision.BelowLimit,
	})
	if decision.Granted {
		return nil
	}
	refused := &refusal{status: http.StatusTooManyRequests, reason: "the tenant's limit is reached"}
	if decision.By == limits.BySize {
		refused.reason = "the request is larger than the tenant's limit allows"
		return refused
	}
	if decision.By == limits.ByItself {
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
		if decision := <-c.quotaDecided; decision.Keeper != "" {
			c.gateway.limits.GiveBack(c.spending, decision.Keeper)
		}
	}()
}

// unspend gives back what was granted to a call that has not run.
func (c *call) unspend() {
	if c.spentAt == "" {
		return
	}
	c.gateway.limits.GiveBack(c.spending, c.spentAt)
	c.spentAt = ""
}
