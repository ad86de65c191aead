package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	targetVersion   = "v2"
	rolloutShare    = 0.1
	rolloutSlack    = 50
	rolloutDuration = 6 * time.Second
	runnersPerPart  = 4
)

// rolloutFleet is a fleet whose service "plain" is moved to another version.
type rolloutFleet struct {
	*fleet
	routers    []*router
	old, fresh []*runnerstand.Runner
	sent, bad  atomic.Int64
	stop       chan struct{}
	callers    sync.WaitGroup
	orderedAt  time.Time
	// oldStopped is set when the old runners were stopped after the success.
	oldStopped atomic.Bool
	// proxies forward the messages of other routers to each router, in the order of the routers.
	proxies []*faultproxy.Proxy
	// metrics are the addresses of the routers' metrics.
	metrics []string
}

// newRolloutFleet starts routers, of which up to three are seeds, and runners of both versions. The
// runners of the target version are not listed yet.
func newRolloutFleet(t *testing.T, routers int, target runnerstand.Behaviour) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{fleet: newFleet(t), stop: make(chan struct{})}
	f.configure(1, defaultRoutes(), validKey)
	for i := range runnersPerPart {
		f.old = append(f.old, f.runner(fmt.Sprintf("old-%d", i), "plain"))
	}
	var addresses, bindAddresses []string
	for range routers {
		bindAddresses = append(bindAddresses, loopback.FreeAddress())
		f.proxies = append(f.proxies, f.proxyTo(bindAddresses[len(bindAddresses)-1]))
		addresses = append(addresses, f.proxies[len(f.proxies)-1].Address)
		f.metrics = append(f.metrics, loopback.FreeAddress())
	}
	seeds := addresses[:min(3, routers)]
	for i, address := range addresses {
		f.routers = append(f.routers, f.router(fmt.Sprintf("r%d", i), func(settings *gateway.Settings) {
			settings.PeerAddress, settings.PeerBindAddress, settings.Seeds = address, bindAddresses[i], seeds
			settings.ExposedShare, settings.ExposedSlack, settings.MetricsAddress = rolloutShare, rolloutSlack, f.metrics[i]
		}))
	}
	for _, r := range f.routers {
		f.g.Eventually(r.isReady, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
	}
	for i := range runnersPerPart {
		runner, err := runnerstand.Start(runnerstand.Config{ID: fmt.Sprintf("new-%d", i), Service: "plain", Zone: "z", SoftwareVersion: targetVersion, ResponseDelay: 400 * time.Millisecond})
		f.g.Expect(err).NotTo(HaveOccurred())
		runner.SetBehaviour(target)
		t.Cleanup(runner.Close)
		f.runners.Store(runner.Address, runner)
		f.fresh = append(f.fresh, runner)
	}
	return f
}

// order writes the operator's order and lists the new runners.
func (f *rolloutFleet) order(duration time.Duration) {
	f.orderedAt = time.Now()
	f.store.Put(platform.KindRollouts, "plain", map[string]any{"service": "plain", "target_version": targetVersion, "duration_s": duration.Seconds()})
	for _, runner := range f.fresh {
		f.putEntry(runner, "ready")
	}
}

// load sends requests through the routers until endLoad or the end of the test.
func (f *rolloutFleet) load(routers []*router) { f.loadWith(routers, 12, 20*time.Millisecond) }

// loadWith is load with the given number of callers and their pause between two requests.
func (f *rolloutFleet) loadWith(routers []*router, callers int, pause time.Duration) {
	for i := range callers {
		f.callers.Go(func() {
			for n := i; ; n++ {
				select {
				case <-f.stop:
					return
				case <-time.After(pause):
				}
				f.sent.Add(1)
				if got := routers[n%len(routers)].call("/safe/x", nil); got.status != http.StatusOK {
					f.bad.Add(1)
				}
			}
		})
	}
	f.t.Cleanup(f.endLoad)
}

func (f *rolloutFleet) endLoad() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.callers.Wait()
}

