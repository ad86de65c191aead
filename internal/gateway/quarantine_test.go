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
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/platform"
)

// endRunners has one caller after the other ask what ends runners, each at the next router.
func (p *poisonedFleet) endRunners(count int) {
	for i := range count {
		p.g.Expect(p.routers[i%len(p.routers)].call("/once/x", asking(poisonBody)).status).NotTo(Equal(http.StatusServiceUnavailable))
		p.g.Eventually(func() int { ended, _ := p.endedBy(); return ended }, time.Second, time.Millisecond).Should(Equal(i + 1))
	}
}

// keeps waits until the store keeps one content with so many ends.
func (p *poisonedFleet) keeps(ends int) {
	p.g.Eventually(func() (kept []int) {
		for _, spec := range p.store.Specs(platform.KindQuarantines) {
			kept = append(kept, strings.Count(spec, `"runner":`))
		}
		return kept
	}, 2*time.Second, 5*time.Millisecond).Should(Equal([]int{ends}))
}

// Callers are told at once, with the moment from which it is worth to come again, and the
// figures and the log say why.
func TestQuarantinedRequestsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 6, false)
	at := loopback.FreeAddress()
	p.routers = []*router{p.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = at })}
	p.endRunners(3)
	p.routers[0].waitForLog("content is not sent any more")
	got := p.routers[0].call("/once/x", asking(poisonBody))
	p.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	p.g.Expect(got.duration).To(BeNumerically("<", 100*time.Millisecond))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(after).To(BeNumerically("~", 300, 5), "seconds")
	p.g.Expect(p.routers[0].call("/once/x", asking("another body")).status).To(Equal(http.StatusOK))
	p.g.Expect(p.routers[0].call("/once/y", asking(poisonBody)).status).NotTo(Equal(http.StatusServiceUnavailable), "another path is another content")
	listed := p.statusOf(at).Quarantined
	p.g.Expect(listed).To(HaveLen(1))
	p.g.Expect(listed[0].Runners).To(HaveLen(3))
	p.g.Expect(listed[0].RemainingMillis).To(BeNumerically("~", 300_000, 5_000))
	p.g.Expect(p.routers[0].log.String()).To(ContainSubstring(`"content":"` + listed[0].Content + `","event":511`))
	read := scrapeMetrics(p.g, at)
	p.g.Expect(read[`clovertiller_quarantines_total`]).To(Equal(1.0))
	p.g.Expect(read[`clovertiller_quarantine_seconds_count`]).To(Equal(1.0))
	p.g.Expect(read[`clovertiller_contents{state="quarantined"}`]).To(Equal(1.0))
	p.g.Expect(read[`clovertiller_refusals_total{reason="runners ended under requests with this content",status="503"}`]).To(Equal(1.0))
}

// A request shares each runner that ends with the one that ends it, and is served once the
// other one is known.
func TestRequestThatSharedTheEndedRunnersIsServed(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.route(1)
	for range 3 {
		var group sync.WaitGroup
		for _, body := range []string{"an innocent body", poisonBody} {
			group.Go(func() { p.routers[1].call("/once/x", asking(body)) })
		}
		group.Wait()
	}
	p.g.Eventually(func() int { return p.routers[0].call("/once/x", asking(poisonBody)).status }, time.Second).Should(Equal(http.StatusServiceUnavailable))
	for _, r := range p.routers {
		got := r.call("/once/x", asking("an innocent body"))
		p.g.Expect(got.status).To(Equal(http.StatusOK))
		p.g.Expect(got.duration).To(BeNumerically("<", 600*time.Millisecond), "its four events take 160 ms")
	}
}

