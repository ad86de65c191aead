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

// Requests reached runners after their router knew that these were leaving. A runner was
// chosen by what was known at that moment, and nothing was asked again until the first
// byte left: after the dial of a connection (450 ms at most, up to six in a row) on a
// machine that may be short of processor time. The tests hold the dial until the router
// knows better.

// heldDials holds back the connections that it is told to hold.
type heldDials struct {
	// hold tells whether a connection to the address is held back.
	hold func(address string) bool
	// waiting gets the address of each connection that is held back.
	waiting chan string
	// released is closed when they may come up.
	released chan struct{}
}

func holdDials(hold func(address string) bool) *heldDials {
	return &heldDials{hold: hold, waiting: make(chan string, 8), released: make(chan struct{})}
}

// holdFirstDial holds back the first connection to any runner.
func holdFirstDial() *heldDials {
	var held atomic.Bool
	return holdDials(func(string) bool { return held.CompareAndSwap(false, true) })
}

func (d *heldDials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.hold(address) {
		d.waiting <- address
		select {
		case <-d.released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// held waits for a connection that is held back and returns its runner.
func (f *fleet) held() *runnerstand.Runner {
	var address string
	f.g.Eventually(f.dials.waiting, 5*time.Second).Should(Receive(&address))
	found, _ := f.runners.Load(address)
	return found.(*runnerstand.Runner)
}

// unhurried is the time that calls have here, so that a busy machine ends none of them.
const unhurried = 20 * time.Second

func unhurriedRoutes() []map[string]any {
	routes := defaultRoutes()
	for _, route := range routes {
		route["timeout_ms"] = unhurried.Milliseconds()
	}
	return routes
}

// callUnhurried begins a call and returns where its answer comes.
func (r *router) callUnhurried(path string, change func(*http.Request)) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		answers <- r.call(path, func(request *http.Request) {
			if change != nil {
				change(request)
			}
			request.Header.Set(platform.HeaderDeadline, "20000")
		})
	}()
	return answers
}

// The call may run once only: that another runner gets it shows that nothing was sent.
func TestRunnerThatLeavesDuringTheDialGetsNothing(t *testing.T) {
	drains := func(f *fleet, r *runnerstand.Runner) { f.putEntry(r, "draining") }
	goes := func(f *fleet, r *runnerstand.Runner) { f.store.Remove(platform.KindServers, r.ID) }
	t.Run("draining", func(t *testing.T) { testLeavingDuringTheDial(t, drains, "runner changed state") })
	t.Run("gone", func(t *testing.T) { testLeavingDuringTheDial(t, goes, "runner removed") })
}

func testLeavingDuringTheDial(t *testing.T, leave func(*fleet, *runnerstand.Runner), logged string) {
	t.Parallel()
	f := newFleet(t)
	f.dials = holdFirstDial()
	f.configure(1, unhurriedRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.RetryShare, settings.RetryReserve = 0.001, 0.5 })
	answers := r.callUnhurried("/unsafe/x", nil)
	leaving := f.held()
	leave(f, leaving)
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring(logged))
	close(f.dials.released)
	var got answer
	f.g.Eventually(answers, unhurried).Should(Receive(&got))
	f.g.Expect(leaving.Arrivals()).To(BeZero())
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(runsOf(runners)).To(Equal(1), "without a budget for repeats")
}

