package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/cutserver"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// scriptedRunner is a runner that answers each call with given bytes and then ends the connection.
type scriptedRunner struct {
	mutex sync.Mutex
	// answer returns the answer to a call, given the target of its request and, after a blank, the last event that its caller has.
	answer func(target string) scriptedAnswer
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
	s := &scriptedRunner{}
	address := cutserver.Listen(f.t, s.serve)
	f.store.Put(platform.KindRunners, id, map[string]any{
		"service": service, "address": address, "zone": "z", "version": runnerstand.DefaultSoftwareVersion, "slots": 8, "state": "ready",
		"models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "cold_remaining_ms": 0, "seq": 0,
	})
	return s
}

// serve serves one request.
func (s *scriptedRunner) serve(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if strings.HasPrefix(request.URL.Path, "/-/") {
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.mutex.Lock()
	target := request.RequestURI
	if lastEvent := request.Header.Get(platform.HeaderLastEventID); lastEvent != "" {
		target += " " + lastEvent
	}
	answer := s.answer(target)
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
	s.setEach(func(string) scriptedAnswer { return answer })
}

// setEach sets the function that returns the answer to a later call.
func (s *scriptedRunner) setEach(answer func(target string) scriptedAnswer) {
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
const scriptedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + platform.HeaderRequestID + ": ID\r\n" + platform.HeaderResponseStamp + ": s\r\n"

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

// forwardPrefix is the begin of a request that forwards a call to another router.
const forwardPrefix = "POST /forwarded-call "

// newCuttableForwards starts a router that reaches no runner and forwards its calls to another, over a proxy.
func newCuttableForwards(t *testing.T) (f *fleet, cut *router, proxy *faultproxy.Proxy, runners map[string]*runnerstand.Runner) {
	f = newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners = map[string]*runnerstand.Runner{"/unsafe/x": f.runner("p1", "plain"), "/once/x": f.runner("e1", "engines")}
	bind := loopback.FreeAddress()
	proxy = f.proxyTo(bind)
	f.servingRouter("seed", func(settings *gateway.Settings) {
		settings.PeerAddress, settings.PeerBindAddress, settings.Seeds = proxy.Address, bind, []string{proxy.Address}
	})
	f.links = newRunnerLinks(f)
	follow := f.followerSettings([]string{proxy.Address})
	cut = f.servingRouter("cut", func(settings *gateway.Settings) {
		follow(settings)
		settings.ConfigLease = time.Hour
	})
	f.g.Eventually(func() int { return len(cut.Status().EgressRouters) }, 2*time.Second, 10*time.Millisecond).Should(Equal(1))
	for path := range runners {
		cut.awaitCut(path)
	}
	return f, cut, proxy, runners
}

// egressAvoidTime is longer than a router avoids an egress router that broke off a response.
const egressAvoidTime = 600 * time.Millisecond

// Guards against responses of an egress router that look complete although its connection ended at any byte of them, and against calls that
// run twice then.
func TestForwardedResponseThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	f, cut, proxy, runners := newCuttableForwards(t)
	for path, runner := range runners {
		for _, reset := range []bool{false, true} {
			for n, complete := 0, false; !complete; n++ {
				proxy.SetCut(&faultproxy.Cut{Prefix: forwardPrefix, Bytes: n, Reset: reset})
				before := len(runner.Runs())
				got := cut.call(path, nil)
				f.g.Expect(len(runner.Runs())).To(Equal(before+1), "%s, %d bytes: %d %s", path, n, got.status, got.body)
				if complete = got.looksComplete(); complete {
					f.g.Expect(got.body).To(Or(Equal(wholeStream), Equal("answer to "+got.header.Get(platform.HeaderRequestID))), "%s, %d bytes, reset %t", path, n, reset)
				}
				f.g.Expect(n).To(BeNumerically("<", 2000))
				cut.clock.suspend(egressAvoidTime)
			}
		}
	}
}

// Guards against a call that an egress router runs shortened, because the request that forwards it ended at any byte.
func TestForwardedRequestThatStopsAtAnyByteIsNotRun(t *testing.T) {
	t.Parallel()
	f, cut, proxy, runners := newCuttableForwards(t)
	runner := runners["/unsafe/x"]
	for _, reset := range []bool{false, true} {
		// The runner gets the call only after the last byte, with which the connection ends.
		for n, ran := 0, false; !ran; n++ {
			proxy.SetCut(&faultproxy.Cut{Prefix: forwardPrefix, Requests: true, Bytes: n, Reset: reset})
			before := len(runner.Runs())
			got := cut.call("/unsafe/x", nil)
			proxy.SetCut(nil)
			f.g.Expect(got.status).To(Or(Equal(http.StatusBadGateway), Equal(http.StatusOK)), "%d bytes: %s", n, got.body)
			cut.clock.suspend(egressAvoidTime)
			runs := runner.Runs()[before:]
			ran = len(runs) > 0 || got.status == http.StatusOK
			for _, run := range runs {
				f.g.Expect([]string{run.Path, run.Body}).To(Equal([]string{"/unsafe/x", "the body"}))
			}
			f.g.Expect(n).To(BeNumerically("<", 2000))
		}
	}
}

// newScriptedStream returns a stream of three events.
func newScriptedStream(lineEnd string) (stream string) {
	for _, id := range []string{"1", "2", "é3"} {
		stream += strings.ReplaceAll("id: "+id+"\ndata: {\"text\": \"日本\"}\n\n", "\n", lineEnd)
	}
	return stream
}

// chunked returns the body in chunks of the size, with an extension and a trailer.
func chunked(body string, size int) (chunks string) {
	for len(body) > 0 {
		n := min(size, len(body))
		chunks += fmt.Sprintf("%X;a=b\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return chunks + "0\r\nTrailer-Field: a\r\n\r\n"
}

// cutScript is a response of which each beginning is sent.
type cutScript struct {
	path, head, text, body string
	// mayEnd reports whether nothing shows that the body is incomplete after its first n bytes. It is nil for responses that are framed.
	mayEnd func(n int) bool
}

// firstStreamScript is the index of the first stream in newCutScripts. The whole head is cut of this script and of that with index 1.
const firstStreamScript = 5

func newCutScripts() (scripts []cutScript) {
	const interims = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + platform.HeaderRequestID + ": ID\r\nLink: <x>\r\n\r\n"
	framed := scriptedHead + "Content-Length: " + strconv.Itoa(len(scriptedBody)) + "\r\n\r\n"
	chunks, unframed := scriptedHead+"Transfer-Encoding: chunked\r\n\r\n", scriptedHead+"\r\n"
	scripts = append(scripts,
		cutScript{"/unsafe/", framed, scriptedBody, scriptedBody, nil},
		cutScript{"/unsafe/", interims + framed, scriptedBody, scriptedBody, nil},
		cutScript{"/unsafe/", strings.Replace(framed, "1.1", "1.0", 1), scriptedBody, scriptedBody, nil},
		cutScript{"/unsafe/", interims + chunks, chunked(scriptedBody, 5), scriptedBody, nil},
		cutScript{"/unsafe/", unframed, scriptedBody, scriptedBody, func(int) bool { return true }},
	)
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		stream := newScriptedStream(lineEnd)
		eventLength := strings.Index(stream[1:], "id: ") + 1
		scripts = append(scripts,
			cutScript{"/once/", interims + chunks, chunked(stream, 17), stream, nil},
			cutScript{"/once/", scriptedHead + "Content-Length: " + strconv.Itoa(len(stream)) + "\r\n\r\n", stream, stream, nil},
			cutScript{"/once/", unframed, stream, stream, func(n int) bool { return n == len(stream) || n > 0 && n%eventLength == 0 && n <= 2*eventLength }},
		)
	}
	return scripts
}

// Guards against responses of runners that look complete to callers of HTTP/1.1 and 1.0 although they stopped at any byte, by a close or a
// reset: of interim heads, of the head, of chunks and trailers, of events, of IDs, of characters and of line ends.
func TestResponseThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := map[string]*scriptedRunner{"/unsafe/": f.scriptedRunner("p1", "plain"), "/once/": f.scriptedRunner("e1", "engines")}
	r := f.servingRouter("a", nil)
	r.awaitRunners(2)
	calls := map[string]int{}
	for number, script := range newCutScripts() {
		for _, ending := range []runnerstand.Ending{runnerstand.EndsWithClose, runnerstand.EndsWithReset} {
			whole := script.head + script.text
			runners[script.path].setEach(func(target string) scriptedAnswer {
				n, _ := strconv.Atoi(strings.TrimPrefix(target, script.path))
				return scriptedAnswer{text: whole[:n], ending: ending}
			})
			first := len(script.head) - 1
			if number == 1 || number == firstStreamScript {
				first = 1
			}
			for n := first; n <= len(whole); n++ {
				version := []string{"1.1", "1.0"}[(n+int(ending))%2]
				got := r.callAs(version, script.path+strconv.Itoa(n))
				calls[script.path]++
				what := fmt.Sprintf("script %d, %s after %d of %d bytes, HTTP/%s: %d %q", number, ending, n, len(whole), version, got.status, got.body)
				isWhole := n == len(whole)
				if received := n - len(script.head); script.mayEnd != nil {
					isWhole = ending == runnerstand.EndsWithClose && received >= 0 && script.mayEnd(received)
				}
				if ending == runnerstand.EndsWithReset && isWhole && !got.looksComplete() {
					// The reset may have overtaken the end of the response.
					continue
				}
				f.g.Expect(got.looksComplete()).To(Equal(isWhole), what)
				if got.status == http.StatusOK {
					f.g.Expect(script.body).To(HavePrefix(got.body), what)
				}
				if isWhole && script.mayEnd == nil {
					f.g.Expect(got.body).To(Equal(script.body), what)
				}
			}
		}
	}
	for path, runner := range runners {
		f.g.Expect(runner.runCount()).To(Equal(calls[path]), path)
	}
}

// rawResponse sends a call and returns the bytes of its response.
func (r *router) rawResponse(method, version, path, fields string) string {
	conn, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	fmt.Fprintf(conn, "%s %s HTTP/%s\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 2500\r\n%s: %s\r\nContent-Length: 0\r\n%s\r\n",
		method, path, version, validKey, platform.HeaderRequestID, newRequestID(), platform.HeaderDeadlineMillis, platform.HeaderModel, modelName, fields)
	raw, err := io.ReadAll(conn)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// Guards against responses of the router of which callers take a part for the whole when the router is killed or its connection is closed
// at any byte. Only a stream to HTTP/1.0 has neither length nor chunks; its end is a reset then (TestEndOfRouterIsNoEndOfStreamForHTTP10).
func TestOwnResponseThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	plain, engine := f.scriptedRunner("p1", "plain"), f.scriptedRunner("e1", "engines")
	r := f.servingRouter("a", nil)
	r.awaitRunners(2)
	stream := newScriptedStream("\n")
	engine.set(scriptedAnswer{text: scriptedHead + "\r\n" + stream, ending: runnerstand.EndsWithClose})
	texts := map[string]string{
		"/unsafe/short": scriptedHead + "Content-Length: 12\r\n\r\n" + scriptedBody, "/unsafe/unframed": scriptedHead + "\r\n" + scriptedBody,
		"/unsafe/empty": scriptedHead + "Content-Length: 0\r\n\r\n", "/unsafe/empty-unframed": scriptedHead + "\r\n",
		"/unsafe/long": scriptedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(strings.Repeat(scriptedBody, 500), 1000),
		"/unsafe/204":  strings.Replace(scriptedHead, "200", "204", 1) + "\r\n", "/unsafe/304": strings.Replace(scriptedHead, "200", "304", 1) + "\r\n",
		"/unsafe/404": strings.Replace(scriptedHead, "200", "404", 1) + "Content-Length: 12\r\n\r\n" + scriptedBody, "/unsafe/foreign": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"/none/refused": "", "/once/stream": "",
	}
	plain.setEach(func(target string) scriptedAnswer {
		return scriptedAnswer{text: texts[target], ending: runnerstand.EndsWithClose}
	})
	for path := range texts {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodHead} {
			for _, caller := range [][2]string{{"1.0", ""}, {"1.1", "Connection: close\r\n"}} {
				if path == "/once/stream" && caller[0] == "1.0" {
					continue
				}
				raw := r.rawResponse(method, caller[0], path, caller[1])
				if path == "/once/stream" {
					f.g.Expect(raw).To(HavePrefix("HTTP/1.1 200"), method)
				}
				for n := range len(raw) + 1 {
					response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw[:n])), &http.Request{Method: method})
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
					}
					f.g.Expect(err == nil).To(Equal(n == len(raw)), "%s %s, HTTP/%s, %d of %d bytes: %q", method, path, caller[0], n, len(raw), raw[:min(n, 500)])
				}
			}
		}
	}
}

