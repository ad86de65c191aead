package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/integrity"
)

// connHandler serves one connection of a test server, given the connection's number
// from 0 on.
type connHandler func(connection int, reader *bufio.Reader, conn net.Conn)

// startServer starts a TCP server that serves each connection with handle. It returns
// its address and a function that returns the number of accepted connections.
func startServer(t *testing.T, handle connHandler) (address string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan int, 100)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- n
			go handle(n, bufio.NewReader(conn), conn)
		}
	}()
	return listener.Addr().String(), func() int { return len(accepted) }
}

// respondWith returns a handler that reads one request for each response and then
// returns without closing the connection.
func respondWith(responses ...string) connHandler {
	return func(_ int, reader *bufio.Reader, conn net.Conn) {
		for _, response := range responses {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, response)
		}
	}
}

func newGetRequest() *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
}

// sendAndRead sends the request and returns the body of its response.
func sendAndRead(g *WithT, pool *Pool, address string, request *Request) (string, error) {
	response, err := pool.Send(context.Background(), address, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, end := response.Body.ReadAll(1 << 20)
	g.Expect(end.Verdict).NotTo(Equal(integrity.Unfinished))
	return string(data), end.Err()
}

// okResponse is a complete response with the body "ok".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"

func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, respondWith(okResponse, okResponse, okResponse))
	pool := NewPool(time.Second)
	for range 3 {
		body, err := sendAndRead(g, pool, address, newGetRequest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(1))
}

// Guards against a second send of a request whose reused connection breaks.
// net/http's Transport would retry a GET here.
func TestRequestIsNotRetriedOnBrokenConnection(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		respondWith(okResponse)(connection, reader, conn)
		http.ReadRequest(reader)
		conn.Close()
	})
	pool := NewPool(time.Second)
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "the server may have run the request")
	g.Expect(connections()).To(Equal(1))
}

// Guards against taking bytes that follow a response for the response to the next
// request.
func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		if connection == 0 {
			respondWith(okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")(connection, reader, conn)
			return
		}
		respondWith(okResponse)(connection, reader, conn)
	})
	pool := NewPool(time.Second)
	for range 2 {
		body, err := sendAndRead(g, pool, address, newGetRequest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(2), "the connection with surplus bytes must not be reused")
}

// Guards against the same if the surplus bytes arrive while the connection is idle.
func TestConnectionWithLateSurplusBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan struct{})
	address, connections := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		respondWith(okResponse)(connection, reader, conn)
		if connection == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			close(sent)
		}
	})
	pool := NewPool(time.Second)
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	<-sent
	g.Eventually(func() bool {
		idle := pool.take(address, "")
		if idle == nil {
			return true
		}
		defer pool.put(idle)
		return !idle.usable(time.Now())
	}).Should(BeTrue())
	body, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(connections()).To(Equal(2))
}

func TestResponsesToOtherRequestsAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, respondWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"))
	request := newGetRequest()
	request.MatchesResponse = func(header http.Header) bool { return header.Get("Id") == "b" }
	body, err := sendAndRead(g, NewPool(time.Second), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
}

func TestIncompleteResponsesReturnErrors(t *testing.T) {
	for name, response := range map[string]string{
		"short":         "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"chunk missing": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no response":   "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
				respondWith(response)(connection, reader, conn)
				conn.Close()
			})
			_, err := sendAndRead(g, NewPool(time.Second), address, newGetRequest())
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		})
	}
}

func TestBodyWithoutLengthIsCompleteOnlyOnCleanClose(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nok"
	for _, cleanClose := range []bool{true, false} {
		g := NewWithT(t)
		address, _ := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
			respondWith(response)(connection, reader, conn)
			if !cleanClose {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		})
		body, err := sendAndRead(g, NewPool(time.Second), address, newGetRequest())
		if cleanClose {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
		} else {
			g.Expect(err).To(HaveOccurred())
		}
	}
}

// Guards against reuse of a connection whose request body is still being written: a
// server may respond early and go on reading, and would take the next request for a
// part of the body.
func TestConnectionIsClosedAfterEarlyResponse(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(conn, okResponse)
		}
	})
	pool := NewPool(time.Second)
	for range 2 {
		request := newGetRequest()
		request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		body, err := sendAndRead(g, pool, address, request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(2))
}

func TestDialErrorIsErrNotSent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, err = NewPool(time.Second).Send(context.Background(), address, newGetRequest())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
}

func TestCanceledContextClosesConnection(t *testing.T) {
	g := NewWithT(t)
	readError := make(chan error, 1)
	address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		http.ReadRequest(reader)
		_, err := reader.ReadByte()
		readError <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool(time.Second).Send(ctx, address, newGetRequest())
	g.Expect(err).To(HaveOccurred())
	g.Eventually(readError, 2*time.Second).Should(Receive(HaveOccurred()), "the server must see the connection close at once")
}

