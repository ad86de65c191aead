package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// openHTTP10 sends one request as HTTP/1.0, whose responses have no chunks, and returns its response when the head has
// arrived.
func (r *router) openHTTP10(path string) (*http.Response, error) {
	conn, err := net.Dial("tcp", r.address)
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	r.fleet.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 2500\r\n%s: %s\r\nContent-Length: 8\r\n\r\nthe body",
		path, validKey, platform.HeaderRequestID, newRequestID(), platform.HeaderDeadlineMillis, platform.HeaderModel, modelName)
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// callHTTP10 sends one request as HTTP/1.0.
func (r *router) callHTTP10(path string) callResponse {
	response, err := r.openHTTP10(path)
	if err != nil {
		return callResponse{truncated: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResponse{status: response.StatusCode, header: response.Header, body: string(body), truncated: err != nil}
}

// callAs sends one request in the version of HTTP.
func (r *router) callAs(version, path string) callResponse {
	if version == "1.0" {
		return r.callHTTP10(path)
	}
	return r.call(path, nil)
}

// looksComplete reports whether the caller takes the response for a success of which nothing is missing.
func (response callResponse) looksComplete() bool {
	return response.status == http.StatusOK && !response.truncated
}

// wholeStream is the stream of an engine of the tests.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// eventBytes is the length of one event.
const eventBytes = len(wholeStream) / 4

// setCuts sets framing and cut of all runners.
func setCuts(runners []*runnerstand.Runner, framing runnerstand.Framing, cut *runnerstand.Cut) {
	for _, runner := range runners {
		runner.SetFraming(framing)
		runner.SetCut(cut)
	}
}

// cutCase is a way in which a runner breaks off a stream.
type cutCase struct {
	name    string
	framing runnerstand.Framing
	cut     runnerstand.Cut
	// sent is the part of the stream that may reach the caller.
	sent string
}

func cutCases() (cases []cutCase) {
	places := []struct {
		name               string
		afterEvents, bytes int
	}{{"inside the first event", 0, 9}, {"inside the second event", 1, 9}, {"one newline short", 1, eventBytes - 1}}
	for _, framing := range []runnerstand.Framing{runnerstand.Framed, runnerstand.Unframed} {
		for _, ending := range []runnerstand.Ending{runnerstand.EndsWithReset, runnerstand.EndsWithClose, runnerstand.EndsWithLastChunk} {
			for _, place := range places {
				name := fmt.Sprintf("%s, %s, framing %d", place.name, ending, framing)
				cut := runnerstand.Cut{AfterEvents: place.afterEvents, Bytes: place.bytes, Ending: ending}
				cases = append(cases, cutCase{name, framing, cut, wholeStream[:place.afterEvents*eventBytes]})
			}
		}
	}
	return append(cases, cutCase{"before the first event", runnerstand.Unframed, runnerstand.Cut{Ending: runnerstand.EndsWithClose}, ""})
}

// testBrokenStreams breaks off streams that can't be resumed in all ways, and expects that callers of the version of HTTP
// see each as broken, with none of its half events, and that each runs once.
func testBrokenStreams(f *fleet, r *router, runners []*runnerstand.Runner, version string) {
	for _, test := range cutCases() {
		// After a broken response, an ingress router avoids its egress router for a moment.
		setCuts(runners, runnerstand.Framed, nil)
		f.g.Eventually(func() string { return r.call("/once/x", nil).body }, 3*time.Second, 20*time.Millisecond).Should(Equal(wholeStream))
		setCuts(runners, test.framing, &test.cut)
		before := totalRuns(runners)
		got := r.callAs(version, "/once/x")
		f.g.Expect(got.looksComplete()).To(BeFalse(), "%s: %q", test.name, got.body)
		if got.status == http.StatusOK {
			f.g.Expect(test.sent).To(HavePrefix(got.body), test.name)
		}
		f.g.Expect(totalRuns(runners)).To(Equal(before+1), test.name)
	}
}

// newBreakableStreams starts a router and two runners of streams.
func newBreakableStreams(t *testing.T) (*fleet, *router, []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.engine("e1", 1), f.engine("e2", 1)}
	return f, f.servingRouter("a", nil), runners
}

// newForwardedStreams starts two runners of streams, and a router that reaches none and forwards its calls.
func newForwardedStreams(t *testing.T) (*fleet, *router, []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.engine("e1", 1), f.engine("e2", 1)}
	cut, _ := newCutRouter(f, 1)
	cut.awaitCut("/once/x")
	return f, cut, runners
}

// Guards against a stream that ended inside an event and reaches its caller as if it were complete, and against
// half events that are passed on.
func TestStreamBrokenOffInsideAnEventIsNotComplete(t *testing.T) {
	t.Parallel()
	f, r, runners := newBreakableStreams(t)
	testBrokenStreams(f, r, runners, "1.1")
}

// Guards against broken streams that look complete to callers of HTTP/1.0, to whom the end of the connection is
// the end of the response.
func TestBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	t.Parallel()
	f, r, runners := newBreakableStreams(t)
	testBrokenStreams(f, r, runners, "1.0")
}

// Guards against streams that end inside an event and look complete by way of an egress router.
func TestForwardedStreamBrokenOffInsideAnEventIsNotComplete(t *testing.T) {
	t.Parallel()
	f, cut, runners := newForwardedStreams(t)
	testBrokenStreams(f, cut, runners, "1.1")
}

