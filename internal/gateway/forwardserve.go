package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/membudget"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// maxForwardedCalls is the number of forwarded calls that a router serves at a time. Further ones are
	// declined, so that they leave memory and descriptors to its own callers.
	maxForwardedCalls = 256
	// maxForwardedHeaderBytes is the part of a forwarded call that is not the caller's body.
	maxForwardedHeaderBytes = 2 * maxHeaderBytes
	// forwardedBodyTimeout bounds the time in which a forwarded call arrives.
	forwardedBodyTimeout = 5 * time.Second
)

// isForwarded reports whether another router forwarded the call to this one.
func (c *call) isForwarded() bool { return c.forwarded != nil }

// serveForwarded serves a call that another router forwards.
func (g *Gateway) serveForwarded(writer http.ResponseWriter, request *http.Request) {
	open := g.egress.openCalls.Add(1)
	defer g.egress.openCalls.Add(-1)
	if open > maxForwardedCalls {
		g.declineForwarded(writer, "", "full")
		return
	}
	controller := http.NewResponseController(writer)
	memory := g.memory.Register(membudget.ReceivingBody, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer memory.Release()
	message, err := g.readForwardedCall(controller, request, memory)
	switch {
	case err != nil:
		g.log.Log(events.ForwardedCallUnreadable, events.Fields{"from": request.RemoteAddr, "error": err.Error()})
		g.declineForwarded(writer, "", "unreadable")
		return
	case !g.isReady():
		g.declineForwarded(writer, message.GetService(), "not ready")
		return
	case g.paths.reachesNone() || g.paths.state(message.GetService()) != egress.Direct || !g.paths.confirmReach(message.GetService()):
		writer.Header()[headerReferral] = encodeReferrals(g.egress.referrals(message.GetService()))
		g.declineForwarded(writer, message.GetService(), "no path")
		return
	}
	g.openCalls.Add(1)
	defer g.openCalls.Add(-1)
	stoppable, cancelStoppable := g.callContext(request.Context())
	defer cancelStoppable()
	c := g.newForwardedCall(request.Context(), writer, message)
	c.ctx, c.memory = stoppable, memory
	defer c.releaseBuffers()
	defer c.recoverPanic()
	_ = c.controller.SetWriteDeadline(time.Now().Add(time.Duration(message.GetLeftMillis())*time.Millisecond + writeTimeoutSlack))
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	var cancelTimeout context.CancelFunc
	c.ctx, cancelTimeout = context.WithTimeout(stoppable, g.until(c.deadline))
	defer cancelTimeout()
	if refused := c.bindResumedStream(); refused != nil {
		c.refuse(refused)
		return
	}
	c.identifyContent()
	if refused := c.checkQuarantine(); refused != nil {
		c.refuse(refused)
		return
	}
	g.metrics.servedForwarded.WithLabelValues(c.service, "accepted").Inc()
	c.startPlacement()
	c.serve()
}

// errForwardedTooLong means that a forwarded call has no length or is longer than allowed, or that too much is held of others.
var errForwardedTooLong = errors.New("the forwarded call is too long")

// readForwardedCall decodes the body of the request.
func (g *Gateway) readForwardedCall(controller *http.ResponseController, request *http.Request, memory *membudget.Holder) (*wire.ForwardedCall, error) {
	if err := controller.SetReadDeadline(time.Now().Add(forwardedBodyTimeout)); err != nil {
		return nil, err
	}
	// Later reads only find out whether the ingress router disconnects.
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	length := request.ContentLength
	// The message is decoded into as much memory again.
	if length < 0 || length > g.maxBodyBytes()+maxForwardedHeaderBytes || !memory.Hold(request.Context().Done(), 2*length) {
		return nil, errForwardedTooLong
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(request.Body, body); err != nil {
		return nil, err
	}
	memory.SetClass(membudget.Whole)
	message := &wire.ForwardedCall{}
	return message, proto.Unmarshal(body, message)
}

// newForwardedCall returns the call that the message describes. The context is canceled when the ingress router
// disconnects; unlike the call's own, it does not end with the call's time.
func (g *Gateway) newForwardedCall(connected context.Context, writer http.ResponseWriter, message *wire.ForwardedCall) *call {
	incoming := (&http.Request{
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Method: message.GetMethod(), RequestURI: string(message.GetTarget()), Host: string(message.GetHost()), Header: http.Header{},
		ContentLength: int64(len(message.GetBody())), Body: io.NopCloser(bytes.NewReader(message.GetBody())),
	}).WithContext(connected)
	for _, field := range message.GetHeaders() {
		for _, value := range field.GetValues() {
			incoming.Header.Add(field.GetName(), string(value))
		}
	}
	c := &call{
		gateway: g, writer: writer, controller: http.NewResponseController(writer), incoming: incoming, body: message.GetBody(),
		metadata: g.ports.Protocol.ParseRequest(incoming.Header), arrivedAt: g.now(), config: g.activeConfig.Load(), forwarded: message, bound: streamversion.ResolvedByPeer(message.GetService(), message.GetBoundVersion()),
		attemptState: &attempt.Request{}, recordedByService: message.GetRecordedByService(), goesOnAnywhere: message.GetAnyVersion(),
	}
	c.metadata.LastEvent = string(message.GetLastEvent())
	c.metadata.Deadline = time.Duration(message.GetLeftMillis()) * time.Millisecond
	return c
}

// forwardedService returns the service that the ingress router chose, or a refusal if this router's
// configuration doesn't allow it.
func (c *call) forwardedService() (string, *refusal) {
	for _, backend := range c.route.Backends {
		if backend.Service == c.forwarded.GetService() {
			return backend.Service, nil
		}
	}
	return "", unavailable("the route's services have changed", staleConfigRetryAfter)
}

// declineForwarded answers that this router does not serve the forwarded call. The call has not run.
func (g *Gateway) declineForwarded(writer http.ResponseWriter, service, reason string) {
	g.metrics.servedForwarded.WithLabelValues(service, reason).Inc()
	writer.Header().Set(headerForwardResult, resultDeclined)
	writer.Header().Set(headerDeclineReason, reason)
	writer.Header().Set(headerForwardProof, proofNoAttempt)
	if g.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// setForwardResult tells the ingress router what the response is, if the call was forwarded.
func (c *call) setForwardResult(result string) {
	if !c.isForwarded() {
		return
	}
	c.writer.Header().Set(headerForwardResult, result)
	if result == resultResponse {
		c.writer.Header().Set(headerForwardSoftware, c.runner.SoftwareVersion)
	}
}

// setForwardedRefusal does so for a response that this router generates.
func (c *call) setForwardedRefusal(r *refusal) {
	if !c.isForwarded() {
		return
	}
	if r.status == http.StatusInternalServerError || !c.attemptState.Promise().Holds() {
		c.setForwardResult(resultFailed)
		return
	}
	c.writer.Header()[headerForwardProof] = c.forwardProof()
	if reason := c.declineReasonOfRefusal(); reason != "" {
		c.setForwardResult(resultDeclined)
		c.writer.Header().Set(headerDeclineReason, reason)
		return
	}
	c.setForwardResult(resultRefused)
	c.writer.Header().Set(headerRetryAfterMillis, strconv.FormatInt(r.retryAfter.Milliseconds(), 10))
}

// forwardProof returns the values of headerForwardProof for a forwarded call that has not run.
func (c *call) forwardProof() []string {
	if len(c.attempts) == 0 {
		return []string{proofNoAttempt}
	}
	return c.describeAttempts()
}

// declineReasonOfRefusal returns why another router may serve a forwarded call that this one refuses, empty if none may.
func (c *call) declineReasonOfRefusal() string {
	switch {
	case c.reachedByOthers:
		return declinedPathsLost
	case c.unscheduled:
		return declinedUnscheduled
	}
	return ""
}

// maxBodyBytes returns the largest body that the configuration allows.
func (g *Gateway) maxBodyBytes() int64 {
	if current := g.activeConfig.Load(); current != nil && current.table.Limits.MaxBodyBytes > 0 {
		return current.table.Limits.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}
