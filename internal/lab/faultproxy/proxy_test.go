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

func echo(g *WithT) string {
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

func TestModes(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(echo(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	ask := func() error {
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
	for mode, works := range map[Mode]bool{Pass: true, Delay: true, Reset: false, CutBack: false, Silence: false} {
		proxy.Set(mode)
		began := time.Now()
		if works {
			g.Expect(ask()).To(Succeed(), mode.String())
		} else {
			g.Expect(ask()).NotTo(Succeed(), mode.String())
		}
		if mode == Delay {
			g.Expect(time.Since(began)).To(BeNumerically(">=", 2*delayTime))
		}
		proxy.Set(Pass)
		g.Expect(ask()).To(Succeed())
	}
}

// Muted connections stay silent whatever mode follows, and neither side learns
// that the other has closed.
func TestMuteSilencesOpenConnectionsForGood(t *testing.T) {
	g := NewWithT(t)
	proxy, err := Start(echo(g))
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", proxy.Address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	// silent is true if nothing at all came, neither data nor the connection's end.
	ask := func(conn net.Conn) (answered, silent bool) {
		conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil {
			return false, false
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err == nil, errors.Is(err, os.ErrDeadlineExceeded)
	}
	first, second := dial(), dial()
	for _, conn := range []net.Conn{first, second} {
		answered, _ := ask(conn)
		g.Expect(answered).To(BeTrue())
	}
	for _, mode := range []Mode{Mute, Pass, Silence, Pass, Mute} {
		proxy.Set(mode)
		for _, conn := range []net.Conn{first, second} {
			_, silent := ask(conn)
			g.Expect(silent).To(BeTrue(), "muted, then %v", mode)
		}
		if mode != Silence {
			answered, _ := ask(dial())
			g.Expect(answered).To(BeTrue(), "a new connection in %v", mode)
		}
	}
}

func TestMuteHidesTheEndOfAConnection(t *testing.T) {
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
	proxy.Set(Mute)
	client.Close()
	server.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = server.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
}
