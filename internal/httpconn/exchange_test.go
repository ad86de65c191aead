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
)

// script answers the nth connection's requests with what it returns.
type script func(connection int, reader *bufio.Reader, conn net.Conn)

func serve(t *testing.T, run script) (address string, connections func() int) {
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
			go run(n, bufio.NewReader(conn), conn)
		}
	}()
	return listener.Addr().String(), func() int { return len(accepted) }
}

func answerWith(answers ...string) script {
	return func(_ int, reader *bufio.Reader, conn net.Conn) {
		for _, answer := range answers {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, answer)
		}
	}
}

func get() *Request {
	return &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
}

func readAll(g *WithT, pool *Pool, address string, request *Request) (string, error) {
	response, err := pool.Send(context.Background(), address, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, more, err := response.Body.ReadAll(1 << 20)
	g.Expect(more).To(BeFalse())
	return string(data), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, answerWith(whole, whole, whole))
	pool := NewPool(time.Second)
	for range 3 {
		body, err := readAll(g, pool, address, get())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(1))
}

// A request whose kept connection dies under it is not sent again: net/http
// would repeat a GET here.
func TestNothingIsSentTwice(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		answerWith(whole)(connection, reader, conn)
		http.ReadRequest(reader)
		conn.Close()
	})
	pool := NewPool(time.Second)
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = readAll(g, pool, address, get())
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "it may have run")
	g.Expect(connections()).To(Equal(1))
}

func TestBytesAfterAnAnswerBelongToNobody(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		if connection == 0 {
			answerWith(whole+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")(connection, reader, conn)
			return
		}
		answerWith(whole)(connection, reader, conn)
	})
	pool := NewPool(time.Second)
	for range 2 {
		body, err := readAll(g, pool, address, get())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(2), "the spoilt connection is not used again")
}

func TestSurplusBytesThatComeLaterSpoilTheIdleConnection(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan struct{})
	address, connections := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		answerWith(whole)(connection, reader, conn)
		if connection == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			close(sent)
		}
	})
	pool := NewPool(time.Second)
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	<-sent
	g.Eventually(func() bool {
		kept := pool.take(address)
		if kept == nil {
			return true
		}
		defer pool.put(kept)
		return !kept.usable(time.Now())
	}).Should(BeTrue())
	body, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
	g.Expect(connections()).To(Equal(2))
}

func TestAnswersToOtherRequestsAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, answerWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"))
	request := get()
	request.Accept = func(header http.Header) bool { return header.Get("Id") == "b" }
	body, err := readAll(g, NewPool(time.Second), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"))
}

func TestBrokenAnswersDoNotLookWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"short":         "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"chunk missing": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no answer":     "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
				answerWith(answer)(connection, reader, conn)
				conn.Close()
			})
			_, err := readAll(g, NewPool(time.Second), address, get())
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		})
	}
}

func TestBodyWithoutLengthIsWholeOnlyOnAnOrderlyClose(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\nok"
	for _, orderly := range []bool{true, false} {
		g := NewWithT(t)
		address, _ := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
			answerWith(head)(connection, reader, conn)
			if !orderly {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		})
		body, err := readAll(g, NewPool(time.Second), address, get())
		if orderly {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("ok"))
		} else {
			g.Expect(err).To(HaveOccurred())
		}
	}
}

// A server may answer before it has read a long body and read on; the rest of
// the body must not be followed by another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(conn, whole)
		}
	})
	pool := NewPool(time.Second)
	for range 2 {
		request := get()
		request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		body, err := readAll(g, pool, address, request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
	}
	g.Expect(connections()).To(Equal(2))
}

func TestNoConnectionMeansNotSent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, err = NewPool(time.Second).Send(context.Background(), address, get())
	g.Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
}

func TestEndOfTheContextEndsTheExchange(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan error, 1)
	address, _ := serve(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		http.ReadRequest(reader)
		_, err := reader.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool(time.Second).Send(ctx, address, get())
	g.Expect(err).To(HaveOccurred())
	g.Eventually(ended, 2*time.Second).Should(Receive(HaveOccurred()), "the server sees the end at once")
}

