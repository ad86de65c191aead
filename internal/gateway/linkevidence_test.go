package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against schedulers that expect long waits at runners, and refuse calls of other routers, because
// the calls of a router that has lost its links waited there in vain.
func TestCutRouterLeavesNoEvidenceAboutRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var runners []*runnerstand.Runner
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		runners = append(runners, f.runner(id, "engines"))
	}
	cut, healthy := newCutRouter(f, 0)
	callRepeatedly([]*router{cut}, 50*time.Millisecond, 500*time.Millisecond)
	cut.links.set(linksSilent)
	worst, avoided := 0.0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		callRepeatedly([]*router{cut}, 25*time.Millisecond, 3*time.Second)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		count := 0
		for _, runner := range healthy[0].Status().Runners {
			worst = max(worst, runner.FailureShare)
			if runner.State == "set aside" {
				count++
			}
		}
		avoided = max(avoided, count)
	}
	f.g.Expect(avoided).To(BeNumerically("<", len(runners)/2), "runners that the scheduler avoids at a time")
	f.g.Expect(worst).To(BeNumerically("<", 0.3), "the highest failure share of a runner")
}
