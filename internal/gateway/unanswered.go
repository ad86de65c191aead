package gateway

import (
	"errors"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/clovertiller/clovertiller/internal/events"
)

// unansweredCause is why a caller's connection ended without a complete response.
type unansweredCause string

// The causes, as in logs and metrics.
const (
	// callerLeftSending means that the caller's request did not arrive whole.
	callerLeftSending unansweredCause = "caller left while sending"
	// callerLeftUnread means that the caller had left when its request was read.
	callerLeftUnread unansweredCause = "caller left unread"
	// callerLeftWaiting means that the caller left before the response began.
	callerLeftWaiting unansweredCause = "caller left while waiting"
	// callerLeftResponding means that the caller left while the response was written.
	callerLeftResponding unansweredCause = "caller left while responding"
	// streamBrokenOff means that a stream which had begun could not go on.
	streamBrokenOff unansweredCause = "stream broken off"
	// longResponseBrokenOff means that a response broke off of which the begin had been forwarded.
	longResponseBrokenOff unansweredCause = "long response broken off"
	// timeUp means that the time of the call passed within a response which had begun.
	timeUp unansweredCause = "time up"
	// routerStopped means that the router stopped at the end of its grace time.
	routerStopped unansweredCause = "shutdown"
	// handlerPanicked means that the handler panicked within a response.
	handlerPanicked unansweredCause = "panic"
	// writeTimedOut means that the caller did not read the response in time.
	writeTimedOut unansweredCause = "write timed out"
)

// byCaller reports whether the caller itself ended the request.
func (u unansweredCause) byCaller() bool {
	switch u {
	case callerLeftSending, callerLeftUnread, callerLeftWaiting, callerLeftResponding:
		return true
	}
	return false
}

// abort logs and counts that the request ends without a complete response, and aborts the caller's connection. All
// such ends of requests go through abort. It does not return.
func (c *call) abort(cause unansweredCause, detail string) {
	c.flushLog()
	c.gateway.metrics.unansweredRequests.WithLabelValues(string(cause)).Inc()
	if cause == routerStopped {
		c.gateway.cutCalls.Add(1)
	}
	event := events.RequestUnanswered
	if cause.byCaller() {
		event = event.WithLevel(logrus.InfoLevel)
	}
	fields := c.endFields()
	fields["cause"], fields["detail"] = string(cause), detail
	c.gateway.log.Log(event, fields)
	panic(http.ErrAbortHandler)
}

// endFields returns the log fields that describe a call at its end, however far it got.
func (c *call) endFields() events.Fields {
	fields := events.Fields{
		"request": c.metadata.ID, "service": c.service, "runner": c.runner.ID, "ms": c.gateway.since(c.arrivedAt).Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.config != nil {
		fields["config"] = c.config.table.Version
		fields["config_age_ms"] = c.arrivedAt.Sub(c.config.provenAt).Milliseconds()
	}
	if c.isForwarded() {
		fields["ingress"] = c.forwarded.GetFrom()
	}
	return fields
}

// interruption returns why the caller cannot get the rest of its response any more, false if it can.
func (c *call) interruption() (cause unansweredCause, interrupted bool) {
	switch {
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return writeTimedOut, true
	case c.writeErr == nil && !c.callerDisconnected():
		return "", false
	case c.gateway.serversClosed.Load():
		return routerStopped, true
	case c.responseBegun:
		return callerLeftResponding, true
	}
	return callerLeftWaiting, true
}

// abortInterrupted ends a call that was sent and whose caller cannot get the rest of its response any more.
func (c *call) abortInterrupted(cause unansweredCause, detail string) {
	outcome := outcomeCut
	if cause.byCaller() {
		outcome = outcomeCallerLeft
	}
	c.logOutcome(outcome)
	c.abort(cause, detail)
}

// abortUnwritten ends a call whose outcome is logged and whose response could not be written.
func (c *call) abortUnwritten() {
	cause, _ := c.interruption()
	c.abort(cause, errorText(c.writeErr))
}

// errorText returns the text of the error, empty without one.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
