package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/integrity"
)

// longBody is the body of a request that doesn't fit into the buffers of a connection whose server doesn't read it.
var longBody = bytes.Repeat([]byte("x"), 16<<20)

// sendLong sends a request with a long body and returns the end of the response's body, interrupted if there is no response.
func sendLong(address string) integrity.End {
	request := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: longBody}
	response, err := NewPool(time.Second).Send(context.Background(), address, request)
	if err != nil {
		return integrity.End{Verdict: integrity.Interrupted, Cause: err}
	}
	defer response.Body.Close()
	_, end := response.Body.ReadAll(1 << 20)
	return end
}

// Guards against a response without length and chunks that is reset while its request is written, and looks complete because the
// system reported the reset to the write.
func TestResetDuringWriteIsNoEndOfResponse(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, unread := range []bool{true, false} {
		for range 100 {
			address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = reader.ReadString('\n')
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				if !unread {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				// A close with bytes that were not read resets the connection, too.
				conn.Close()
			})
			g.Expect(sendLong(address).Verdict).To(Equal(integrity.Interrupted))
		}
	}
}

// Guards against whole responses without length and chunks to long requests that are taken for broken ones, and against readers that
// wait for a write that never ends.
func TestWholeUnframedResponseToLongRequestIsComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for range 20 {
		address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			conn.Close()
		})
		g.Expect(sendLong(address).IsComplete()).To(BeTrue())
	}
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-stopped
	})
	end := make(chan integrity.End, 1)
	go func() { end <- sendLong(address) }()
	g.Eventually(end, time.Second).Should(Receive(HaveField("Verdict", integrity.Interrupted)))
}
