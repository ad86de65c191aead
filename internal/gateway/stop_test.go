package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// stopInBackground stops the router and returns a channel that is closed afterwards.
func (r *router) stopInBackground() <-chan struct{} {
	stopped := make(chan struct{})
	go func() { r.Stop(); close(stopped) }()
	return stopped
}

// Guards against calls that are cut without a response when the grace time of a stopping router ends.
func TestCallsAtTheEndOfTheGraceTimeAreAnswered(t *testing.T) {
	for path, status := range map[string]int{"/unsafe/x": http.StatusBadGateway, "/safe/x": http.StatusBadGateway, "/once/x": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("e1", "engines")}
			for _, runner := range runners {
				runner.SetBehaviour(runnerstand.Hangs)
			}
			r := f.servingRouter("r1", nil)
			f.g.Eventually(func() int { return len(r.Status().Runners) }).Should(Equal(2))
			responses := make(chan callResponse, 1)
			go func() { responses <- r.call(path, nil) }()
			f.g.Eventually(func() int { return totalRuns(runners) }).Should(Equal(1))
			stopped := r.stopInBackground()
			var got callResponse
			f.g.Eventually(responses, 2*time.Second).Should(Receive(&got))
			f.g.Expect(got.truncated).To(BeFalse())
			f.g.Expect(got.status).To(Equal(status), "the call may have run")
			f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
			f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
			f.g.Expect(r.loggedEvents(events.GatewayStopped)).To(ConsistOf(HaveKeyWithValue("cut", false)))
		})
	}
}

// Guards against streams that a stopping router cuts and logs as left by their callers.
func TestStreamsAtTheEndOfTheGraceTimeAreEndedByTheRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("e1", "engines").SetBehaviour(runnerstand.Pauses)
	r := f.servingRouter("r1", nil)
	connection := r.dial()
	r.writeCall(connection, "/once/x", 2500, wholeBody)
	_, err := bufio.NewReader(connection).ReadString('\n')
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Eventually(r.stopInBackground(), 2*time.Second).Should(BeClosed())
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(ConsistOf(And(HaveKeyWithValue("cause", "shutdown"), HaveKeyWithValue("level", "warning"))))
	f.g.Expect(r.loggedEvents(events.GatewayStopped)).To(ConsistOf(HaveKeyWithValue("cut", true)))
}

// Guards against a request whose body is still arriving when the router stops, and that gets no response.
func TestCallWithHalfABodyIsRefusedAtTheEndOfTheGraceTime(t *testing.T) {
	t.Parallel()
	f, r, runners := newPlainFleet(t)
	connection := r.dial()
	r.writeCall(connection, "/unsafe/x", 2500, "the")
	time.Sleep(50 * time.Millisecond)
	stopped := r.stopInBackground()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(totalRuns(runners)).To(BeZero())
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
}

// Guards against requests that a stopping router reads and drops: net/http does that with all that it reads once it
// shuts down.
func TestRequestsOnOpenConnectionsAreAnsweredDuringStop(t *testing.T) {
	t.Parallel()
	const connections = 80
	// answeredUntil is shortly before the router ends its calls, 600 ms after the beginning of its stop.
	const answeredUntil = 560 * time.Millisecond
	f, r, _ := newPlainFleet(t)
	opened := make([]net.Conn, connections)
	for i := range opened {
		opened[i] = r.dial()
	}
	stopped := r.stopInBackground()
	startedAt := time.Now()
	errs := make([]error, connections)
	var group sync.WaitGroup
	for i, connection := range opened {
		group.Go(func() {
			time.Sleep(time.Until(startedAt.Add(time.Duration(i) * 900 * time.Millisecond / connections)))
			r.writeCall(connection, "/safe/x", 2500, wholeBody)
			sentAfter := time.Since(startedAt)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			switch {
			case err == nil:
				response.Body.Close()
				if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
					errs[i] = fmt.Errorf("status %d after %v", response.StatusCode, sentAfter)
				}
			case sentAfter < answeredUntil:
				errs[i] = fmt.Errorf("no response after %v: %w", sentAfter, err)
			}
		})
	}
	group.Wait()
	f.g.Expect(errors.Join(errs...)).NotTo(HaveOccurred())
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
}