// stopOldRunnersAtSuccess stops the old runners at once when the rollout has succeeded, as the operator
// does.
func (f *rolloutFleet) stopOldRunnersAtSuccess() {
	f.callers.Go(func() {
		for f.state() != "succeeded" {
			select {
			case <-f.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
		for _, runner := range f.old {
			runner.Close()
			f.store.Delete(platform.KindRunners, runner.ID)
		}
		f.oldStopped.Store(true)
	})
}

// turnBad makes the new version fail all requests after the time since the order.
func (f *rolloutFleet) turnBad(after time.Duration) {
	f.callers.Go(func() {
		select {
		case <-f.stop:
			return
		case <-time.After(time.Until(f.orderedAt.Add(after))):
		}
		for _, runner := range f.fresh {
			runner.SetBehaviour(runnerstand.Fails)
		}
	})
}

// state returns the stored state of the rollout, "" if there is none.
func (f *rolloutFleet) state() string {
	object, _ := f.store.Get(platform.KindRollouts, "plain")
	var status struct {
		State         string `json:"state"`
		TargetVersion string `json:"target_version"`
	}
	if json.Unmarshal(object.Status, &status) != nil || status.TargetVersion != targetVersion {
		return ""
	}
	return status.State
}

// storedStatus returns the stored status of the rollout, which has the reason of its state.
func (f *rolloutFleet) storedStatus() string {
	object, _ := f.store.Get(platform.KindRollouts, "plain")
	return string(object.Status)
}

// reserved returns the stored number of requests that may go to the new version.
func (f *rolloutFleet) reserved() int {
	object, _ := f.store.Get(platform.KindRollouts, "plain")
	var status struct {
		Reserved int `json:"reserved"`
	}
	_ = json.Unmarshal(object.Status, &status)
	return status.Reserved
}

// exposed returns how many requests have reached the new runners.
func (f *rolloutFleet) exposed() int { return totalRuns(f.fresh) }

func (f *rolloutFleet) expectExposureInBound() {
	f.t.Helper()
	f.g.Expect(float64(f.exposed())).To(BeNumerically("<=", rolloutShare*float64(f.sent.Load())+rolloutSlack))
}

func (f *rolloutFleet) expectState(state string) {
	f.t.Helper()
	f.g.Eventually(f.state, rolloutDuration, 20*time.Millisecond).Should(Equal(state), f.storedStatus)
	f.t.Logf("%s after %v: %d of %d requests to the new version, %d not served", state, time.Since(f.orderedAt), f.exposed(), f.sent.Load(), f.bad.Load())
	f.g.Expect(time.Since(f.orderedAt)).To(BeNumerically("<", rolloutDuration))
}

func TestGoodVersionGetsAllTrafficBeforeTheDeadline(t *testing.T) {
	for _, routers := range []int{1, 3, 30} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			f := newRolloutFleet(t, routers, runnerstand.Normal)
			f.load(f.routers)
			f.order(rolloutDuration)
			f.expectState("succeeded")
			before := totalRuns(f.old)
			f.g.Consistently(func() int { return totalRuns(f.old) }, 500*time.Millisecond).Should(BeNumerically("<=", before+1), "nothing is sent to the old version any more")
			f.endLoad()
			f.g.Expect(f.bad.Load()).To(BeZero())
		})
	}
}

func TestBadVersionIsRolledBackWithinItsExposure(t *testing.T) {
	for _, routers := range []int{1, 3, 30} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			f := newRolloutFleet(t, routers, runnerstand.Fails)
			f.load(f.routers)
			f.order(rolloutDuration)
			f.expectState("rolled_back")
			f.expectExposureInBound()
			f.g.Expect(f.exposed()).To(BeNumerically(">", 0))
			time.Sleep(1200 * time.Millisecond)
			exposed := f.exposed()
			f.g.Consistently(f.exposed, 500*time.Millisecond).Should(Equal(exposed), "nothing is sent to the new version any more")
		})
	}
}

func TestSlowVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Delays)
	f.load(f.routers)
	f.order(rolloutDuration)
	f.expectState("rolled_back")
	f.expectExposureInBound()
}

func TestNewVersionWithoutOrderGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	for _, runner := range f.fresh {
		f.putEntry(runner, "ready")
	}
	f.load(f.routers)
	f.g.Consistently(f.exposed, time.Second).Should(BeZero())
}

// leader waits for a router that holds the lease.
func (f *rolloutFleet) leader() (leader *router) {
	f.t.Helper()
	f.g.Eventually(func() *router {
		for _, r := range f.routers {
			if r.Status().LeaseToken != 0 {
				leader = r
			}
		}
		return leader
	}, 2*time.Second, 2*time.Millisecond).ShouldNot(BeNil())
	return leader
}

// Guards against a good version's rollout that stops, or ends too late, when its leader is lost.
func TestGoodVersionSucceedsAfterTheLossOfTheLeader(t *testing.T) {
	for name, lostAfter := range map[string]time.Duration{"early": 0, "late": 55 * rolloutDuration / 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, 4, runnerstand.Normal)
			f.load(f.routers[3:])
			f.order(rolloutDuration)
			leader := f.leader()
			// The early loss comes once the leader has acted.
			time.Sleep(max(500*time.Millisecond, time.Until(f.orderedAt.Add(lostAfter))))
			t.Logf("the leader is lost in state %q, with %d requests at the new version", f.state(), f.exposed())
			leader.Kill()
			f.expectState("succeeded")
		})
	}
}

func TestBadVersionIsRolledBackAfterTheLossOfTheLeader(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 4, runnerstand.Fails)
	f.load(f.routers[3:])
	f.order(rolloutDuration)
	f.leader().Kill()
	f.expectState("rolled_back")
	f.expectExposureInBound()
}

func TestNewVersionGetsNoRequestsWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 4, runnerstand.Normal)
	f.load(f.routers)
	f.order(rolloutDuration)
	f.g.Eventually(f.exposed, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 3))
	for _, r := range f.routers {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	// The lease can't be renewed, so nobody may permit requests to the new version.
	time.Sleep(2500 * time.Millisecond)
	exposed := f.exposed()
	f.g.Consistently(f.exposed, 500*time.Millisecond).Should(Equal(exposed))
}

