package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// leaveUnread sends a whole call and ends the connection at once.
func (r *router) leaveUnread(path string) {
	connection, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\n%s: 2500\r\nAuthorization: Bearer %s\r\n\r\nthe body",
		path, platform.HeaderRequestID, newRequestID(), platform.HeaderDeadline, goodKey)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.g.Expect(connection.Close()).To(Succeed())
}

// The callers gave up as nobody read their requests: those still lie on the connection with
// its end, and the server notices the end only once it waits for more.
func TestCallsWhoseCallersGaveUpUnreadReachNoRunner(t *testing.T) {
	t.Parallel()
	const calls = 40
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("p1", "plain")
	r := f.routerWithStoreFault("r1", func(settings *gateway.Settings) { settings.StartWait = 900 * time.Millisecond }, storestand.Busy)
	for range calls {
		r.leaveUnread("/safe/x")
	}
	time.Sleep(200 * time.Millisecond)
	r.storeEndpoint.Set(storestand.Healthy)
	f.g.Eventually(func() int { return r.call("/public/x", nil).status }, 2*time.Second, 5*time.Millisecond).Should(Equal(200))
	time.Sleep(200 * time.Millisecond)
	f.g.Expect(runner.Arrivals()).To(Equal(1), "nobody waits for the others")
}

// A caller that ends only its own side gets no answer that looks whole.
func TestCallerThatEndsItsSideGetsNoEmptyAnswer(t *testing.T) {
	for name, body := range map[string]string{"after the call": "the body", "within the body": "the"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, r, _ := plainFleet(t)
			connection, err := net.Dial("tcp", r.address)
			f.g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\nAuthorization: Bearer %s\r\n\r\n%s",
				platform.HeaderRequestID, newRequestID(), goodKey, body)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
			f.g.Expect(connection.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			got, err := io.ReadAll(connection)
			f.g.Expect(err).NotTo(HaveOccurred())
			if strings.HasPrefix(string(got), "HTTP/1.1 200") {
				f.g.Expect(string(got)).To(ContainSubstring(platform.HeaderStamp))
			}
		})
	}
}
