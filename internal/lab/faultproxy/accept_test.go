package faultproxy

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// emfileListener is a listener whose first Accept fails because the process has too many open
// files.
type emfileListener struct {
	net.Listener
	failed bool
}

func (l *emfileListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a proxy that stops accepting after the first failed Accept. A soak of 140
// gateways ran out of open files for a moment, and three runners stayed unreachable afterwards.
func TestProxyKeepsAcceptingAfterAcceptError(t *testing.T) {
	g := NewWithT(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	go func() {
		conn, err := server.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("x"))
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	p := &Proxy{server: server.Addr().String(), listener: &emfileListener{Listener: listener}, links: map[*link]bool{}}
	go p.acceptLoop()
	defer p.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	buffer := make([]byte, 1)
	_, err = io.ReadFull(conn, buffer)
	g.Expect(err).NotTo(HaveOccurred(), "the proxy must accept connections after a failed Accept")
}
