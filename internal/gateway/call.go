package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/membudget"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/streamversion"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Limits of calls.
const (
	// maxCallDuration is the timeout of a call for which neither the caller nor the route sets
	// one, and the maximum for all others.
	maxCallDuration = 5 * time.Minute
	// defaultMaxBodyBytes applies if the configuration does not limit the size of request bodies.
	defaultMaxBodyBytes = 16 << 20
	// writeTimeoutSlack is the time after the call's deadline during which the response may still
	// be written, and that of each later write.
	writeTimeoutSlack = 2 * time.Second
	// maxRefusals limits how many runners may refuse one call.
	maxRefusals = 3
	// maxUnsent limits how many attempts of one call may end before anything is sent, usually
	// because the runner is unreachable. Immediately after the loss of a third of the runners,
	// one call in 700 chooses six unreachable runners in a row.
	maxUnsent = 6
)

// call is one request from a caller, from its arrival to the end of the response.
type call struct {
	gateway    *Gateway
	writer     http.ResponseWriter
	controller *http.ResponseController
	// incoming is the caller's HTTP request, and metadata the information from its headers.
	incoming  *http.Request
	metadata  RequestInfo
	arrivedAt time.Time
	config    *activeConfig
	route     *routing.Route
	tenant    *routing.Tenant
	service   string
	body      []byte
	// ctx is canceled when the caller disconnects, the deadline passes or the router stops.
	ctx      context.Context
	deadline time.Time
	// attemptState decides after each attempt whether another one is allowed, and promises that none has run. It is replaced when
	// the call is admitted, before any attempt.
	attemptState *attempt.Request
	// attempts describes the attempts for logs.
	attempts []attemptRecord
	// quotaCharge is the amount charged to the tenant's limit. quotaServer is the router that
	// granted it, empty if none did. quotaDecision delivers the decision and is nil if the tenant
	// has no limit.
	quotaCharge   limits.Spending
	quotaServer   string
	quotaDecision <-chan limits.Decision
	// bodyArrived is closed when the body has been read and only the quota decision is
	// outstanding.
	bodyArrived chan struct{}
	// maxQueueTime is the longest acceptable expected queueing time at a runner.
	maxQueueTime time.Duration
	// queueLimit is the limit that applied when a runner was last chosen, and expectedQueueTime the
	// queueing time that was expected then.
	queueLimit        admission.QueueLimit
	expectedQueueTime time.Duration
	// placementRequest is the pending request to a scheduler. schedulerChoice is the scheduler's
	// choice during an attempt, nil if this router chose the runner itself.
	placementRequest *placementRequest
	schedulerChoice  *placementChoice
	// permit allows the send to a rate-limited runner, and permitRequestedAt is when it was
	// requested.
	permit            backpressure.Permit
	permitRequestedAt time.Time
	// versionPermittedAt is when the permit for the query's target version was requested.
	versionPermittedAt time.Time
	// refusedForShare is set if the call was refused only because its tenant exceeds its fair
	// share.
	refusedForShare bool
	// hasUnusedRetry is set while a retry that the call has withdrawn from the budget has not been
	// sent to a runner yet.
	hasUnusedRetry bool
	// lastNotSent is set if the last attempt reached no runner.
	lastNotSent bool
	// lastFailure is the last failure returned by a runner. It is forwarded if no later attempt
	// succeeds.
	lastFailure *bufferedResponse
	// runner is the runner of the current or last attempt.
	runner backend.Runner
	// sentAt is when that attempt was sent, and currentSend its record in the runner table. sendOpen is set until
	// the outcome of the attempt is recorded.
	sentAt      time.Time
	currentSend *backend.Send
	sendOpen    bool
	// sendCtx is the context of the current attempt, a child of ctx that cancelSend cancels. If the send can be withdrawn,
	// unstarted is set.
	sendCtx    context.Context
	cancelSend context.CancelCauseFunc
	unstarted  *unstartedSend
	// content identifies the request's content once the body has been read, and sharedParts are the
	// prompt parts that it may share with other requests. run is the current attempt as recorded for
	// crash detection.
	content     quarantine.Subject
	sharedParts []string
	run         *quarantine.Run
	// verdict is how the call was to be handled when that was last checked. suspected is set if the
	// call may crash its runner, and lostConnection if the connection
	// to a runner was lost during this call. crashChecked is closed once it is known whether
	// that runner crashed.
	verdict        quarantine.Verdict
	suspected      bool
	lostConnection bool
	crashChecked   <-chan struct{}
	// query is the query by which the runner is chosen.
	query backend.Query
	// fetchSource is the kind of source from which the runner fetches the cached prompt parts
	// that it lacks: one of the fetchSource constants.
	fetchSource string
	// weightVersion is the version of the weights that the runner is known to have.
	weightVersion uint64
	// responseWeightVersion is the weight version in the runner's response, 0 for none.
	responseWeightVersion uint64
	// requestedBackoff is the backoff that the runner requested in its response, 0 for none.
	requestedBackoff time.Duration
	// backup is the runner to which the run's state is copied. continueAt is set if the next
	// attempt continues the run there, and continuing once that attempt has begun.
	backup     backend.Runner
	continueAt *backend.Runner
	continuing bool
	// silentRunners are the runners that did not answer when the call left its last one.
	silentRunners []string
	// responseBegun is set once the status of the response is written, and writeErr is the error of a write to the
	// caller.
	responseBegun bool
	writeErr      error
	// logEntries are the log lines of this call that have not been written yet.
	logEntries []logEntry
	// firstResponseAt is when the first response from a runner began. If there is none, it is set
	// when the end of the call is logged.
	firstResponseAt time.Time
	// responseFraming is how the last response was delimited, and responseEnd how its body ended.
	responseFraming integrity.Framing
	responseEnd     integrity.End
	// bound is where the stream began that the call continues, and streamRecord the record of that, nil if other
	// routers need none. isUnrecorded is set if that was so when the stream began; deferredRecord is then the record that it will get.
	bound streamversion.Proven
	// goesOnAnywhere is set if the stream's route has moved to a service without the version at which the stream began.
	// recordedByService is set if the stream's record is that of its service, as it may have begun at another one.
	goesOnAnywhere    bool
	recordedByService bool
	streamRecord      *wire.StreamRecord
	isUnrecorded      bool
	deferredRecord    *wire.StreamRecord
	// stream is the state of the forwarded stream, nil before its first event.
	stream *eventStream
	// forwarded is the message with which another router forwarded the call, nil if this router took it
	// from the caller.
	forwarded *wire.ForwardedCall
	// isNewConnection is set if the current attempt was sent over a new connection.
	isNewConnection bool
	// egressRouter is the router to which the call was last forwarded, and triedEgress are all of them.
	egressRouter string
	triedEgress  []string
	// costlyEgress is the number of them that cost time: they could not be reached, broke the call off or waited for a
	// scheduler.
	costlyEgress int
	// declineReason is why the last egress router declined the call, empty if it did not.
	declineReason string
	// foundNoEgress is set if the call could not be forwarded to any router and waits for a silent runner instead.
	foundNoEgress bool
	// reachedByOthers is set if the scheduler found no runner for the call, but other routers reach runners to which this
	// one has lost its path. unplaced is the refusal that the call then gets if no other router takes it.
	reachedByOthers bool
	// unscheduled is set if the call was held back only because no scheduler answered, which alone knows the room of brittle
	// runners.
	unscheduled bool
	unplaced    *refusal
	// bufferedBytes is what the call holds of maxBufferedBytes.
	bufferedBytes int64
	// memory is what the call holds of the gateway's, and eventBytes the part of it for events that have not ended.
	memory     *membudget.Holder
	eventBytes int64
	// unsentInSuccession is the number of attempts since the last one that reached a runner.
	unsentInSuccession int
}

