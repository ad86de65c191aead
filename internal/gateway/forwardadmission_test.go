package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Guards against requests that end without an answer because the router that should finish them has a newer configuration,
// without their route, service or key, than the one that admitted them.
func TestForwardedCallKeepsItsAdmission(t *testing.T) {
	for name, change := range map[string]func(*fleet){
		"the route goes": func(f *fleet) { f.configure(2, defaultRoutes()[:1], validKey) },
		"the key goes":   func(f *fleet) { f.configure(2, routesWithLongTimeout(), "another-key") },
		"the route gets another service": func(f *fleet) {
			routes := routesWithLongTimeout()
			for _, route := range routes {
				if route["service"] == "engines" {
					route["service"] = "plain"
				}
			}
			f.configure(2, routes, validKey)
		},
		"the time-out shrinks": func(f *fleet) {
			routes := defaultRoutes()
			for _, route := range routes {
				route["timeout_ms"] = 100
			}
			f.configure(2, routes, validKey)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, routesWithLongTimeout(), validKey)
			for _, id := range []string{"e0", "e1"} {
				f.startRunner(runnerstand.Config{
					ID: id, Service: "engines", Model: modelName, Version: 1, EventCount: proxiedEngineEvents, EventInterval: proxiedEngineInterval,
				})
			}
			cut, healthy := newCutRouter(f, 0)
			response := cut.callWithLongTimeout("/stream/x", nil)
			time.Sleep(5 * proxiedEngineInterval)
			change(f)
			for _, r := range append(healthy, cut) {
				r.waitForConfig(2)
			}
			cut.links.set(linksReset)
			var got callResponse
			f.g.Eventually(response, longTimeout).Should(Receive(&got))
			f.g.Expect(got.status).To(Equal(http.StatusOK))
			f.g.Expect(got.truncated).To(BeFalse(), "the stream has no end")
		})
	}
}
