package gateway

import (
	"fmt"
	"log"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// reasonInternalError is the reason given to callers whose call ended in a panic.
const reasonInternalError = "internal error"

// recoverPanic ends a call whose handler panicked: with status 500 if no response has begun, and otherwise by aborting
// the connection. It is deferred by the handlers of calls. A panic that aborts the connection goes on.
func (c *call) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	answered := !c.responseBegun
	fields := c.endFields()
	fields["panic"], fields["stack"], fields["answered"] = fmt.Sprint(value), string(debug.Stack()), answered
	c.flushLog()
	c.gateway.log.Log(events.HandlerPanicked, fields)
	c.gateway.metrics.handlerPanics.WithLabelValues(yesNo(answered)).Inc()
	defer c.release()
	if !answered {
		c.abort(handlerPanicked, fmt.Sprint(value))
	}
	c.gateway.metrics.countRefusal(http.StatusInternalServerError, reasonInternalError)
	c.writeRefusal(&refusal{status: http.StatusInternalServerError, reason: reasonInternalError})
}

// release releases what a call holds that ended at an unknown point.
func (c *call) release() {
	c.discardPlacement()
	if c.sendOpen {
		// The runner is not at fault.
		c.recordOutcome(backend.NotConfirmed, quarantine.Canceled)
	}
	if c.schedulerChoice != nil {
		c.gateway.schedulers.release(c.schedulerChoice)
	}
}

// discardPlacement ends the pending request to a scheduler, if any.
func (c *call) discardPlacement() {
	c.placementRequest.discard()
	c.placementRequest = nil
}

// yesNo returns the value of a metric label.
func yesNo(value bool) string {
	if value {
		return labelYes
	}
	return labelNo
}

// serverErrorWriter writes the lines that an HTTP server logs as events.
type serverErrorWriter struct {
	log    *events.Logger
	server string
}

func (w serverErrorWriter) Write(line []byte) (int, error) {
	w.log.Log(events.ServerError, events.Fields{"server": w.server, "error": strings.TrimSpace(string(line))})
	return len(line), nil
}

// serverErrorLog returns the log of an HTTP server.
func (g *Gateway) serverErrorLog(server string) *log.Logger {
	return log.New(serverErrorWriter{log: g.log, server: server}, "", 0)
}
