package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Guards against requests beyond the bound of exposure, in any phase and after the end: a version that
// began to fail at 70% of the duration got 512 of 3,340 requests, and one that did at 78% got 1,528
// and ended as succeeded. All requests until the deadline count.
func TestVersionThatTurnsBadStaysWithinItsBound(t *testing.T) {
	for _, leaderLost := range []bool{false, true} {
		for _, at := range []float64{0, 0.1, 0.2, 0.35, 0.5, 0.6, 0.7, 0.78, 0.85, 0.95} {
			t.Run(fmt.Sprintf("at %v, leader lost %v", at, leaderLost), func(t *testing.T) {
				t.Parallel()
				f := newRolloutFleet(t, 4, runnerstand.Normal)
				f.loadWith(f.routers[3:], 6, 20*time.Millisecond)
				f.order(rolloutDuration)
				f.stopOldRunnersAtSuccess()
				turnsBadAfter := time.Duration(at * float64(rolloutDuration))
				f.turnBad(turnsBadAfter)
				if leaderLost {
					time.Sleep(time.Until(f.orderedAt.Add(turnsBadAfter)))
					f.leader().Kill()
				}
				time.Sleep(time.Until(f.orderedAt.Add(rolloutDuration)))
				exposed, sent := f.exposed(), f.sent.Load()
				f.endLoad()
				t.Logf("%q: %d of %d requests to the new version, %d not served", f.state(), exposed, sent, f.bad.Load())
				f.g.Expect(float64(exposed)).To(BeNumerically("<=", rolloutShare*float64(sent)+rolloutSlack))
			})
		}
	}
}

// Guards against steps of a router that isn't a scheduler and holds the lease because runners need orders:
// it hears no reports, so it would promote or roll back without evidence.
func TestRouterThatIsNoSchedulerTakesNoStep(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 5, runnerstand.Normal)
	engine := f.engine("e1", 1)
	engine.IgnoreOrders()
	for _, r := range f.routers[:3] {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	nameWeights(f.fleet, 2)
	f.loadWith(f.routers[3:], 4, 20*time.Millisecond)
	f.order(rolloutDuration)
	f.g.Eventually(func() uint64 { return f.routers[3].Status().LeaseToken + f.routers[4].Status().LeaseToken }, 6*time.Second, 10*time.Millisecond).ShouldNot(BeZero())
	f.g.Consistently(f.state, time.Until(f.orderedAt.Add(rolloutDuration+time.Second)), 20*time.Millisecond).Should(Or(BeEmpty(), Equal("running")))
	f.g.Expect(f.exposed()).To(BeZero())
}

// Guards against decisions of a leader to which nobody reports: one promoted a version that always
// fails, which got 1,604 requests, and one rolled a good version back.
func TestLeaderWithoutReportsDecidesNothing(t *testing.T) {
	for _, behaviour := range []runnerstand.Behaviour{runnerstand.Normal, runnerstand.Fails} {
		t.Run(behaviour.String(), func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, 4, behaviour)
			f.order(rolloutDuration)
			leader := f.leader()
			for i, r := range f.routers {
				if r == leader {
					f.proxies[i].SetMode(faultproxy.Reset)
				}
			}
			f.loadWith(f.routers[3:], 6, 20*time.Millisecond)
			f.g.Consistently(f.state, time.Until(f.orderedAt.Add(rolloutDuration)), 20*time.Millisecond).Should(Or(BeEmpty(), Equal("running")))
			f.endLoad()
			f.expectExposureInBound()
		})
	}
}

// Guards against a rollback, because there were too few answers, of a good version of a service with few
// requests.
func TestGoodVersionOfAServiceWithFewRequestsSucceeds(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 4, runnerstand.Normal)
	f.loadWith(f.routers[3:], 1, 900*time.Millisecond)
	f.order(rolloutDuration)
	f.expectState("succeeded")
	f.expectExposureInBound()
}
