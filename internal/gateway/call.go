package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Times and sizes of calls.
const (
	// longestCall bounds calls that name no deadline on routes without one.
	longestCall = 5 * time.Minute
	// defaultMaxBody applies when the configuration names no bound.
	defaultMaxBody = 16 << 20
	// answerSlack is how much longer than the call the answer may take to write.
	answerSlack = 2 * time.Second
	// maxRefusals bounds the runners that may refuse one call.
	maxRefusals = 3
	// maxUnsent bounds the choices for one call after which nothing was sent, mostly as
	// the runner could not be reached: right after the loss of a third of them one call
	// in 700 meets six in a row.
	maxUnsent = 6
)

// call is one request of a caller, from its arrival to its answer.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	control *http.ResponseController
	caller  *http.Request
	facts   CallFacts
	arrived time.Time
	view    *activeConfig
	route   *routing.Route
	tenant  *routing.Tenant
	service string
	body    []byte
	// ctx ends when the caller leaves or the time is up.
	ctx      context.Context
	deadline time.Time
	request  *attempt.Request
	// spending is what the call counts against its tenant's limit, spentAt the keeper
	// that granted it, empty without one, and quotaDecided gives the decision; it is
	// nil without a limit.
	spending     limits.Spending
	spentAt      string
	quotaDecided <-chan limits.Decision
	// bodyArrived is closed when the body is here and nothing is left to wait for but
	// the decision.
	bodyArrived chan struct{}
	// maxQueue is the longest time that the call may be expected to queue at a runner.
	maxQueue time.Duration
	// limit is the bound that held for the call at the last choice, and queueing the
	// time that it was expected to queue.
	limit    admission.QueueLimit
	queueing time.Duration
	// placing is a question to a scheduler under way, and placed its choice while a
	// runner works on the call; nil when this router chose itself.
	placing *placementAsk
	placed  *placed
	// permit allows the send to a runner that limits requests, and permitAt is when it was
	// asked for.
	permit   backpressure.Permit
	permitAt time.Time
	// forShare is set when the call was refused only as its tenant was beyond its fair share.
	forShare bool
	// paid is set while a repeat that was taken from the budget has reached nobody.
	paid bool
	// failure is the last failure that a runner answered with, kept for when
	// nothing better comes.
	failure *heldAnswer
	// runner is where the call was sent last.
	runner backend.Runner
	// sent is when, and open the request there until it has ended.
	sent time.Time
	open *backend.Send
	// sendCtx ends when the send is withdrawn, or with ctx; unbegun is nil for those that
	// are not withdrawn.
	sendCtx context.Context
	unbegun *unbegunSend
	// content names what is asked, once the body is here, and run is the send as one of
	// the runs at its runner.
	content quarantine.ContentID
	run     *quarantine.Run
	// suspected is set when the content may end its runner, brokeOff when a run of this call
	// broke off, and checked is closed once it is known whether its runner has ended.
	suspected bool
	brokeOff  bool
	checked   <-chan struct{}
	// query is what the runner was chosen by.
	query backend.Query
	// fetched says from what kind of source the runner fetches what it lacks.
	fetched string
	// weights is the version of the weights that the runner is known to have.
	weights uint64
	// answering is the version that the runner named in its answer, 0 for none.
	answering uint64
	// rest is for how long the runner that answered wants no further requests, 0 for none.
	rest time.Duration
	// backup is the runner that the run's memory is copied to; copyAt is set when
	// the call is to go on there, and continuing once it does.
	backup     backend.Runner
	copyAt     *backend.Runner
	continuing bool
	// ended is set when the runner was found to have ended.
	ended atomic.Bool
	// decisions are what was decided about the call so far, for its log.
	decisions []decision
	// answered is when the first part of the answer went to the caller.
	answered time.Time
	// stream is the relayed stream, nil before its first event.
	stream *eventStream
}

