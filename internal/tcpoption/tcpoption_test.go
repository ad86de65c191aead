package tcpoption

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// socketOption returns a TCP option of the connection.
func socketOption(g *WithT, conn net.Conn, option int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	value := 0
	err = raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
	})
	g.Expect(err).NotTo(HaveOccurred())
	return value
}

// Guards against connections that are closed although their sound peer was only silent for a second or
// two. TCP retransmits after 0.2, 0.6, 1.4 and 3 s, and the user timeout also decides when keep-alive
// probes give up, whatever their count.
func TestConnectionOutlivesSilenceOfItsPeer(t *testing.T) {
	g := NewWithT(t)
	const silence, nextRetransmission = 2 * time.Second, 3 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	dialer := Dialer(time.Second)
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	userTimeout := time.Duration(socketOption(g, conn, tcpUserTimeout)) * time.Millisecond
	idle := time.Duration(socketOption(g, conn, syscall.TCP_KEEPIDLE)) * time.Second
	probes := time.Duration(socketOption(g, conn, syscall.TCP_KEEPINTVL)*socketOption(g, conn, syscall.TCP_KEEPCNT)) * time.Second
	g.Expect(userTimeout).To(BeNumerically(">", nextRetransmission), "unacknowledged data is sent once more after the silence")
	g.Expect(min(userTimeout, idle+probes)).To(BeNumerically(">", silence), "an idle connection")
	g.Expect(userTimeout).To(BeNumerically("<=", 4*time.Second), "a lost peer is noticed")
}
