package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/integrity"
)

// scriptedConn is a connection that answers each request with the next response, and ends after the last one.
type scriptedConn struct {
	net.Conn
	responses []string
	unread    string
	end       error
	readBytes int
}

func (c *scriptedConn) Write(data []byte) (int, error) {
	if len(c.responses) > 0 {
		c.unread += c.responses[0]
		c.responses = c.responses[1:]
	}
	return len(data), nil
}

func (c *scriptedConn) Read(buffer []byte) (int, error) {
	if c.unread == "" {
		return 0, c.end
	}
	n := copy(buffer[:min(len(buffer), c.readBytes)], c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// newScriptedPool returns a pool whose only connection is the given one.
func newScriptedPool(conn *scriptedConn) *Pool {
	pool, dialed := NewPool(time.Second), false
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		if dialed {
			return nil, syscall.ECONNREFUSED
		}
		dialed = true
		return conn, nil
	}
	return pool
}

// readMatched sends a request with an ID and returns the status and the body of its response.
func readMatched(pool *Pool, method, id string) (status int, body string, err error) {
	request := &Request{Method: method, Target: "/x", Host: "h", Header: http.Header{}, ID: id}
	request.MatchesResponse = func(header http.Header) bool { return header.Get("Id") == id }
	response, err := pool.Send(context.Background(), "server", request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, end := response.Body.ReadAll(1 << 20)
	return response.Status, string(data), end.Err()
}

const (
	scriptedBody = "hello world\n"
	scriptedHead = "HTTP/1.1 200 OK\r\nId: a\r\n"
	framedHead   = scriptedHead + "Content-Length: 12\r\n\r\n"
	chunkedHead  = scriptedHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// framedResponses are whole responses with the body scriptedBody that name its end.
var framedResponses = map[string]string{
	"length":                       framedHead + scriptedBody,
	"length, HTTP/1.0":             "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n" + scriptedBody,
	"length, LF":                   "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\n" + scriptedBody,
	"length, no reason":            "HTTP/1.1 200\r\nId: a\r\nContent-Length: 12\r\n\r\n" + scriptedBody,
	"length, same value twice":     scriptedHead + "Content-Length: 12\r\nContent-Length: 12\r\n\r\n" + scriptedBody,
	"empty":                        scriptedHead + "Content-Length: 0\r\n\r\n",
	"chunks":                       chunkedHead + "6\r\nhello \r\n6\r\nworld\n\r\n0\r\n\r\n",
	"chunks, extensions":           chunkedHead + "6;a=b\r\nhello \r\n6;c=\"d\"\r\nworld\n\r\n0;e\r\n\r\n",
	"chunks, trailer":              chunkedHead + "c\r\nhello world\n\r\n0\r\nA: b\r\nC: d\r\n\r\n",
	"chunks, odd sizes":            chunkedHead + "0006\r\nhello \r\n6 \r\nworld\n\r\n000\r\n\r\n",
	"chunks, upper case":           strings.Replace(chunkedHead, "chunked", "CHUNKED", 1) + "C\r\nhello world\n\r\n0\r\n\r\n",
	"chunks and a shorter length":  scriptedHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello world\n\r\n0\r\n\r\n",
	"100":                          "HTTP/1.1 100 Continue\r\n\r\n" + framedHead + scriptedBody,
	"100, 102 and 103":             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: a\r\nLink: <x>\r\n\r\n" + chunkedHead + "c\r\nhello world\n\r\n0\r\n\r\n",
	"103 with a length":            "HTTP/1.1 103 Early Hints\r\nId: a\r\nContent-Length: 12\r\n\r\n" + framedHead + scriptedBody,
	"after another response":       "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nstale" + framedHead + scriptedBody,
	"after another, 100 and 103":   "HTTP/1.1 503 Busy\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nHTTP/1.1 103 E\r\nId: a\r\n\r\n" + framedHead + scriptedBody,
	"after several others, chunks": strings.Repeat("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", 3) + chunkedHead + "c\r\nhello world\n\r\n0\r\n\r\n",
}

// endings are the ends of connections: by a close or half close, and by a reset.
var endings = map[string]error{"close": io.EOF, "reset": syscall.ECONNRESET}

// Guards against responses that look complete although they stop at any byte: of interim heads, of the head, of responses to other
// requests, of chunk sizes, extensions and trailers, on a new connection and on a kept one.
func TestFramedResponseThatStopsAtAnyByteIsNotComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for name, whole := range framedResponses {
		wholeBody := scriptedBody
		if name == "empty" {
			wholeBody = ""
		}
		for ending, end := range endings {
			for _, readBytes := range []int{1, 1 << 20} {
				for n := range len(whole) + 1 {
					what := fmt.Sprintf("%s, %s after %d of %d bytes, reads of %d", name, ending, n, len(whole), readBytes)
					fresh := newScriptedPool(&scriptedConn{responses: []string{whole[:n]}, end: end, readBytes: readBytes})
					kept := newScriptedPool(&scriptedConn{responses: []string{okResponse, whole[:n]}, end: end, readBytes: readBytes})
					_, err := sendAndRead(g, kept, "server", newGetRequest())
					g.Expect(err).NotTo(HaveOccurred(), what)
					for _, pool := range []*Pool{fresh, kept} {
						status, body, err := readMatched(pool, http.MethodPost, "a")
						if n < len(whole) {
							g.Expect(err).To(HaveOccurred(), what)
							g.Expect(Unwritten(err).Holds()).To(BeFalse(), what)
							continue
						}
						g.Expect(err).NotTo(HaveOccurred(), what)
						g.Expect([]any{status, body}).To(Equal([]any{200, wholeBody}), what)
					}
				}
			}
		}
	}
}

// Guards against a response without length and chunks that looks complete after a reset or before the end of its head. Whether
// its body was whole when its connection was closed can't be told.
func TestUnframedResponseIsCompleteOnlyAfterItsHeadAndClose(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, head := range []string{scriptedHead + "\r\n", "HTTP/1.0 200 OK\r\nId: a\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + scriptedHead + "\r\n"} {
		whole := head + scriptedBody
		for ending, end := range endings {
			for n := range len(whole) + 1 {
				what := fmt.Sprintf("%q, %s after %d bytes", head, ending, n)
				_, body, err := readMatched(newScriptedPool(&scriptedConn{responses: []string{whole[:n]}, end: end, readBytes: 1 << 20}), http.MethodPost, "a")
				if n < len(head) || ending == "reset" {
					g.Expect(err).To(HaveOccurred(), what)
					continue
				}
				g.Expect(err).NotTo(HaveOccurred(), what)
				g.Expect(body).To(Equal(whole[len(head):n]), what)
			}
		}
	}
}

// Guards against odd or contradictory framing that is disregarded, so that the body seems to end with its connection or before its
// end, whatever the byte at which the response stops.
func TestResponseWithMalformedFramingIsNotComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, fields := range []string{
		"Content-Length : 12\r\n", "Content-Length\t: 12\r\n", "Transfer-Encoding : chunked\r\n", "X: a\r\n Content-Length: 12\r\n", "X: a\r\n\tTransfer-Encoding: chunked\r\n",
		"Content-Length: 12\r\nContent-Length: 5\r\n", "Content-Length: 12, 12\r\n", "Content-Length: +5\r\n", "Content-Length: -1\r\n", "Content-Length: 0xc\r\n", "Content-Length:\r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length 12\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding:\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "X: a\rContent-Length: 12\r\n", "Content-Length: 12\x00\r\n",
	} {
		testNeverComplete(g, scriptedHead+fields+"\r\n"+scriptedBody)
		testNeverComplete(g, scriptedHead+fields+"\r\nc\r\n"+scriptedBody+"\r\n0\r\n\r\n")
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		testNeverComplete(g, version+" 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello world\n\r\n0\r\n\r\n")
	}
	for _, status := range []string{"HTTP/1.1 20", "HTTP/1.1 +20 OK", "HTTP/1.1 099 OK", "HTTP/1.1 2000 OK", "HTTP/1.1", "HTTP/1 200 OK", "200 OK"} {
		testNeverComplete(g, status+"\r\nId: a\r\nContent-Length: 12\r\n\r\n"+scriptedBody)
	}
	for _, chunks := range []string{
		"-c\r\nhello world\n\r\n0\r\n\r\n", "+c\r\nhello world\n\r\n0\r\n\r\n", " c\r\nhello world\n\r\n0\r\n\r\n", "10000000000000000c\r\nhello world\n\r\n0\r\n\r\n", "ffffffffffffffff\r\nhello world\n",
		"c\r\nhello world\n0\r\n\r\n", "b\r\nhello world\n\r\n0\r\n\r\n", "c\nhello world\n\n0\n\n", "c\r\nhello world\n\r\n\r\n\r\n", "c\r\nhello world\n\r\n;x\r\n\r\n", "c\r\nhello world\n\r\n0x0\r\n\r\n",
	} {
		testNeverComplete(g, chunkedHead+chunks)
	}
}

// testNeverComplete expects that the response is not complete, whatever the byte at which it stops.
func testNeverComplete(g *WithT, text string) {
	for ending, end := range endings {
		for n := range len(text) + 1 {
			status, body, err := readMatched(newScriptedPool(&scriptedConn{responses: []string{text[:n]}, end: end, readBytes: 1 << 20}), http.MethodPost, "a")
			g.Expect(err).To(HaveOccurred(), "%q, %s: status %d, body %q", text[:n], ending, status, body)
		}
	}
}

// Guards against responses that have no body by their status or method and are taken for broken ones.
func TestResponseWithoutBodyIsComplete(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, test := range []struct{ method, response string }{
		{http.MethodPost, "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"}, {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: a\r\nContent-Length: 12\r\n\r\n"},
		{http.MethodHead, framedHead}, {http.MethodHead, scriptedHead + "\r\n"}, {http.MethodHead, chunkedHead},
	} {
		for n := range len(test.response) + 1 {
			_, body, err := readMatched(newScriptedPool(&scriptedConn{responses: []string{test.response[:n]}, end: io.EOF, readBytes: 1 << 20}), test.method, "a")
			g.Expect(err == nil).To(Equal(n == len(test.response)), "%q: %v", test.response[:n], err)
			g.Expect(body).To(BeEmpty())
		}
	}
	g.Expect(integrity.CheckHead(&http.Response{StatusCode: 200, ProtoMajor: 1}, []byte("HTTP/1.0 200 OK\r\nA: b\r\n\r\n"))).To(Succeed())
}
