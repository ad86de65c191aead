package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// scriptedRunner is a runner that answers each call with given bytes and then ends the connection.
type scriptedRunner struct {
	mutex  sync.Mutex
	answer scriptedAnswer
	runs   int
}

// scriptedAnswer is what a scriptedRunner sends. ID in the text stands for the ID of the request.
type scriptedAnswer struct {
	text   string
	ending runnerstand.Ending
	// unread is set to answer before the body of the request is read.
	unread bool
}

// scriptedRunner starts a scripted runner of the service and adds it to the directory.
func (f *fleet) scriptedRunner(id, service string) *scriptedRunner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { listener.Close() })
	s := &scriptedRunner{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	f.store.Put(platform.KindRunners, id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": "z", "version": runnerstand.DefaultSoftwareVersion, "slots": 8, "state": "ready",
		"models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "cold_remaining_ms": 0, "seq": 0,
	})
	return s
}

// serve serves one request, and closes the connection.
func (s *scriptedRunner) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if strings.HasPrefix(request.URL.Path, "/-/") {
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.mutex.Lock()
	answer := s.answer
	s.runs++
	s.mutex.Unlock()
	if !answer.unread {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(answer.text, "ID", request.Header.Get(platform.HeaderRequestID)))
	if answer.ending == runnerstand.EndsWithReset {
		_ = conn.SetLinger(0)
	}
}

// set sets the answer to later calls.
func (s *scriptedRunner) set(answer scriptedAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answer = answer
}

// runCount returns the number of calls that have arrived.
func (s *scriptedRunner) runCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs
}

// scriptedHead is the head of a runner's response without its framing and the empty line.
const scriptedHead = "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": ID\r\n" + platform.HeaderResponseStamp + ": s\r\n"

// Guards against responses without length and chunks that their runner resets before it has read the whole request, and that
// reach their caller as if they were complete.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	plain, engine := f.scriptedRunner("p1", "plain"), f.scriptedRunner("e1", "engines")
	r := f.servingRouter("a", nil)
	r.awaitRunners(2)
	body := strings.Repeat("x", 1<<20)
	for path, runner := range map[string]*scriptedRunner{"/unsafe/x": plain, "/once/x": engine} {
		runner.set(scriptedAnswer{text: scriptedHead + "\r\n" + wholeStream[:eventBytes], ending: runnerstand.EndsWithReset, unread: true})
		for range 100 {
			got := r.call(path, withBody(body))
			f.g.Expect(got.looksComplete()).To(BeFalse(), "%s: %q", path, got.body)
		}
		f.g.Expect(runner.runCount()).To(BeNumerically(">", 50), path)
	}
}

// scriptedBody is the body of the responses of a scriptedRunner that are not streams.
const scriptedBody = "hello world\n"

// malformedResponses are responses whose framing net/http disregards.
var malformedResponses = []string{
	scriptedHead + "Content-Length : 12\r\n\r\n" + scriptedBody,
	scriptedHead + "Transfer-Encoding : chunked\r\n\r\nc\r\n" + scriptedBody + "\r\n0\r\n\r\n",
	scriptedHead + "X: a\r\n Content-Length: 12\r\n\r\n" + scriptedBody,
	strings.Replace(scriptedHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + scriptedBody + "\r\n0\r\n\r\n",
}

// Guards against responses whose odd framing is disregarded, and that reach their caller as if they were complete, whatever the byte at
// which they stop.
func TestResponseWithMalformedFramingIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.scriptedRunner("p1", "plain")
	r := f.servingRouter("a", nil)
	calls := 0
	for _, text := range malformedResponses {
		for n := strings.Index(text, "\r\n\r\n"); n <= len(text); n++ {
			runner.set(scriptedAnswer{text: text[:n], ending: runnerstand.EndsWithClose})
			got := r.call("/unsafe/x", nil)
			f.g.Expect(got.looksComplete()).To(BeFalse(), "%q: %q", text[:n], got.body)
			calls++
		}
	}
	f.g.Expect(runner.runCount()).To(Equal(calls))
	runner.set(scriptedAnswer{text: strings.Replace(scriptedHead, "200", "099", 1) + "Content-Length: 12\r\n\r\n" + scriptedBody, ending: runnerstand.EndsWithClose})
	f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusBadGateway))
}
