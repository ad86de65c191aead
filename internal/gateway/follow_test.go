package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

func TestRouterRejectsCallsWithoutConfiguration(t *testing.T) {
	f := newFleet(t)
	f.runner("p1", "plain")
	r := f.router("r1", nil)
	f.g.Consistently(r.isReady, 150*time.Millisecond).Should(BeFalse())
	got := r.call("/nowhere/", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable), "not 404, because the routes are not known yet")
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.configure(1, defaultRoutes(), validKey)
	f.g.Eventually(r.isReady, 2*time.Second).Should(BeTrue())
}

func TestConfigurationChangesTakeEffectAndNeverRevert(t *testing.T) {
	f, r, _ := newPlainFleet(t)
	f.configure(5, defaultRoutes(), "key-two")
	r.waitForConfig(5)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusUnauthorized), "the key was removed")
	f.configure(3, defaultRoutes(), validKey)
	f.store.CompactHistory()
	f.g.Eventually(r.log.String, 3*time.Second).Should(ContainSubstring("history of the store is gone"))
	f.g.Consistently(func() int { return r.call("/safe/x", nil).status }, 200*time.Millisecond).Should(Equal(http.StatusUnauthorized))
}

func TestMissedChangesAreListedAfterHistoryIsGone(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	r.storeEndpoint.SetFault(storestand.Reset)
	f.g.Eventually(r.log.String, 2*time.Second).Should(ContainSubstring("store calls fail"))
	f.store.Delete(platform.KindRunners, "p1")
	f.configure(2, defaultRoutes(), "key-two")
	f.store.CompactHistory()
	r.storeEndpoint.SetFault(storestand.Healthy)
	r.waitForConfig(2)
	f.g.Eventually(r.log.String, 3*time.Second).Should(ContainSubstring("runner removed"))
	f.g.Expect(r.call("/safe/x", func(request *http.Request) { request.Header.Set("Authorization", "Bearer key-two") }).status).To(Equal(http.StatusOK))
	f.g.Expect(runners[0].Runs()).To(BeEmpty())
}

// Guards against a router without access to the store that uses its configuration for requests with
// a key for longer than the lease, whatever the kind of failure.
func TestUnprovenConfigurationRejectsRequestsWithKeys(t *testing.T) {
	for name, fault := range map[string]storestand.Fault{
		"busy": storestand.Busy, "throttled": storestand.Throttled, "silent": storestand.Hangs, "reset": storestand.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			runner := f.runner("p1", "plain")
			const lease = 2 * time.Second
			r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.ConfigLease = lease })
			f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
			failedAt := time.Now()
			r.storeEndpoint.SetFault(fault)
			f.configure(2, defaultRoutes(), "key-two")
			f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, lease).Should(Equal(http.StatusServiceUnavailable))
			f.g.Expect(time.Since(failedAt)).To(BeNumerically("<", lease))
			runsBefore := len(runner.Runs())
			f.g.Expect(r.call("/safe/x", nil).header.Get("Retry-After")).NotTo(BeEmpty())
			f.g.Expect(r.call("/nowhere/", nil).status).To(Equal(http.StatusServiceUnavailable), "an unproven configuration must not deny a request either")
			f.g.Expect(r.call("/public/x", nil).status).To(Equal(http.StatusOK), "public routes are still served")
			f.g.Expect(runner.Runs()).To(HaveLen(runsBefore + 1))
			f.g.Expect(r.isReady()).To(BeFalse())
			f.g.Eventually(r.log.String, 2*time.Second).Should(ContainSubstring(`"event":811`))
			r.storeEndpoint.SetFault(storestand.Healthy)
			f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 3*time.Second).Should(Equal(http.StatusUnauthorized))
			f.g.Expect(strings.Count(r.log.String(), `"event":811`)).To(Equal(1))
			f.g.Expect(r.log.String()).To(ContainSubstring(`"event":812`))
		})
	}
}

// Guards against a long delay before the store is used again after a silence. Calls sent during the
// silence are lost, so no call may wait long for them.
func TestStoreIsReadSoonAfterSilenceEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.ConfigLease = 2 * time.Second })
	for _, silence := range []time.Duration{3500 * time.Millisecond, 6 * time.Second} {
		r.storeEndpoint.SetFault(storestand.Hangs)
		time.Sleep(silence)
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
		recoveredAt := time.Now()
		r.storeEndpoint.SetFault(storestand.Healthy)
		f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 6*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
		f.g.Expect(time.Since(recoveredAt)).To(BeNumerically("<", 1200*time.Millisecond), "time until recovery after a silence of %v", silence)
	}
}

func TestUnreadableObjectsAreIgnored(t *testing.T) {
	f, r, _ := newPlainFleet(t)
	f.store.Put(configKind, configName, "not a configuration")
	f.store.Put(platform.KindRunners, "odd", map[string]any{"service": 7})
	f.g.Eventually(r.log.String, 2*time.Second).Should(ContainSubstring("cannot be read"))
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK), "the last readable state stays in effect")
}

