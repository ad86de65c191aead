package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// All open connections to a runner went silent, without a reset, while new ones worked.
// Each call was sent on another kept connection, as silent as the one before, and waited
// there until its deadline: as many calls were lost as connections had been kept, though
// the first of them had shown that nothing came back.
func TestFewCallsAreLostWhenKeptConnectionsToARunnerFallSilent(t *testing.T) {
	t.Parallel()
	const (
		kept     = 6
		interval = 300 * time.Millisecond
		// noticed is within which the silence shows.
		noticed = 1500 * time.Millisecond
	)
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("p1", "plain")
	path, err := faultproxy.Start(runner.Address)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(path.Close)
	entry := runner.Entry("ready")
	entry["address"] = path.Address
	f.store.Put(platform.KindServers, "p1", entry)
	r := f.servingRouter("r1", nil)
	runner.Behave(runnerstand.Delays)
	answers := callAtOnce(r, kept, 0)
	f.g.Expect(answers).To(HaveEach(http.StatusOK))
	runner.Behave(runnerstand.Well)
	path.Set(faultproxy.Mute)
	answers = callAtOnce(r, 3*kept, interval)
	f.g.Expect(answers[int(noticed/interval):]).To(HaveEach(http.StatusOK), "%v", answers)
}

// callAtOnce makes so many calls with pauses between their beginnings and returns how they
// were answered.
func callAtOnce(r *router, calls int, pause time.Duration) []int {
	statuses := make([]int, calls)
	var done sync.WaitGroup
	for i := range calls {
		done.Go(func() { statuses[i] = r.call("/unsafe/x", nil).status })
		time.Sleep(pause)
	}
	done.Wait()
	return statuses
}
