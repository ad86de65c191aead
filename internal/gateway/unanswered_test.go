package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// loggedEvents returns the fields of the router's log lines of the event.
func (r *router) loggedEvents(event events.Event) (lines []map[string]any) {
	for text := range strings.Lines(r.log.String()) {
		fields := map[string]any{}
		r.fleet.g.Expect(json.Unmarshal([]byte(text), &fields)).To(Succeed())
		if fields["event"] == float64(event.Number) {
			lines = append(lines, fields)
		}
	}
	return lines
}

// dial opens a connection to the router.
func (r *router) dial() net.Conn {
	connection, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.t.Cleanup(func() { connection.Close() })
	return connection
}

// writeCall writes a request with a body of eight bytes, of which bodyText may be a part, to the connection.
func (r *router) writeCall(connection net.Conn, path string, deadlineMillis int, bodyText string) {
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n%s",
		path, platform.HeaderRequestID, newRequestID(), platform.HeaderModel, modelName, platform.HeaderDeadlineMillis, deadlineMillis, validKey, bodyText)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
}

// withDeadline sets the time of a call.
func withDeadline(millis int) func(*http.Request) {
	return func(request *http.Request) {
		request.Header.Set(platform.HeaderDeadlineMillis, strconv.Itoa(millis))
	}
}

const wholeBody = "the body"

// unreadBody is the length of a response that does not fit into the buffers of a connection.
const unreadBody = 10 << 20

const writeTimedOut = "write timed out"

// unansweredCase is a way in which a request ends without a complete response.
type unansweredCase struct {
	cause, level string
	// play makes one request end in this way.
	play func(f *fleet, r *router)
}

// bodyBytes is the length of the responses of the plain runner.
func (c unansweredCase) bodyBytes() int {
	if c.cause == writeTimedOut {
		return unreadBody
	}
	return longBody
}

var unansweredCases = map[string]unansweredCase{
	"half a body": {"caller left while sending", "info", func(f *fleet, r *router) {
		connection := r.dial()
		r.writeCall(connection, "/safe/x", 2500, "the")
		connection.Close()
	}},
	"left before the response": {"caller left while waiting", "info", func(f *fleet, r *router) {
		runner := f.runnerByID("p1")
		runner.SetBehaviour(runnerstand.Hangs)
		connection := r.dial()
		r.writeCall(connection, "/unsafe/x", 2500, wholeBody)
		f.g.Eventually(runner.ArrivalCount).Should(Equal(1))
		connection.Close()
	}},
	"left within a stream": {"caller left while responding", "info", func(f *fleet, r *router) {
		f.runnerByID("e1").SetBehaviour(runnerstand.Pauses)
		connection := r.dial()
		r.writeCall(connection, "/once/x", 2500, wholeBody)
		_, err := bufio.NewReader(connection).ReadString('\n')
		f.g.Expect(err).NotTo(HaveOccurred())
		connection.Close()
	}},
	"runner lost within a stream": {"stream broken off", "warning", func(f *fleet, r *router) {
		f.runnerByID("e1").SetCut(&runnerstand.Cut{AfterEvents: 2, Ending: runnerstand.EndsWithClose})
		f.g.Expect(r.call("/once/x", nil).truncated).To(BeTrue())
	}},
	"runner lost within a long response": {"long response broken off", "warning", func(f *fleet, r *router) {
		f.runnerByID("p1").SetCut(&runnerstand.Cut{Bytes: longBody - 10, Ending: runnerstand.EndsWithClose})
		f.g.Expect(r.call("/unsafe/x", nil).truncated).To(BeTrue())
	}},
	"stream longer than its time": {"time up", "warning", func(f *fleet, r *router) {
		f.runnerByID("e1").SetBehaviour(runnerstand.Pauses)
		f.g.Expect(r.call("/once/x", withDeadline(300)).truncated).To(BeTrue())
	}},
	"response not read": {writeTimedOut, "warning", func(f *fleet, r *router) {
		r.writeCall(r.dial(), "/unsafe/x", 2900, wholeBody)
	}},
}

