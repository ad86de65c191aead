package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against refusals after attempts of which logs and metrics don't tell what proves that the attempts did not run.
func TestRefusalTellsWhatBecameOfEachAttempt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	f.runner("p1", "plain").SetBehaviour(runnerstand.Sheds)
	address := loopback.FreeAddress()
	r := f.servingRouter("r1", func(settings *gateway.Settings) { settings.MetricsAddress = address })
	for range 2 {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusServiceUnavailable))
	}
	refusals := r.loggedEvents(events.RequestRefused)
	f.g.Expect(refusals).To(HaveLen(2))
	f.g.Expect(refusals[0]).To(HaveKeyWithValue("tried", ConsistOf("1 p1 new connection: rejected")))
	f.g.Expect(refusals[1]).To(HaveKeyWithValue("tried", ConsistOf("1 p1 kept connection: rejected")))
	f.g.Expect(scrapeMetrics(f.g, address)).To(HaveKeyWithValue(`clovertiller_refusal_proofs_total{proof="rejected",service="plain"}`, 2.0))
}
