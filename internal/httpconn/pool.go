// Package httpconn sends HTTP/1.1 requests over kept connections and never
// sends one twice.
//
// net/http's Transport repeats a request by itself when a kept connection
// breaks and the method looks repeatable. What may be repeated is decided
// elsewhere in this product, so each Send here is one send: its error says
// whether the request can have reached the server. Messages are parsed and
// written by net/http; the package adds only the pool.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/tcpoption"
)

// Times and sizes of connections.
const (
	// DefaultDialTimeout bounds the wait for a new connection.
	DefaultDialTimeout = 450 * time.Millisecond
	// defaultIdle is how long a connection is kept when the server names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the time that the server names.
	idleMargin = time.Second
	// maxIdlePerAddress bounds the kept connections to one server.
	maxIdlePerAddress = 16
	readBufferBytes   = 2048
)

// ErrNotSent means that the request cannot have reached the server.
var ErrNotSent = errors.New("httpconn: nothing was sent")

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// Dial opens connections. NewPool sets it; it must not change once the pool is used.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	mutex sync.Mutex
	idle  map[string][]*conn
	// Opened is told of each new connection; it may be nil.
	Opened func()
	// SilentAfter is how long a request on a kept connection may have no answer before the
	// connections to that server that have been idle for longer are closed; 0 leaves them.
	// What silenced the one may have silenced all, and each would cost a request.
	SilentAfter time.Duration
	// Silent is told of each of them; it may be nil.
	Silent func()
}

// conn is one connection, owned by one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// keepUntil is when the server may close the idle connection.
	keepUntil time.Time
	// idleSince is when its last answer ended, zero before the first.
	idleSince time.Time
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	dialer := tcpoption.Dialer(dialTimeout)
	return &Pool{idle: map[string][]*conn{}, Dial: dialer.DialContext}
}

// connect returns a kept connection that is still usable, or a new one.
func (p *Pool) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		kept := p.take(address)
		if kept == nil {
			break
		}
		if kept.usable(time.Now()) {
			return kept, nil
		}
		kept.Close()
	}
	opened, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if p.Opened != nil {
		p.Opened()
	}
	return &conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// take removes the most recently used idle connection, so that others age out.
func (p *Pool) take(address string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

func (p *Pool) put(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// giveBack takes back a connection that nothing was written on. A new one is closed: the
// server has not said how long it keeps it.
func (p *Pool) giveBack(c *conn) {
	if c.keepUntil.IsZero() {
		c.Close()
		return
	}
	p.put(c)
}

// CloseIdle closes the idle connections to the address, so that the next request is
// sent on a new one; connections in use are left alone. It is for callers whose request
// was not answered in time: what silenced its connection may have silenced all others.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// watchAnswer begins to watch for the answer to a request that is about to be written.
// The returned function ends that.
func (p *Pool) watchAnswer(c *conn) (answered func()) {
	if p.SilentAfter == 0 || c.idleSince.IsZero() {
		// On a new connection silence is the server's.
		return func() {}
	}
	sent := time.Now()
	timer := time.AfterFunc(p.SilentAfter, func() { p.closeIdleSince(c.address, sent) })
	return func() { timer.Stop() }
}

// CloseIdleSince closes all connections that have been idle since before the moment, as they
// may have been lost then, and returns how many there were.
func (p *Pool) CloseIdleSince(moment time.Time) (closed int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range p.idle {
		closed += p.closeIdle(address, moment)
	}
	return closed
}

// closeIdleSince does the same for one address.
func (p *Pool) closeIdleSince(address string, moment time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeIdle(address, moment)
}

// closeIdle closes connections to the address that brought their last answer before the
// moment; those that brought one later are sound. The mutex is held.
func (p *Pool) closeIdle(address string, moment time.Time) (closed int) {
	var kept []*conn
	for _, c := range p.idle[address] {
		if !c.idleSince.Before(moment) {
			kept = append(kept, c)
			continue
		}
		c.Close()
		closed++
		if p.Silent != nil {
			p.Silent()
		}
	}
	p.idle[address] = kept
	return closed
}

// Sweep closes idle connections whose time is over and forgets their addresses.
func (p *Pool) Sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.keepUntil) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// usable tells whether nothing has arrived on the idle connection: bytes there
// would belong to no request, and an end means that the server has closed it.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.keepUntil) || c.reader.Buffered() > 0 {
		return false
	}
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, received := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = received == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAliveOf reads the time in a Keep-Alive header, in whole seconds.
func keepAliveOf(value string) (time.Duration, bool) {
	for _, parameter := range strings.Split(value, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := time.ParseDuration(number + "s")
		return seconds, err == nil
	}
	return 0, false
}

func idleTime(header string) time.Duration {
	named, found := keepAliveOf(header)
	if !found {
		return defaultIdle
	}
	return max(named-idleMargin, 0)
}