func TestCloseIdleAffectsOneAddress(t *testing.T) {
	g := NewWithT(t)
	address, connections := startServer(t, respondWith(okResponse, okResponse))
	other, otherConnections := startServer(t, respondWith(okResponse, okResponse))
	pool := NewPool(time.Second)
	inUse, err := pool.Send(context.Background(), address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	for _, server := range []string{address, other} {
		_, err := sendAndRead(g, pool, server, newGetRequest())
		g.Expect(err).NotTo(HaveOccurred())
	}
	pool.CloseIdle(address)
	for _, server := range []string{address, other} {
		_, err := sendAndRead(g, pool, server, newGetRequest())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(connections()).To(Equal(3), "one connection in use, one closed, one new")
	g.Expect(otherConnections()).To(Equal(1))
	data, end := inUse.Body.ReadAll(1 << 20)
	g.Expect(end.Err()).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("ok"))
	inUse.Body.Close()
}

func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	g := NewWithT(t)
	g.Expect(idleTimeout("timeout=5, max=100")).To(Equal(4 * time.Second))
	g.Expect(idleTimeout("max=3, timeout=1")).To(Equal(time.Duration(0)))
	g.Expect(idleTimeout("")).To(Equal(defaultIdleTimeout))
	pool := NewPool(time.Second)
	address, _ := startServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok"))
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	pool.CloseExpired(time.Now().Add(time.Millisecond))
	g.Expect(pool.take(address, "")).To(BeNil())
}

// openIdleConnections opens count idle connections to a server that responds to the
// first request on each connection.
func openIdleConnections(g *WithT, pool *Pool, address string, count int) {
	var open []*Response
	for range count {
		response, err := pool.Send(context.Background(), address, newGetRequest())
		g.Expect(err).NotTo(HaveOccurred())
		open = append(open, response)
	}
	for _, response := range open {
		_, end := response.Body.ReadAll(1 << 20)
		g.Expect(end.Err()).NotTo(HaveOccurred())
		response.Body.Close()
	}
}

// sendInBackground sends a request that gets no response, until the test ends.
func sendInBackground(t *testing.T, pool *Pool, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go pool.Send(ctx, address, newGetRequest())
}

// idleCount returns the number of idle connections to the address.
func (p *Pool) idleCount(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address])
}

// testSilenceTimeout is a short SilenceTimeout.
const testSilenceTimeout = 50 * time.Millisecond

// When a request on a reused connection gets no response within SilenceTimeout, the
// other idle connections to that server are closed.
func TestIdleConnectionsAreClosedAfterSilence(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		respondWith(okResponse)(0, reader, conn)
		io.Copy(io.Discard, reader)
	})
	pool := NewPool(time.Second)
	pool.SilenceTimeout = testSilenceTimeout
	closed := make(chan struct{}, 10)
	pool.OnSilentClosed = func() { closed <- struct{}{} }
	openIdleConnections(g, pool, address, 4)
	sendInBackground(t, pool, address)
	g.Eventually(func() int { return len(closed) }, 5*time.Second).Should(Equal(3))
	g.Expect(pool.idleCount(address)).To(BeZero())
	body, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"), "on a new connection")
}

// Connections whose last response came after the cutoff are known to work.
func TestConnectionsWithLaterResponsesAreKept(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, respondWith(okResponse, okResponse))
	pool := NewPool(time.Second)
	openIdleConnections(g, pool, address, 2)
	cutoff := time.Now()
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	pool.closeAddressIdleSince(address, cutoff)
	g.Expect(pool.idleCount(address)).To(Equal(1))
}

// Guards against closing idle connections needlessly: neither a request with a timely
// response nor a silent request on a new connection says anything about the others.
func TestIdleConnectionsAreKeptWithoutSilenceOnReusedOne(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		if connection < 3 {
			respondWith(okResponse, okResponse)(connection, reader, conn)
		}
		io.Copy(io.Discard, reader)
	})
	pool := NewPool(time.Second)
	pool.SilenceTimeout = testSilenceTimeout
	openIdleConnections(g, pool, address, 3)
	_, err := sendAndRead(g, pool, address, newGetRequest())
	g.Expect(err).NotTo(HaveOccurred())
	request := newGetRequest()
	request.FreshConnection = true
	go pool.Send(t.Context(), address, request)
	g.Consistently(func() int { return pool.idleCount(address) }, 4*testSilenceTimeout, testSilenceTimeout/5).Should(Equal(3))
}
