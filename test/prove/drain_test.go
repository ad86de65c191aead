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

// noWorkAfter is within what time a leaving back end must get no new work.
const noWorkAfter = 3 * time.Second

// lostCallPause keeps calls to a router that is not there from spinning.
const lostCallPause = 20 * time.Millisecond

// traffic sends calls to the routers until it is stopped.
type traffic struct {
	stop     atomic.Bool
	group    sync.WaitGroup
	mutex    sync.Mutex
	made     []cluster.Call
	outcomes []cluster.Outcome
}

func startTraffic(c *cluster.Cluster, streams int, router func(i int) int) *traffic {
	t := &traffic{}
	// A test that fails before it finishes the traffic must not leave it running.
	DeferCleanup(t.finish)
	for i := range streams {
		t.group.Add(1)
		go func() {
			defer t.group.Done()
			for !t.stop.Load() {
				call := calls(1)[0]
				outcome := c.Do(context.Background(), router(i), call)
				t.mutex.Lock()
				t.made = append(t.made, call)
				t.outcomes = append(t.outcomes, outcome)
				t.mutex.Unlock()
				if outcome.Status == 0 {
					time.Sleep(lostCallPause)
				}
			}
		}()
	}
	return t
}

func (t *traffic) finish() ([]cluster.Call, []cluster.Outcome) {
	t.stop.Store(true)
	t.group.Wait()
	return t.made, t.outcomes
}

func (t *traffic) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.made)
}

var _ = Describe(promises[3], func() {
	It("finishes every stream of an engine that is asked to stop", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		running := startTraffic(c, 24, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return running.count() > 30 })
		c.Engines[0].Terminate()
		Eventually(c.Engines[0].Done()).WithTimeout(settleTime).Should(BeClosed())
		made, outcomes := running.finish()
		expectAllExact(made, outcomes)
	})

	It("finishes every request of a router that is asked to stop", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
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
			served := map[string]bool{}
			for _, runner := range status.Runners {
				served[runner.Model] = runner.State == "serving"
			}
			return served["penyiar-lm"] && served["llm-examen"]
		})
		var once sync.Once
		settings.Progress = func(percent int) {
			if percent >= 30 {
				once.Do(c.Routers[1].Terminate)
			}
		}
		report := load.Run(background(), settings)
		Eventually(c.Routers[1].Done()).WithTimeout(settleTime).Should(BeClosed())
		Expect(report.Failures).To(BeEmpty())
		Expect(report.Complete).To(Equal(400))
		Expect(report.Wrong).To(BeZero())
	})

	It("finishes requests that are open for longer than the grace time of a router's stop", func() {
		c := start(cluster.Settings{Routers: 1, Engines: 1})
		made := calls(500)
		finished := make(chan []cluster.Outcome)
		go func() { finished <- each(c, made, func(int) int { return 0 }) }()
		await("all requests are on the engine", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting > 400
		})
		stopped := time.Now()
		c.Routers[0].Terminate()
		outcomes := <-finished
		Eventually(c.Routers[0].Done()).WithTimeout(settleTime).Should(BeClosed())
		Expect(time.Since(stopped)).To(BeNumerically(">", 2*time.Second), "the requests ended within the grace time, which proves nothing")
		expectAllExact(made, outcomes)
	})

	// leaves checks that a leaving engine gets no new work once the time is up.
	leaves := func(c *cluster.Cluster, leave func()) {
		GinkgoHelper()
		running := startTraffic(c, 12, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return running.count() > 20 })
		leave()
		left := time.Now()
		await("the time is up", func() bool { return time.Since(left) > noWorkAfter })
		idle := func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting == 0
		}
		await("the engine is idle", idle)
		before := running.count()
		await("more traffic has run", func() bool { return running.count() > before+60 })
		Expect(idle()).To(BeTrue(), "a leaving engine has work")
		made, outcomes := running.finish()
		expectAllExact(made, outcomes)
		late := 0
		for _, outcome := range outcomes {
			if outcome.SentAt.Sub(left) > noWorkAfter {
				late++
				Expect(outcome.Runner).NotTo(Equal(c.Engines[0].RunnerName), "work sent %s after the engine left", outcome.SentAt.Sub(left))
			}
		}
		Expect(late).To(BeNumerically(">", 60))
	}

	It("gives no new work to an engine whose machine the list shows as leaving", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		leaves(c, func() {
			c.Platform.SetMachine("machine-runner-0", v1.MachineSpec{State: v1.MachineLeaving, Zone: "zone-a"})
		})
	})

	It("gives no new work to a draining engine while the platform is down", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		running := startTraffic(c, 12, func(i int) int { return i % 3 })
		await("traffic runs", func() bool { return running.count() > 20 })
		c.Engines[0].Terminate()
		Eventually(c.Engines[0].Done()).WithTimeout(settleTime).Should(BeClosed())
		await("more traffic has run", func() bool { return running.count() > 120 })
		made, outcomes := running.finish()
		expectAllExact(made, outcomes)
	})
})
