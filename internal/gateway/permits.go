package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// heldBackRetryAfter returns the delay after which a refused caller should retry: when the first
// backoff ends, or when a limit allows its request after those of callers refused earlier. The
// gateway's mutex must be held.
func (g *Gateway) heldBackRetryAfter(now time.Time, service string, heldBack placement.HeldBack) time.Duration {
	if heldBack.Limited == 0 {
		return heldBack.BackoffWait
	}
	limitRetryAfter := g.runners.Permits().RetryAfter(now, service, heldBack.LimitWait, heldBack.Rate)
	if heldBack.InBackoff > 0 {
		return min(limitRetryAfter, heldBack.BackoffWait)
	}
	return limitRetryAfter
}

// configurePermits sets the number of schedulers among which the runners' limits are divided, 0 if
// this router is not a scheduler. A standalone router grants the whole of every limit.
func (g *Gateway) configurePermits(standalone bool, schedulerCount int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if standalone {
		g.runners.Permits().SetStandalone()
		return
	}
	g.runners.Permits().SetSchedulerCount(g.now(), schedulerCount)
}

// takePermit takes the permit for the send to the chosen runner, if the runner limits its requests:
// the one granted by the scheduler that chose it, or one from this router's own share. The
// gateway's mutex must be held.
func (c *call) takePermit(now time.Time, runner string) {
	if c.schedulerChoice != nil {
		c.permit, c.permitRequestedAt = c.schedulerChoice.permit(), c.schedulerChoice.requestedAt
		return
	}
	c.permit, c.permitRequestedAt = c.gateway.grantPermit(now, c.service, runner), now
}

// grantPermit takes a permit for the runner from this router's share, if the runner limits its
// requests. The gateway's mutex must be held.
func (g *Gateway) grantPermit(now time.Time, service, runner string) backpressure.Permit {
	permit := g.runners.TakePermit(now, runner)
	if permit.Valid(now) {
		g.metrics.permitsGranted.WithLabelValues(service).Inc()
	}
	return permit
}
