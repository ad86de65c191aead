package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
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
// it receives no reports, so it would promote or roll back without evidence. It must not keep the lease from the
// schedulers once these are back, although a runner still needs orders.
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
	for _, r := range f.routers[:3] {
		r.storeEndpoint.SetFault(storestand.Healthy)
	}
	f.g.Eventually(f.state, 15*time.Second, 20*time.Millisecond).Should(Equal("succeeded"))
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

// lateRouter starts a router that learns of the store's changes through links of its own to the seeds. The
// returned function cuts these links and the one to the store.
func (f *rolloutFleet) lateRouter() (late *router, cutOff func()) {
	bindAddress := loopback.FreeAddress()
	proxies := []*faultproxy.Proxy{f.proxyTo(bindAddress)}
	address, seeds := proxies[0].Address, []string(nil)
	for _, seed := range f.routers[0].seeds {
		proxies = append(proxies, f.proxyTo(seed))
		seeds = append(seeds, proxies[len(proxies)-1].Address)
	}
	late = f.servingRouter("late", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.PeerBindAddress, settings.Seeds = address, bindAddress, seeds
		settings.ExposedShare, settings.ExposedSlack = rolloutShare, rolloutSlack
	})
	return late, func() {
		late.storeEndpoint.SetFault(storestand.Hangs)
		for _, proxy := range proxies {
			proxy.SetMode(faultproxy.Reset)
		}
	}
}

// Guards against refused callers at routers that choose by themselves and learn late of the success, as
// the old runners stop at once. They serve, also what can't be repeated, once they know of the promotion.
func TestRouterThatHearsLateOfTheSuccessServesItsCallers(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	late, cutOff := f.lateRouter()
	f.loadWith(f.routers, 4, 20*time.Millisecond)
	f.order(rolloutDuration)
	f.stopOldRunnersAtSuccess()
	f.g.Eventually(func() bool {
		rollouts := late.Status().Rollouts
		return len(rollouts) > 0 && rollouts[0].Promoted
	}, rolloutDuration, 5*time.Millisecond).Should(BeTrue())
	cutOff()
	f.expectState("succeeded")
	f.g.Eventually(f.oldStopped.Load, time.Second, time.Millisecond).Should(BeTrue())
	f.g.Expect(late.Status().Rollouts[0].State).To(Equal("running"))
	for range 20 {
		f.g.Expect(late.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
		f.g.Expect(late.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(late.Status().Rollouts[0].State).To(Equal("running"))
}

// Guards against requests to a target version that is only tested, from routers whose old runners can't be
// reached: nobody has allowed them.
func TestUnreachableOldRunnersMoveNothingBeforeThePromotion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	late, cutOff := f.lateRouter()
	f.order(time.Hour)
	f.g.Eventually(func() int { return len(late.Status().Rollouts) }, 2*time.Second, 5*time.Millisecond).Should(Equal(1))
	cutOff()
	for _, runner := range f.old {
		runner.Close()
	}
	for range 5 {
		f.g.Expect(late.call("/safe/x", nil).status).NotTo(Equal(http.StatusOK))
	}
	f.g.Expect(f.exposed()).To(BeZero())
}

// Guards against an account that operators can't follow while a rollout runs.
func TestLeaderReportsTheAccountOfARollout(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	// Early in a long rollout, one in 200 requests tests the version. Four callers beside a load of 30
	// sent too few in five seconds.
	f.load(f.routers)
	f.order(time.Hour)
	f.g.Eventually(f.exposed, 5*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
	leader := f.leader()
	for i, r := range f.routers {
		got := scrapeMetrics(f.g, f.metrics[i])
		account := func(kind string) float64 {
			return got[fmt.Sprintf(`clovertiller_rollout_requests{kind=%q,service="plain"}`, kind)]
		}
		if r != leader {
			f.g.Expect(account("budget")).To(BeZero(), "only the leader knows it")
			continue
		}
		f.g.Expect(got[`clovertiller_rollout_phase{phase="testing",service="plain"}`]).To(Equal(1.0))
		f.g.Expect(account("reported")).To(BeNumerically(">", 0))
		f.g.Expect(account("allowed")).To(BeNumerically(">", 0))
		f.g.Expect(account("reserved")).To(BeNumerically(">=", account("allowed")))
		f.g.Expect(account("budget")).To(BeNumerically(">=", account("reserved")))
		summary := r.Status().Rollouts[0]
		f.g.Expect(summary.Phase).To(Equal("testing"))
		f.g.Expect(float64(summary.Reserved)).To(BeNumerically(">=", account("reserved")))
	}
}

// Guards against a reservation that is forgotten when the store comes back from a copy.
func TestReservationOutlivesARestoredStore(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	f.loadWith(f.routers, 6, 20*time.Millisecond)
	f.order(rolloutDuration)
	f.g.Eventually(f.reserved, 2*time.Second, time.Millisecond).Should(BeNumerically(">", 0))
	backup, atBackup := f.store.Backup(), f.reserved()
	f.g.Eventually(f.reserved, 3*time.Second, time.Millisecond).Should(BeNumerically(">=", atBackup+5))
	time.Sleep(100 * time.Millisecond) // The other routers learn of it.
	reserved := f.reserved()
	f.store.Restore(backup)
	f.g.Expect(f.reserved()).To(Equal(atBackup))
	f.g.Eventually(f.reserved, 2*time.Second, time.Millisecond).Should(BeNumerically(">=", reserved))
	f.expectState("succeeded")
	f.expectExposureInBound()
}
