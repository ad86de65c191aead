package faultproxy

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cutserver"
)

// startReverser starts a server that reads requests of 5 bytes and answers each with 10 bytes. It passes on what it has read of each
// connection.
func startReverser(t *testing.T) (address string, received chan string) {
	received = make(chan string, 100)
	address = cutserver.Listen(t, func(conn *net.TCPConn) {
		request := make([]byte, 5)
		n, err := io.ReadFull(conn, request)
		received <- string(request[:n])
		if err == nil {
			_, _ = conn.Write([]byte("0123456789"))
			_, _ = io.Copy(io.Discard, conn)
		}
	})
	return address, received
}

// Guards against cuts that forward more or fewer bytes than asked for, that affect the other direction or other connections, or that
// end a connection otherwise.
func TestCutEndsConnectionsAfterTheBytes(t *testing.T) {
	g := NewWithT(t)
	address, received := startReverser(t)
	proxy, err := Start(address)
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	for _, reset := range []bool{false, true} {
		for n := range 10 {
			for _, requests := range []bool{false, true} {
				proxy.SetCut(&Cut{Prefix: "cu", Requests: requests, Bytes: n, Reset: reset})
				conn, err := net.Dial("tcp", proxy.Address)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = conn.Write([]byte("cut??"))
				g.Expect(err).NotTo(HaveOccurred())
				if requests && n > 5 {
					conn.Close()
					<-received
					continue
				}
				data, err := io.ReadAll(conn)
				conn.Close()
				g.Expect(err != nil).To(Equal(reset), "%v", err)
				if requests {
					g.Expect(data).To(BeEmpty())
					if !reset {
						g.Expect(<-received).To(Equal("cut??"[:min(n, 5)]))
						continue
					}
				} else if !reset {
					g.Expect(data).To(HaveLen(n))
				}
				<-received
			}
		}
	}
	conn, err := net.Dial("tcp", proxy.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte("other"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(io.ReadFull(conn, make([]byte, 10))).To(Equal(10))
}
