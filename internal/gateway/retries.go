package gateway

import "github.com/clovertiller/clovertiller/internal/admission"

// routerCount is how many routers this one takes there to be, counting itself.
func (g *Gateway) routerCount() int { return max(1, int(g.knownRouters.Load())) }

// retryReserve is this router's part of what all may spend on further attempts
// without having earned it. The parts are equal: nobody is asked before a retry.
func (g *Gateway) retryReserve() float64 {
	if g.settings.RetrySlack == 0 {
		return g.settings.RetryReserve
	}
	return min(g.settings.RetryReserve, g.settings.RetrySlack*retrySlackUsed/float64(g.routerCount()))
}

// retryShareUsed is the part of the allowed share of retries that a router
// spends, as its windows and those of other routers do not line up.
const retryShareUsed = 0.75

// retrySlackUsed is the part of the common slack that is given out, as routers
// that have just started do not count each other yet.
const retrySlackUsed = 0.9

// budget returns the service's budget for further attempts. The mutex is held.
func (g *Gateway) budget(service string) *admission.RetryBudget {
	reserve := g.retryReserve()
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = admission.NewRetryBudget(g.settings.RetryShare*retryShareUsed, reserve)
		g.retryBudgets[service] = budget
	}
	budget.SetCapacity(reserve)
	return budget
}
