package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/httpconn"
)

// Guards against idle connections that keep their file descriptors while a router needs them to accept callers.
func TestIdleConnectionsAreReleasedForCallers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	runner := f.runner("p1", "plain")
	pool := httpconn.NewPool(httpconn.DefaultDialTimeout)
	opened := 0
	pool.OnOpen = func() { opened++ }
	ask := func() {
		response, err := pool.Send(t.Context(), runner.Address, &httpconn.Request{Method: http.MethodGet, Target: "/-/health", Host: runner.Address, Header: http.Header{}})
		g.Expect(err).NotTo(HaveOccurred())
		_, end := response.Body.ReadAll(1 << 20)
		g.Expect(end.IsComplete()).To(BeTrue())
		response.Body.Close()
	}
	ask()
	ask()
	g.Expect(opened).To(Equal(1))
	g.Expect(pool.CloseAllIdle()).To(Equal(1))
	g.Expect(pool.CloseAllIdle()).To(BeZero())
	ask()
	g.Expect(opened).To(Equal(2))
}
