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

// discardWriter is a response writer that discards the response without delay.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header            { return w.header }
func (w *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (w *discardWriter) WriteHeader(int)                {}
func (w *discardWriter) Flush()                         {}

const benchTokens = 1000

// newBenchStream returns a complete engine stream with benchTokens tokens.
func newBenchStream() []byte {
	var stream []byte
	for i := range benchTokens {
		data := fmt.Sprintf(`{"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word%d "},"finish_reason":null}]}`, i%10)
		stream = engineapi.AppendFrame(stream, "", "cmpl-1", 1, i, 1, []byte(data))
	}
	end := fmt.Sprintf(`{"finish_reason":"stop","completion_tokens":%d,"prompt_tokens":1,"cached_tokens":0}`, benchTokens)
	return engineapi.AppendFrame(stream, engineapi.EventEnd, "cmpl-1", 1, benchTokens, 0, []byte(end))
}

// frameByFrameReader returns one frame per read, like an engine that sends each token separately.
type frameByFrameReader struct{ rest []byte }

func (r *frameByFrameReader) Read(buffer []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	end := bytes.Index(r.rest, []byte("\n\n")) + 2
	count := copy(buffer, r.rest[:end])
	r.rest = r.rest[count:]
	return count, nil
}

func newBenchExecution(node *Node) *execution {
	c := &completionRequest{id: "cmpl-1", format: engineapi.FormatChat, stream: true, tenant: &config.Tenant{Name: "t", Spec: &v1.TenantSpec{Tier: "gold"}}}
	x := &execution{node: node, request: c, state: attempt.NewRequest(true, attempt.DefaultLimits()), sink: newResponseSink(&discardWriter{http.Header{}}, c)}
	x.state.BeginDispatch("r")
	x.state.MarkAccepted()
	return x
}

// BenchmarkRelay relays a stream that arrives token by token. Its baseline is BenchmarkCopy, which
// copies the same bytes with the same reads.
func BenchmarkRelay(b *testing.B) {
	stream := newBenchStream()
	node := &Node{log: events.NewLogger(io.Discard, "n", logrus.ErrorLevel)}
	node.metrics = newMetrics(node)
	b.ReportAllocs()
	for b.Loop() {
		x := newBenchExecution(node)
		reader := engineapi.NewFrameReader(bufio.NewReaderSize(&frameByFrameReader{stream}, 4<<10))
		x.relay(context.Background(), engineapi.NewStream(reader, io.NopCloser(nil)))
		if x.state.Phase() != attempt.Complete {
			b.Fatal("the stream was not relayed completely")
		}
	}
	b.ReportMetric(float64(benchTokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkCopy(b *testing.B) {
	stream := newBenchStream()
	writer := &discardWriter{http.Header{}}
	buffer := make([]byte, 4<<10)
	for b.Loop() {
		reader := bufio.NewReaderSize(&frameByFrameReader{stream}, 4<<10)
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

// connectionWriter is a response writer that writes the body to a network connection.
type connectionWriter struct {
	net.Conn
	header http.Header
}

func (w *connectionWriter) Header() http.Header { return w.header }
func (w *connectionWriter) WriteHeader(int)     {}
func (w *connectionWriter) Flush()              {}

// connectionPair returns the two ends of a loopback TCP connection.
func connectionPair(b *testing.B) (net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	return client, server
}

// benchmarkOverSockets measures transfer between an engine that writes each token separately and a
// caller, both connected over loopback TCP.
func benchmarkOverSockets(b *testing.B, transfer func(engine, caller net.Conn)) {
	frames := bytes.SplitAfter(newBenchStream(), []byte("\n\n"))
	engineWriter, engineReader := connectionPair(b)
	callerWriter, callerReader := connectionPair(b)
	defer engineWriter.Close()
	defer callerWriter.Close()
	go io.Copy(io.Discard, callerReader)
	b.ResetTimer()
	for b.Loop() {
		go func() {
			for _, frame := range frames {
				engineWriter.Write(frame)
			}
		}()
		transfer(engineReader, callerWriter)
	}
	b.ReportMetric(float64(benchTokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}

func BenchmarkRelayOverSockets(b *testing.B) {
	node := &Node{log: events.NewLogger(io.Discard, "n", logrus.ErrorLevel)}
	node.metrics = newMetrics(node)
	benchmarkOverSockets(b, func(engine, caller net.Conn) {
		x := newBenchExecution(node)
		x.sink = newResponseSink(&connectionWriter{caller, http.Header{}}, x.request)
		reader := engineapi.NewFrameReader(bufio.NewReaderSize(engine, 4<<10))
		x.relay(context.Background(), engineapi.NewStream(reader, io.NopCloser(nil)))
	})
}

func BenchmarkCopyOverSockets(b *testing.B) {
	length := len(newBenchStream())
	benchmarkOverSockets(b, func(engine, caller net.Conn) {
		buffer := make([]byte, 4<<10)
		for remaining := length; remaining > 0; {
			count, err := engine.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			caller.Write(buffer[:count])
			remaining -= count
		}
	})
}
