package prove

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/load"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
	"github.com/clovertiller/clovertiller/internal/lab/workload"
)

// maxLeaveDelay is the maximum time from the start of a runner's shutdown until it gets no new
// requests.
const maxLeaveDelay = 3 * time.Second

// unreachableRetryInterval is the pause after a call to an unreachable router. It prevents a busy
// loop.
const unreachableRetryInterval = 20 * time.Millisecond

// trafficGenerator sends calls to the routers until it is stopped.
type trafficGenerator struct {
	stopped  atomic.Bool
	workers  sync.WaitGroup
	mutex    sync.Mutex
	calls    []cluster.Call
	outcomes []cluster.Outcome
}

// startTraffic starts a number of concurrent senders. The sender with index i sends its calls one
// after the other to the router with index routerFor(i).
func startTraffic(c *cluster.Cluster, concurrency int, routerFor func(i int) int) *trafficGenerator {
	t := &trafficGenerator{}
	// Stops the traffic if the test fails before it calls finish.
	DeferCleanup(t.finish)
	for i := range concurrency {
		t.workers.Add(1)
		go func() {
			defer t.workers.Done()
			for !t.stopped.Load() {
				call := newCalls(1)[0]
				outcome := c.Do(context.Background(), routerFor(i), call)
				t.mutex.Lock()
				t.calls = append(t.calls, call)
				t.outcomes = append(t.outcomes, outcome)
				t.mutex.Unlock()
				if outcome.Status == 0 {
					time.Sleep(unreachableRetryInterval)
				}
			}
		}()
	}
	return t
}

// finish stops the traffic, waits for open calls, and returns all calls with their outcomes.
func (t *trafficGenerator) finish() ([]cluster.Call, []cluster.Outcome) {
	t.stopped.Store(true)
	t.workers.Wait()
	return t.calls, t.outcomes
}

func (t *trafficGenerator) callCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.calls)
}

var _ = Describe(promises[3], func() {
	It("finishes every stream of an engine that is asked to stop", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		generator := startTraffic(c, 24, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return generator.callCount() > 30 })
		c.Engines[0].Terminate()
		Eventually(c.Engines[0].Done()).WithTimeout(settleTimeout).Should(BeClosed())
		calls, outcomes := generator.finish()
		expectAllExact(calls, outcomes)
	})

	It("finishes every request of a router that is asked to stop", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		settings := load.Settings{Routers: c.RouterAddresses(), Requests: 400, Concurrency: 16, Seed: 4, Workload: workload.DefaultSettings()}
		settings.Workload.Sizes = workload.SmallSizes()
		for i := range settings.Workload.Tenants {
			for _, kind := range []string{"radio", "cards"} {
				name := fmt.Sprintf("%s-%d", kind, i)
				_, err := c.Write(v1.KindTenant, name, &v1.TenantSpec{Tier: "gold", KeyHashes: []string{cluster.APIKeyHash(name)}, RequestsPerSecond: 10000, MaxConcurrent: 1000})
				Expect(err).NotTo(HaveOccurred())
			}
		}
		for _, model := range []string{"penyiar-lm", "llm-examen"} {
			_, err := c.Write(v1.KindModel, model, &v1.ModelSpec{Pool: cluster.Pool, WeightVersion: cluster.InitialWeightVersion})
			Expect(err).NotTo(HaveOccurred())
		}
		await("the models are served", func() bool {
			status := c.Status(0)
			servedModels := map[string]bool{}
			for _, runner := range status.Runners {
				servedModels[runner.Model] = runner.State == "serving"
			}
			return servedModels["penyiar-lm"] && servedModels["llm-examen"]
		})
		var once sync.Once
		settings.Progress = func(percent int) {
			if percent >= 30 {
				once.Do(c.Routers[1].Terminate)
			}
		}
		report := load.Run(testContext(), settings)
		Eventually(c.Routers[1].Done()).WithTimeout(settleTimeout).Should(BeClosed())
		Expect(report.Failures).To(BeEmpty())
		Expect(report.Complete).To(Equal(400))
		Expect(report.Wrong).To(BeZero())
	})

	It("finishes requests that are open for longer than the grace time of a router's stop", func() {
		c := startCluster(cluster.Settings{Routers: 1, Engines: 1})
		calls := newCalls(500)
		results := make(chan []cluster.Outcome)
		go func() { results <- doConcurrently(c, calls, func(int) int { return 0 }) }()
		await("all requests are on the engine", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting > 400
		})
		stoppedAt := time.Now()
		c.Routers[0].Terminate()
		outcomes := <-results
		Eventually(c.Routers[0].Done()).WithTimeout(settleTimeout).Should(BeClosed())
		Expect(time.Since(stoppedAt)).To(BeNumerically(">", 2*time.Second), "the requests ended within the grace time, so the test proves nothing")
		expectAllExact(calls, outcomes)
	})

	// expectNoNewWork starts traffic, calls leave to make the first engine leave, and checks that
	// the engine gets no new work after maxLeaveDelay.
	expectNoNewWork := func(c *cluster.Cluster, leave func()) {
		GinkgoHelper()
		generator := startTraffic(c, 12, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return generator.callCount() > 20 })
		leave()
		leftAt := time.Now()
		await("maxLeaveDelay has passed", func() bool { return time.Since(leftAt) > maxLeaveDelay })
		idle := func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting == 0
		}
		await("the engine is idle", idle)
		countBefore := generator.callCount()
		await("more traffic has run", func() bool { return generator.callCount() > countBefore+60 })
		Expect(idle()).To(BeTrue(), "a leaving engine has work")
		calls, outcomes := generator.finish()
		expectAllExact(calls, outcomes)
		lateCalls := 0
		for _, outcome := range outcomes {
			if outcome.SentAt.Sub(leftAt) > maxLeaveDelay {
				lateCalls++
				Expect(outcome.Runner).NotTo(Equal(c.Engines[0].RunnerName), "work sent %s after the engine left", outcome.SentAt.Sub(leftAt))
			}
		}
		Expect(lateCalls).To(BeNumerically(">", 60))
	}

	It("gives no new work to an engine whose machine the list shows as leaving", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		expectNoNewWork(c, func() {
			c.Platform.SetMachine("machine-runner-0", v1.MachineSpec{State: v1.MachineLeaving, Zone: "zone-a"})
		})
	})

	It("gives no new work to a draining engine while the platform is down", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		generator := startTraffic(c, 12, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return generator.callCount() > 20 })
		c.Engines[0].Terminate()
		Eventually(c.Engines[0].Done()).WithTimeout(settleTimeout).Should(BeClosed())
		await("more traffic has run", func() bool { return generator.callCount() > 120 })
		calls, outcomes := generator.finish()
		expectAllExact(calls, outcomes)
	})
})