// Guards against resumable streams in which an event is missing, comes twice or is joined with another, after their runner stopped at any
// byte and another one has gone on.
func TestResumedStreamIsWholeWhateverTheByteAtWhichItStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*scriptedRunner{f.scriptedRunner("e1", "engines"), f.scriptedRunner("e2", "engines")}
	r := f.servingRouter("a", func(settings *gateway.Settings) { settings.RetryShare = 1 })
	r.awaitRunners(2)
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		stream := newScriptedStream(lineEnd)
		chunks := scriptedHead + "Transfer-Encoding: chunked\r\n\r\n"
		rest := func(lastEvent string) string {
			_, after, _ := strings.Cut(stream, "id: "+lastEvent+lineEnd)
			_, after, _ = strings.Cut(after, lineEnd+lineEnd)
			return after
		}
		for _, framing := range []struct {
			head, text string
			ending     runnerstand.Ending
		}{
			{chunks, chunked(stream, 17), runnerstand.EndsWithClose}, {scriptedHead + "\r\n", stream, runnerstand.EndsWithReset},
			{scriptedHead + "Content-Length: " + strconv.Itoa(len(stream)) + "\r\n\r\n", stream, runnerstand.EndsWithClose},
		} {
			for _, runner := range runners {
				runner.setEach(func(target string) scriptedAnswer {
					number, lastEvent, resumed := strings.Cut(strings.TrimPrefix(target, "/stream/"), " ")
					n, err := strconv.Atoi(number)
					switch {
					case resumed:
						return scriptedAnswer{text: chunks + chunked(rest(lastEvent), 1000), ending: runnerstand.EndsWithClose}
					case err != nil:
						return scriptedAnswer{text: chunks + chunked(stream, 1000), ending: runnerstand.EndsWithClose}
					}
					return scriptedAnswer{text: framing.head + framing.text[:n], ending: framing.ending}
				})
			}
			complete := 0
			for n := range len(framing.text) + 1 {
				f.g.Expect(r.call("/stream/whole", nil).body).To(Equal(stream))
				got := r.call("/stream/"+strconv.Itoa(n), nil)
				if got.looksComplete() {
					complete++
					f.g.Expect(got.body).To(Equal(stream), "line ends of %q, %s after %d of %d bytes", lineEnd, framing.ending, n, len(framing.text))
				}
			}
			f.g.Expect(complete).To(BeNumerically(">", len(framing.text)*2/3), "line ends of %q, %s", lineEnd, framing.ending)
		}
	}
}

