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
