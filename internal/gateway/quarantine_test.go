package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/platform"
)

// crashRunners sends the poison the given number of times, each to the next router, and waits for
// the crashes.
func (p *poisonedFleet) crashRunners(count int) { p.crashRunnersFrom(0, count) }

// crashRunnersFrom is crashRunners after a number of crashes.
func (p *poisonedFleet) crashRunnersFrom(before, count int) {
	for i := before; i < before+count; i++ {
		p.g.Expect(p.routers[i%len(p.routers)].call("/once/x", withBody(poisonBody)).status).NotTo(Equal(http.StatusServiceUnavailable))
		p.g.Eventually(func() int { crashes, _ := p.crashCount(); return crashes }, time.Second, time.Millisecond).Should(Equal(i + 1))
	}
}

// expectStoredCrashes waits until the store has exactly one record, with the given number of
// crashes.
func (p *poisonedFleet) expectStoredCrashes(count int) {
	p.g.Eventually(func() (crashes []int) {
		for _, spec := range p.store.Specs(platform.KindQuarantines) {
			crashes = append(crashes, strings.Count(spec, `"runner":`))
		}
		return crashes
	}, 2*time.Second, 5*time.Millisecond).Should(Equal([]int{count}))
}

// Callers are refused at once with a Retry-After header, and metrics, status and log give the
// reason.
func TestQuarantinedRequestsAreRefusedImmediately(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 6, false)
	metricsAddress := loopback.FreeAddress()
	p.routers = []*router{p.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = metricsAddress })}
	p.crashRunners(3)
	p.routers[0].waitForLog("content is not sent any more")
	got := p.routers[0].call("/once/x", withBody(poisonBody))
	p.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	p.g.Expect(got.duration).To(BeNumerically("<", 100*time.Millisecond))
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(retryAfter).To(BeNumerically("~", 300, 5), "seconds")
	p.g.Expect(p.routers[0].call("/once/x", withBody("another body")).status).To(Equal(http.StatusOK))
	p.g.Expect(p.routers[0].call("/once/y", withBody(poisonBody)).status).NotTo(Equal(http.StatusServiceUnavailable), "a different path is a different content")
	listed := p.fetchStatus(metricsAddress).Quarantined
	p.g.Expect(listed).To(HaveLen(1))
	p.g.Expect(listed[0].Runners).To(HaveLen(3))
	p.g.Expect(listed[0].RemainingMillis).To(BeNumerically("~", 300_000, 5_000))
	p.g.Expect(p.routers[0].log.String()).To(ContainSubstring(`"content":"` + listed[0].Content + `","event":511`))
	metrics := scrapeMetrics(p.g, metricsAddress)
	p.g.Expect(metrics[`clovertiller_quarantines_total`]).To(Equal(1.0))
	p.g.Expect(metrics[`clovertiller_quarantine_seconds_count`]).To(Equal(1.0))
	p.g.Expect(metrics[`clovertiller_contents{state="quarantined"}`]).To(Equal(1.0))
	p.g.Expect(metrics[`clovertiller_refusals_total{reason="runners ended under requests with this content",status="503"}`]).To(Equal(1.0))
}

// An innocent request that runs beside the poison on each crashed runner is served once the poison
// is identified.
func TestInnocentRequestOnCrashedRunnersIsServed(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.startRouters(1)
	for range 3 {
		var group sync.WaitGroup
		for _, body := range []string{"an innocent body", poisonBody} {
			group.Go(func() { p.routers[1].call("/once/x", withBody(body)) })
		}
		group.Wait()
	}
	p.g.Eventually(func() int { return p.routers[0].call("/once/x", withBody(poisonBody)).status }, time.Second).Should(Equal(http.StatusServiceUnavailable))
	for _, r := range p.routers {
		got := r.call("/once/x", withBody("an innocent body"))
		p.g.Expect(got.status).To(Equal(http.StatusOK))
		p.g.Expect(got.duration).To(BeNumerically("<", 600*time.Millisecond), "the four events of its response take 160 ms")
	}
}

