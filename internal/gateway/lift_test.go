package gateway_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/platform"
)

// crashUnderPart sends requests with the bad part to the routers in turn until it is refused everywhere, and
// sound ones that share the other part.
func (p *partFleet) crashUnderPart(path string) {
	for number := range 2 * maxPartCrashes {
		r := p.routers[number%len(p.routers)]
		r.call(path, func(request *http.Request) {
			withBody(fmt.Sprint("crash ", number))(request)
			withPrompt(fmt.Sprintf("first:400,bad:300,own%d:50", number))(request)
		})
		p.g.Expect(r.call(path, withPrompt("first:400,own:50")).status).To(Equal(http.StatusOK))
	}
	for _, r := range p.routers {
		r.waitForLog(`"part":"bad"`)
	}
}

// callWithPart sends a request with the bad part and a body of its own, and returns the status.
func (p *partFleet) callWithPart(r *router, path string) int {
	number := p.numbers.Add(1)
	return r.call(path, func(request *http.Request) {
		withBody(fmt.Sprint("later ", number))(request)
		withPrompt(fmt.Sprintf("first:400,bad:300,own%d:50", number))(request)
	}).status
}

func (p *partFleet) lift(address string, lift gateway.LiftRequest) int {
	body, err := json.Marshal(lift)
	p.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+gateway.LiftPath, "application/json", bytes.NewReader(body))
	p.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	return response.StatusCode
}

// Guards against a quarantine that outlasts the repair of what crashed the runners, although an operator
// knows of the repair.
func TestLiftedQuarantineEndsAtAllRouters(t *testing.T) {
	t.Parallel()
	repaired := make(chan struct{})
	p := newPartFleet(t, 12, false, func(id string) bool {
		select {
		case <-repaired:
			return false
		default:
			return id == "bad"
		}
	})
	metricsAddress := loopback.FreeAddress()
	p.startRouters(2)
	p.routers = append(p.routers, p.servingRouter("admin", func(settings *gateway.Settings) {
		p.followerSettings(p.routers[0].seeds)(settings)
		settings.MetricsAddress = metricsAddress
	}))
	p.crashUnderPart("/once/x")
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, 2*time.Second, 5*time.Millisecond).Should(ContainElement(ContainSubstring("bad")))
	p.g.Expect(p.callWithPart(p.routers[0], "/once/x")).To(Equal(http.StatusServiceUnavailable))
	listed := p.fetchStatus(metricsAddress).Quarantined
	p.g.Expect(listed).To(HaveLen(1))
	p.g.Expect(listed[0].Part).To(Equal("bad"))

	close(repaired)
	p.g.Expect(p.lift(metricsAddress, gateway.LiftRequest{Tenant: "tenant-one", Part: "other"})).To(Equal(http.StatusNotFound))
	p.g.Expect(p.lift(metricsAddress, gateway.LiftRequest{Tenant: "tenant-one"})).To(Equal(http.StatusBadRequest))
	p.g.Expect(p.lift(metricsAddress, gateway.LiftRequest{Tenant: "tenant-one", Part: "bad"})).To(Equal(http.StatusNoContent))
	for _, r := range p.routers {
		p.g.Eventually(func() int { return p.callWithPart(r, "/once/x") }, time.Second, 10*time.Millisecond).Should(Equal(http.StatusOK))
	}
	p.g.Eventually(func() []string { return p.store.Specs(platform.KindQuarantines) }, 2*time.Second, 5*time.Millisecond).ShouldNot(ContainElement(ContainSubstring("bad")))
	p.g.Expect(scrapeMetrics(p.g, metricsAddress)["clovertiller_lifted_quarantines_total"]).To(Equal(1.0))
}
