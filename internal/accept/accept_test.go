package accept_test

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/accept"
)

// failingListener fails with the errors, one after the other, before it accepts connections.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

// Guards against a router that says it is ready and takes no connection any more, because it once had no
// free file descriptor.
func TestListenerAcceptsAfterFailures(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	exhausted := 0
	failing := &failingListener{Listener: listener, errors: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE}}
	wrapped := accept.Wrap(failing, func() { exhausted++ })
	client, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	accepted, err := wrapped.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	accepted.Close()
	g.Expect(exhausted).To(Equal(3))
	wrapped.Close()
	_, err = wrapped.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}
