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

// Guards against keys that are served on answers of a store whose era cannot be told from an
// earlier one, and against routers that stay so once it can.
func TestAnswersWhoseEraIsNotTheNewestProveNothing(t *testing.T) {
	for what, write := range map[string]func(era uint64) string{
		"no era":                     func(uint64) string { return "" },
		"an era that cannot be read": func(uint64) string { return "two" },
		"an era of 0":                func(uint64) string { return "0" },
		"an earlier era":             func(era uint64) string { return strconv.FormatUint(era-1, 10) },
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			f := newRestorable(t, 1, func(settings *gateway.Settings) { settings.ConfigLease = 3 * time.Second })
			f.restore(f.store.Copy(), storeAway/8, nil)
			f.inNewEra()
			f.serves()
			f.store.WriteEra(write)
			f.configure(2, defaultRoutes(), goodKey)
			r := f.routers[0]
			f.g.Eventually(func() int { return r.call("/safe/x", withKey("key-two")).status }, 3*time.Second, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
			f.g.Consistently(func() int { return r.call("/safe/x", nil).status }, 500*time.Millisecond, 10*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
			f.store.WriteEra(func(era uint64) string { return strconv.FormatUint(era, 10) })
			f.serves()
			f.g.Expect(r.call("/safe/x", withKey("key-two")).status).To(Equal(http.StatusUnauthorized))
		})
	}
}

// Guards against an older store, which tells no era, that is not read.
func TestStoresThatTellNoEraAreReadAsBefore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.WriteEra(func(uint64) string { return "" })
	f.configure(1, defaultRoutes(), goodKey)
	f.runner("p1", "plain")
	r := f.servingRouter("r1", nil)
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.configure(2, defaultRoutes(), "key-two")
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, inForceTime, 5*time.Millisecond).Should(Equal(http.StatusUnauthorized))
}

// Guards against a herd of calls when all routers find out at once that the store came back
// from a copy.
func TestReturnOfTheStoreCostsFewCalls(t *testing.T) {
	t.Parallel()
	const routers = 12
	f := newRestorable(t, routers, nil)
	kept := f.store.Copy()
	f.configure(2, added("fresh"), goodKey)
	f.grow(lostWrites)
	time.Sleep(seenTime)
	f.setDoors(storestand.Reset)
	time.Sleep(storeAway)
	f.store.Restore(kept)
	calls := f.calls()
	f.setDoors(storestand.Healthy)
	f.inNewEra()
	time.Sleep(storeAway)
	f.g.Expect(f.calls()-calls).To(BeNumerically("<", 10*routers), "calls to the store in its first seconds")
}

// Guards against a return of the store, and losses with it, that nobody can see.
func TestReturnOfTheStoreIsLoggedAndCounted(t *testing.T) {
	t.Parallel()
	metricsAt := loopback.FreeAddress()
	f := newRestorable(t, 1, func(settings *gateway.Settings) { settings.MetricsAddress = metricsAt })
	kept := f.store.Copy()
	f.configure(2, added("fresh"), goodKey)
	f.runner("joined", "plain")
	f.grow(lostWrites)
	time.Sleep(seenTime)
	f.restore(kept, storeAway/4, nil)
	f.inNewEra()
	f.serves()
	for _, line := range []string{
		`"before":1,"era":2,"event":829`, `"era":2,"event":846,"kind":"configuration",.*"older":1`, `"era":2,"event":846,"kind":"runners",.*"missing":1`,
	} {
		f.g.Eventually(f.routers[0].log.String, inForceTime, 5*time.Millisecond).Should(MatchRegexp(line))
	}
	read := scrapeMetrics(f.g, metricsAt)
	f.g.Expect(read[`clovertiller_store_era`]).To(Equal(2.0))
	f.g.Expect(read[`clovertiller_store_restores_total`]).To(Equal(1.0))
	f.g.Expect(read[`clovertiller_store_lost_objects_total{kind="configuration",state="older"}`]).To(Equal(1.0))
	f.g.Expect(f.statusOf(metricsAt).StoreEra).To(Equal(uint64(2)))
	f.g.Expect(f.statusOf(metricsAt).ConfigVersion).To(Equal(uint64(2)))
}

// calls counts the calls to the store of all routers.
func (f *restorable) calls() (count int) {
	for _, r := range f.routers {
		count += r.storeEndpoint.Calls()
	}
	return count
}

// Guards against contents that end their runners again after all routers have restarted, as
// the store came back from a copy without their records and nobody writes these but routers.
func TestQuarantinesThatTheStoreLostAreWrittenAgain(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.route(3)
	kept := p.store.Copy()
	p.endRunners(3)
	p.keeps(3)
	for _, r := range p.routers {
		r.storeEndpoint.Set(storestand.Reset)
	}
	p.store.Restore(kept)
	p.g.Expect(p.store.Specs(platform.KindQuarantines)).To(BeEmpty())
	for _, r := range p.routers {
		r.storeEndpoint.Set(storestand.Healthy)
	}
	p.keeps(3)
	time.Sleep(time.Second)
	p.g.Expect(p.store.Writes(platform.KindQuarantines)).To(BeNumerically("<=", 2), "not by all routers")
}
