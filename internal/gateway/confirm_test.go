package gateway_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// The tests in this file check that a request is not sent to a runner that its router has learned
// to be leaving. The runner was chosen, and nothing was checked again until the first byte was
// sent. In between, the router may dial a connection (at most 450 ms, up to six times in a row) and
// wait for CPU time. The tests block the dial until the router has learned of the change.

// dialBlocker dials connections and blocks selected dials until released is closed.
type dialBlocker struct {
	// shouldBlock reports whether a dial to the address is blocked.
	shouldBlock func(address string) bool
	// blocked receives the address of each blocked dial.
	blocked chan string
	// released is closed to let the blocked dials continue.
	released chan struct{}
}

func newDialBlocker(shouldBlock func(address string) bool) *dialBlocker {
	return &dialBlocker{shouldBlock: shouldBlock, blocked: make(chan string, 8), released: make(chan struct{})}
}

// blockFirstDial blocks only the first dial to any runner.
func blockFirstDial() *dialBlocker {
	var done atomic.Bool
	return newDialBlocker(func(string) bool { return done.CompareAndSwap(false, true) })
}

func (d *dialBlocker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.shouldBlock(address) {
		d.blocked <- address
		select {
		case <-d.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// awaitBlockedDial waits until a dial is blocked and returns its runner.
func (f *fleet) awaitBlockedDial() *runnerstand.Runner {
	var address string
	f.g.Eventually(f.dials.blocked, 5*time.Second).Should(Receive(&address))
	value, _ := f.runners.Load(address)
	return value.(*runnerstand.Runner)
}

// longTimeout is a timeout for calls that does not expire even on a busy machine.
const longTimeout = 20 * time.Second

// routesWithLongTimeout returns the default routes with longTimeout.
func routesWithLongTimeout() []map[string]any {
	routes := defaultRoutes()
	for _, route := range routes {
		route["timeout_ms"] = longTimeout.Milliseconds()
	}
	return routes
}

// callWithLongTimeout starts a call and returns the channel that receives its response.
func (r *router) callWithLongTimeout(path string, change func(*http.Request)) <-chan callResponse {
	responses := make(chan callResponse, 1)
	go func() {
		responses <- r.call(path, func(request *http.Request) {
			if change != nil {
				change(request)
			}
			request.Header.Set(platform.HeaderDeadlineMillis, "20000")
		})
	}()
	return responses
}

// The call may run only once, so if another runner gets it, nothing was sent to the first one.
func TestRunnerThatLeavesDuringDialGetsNoCalls(t *testing.T) {
	drain := func(f *fleet, r *runnerstand.Runner) { f.putEntry(r, "draining") }
	remove := func(f *fleet, r *runnerstand.Runner) { f.store.Delete(platform.KindRunners, r.ID) }
	t.Run("draining", func(t *testing.T) { testRunnerLeavesDuringDial(t, drain, "runner changed state") })
	t.Run("removed", func(t *testing.T) { testRunnerLeavesDuringDial(t, remove, "runner removed") })
}

// testRunnerLeavesDuringDial blocks the dial to a runner, makes the runner leave, and checks that
// the call goes to the other runner. wantLog is what the router logs once it knows.
func testRunnerLeavesDuringDial(t *testing.T, leave func(*fleet, *runnerstand.Runner), wantLog string) {
	t.Parallel()
	f := newFleet(t)
	f.dials = blockFirstDial()
	f.configure(1, routesWithLongTimeout(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.RetryShare, settings.RetryReserve = 0.001, 0.5 })
	responses := r.callWithLongTimeout("/unsafe/x", nil)
	leaving := f.awaitBlockedDial()
	leave(f, leaving)
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring(wantLog))
	close(f.dials.released)
	var got callResponse
	f.g.Eventually(responses, longTimeout).Should(Receive(&got))
	f.g.Expect(leaving.ArrivalCount()).To(BeZero())
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(totalRuns(runners)).To(Equal(1), "the second attempt must not need a retry budget")
}

// A runner refuses a request that names a weight version other than its own. If the service's only
// runner loads new weights during the dial and the router learns of it, the request must name the
// new version. It named the old one: the refusal then contained nothing new for the router and
// excluded the runner, and the caller was refused.
func TestRequestNamesWeightsLoadedDuringDial(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.dials = blockFirstDial()
	f.configure(1, routesWithLongTimeout(), validKey)
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", nil)
	responses := r.callWithLongTimeout("/once/x", nil)
	f.awaitBlockedDial()
	nameWeights(f, 2)
	f.g.Eventually(r.log.String, 10*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner's weights changed"))
	close(f.dials.released)
	var got callResponse
	f.g.Eventually(responses, longTimeout).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(runner.ArrivalCount()).To(Equal(1))
	f.g.Expect(runner.Runs()[0].Header.Get(platform.HeaderExpectWeightVersion)).To(Equal("2"))
}

// The runner for the copy is chosen when the stream begins, so it may be leaving by the time the
// copy is needed.
func TestStreamDoesNotContinueOnLeavingRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var backupAddress atomic.Value
	f.dials = newDialBlocker(func(address string) bool { return address == backupAddress.Load() })
	f.configure(1, routesWithLongTimeout(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", enableRunCopies)
	var got callResponse
	f.g.Eventually(r.callWithLongTimeout("/once/x", withLongPrompt), longTimeout).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	preferred, backup := runners[0], runners[1]
	if preferredRunner(runners) == backup {
		preferred, backup = backup, preferred
	}
	backupAddress.Store(backup.Address)
	preferred.SetBehaviourOnce(runnerstand.Terminates)
	responses := r.callWithLongTimeout("/once/x", withLongPrompt)
	f.g.Expect(f.awaitBlockedDial()).To(BeIdenticalTo(backup))
	f.putEntry(backup, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	f.g.Eventually(responses, longTimeout).Should(Receive(&got))
	f.g.Expect(backup.ArrivalCount()).To(BeZero())
	f.g.Expect(got.truncated).To(BeTrue(), "no other runner may run it")
}

// fetchStatus returns the status of the router at the address.
func (f *fleet) fetchStatus(address string) gateway.Status {
	response, err := http.Get("http://" + address + gateway.StatusPath)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var status gateway.Status
	f.g.Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
	return status
}

// fetchRunnerSummary returns the runner's summary from the status of the router at the address.
func (f *fleet) fetchRunnerSummary(address, id string) backend.RunnerSummary {
	for _, runner := range f.fetchStatus(address).Runners {
		if runner.ID == id {
			return runner
		}
	}
	return backend.RunnerSummary{}
}

// A send that was not confirmed must not count as a failure of its runner, unlike a failed dial.
// Otherwise the runner would get no requests for a while although it stays in service.
func TestUnconfirmedSendDoesNotCountAgainstRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.dials = blockFirstDial()
	f.configure(1, routesWithLongTimeout(), validKey)
	f.runner("p1", "plain")
	f.runner("p2", "plain")
	metricsAddress := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = metricsAddress })
	responses := r.callWithLongTimeout("/unsafe/x", nil)
	leaving := f.awaitBlockedDial()
	f.putEntry(leaving, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	f.g.Eventually(responses, longTimeout).Should(Receive())
	f.g.Expect(r.log.String()).To(ContainSubstring("request not sent: its runner may not begin it any more"))
	state := func() string { return f.fetchRunnerSummary(metricsAddress, leaving.ID).State }
	f.putEntry(leaving, "ready")
	f.g.Eventually(state, 5*time.Second, 5*time.Millisecond).ShouldNot(Equal(backend.Draining.String()))
	f.g.Expect(state()).To(Equal(backend.Serving.String()))
	f.g.Expect(f.fetchRunnerSummary(metricsAddress, leaving.ID).FailureShare).To(BeZero())
	f.g.Expect(f.fetchRunnerSummary(metricsAddress, leaving.ID).InFlight).To(BeZero())
}

// The budget allows one retry. The first runner drops the connection, and the second one leaves
// during the dial. That retry was charged but not sent, so the attempt at the third runner must
// not be charged again.
func TestUnsentRetryIsChargedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var dials atomic.Int32
	f.dials = newDialBlocker(func(string) bool { return dials.Add(1) == 2 })
	f.configure(1, routesWithLongTimeout(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain"), f.runner("p3", "plain")}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.RetryShare, settings.RetryReserve = 0.001, 1 })
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Drops)
	}
	responses := r.callWithLongTimeout("/safe/x", nil)
	leaving := f.awaitBlockedDial()
	f.g.Expect(totalRuns(runners)).To(Equal(1))
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Normal)
	}
	f.putEntry(leaving, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	var got callResponse
	f.g.Eventually(responses, longTimeout).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(leaving.ArrivalCount()).To(BeZero())
	f.g.Expect(totalRuns(runners)).To(Equal(2))
}
