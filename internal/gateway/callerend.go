package gateway

import (
	"context"
	"net"
	"syscall"

	"github.com/clovertiller/clovertiller/internal/events"
)

// connectionKey is the key of a caller's connection in the contexts of its calls.
type connectionKey struct{}

// withConnection keeps the caller's connection in the context of its calls.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// leftUnread tells whether the caller gave up before its call was read.
func (c *call) leftUnread() bool {
	if !c.connectionEnded() {
		return false
	}
	c.gateway.log.Log(events.CallerDisconnected, events.Fields{"request": c.facts.ID, "while": "unread"})
	return true
}

// connectionEnded tells whether the caller has ended its connection. net/http notices that
// only by a read in the background that begins once the body is in, so a call whose caller
// has left may be sent on before.
func (c *call) connectionEnded() bool {
	connection, isSocket := c.caller.Context().Value(connectionKey{}).(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	var peeked [1]byte
	var received int
	var failure error
	// Control, unlike Read, does not wait for the server's own read.
	err = raw.Control(func(descriptor uintptr) {
		received, _, failure = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	if failure != nil {
		return failure != syscall.EAGAIN && failure != syscall.EINTR
	}
	return received == 0
}