// A runner refuses a request that names other weights than it has. Its only runner had
// taken new ones during the dial, which the router had learned by then: the refusal was
// no news, excluded the runner, and the caller was refused.
func TestWeightsReplacedDuringTheDialAreNotAskedFor(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.dials = holdFirstDial()
	f.configure(1, unhurriedRoutes(), goodKey)
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", nil)
	answers := r.callUnhurried("/once/x", nil)
	f.held()
	name(f, 2)
	f.g.Eventually(r.log.String, 10*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner's weights changed"))
	close(f.dials.released)
	var got answer
	f.g.Eventually(answers, unhurried).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(runner.Arrivals()).To(Equal(1))
	f.g.Expect(runner.Runs()[0].Header.Get(platform.HeaderExpectVersion)).To(Equal("2"))
}

// A copy is made where the stream began, so its runner may leave before it is needed.
func TestStreamDoesNotGoOnAtALeavingRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var copyAt atomic.Value
	f.dials = holdDials(func(address string) bool { return address == copyAt.Load() })
	f.configure(1, unhurriedRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", copyRuns)
	var got answer
	f.g.Eventually(r.callUnhurried("/once/x", longPrompt), unhurried).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	home, other := runners[0], runners[1]
	if homeOf(runners) == other {
		home, other = other, home
	}
	copyAt.Store(other.Address)
	home.BehaveOnce(runnerstand.Dies)
	answers := r.callUnhurried("/once/x", longPrompt)
	f.g.Expect(f.held()).To(BeIdenticalTo(other))
	f.putEntry(other, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	f.g.Eventually(answers, unhurried).Should(Receive(&got))
	f.g.Expect(other.Arrivals()).To(BeZero())
	f.g.Expect(got.truncated).To(BeTrue(), "nothing else may run it")
}

// statusOf returns what the router at the address believes.
func (f *fleet) statusOf(address string) gateway.Status {
	response, err := http.Get("http://" + address + gateway.StatusPath)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var status gateway.Status
	f.g.Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
	return status
}

// summaryOf returns what the router at the address thinks of a runner.
func (f *fleet) summaryOf(address, id string) backend.RunnerSummary {
	for _, runner := range f.statusOf(address).Runners {
		if runner.ID == id {
			return runner
		}
	}
	return backend.RunnerSummary{}
}

// The runner stays after all: what was not confirmed does not keep requests from it, as a
// dial that failed would.
func TestSendThatIsNotConfirmedIsNoEvidenceAgainstItsRunner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.dials = holdFirstDial()
	f.configure(1, unhurriedRoutes(), goodKey)
	f.runner("p1", "plain")
	f.runner("p2", "plain")
	figuresAt := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = figuresAt })
	answers := r.callUnhurried("/unsafe/x", nil)
	leaving := f.held()
	f.putEntry(leaving, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	f.g.Eventually(answers, unhurried).Should(Receive())
	f.g.Expect(r.log.String()).To(ContainSubstring("request not sent: its runner may not begin it any more"))
	state := func() string { return f.summaryOf(figuresAt, leaving.ID).State }
	f.putEntry(leaving, "ready")
	f.g.Eventually(state, 5*time.Second, 5*time.Millisecond).ShouldNot(Equal(backend.Draining.String()))
	f.g.Expect(state()).To(Equal(backend.Serving.String()))
	f.g.Expect(f.summaryOf(figuresAt, leaving.ID).FailureShare).To(BeZero())
	f.g.Expect(f.summaryOf(figuresAt, leaving.ID).InFlight).To(BeZero())
}

// One repeat is allowed. The first runner broke off, the second left during the dial: it
// was paid for and reached nobody, so that a third is within what is allowed.
func TestRepeatThatWasNotSentIsNotPaidForTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var dials atomic.Int32
	f.dials = holdDials(func(string) bool { return dials.Add(1) == 2 })
	f.configure(1, unhurriedRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain"), f.runner("p3", "plain")}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.RetryShare, settings.RetryReserve = 0.001, 1 })
	for _, runner := range runners {
		runner.Behave(runnerstand.Drops)
	}
	answers := r.callUnhurried("/safe/x", nil)
	leaving := f.held()
	f.g.Expect(runsOf(runners)).To(Equal(1))
	for _, runner := range runners {
		runner.Behave(runnerstand.Well)
	}
	f.putEntry(leaving, "draining")
	f.g.Eventually(r.log.String, 5*time.Second, 5*time.Millisecond).Should(ContainSubstring("runner changed state"))
	close(f.dials.released)
	var got answer
	f.g.Eventually(answers, unhurried).Should(Receive(&got))
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(leaving.Arrivals()).To(BeZero())
	f.g.Expect(runsOf(runners)).To(Equal(2))
}
