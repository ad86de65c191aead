package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/sirupsen/logrus"
)

// discardWriter is a caller that reads as fast as it is sent to.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header            { return w.header }
func (w *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (w *discardWriter) WriteHeader(int)                {}
func (w *discardWriter) Flush()                         {}

const benchTokens = 1000

// benchStream returns an engine's whole stream of benchTokens tokens.
func benchStream() []byte {
	var stream []byte
	for i := range benchTokens {
		data := fmt.Sprintf(`{"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word%d "},"finish_reason":null}]}`, i%10)
		stream = engineapi.AppendFrame(stream, "", "cmpl-1", 1, i, 1, []byte(data))
	}
	end := fmt.Sprintf(`{"finish_reason":"stop","completion_tokens":%d,"prompt_tokens":1,"cached_tokens":0}`, benchTokens)
	return engineapi.AppendFrame(stream, engineapi.EventEnd, "cmpl-1", 1, benchTokens, 0, []byte(end))
}

// tokenReader gives one frame a read, as an engine that sends each token by itself.
type tokenReader struct{ rest []byte }

func (r *tokenReader) Read(buffer []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	end := bytes.Index(r.rest, []byte("\n\n")) + 2
	count := copy(buffer, r.rest[:end])
	r.rest = r.rest[count:]
	return count, nil
}

func benchExecution(node *Node) *execution {
	c := &call{id: "cmpl-1", format: engineapi.FormatChat, stream: true, tenant: &config.Tenant{Name: "t", Spec: &v1.TenantSpec{Tier: "gold"}}}
	x := &execution{node: node, call: c, request: attempt.NewRequest(true, attempt.DefaultLimits()), sink: newSink(&discardWriter{http.Header{}}, c)}
	x.request.BeginDispatch("r")
	x.request.MarkAccepted()
	return x
}

// BenchmarkRelay relays a stream that arrives token by token; its base is
// BenchmarkCopy, which moves the same bytes in the same reads.
func BenchmarkRelay(b *testing.B) {
	stream := benchStream()
	node := &Node{log: events.NewLogger(io.Discard, "n", logrus.ErrorLevel)}
	node.metrics = newMetrics(node)
	b.ReportAllocs()
	for b.Loop() {
		x := benchExecution(node)
		reader := engineapi.NewFrameReader(bufio.NewReaderSize(&tokenReader{stream}, 4<<10))
		x.relay(context.Background(), engineapi.NewStream(reader, io.NopCloser(nil)))
		if x.request.Phase() != attempt.Complete {
			b.Fatal("the stream was not relayed whole")
		}
	}
	b.ReportMetric(float64(benchTokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkCopy(b *testing.B) {
	stream := benchStream()
	writer := &discardWriter{http.Header{}}
	buffer := make([]byte, 4<<10)
	for b.Loop() {
		reader := bufio.NewReaderSize(&tokenReader{stream}, 4<<10)
		for {
			count, err := reader.Read(buffer)
			if err != nil {
				break
			}
			writer.Write(buffer[:count])
			writer.Flush()
		}
	}
	b.ReportMetric(float64(benchTokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

// connectionWriter is a caller behind a real connection.
type connectionWriter struct {
	net.Conn
	header http.Header
}

func (w *connectionWriter) Header() http.Header { return w.header }
func (w *connectionWriter) WriteHeader(int)     {}
func (w *connectionWriter) Flush()              {}

// pair returns the two ends of a loopback connection.
func pair(b *testing.B) (net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	return near, far
}

// overSockets runs a relay between an engine that writes each token by itself
// and a caller, both behind loopback connections.
func overSockets(b *testing.B, relay func(engine, caller net.Conn)) {
	frames := bytes.SplitAfter(benchStream(), []byte("\n\n"))
	engineEnd, fromEngine := pair(b)
	toCaller, callerEnd := pair(b)
	defer engineEnd.Close()
	defer toCaller.Close()
	go io.Copy(io.Discard, callerEnd)
	b.ResetTimer()
	for b.Loop() {
		go func() {
			for _, frame := range frames {
				engineEnd.Write(frame)
			}
		}()
		relay(fromEngine, toCaller)
	}
	b.ReportMetric(float64(benchTokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkRelayOverSockets(b *testing.B) {
	node := &Node{log: events.NewLogger(io.Discard, "n", logrus.ErrorLevel)}
	node.metrics = newMetrics(node)
	overSockets(b, func(engine, caller net.Conn) {
		x := benchExecution(node)
		x.sink = newSink(&connectionWriter{caller, http.Header{}}, x.call)
		reader := engineapi.NewFrameReader(bufio.NewReaderSize(engine, 4<<10))
		x.relay(context.Background(), engineapi.NewStream(reader, io.NopCloser(nil)))
	})
}

func BenchmarkCopyOverSockets(b *testing.B) {
	length := len(benchStream())
	overSockets(b, func(engine, caller net.Conn) {
		buffer := make([]byte, 4<<10)
		for left := length; left > 0; {
			count, err := engine.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			caller.Write(buffer[:count])
			left -= count
		}
	})
}
