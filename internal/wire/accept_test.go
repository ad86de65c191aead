package wire

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// exhaustedListener fails once as if there were no free file descriptor.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a router that no other router can connect to any more, because it once had no free file
// descriptor.
func TestTransportAcceptsAfterFailure(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	callee := NewTransport(Identity{Node: "callee", Incarnation: 1}, &exhaustedListener{Listener: listener}, echo)
	t.Cleanup(callee.Close)
	caller := startTransport(t, echo)
	g.Eventually(func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := caller.Call(ctx, "", callee.Address(), heartbeat(1))
		return err
	}, 5*time.Second).Should(Succeed())
}
