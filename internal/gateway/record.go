package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// logEntry is a log line of a call that has not been written yet.
type logEntry struct {
	at     time.Time
	event  events.Event
	fields events.Fields
}

// maxLogEntries limits how many log lines are buffered for one call; further ones are dropped.
const maxLogEntries = 32

// bufferLog adds a log line to the call's buffer. The buffer is written when the call ends,
// unless the call succeeds on time at the first attempt, which logs a single line.
func (c *call) bufferLog(event events.Event, fields events.Fields) {
	if len(c.logEntries) < maxLogEntries {
		fields["request"] = c.metadata.ID
		c.logEntries = append(c.logEntries, logEntry{at: time.Now(), event: event, fields: fields})
	}
}

// logOutcome logs and counts the end of the call. It writes the buffered log lines first, unless
// the call succeeded on time at the first attempt.
func (c *call) logOutcome(outcome string) {
	now := c.gateway.now()
	if c.firstResponseAt.IsZero() {
		c.firstResponseAt = now
	}
	firstResponseTime := c.firstResponseAt.Sub(c.arrivedAt)
	maxPause := time.Duration(0)
	if c.stream != nil {
		maxPause = c.stream.maxPause
	}
	reason := lateReason(firstResponseTime, maxPause, c.route)
	c.gateway.metrics.observeCallEnd(c.route, c.service, outcome, now.Sub(c.arrivedAt))
	if outcome != outcomeComplete || reason != "" || c.attemptState.Attempt() > 1 {
		c.flushLog()
	}
	fields := events.Fields{
		"request": c.metadata.ID, "route": c.route.Name, "service": c.service, "runner": c.runner.ID,
		"tenant": c.tenantName(), "outcome": outcome, "late": reason != "", "late_by": reason, "attempts": c.attemptState.Attempt(), "first_ms": firstResponseTime.Milliseconds(), "pause_ms": maxPause.Milliseconds(), "ms": now.Sub(c.arrivedAt).Milliseconds(),
		"prompt_tokens": c.query.PromptTokens, "fetched": c.fetchSource, "content": c.content.String(), "parts": c.sharedParts,
		"config": c.config.table.Version, "config_age_ms": c.arrivedAt.Sub(c.config.provenAt).Milliseconds(),
		"framing": c.responseFraming.String(), "response_end": c.responseEnd.Verdict.String(), "http": c.incoming.Proto,
	}
	if outcome == outcomeUnknown {
		fields["tried"] = c.describeAttempts()
	}
	if c.egressRouter != "" {
		fields["egress"] = c.egressRouter
	}
	if c.isForwarded() {
		fields["ingress"] = c.forwarded.GetFrom()
	}
	c.gateway.log.Log(events.RequestEnded, fields)
}

// beginResponse records the framing of a response that has begun.
func (c *call) beginResponse(response *httpconn.Response) {
	c.responseFraming, c.responseEnd = response.Framing, integrity.End{}
}

// recordResponseEnd records and counts how the body of a response ended.
func (c *call) recordResponseEnd(end integrity.End) {
	c.responseEnd = end
	c.gateway.metrics.responseEnds.WithLabelValues(c.service, c.responseFraming.String(), end.Verdict.String()).Inc()
}

// The reasons why a response is late, as logged.
const (
	lateFirstEvent = "first event"
	latePause      = "pause"
)

// lateReason returns why the response is late by the targets of the route, or "" if it is on
// time.
func lateReason(firstResponseTime, maxPause time.Duration, route *routing.Route) string {
	switch {
	case exceeds(firstResponseTime, route.LatencyTarget):
		return lateFirstEvent
	case exceeds(maxPause, route.MaxEventGap):
		return latePause
	}
	return ""
}

// tenantName returns the name of the call's tenant, empty for calls without a tenant.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// exceeds reports whether the duration is above the limit. A limit of 0 means no limit.
func exceeds(duration, limit time.Duration) bool { return limit > 0 && duration > limit }

// flushLog writes the buffered log lines with the times at which they were added.
func (c *call) flushLog() {
	for _, entry := range c.logEntries {
		c.gateway.log.LogAt(entry.at, entry.event, entry.fields)
	}
	c.logEntries = nil
}

// The outcomes of calls, as in logs and metrics.
const (
	outcomeComplete     = "complete"
	outcomeCut          = "cut"
	outcomeRunnerFailed = "runner failed"
	outcomeUnknown      = "unknown"
	outcomeCallerLeft   = "caller left"
)
