package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEchoServer starts a TCP server that echoes what it receives and returns its address.
func startEchoServer(g *WithT) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return listener.Addr().String()
}

func TestRoundTripInEachMode(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(startEchoServer(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	roundTrip := func() error {
		conn, err := net.Dial("tcp", proxy.Address)
		if err != nil {
			return err
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}
	for mode, succeeds := range map[Mode]bool{Pass: true, Delay: true, Reset: false, DropResponses: false, Blackhole: false} {
		proxy.SetMode(mode)
		start := time.Now()
		if succeeds {
			g.Expect(roundTrip()).To(Succeed(), mode.String())
		} else {
			g.Expect(roundTrip()).NotTo(Succeed(), mode.String())
		}
		if mode == Delay {
			g.Expect(time.Since(start)).To(BeNumerically(">=", 2*forwardDelay))
		}
		proxy.SetMode(Pass)
		g.Expect(roundTrip()).To(Succeed())
	}
}

// Guards against muted connections that forward data or are closed after a later change of the
// mode.
func TestMuteExistingIsPermanent(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(startEchoServer(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", proxy.Address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	// roundTrip reports whether the byte was echoed. silent is set if the read timed out, that
	// is, if neither data nor the end of the connection arrived.
	roundTrip := func(conn net.Conn) (echoed, silent bool) {
		conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil {
			return false, false
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err == nil, errors.Is(err, os.ErrDeadlineExceeded)
	}
	first, second := dial(), dial()
	for _, conn := range []net.Conn{first, second} {
		echoed, _ := roundTrip(conn)
		g.Expect(echoed).To(BeTrue())
	}
	for _, mode := range []Mode{MuteExisting, Pass, Blackhole, Pass, MuteExisting} {
		proxy.SetMode(mode)
		for _, conn := range []net.Conn{first, second} {
			_, silent := roundTrip(conn)
			g.Expect(silent).To(BeTrue(), "muted, then %v", mode)
		}
		if mode != Blackhole {
			echoed, _ := roundTrip(dial())
			g.Expect(echoed).To(BeTrue(), "a new connection in %v", mode)
		}
	}
}

// Guards against the server of a muted connection noticing that the client has closed it.
func TestMuteExistingHidesConnectionClose(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	proxy, err := Start(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	client, err := net.Dial("tcp", proxy.Address)
	g.Expect(err).NotTo(HaveOccurred())
	server, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	proxy.SetMode(MuteExisting)
	client.Close()
	server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = server.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
}

// Guards against a delay that also limits the throughput: a link between regions is long, not slow.
func TestSetDelayDelaysWithoutLimitingThroughput(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(startEchoServer(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	const delay, chunks = 200 * time.Millisecond, 20
	proxy.SetDelay(delay)
	conn, err := net.Dial("tcp", proxy.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	start := time.Now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range chunks {
			conn.Write([]byte("x"))
			time.Sleep(time.Millisecond)
		}
	}()
	_, err = io.ReadFull(conn, make([]byte, chunks))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(start)).To(And(BeNumerically(">=", 2*delay), BeNumerically("<", chunks*delay)))
	<-sent
	proxy.SetDelay(0)
	start = time.Now()
	conn.Write([]byte("y"))
	_, err = io.ReadFull(conn, make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(start)).To(BeNumerically("<", delay))
}
