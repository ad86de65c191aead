package gateway

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// The protocol of forwarded calls.
const (
	forwardPath = "/forwarded-call"
	// headerForwardResult names, in the response of an egress router, what the response is.
	headerForwardResult = "Clovertiller-Forward"
	// headerForwardSoftware names the software version of the runner that sent a response.
	headerForwardSoftware = "Clovertiller-Forward-Software"
	// headerDeclineReason names why an egress router declined a call.
	headerDeclineReason = "Clovertiller-Forward-Reason"
	// headerReferral names routers that may serve a declined call, one a value: its address and its zone.
	headerReferral = "Clovertiller-Forward-Referral"
	// headerForwardProof lists, in the response to a refused or declined call, each attempt with its proof, or proofNoAttempt.
	headerForwardProof = "Clovertiller-Forward-Proof"
	// headerRetryAfterMillis is the retry delay of a refusal.
	headerRetryAfterMillis = "Clovertiller-Forward-Retry-Ms"
)

// proofNoAttempt is the value of headerForwardProof if the egress router made no attempt.
const proofNoAttempt = "no attempt"

// Values of headerDeclineReason of a router that accepts other calls of the service.
const (
	// declinedPathsLost means that the runners with room are among those that the router does not reach.
	declinedPathsLost = "paths lost"
	// declinedUnscheduled means that no scheduler answered, which alone knows the room of brittle runners.
	declinedUnscheduled = "no scheduler"
)

// Values of headerForwardResult.
const (
	// resultResponse is a runner's response.
	resultResponse = "response"
	// resultRefused is the refusal of a call that has not run.
	resultRefused = "refused"
	// resultDeclined means that the egress router accepts no forwarded calls. The call has not run.
	resultDeclined = "declined"
	// resultFailed means that the call has failed and may have run.
	resultFailed = "failed"
	// resultUnreachable counts the calls whose egress router could not be reached or broke off.
	resultUnreachable = "unreachable"
)

const (
	// minUnsentBeforeForward is how many attempts of a call must have reached no runner before it is
	// forwarded although the links are not known to be at fault.
	minUnsentBeforeForward = 2
	// maxRefusalReason bounds the reason that is read from a refusal.
	maxRefusalReason = 1 << 10
)

// reasonNoPath is the reason given to callers whose call no router could send to a runner.
const reasonNoPath = "no runner of the service can be reached"

// shouldForward reports whether the next attempt of the call is to forward it to another router.
func (c *call) shouldForward() bool {
	e := c.gateway.egress
	if c.isForwarded() || c.continueAt != nil || !e.hasRouters() {
		return false
	}
	if c.unplaced != nil {
		return true
	}
	switch c.gateway.paths.state(c.service) {
	case egress.Cut:
		return !e.waitsForRunners(c)
	case egress.ReuseOnly:
		return c.lastNotSent
	}
	return c.lastNotSent && c.unsentInSuccession >= minUnsentBeforeForward && !c.gateway.paths.heardSince(c.service, c.arrivedAt)
}

// mayBePlacedElsewhere reports whether a call for which there is no runner is forwarded, because other routers reach runners to
// which this one has lost its path.
func (c *call) mayBePlacedElsewhere() bool {
	return c.reachedByOthers && !c.isForwarded() && c.continueAt == nil && c.gateway.egress.hasRouters()
}

// forward forwards the call to another router and passes on its response. It returns a refusal if no
// router accepts the call, unless the runners are only silent: the next attempt then waits for one of them.
func (c *call) forward() (attempt.Action, *refusal) {
	g := c.gateway
	c.discardPlacement()
	if refused := c.refuseLate(); refused != nil {
		return attempt.Stop, refused
	}
	if refused := c.takeRetry(); refused != nil {
		return attempt.Stop, refused
	}
	router, found := g.egress.next(c.service, c.triedEgress, c.costlyEgress)
	if !found && c.unplaced != nil {
		return attempt.Stop, c.unplaced
	}
	if !found {
		if g.paths.isOnlySilent(c.service) {
			c.foundNoEgress = true
			return attempt.Dispatch, nil
		}
		return attempt.Stop, unavailable(reasonNoPath, busyRetryAfter)
	}
	// The call is encoded with its body.
	size := int64(len(c.body)) + headerBytes(c.incoming.Header)
	if refused := c.holdBody(size); refused != nil {
		return attempt.Stop, refused
	}
	defer c.memory.Shrink(size)
	c.triedEgress = append(c.triedEgress, router.Address)
	c.beginAttempt(router.Address)
	c.sentAt, c.egressRouter, c.declineReason = g.now(), router.Address, ""
	// A panic in between says nothing about the egress router.
	result := resultFailed
	defer func() { g.egress.end(c.service, router, c.egressResult(result), c.sentAt) }()
	result, action, refused := c.sendForward(router)
	if result == resultUnreachable || c.declineReason == declinedUnscheduled {
		c.costlyEgress++
	}
	g.metrics.forwardedCalls.WithLabelValues(c.service, result).Inc()
	c.bufferLog(events.CallForwarded, events.Fields{"egress": router.Address, "zone": router.Zone, "service": c.service, "result": result, "reason": c.declineReason, "after_ms": g.since(c.sentAt).Milliseconds()})
	return action, refused
}

