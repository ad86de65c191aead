package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against requests that leave their region without a count and a reason in the log, also where
// a scheduler has placed them. The runners are in zone z.
func TestReasonForLeavingTheRegionIsReported(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	seed, metricsAddresses := loopback.FreeAddress(), []string{loopback.FreeAddress(), loopback.FreeAddress()}
	var routers []*router
	for i, name := range []string{"seed", "follower"} {
		routers = append(routers, f.servingRouter(name, func(settings *gateway.Settings) {
			settings.PeerAddress, settings.Seeds, settings.MetricsAddress = seed, []string{seed}, metricsAddresses[i]
			settings.Zone, settings.Region = "b1", "b"
			settings.ZoneRegions = map[string]string{"z": "a", "b1": "b"}
			settings.PlacePatience = longPlacePatience
			if i > 0 {
				settings.PeerAddress = loopback.FreeAddress()
			}
		}))
	}
	for i, r := range routers {
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		f.expectMetric(metricsAddresses[i], `clovertiller_sends_by_distance_total{distance="other_region",reason="no_runner",service="plain"}`, 1)
	}
	f.g.Expect(scrapeMetrics(f.g, metricsAddresses[1])[schedulerChoicesSeries]).To(BeNumerically("==", 1))
	runner.SetBehaviour(runnerstand.Drops)
	for _, r := range routers {
		r.call("/safe/x", nil)
		r.waitForLog(`"left_region":"no_runner"`)
		f.g.Expect(r.log.String()).To(ContainSubstring(`"zone":"z"`))
	}
}

// Guards against a reason where no regions are configured.
func TestNoReasonWithoutRegions(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner, metricsAddress := f.runner("p1", "plain"), loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.Zone, settings.MetricsAddress = "other", metricsAddress })
	f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	f.expectMetric(metricsAddress, `clovertiller_sends_by_distance_total{distance="region",reason="",service="plain"}`, 1)
	runner.SetBehaviour(runnerstand.Drops)
	r.call("/safe/x", nil)
	r.waitForLog("request sent to runner")
	f.g.Expect(r.log.String()).NotTo(ContainSubstring("left_region"))
}
