package gateway

import "github.com/clovertiller/clovertiller/internal/admission"

// routerCount returns the number of routers known to this one, itself included. It is at least 1.
func (g *Gateway) routerCount() int { return max(1, int(g.knownRouters.Load())) }

// retryReserve returns how many retries this router may send at once, apart from those earned by
// requests. A common bound for all routers is divided equally among them, so that a retry needs
// no coordination.
func (g *Gateway) retryReserve() float64 {
	if g.settings.RetrySlack == 0 {
		return g.settings.RetryReserve
	}
	return min(g.settings.RetryReserve, g.settings.RetrySlack*retrySlackFraction/float64(g.routerCount()))
}

// retryShareFraction is the fraction of the allowed share of retries that a router uses. It is
// below 1 because the time windows of the routers are not aligned.
const retryShareFraction = 0.75

// retrySlackFraction is the fraction of the common retry slack that is divided among the routers.
// It is below 1 because routers that have just started do not count each other yet.
const retrySlackFraction = 0.9

// retryBudget returns the retry budget of the service. The gateway's mutex must be held.
func (g *Gateway) retryBudget(service string) *admission.RetryBudget {
	reserve := g.retryReserve()
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = admission.NewRetryBudget(g.settings.RetryShare*retryShareFraction, reserve)
		g.retryBudgets[service] = budget
	}
	budget.SetCapacity(reserve)
	return budget
}

// isRetry reports whether a runner may have got the call already. Attempts that reached no runner do not make
// the next one a retry.
func (c *call) isRetry() bool { return c.attemptState.SentDispatches() > 0 }

// takeRetry withdraws a retry from the budget and records it, if the next attempt is one and none is left over.
func (c *call) takeRetry() *refusal {
	if !c.isRetry() || c.hasUnusedRetry {
		return nil
	}
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	if refused := c.withdrawRetry(); refused != nil {
		return refused
	}
	c.recordRetry()
	return nil
}

// withdrawRetry withdraws a retry from the budget, if the next attempt is one and none is left over. The
// gateway's mutex must be held.
func (c *call) withdrawRetry() *refusal {
	if !c.isRetry() || c.hasUnusedRetry || c.gateway.retryBudget(c.service).TryWithdraw() {
		return nil
	}
	c.gateway.metrics.retries.WithLabelValues(c.service, retryNoBudget).Inc()
	return unavailable("the budget for further attempts is used up", busyRetryAfter)
}

// recordRetry records that the next attempt is a retry.
func (c *call) recordRetry() {
	c.hasUnusedRetry = true
	c.gateway.metrics.retries.WithLabelValues(c.service, retrySent).Inc()
}
