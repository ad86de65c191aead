package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Times told to callers that are to come back.
const (
	// startRetryAfter is told while no configuration is known.
	startRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is told while the configuration is not proved.
	staleRetryAfter = 400 * time.Millisecond
	// busyRetryAfter is told when all runners are full or none is there.
	busyRetryAfter = 250 * time.Millisecond
)

// reasonShare is the reason told to tenants beyond their fair share.
const reasonShare = "the service is busy and the tenant is beyond its fair share of it"

// refusal is a final answer of the router's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller may come back; 0 says nothing.
	retryAfter time.Duration
	// limited is set when the request would have queued for too long.
	limited bool
}

func unavailable(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// refuse answers a call that was not sent to any runner.
func (c *call) refuse(r *refusal) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	fields := events.Fields{"request": c.facts.ID, "route": route, "tenant": c.tenantName(), "status": r.status, "reason": r.reason, "ms": c.gateway.since(c.arrived).Milliseconds()}
	if c.view != nil {
		fields["config"] = c.view.table.Version
		fields["config_age_ms"] = c.arrived.Sub(c.view.provenAt).Milliseconds()
	}
	if c.content != (quarantine.ContentID{}) {
		fields["content"] = c.content.String()
	}
	if r.limited {
		fields["queue_ms"], fields["max_queue_ms"] = c.queueing.Milliseconds(), c.limit.MaxQueue.Milliseconds()
		fields["yield_percent"], fields["returned"], fields["excess"] = int(percent*c.limit.PriorityFactor), c.limit.Returned, c.limit.Excess
		fields["service"] = c.service
	}
	if r.retryAfter > 0 {
		fields["retry_after_ms"] = r.retryAfter.Milliseconds()
	}
	c.logDecisions()
	c.gateway.metrics.countRefusal(r.status, r.reason)
	c.gateway.log.Log(events.RequestRefused, fields)
	c.write(r)
}

// giveUp ends a call that may have been sent: with the failure a runner
// answered, or with what can truthfully be said. What certainly has not run is
// refused with the time to come back.
func (c *call) giveUp(r *refusal) {
	if c.left() {
		c.logEnd(outcomeCallerLeft)
		// Whoever still listens must not take the answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	if c.stream != nil {
		c.note(events.StreamCut, events.Fields{"runner": c.runner.ID, "last_event": c.stream.lastEvent, "reason": r.reason})
		c.logEnd(outcomeCut)
		panic(http.ErrAbortHandler)
	}
	if c.failure != nil {
		c.logEnd(outcomeRunnerFailed)
		c.failure.write(c)
		return
	}
	if c.request.RunState() == attempt.NotRun {
		c.unspend()
		c.refuse(r)
		return
	}
	c.logEnd(outcomeUnknown)
	status := http.StatusBadGateway
	if !c.gateway.now().Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.write(&refusal{status: status, reason: "the runner did not answer"})
}

// write sends an answer of the router's own.
func (c *call) write(r *refusal) {
	header := c.writer.Header()
	for name, values := range c.gateway.ports.Protocol.Refusal(c.facts.ID) {
		header[name] = values
	}
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	c.writer.WriteHeader(r.status)
	// A caller that has gone is noticed by the server.
	_, _ = c.writer.Write([]byte(r.reason + "\n"))
}
