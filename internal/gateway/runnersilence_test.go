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
	runner, path := f.runnerBehindProxy("p1")
	r := f.servingRouter("r1", nil)
	f.keepConnections(r, runner, kept)
	path.SetMode(faultproxy.MuteExisting)
	answers := callAtOnce(r, 3*kept, interval)
	f.g.Expect(answers[int(noticed/interval):]).To(HaveEach(http.StatusOK), "%v", answers)
}

// Connections of the whole machine went silent at once. Those to other routers are asked
// all the time and show it first.
func TestSilentConnectionsToRoutersWarnOfThoseToRunners(t *testing.T) {
	t.Parallel()
	const (
		kept     = 16
		interval = 50 * time.Millisecond
		// rounds bounds how often connections are lost on a machine that is too busy to
		// answer a new one within the 50 ms that tell a lost one from a slow router.
		rounds = 4
	)
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner, toRunner := f.runnerBehindProxy("p1")
	seed := f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress = loopback.FreeAddress()
		settings.Seeds = []string{settings.PeerAddress}
	})
	toSeed, err := faultproxy.Start(seed.seeds[0])
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(toSeed.Close)
	r := f.servingRouter("r1", f.asFollower([]string{toSeed.Address}))
	warned := func() bool { return strings.Contains(r.log.String(), "connection to another router was lost") }
	for round := 0; round < rounds && !warned(); round++ {
		time.Sleep(5 * time.Second) // a younger connection tells of a slow router
		f.keepConnections(r, runner, kept)
		toSeed.SetMode(faultproxy.MuteExisting)
		toRunner.SetMode(faultproxy.MuteExisting)
		for muted := time.Now(); time.Since(muted) < time.Second && !warned(); {
			time.Sleep(time.Millisecond)
		}
	}
	f.g.Expect(warned()).To(BeTrue())
	f.g.Expect(callAtOnce(r, kept, interval)).To(HaveEach(http.StatusOK))
}

// runnerBehindProxy starts a runner that is listed with the address of a proxy.
func (f *fleet) runnerBehindProxy(id string) (*runnerstand.Runner, *faultproxy.Proxy) {
	runner := f.runner(id, "plain")
	path, err := faultproxy.Start(runner.Address)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(path.Close)
	entry := runner.DirectoryEntry("ready")
	entry["address"] = path.Address
	f.store.Put(platform.KindRunners, id, entry)
	return runner, path
}

// keepConnections leaves the router so many idle connections to the runner.
func (f *fleet) keepConnections(r *router, runner *runnerstand.Runner, count int) {
	runner.SetBehaviour(runnerstand.Delays)
	f.g.Expect(callAtOnce(r, count, 0)).To(HaveEach(http.StatusOK))
	runner.SetBehaviour(runnerstand.Normal)
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
