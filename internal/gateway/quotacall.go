package gateway

import (
	"net/http"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/quota"
)

// minQuotaRetryAfter is the shortest retry delay sent to a caller whose tenant is over its limit.
const minQuotaRetryAfter = 20 * time.Millisecond

// limitsConfig returns the configuration of the client that enforces tenants' limits.
func (g *Gateway) limitsConfig() limits.Config {
	return limits.Config{
		PeerAddress: g.settings.PeerAddress, Zone: g.settings.Zone, Distances: g.distances, Seeds: g.settings.Seeds,
		StartTime: g.startedAt, Tolerance: g.settings.QuotaTolerance,
		Peers: g.peerRouters, RouterCount: g.routerCount,
		ObserveCall: func(answered bool, roundTrip time.Duration) {
			g.metrics.quotaCalls.WithLabelValues(outcomeLabel(answered)).Observe(roundTrip.Seconds())
		},
	}
}

// startQuotaCheck starts to charge the call to its tenant's limit while the request body arrives.
func (c *call) startQuotaCheck() {
	if c.tenant == nil || c.tenant.Quota == nil {
		return
	}
	limit := c.tenant.Quota
	c.quotaCharge = limits.Spending{
		Tenant: c.tenant.Name, Amount: limit.Amount(c.metadata.PromptTokens, c.metadata.MaxTokens, c.metadata.Counted),
		Limit: quota.Limit{Rate: limit.Rate, Burst: limit.Burst, Window: c.gateway.settings.QuotaWindow, Revision: uint64(c.config.revision)},
	}
	decisions, arrived, ctx, spendingCopy := make(chan limits.Decision, 1), make(chan struct{}), c.incoming.Context(), c.quotaCharge
	go func() { decisions <- c.gateway.limits.Decide(ctx, spendingCopy, arrived) }()
	c.quotaDecision, c.bodyArrived = decisions, arrived
}

// awaitQuotaDecision waits for the decision and returns the refusal, or nil if the tenant is within
// its limit.
func (c *call) awaitQuotaDecision() *refusal {
	if c.quotaDecision == nil {
		return nil
	}
	waitStart := time.Now()
	close(c.bodyArrived)
	decision := <-c.quotaDecision
	waited := time.Since(waitStart)
	c.quotaServer = decision.Server
	c.gateway.metrics.observeQuotaDecision(decision, waited)
	c.bufferLog(events.QuotaDecided, events.Fields{
		"tenant": c.quotaCharge.Tenant, "amount": c.quotaCharge.Amount, "rate": c.quotaCharge.Limit.Rate, "burst": c.quotaCharge.Limit.Burst, "granted": decision.Granted,
		"by": decision.DecidedBy, "keeper": decision.Server, "left": int64(decision.Level), "waited_us": waited.Microseconds(),
		"spent": int64(decision.SpentInWindow), "below_limit": decision.BelowLimit,
	})
	if decision.Granted {
		return nil
	}
	result := &refusal{status: http.StatusTooManyRequests, reason: "the tenant's limit is reached"}
	if decision.DecidedBy == limits.BySize {
		result.reason = "the request is larger than the tenant's limit allows"
		return result
	}
	if decision.DecidedBy == limits.ByLocalBucket {
		// Without an answer the tenant may be below its limit, so this is not a 429.
		return unavailable("no router that keeps the tenant's limit answers", busyRetryAfter)
	}
	result.retryAfter = max(decision.RetryAfter, minQuotaRetryAfter)
	return result
}

// cancelQuotaCheck returns what was granted to a call that ends before its body has arrived.
func (c *call) cancelQuotaCheck() {
	if c.quotaDecision == nil {
		return
	}
	close(c.bodyArrived)
	go func() {
		if decision := <-c.quotaDecision; decision.Server != "" {
			c.gateway.limits.RefundGrant(c.quotaCharge, decision.Server)
		}
	}()
}

// refundQuota returns what was granted to a call that was not executed.
func (c *call) refundQuota() {
	if c.quotaServer == "" {
		return
	}
	c.gateway.limits.RefundGrant(c.quotaCharge, c.quotaServer)
	c.quotaServer = ""
}
