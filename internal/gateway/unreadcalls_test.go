package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// sendAndDisconnect sends a complete request and closes the connection immediately.
func (r *router) sendAndDisconnect(path string) {
	connection, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\n%s: 2500\r\nAuthorization: Bearer %s\r\n\r\nthe body",
		path, platform.HeaderRequestID, newRequestID(), platform.HeaderDeadlineMillis, validKey)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.g.Expect(connection.Close()).To(Succeed())
}

// Callers disconnect before the router has read their requests. The requests and the end of the
// connection are then both in the socket buffer, and net/http detects the end only when it reads
// beyond the request.
func TestCallsOfDisconnectedCallersReachNoRunner(t *testing.T) {
	t.Parallel()
	const calls = 40
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	r := f.routerWithStoreFault("r1", func(settings *gateway.Settings) { settings.StartWait = 900 * time.Millisecond }, storestand.Busy)
	for range calls {
		r.sendAndDisconnect("/safe/x")
	}
	time.Sleep(200 * time.Millisecond)
	r.storeEndpoint.SetFault(storestand.Healthy)
	f.g.Eventually(func() int { return r.call("/public/x", nil).status }, 2*time.Second, 5*time.Millisecond).Should(Equal(200))
	time.Sleep(200 * time.Millisecond)
	f.g.Expect(runner.ArrivalCount()).To(Equal(1), "the callers of all other calls have disconnected")
}

// A caller that closes only its sending side must not get an empty response that looks complete.
func TestHalfClosedConnectionGetsNoEmptyResponse(t *testing.T) {
	for name, body := range map[string]string{"after the request": "the body", "within the body": "the"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, r, _ := newPlainFleet(t)
			connection, err := net.Dial("tcp", r.address)
			f.g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: %s\r\nAuthorization: Bearer %s\r\n\r\n%s",
				platform.HeaderRequestID, newRequestID(), validKey, body)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
			f.g.Expect(connection.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			got, err := io.ReadAll(connection)
			f.g.Expect(err).NotTo(HaveOccurred())
			if strings.HasPrefix(string(got), "HTTP/1.1 200") {
				f.g.Expect(string(got)).To(ContainSubstring(platform.HeaderResponseStamp))
			}
		})
	}
}

// Guards against callers whose malformed body is taken for a closed connection: they are there and get a response.
func TestMalformedBodyIsAnswered(t *testing.T) {
	t.Parallel()
	f, r, runners := newPlainFleet(t)
	connection := r.dial()
	_, err := fmt.Fprintf(connection, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n%s: %s\r\nAuthorization: Bearer %s\r\n\r\n8\r\nthe body\r\nno length\r\n",
		platform.HeaderRequestID, newRequestID(), validKey)
	f.g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
	f.g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	f.g.Expect(totalRuns(runners)).To(BeZero())
	f.g.Expect(r.loggedEvents(events.RequestUnanswered)).To(BeEmpty())
}
