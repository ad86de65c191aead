package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/clovertiller/clovertiller/internal/events"
)

// connectionKey is the context key of the caller's connection.
type connectionKey struct{}

// withConnection returns a context that holds the caller's connection.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// lingerSetter is a connection that can be reset instead of closed.
type lingerSetter interface{ SetLinger(seconds int) error }

// Values of the linger option of a connection.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// beginUnframedResponse is called before a response of unknown length is written. In HTTP/1.0 such a response ends
// with its connection, so until endUnframedResponse any end of the connection, also by the death of this
// process, resets it.
func (c *call) beginUnframedResponse() { c.setLinger(lingerReset) }

// endUnframedResponse is called when the whole response was written.
func (c *call) endUnframedResponse() {
	c.setLinger(lingerDefault)
	// net/http writes the end of the response after the handler has returned.
	c.extendWriteDeadline()
}

func (c *call) setLinger(seconds int) {
	if c.incoming.ProtoAtLeast(1, 1) {
		// The response has chunks, and the missing last chunk shows that it is incomplete.
		return
	}
	connection, isSettable := c.incoming.Context().Value(connectionKey{}).(lingerSetter)
	if !isSettable {
		return
	}
	if err := connection.SetLinger(seconds); err != nil {
		c.gateway.log.Log(events.CallerDisconnected, events.Fields{"request": c.metadata.ID, "while": "responding", "error": err.Error()})
	}
}

// isConnectionClosed reports whether the caller has closed its connection. net/http detects that
// only with a background read that starts after the body has been read, so without this check
// a call could be sent to a runner after its caller has disconnected.
func (c *call) isConnectionClosed() bool {
	connection, isSocket := c.incoming.Context().Value(connectionKey{}).(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	var buffer [1]byte
	var n int
	var peekErr error
	// Control, unlike Read, does not block until the server's own read has finished.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	return isEndOfConnection(n, peekErr)
}

// isEndOfConnection reports whether the result of a read that does not block shows that the peer ended the connection.
// Any other error, such as a lack of memory, says nothing about the peer.
func isEndOfConnection(n int, err error) bool {
	switch err {
	case nil:
		return n == 0
	case syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.ENOTCONN, syscall.ECONNABORTED, syscall.EHOSTUNREACH, syscall.ENETUNREACH:
		return true
	}
	return false
}
