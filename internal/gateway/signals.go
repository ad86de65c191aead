package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
)

// Names of what runners say, in counters.
const (
	signalLeaving    = "leaving"
	signalLimit      = "limit"
	signalRest       = "rest"
	signalUnreadable = "unreadable"
)

// unreadablePause is the least time between two log lines on values that cannot be read.
const unreadablePause = time.Second

// signals takes what runners say of themselves in their answers. The gateway's mutex guards
// what is known, which the set of runners holds.
type signals struct {
	gateway *Gateway
	// unreadableAt is when a value was last logged that cannot be read.
	unreadableAt time.Time
}

func newSignals(g *Gateway) *signals { return &signals{gateway: g} }

// hear takes what the runner says of itself in the head of an answer.
func (c *call) hear(answer AnswerFacts, status int) {
	g, now := c.gateway, c.gateway.now()
	success := answer.Stamped && !answer.Encoded && isSuccess(status)
	g.mutex.Lock()
	heard := g.runners.Hear(now, c.sent, c.runner, answer.Signals, success)
	logged := len(answer.Signals.Unreadable) > 0 && now.Sub(g.signals.unreadableAt) >= unreadablePause
	if logged {
		g.signals.unreadableAt = now
	}
	g.mutex.Unlock()
	for range answer.Signals.Unreadable {
		g.metrics.signals.WithLabelValues(c.service, signalUnreadable).Inc()
	}
	if logged {
		g.log.Log(events.SignalUnreadable, events.Fields{"runner": c.runner.ID, "address": c.runner.Address, "headers": answer.Signals.Unreadable, "status": status, "request": c.facts.ID})
	}
	if heard.Any() {
		g.signals.heard(c.runner, c.service, heard, answer.Signals, c.facts.ID)
	}
}

// heard notes what is new.
func (s *signals) heard(runner backend.Runner, service string, heard backpressure.Heard, said backpressure.Signals, request string) {
	counted := s.gateway.metrics.signals
	for name, isNew := range map[string]bool{signalLeaving: heard.Leaving, signalLimit: heard.Limit, signalRest: heard.Rest} {
		if isNew {
			counted.WithLabelValues(service, name).Inc()
		}
	}
	s.gateway.log.Log(events.RunnerSignalled, events.Fields{
		"runner": runner.ID, "address": runner.Address, "service": service, "request": request,
		"leaving": said.Leaving, "limited": said.Limited, "rate": said.Rate, "rest_ms": said.Rest.Milliseconds(),
	})
}

func (s *signals) sweep(now time.Time) {
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	s.gateway.runners.SweepSignals(now)
}
