package prove

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
)

// awaitServed sends calls to a router until one gets a complete response. It returns the time
// until the first token of that response and the number of refused calls. Every refusal must be
// reported as not run.
func awaitServed(c *cluster.Cluster, router int) (time.Duration, int) {
	GinkgoHelper()
	startedAt := time.Now()
	refusals := 0
	for time.Since(startedAt) < settleTimeout {
		call := newCalls(1)[0]
		outcome := c.Do(context.Background(), router, call)
		if outcome.Complete() {
			Expect(cluster.HasExpectedText(call, outcome)).To(BeTrue())
			return time.Since(startedAt) - outcome.Elapsed + outcome.Completion.TimeToFirstToken, refusals
		}
		if outcome.Status != 0 {
			refusals++
			Expect(outcome.RunState).To(Equal("not_run"))
		}
		time.Sleep(5 * time.Millisecond)
	}
	Fail("the router does not serve")
	return 0, 0
}

// maxTimeToServe is the maximum time until the first token after a restart if a peer can provide
// the configuration. The target is 300 ms; the limit is higher because test machines may be busy.
const maxTimeToServe = 2 * time.Second

var _ = Describe(promises[4], func() {
	for _, platformDown := range []bool{false, true} {
		It(fmt.Sprintf("serves at once after one restart, platform down: %t", platformDown), func() {
			c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
			lists := c.Platform.Counters().Lists
			c.Platform.SetFaults(platformserver.Faults{Down: platformDown})
			c.Routers[1].Kill()
			Expect(c.Routers[1].Start()).To(Succeed())
			elapsed, refusals := awaitServed(c, 1)
			AddReportEntry("restart to first token", fmt.Sprintf("%s, %d refusals, %d lists", elapsed, refusals, c.Platform.Counters().Lists-lists))
			GinkgoWriter.Printf("restart to first token (platform down %t): %s, %d refusals, %d lists\n", platformDown, elapsed, refusals, c.Platform.Counters().Lists-lists)
			Expect(elapsed).To(BeNumerically("<", maxTimeToServe))
			Expect(c.Platform.Counters().Lists - lists).To(BeNumerically("<=", 1))
		})
	}

	It("serves again after all restart together, with few reads of the platform", func() {
		c := startCluster(cluster.Settings{Routers: 9, Engines: 3})
		lists := c.Platform.Counters().Lists
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		for i := range c.Routers {
			elapsed, refusals := awaitServed(c, i)
			GinkgoWriter.Printf("herd: router %d served %s after the last start, %d refusals\n", i, elapsed, refusals)
			Expect(elapsed).To(BeNumerically("<", 5*time.Second))
		}
		// There are three zones with two watchers each.
		Expect(c.Platform.Counters().Lists - lists).To(BeNumerically("<=", 6))
	})

	It("refuses requests when all restart while the platform is down, and serves when it is back", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		var outcome cluster.Outcome
		await("the router answers", func() bool {
			outcome = c.Do(context.Background(), 0, newCalls(1)[0])
			return outcome.Status != 0
		})
		Expect(outcome.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome.Code).To(Equal("not_ready"))
		Expect(outcome.RunState).To(Equal("not_run"))
		Expect(outcome.RetryAfter).NotTo(BeEmpty())
		c.Platform.SetFaults(platformserver.Faults{})
		for i := range c.Routers {
			awaitServed(c, i)
		}
	})
})
