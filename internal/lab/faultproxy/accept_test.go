package faultproxy

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// exhausted is a listener that cannot take the first connection for want of open files.
type exhausted struct {
	net.Listener
	failed bool
}

func (l *exhausted) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A soak of 140 gateways ran short of open files for a moment, and three runners could not be
// reached from then on.
func TestProxyTakesConnectionsAfterOneThatItCouldNotTake(t *testing.T) {
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
	p := &Proxy{server: server.Addr().String(), listener: &exhausted{Listener: listener}, open: map[*link]bool{}}
	go p.accept()
	defer p.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	one := make([]byte, 1)
	_, err = io.ReadFull(conn, one)
	g.Expect(err).NotTo(HaveOccurred(), "the proxy takes no connections any more")
}
