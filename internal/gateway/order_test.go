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

// callAtOnce makes so many calls, one each interval, and counts the answers by status.
func (r *router) callAtOnce(path string, count int, interval time.Duration) map[int]int {
	var mutex sync.Mutex
	var calls sync.WaitGroup
	statuses := map[int]int{}
	for range count {
		calls.Go(func() {
			got := r.call(path, nil)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[got.status]++
		})
		time.Sleep(interval)
	}
	calls.Wait()
	return statuses
}

// Calls hold one of eight slots for 0.4 s each. Bulk with a target of 2.5 s may queue as
// long as nobody more urgent is refused, and gives way as soon as somebody is.
func TestBulkGivesWayToUrgentCalls(t *testing.T) {
	t.Parallel()
	f, routers, runners, figuresAt := scheduledFleet(t, 1, 1, "p1")
	f.configure(2, rankedRoutes(), goodKey)
	for _, r := range routers {
		r.settled(2)
	}
	runners[0].Behave(runnerstand.Delays)
	asker := routers[1]
	f.g.Expect(asker.call("/urgent/x", nil).status).To(Equal(http.StatusOK)) // shows how long a slot is held
	f.g.Expect(asker.callAtOnce("/bulk/x", 12, 0)).To(HaveKeyWithValue(http.StatusOK, 12), "nobody more urgent has come")
	var urgent, bulk map[int]int
	var calls sync.WaitGroup
	calls.Go(func() { urgent = asker.callAtOnce("/urgent/x", 80, 10*time.Millisecond) })
	time.Sleep(500 * time.Millisecond)
	calls.Go(func() { bulk = asker.callAtOnce("/bulk/x", 12, 20*time.Millisecond) })
	calls.Wait()
	f.g.Expect(urgent[http.StatusServiceUnavailable]).To(BeNumerically(">", 20), "%v", urgent)
	f.g.Expect(bulk[http.StatusServiceUnavailable]).To(BeNumerically(">=", 6), "%v", bulk)
	f.g.Expect(asker.log.String()).To(MatchRegexp(`"route":"bulk".*"yield_percent":\d\d?[,}]`))
	f.g.Expect(figures(f.g, figuresAt[1])[`clovertiller_bound_yield_count{route="bulk"}`]).To(BeNumerically(">=", 24))
}