// Guards against the same for callers of HTTP/1.0.
func TestForwardedBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	t.Parallel()
	f, cut, runners := newForwardedStreams(t)
	testBrokenStreams(f, cut, runners, "1.0")
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 although its router has ended.
func TestEndOfRouterIsNoEndOfStreamForHTTP10(t *testing.T) {
	t.Parallel()
	f, r, runners := newBreakableStreams(t)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Pauses)
	}
	response, err := r.openHTTP10("/once/x")
	f.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(response.Body, make([]byte, eventBytes))
	f.g.Expect(err).NotTo(HaveOccurred())
	r.Kill()
	_, err = io.ReadAll(response.Body)
	f.g.Expect(err).To(HaveOccurred(), "the end of the connection is not the end of the response")
}

// Guards against resumable streams that end early although another runner could go on.
func TestResumableStreamGoesOnAfterEndInsideAnEvent(t *testing.T) {
	t.Parallel()
	f, r, runners := newBreakableStreams(t)
	for _, test := range cutCases() {
		for _, version := range []string{"1.1", "1.0"} {
			// Each continuation is taken from the retry budget, into which whole calls pay.
			for range 8 {
				f.g.Expect(r.call("/stream/x", nil).body).To(Equal(wholeStream))
			}
			cut := test.cut
			cut.OnCut = func() { setCuts(runners, test.framing, nil) }
			setCuts(runners, test.framing, &cut)
			got := r.callAs(version, "/stream/x")
			f.g.Expect(got.looksComplete()).To(BeTrue(), "%s, HTTP/%s", test.name, version)
			f.g.Expect(got.looksComplete()).To(BeTrue(), "%s, HTTP/%s", test.name, version)
			f.g.Expect(got.body).To(Equal(wholeStream), "%s, HTTP/%s", test.name, version)
		}
	}
}

// Guards against whole streams without length and chunks that are taken for broken ones.
func TestWholeStreamWithoutFramingIsComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.engine("e1", 1)}
	r := f.servingRouter("a", nil)
	setCuts(runners, runnerstand.Unframed, nil)
	for _, version := range []string{"1.1", "1.0"} {
		got := r.callAs(version, "/once/x")
		f.g.Expect(got.looksComplete()).To(BeTrue())
		f.g.Expect(got.body).To(Equal(wholeStream))
	}
}

// longBody is longer than what a router buffers of a response.
const longBody = 3 << 20

// newLongAnswers starts a router and a runner whose responses are longer than what routers buffer.
func newLongAnswers(t *testing.T) (*fleet, *router, *runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.startRunner(runnerstand.Config{ID: "p1", Service: "plain", BodyBytes: longBody})
	return f, f.servingRouter("a", nil), runner
}

// Guards against long answers that break off and reach callers as if they were complete.
func TestLongAnswerBrokenOffIsNotComplete(t *testing.T) {
	t.Parallel()
	f, r, runner := newLongAnswers(t)
	f.g.Expect(len(r.call("/unsafe/x", nil).body)).To(Equal(longBody))
	for _, framing := range []runnerstand.Framing{runnerstand.Framed, runnerstand.Unframed} {
		setCuts([]*runnerstand.Runner{runner}, framing, &runnerstand.Cut{Bytes: longBody - 5, Ending: runnerstand.EndsWithReset})
		for _, version := range []string{"1.1", "1.0"} {
			before := len(runner.Runs())
			got := r.callAs(version, "/unsafe/x")
			f.g.Expect(got.looksComplete()).To(BeFalse(), "HTTP/%s, framing %d", version, framing)
			f.g.Expect(runner.Runs()).To(HaveLen(before + 1))
		}
	}
}

// Guards against runners whose long answers break off and that count as if they had answered well.
func TestRunnerOfLongAnswerBrokenOffHasFailed(t *testing.T) {
	t.Parallel()
	f, r, runner := newLongAnswers(t)
	setCuts([]*runnerstand.Runner{runner}, runnerstand.Framed, &runnerstand.Cut{Bytes: longBody - 5, Ending: runnerstand.EndsWithClose})
	f.g.Expect(r.call("/unsafe/x", nil).looksComplete()).To(BeFalse())
	r.waitForLog("attempt on a runner failed")
}

// Guards against failures of a runner whose long body is cut at the size of the buffer and given a length.
func TestLongFailureIsNotCutShort(t *testing.T) {
	t.Parallel()
	f, r, runner := newLongAnswers(t)
	runner.SetBehaviour(runnerstand.Fails)
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		got := r.call(path, nil)
		f.g.Expect(got.status).To(BeNumerically(">=", http.StatusInternalServerError))
		if got.header.Get(platform.HeaderResponseStamp) != "" {
			f.g.Expect(len(got.body)).To(Equal(longBody))
		}
	}
}

// Guards against plain answers that are reset and reach their caller as if they were complete, and against calls
// that can't be repeated and run twice.
func TestPlainAnswerThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	r := f.servingRouter("a", nil)
	cut := &runnerstand.Cut{Bytes: 4, Ending: runnerstand.EndsWithReset}
	for _, framing := range []runnerstand.Framing{runnerstand.Framed, runnerstand.Unframed} {
		for _, version := range []string{"1.1", "1.0"} {
			setCuts(runners, framing, cut)
			before := totalRuns(runners)
			f.g.Expect(r.callAs(version, "/unsafe/x").status).To(Equal(http.StatusBadGateway))
			f.g.Expect(totalRuns(runners)).To(Equal(before + 1))
			once := *cut
			once.OnCut = func() { setCuts(runners, framing, nil) }
			setCuts(runners, framing, &once)
			got := r.callAs(version, "/safe/x")
			f.g.Expect(got.looksComplete()).To(BeTrue())
			f.g.Expect(got.body).To(HavePrefix("answer to "))
		}
	}
}