// headerBytes returns the size of the header's names and values.
func headerBytes(header http.Header) (size int64) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return size
}

// egressResult returns what the result of the forwarded call says of its egress router.
func (c *call) egressResult(result string) egress.Result {
	switch {
	case result == resultRefused, c.declineReason == declinedUnscheduled:
		return egress.Refused
	case result == resultDeclined:
		return egress.Declined
	case result == resultUnreachable:
		return egress.Unreachable
	}
	return egress.Served
}

// encodeReferrals returns the values of headerReferral.
func encodeReferrals(routers []egress.Router) (values []string) {
	for _, router := range routers {
		values = append(values, router.Address+" "+router.Zone)
	}
	return values
}

// decodeReferrals returns the routers that a response refers to.
func decodeReferrals(header http.Header) (routers []egress.Router) {
	for _, value := range header.Values(headerReferral) {
		address, zone, _ := strings.Cut(value, " ")
		if _, err := netip.ParseAddrPort(address); err == nil {
			routers = append(routers, egress.Router{Address: address, Zone: zone})
		}
	}
	return routers
}

// sendForward sends the call to the egress router and handles the response. result is what the response
// was.
func (c *call) sendForward(router egress.Router) (result string, action attempt.Action, refused *refusal) {
	request, err := c.newForwardRequest()
	if err != nil {
		// All fields that callers determine are bytes or tokens, which can be encoded.
		panic("gateway: " + err.Error())
	}
	response, err := c.gateway.egress.pool.Send(c.ctx, router.Address, request)
	if err != nil {
		return resultUnreachable, c.handleForwardError(err), nil
	}
	defer response.Body.Close()
	c.beginResponse(response)
	result = response.Header.Get(headerForwardResult)
	proof := c.readForwardProof(response)
	switch {
	case result == resultDeclined:
		c.declineReason = response.Header.Get(headerDeclineReason)
		c.gateway.egress.refer(decodeReferrals(response.Header))
		_, _ = response.Body.ReadAll(maxRefusalReason)
		c.hasUnusedRetry = c.hasUnusedRetry && proof.Holds()
		return result, c.attemptState.Declined(proof), nil
	case result == resultRefused && proof.Holds():
		return result, attempt.Stop, c.readRefusal(response, proof)
	}
	c.hasUnusedRetry = false
	if result == resultRefused {
		return result, c.attemptState.Reject(proof), nil
	}
	if result == resultResponse {
		c.gateway.paths.repeatLostSends(c.service)
	}
	switch {
	case result == resultResponse && c.route.Kind == routing.Streaming && isSuccess(response.Status):
		action = c.forwardStream(response)
		return c.forwardResult(), action, nil
	case result == resultResponse && c.stream == nil:
		action = c.passOn(response)
		return c.forwardResult(), action, nil
	}
	c.attemptState.ConnectionLost()
	c.attemptState.Fail()
	return resultFailed, attempt.Stop, nil
}

// forwardResult returns the result of passing on a response: whether the egress router broke it off.
func (c *call) forwardResult() string {
	if c.attemptState.Phase() == attempt.Complete || c.lastFailure != nil || c.ctx.Err() != nil {
		return resultResponse
	}
	return resultUnreachable
}