// serveCall handles one HTTP request from a caller.
func (g *Gateway) serveCall(writer http.ResponseWriter, request *http.Request) {
	now := g.now()
	g.waitForStartup(request.Context(), now)
	c := &call{
		gateway: g, writer: writer, controller: http.NewResponseController(writer), incoming: request,
		metadata: g.ports.Protocol.ParseRequest(request.Header), arrivedAt: now, config: g.activeConfig.Load(), attemptState: &attempt.Request{},
	}
	g.openCalls.Add(1)
	defer g.openCalls.Add(-1)
	c.memory = g.memory.Register(membudget.ReceivingBody, func() { _ = c.controller.SetReadDeadline(time.Now()) })
	defer c.memory.Release()
	defer c.releaseBuffers()
	defer c.recoverPanic()
	ctx, cancel := g.callContext(request.Context())
	defer cancel()
	c.ctx = ctx
	// Replace the write deadline of an earlier request on this connection.
	_ = c.controller.SetWriteDeadline(time.Now().Add(maxCallDuration))
	if g.draining.Load() || len(request.TransferEncoding) > 0 {
		// A request with a chunked body may also have had a Content-Length header, which
		// net/http has removed by now. Bytes after the last chunk may belong to the body and
		// must not be parsed as another request (RFC 9112, section 6.1).
		writer.Header().Set("Connection", "close")
	}
	if g.isEndingCalls() {
		c.refuse(stopping())
		return
	}
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.refuseLate(); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.bindResumedStream(); refused != nil {
		c.refuse(refused)
		return
	}
	c.startQuotaCheck()
	c.startPlacement()
	refused, readErr := c.readBody()
	cause, detail, disconnected := callerLeftSending, errorText(readErr), readErr != nil
	if !disconnected && c.isConnectionClosed() {
		cause, detail, disconnected = callerLeftUnread, "the connection is closed", true
	}
	if disconnected && g.serversClosed.Load() {
		cause = routerStopped
	}
	if disconnected || refused != nil {
		c.cancelQuotaCheck()
		c.discardPlacement()
	}
	if disconnected {
		// A caller that closed only its sending side must not get an empty, complete response.
		c.abort(cause, detail)
	}
	if refused != nil {
		c.refuse(refused)
		return
	}
	c.identifyContent()
	if refused := c.checkQuarantine(); refused != nil {
		c.cancelQuotaCheck()
		c.discardPlacement()
		c.refuse(refused)
		return
	}
	if c.suspected {
		// The first placement request was sent before the content was known to be suspect.
		c.discardPlacement()
		c.startPlacement()
	}
	var cancelTimeout context.CancelFunc
	c.ctx, cancelTimeout = context.WithTimeout(ctx, g.until(c.deadline))
	defer cancelTimeout()
	if refused := c.awaitQuotaDecision(); refused != nil {
		c.discardPlacement()
		c.refuse(refused)
		return
	}
	_ = c.controller.SetWriteDeadline(time.Now().Add(g.until(c.deadline) + writeTimeoutSlack))
	c.serve()
}

