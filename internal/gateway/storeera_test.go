package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Guards against requests with a key that are served because of responses whose era is unknown or
// earlier, and against routers that do not recover when the era is correct again.
func TestResponsesWithoutNewestEraProveNothing(t *testing.T) {
	for what, write := range map[string]func(era uint64) string{
		"no era":          func(uint64) string { return "" },
		"a malformed era": func(uint64) string { return "two" },
		"an era of 0":     func(uint64) string { return "0" },
		"an earlier era":  func(era uint64) string { return strconv.FormatUint(era-1, 10) },
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			f := newRestorableFleet(t, 1, func(settings *gateway.Settings) { settings.ConfigLease = 3 * time.Second })
			f.restore(f.store.Backup(), storeDowntime/8, nil)
			f.awaitNewEra()
			f.awaitServing()
			f.store.SetEraFormat(write)
			f.configure(2, defaultRoutes(), validKey)
			r := f.routers[0]
			f.g.Eventually(func() int { return r.call("/safe/x", withKey("key-two")).status }, 3*time.Second, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
			f.g.Consistently(func() int { return r.call("/safe/x", nil).status }, 500*time.Millisecond, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
			f.store.SetEraFormat(func(era uint64) string { return strconv.FormatUint(era, 10) })
			f.awaitServing()
			f.g.Expect(r.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized))
		})
	}
}

// Guards against a router that does not read an older store, which reports no era.
func TestStoreWithoutEraIsRead(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetEraFormat(func(uint64) string { return "" })
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.configure(2, defaultRoutes(), "key-two")
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, applyTimeout, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
}

// Guards against a burst of store calls when all routers detect a restore at once.
func TestRestoreCostsFewStoreCalls(t *testing.T) {
	t.Parallel()
	const routers = 12
	f := newRestorableFleet(t, routers, nil)
	backup := f.store.Backup()
	f.configure(2, routesWith("fresh"), validKey)
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)
	f.setStoreFault(storestand.Reset)
	time.Sleep(storeDowntime)
	f.store.Restore(backup)
	calls := f.storeCalls()
	f.setStoreFault(storestand.Healthy)
	f.awaitNewEra()
	time.Sleep(storeDowntime)
	f.g.Expect(f.storeCalls()-calls).To(BeNumerically("<", 10*routers), "store calls in the first seconds after the restore")
}

// Guards against restores, and losses caused by them, that appear neither in logs nor in metrics.
func TestRestoreIsLoggedAndCounted(t *testing.T) {
	t.Parallel()
	metricsAddress := loopback.FreeAddress()
	f := newRestorableFleet(t, 1, func(settings *gateway.Settings) { settings.MetricsAddress = metricsAddress })
	backup := f.store.Backup()
	f.configure(2, routesWith("fresh"), validKey)
	f.runner("joined", "plain")
	f.writeUnrelated(lostWrites)
	time.Sleep(revisionPropagationTime)
	f.restore(backup, storeDowntime/4, nil)
	f.awaitNewEra()
	f.awaitServing()
	for _, line := range []string{
		`"before":1,"era":2,"event":829`, `"era":2,"event":846,"kind":"configuration",.*"older":1`, `"era":2,"event":846,"kind":"runners",.*"missing":1`,
	} {
		f.g.Eventually(f.routers[0].log.String, applyTimeout, 5*time.Millisecond).Should(MatchRegexp(line))
	}
	metrics := scrapeMetrics(f.g, metricsAddress)
	f.g.Expect(metrics[`clovertiller_store_era`]).To(Equal(2.0))
	f.g.Expect(metrics[`clovertiller_store_restores_total`]).To(Equal(1.0))
	f.g.Expect(metrics[`clovertiller_store_lost_objects_total{kind="configuration",state="older"}`]).To(Equal(1.0))
	f.g.Expect(f.fetchStatus(metricsAddress).StoreEra).To(Equal(uint64(2)))
	f.g.Expect(f.fetchStatus(metricsAddress).ConfigVersion).To(Equal(uint64(2)))
}

// storeCalls returns the number of store calls of all routers.
func (f *restorableFleet) storeCalls() (count int) {
	for _, r := range f.routers {
		count += r.storeEndpoint.CallCount()
	}
	return count
}

// Guards against contents that end runners again after all routers have restarted, because the
// backup from which the store was restored lacks their records. Only routers write these records.
func TestQuarantinesLostByStoreAreRewritten(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.startRouters(3)
	backup := p.store.Backup()
	p.crashRunners(3)
	p.expectStoredCrashes(3)
	for _, r := range p.routers {
		r.storeEndpoint.SetFault(storestand.Reset)
	}
	p.store.Restore(backup)
	p.g.Expect(p.store.Specs(platform.KindQuarantines)).To(BeEmpty())
	for _, r := range p.routers {
		r.storeEndpoint.SetFault(storestand.Healthy)
	}
	p.expectStoredCrashes(3)
	time.Sleep(time.Second)
	p.g.Expect(p.store.WriteCount(platform.KindQuarantines)).To(BeNumerically("<=", 2), "records are not written by all routers")
}
