package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/integrity"
)

// chunkWords are the texts of the chunks of a test's engine, in JSON, and wholeText is the output.
var chunkWords = []string{`a \"b\" `, `caf\u00e9 é `, `日本{]\\\n`, `end`}

const wholeText = "a \"b\" café é 日本{]\\\nend"

// newChunk returns a chunk of output with the text.
func newChunk(text string) string {
	return `{"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"` + text + `"},"finish_reason":null}]}`
}

// newEngineStream returns the stream of an engine with the chunks.
func newEngineStream(chunks ...string) string {
	var stream []byte
	for i, chunk := range chunks {
		stream = engineapi.AppendFrame(stream, "", "cmpl-1", 1, i, 1, []byte(chunk))
	}
	end := fmt.Sprintf(`{"finish_reason":"stop","completion_tokens":%d,"prompt_tokens":1}`, len(chunks))
	return string(engineapi.AppendFrame(stream, engineapi.EventEnd, "cmpl-1", 1, len(chunks), 0, []byte(end)))
}

// relayOnce relays what an engine sends until it closes the connection, and returns what the caller got.
func relayOnce(n *Node, stream bool, sent string) (next attempt.Action, phase attempt.Phase, response *httptest.ResponseRecorder) {
	response = httptest.NewRecorder()
	next, phase = relayTo(n, response, stream, sent)
	return next, phase, response
}

// relayTo is like relayOnce with a given writer to the caller.
func relayTo(n *Node, writer http.ResponseWriter, stream bool, sent string) (attempt.Action, attempt.Phase) {
	c := &completionRequest{id: "cmpl-1", format: engineapi.FormatChat, stream: stream, tenant: &config.Tenant{Name: "t", Spec: &v1.TenantSpec{Tier: "gold"}}}
	x := &execution{node: n, request: c, state: attempt.NewRequest(true, attempt.DefaultLimits()), sink: newResponseSink(writer, c)}
	x.state.BeginDispatch("r")
	x.state.MarkAccepted()
	reader := engineapi.NewFrameReader(bufio.NewReader(strings.NewReader(sent)))
	next := x.relay(context.Background(), engineapi.NewStream(reader, io.NopCloser(nil)))
	return next, x.state.Phase()
}

func newRelayNode() *Node {
	n := &Node{log: events.NewLogger(io.Discard, "n", logrus.ErrorLevel)}
	n.metrics = newMetrics(n)
	return n
}

// newTestStream returns the whole stream of a test's engine.
func newTestStream() string {
	var chunks []string
	for _, word := range chunkWords {
		chunks = append(chunks, newChunk(word))
	}
	return newEngineStream(chunks...)
}

// Guards against responses of the OpenAI door that look complete although the engine stopped at any byte of its stream.
func TestEngineStreamThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n, whole := newRelayNode(), newTestStream()
	for end := range len(whole) + 1 {
		for _, stream := range []bool{true, false} {
			next, phase, response := relayOnce(n, stream, whole[:end])
			body := response.Body.String()
			if end == len(whole) {
				g.Expect(phase).To(Equal(attempt.Complete))
				if stream {
					g.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
					continue
				}
				var decoded completionResponse
				g.Expect(json.Unmarshal([]byte(body), &decoded)).To(Succeed())
				g.Expect(decoded.Choices[0].Message.Content).To(Equal(wholeText))
				continue
			}
			g.Expect(next).To(Equal(attempt.Resume), "%d bytes", end)
			g.Expect(phase).NotTo(Equal(attempt.Complete), "%d bytes", end)
			g.Expect(body).NotTo(ContainSubstring("[DONE]"), "%d bytes", end)
			if !stream {
				g.Expect(body).To(BeEmpty(), "%d bytes", end)
			}
		}
	}
}

// Guards against whole responses with a part of the text, or an empty one, and against parts of chunks that are passed on, when an
// engine sends only a part of a chunk in a whole frame, or a text that can't be decoded.
func TestPartOfAChunkIsNoOutput(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n, chunk := newRelayNode(), newChunk(chunkWords[2])
	parts := []string{newChunk(`\q`), newChunk(`\u12`), newChunk(`\u12g4`), newChunk("a\x01"), newChunk(`a\`), chunk + "}", chunk + chunk, "[]", "0"}
	for end := range len(chunk) {
		parts = append(parts, chunk[:end])
	}
	for _, part := range parts {
		for _, stream := range []bool{true, false} {
			next, phase, response := relayOnce(n, stream, newEngineStream(newChunk(chunkWords[0]), part, newChunk(chunkWords[3])))
			g.Expect(next).To(Equal(attempt.Resume), part)
			g.Expect(phase).NotTo(Equal(attempt.Complete), part)
			if stream {
				g.Expect(response.Body.String()).To(Equal("data: "+newChunk(chunkWords[0])+"\n\n"), part)
			} else {
				g.Expect(response.Body.String()).To(BeEmpty(), part)
			}
		}
	}
	g.Expect(integrity.IsWholeObject([]byte(chunk))).To(BeTrue())
}

// Guards against whole responses of the OpenAI door without their length, of which callers of HTTP/1.0 take each part for the whole
// when the router or its connection is lost.
func TestResponseToHTTP10ThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	n, long := newRelayNode(), strings.Repeat("long ", 1000)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/error" {
			(&apiError{status: http.StatusBadRequest, code: codeInvalidRequest, message: long}).writeTo(writer)
			return
		}
		relayTo(n, writer, false, newEngineStream(newChunk(long)))
	}))
	defer server.Close()
	for _, path := range []string{"/", "/error"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h\r\n\r\n", path)
		raw, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(raw)).To(BeNumerically(">", len(long)))
		for end := range len(raw) + 1 {
			response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw[:end])), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			g.Expect(err == nil).To(Equal(end == len(raw)), "%s, %d of %d bytes", path, end, len(raw))
		}
	}
}
