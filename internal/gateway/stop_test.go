package gateway_test

import (
	"bufio"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
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

// Guards against requests on kept connections that a stopping router reads and does not answer: it may close a connection
// only before it has read the request.
func TestRequestsOnKeptConnectionsAreAnsweredDuringStop(t *testing.T) {
	t.Parallel()
	const connections = 60
	f, r, _ := newPlainFleet(t)
	r.call("/safe/x", nil)
	stopped := r.stopInBackground()
	startedAt := time.Now()
	var group sync.WaitGroup
	for i := range connections {
		connection := r.dial()
		group.Go(func() {
			reader := bufio.NewReader(connection)
			time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / connections)))
			r.writeCall(connection, "/safe/x", 2500, wholeBody)
			if response, err := http.ReadResponse(reader, nil); err == nil {
				response.Body.Close()
				f.g.Expect(response.StatusCode).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway))
			}
		})
	}
	group.Wait()
	f.g.Eventually(stopped, 2*time.Second).Should(BeClosed())
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
}