// Routers know of ends that others saw, also one that starts later, and the store keeps what
// is quarantined until a runner has outlived it.
func TestAllRoutersKnowWhatIsQuarantined(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.route(3)
	p.endRunners(3)
	for _, r := range p.routers {
		r.waitForLog("content is not sent any more")
	}
	p.keeps(3)
	late := p.servingRouter("late", p.asFollower(p.routers[0].seeds))
	p.g.Expect(late.call("/once/x", asking(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
}

// The first router starts while the store is away, and learns what it keeps when it is back.
func TestKeptQuarantinesAreReadWhenTheStoreIsBack(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.routers = []*router{p.servingRouter("r1", nil)}
	p.endRunners(3)
	p.keeps(3)
	p.routers[0].Kill()
	next := p.routerWithStoreFault("r2", nil, storestand.Busy)
	time.Sleep(300 * time.Millisecond)
	next.storeEndpoint.Set(storestand.Healthy)
	next.waitForLog("configuration in force")
	p.g.Eventually(next.log.String, 3*time.Second, 5*time.Millisecond).Should(ContainSubstring("content is not sent any more"))
	p.g.Expect(next.call("/once/x", asking(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
	ended, _ := p.endedBy()
	p.g.Expect(ended).To(Equal(3))
}

// What a refused call has taken is given back: its scheduler does not count it.
func TestRefusedForItsContentIsCountedNowhere(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 6, false)
	at := loopback.FreeAddress()
	seeds := []string{loopback.FreeAddress()}
	seed := p.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.Seeds, settings.MetricsAddress = seeds[0], seeds, at
	})
	p.routers = []*router{seed, p.servingRouter("follower", p.asFollower(seeds))}
	p.endRunners(3)
	p.routers[1].waitForLog("content is not sent any more")
	for range 10 {
		p.g.Expect(p.routers[1].call("/once/x", asking(poisonBody)).status).To(Equal(http.StatusServiceUnavailable))
	}
	p.g.Eventually(func() float64 { return scrapeMetrics(p.g, at)["clovertiller_placed_requests"] }, time.Second, 10*time.Millisecond).Should(BeZero())
}

// Once a runner has outlived a content, the store keeps nothing of it: by another caller's
// run that was under way, for one.
func TestClearedContentIsTakenOutOfTheStore(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 8, false)
	p.routers = []*router{p.servingRouter("r1", nil)}
	survivor := p.engine("survivor", 1)
	survivor.Behave(runnerstand.Pauses)
	for _, runner := range p.started {
		p.putEntry(runner, "draining")
	}
	p.g.Eventually(func() int { return strings.Count(p.routers[0].log.String(), `"draining":true`) }, time.Second).Should(Equal(8))
	whole := make(chan answer, 1)
	go func() { whole <- p.routers[0].call("/once/x", asking(poisonBody)) }()
	p.g.Eventually(survivor.Arrivals, time.Second, time.Millisecond).Should(Equal(1))
	p.putEntry(survivor, "draining")
	for _, runner := range p.started {
		p.putEntry(runner, "ready")
	}
	p.g.Eventually(func() int { return strings.Count(p.routers[0].log.String(), `"draining":false`) }, time.Second).Should(BeNumerically(">=", 16))
	p.endRunners(3)
	p.keeps(3)
	survivor.Resume()
	p.g.Expect((<-whole).status).To(Equal(http.StatusOK))
	p.routers[0].waitForLog("content is sent again")
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, time.Second, 5*time.Millisecond).Should(BeEmpty())
}

// All routers were away for longer than the record was of use: nobody else takes it out.
func TestRecordThatIsOfNoUseAnyMoreIsTakenOutOfTheStore(t *testing.T) {
	t.Parallel()
	p := newPoisonedFleet(t, 1, false)
	record := quarantine.Record{Content: quarantine.ContentID{Tenant: "tenant-one", Digest: 255}}
	for i, id := range []string{"a", "b", "c"} {
		ended := time.Now().Add(time.Duration(i)*time.Second - 48*time.Hour)
		record.Crashes = append(record.Crashes, quarantine.Crash{Runner: quarantine.Runner{ID: id}, SentAt: ended.Add(-time.Millisecond), DetectedAt: ended})
	}
	door, err := p.store.Open()
	p.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(door.Close)
	client := &platform.Store{Address: door.Address, Pool: httpconn.NewPool(httpconn.DefaultDialTimeout)}
	p.g.Expect(client.KeepQuarantine(t.Context(), record)).To(Succeed())
	p.servingRouter("r1", nil)
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, 2*time.Second, 5*time.Millisecond).Should(BeEmpty())
}
