package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// routesWithPriorities returns an urgent route and a bulk route to the same runners.
func routesWithPriorities() []map[string]any {
	return []map[string]any{
		route("urgent", "/urgent/", "unsafe", "plain", map[string]any{"priority": 0}),
		route("bulk", "/bulk/", "unsafe", "plain", map[string]any{"priority": 1, "target_latency_ms": 2500}),
	}
}

// startCallers starts callers that make one call after another until stop is called.
func (r *router) startCallers(path string, callers int) (stop func()) {
	var running sync.WaitGroup
	done := make(chan struct{})
	for range callers {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					r.call(path, nil)
				}
			}
		})
	}
	return func() { close(done); running.Wait() }
}

// bulkRefusalPattern matches the log line of a bulk call that was refused below its own queue limit
// in favour of urgent calls. With a target of 2.5 s, its own limit is at least 0.85 s.
const bulkRefusalPattern = `"queue_ms":[1-7]?\d?\d,.*"route":"bulk".*"yield_percent":\d\d?[,}]`

// Each call occupies one of eight slots for 0.4 s. Bulk calls, with a target of 2.5 s, may queue as
// long as no urgent call is refused, and are refused earlier once one is.
func TestBulkCallsYieldToUrgentCalls(t *testing.T) {
	t.Parallel()
	f, routers, runners, metricsAddresses := newScheduledFleet(t, 1, 1, "p1")
	f.configure(2, routesWithPriorities(), validKey)
	for _, r := range routers {
		r.waitForConfig(2)
	}
	runners[0].SetBehaviour(runnerstand.Delays)
	entryRouter := routers[1]
	f.g.Expect(entryRouter.call("/urgent/x", nil).status).To(Equal(http.StatusOK)) // lets the router learn how long a call occupies a slot
	stopBulk := entryRouter.startCallers("/bulk/x", 12)
	time.Sleep(time.Second)
	stopBulk()
	f.g.Expect(entryRouter.log.String()).NotTo(ContainSubstring(`"reason":"expected wait`), "there are no urgent calls yet")
	defer entryRouter.startCallers("/urgent/x", 24)()
	defer entryRouter.startCallers("/bulk/x", 4)()
	f.g.Eventually(entryRouter.log.String, 10*time.Second, 20*time.Millisecond).Should(MatchRegexp(bulkRefusalPattern))
	f.g.Expect(scrapeMetrics(f.g, metricsAddresses[1])[`clovertiller_bound_yield_count{route="bulk"}`]).To(BeNumerically(">", 12))
}
