package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/wire"
	"github.com/clovertiller/clovertiller/platform"
)

// newCutRouter starts routers of which the first reaches no runner: a seed, as many others as asked for, and
// the cut one. The others are returned with the seed first.
func newCutRouter(f *fleet, others int) (cut *router, healthy []*router) {
	seed := loopback.FreeAddress()
	start := func(name, address string) *router {
		f.links = newRunnerLinks(f)
		return f.servingRouter(name, func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds = address, []string{seed}
		})
	}
	healthy = append(healthy, start("seed", seed))
	for i := range others {
		healthy = append(healthy, start(fmt.Sprint("other", i), loopback.FreeAddress()))
	}
	cut = start("cut", loopback.FreeAddress())
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Log(cut.log.String())
		}
	})
	f.g.Eventually(func() int { return len(cut.Status().EgressRouters) }, 2*time.Second, 10*time.Millisecond).Should(Equal(len(healthy)))
	return cut, healthy
}

// awaitCut cuts the links of the router and waits until it forwards calls to the service of the path.
func (r *router) awaitCut(path string) {
	r.links.set(linksReset)
	r.fleet.g.Eventually(func() []gateway.PathStatus {
		r.call(path, nil)
		return r.Status().ImpairedPaths
	}, 2*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
}

// Guards against a second run of a call that can't be repeated, when its egress router is lost after it has
// sent the call to a runner.
func TestUnsafeCallIsNotRepeatedWhenEgressRouterFails(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	cut, healthy := newCutRouter(f, 1)
	cut.awaitCut("/safe/x")
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Hangs)
	}
	before := totalRuns(runners)
	got := make(chan callResponse, 1)
	go func() { got <- cut.call("/unsafe/x", nil) }()
	f.g.Eventually(func() int { return totalRuns(runners) }, time.Second, 5*time.Millisecond).Should(Equal(before + 1))
	for _, r := range healthy {
		r.Kill()
	}
	var response callResponse
	f.g.Eventually(got, 3*time.Second).Should(Receive(&response))
	f.g.Expect(response.status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusGatewayTimeout)), "a status that doesn't promise that the call has not run")
	f.g.Expect(totalRuns(runners)).To(Equal(before + 1))
}

// Guards against runners that work on the call of a caller that has left, two routers away.
func TestCallerThatLeavesEndsForwardedCall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	cut, _ := newCutRouter(f, 0)
	cut.awaitCut("/safe/x")
	runner.SetBehaviour(runnerstand.Hangs)
	before := len(runner.Runs())
	ctx, cancel := context.WithCancel(context.Background())
	go cut.callWithContext(ctx, "/safe/x", nil)
	f.g.Eventually(func() int { return len(runner.Runs()) }, time.Second, 5*time.Millisecond).Should(Equal(before + 1))
	cancel()
	f.g.Eventually(runner.Runs()[before].Finished, 400*time.Millisecond).Should(BeClosed())
}

// Guards against calls that travel between routers which all reach no runner, and against callers that
// wait for what can't be served.
func TestCallIsRefusedAtOnceWhenAllRoutersAreCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	f.runner("p2", "plain")
	cut, healthy := newCutRouter(f, 1)
	for _, r := range append(healthy, cut) {
		r.awaitCut("/safe/x")
	}
	before := runner.ArrivalCount()
	for range 20 {
		got := cut.call("/unsafe/x", nil)
		f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		f.g.Expect(got.duration).To(BeNumerically("<", 400*time.Millisecond))
	}
	f.g.Expect(runner.ArrivalCount()).To(Equal(before))
	for _, r := range append(healthy, cut) {
		r.links.set(linksHealthy)
	}
	f.g.Eventually(func() int { return cut.call("/safe/x", nil).status }, 3*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
}

// Guards against a stream that breaks off with its egress router although it can be resumed.
func TestStreamContinuesAtAnotherEgressRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	cut, healthy := newCutRouter(f, 2)
	cut.awaitCut("/stream/x")
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Pauses)
	}
	before := totalRuns(runners)
	got := cut.callWithLongTimeout("/stream/x", nil)
	f.g.Eventually(func() int { return totalRuns(runners) }, time.Second, 5*time.Millisecond).Should(Equal(before + 1))
	time.Sleep(100 * time.Millisecond)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Normal)
	}
	serving := slices.IndexFunc(healthy, func(r *router) bool { return r.Status().ForwardedOpen > 0 })
	f.g.Expect(serving).To(BeNumerically(">=", 0))
	healthy[serving].Kill()
	var response callResponse
	f.g.Eventually(got, 3*time.Second).Should(Receive(&response))
	f.g.Expect(response.truncated).To(BeFalse())
	f.g.Expect(response.body).To(Equal("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"))
}