// Guards against calls that run with a part of their body, because their caller stopped at any byte or named the end of the body in a way
// that net/http disregards.
func TestRequestThatStopsAtAnyByteIsNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("p1", "plain")
	r := f.servingRouter("a", nil)
	send := func(text string, stops bool) (response string) {
		conn, err := net.Dial("tcp", r.address)
		f.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, strings.ReplaceAll(text, "ID", newRequestID()))
		f.g.Expect(err).NotTo(HaveOccurred())
		if stops {
			f.g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		}
		raw, _ := io.ReadAll(conn)
		return string(raw)
	}
	head := fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%s: ID\r\n%s: 2500\r\n", validKey, platform.HeaderRequestID, platform.HeaderDeadlineMillis)
	http10 := strings.Replace(head, "1.1", "1.0", 1)
	chunks := "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nthe \r\n04\r\nbody\r\n0\r\nT: 1\r\n\r\n"
	for _, test := range []struct{ request, status string }{
		{head + "Content-Length: 8\r\n\r\nthe body", "200"}, {http10 + "Content-Length: 8\r\n\r\nthe body", "200"}, {head + chunks, "200"},
		{http10 + chunks, "400"}, {head + "Content-Length : 8\r\n\r\nthe body", "400"},
	} {
		before := len(runner.Runs())
		for n := strings.Index(test.request, "\r\n\r\n"); n < len(test.request); n++ {
			f.g.Expect(send(test.request[:n], true)).NotTo(ContainSubstring(" 200 OK"), "%q", test.request[:n])
		}
		f.g.Expect(runner.Runs()).To(HaveLen(before), "%q", test.request)
		f.g.Expect(send(test.request, false)).To(ContainSubstring(" "+test.status+" "), "%q", test.request)
		for _, run := range runner.Runs()[before:] {
			f.g.Expect(run.Body).To(Equal("the body"))
		}
	}
	f.g.Expect(runner.Runs()).To(HaveLen(3))
	f.g.Expect(strings.HasPrefix(r.rawResponse(http.MethodPost, "1.0", "/unsafe/x", ""), "HTTP/1.0 200")).To(BeTrue(), "an empty body with its length")
}
