package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// scrapeMetrics returns the router's metrics by series.
func scrapeMetrics(g *WithT, address string) map[string]float64 {
	response, err := http.Get("http://" + address + gateway.MetricsPath)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	series := map[string]float64{}
	for _, line := range regexp.MustCompile(`(?m)^(clovertiller_[^#]*?) ([0-9.e+-]+)$`).FindAllStringSubmatch(string(text), -1) {
		series[line[1]], err = strconv.ParseFloat(line[2], 64)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return series
}

func TestStatusReportsRouterState(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(3, defaultRoutes(), validKey)
	f.runner("e1", "engines")
	f.putEntry(f.runner("p1", "plain"), "draining")
	address := loopback.FreeAddress()
	f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = address })
	nameWeights(f, 2)
	read := func() (status gateway.Status) {
		response, err := http.Get("http://" + address + gateway.StatusPath)
		f.g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		f.g.Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
		return status
	}
	f.g.Eventually(func() uint64 {
		for _, runner := range read().Runners {
			if runner.ID == "e1" {
				return runner.Weights[modelName]
			}
		}
		return 0
	}, 5*time.Second).Should(Equal(uint64(2)))
	got := read()
	f.g.Expect(got.Node).To(Equal("r1"))
	f.g.Expect(got.ConfigVersion).To(Equal(uint64(3)))
	f.g.Expect(got.Proven).To(BeTrue())
	f.g.Expect(got.ProofAgeMillis).To(BeNumerically("<", 3500))
	f.g.Expect(got.ReadsStore).To(BeTrue())
	f.g.Expect(got.Weights).To(Equal(map[string]uint64{modelName: 2}))
	states := map[string]string{}
	for _, runner := range got.Runners {
		states[runner.ID] = runner.State
	}
	f.g.Expect(states).To(HaveKeyWithValue("p1", "draining"))
	f.g.Expect(states).To(HaveKey("e1"))
}

func TestMetricsReportCallsAndOrders(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	failing, healthy := f.runner("p1", "plain"), f.runner("p2", "plain")
	f.runner("e1", "engines")
	failing.SetBehaviour(runnerstand.Fails)
	address := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.MetricsAddress, settings.RetryReserve, settings.ConfigLease = address, 20, 2*time.Second
	})
	f.g.Eventually(func() int { return r.call("/stream/x", nil).status }, time.Second).Should(Equal(http.StatusOK))
	const calls = 8
	for range calls {
		r.call("/safe/x", nil)
	}
	nameWeights(f, 2)
	f.g.Eventually(func() float64 {
		return scrapeMetrics(f.g, address)[`clovertiller_weight_update_seconds_count{outcome="done"}`]
	}, 5*time.Second).Should(Equal(1.0))
	got := scrapeMetrics(f.g, address)
	sends := got[`clovertiller_attempts_total{service="plain"}`]
	f.g.Expect(sends).To(Equal(float64(len(failing.Runs()) + len(healthy.Runs()))))
	f.g.Expect(got[`clovertiller_runner_failures_total{outcome="failed",service="plain"}`]).To(Equal(float64(len(failing.Runs()))))
	f.g.Expect(got[`clovertiller_retries_total{outcome="sent",service="plain"}`]).To(Equal(sends - calls))
	f.g.Expect(got[`clovertiller_calls_total{kind="safe",outcome="complete",route="safe",service="plain"}`]).To(Equal(float64(calls)))
	f.g.Expect(got[`clovertiller_call_seconds_count{kind="safe",service="plain"}`]).To(Equal(float64(calls)))
	f.g.Expect(got[`clovertiller_first_event_seconds_count{service="engines"}`]).To(BeNumerically(">=", 1))
	f.g.Expect(got[`clovertiller_placements_total{kept="yes",service="engines"}`]).To(BeNumerically(">=", 1))
	f.g.Expect(got[`clovertiller_prompt_tokens_total{kept="yes",service="engines"}`]).To(BeNumerically(">=", 300))
	f.g.Expect(got["clovertiller_runner_connections_total"]).To(BeNumerically(">=", 2))
	f.g.Expect(got[`clovertiller_store_call_seconds_count{call="list",kind="configuration"}`]).To(Equal(1.0))
	f.g.Expect(got[`clovertiller_store_call_seconds_count{call="write",kind="lease"}`]).To(BeNumerically(">=", 1))
	f.g.Expect(got[`clovertiller_orders_total{outcome="taken"}`]).To(Equal(1.0))
	f.g.Expect(got[`clovertiller_runners{service="engines",state="serving"}`]).To(Equal(1.0))
	f.g.Expect(got["clovertiller_config_version"]).To(Equal(1.0))
	f.g.Expect(got["clovertiller_config_proof_age_seconds"]).To(BeNumerically("<", 2))

	r.storeEndpoint.SetFault(storestand.Reset)
	f.g.Eventually(func() int { return r.call("/safe/x", nil).status }, 2*time.Second).Should(Equal(http.StatusServiceUnavailable))
	got = scrapeMetrics(f.g, address)
	f.g.Expect(got[`clovertiller_store_failures_total{kind="configuration"}`]).To(BeNumerically(">", 0))
	f.g.Expect(got[`clovertiller_refusals_total{reason="the configuration is not proved",status="503"}`]).To(BeNumerically(">=", 1))
}
