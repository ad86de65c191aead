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

// onlyRouters are headers that only routers may set, with values that would let a
// caller take memory, a slot or another run's state.
var onlyRouters = []string{platform.HeaderHold, platform.HeaderPinMillis, platform.HeaderKVBackup, platform.HeaderKVFrom}

// sendRaw writes bytes as they are and returns the answers until the connection ends
// or rests.
func (r *router) sendRaw(text string) string {
	connection, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	_, err = io.WriteString(connection, text)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.g.Expect(connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	// A connection that rests is no error here: all answers have come by then.
	answers, _ := io.ReadAll(bufio.NewReader(connection))
	return string(answers)
}

func rawRequest(id, path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s\r\n%s", path, goodKey, platform.HeaderRequestID, id, headers, body)
}

func TestHeadersOfRoutersNeverPassFromCallers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	for _, name := range onlyRouters {
		lower, upper := strings.ToLower(name), strings.ToUpper(name)
		for form, text := range map[string]string{
			"as it is":         rawRequest("", "/safe/x", name+": 1\r\nContent-Length: 1\r\n", "b"),
			"lower case":       rawRequest("", "/safe/x", lower+": 1\r\nContent-Length: 1\r\n", "b"),
			"upper case":       rawRequest("", "/safe/x", upper+": 1\r\nContent-Length: 1\r\n", "b"),
			"doubled":          rawRequest("", "/safe/x", name+": 1\r\n"+lower+": 2\r\nContent-Length: 1\r\n", "b"),
			"no space":         rawRequest("", "/safe/x", name+":1\r\nContent-Length: 1\r\n", "b"),
			"empty":            rawRequest("", "/safe/x", name+":\r\nContent-Length: 1\r\n", "b"),
			"named as the hop": rawRequest("", "/safe/x", "Connection: keep-alive, "+name+"\r\n"+name+": 1\r\nContent-Length: 1\r\n", "b"),
			"in a trailer":     rawRequest("", "/safe/x", "Transfer-Encoding: chunked\r\nTrailer: "+name+"\r\n", "1\r\nb\r\n0\r\n"+name+": 1\r\n\r\n"),
		} {
			id := newRequestID()
			answers := r.sendRaw(strings.Replace(text, platform.HeaderRequestID+": ", platform.HeaderRequestID+": "+id, 1))
			f.g.Expect(answers).To(HavePrefix("HTTP/1.1 200"), "%s %s", name, form)
		}
	}
	runs := runner.Runs()
	f.g.Expect(runs).To(HaveLen(8 * len(onlyRouters)))
	for _, run := range runs {
		for _, name := range onlyRouters {
			f.g.Expect(run.Header).NotTo(HaveKey(http.CanonicalHeaderKey(name)), run.Request)
			f.g.Expect(strings.ToLower(fmt.Sprint(run.Header))).NotTo(ContainSubstring(strings.ToLower(name)), run.Request)
		}
	}
}

// A request hidden in the body of another one is never run: the lengths of a body are
// taken one way only, and what contradicts itself is refused.
func TestHiddenRequestsNeverRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("r", nil)
	hidden := rawRequest("hidden", "/safe/x", platform.HeaderHold+": 1\r\nContent-Length: 0\r\n", "")
	for form, headers := range map[string]string{
		"two lengths":           fmt.Sprintf("Content-Length: 1\r\nContent-Length: %d\r\n", len(hidden)),
		"length and chunks":     fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(hidden)+5),
		"unknown encoding":      fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n", len(hidden)),
		"encoding with a space": fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n", len(hidden)),
		"the whole as a body":   fmt.Sprintf("Content-Length: %d\r\n", len(hidden)),
	} {
		body := hidden
		if form == "length and chunks" {
			body = "0\r\n\r\n" + hidden
		}
		answers := r.sendRaw(rawRequest(newRequestID(), "/safe/x", headers, body))
		f.g.Expect(strings.Count(answers, "HTTP/1.1 200")).To(BeNumerically("<=", 1), form)
	}
	for _, run := range runner.Runs() {
		f.g.Expect(run.Request).NotTo(Equal("hidden"))
		f.g.Expect(run.Header).NotTo(HaveKey(platform.HeaderHold))
	}
}
