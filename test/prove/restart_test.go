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

// untilServed asks a router until it answers a request whole, and returns how
// long that took and how often it refused; every refusal must be true.
func untilServed(c *cluster.Cluster, router int) (time.Duration, int) {
	GinkgoHelper()
	begun := time.Now()
	refusals := 0
	for time.Since(begun) < settleTime {
		call := calls(1)[0]
		outcome := c.Do(context.Background(), router, call)
		if outcome.Complete() {
			Expect(cluster.HasExpectedText(call, outcome)).To(BeTrue())
			return time.Since(begun) - outcome.Elapsed + outcome.Completion.TimeToFirstToken, refusals
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

// serveAtOnce is within what time a restarted router must serve with a peer to
// read from. The aim is 300 ms; the bound leaves room for a busy machine.
const serveAtOnce = 2 * time.Second

var _ = Describe(promises[4], func() {
	for _, down := range []bool{false, true} {
		It(fmt.Sprintf("serves at once after one restart, platform down: %t", down), func() {
			c := start(cluster.Settings{Routers: 3, Engines: 3})
			lists := c.Platform.Counters().Lists
			c.Platform.SetFaults(platformserver.Faults{Down: down})
			c.Routers[1].Kill()
			Expect(c.Routers[1].Start()).To(Succeed())
			took, refusals := untilServed(c, 1)
			AddReportEntry("restart to first token", fmt.Sprintf("%s, %d refusals, %d lists", took, refusals, c.Platform.Counters().Lists-lists))
			GinkgoWriter.Printf("restart to first token (platform down %t): %s, %d refusals, %d lists\n", down, took, refusals, c.Platform.Counters().Lists-lists)
			Expect(took).To(BeNumerically("<", serveAtOnce))
			Expect(c.Platform.Counters().Lists - lists).To(BeNumerically("<=", 1))
		})
	}

	It("serves again after all restart together, with few reads of the platform", func() {
		c := start(cluster.Settings{Routers: 9, Engines: 3})
		lists := c.Platform.Counters().Lists
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		for i := range c.Routers {
			took, refusals := untilServed(c, i)
			GinkgoWriter.Printf("herd: router %d served %s after the last start, %d refusals\n", i, took, refusals)
			Expect(took).To(BeNumerically("<", 5*time.Second))
		}
		// Two watchers a zone, three zones.
		Expect(c.Platform.Counters().Lists - lists).To(BeNumerically("<=", 6))
	})

	It("says so when all restarted while the platform is down, and serves when it is back", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		var outcome cluster.Outcome
		await("the router answers", func() bool {
			outcome = c.Do(context.Background(), 0, calls(1)[0])
			return outcome.Status != 0
		})
		Expect(outcome.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(outcome.Code).To(Equal("not_ready"))
		Expect(outcome.RunState).To(Equal("not_run"))
		Expect(outcome.RetryAfter).NotTo(BeEmpty())
		c.Platform.SetFaults(platformserver.Faults{})
		for i := range c.Routers {
			untilServed(c, i)
		}
	})
})