// Guards against requests that end without a response and leave no line in the log or a wrong cause.
func TestUnansweredRequestIsLoggedOnceWithItsCause(t *testing.T) {
	for name, tc := range unansweredCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(3, defaultRoutes(), validKey)
			f.startRunner(runnerstand.Config{ID: "p1", Service: "plain", BodyBytes: tc.bodyBytes()})
			f.runner("e1", "engines")
			address := loopback.FreeAddress()
			r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = address })
			f.t.Cleanup(func() {
				if f.t.Failed() {
					f.t.Log(r.log.String())
				}
			})
			f.g.Eventually(func() int { return len(r.Status().Runners) }).Should(Equal(2))
			tc.play(f, r)
			f.g.Eventually(func() []map[string]any { return r.loggedEvents(events.RequestUnanswered) }, 8*time.Second).Should(HaveLen(1))
			time.Sleep(50 * time.Millisecond)
			lines := r.loggedEvents(events.RequestUnanswered)
			f.g.Expect(lines).To(HaveLen(1))
			f.g.Expect(lines[0]).To(And(
				HaveKeyWithValue("cause", tc.cause), HaveKeyWithValue("level", tc.level), HaveKeyWithValue("config", 3.0),
				HaveKey("config_age_ms"), HaveKey("request"), HaveKey("route"), HaveKey("service"), HaveKey("runner"), HaveKey("ms"), HaveKeyWithValue("detail", Not(BeEmpty())),
			))
			f.g.Expect(scrapeMetrics(f.g, address)).To(HaveKeyWithValue(fmt.Sprintf("clovertiller_unanswered_requests_total{cause=%q}", tc.cause), 1.0))
		})
	}
}

// Guards against callers that leave before their request is read and are missing in the log.
func TestCallerThatLeavesUnreadIsLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.routerWithStoreFault("r1", func(settings *gateway.Settings) { settings.StartWait = 900 * time.Millisecond }, storestand.Busy)
	r.sendAndDisconnect("/public/x")
	time.Sleep(100 * time.Millisecond)
	r.storeEndpoint.SetFault(storestand.Healthy)
	f.g.Eventually(func() []map[string]any { return r.loggedEvents(events.RequestUnanswered) }, 2*time.Second).
		Should(ConsistOf(HaveKeyWithValue("cause", "caller left unread")))
}

// Guards against a response that is taken for delivered although the connection had ended.
func TestUnwrittenResponseIsLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	runner.SetBehaviour(runnerstand.Delays)
	r := f.servingRouter("r1", nil)
	connection := r.dial()
	r.writeCall(connection, "/unsafe/x", 2500, wholeBody)
	f.g.Eventually(runner.ArrivalCount).Should(Equal(1))
	// Once the first byte of another request has arrived, net/http does not notice that the connection ends.
	_, err := connection.Write([]byte("P"))
	f.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	f.g.Expect(connection.(*net.TCPConn).SetLinger(0)).To(Succeed())
	connection.Close()
	f.g.Eventually(func() []map[string]any { return r.loggedEvents(events.RequestUnanswered) }, 2*time.Second).
		Should(ConsistOf(HaveKeyWithValue("cause", "caller left while responding")))
	f.g.Expect(r.loggedEvents(events.RequestEnded)).To(ConsistOf(HaveKeyWithValue("outcome", "caller left")))
}

// Guards against egress routers that are taken for busy for good after a long response of theirs broke off.
func TestForwardedCallEndsWhenItsLongResponseBreaksOff(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.startRunner(runnerstand.Config{ID: "p1", Service: "plain", BodyBytes: longBody})
	cut, _ := newCutRouter(f, 1)
	cut.awaitCut("/safe/x")
	runner.SetCut(&runnerstand.Cut{Bytes: longBody - 10, Ending: runnerstand.EndsWithClose})
	f.g.Expect(cut.call("/unsafe/x", nil).truncated).To(BeTrue())
	f.g.Eventually(func() []map[string]any { return cut.loggedEvents(events.RequestUnanswered) }).
		Should(ConsistOf(HaveKeyWithValue("cause", "long response broken off")))
	request := cut.loggedEvents(events.RequestUnanswered)[0]["request"]
	f.g.Expect(cut.loggedEvents(events.CallForwarded)).To(ContainElement(And(HaveKeyWithValue("request", request), HaveKeyWithValue("result", "unreachable"))))
}

// Guards against bodies that stop arriving and are waited for without end.
func TestBodyThatStopsGetsAnEnd(t *testing.T) {
	t.Parallel()
	f, r, runners := newPlainFleet(t)
	connection := r.dial()
	r.writeCall(connection, "/unsafe/x", 300, "the")
	_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(response.Close).To(BeTrue())
	f.g.Expect(totalRuns(runners)).To(BeZero())
}
