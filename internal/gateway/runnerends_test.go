package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/platform"
)

// counts waits until the figures at the address have the value of the series.
func (f *fleet) counts(address, series string, value float64) {
	f.g.Eventually(func() float64 { return scrapeMetrics(f.g, address)[series] }, time.Second, 5*time.Millisecond).Should(Equal(value))
}

// A runner that ends is told from one whose connections break, and the log names what was
// at work on it.
func TestEndOfARunnerIsToldFromALostConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("e1", "engines")
	at := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = at })
	asked := quarantine.NewContentID("tenant-one", "h.example", "/once/x", []byte("the body")).String()
	runner.Behave(runnerstand.BreaksOff)
	f.g.Expect(r.call("/once/x", nil).truncated).To(BeTrue())
	f.counts(at, `clovertiller_runner_checks_total{outcome="runs",service="engines"}`, 1)
	f.g.Expect(r.log.String()).To(And(ContainSubstring(`"content":"`+asked), Not(ContainSubstring("runner ended with requests at work"))))
	runner.Behave(runnerstand.Dies)
	f.g.Expect(r.call("/once/x", nil).truncated).To(BeTrue())
	r.waitForLog("runner ended with requests at work")
	f.g.Expect(r.log.String()).To(ContainSubstring(`"contents":["` + asked + `"]`))
	f.counts(at, `clovertiller_runner_checks_total{outcome="ended",service="engines"}`, 1)
}

// The end of a runner that has said that it leaves is planned, and not looked into: the contents
// at it would be suspected.
func TestPlannedEndOfARunnerIsNotLookedInto(t *testing.T) {
	for name, byAnswer := range map[string]bool{"by its entry": false, "by its answer": true} {
		t.Run(name, func(t *testing.T) { testPlannedEnd(t, byAnswer) })
	}
}

func testPlannedEnd(t *testing.T, byAnswer bool) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("e1", "engines")
	runner.Behave(runnerstand.Pauses)
	if byAnswer {
		runner.Announce(platform.HeaderLeaving, "1")
	}
	at := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = at })
	done := make(chan answer)
	go func() { done <- r.call("/once/x", nil) }()
	f.g.Eventually(runner.Arrivals).Should(Equal(1))
	if byAnswer {
		r.waitForLog(`"leaving":true`)
	} else {
		f.putEntry(runner, "draining")
		r.waitForLog(`"draining":true`)
	}
	runner.Close()
	f.g.Expect((<-done).truncated).To(BeTrue())
	f.g.Consistently(r.log.String, "300ms").ShouldNot(ContainSubstring("runner ended with requests at work"))
	f.g.Expect(scrapeMetrics(f.g, at)).NotTo(HaveKey(HavePrefix("clovertiller_runner_checks_total")))
}
