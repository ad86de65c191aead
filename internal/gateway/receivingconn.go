package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/membudget"
)

const (
	// connectionBytes is the memory that an open connection takes without a request: goroutines and buffers.
	connectionBytes = 16 << 10
	// headFactor is the memory that a byte of a head takes once it is parsed into header fields, at most.
	headFactor = 3
)

// errNoMemory means that other connections and calls hold all memory. net/http closes a connection with such an error, and answers others
// with status 400, after which no caller returns.
var errNoMemory = &net.OpError{Op: "read", Err: errors.New("no memory is left for the head of the request")}

// receivingConn is a connection that knows whether bytes of a request have arrived, and holds memory for heads of requests.
type receivingConn struct {
	net.Conn
	holder *membudget.Holder
	// isReceiving is set once bytes of a request have arrived, and isActive from the end of its head to the end of its response.
	isReceiving, isActive, isEvicted atomic.Bool
}

// Read reads from the caller.
func (c *receivingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || c.isActive.Load() {
		return n, err
	}
	if !c.isReceiving.Swap(true) {
		c.holder.SetClass(membudget.ReceivingHead)
	}
	if !c.holder.HoldNow(headFactor * int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// setState is called when the connection changes its state.
func (c *receivingConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.isActive.Store(true)
		c.holder.SetClass(membudget.Whole)
	case http.StateIdle:
		c.isReceiving.Store(false)
		c.isActive.Store(false)
		c.holder.ShrinkTo(connectionBytes)
		c.holder.SetClass(membudget.Idle)
	case http.StateClosed, http.StateHijacked:
		c.holder.Release()
	}
}

// evict ends the wait for the rest of a request. It must return at once.
func (c *receivingConn) evict() {
	c.isEvicted.Store(true)
	_ = c.SetReadDeadline(time.Time{})
}

// SetReadDeadline sets the read deadline, which has passed for an evicted connection.
func (c *receivingConn) SetReadDeadline(deadline time.Time) error {
	if c.isEvicted.Load() && !c.isActive.Load() {
		deadline = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetLinger implements lingerSetter.
func (c *receivingConn) SetLinger(seconds int) error {
	if connection, isTCP := c.Conn.(lingerSetter); isTCP {
		return connection.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *receivingConn) SyscallConn() (syscall.RawConn, error) {
	if connection, isSocket := c.Conn.(syscall.Conn); isSocket {
		return connection.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// receivingListener accepts receivingConns while there is memory for them.
type receivingListener struct {
	net.Listener
	memory *membudget.Budget
}

// Accept returns the next connection.
func (l receivingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := &receivingConn{Conn: accepted}
		connection.holder = l.memory.Register(membudget.Idle, connection.evict)
		if connection.holder.HoldNow(connectionBytes) {
			return connection, nil
		}
		connection.holder.Release()
		accepted.Close()
	}
}
