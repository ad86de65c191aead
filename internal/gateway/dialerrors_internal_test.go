package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

func TestDialErrorsAreCountedByCause(t *testing.T) {
	g := NewWithT(t)
	m := &metrics{runnerDialErrors: newCounterVec("runner_dial_errors_total", "", "cause")}
	m.countDialError(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	m.countDialError(&net.OpError{Op: "dial", Err: context.DeadlineExceeded})
	m.countDialError(&net.OpError{Op: "dial", Err: syscall.ENETUNREACH})
	registry, page := prometheus.NewRegistry(), httptest.NewRecorder()
	registry.MustRegister(m.runnerDialErrors)
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest(http.MethodGet, MetricsPath, nil))
	for _, cause := range []string{dialRefused, dialTimeout, dialFailed} {
		g.Expect(page.Body.String()).To(ContainSubstring(`clovertiller_runner_dial_errors_total{cause="` + cause + `"} 1`))
	}
}