// requestPath returns the path from the request line, without decoding or cleaning it.
func requestPath(request *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(request), "?")
	return path
}

// requestTarget returns the path and query from the request line, without decoding or
// cleaning them.
func requestTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// admit selects the route, tenant and service of the call, or returns the reason for which it
// is refused. With a configuration that may be stale, the call is refused temporarily (503)
// rather than denied.
func (c *call) admit() *refusal {
	if c.config == nil {
		return unavailable("no configuration is known yet", startupRetryAfter)
	}
	if admission := c.forwarded.GetAdmission(); admission != nil {
		c.accept(admission)
	} else if refused := c.matchRoute(); refused != nil {
		return refused
	}
	if refused := c.pickService(); refused != nil {
		return refused
	}
	c.setDeadline()
	c.attemptState = attempt.NewRequest(c.route.Repeatable(), attempt.Limits{MaxAttempts: c.maxAttempts(), MaxRefusals: maxRefusals, MaxUnsent: maxUnsent})
	return nil
}

// matchRoute selects the route and the tenant of the call by this router's configuration.
func (c *call) matchRoute() *refusal {
	fresh := c.config.isFresh(c.gateway.now(), c.gateway.settings.ConfigLease)
	c.route = c.config.table.Match(c.incoming.Host, requestPath(c.incoming))
	if c.route == nil {
		if !fresh {
			return unavailable("the configuration is not proved", staleConfigRetryAfter)
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	return c.authenticate(fresh)
}

// pickService chooses the service among those of the route, unless the ingress router has chosen it.
func (c *call) pickService() (refused *refusal) {
	if c.isForwarded() {
		if c.service, refused = c.forwardedService(); refused != nil {
			return refused
		}
	}
	c.gateway.mutex.Lock()
	defer c.gateway.mutex.Unlock()
	if !c.isForwarded() {
		c.service = c.gateway.splitter.Pick(c.route)
	}
	c.maxQueueTime = admission.DrawMaxQueue(c.route.LatencyTarget, c.rank(), c.gateway.random)
	return nil
}

// maxAttempts returns how many runners the call may be sent to.
func (c *call) maxAttempts() int {
	if c.isForwarded() {
		return max(min(c.route.MaxAttempts, int(c.forwarded.GetAttemptsLeft())), 1)
	}
	return max(c.route.MaxAttempts, 1)
}

// authenticate sets the call's tenant from its key, unless the route is public or the
// configuration has no keys.
func (c *call) authenticate(fresh bool) *refusal {
	if c.route.Public || !c.config.table.NeedsKeys() {
		return nil
	}
	if !fresh {
		return unavailable("the configuration is not proved", staleConfigRetryAfter)
	}
	c.tenant = c.config.table.Tenant(c.metadata.Key)
	if c.tenant == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "the key is not known"}
	}
	return nil
}

