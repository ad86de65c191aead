package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// decision is one line of a call's log that has not been written yet.
type decision struct {
	at     time.Time
	event  events.Event
	fields events.Fields
}

// maxDecisions bounds what is kept of one call.
const maxDecisions = 32

// note keeps a decision about the call. A call that ends well at the first
// attempt and in time is one line in the log; all others are logged whole.
func (c *call) note(event events.Event, fields events.Fields) {
	if len(c.decisions) < maxDecisions {
		fields["request"] = c.facts.ID
		c.decisions = append(c.decisions, decision{at: time.Now(), event: event, fields: fields})
	}
}

// logEnd writes the line that every call ends with, and what was decided before
// if it did not simply go well.
func (c *call) logEnd(outcome string) {
	now := c.gateway.now()
	if c.answered.IsZero() {
		c.answered = now
	}
	first := c.answered.Sub(c.arrived)
	pause := time.Duration(0)
	if c.stream != nil {
		pause = c.stream.worstPause
	}
	late := lateBy(first, pause, c.route)
	c.gateway.metrics.observeCallEnd(c.route, c.service, outcome, now.Sub(c.arrived))
	if outcome != outcomeComplete || late != "" || c.request.Attempt() > 1 {
		c.logDecisions()
	}
	c.gateway.log.Log(events.RequestEnded, events.Fields{
		"request": c.facts.ID, "route": c.route.Name, "service": c.service, "runner": c.runner.ID,
		"tenant": c.tenantName(), "outcome": outcome, "late": late != "", "late_by": late, "attempts": c.request.Attempt(), "first_ms": first.Milliseconds(), "pause_ms": pause.Milliseconds(), "ms": now.Sub(c.arrived).Milliseconds(),
		"prompt_tokens": c.query.PromptTokens, "fetched": c.fetched, "content": c.content.String(),
		"config": c.view.table.Version, "config_age_ms": c.arrived.Sub(c.view.provenAt).Milliseconds(),
	})
}

// What made an answer late.
const (
	lateFirstEvent = "first event"
	latePause      = "pause"
)

// lateBy tells what made the answer late, "" for one in time.
func lateBy(first, pause time.Duration, route *routing.Route) string {
	switch {
	case exceeds(first, route.LatencyTarget):
		return lateFirstEvent
	case exceeds(pause, route.MaxEventGap):
		return latePause
	}
	return ""
}

// tenantName is empty for calls without a tenant.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// exceeds tells whether a time is over its aim, if there is one.
func exceeds(taken, aim time.Duration) bool { return aim > 0 && taken > aim }

func (c *call) logDecisions() {
	for _, d := range c.decisions {
		c.gateway.log.LogAt(d.at, d.event, d.fields)
	}
	c.decisions = nil
}

// Outcomes of calls, in logs and counters.
const (
	outcomeComplete     = "complete"
	outcomeCut          = "cut"
	outcomeRunnerFailed = "runner failed"
	outcomeUnknown      = "unknown"
	outcomeCallerLeft   = "caller left"
)