func TestIdleConnectionsOfOneAddressAreClosed(t *testing.T) {
	g := NewWithT(t)
	address, connections := serve(t, answerWith(whole, whole))
	other, otherConnections := serve(t, answerWith(whole, whole))
	pool := NewPool(time.Second)
	inUse, err := pool.Send(context.Background(), address, get())
	g.Expect(err).NotTo(HaveOccurred())
	for _, server := range []string{address, other} {
		_, err := readAll(g, pool, server, get())
		g.Expect(err).NotTo(HaveOccurred())
	}
	pool.CloseIdle(address)
	for _, server := range []string{address, other} {
		_, err := readAll(g, pool, server, get())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(connections()).To(Equal(3), "one in use, one closed, one new")
	g.Expect(otherConnections()).To(Equal(1))
	data, _, err := inUse.Body.ReadAll(1 << 20)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("ok"))
	inUse.Body.Close()
}

func TestKeepAliveTimesAreKept(t *testing.T) {
	g := NewWithT(t)
	g.Expect(idleTime("timeout=5, max=100")).To(Equal(4 * time.Second))
	g.Expect(idleTime("max=3, timeout=1")).To(Equal(time.Duration(0)))
	g.Expect(idleTime("")).To(Equal(defaultIdle))
	pool := NewPool(time.Second)
	address, _ := serve(t, answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok"))
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	pool.Sweep(time.Now().Add(time.Millisecond))
	g.Expect(pool.take(address)).To(BeNil())
}

// keepConnections leaves so many idle connections to a server that answers each first
// request, and no other.
func keepConnections(g *WithT, pool *Pool, address string, count int) {
	var open []*Response
	for range count {
		response, err := pool.Send(context.Background(), address, get())
		g.Expect(err).NotTo(HaveOccurred())
		open = append(open, response)
	}
	for _, response := range open {
		_, _, err := response.Body.ReadAll(1 << 20)
		g.Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
	}
}

// sendUnanswered sends a request that waits in vain, until the test ends.
func sendUnanswered(t *testing.T, pool *Pool, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go pool.Send(ctx, address, get())
}

func (p *Pool) idleCount(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address])
}

const briefSilence = 50 * time.Millisecond

func TestConnectionsBesideASilentOneAreClosed(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(_ int, reader *bufio.Reader, conn net.Conn) {
		answerWith(whole)(0, reader, conn)
		io.Copy(io.Discard, reader)
	})
	pool := NewPool(time.Second)
	pool.SilentAfter = briefSilence
	closed := make(chan struct{}, 10)
	pool.Silent = func() { closed <- struct{}{} }
	keepConnections(g, pool, address, 4)
	sendUnanswered(t, pool, address)
	g.Eventually(func() int { return len(closed) }, 5*time.Second).Should(Equal(3))
	g.Expect(pool.idleCount(address)).To(BeZero())
	body, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("ok"), "on a new connection")
}

func TestConnectionsThatAnsweredLaterAreKept(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, answerWith(whole, whole))
	pool := NewPool(time.Second)
	keepConnections(g, pool, address, 2)
	moment := time.Now()
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	pool.closeIdleSince(address, moment)
	g.Expect(pool.idleCount(address)).To(Equal(1))
}

// A request that is answered in time, and one on a new connection, say nothing of others.
func TestConnectionsBesideSoundOnesAreKept(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, func(connection int, reader *bufio.Reader, conn net.Conn) {
		if connection < 3 {
			answerWith(whole, whole)(connection, reader, conn)
		}
		io.Copy(io.Discard, reader)
	})
	pool := NewPool(time.Second)
	pool.SilentAfter = briefSilence
	keepConnections(g, pool, address, 3)
	_, err := readAll(g, pool, address, get())
	g.Expect(err).NotTo(HaveOccurred())
	onNew := get()
	onNew.FreshConnection = true
	go pool.Send(t.Context(), address, onNew)
	g.Consistently(func() int { return pool.idleCount(address) }, 4*briefSilence, briefSilence/5).Should(Equal(3))
}