func TestSchedulerThatIsCutOffFromTheLeaderStopsUsingTheNewVersion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Normal)
	f.order(time.Hour)
	leader := f.leader()
	var others []*router
	for _, r := range f.routers {
		if r != leader {
			others = append(others, r)
		}
	}
	f.load(others)
	f.g.Eventually(f.exposed, 5*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 3))
	leader.Kill()
	for _, r := range others {
		r.storeEndpoint.SetFault(storestand.Hangs)
	}
	time.Sleep(1500 * time.Millisecond)
	exposed := f.exposed()
	f.g.Consistently(f.exposed, 500*time.Millisecond).Should(Equal(exposed))
}

func TestFinalStateIsWrittenAgainAfterTheStoreLostIt(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3, runnerstand.Fails)
	f.load(f.routers)
	f.order(rolloutDuration)
	backup := f.store.Backup()
	f.expectState("rolled_back")
	time.Sleep(time.Second)
	exposed := f.exposed()
	f.store.Restore(backup)
	f.g.Eventually(f.state, 5*time.Second, 20*time.Millisecond).Should(Equal("rolled_back"))
	f.g.Consistently(f.exposed, time.Second).Should(Equal(exposed), "what was spent is not spent again")
}

func TestOrderThatCannotBeCarriedOutChangesNothing(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, runnerstand.Normal)
	f.order(0)
	f.routers[0].waitForLog("cannot be carried out")
	f.load(f.routers)
	f.g.Consistently(f.exposed, time.Second).Should(BeZero())
	f.g.Expect(f.state()).To(BeEmpty())
}

// Guards against an order that ends when an earlier one for the same service, which it has replaced, is
// deleted.
func TestOrderOutlivesTheOneThatItReplaced(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, runnerstand.Normal)
	rollouts := func() int { return len(f.routers[0].Status().Rollouts) }
	f.store.Put(platform.KindRollouts, "earlier", map[string]any{"service": "plain", "target_version": "v0", "duration_s": 3600})
	f.g.Eventually(rollouts, 2*time.Second, 10*time.Millisecond).Should(Equal(1))
	f.order(time.Hour)
	f.g.Eventually(func() string { return f.routers[0].Status().Rollouts[0].Target }, 2*time.Second, 10*time.Millisecond).Should(Equal(targetVersion))
	f.g.Eventually(f.state, 2*time.Second, 10*time.Millisecond).Should(Equal("running"))
	time.Sleep(500 * time.Millisecond) // The deletion must not arrive together with the status.
	f.store.Delete(platform.KindRollouts, "earlier")
	f.g.Consistently(rollouts, 800*time.Millisecond).Should(Equal(1))
}

// Guards against a good version that is rolled back by a leader whose list of runners is older than the order: that its runners are missing
// there shows nothing.
func TestLeaderWithAnOldListOfRunnersRollsNothingBack(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 1, runnerstand.Normal)
	f.load(f.routers)
	leader := f.routers[0]
	leader.storeEndpoint.SetReplicaRevision(f.store.Revision(), platform.KindRunners)
	const duration = 2 * time.Second
	f.order(duration)
	f.g.Consistently(f.state, duration+time.Second, 10*time.Millisecond).ShouldNot(Equal("rolled_back"), f.storedStatus)
	leader.storeEndpoint.CatchUp()
	f.g.Eventually(f.state, 3*time.Second, 10*time.Millisecond).Should(Equal("succeeded"), f.storedStatus)
}

// Guards against requests to a version that is tested, or was rolled back, by a router that has just started and has not read the orders yet:
// most runners have that version.
func TestStartedRouterWithoutOrdersSendsNothingToANewVersion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("old", "plain")
	f.engine("engine", 1)
	var fresh []*runnerstand.Runner
	for i := range 3 {
		fresh = append(fresh, f.startRunner(runnerstand.Config{ID: fmt.Sprint("new", i), Service: "plain", SoftwareVersion: targetVersion}))
	}
	f.store.SetListPage(1)
	for _, service := range []string{"engines", "plain"} {
		f.store.Put(platform.KindRollouts, service, map[string]any{"service": service, "target_version": targetVersion, "duration_s": 60})
	}
	r := f.routerWithStoreFault("started", func(settings *gateway.Settings) {
		settings.ExposedShare, settings.ExposedSlack = rolloutShare, rolloutSlack
	}, storestand.Busy)
	release := r.storeEndpoint.HoldListPages(platform.KindRollouts)
	r.storeEndpoint.SetFault(storestand.Healthy)
	r.awaitRunners(5)
	statuses := map[int]int{}
	for range 20 {
		statuses[r.call("/safe/x", nil).status]++
	}
	t.Logf("%v, %d requests to the new version", statuses, totalRuns(fresh))
	f.g.Expect(totalRuns(fresh)).To(BeZero())
	release()
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 3*time.Second, 10*time.Millisecond).Should(Equal(http.StatusOK))
	f.g.Expect(totalRuns(fresh)).To(BeZero())
}
