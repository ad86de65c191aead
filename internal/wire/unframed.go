package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// isUnframed reports whether a connection with the first byte carries no frames. HTTP requests begin with
// a capital letter, and frames with the high byte of their length, which MaxFrameBytes keeps below that.
func isUnframed(first byte) bool { return first >= 'A' && first <= 'Z' }

// unframedListener is a net.Listener of the accepted connections that carry no frames.
type unframedListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	// inUse is set once connections without frames are expected.
	inUse atomic.Bool
}

func newUnframedListener(address net.Addr) *unframedListener {
	return &unframedListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *unframedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *unframedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *unframedListener) Addr() net.Addr { return l.address }

// offer passes a connection to Accept. It returns false if the listener is closed.
func (l *unframedListener) offer(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// peekedConn is a connection whose first bytes have been read into a buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *peekedConn) Read(buffer []byte) (int, error) { return c.reader.Read(buffer) }

// Unframed returns a listener that accepts the connections which other routers open to this transport's
// address to send HTTP requests instead of frames. Closing the transport closes it.
func (t *Transport) Unframed() net.Listener {
	t.unframed.inUse.Store(true)
	return t.unframed
}

// handOver passes the connection to the unframed listener if it carries no frames. It blocks until the
// first byte arrives, and returns false if the connection ended before that or carries frames.
func (t *Transport) handOver(connection net.Conn, reader *bufio.Reader) bool {
	if !t.unframed.inUse.Load() {
		return false
	}
	connection.SetReadDeadline(time.Now().Add(idleTimeout))
	first, err := reader.Peek(1)
	if err != nil || !isUnframed(first[0]) {
		return false
	}
	connection.SetReadDeadline(time.Time{})
	return t.unframed.offer(&peekedConn{Conn: connection, reader: reader})
}