// routeTimeout returns how long one attempt of a caller may take on the route.
func routeTimeout(route *routing.Route) time.Duration {
	return min(cmp.Or(route.Timeout, maxCallDuration), maxCallDuration)
}

// setDeadline sets the deadline from the shortest timeout of the caller, the route and
// maxCallDuration.
func (c *call) setDeadline() {
	timeout := routeTimeout(c.route)
	if c.metadata.Deadline > 0 {
		timeout = min(timeout, c.metadata.Deadline)
	}
	c.deadline = c.arrivedAt.Add(timeout)
}

// serve sends the call to runners until one has responded or no further attempt is allowed.
func (c *call) serve() {
	next := attempt.Dispatch
	for next == attempt.Dispatch {
		refused := c.checkQuarantine()
		if c.gateway.until(c.deadline) <= 0 {
			// The context uses the monotonic clock, which stops while the machine is suspended,
			// so it may not have expired yet.
			refused = unavailable("the time is up", busyRetryAfter)
		}
		if c.gateway.isEndingCalls() {
			refused = stopping()
		}
		if refused != nil {
			c.discardPlacement()
			c.attemptState.Fail()
			c.giveUp(refused)
			return
		}
		next, refused = c.nextAttempt()
		if refused != nil {
			c.attemptState.Fail()
			c.giveUp(refused)
			return
		}
	}
	c.finish()
}

// nextAttempt sends the call to a runner, or to another router if this one cannot reach the runners.
func (c *call) nextAttempt() (attempt.Action, *refusal) {
	if c.shouldForward() {
		return c.forward()
	}
	if c.gateway.egress.isUnreachable(c) {
		c.discardPlacement()
		return attempt.Stop, unavailable(reasonNoPath, busyRetryAfter)
	}
	runner, refused := c.pickRunner()
	if refused != nil && c.mayBePlacedElsewhere() {
		c.unplaced = refused
		return c.forward()
	}
	if refused != nil {
		return attempt.Stop, refused
	}
	c.runner = runner
	return c.send(), nil
}

// finish ends a call after its last attempt.
func (c *call) finish() {
	if c.attemptState.Phase() == attempt.Complete {
		c.logOutcome(outcomeComplete)
		return
	}
	switch {
	case !c.gateway.now().Before(c.deadline):
		c.giveUp(unavailable("the time is up", busyRetryAfter))
		return
	case c.gateway.isEndingCalls():
		c.giveUp(stopping())
		return
	}
	c.giveUp(unavailable("no runner is left to try", busyRetryAfter))
}

// callerDisconnected reports whether the HTTP server has detected that the caller
// disconnected.
func (c *call) callerDisconnected() bool { return c.incoming.Context().Err() != nil }

var errCallerDisconnected = errors.New("caller disconnected")