// serveCall answers one request of a caller.
func (g *Gateway) serveCall(writer http.ResponseWriter, request *http.Request) {
	now := g.now()
	g.waitForStartup(request.Context(), now)
	c := &call{
		gateway: g, writer: writer, control: http.NewResponseController(writer), caller: request,
		facts: g.ports.Protocol.Call(request.Header), arrived: now, view: g.activeConfig.Load(),
	}
	// A deadline of an earlier request on this connection must not hold here.
	_ = c.control.SetWriteDeadline(time.Now().Add(longestCall))
	if g.draining.Load() || len(request.TransferEncoding) > 0 {
		// A body in chunks may come with a length too, which the server has dropped by
		// now: what lies behind the chunks may be the rest of the body, and is not to be
		// taken for a request (RFC 9112, 6.1).
		writer.Header().Set("Connection", "close")
	}
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	c.startQuota()
	c.startPlacement()
	refusal, gone := c.readBody()
	gone = gone || c.leftUnread()
	if gone || refusal != nil {
		c.abandonQuota()
		c.placing.abandon()
	}
	if gone {
		// Whoever still listens must not take an empty answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	c.content = quarantine.NewContentID(c.tenantName(), request.Host, target(request), c.body)
	if refusal := c.judgeContent(); refusal != nil {
		c.abandonQuota()
		c.placing.abandon()
		c.refuse(refusal)
		return
	}
	if c.suspected {
		// The question left before the content was known.
		c.placing.abandon()
		c.startPlacement()
	}
	ctx, cancel := context.WithTimeout(request.Context(), g.until(c.deadline))
	defer cancel()
	c.ctx = ctx
	if refusal := c.awaitQuota(); refusal != nil {
		c.placing.abandon()
		c.refuse(refusal)
		return
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(g.until(c.deadline) + answerSlack))
	c.serve()
}

// path returns the path of the request line, unchanged.
func path(request *http.Request) string {
	target, _, _ := strings.Cut(target(request), "?")
	return target
}

// target returns path and query of the request line, unchanged.
func target(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// admit finds route, tenant and service, or says why the call is refused.
// Nothing is denied on a configuration that may be out of date.
func (c *call) admit() *refusal {
	if c.view == nil {
		return unavailable("no configuration is known yet", startRetryAfter)
	}
	fresh := c.view.isFresh(c.gateway.now(), c.gateway.settings.ConfigLease)
	c.route = c.view.table.Match(c.caller.Host, path(c.caller))
	if c.route == nil {
		if !fresh {
			return unavailable("the configuration is not proved", staleRetryAfter)
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refused := c.authenticate(fresh); refused != nil {
		return refused
	}
	c.gateway.mutex.Lock()
	c.service = c.gateway.splitter.Pick(c.route)
	c.maxQueue = admission.DrawMaxQueue(c.route.LatencyTarget, c.rank(), c.gateway.random)
	c.gateway.mutex.Unlock()
	c.setDeadline()
	c.request = attempt.NewRequest(c.route.Repeatable(), attempt.Limits{MaxAttempts: max(c.route.MaxAttempts, 1), MaxRefusals: maxRefusals, MaxUnsent: maxUnsent})
	return nil
}

func (c *call) authenticate(fresh bool) *refusal {
	if c.route.Public || !c.view.table.NeedsKeys() {
		return nil
	}
	if !fresh {
		return unavailable("the configuration is not proved", staleRetryAfter)
	}
	c.tenant = c.view.table.Tenant(c.facts.Key)
	if c.tenant == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "the key is not known"}
	}
	return nil
}

func (c *call) setDeadline() {
	left := longestCall
	if c.route.Timeout > 0 {
		left = min(left, c.route.Timeout)
	}
	if c.facts.Deadline > 0 {
		left = min(left, c.facts.Deadline)
	}
	c.deadline = c.arrived.Add(left)
}

// readBody reads the whole body, so that it can be sent again. It returns gone
// when the caller has left.
func (c *call) readBody() (refused *refusal, gone bool) {
	limit := c.view.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.caller.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}, false
	}
	var err error
	if size := c.caller.ContentLength; size >= 0 {
		c.body = make([]byte, size)
		_, err = io.ReadFull(c.caller.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.caller.Body, limit+1))
	}
	if err != nil {
		c.gateway.log.Log(events.CallerDisconnected, events.Fields{"request": c.facts.ID, "while": "sending"})
		return nil, true
	}
	if int64(len(c.body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}, false
	}
	return nil, false
}

// serve sends the call to runners until one has answered it or nothing is left to try.
func (c *call) serve() {
	next := attempt.Dispatch
	for next == attempt.Dispatch {
		refusal := c.judgeContent()
		if c.gateway.until(c.deadline) <= 0 {
			// The context goes by the steady clock, and may not have ended yet.
			refusal = unavailable("the time is up", busyRetryAfter)
		}
		if refusal != nil {
			c.placing.abandon()
			c.request.Fail()
			c.giveUp(refusal)
			return
		}
		runner, refusal := c.pick()
		if refusal != nil {
			c.request.Fail()
			c.giveUp(refusal)
			return
		}
		c.runner = runner
		next = c.send()
	}
	c.finish()
}

// finish ends a call for which nothing more is tried.
func (c *call) finish() {
	if c.request.Phase() == attempt.Complete {
		c.logEnd(outcomeComplete)
		return
	}
	if !c.gateway.now().Before(c.deadline) {
		c.giveUp(unavailable("the time is up", busyRetryAfter))
		return
	}
	c.giveUp(unavailable("no runner is left to try", busyRetryAfter))
}

// left tells whether the caller has gone.
func (c *call) left() bool { return c.caller.Context().Err() != nil }

var errCallerLeft = errors.New("caller left")