// Guards against a promise that a call has not run which the egress router did not make, and against
// refusals without the moment to come back.
func TestRefusalOfEgressRouterIsPassedOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	cut, _ := newCutRouter(f, 0)
	cut.awaitCut("/safe/x")
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Sheds)
	}
	got := cut.call("/unsafe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(got.header.Get("Clovertiller-Forward")).To(BeEmpty(), "headers between routers are not for callers")
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Fails)
	}
	f.g.Eventually(func() int { return cut.call("/unsafe/x", nil).status }, 2*time.Second, 50*time.Millisecond).Should(Equal(http.StatusInternalServerError), "the runner's own failure")
}

// Guards against calls that differ behind the second router from what their callers sent, and against callers
// that can crash the first one by bytes which are no text.
func TestForwardedCallIsUnchanged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	cut, _ := newCutRouter(f, 0)
	cut.awaitCut("/safe/x")
	got := cut.call("/safe/a%20b?x=1&y", func(request *http.Request) {
		request.Header.Set("X-Own", "kept \xe9\xff")
		request.Header.Add("X-Twice", "one")
		request.Header.Add("X-Twice", "two")
	})
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	runs := runner.Runs()
	run := runs[len(runs)-1]
	f.g.Expect(got.body).To(Equal("answer to " + run.RequestID))
	f.g.Expect(run.Path).To(Equal("/safe/a%20b?x=1&y"))
	f.g.Expect(run.Body).To(Equal("the body"))
	f.g.Expect(run.Header["X-Own"]).To(Equal([]string{"kept \xe9\xff"}))
	f.g.Expect(run.Header["X-Twice"]).To(Equal([]string{"one", "two"}))
	f.g.Expect(run.Header.Get("Authorization")).To(BeEmpty())
}

// Guards against a router that stops while it is sent calls of others.
func TestDrainingRouterDeclinesForwardedCalls(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	cut, healthy := newCutRouter(f, 1)
	cut.awaitCut("/safe/x")
	go healthy[1].Stop()
	for range 20 {
		f.g.Expect(cut.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against limits that are charged at both routers.
func TestForwardedCallIsChargedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	const rate, seconds = 40, 2
	f.store.Put(configKind, configName, limitedConfig(1, map[string]any{"rate_per_s": rate, "burst": 2}))
	f.runner("p1", "plain")
	cut, _ := newCutRouter(f, 1)
	cut.awaitCut("/safe/x")
	served := 0
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); {
		if cut.call("/safe/x", nil).status == http.StatusOK {
			served++
		}
	}
	f.g.Expect(served).To(BeNumerically(">=", 0.75*rate*seconds), "half of it if each call were charged twice")
	f.g.Expect(cut.log.String()).To(ContainSubstring("request forwarded to another router"))
}

// The history of a forwarded call names both routers.
func TestForwardedCallIsLoggedAtBothRouters(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	cut, healthy := newCutRouter(f, 0)
	cut.awaitCut("/safe/x")
	f.g.Expect(cut.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.g.Eventually(healthy[0].log.String, time.Second).Should(ContainSubstring(`"ingress":"cut"`))
	f.g.Eventually(cut.log.String, time.Second).Should(ContainSubstring(`"egress":"` + cut.seeds[0] + `"`))
	f.g.Expect(strings.Count(cut.log.String(), `"state":"cut"`)).To(Equal(1), "the change of state is logged once")
}

// Guards against calls that are lost on kept connections to an egress router which fell silent without a reset,
// while new ones work.
func TestForwardedCallsSurviveSilentConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	bind := loopback.FreeAddress()
	proxy := f.proxyTo(bind)
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.PeerBindAddress, settings.Seeds = proxy.Address, bind, []string{proxy.Address}
	})
	f.links = newRunnerLinks(f)
	cut := f.servingRouter("cut", f.followerSettings([]string{proxy.Address}))
	f.g.Eventually(func() int { return len(cut.Status().EgressRouters) }, 2*time.Second, 10*time.Millisecond).Should(Equal(1))
	cut.awaitCut("/safe/x")
	f.g.Expect(cut.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	proxy.SetMode(faultproxy.MuteExisting)
	f.g.Expect(cut.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
}

// Guards against an egress router that takes the end of a forwarded call's time for a caller that left.
func TestForwardedCallWhoseTimeIsUpIsAnswered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain").SetBehaviour(runnerstand.Hangs)
	address := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = address, []string{address} })
	body, err := proto.Marshal(&wire.ForwardedCall{
		Method: http.MethodPost, Target: []byte("/public/x"), Host: []byte("h.example"), Body: []byte("the body"), Service: "plain", LeftMillis: 200, AttemptsLeft: 1, From: "ingress",
		Headers: []*wire.HeaderField{{Name: platform.HeaderRequestID, Values: [][]byte{[]byte(newRequestID())}}},
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+"/forwarded-call", "", bytes.NewReader(body))
	f.g.Expect(err).NotTo(HaveOccurred(), "the call is answered")
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	f.g.Expect(response.Header.Get("Clovertiller-Forward")).To(Equal("failed"))
	f.g.Expect(r.loggedEvents(events.RequestEnded)).To(ConsistOf(HaveKeyWithValue("outcome", "unknown")))
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
}