// Guards against a kept connection that a stopping router closes while it is reading a request.
func TestRequestThatIsBeingReadWhenConnectionsCloseIsAnswered(t *testing.T) {
	t.Parallel()
	f, r, runners := newPlainFleet(t)
	connection := r.dial()
	reader := bufio.NewReader(connection)
	r.writeCall(connection, "/unsafe/x", 2500, wholeBody)
	response, err := http.ReadResponse(reader, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	request := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\nAuthorization: Bearer %s\r\n\r\nthe body",
		platform.HeaderRequestID, newRequestID(), validKey)
	_, err = connection.Write([]byte(request[:40]))
	f.g.Expect(err).NotTo(HaveOccurred())
	stopped := r.stopInBackground()
	// Half of the grace time passes before the router closes idle connections.
	time.Sleep(600 * time.Millisecond)
	_, err = connection.Write([]byte(request[40:]))
	f.g.Expect(err).NotTo(HaveOccurred())
	response, err = http.ReadResponse(reader, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
	f.g.Expect(response.Close).To(BeTrue())
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
	f.g.Expect(totalRuns(runners)).To(BeNumerically(">=", 1))
}

// Guards against an egress router that reads a forwarded call while it stops and drops it: the ingress router could not
// tell whether it has run.
func TestForwardedCallIsAnsweredDuringStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	address := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, []string{address} })
	connection, err := net.Dial("tcp", address)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	_, err = io.WriteString(connection, "POST /forwarded-call HTTP/1.1\r\n")
	f.g.Expect(err).NotTo(HaveOccurred())
	stopped := r.stopInBackground()
	// Half of the grace time passes before the router closes its listeners.
	time.Sleep(550 * time.Millisecond)
	_, err = io.WriteString(connection, "Host: router\r\nContent-Length: 0\r\n\r\n")
	f.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.Header.Get("Clovertiller-Forward")).To(Equal("declined"))
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
}

// Guards against a stream that a stopping router begins, on a connection that an earlier stream kept open, and then cuts at the
// end of the grace time.
func TestStreamThatCannotEndBeforeTheStopIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.startRunner(runnerstand.Config{ID: "e1", Service: "engines", Model: modelName, Version: 1, EventCount: 15, EventInterval: 100 * time.Millisecond})
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.DrainGrace = 2 * time.Second })
	connection := r.dial()
	reader := bufio.NewReader(connection)
	r.writeCall(connection, "/stream/x", 2500, wholeBody)
	first, err := http.ReadResponse(reader, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	stopped := r.stopInBackground()
	_, err = io.Copy(io.Discard, first.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(first.Close).To(BeFalse(), "the connection is kept")
	r.writeCall(connection, "/stream/x", 2500, wholeBody)
	second, err := http.ReadResponse(reader, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, second.Body)
	f.g.Expect(err).NotTo(HaveOccurred(), "the response is whole")
	f.g.Expect(second.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(second.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Eventually(stopped, 3*time.Second).Should(BeClosed())
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
}

// lateCallFleet is a router whose calls end 1.6 s after the beginning of its stop, and runners that never answer.
func lateCallFleet(t *testing.T) (*fleet, *router, []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("e1", "engines")}
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Hangs)
	}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.DrainGrace = 2 * time.Second })
	r.awaitRunners(len(runners))
	return f, r, runners
}

// dialLate opens a connection to the stopping router of a lateCallFleet in its time for new requests, and returns it after that.
func (r *router) dialLate() net.Conn {
	time.Sleep(700 * time.Millisecond)
	connection := r.dial()
	time.Sleep(400 * time.Millisecond)
	return connection
}

// Guards against calls that a stopping router passes on late in its grace time and cuts at the end, although they may not be repeated.
func TestLateCallsThatMayOutlastTheStopAreRefused(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, r, runners := lateCallFleet(t)
			half := r.dial()
			stopped := r.stopInBackground()
			// The head of one call arrives in time, and its body late.
			r.writeCall(half, path, 2500, "the")
			whole := r.dialLate()
			r.writeCall(whole, path, 2500, wholeBody)
			_, err := io.WriteString(half, wholeBody[len("the"):])
			f.g.Expect(err).NotTo(HaveOccurred())
			for _, connection := range []net.Conn{whole, half} {
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				f.g.Expect(err).NotTo(HaveOccurred())
				response.Body.Close()
				f.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
				f.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
				f.g.Expect(response.Close).To(BeTrue(), "the caller returns over another connection")
			}
			f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
			f.g.Expect(totalRuns(runners)).To(BeZero())
			f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
		})
	}
}

// Guards against the same over an egress router.
func TestLateForwardedCallsThatMayOutlastTheStopAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	cut, _ := newCutRouter(f, 0)
	cut.awaitCut("/safe/x")
	runner.SetBehaviour(runnerstand.Hangs)
	before := totalRuns([]*runnerstand.Runner{runner})
	stopped := cut.stopInBackground()
	// The router's grace time is 1 s: it takes new requests for half of that and ends its calls after 0.6 s.
	time.Sleep(300 * time.Millisecond)
	connection := cut.dial()
	time.Sleep(220 * time.Millisecond)
	cut.writeCall(connection, "/unsafe/x", 2500, wholeBody)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
	f.g.Expect(totalRuns([]*runnerstand.Runner{runner})).To(Equal(before))
}

// Guards against late calls that are refused although they end before the router does.
func TestLateCallsThatEndBeforeTheStopAreServed(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, r, runners := lateCallFleet(t)
			for _, runner := range runners {
				runner.SetBehaviour(runnerstand.Normal)
			}
			stopped := r.stopInBackground()
			connection := r.dialLate()
			r.writeCall(connection, path, 400, wholeBody)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			f.g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
		})
	}
}
