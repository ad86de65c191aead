package gateway

import (
	"context"
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

// disconnectedBeforeRead reports whether the caller closed the connection before its request
// was read, and logs it.
func (c *call) disconnectedBeforeRead() bool {
	if !c.isConnectionClosed() {
		return false
	}
	c.gateway.log.Log(events.CallerDisconnected, events.Fields{"request": c.metadata.ID, "while": "unread"})
	return true
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
		return true
	}
	var buffer [1]byte
	var n int
	var peekErr error
	// Control, unlike Read, does not block until the server's own read has finished.
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	if peekErr != nil {
		return peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	}
	return n == 0
}