// newForwardRequest returns the request that carries the call to an egress router.
func (c *call) newForwardRequest() (*httpconn.Request, error) {
	message := &wire.ForwardedCall{
		Method: c.incoming.Method, Target: []byte(requestTarget(c.incoming)), Host: []byte(c.incoming.Host), Body: c.body, Service: c.service,
		LeftMillis:   uint32(max(c.gateway.until(c.deadline).Milliseconds(), 1)),
		AttemptsLeft: uint32(max(c.route.MaxAttempts-c.attemptState.SentDispatches()+1, 1)),
		LastEvent:    []byte(c.metadata.LastEvent), From: c.gateway.settings.Node, BoundVersion: c.boundVersion(), RecordedByService: c.recordedByService, AnyVersion: c.goesOnAnywhere && c.boundVersion() == "",
		Admission: c.admission(),
	}
	if c.stream != nil && c.stream.lastEvent != "" {
		message.LastEvent = []byte(c.stream.lastEvent)
	}
	for name, values := range c.incoming.Header {
		field := &wire.HeaderField{Name: name}
		for _, value := range values {
			field.Values = append(field.Values, []byte(value))
		}
		message.Headers = append(message.Headers, field)
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	protocol, id := c.gateway.ports.Protocol, c.metadata.ID
	return &httpconn.Request{
		Method: http.MethodPost, Target: forwardPath, Host: "router", Body: body,
		// A kept connection may have fallen silent or may be closed at this moment, which would lose the call.
		FreshConnection: true, Header: http.Header{"Connection": {"close"}}, OnConnection: c.recordConnection,
		MatchesResponse: func(header http.Header) bool {
			return header.Get(headerForwardResult) == resultDeclined || protocol.ParseResponse(0, header).RequestID == id
		},
	}, nil
}

// handleForwardError handles a forwarded call that got no response.
func (c *call) handleForwardError(err error) attempt.Action {
	unwritten := httpconn.Unwritten(err)
	if !unwritten.Holds() {
		c.hasUnusedRetry = false
	}
	if c.ctx.Err() != nil {
		if unwritten.Holds() {
			c.attemptState.NotSent(unwritten)
		}
		c.attemptState.Fail()
		return attempt.Stop
	}
	if unwritten.Holds() {
		return c.attemptState.NotSent(unwritten)
	}
	return c.connectionLost()
}

// readForwardProof returns the proof that a call which its egress router refused or declined has not run there. Earlier versions
// send no headerForwardProof. They may be wrong after an attempt, but not if they decline for a reason that comes before any.
func (c *call) readForwardProof(response *httpconn.Response) notrun.Proof {
	values, result, reason := response.Header.Values(headerForwardProof), response.Header.Get(headerForwardResult), response.Header.Get(headerDeclineReason)
	c.attempts[len(c.attempts)-1].detail = strings.Join(values, "; ")
	declinedAtOnce := result == resultDeclined && reason != declinedPathsLost && reason != declinedUnscheduled
	if len(values) == 0 && !declinedAtOnce {
		return notrun.Proof{}
	}
	return response.Rejection(notrun.Declined)
}

// readRefusal returns the refusal of an egress router. A denial of a call that this router's
// configuration allows is temporary: one of the two configurations is older.
func (c *call) readRefusal(response *httpconn.Response, proof notrun.Proof) *refusal {
	reason, end := response.Body.ReadAll(maxRefusalReason)
	c.attemptState.Reject(proof)
	if end.IsBroken() {
		reason = []byte(reasonNoPath)
	}
	retryAfter, _ := strconv.Atoi(response.Header.Get(headerRetryAfterMillis))
	refused := &refusal{status: response.Status, reason: strings.TrimSpace(string(reason)), retryAfter: time.Duration(retryAfter) * time.Millisecond}
	if response.Status != http.StatusTooManyRequests && response.Status != http.StatusServiceUnavailable {
		return unavailable(refused.reason, staleConfigRetryAfter)
	}
	return refused
}

// passOn passes on a response of a runner.
func (c *call) passOn(response *httpconn.Response) attempt.Action {
	buffered, end := c.bufferResponse(response)
	if end.IsBroken() {
		return c.handleBrokenForward()
	}
	c.firstResponseAt = c.gateway.now()
	switch {
	case buffered.isFailure():
		c.keepFailure(buffered, end)
		c.attemptState.RunnerFailed()
		c.attemptState.Fail()
		return attempt.Stop
	case !end.IsComplete():
		return c.passOnLong(buffered, response)
	}
	c.markComplete()
	if err := buffered.writeTo(c); err != nil {
		cause, _ := c.interruption()
		c.abortInterrupted(cause, errorText(c.writeErr))
	}
	return attempt.Stop
}

// passOnLong passes on a response that is too long to buffer.
func (c *call) passOnLong(buffered *bufferedResponse, response *httpconn.Response) attempt.Action {
	if end, err := c.copyLongResponse(buffered, response); err != nil || !end.IsComplete() {
		c.attemptState.Fail()
		return attempt.Stop
	}
	c.markComplete()
	return attempt.Stop
}

// forwardStream passes on a stream of a runner.
func (c *call) forwardStream(response *httpconn.Response) attempt.Action {
	end, err := integrity.CopyEvents(response.Body, response.Framing, c.mayBuffer, func(data []byte, lastID string) error {
		if c.stream == nil {
			c.beginStreamResponse(response)
		}
		c.bind(streamversion.ResolvedByPeer(c.service, response.Header.Get(headerForwardSoftware)))
		return c.writeToStream(data, lastID)
	})
	if err != nil {
		c.attemptState.Fail()
		return attempt.Stop
	}
	c.recordResponseEnd(end)
	if !end.IsComplete() {
		return c.handleBrokenForward()
	}
	if c.stream == nil {
		c.beginStreamResponse(response)
	}
	c.endUnframedResponse()
	c.markComplete()
	return attempt.Stop
}

// handleBrokenForward handles a response of an egress router that broke off. The call may have run.
func (c *call) handleBrokenForward() attempt.Action {
	if c.ctx.Err() != nil {
		c.attemptState.Fail()
		return attempt.Stop
	}
	return c.connectionLost()
}
