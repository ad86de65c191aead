package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// All open connections to a runner went silent without a reset, while new ones worked. Each call
// was sent on another idle connection, which was silent as well, and waited there until its
// deadline. As many calls were lost as there were idle connections, although the first call had
// shown that nothing came back.
func TestFewCallsAreLostOnSilentIdleConnections(t *testing.T) {
	t.Parallel()
	const (
		idle     = 6
		interval = 300 * time.Millisecond
		// detectionTime is the time within which the router notices the silence.
		detectionTime = 1500 * time.Millisecond
	)
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner, proxy := f.runnerBehindProxy("p1")
	r := f.servingRouter("r1", nil)
	f.openIdleConnections(r, runner, idle)
	proxy.SetMode(faultproxy.MuteExisting)
	statuses := callConcurrently(r, 3*idle, interval)
	f.g.Expect(statuses[int(detectionTime/interval):]).To(HaveEach(http.StatusOK), "%v", statuses)
}

// All connections of a machine went silent at once. Those to other routers are probed all the time
// and show it first.
func TestSilentRouterConnectionClosesIdleRunnerConnections(t *testing.T) {
	t.Parallel()
	const (
		idle     = 16
		interval = 50 * time.Millisecond
		// maxRounds bounds the attempts. A round fails on a machine that is too busy to open a new
		// connection within 50 ms, which is how a lost connection is distinguished from a slow
		// router.
		maxRounds = 4
	)
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner, runnerProxy := f.runnerBehindProxy("p1")
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress = loopback.FreeAddress()
		settings.Seeds = []string{settings.PeerAddress}
	})
	seedProxy, err := faultproxy.Start(seed.seeds[0])
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(seedProxy.Close)
	r := f.servingRouter("r1", f.followerSettings([]string{seedProxy.Address}))
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(r.log.String())
		}
	})
	detected := func() bool { return strings.Contains(r.log.String(), "connection to another router was lost") }
	for round := 0; round < maxRounds && !detected(); round++ {
		time.Sleep(5 * time.Second) // silence on a younger connection counts as a slow router
		f.openIdleConnections(r, runner, idle)
		seedProxy.SetMode(faultproxy.MuteExisting)
		runnerProxy.SetMode(faultproxy.MuteExisting)
		for start := time.Now(); time.Since(start) < time.Second && !detected(); {
			time.Sleep(time.Millisecond)
		}
	}
	f.g.Expect(detected()).To(BeTrue())
	f.g.Expect(callConcurrently(r, idle, interval)).To(HaveEach(http.StatusOK))
}

// runnerBehindProxy starts a runner that is listed with the address of a proxy.
func (f *fleet) runnerBehindProxy(id string) (*runnerstand.Runner, *faultproxy.Proxy) {
	runner := f.runner(id, "plain")
	return runner, f.listBehindProxy(runner)
}

// openIdleConnections leaves the router with the given number of idle connections to the runner.
func (f *fleet) openIdleConnections(r *router, runner *runnerstand.Runner, count int) {
	runner.SetBehaviour(runnerstand.Delays)
	f.g.Expect(callConcurrently(r, count, 0)).To(HaveEach(http.StatusOK))
	runner.SetBehaviour(runnerstand.Normal)
}

// callConcurrently starts calls at the interval and returns the status of each.
func callConcurrently(r *router, count int, interval time.Duration) []int {
	statuses := make([]int, count)
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() { statuses[i] = r.call("/unsafe/x", nil).status })
		time.Sleep(interval)
	}
	calls.Wait()
	return statuses
}

// Guards against streams that are broken off because their sound runner was silent for a second and more.
func TestStreamOutlivesSilenceOfItsRunner(t *testing.T) {
	t.Parallel()
	const silence = 1400 * time.Millisecond
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	var runners []*runnerstand.Runner
	var proxies []*faultproxy.Proxy
	for _, id := range []string{"e1", "e2"} {
		runner := f.startRunner(runnerstand.Config{ID: id, Service: "engines", Model: modelName, Version: 1, EventCount: 12, EventInterval: 100 * time.Millisecond})
		runners, proxies = append(runners, runner), append(proxies, f.listBehindProxy(runner))
	}
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return strings.Count(r.log.String(), "runner added") }, time.Second).Should(Equal(2))
	got := r.callWithLongTimeout("/stream/x", nil)
	f.g.Eventually(func() int { return totalRuns(runners) }, time.Second, 5*time.Millisecond).Should(Equal(1))
	time.Sleep(300 * time.Millisecond)
	for _, proxy := range proxies {
		proxy.SetMode(faultproxy.Stall)
	}
	time.Sleep(silence)
	for _, proxy := range proxies {
		proxy.SetMode(faultproxy.Pass)
	}
	var response callResponse
	f.g.Eventually(got, 5*time.Second).Should(Receive(&response))
	f.g.Expect(response.truncated).To(BeFalse())
	f.g.Expect(totalRuns(runners)).To(Equal(1), "the stream goes on at its runner")
}
