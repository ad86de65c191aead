package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// whenTaken is when a refused caller may come back: at the end of the first rest, or when a
// limit allows its request after those that were refused before it. The gateway's mutex is held.
func (g *Gateway) whenTaken(now time.Time, service string, held placement.HeldBack) time.Duration {
	if held.Limited == 0 {
		return held.RestWait
	}
	allowed := g.runners.Permits().RetryAfter(now, service, held.LimitWait, held.Rate)
	if held.Resting > 0 {
		return min(allowed, held.RestWait)
	}
	return allowed
}

// setPermits takes into how many parts limits are cut, 0 if this router grants none. A router
// that knows no others keeps to all of each limit by itself.
func (g *Gateway) setPermits(alone bool, parts int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if alone {
		g.runners.Permits().SetStandalone()
		return
	}
	g.runners.Permits().SetSchedulerCount(g.now(), parts)
}

// takePermit takes the permit for the send to the chosen runner, if that limits requests: the
// scheduler's that chose it, or one of this router's own part. The gateway's mutex is held.
func (c *call) takePermit(now time.Time, runner string) {
	if c.placed != nil {
		c.permit, c.permitAt = c.placed.permit(), c.placed.asked
		return
	}
	c.permit, c.permitAt = c.gateway.grant(now, c.service, runner), now
}

// grant spends this router's next permit for the runner, if that limits requests. The
// gateway's mutex is held.
func (g *Gateway) grant(now time.Time, service, runner string) backpressure.Permit {
	permit := g.runners.TakePermit(now, runner)
	if permit.Valid(now) {
		g.metrics.permitsGranted.WithLabelValues(service).Inc()
	}
	return permit
}
