package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/platform"
)

// brokenProtocol panics once where it is set to.
type brokenProtocol struct {
	platform.Protocol
	inParse, inForward, inResponse, inEvent atomic.Bool
}

func panicOnce(armed *atomic.Bool) {
	if armed.CompareAndSwap(true, false) {
		panic("broken protocol")
	}
}

func (p *brokenProtocol) ParseRequest(header http.Header) gateway.RequestInfo {
	panicOnce(&p.inParse)
	return p.Protocol.ParseRequest(header)
}

func (p *brokenProtocol) ForwardHeaders(caller http.Header, dispatch gateway.Dispatch) http.Header {
	panicOnce(&p.inForward)
	return p.Protocol.ForwardHeaders(caller, dispatch)
}

func (p *brokenProtocol) ResponseHeaders(runner http.Header) http.Header {
	panicOnce(&p.inResponse)
	return p.Protocol.ResponseHeaders(runner)
}

func (p *brokenProtocol) EventWeightVersion(event []byte) (uint64, bool) {
	panicOnce(&p.inEvent)
	return p.Protocol.EventWeightVersion(event)
}

// Guards against callers whose connection closes without a response because of a panic, and against panics that leave
// a runner's slot taken or the router's lock held.
func TestPanicInHandlerIsAnswered(t *testing.T) {
	for name, arm := range map[string]func(*brokenProtocol){
		"before the call is sent": func(p *brokenProtocol) { p.inForward.Store(true) },
		"before the response":     func(p *brokenProtocol) { p.inResponse.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			protocol := &brokenProtocol{}
			f.protocol = protocol
			f.configure(1, defaultRoutes(), validKey)
			f.runner("p1", "plain")
			address := loopback.FreeAddress()
			r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = address })
			arm(protocol)
			got := r.call("/unsafe/x", nil)
			f.g.Expect(got.truncated).To(BeFalse())
			f.g.Expect(got.status).To(Equal(http.StatusInternalServerError))
			f.g.Expect(got.header.Get("Retry-After")).To(BeEmpty(), "the call may have run")
			f.g.Expect(r.loggedEvents(events.HandlerPanicked)).To(ConsistOf(And(
				HaveKeyWithValue("panic", "broken protocol"), HaveKeyWithValue("stack", ContainSubstring("panicOnce")), HaveKeyWithValue("answered", true), HaveKeyWithValue("level", "error"),
			)))
			f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
			f.g.Expect(scrapeMetrics(f.g, address)).To(HaveKeyWithValue(`clovertiller_handler_panics_total{answered="yes"}`, 1.0))
			f.g.Expect(r.Status().Runners[0].InFlight).To(BeZero())
			f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK), "the router serves on")
		})
	}
}

// Guards against a stream that looks complete although its handler panicked, and against such an end without a line.
func TestPanicWithinStreamAbortsIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	protocol := &brokenProtocol{}
	f.protocol = protocol
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	r := f.servingRouter("r1", nil)
	protocol.inEvent.Store(true)
	f.g.Expect(r.call("/once/x", nil).truncated).To(BeTrue())
	f.g.Eventually(func() []map[string]any { return r.loggedEvents(events.RequestUnanswered) }).Should(ConsistOf(HaveKeyWithValue("cause", "panic")))
	f.g.Expect(r.loggedEvents(events.HandlerPanicked)).To(ConsistOf(HaveKeyWithValue("answered", false)))
	f.g.Eventually(func() int { return r.Status().Runners[0].InFlight }).Should(BeZero())
	f.g.Expect(r.call("/once/x", nil).truncated).To(BeFalse())
}

// Guards against lines of net/http that bypass the log, such as that of a panic before the call is known.
func TestServerErrorsAreLoggedAsEvents(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	protocol := &brokenProtocol{}
	f.protocol = protocol
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	protocol.inParse.Store(true)
	f.g.Expect(r.call("/unsafe/x", nil).truncated).To(BeTrue())
	f.g.Eventually(func() []map[string]any { return r.loggedEvents(events.ServerError) }, time.Second).
		Should(ContainElement(And(HaveKeyWithValue("server", "callers"), HaveKeyWithValue("error", ContainSubstring("broken protocol")))))
}