func nameWeights(f *fleet, version uint64) {
	f.store.Put(platform.KindWeightVersions, modelName, map[string]any{"model": modelName, "version": version})
}

func TestRunnersAreUpdatedToNamedWeights(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines"), f.runner("e3", "engines")}
	first, second := f.servingRouter("r1", nil), f.servingRouter("r2", nil)
	nameWeights(f, 2)
	for _, runner := range runners {
		f.g.Eventually(runner.WeightVersion, 5*time.Second, 20*time.Millisecond).Should(Equal(uint64(2)))
	}
	holders, tokens := map[string]bool{}, map[uint64]bool{}
	for _, runner := range runners {
		f.g.Expect(runner.Orders()).To(HaveLen(1))
		holders[runner.Orders()[0].Holder], tokens[runner.Orders()[0].FencingToken] = true, true
	}
	f.g.Expect(holders).To(HaveLen(1), "only one lease holder sends orders")
	f.g.Expect(tokens).To(HaveLen(1))
	for _, r := range []*router{first, second} {
		f.g.Eventually(func() int { return r.call("/stream/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
	}
}

func TestAnotherRouterTakesOverFromDeadLeaseHolder(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("e1", "engines")
	routers := map[string]*router{"r1": f.servingRouter("r1", nil), "r2": f.servingRouter("r2", nil)}
	nameWeights(f, 2)
	f.g.Eventually(runner.WeightVersion, 5*time.Second).Should(Equal(uint64(2)))
	updatedAt := time.Now()
	holder := runner.Orders()[0].Holder
	routers[holder].Kill()
	nameWeights(f, 3)
	f.g.Eventually(runner.WeightVersion, 8*time.Second, 20*time.Millisecond).Should(Equal(uint64(3)))
	orders := runner.Orders()
	next := orders[len(orders)-1]
	f.g.Expect(next.Holder).NotTo(Equal(holder))
	f.g.Expect(next.FencingToken).To(BeNumerically(">", orders[0].FencingToken))
	f.g.Expect(time.Since(updatedAt)).To(BeNumerically(">", time.Second), "the lease of the dead holder must expire first")
}

// Guards against orders that are repeated under a rejected fencing token. A runner that has seen a
// higher token shows that another router holds the lease.
func TestFencedLeaseHolderStepsDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	var runners []*runnerstand.Runner
	for i := range 6 {
		runner := f.runner(fmt.Sprintf("e%d", i), "engines")
		runner.SetFencingToken(1 << 40)
		runners = append(runners, runner)
	}
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.LeaseGap = time.Second })
	nameWeights(f, 2)
	f.g.Eventually(r.log.String, 5*time.Second, 10*time.Millisecond).Should(ContainSubstring("controller lease lost"))
	time.Sleep(900 * time.Millisecond)
	orders := map[uint64]int{}
	for _, runner := range runners {
		for _, order := range runner.Orders() {
			orders[order.FencingToken]++
		}
	}
	f.g.Expect(orders).To(HaveLen(1), "no second lease term while another holder may send orders")
	for token, sent := range orders {
		f.g.Expect(sent).To(BeNumerically("<=", 2), "only orders already in flight when token %d was rejected", token)
	}
}

// Guards against requests to a runner whose weights have expired, even if no leader can order an
// update.
func TestRunnersWithExpiredWeightsGetNoRequests(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = 800*time.Millisecond, 10*time.Millisecond
	})
	r.storeEndpoint.SetFault(storestand.LosesResponses)
	nameWeights(f, 2)
	f.g.Eventually(r.log.String, 2*time.Second).Should(ContainSubstring("weights named"))
	f.g.Eventually(func() int { return r.call("/stream/x", nil).status }, 2*time.Second).Should(Equal(http.StatusServiceUnavailable))
	f.g.Expect(runner.WeightVersion()).To(Equal(uint64(1)))
	runsBefore := len(runner.Runs())
	got := r.call("/stream/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(runner.Runs()).To(HaveLen(runsBefore))
}

func TestGracefulStopCompletesRequests(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Delays)
	}
	responses := make(chan callResponse, 1)
	go func() { responses <- r.call("/unsafe/x", nil) }()
	f.g.Eventually(func() int { return totalRuns(runners) }).Should(Equal(1))
	stopped := make(chan struct{})
	go func() { r.Stop(); close(stopped) }()
	f.g.Eventually(r.isReady).Should(BeFalse())
	late := r.call("/safe/x", nil)
	f.g.Expect(late.status).To(Equal(http.StatusOK), "requests during the stop are served")
	f.g.Expect(late.connectionClosed).To(BeTrue(), "callers are told to close the connection")
	var first callResponse
	f.g.Eventually(responses).Should(Receive(&first))
	f.g.Expect(first.status).To(Equal(http.StatusOK))
	f.g.Eventually(stopped, 3*time.Second).Should(BeClosed())
}
