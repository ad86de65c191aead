package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against contents that are quarantined everywhere because a router lost its links while runners were
// processing them: its connections broke off and new ones were refused, as by runners that crashed.
func TestLostLinksAreNoCrashesOfRunners(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	var runners []*runnerstand.Runner
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		runners = append(runners, f.runner(id, "engines"))
	}
	cut, healthy := newCutRouter(f, 0)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Pauses)
	}
	for range 8 {
		cut.callWithLongTimeout("/once/x", nil)
	}
	f.g.Eventually(func() int { return totalRuns(runners) }, 2*time.Second, 5*time.Millisecond).Should(Equal(8))
	cut.links.set(linksReset)
	f.g.Consistently(func() string { return cut.log.String() + healthy[0].log.String() }, 2*time.Second, 50*time.Millisecond).ShouldNot(
		Or(ContainSubstring("runner ended while requests were running on it"), ContainSubstring("content is not sent any more")))
}

// A runner that crashes is still found to have ended while others run.
func TestCrashIsDetectedWhileOthersRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, routesWithLongTimeout(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Pauses)
	}
	r.callWithLongTimeout("/once/x", nil)
	f.g.Eventually(func() int { return totalRuns(runners) }, 2*time.Second, 5*time.Millisecond).Should(Equal(1))
	for _, runner := range runners {
		if len(runner.Runs()) > 0 {
			runner.Close()
		}
	}
	f.g.Eventually(r.log.String, 2*time.Second, 10*time.Millisecond).Should(ContainSubstring("runner ended while requests were running on it"))
}
