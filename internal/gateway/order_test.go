package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// rankedRoutes are an urgent route and one for bulk at the same runners.
func rankedRoutes() []map[string]any {
	return []map[string]any{
		route("urgent", "/urgent/", "unsafe", "plain", map[string]any{"priority": 0}),
		route("bulk", "/bulk/", "unsafe", "plain", map[string]any{"priority": 1, "target_latency_ms": 2500}),
	}
}

// callOn has so many callers make one call after another until told to stop.
func (r *router) callOn(path string, callers int) (stop func()) {
	var calls sync.WaitGroup
	done := make(chan struct{})
	for range callers {
		calls.Go(func() {
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
	return func() { close(done); calls.Wait() }
}

// bulkRefusal matches a refusal of bulk for the sake of others: with a target of 2.5 s its
// own bound is 0.85 s and more.
const bulkRefusal = `"queue_ms":[1-7]?\d?\d,.*"route":"bulk".*"yield_percent":\d\d?[,}]`

// Calls hold one of eight slots for 0.4 s each. Bulk with a target of 2.5 s may queue as
// long as nobody more urgent is refused, and gives way as soon as somebody is.
func TestBulkGivesWayToUrgentCalls(t *testing.T) {
	t.Parallel()
	f, routers, runners, figuresAt := scheduledFleet(t, 1, 1, "p1")
	f.configure(2, rankedRoutes(), goodKey)
	for _, r := range routers {
		r.waitForConfig(2)
	}
	runners[0].Behave(runnerstand.Delays)
	asker := routers[1]
	f.g.Expect(asker.call("/urgent/x", nil).status).To(Equal(http.StatusOK)) // shows how long a slot is held
	bulkAlone := asker.callOn("/bulk/x", 12)
	time.Sleep(time.Second)
	bulkAlone()
	f.g.Expect(asker.log.String()).NotTo(ContainSubstring(`"reason":"expected wait`), "nobody more urgent has come")
	defer asker.callOn("/urgent/x", 24)()
	defer asker.callOn("/bulk/x", 4)()
	f.g.Eventually(asker.log.String, 10*time.Second, 20*time.Millisecond).Should(MatchRegexp(bulkRefusal))
	f.g.Expect(scrapeMetrics(f.g, figuresAt[1])[`clovertiller_bound_yield_count{route="bulk"}`]).To(BeNumerically(">", 12))
}