// Routers know the crashes that others detected, even if they start later, and the store keeps the
// quarantine until a runner survives the content.
func TestQuarantineReachesAllRouters(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.startRouters(3)
	p.crashRunners(3)
	for _, r := range p.routers {
		r.waitForLog("content is not sent any more")
	}
	p.expectStoredCrashes(3)
	late := p.servingRouter("late", p.followerSettings(p.routers[0].seeds))
	p.g.Expect(late.call("/once/x", withBody(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
}

// The first router starts while the store is unavailable, and reads the stored records once it is
// back.
func TestStoredQuarantinesAreReadAfterStoreOutage(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.routers = []*router{p.servingRouter("r1", nil)}
	p.crashRunners(3)
	p.expectStoredCrashes(3)
	p.routers[0].Kill()
	next := p.routerWithStoreFault("r2", nil, storestand.Busy)
	time.Sleep(300 * time.Millisecond)
	next.storeEndpoint.SetFault(storestand.Healthy)
	next.waitForLog("configuration in force")
	p.g.Eventually(next.log.String, 3*time.Second, 5*time.Millisecond).Should(ContainSubstring("content is not sent any more"))
	p.g.Expect(next.call("/once/x", withBody(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
	crashed, _ := p.crashCount()
	p.g.Expect(crashed).To(Equal(3))
}

// The scheduler does not count requests that were refused because of their content: their placement
// is released.
func TestQuarantineRefusalReleasesPlacement(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 6, false)
	metricsAddress := loopback.FreeAddress()
	seeds := []string{loopback.FreeAddress()}
	seed := p.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.MetricsAddress = seeds[0], seeds, metricsAddress
	})
	p.routers = []*router{seed, p.servingRouter("follower", p.followerSettings(seeds))}
	p.crashRunners(3)
	p.routers[1].waitForLog("content is not sent any more")
	for range 10 {
		p.g.Expect(p.routers[1].call("/once/x", withBody(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
	}
	p.g.Eventually(func() float64 { return scrapeMetrics(p.g, metricsAddress)["clovertiller_placed_requests"] }, time.Second, 10*time.Millisecond).Should(BeZero())
}

// Once a runner has survived the content, for example in a run of another caller that was already
// in progress, the store must not keep a record of it.
func TestClearedContentIsRemovedFromStore(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.routers = []*router{p.servingRouter("r1", nil)}
	survivor := p.engine("survivor", 1)
	survivor.SetBehaviour(runnerstand.Pauses)
	for _, runner := range p.runners {
		p.putEntry(runner, "draining")
	}
	p.g.Eventually(func() int { return strings.Count(p.routers[0].log.String(), `"draining":true`) }, time.Second).Should(Equal(8))
	responses := make(chan callResponse, 1)
	go func() { responses <- p.routers[0].call("/once/x", withBody(poisonBody)) }()
	p.g.Eventually(survivor.ArrivalCount, time.Second, time.Millisecond).Should(Equal(1))
	p.putEntry(survivor, "draining")
	for _, runner := range p.runners {
		p.putEntry(runner, "ready")
	}
	p.g.Eventually(func() int { return strings.Count(p.routers[0].log.String(), `"draining":false`) }, time.Second).Should(BeNumerically(">=", 16))
	p.crashRunners(3)
	p.expectStoredCrashes(3)
	survivor.ResumeStreams()
	p.g.Expect((<-responses).status).To(Equal(http.StatusOK))
	p.routers[0].waitForLog("content is sent again")
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, time.Second, 5*time.Millisecond).Should(BeEmpty())
}

// All routers were down until the record had expired, so a new one must remove it.
func TestExpiredRecordIsRemovedFromStore(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 1, false)
	record := quarantine.Record{Subject: quarantine.Subject{Tenant: "tenant-one", Digest: 255}}
	for i, id := range []string{"a", "b", "c"} {
		detectedAt := time.Now().Add(time.Duration(i)*time.Second - 48*time.Hour)
		record.Crashes = append(record.Crashes, quarantine.Crash{Runner: quarantine.Runner{ID: id}, SentAt: detectedAt.Add(-time.Millisecond), DetectedAt: detectedAt})
	}
	endpoint, err := p.store.OpenEndpoint()
	p.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	client := &platform.StoreClient{Address: endpoint.Address, Pool: httpconn.NewPool(httpconn.DefaultDialTimeout)}
	_, err = client.SaveQuarantine(t.Context(), record, 0)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.servingRouter("r1", nil)
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, 2*time.Second, 5*time.Millisecond).Should(BeEmpty())
}

// Guards against crashes that are lost from the store: a router whose list of records is older than the stored one replaced that by its own,
// and the router that knew the others is lost.
func TestRecordOfRouterThatIsBehindKeepsStoredCrashes(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	behind := p.servingRouter("behind", nil)
	behind.storeEndpoint.SetReplicaRevision(p.store.Revision(), platform.KindQuarantines)
	p.routers = []*router{p.servingRouter("ahead", nil)}
	p.crashRunners(3)
	p.expectStoredCrashes(3)
	p.routers[0].Kill()
	for range 2 {
		p.g.Expect(behind.call("/once/x", withBody(poisonBody)).status).NotTo(Equal(http.StatusServiceUnavailable))
	}
	p.expectStoredCrashes(5)
}

// Guards against a crash that no other router learns of: the connections of the router that detected it to the seed had fallen silent
// without a reset, and the store refuses that router.
func TestCrashReportedOnSilentConnectionReachesOtherRouters(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	seeds := []string{loopback.FreeAddress()}
	link := p.proxyTo(seeds[0])
	seed := p.servingRouter("seed", func(settings *gateway.Settings) { settings.PeerAddress, settings.Seeds = seeds[0], seeds })
	reporter := p.servingRouter("reporter", func(settings *gateway.Settings) {
		p.followerSettings([]string{link.Address})(settings)
	})
	other := p.servingRouter("other", p.followerSettings(seeds))
	p.routers = []*router{reporter}
	p.crashRunners(2)
	time.Sleep(100 * time.Millisecond)
	reporter.storeEndpoint.SetFault(storestand.Busy)
	link.SetMode(faultproxy.MuteExisting)
	p.crashRunnersFrom(2, 1)
	mutedAt := time.Now()
	reporter.waitForLog("content is not sent any more")
	for _, r := range []*router{seed, other} {
		p.g.Eventually(r.log.String, 3*time.Second, 5*time.Millisecond).Should(ContainSubstring("content is not sent any more"))
		t.Logf("known after %v", time.Since(mutedAt))
	}
}
