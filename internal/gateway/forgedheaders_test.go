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

	"github.com/clovertiller/clovertiller/platform"
)

// routerOnlyHeaders are headers that only routers may set. A caller that could set them might
// occupy a runner's memory or slots, or read the state of another run.
var routerOnlyHeaders = []string{platform.HeaderHold, platform.HeaderPinMillis, platform.HeaderKVBackup, platform.HeaderKVFrom}

// sendRaw writes the text to a new connection and returns everything that is received until the
// connection is closed or 200 ms have passed.
func (r *router) sendRaw(text string) string {
	connection, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	_, err = io.WriteString(connection, text)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.g.Expect(connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	// A read timeout is not an error here, because all responses have arrived by then.
	responses, _ := io.ReadAll(bufio.NewReader(connection))
	return string(responses)
}

// rawRequest returns the bytes of a POST request. Each line of headers ends with CRLF.
func rawRequest(id, path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s\r\n%s", path, validKey, platform.HeaderRequestID, id, headers, body)
}

func TestRouterOnlyHeadersFromCallersAreRemoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	for _, name := range routerOnlyHeaders {
		lower, upper := strings.ToLower(name), strings.ToUpper(name)
		for variant, text := range map[string]string{
			"canonical case": rawRequest("", "/safe/x", name+": 1\r\nContent-Length: 1\r\n", "b"),
			"lower case":     rawRequest("", "/safe/x", lower+": 1\r\nContent-Length: 1\r\n", "b"),
			"upper case":     rawRequest("", "/safe/x", upper+": 1\r\nContent-Length: 1\r\n", "b"),
			"repeated":       rawRequest("", "/safe/x", name+": 1\r\n"+lower+": 2\r\nContent-Length: 1\r\n", "b"),
			"no space":       rawRequest("", "/safe/x", name+":1\r\nContent-Length: 1\r\n", "b"),
			"empty":          rawRequest("", "/safe/x", name+":\r\nContent-Length: 1\r\n", "b"),
			"hop-by-hop":     rawRequest("", "/safe/x", "Connection: keep-alive, "+name+"\r\n"+name+": 1\r\nContent-Length: 1\r\n", "b"),
			"in a trailer":   rawRequest("", "/safe/x", "Transfer-Encoding: chunked\r\nTrailer: "+name+"\r\n", "1\r\nb\r\n0\r\n"+name+": 1\r\n\r\n"),
		} {
			id := newRequestID()
			responses := r.sendRaw(strings.Replace(text, platform.HeaderRequestID+": ", platform.HeaderRequestID+": "+id, 1))
			f.g.Expect(responses).To(HavePrefix("HTTP/1.1 200"), "%s %s", name, variant)
		}
	}
	runs := runner.Runs()
	f.g.Expect(runs).To(HaveLen(8 * len(routerOnlyHeaders)))
	for _, run := range runs {
		for _, name := range routerOnlyHeaders {
			f.g.Expect(run.Header).NotTo(HaveKey(http.CanonicalHeaderKey(name)), run.RequestID)
			f.g.Expect(strings.ToLower(fmt.Sprint(run.Header))).NotTo(ContainSubstring(strings.ToLower(name)), run.RequestID)
		}
	}
}

// A request smuggled in the body of another one must never run. The body length must be
// interpreted in one way only, and requests with contradictory framing must be refused.
func TestSmuggledRequestsNeverRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	smuggled := rawRequest("smuggled", "/safe/x", platform.HeaderHold+": 1\r\nContent-Length: 0\r\n", "")
	for variant, headers := range map[string]string{
		"two lengths":           fmt.Sprintf("Content-Length: 1\r\nContent-Length: %d\r\n", len(smuggled)),
		"length and chunks":     fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(smuggled)+5),
		"unknown encoding":      fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n", len(smuggled)),
		"encoding with a space": fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n", len(smuggled)),
		"as the regular body":   fmt.Sprintf("Content-Length: %d\r\n", len(smuggled)),
	} {
		body := smuggled
		if variant == "length and chunks" {
			body = "0\r\n\r\n" + smuggled
		}
		responses := r.sendRaw(rawRequest(newRequestID(), "/safe/x", headers, body))
		f.g.Expect(strings.Count(responses, "HTTP/1.1 200")).To(BeNumerically("<=", 1), variant)
	}
	for _, run := range runner.Runs() {
		f.g.Expect(run.RequestID).NotTo(Equal("smuggled"))
		f.g.Expect(run.Header).NotTo(HaveKey(platform.HeaderHold))
	}
}
