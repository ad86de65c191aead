// Package httpconn is an HTTP/1.1 client with a connection pool that never sends
// a request twice.
//
// net/http's Transport retries a request on its own when a reused connection
// breaks and the method is idempotent. In this product, other packages decide
// which requests may be retried. Send therefore sends a request at most once, and
// its error tells whether the request may have reached the server. Headers are
// written and responses parsed by net/http; this package adds the pool.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clovertiller/clovertiller/internal/tcpoption"
)

// Timeouts and limits of connections.
const (
	// DefaultDialTimeout is the usual timeout for opening a connection.
	DefaultDialTimeout = 450 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sent no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout.
	idleMargin = time.Second
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 16
	// maxRequestsPerConnection bounds the IDs that are kept of a connection's requests.
	maxRequestsPerConnection = 256
	readBufferBytes          = 2048
)

// ErrNotSent means that nothing of the request was sent to the server.
var ErrNotSent = errors.New("httpconn: nothing was sent")

// ErrNoIdleConnection means that a request for reused connections found none. It is joined with
// ErrNotSent.
var ErrNoIdleConnection = errors.New("httpconn: no idle connection")

// Pool sends requests and keeps the idle connections by address. It is safe for
// concurrent use. The exported fields must not be changed once the pool is used.
type Pool struct {
	// Dial opens connections. NewPool sets it.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	mutex sync.Mutex
	idle  map[string][]*conn
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()
	// OnDialError is called for each connection that could not be opened, unless the context of
	// the request ended; it may be nil.
	OnDialError func(error)
	// SilenceTimeout is how long the server may take to respond to a request on a
	// reused connection. After that, the connections to that server are closed that
	// have been idle since before the request was sent, because what broke one
	// connection may have broken all of them, and each would fail a request. 0 disables
	// this.
	SilenceTimeout time.Duration
	// OnEndless is called for each response that is given up because its head or its body is too long, with the
	// server's address and the part of the response; it may be nil.
	OnEndless func(address, part string)
	// OnSilentClosed is called for each connection closed by SilenceTimeout or
	// CloseIdleSince, with the pool locked; it may be nil.
	OnSilentClosed func()
}

// conn is a connection of a pool. It is used by one request at a time.
type conn struct {
	net.Conn
	address string
	head    *headReader
	reader  *bufio.Reader
	// idleExpiry is the time after which the idle connection must not be used, since
	// the server may close it. It is zero before the first response.
	idleExpiry time.Time
	// idleSince is when the last response ended, or zero before the first one.
	idleSince time.Time
	// carried holds the hashes of the IDs of the requests that were sent over the connection, empty ones left out.
	carried []uint64
}

// isKept reports whether earlier requests were sent over the connection.
func (c *conn) isKept() bool { return !c.idleSince.IsZero() }

// carry records that a request with the ID is sent over the connection.
func (c *conn) carry(id string) {
	if id != "" {
		c.carried = append(c.carried, xxhash.Sum64String(id))
	}
}

// hasCarried reports whether a request with the ID was sent over the connection.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

// NewPool returns an empty pool with the given timeout for opening connections.
func NewPool(dialTimeout time.Duration) *Pool {
	dialer := tcpoption.Dialer(dialTimeout)
	return &Pool{idle: map[string][]*conn{}, Dial: dialer.DialContext}
}

// connect returns a usable idle connection to the address that has not carried the
// request's ID, or a new one if there is none or FreshConnection is set. All of its
// errors wrap ErrNotSent.
func (p *Pool) connect(ctx context.Context, address string, request *Request) (*conn, error) {
	for !request.FreshConnection {
		idle := p.take(address, request.ID)
		if idle == nil {
			break
		}
		if idle.usable(time.Now()) {
			return idle, nil
		}
		idle.Close()
	}
	if request.ReuseOnly {
		return nil, errors.Join(ErrNotSent, ErrNoIdleConnection)
	}
	c, err := p.open(ctx, address)
	if request.OnDial != nil && (err == nil || ctx.Err() == nil) {
		request.OnDial(err)
	}
	return c, err
}

// open dials a new connection. All of its errors wrap ErrNotSent.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	netConn, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		if p.OnDialError != nil && ctx.Err() == nil {
			p.OnDialError(err)
		}
		return nil, errors.Join(ErrNotSent, err)
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	head := &headReader{Conn: netConn}
	return &conn{Conn: netConn, address: address, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// take removes and returns the most recently used idle connection to the address that
// has not carried a request with the ID, so that the others can expire. It returns nil
// if there is none.
func (p *Pool) take(address, id string) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.hasCarried(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, or closes it if there are maxIdlePerAddress already.
func (p *Pool) put(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// putUnused returns a connection to the pool to which nothing was written. A new
// connection is closed, since the server hasn't sent its Keep-Alive timeout yet.
func (p *Pool) putUnused(c *conn) {
	if c.idleExpiry.IsZero() {
		c.Close()
		return
	}
	p.put(c)
}

// ReportEndless records that the response of a server was given up because the part of it is too long.
func (p *Pool) ReportEndless(address, part string) {
	if p.OnEndless != nil {
		p.OnEndless(address, part)
	}
}

// CloseIdle closes the idle connections to the address, so that the next request is
// sent on a new one. Connections in use are not affected. It is for callers whose
// request timed out: what broke its connection may have broken all others.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// startSilenceTimer starts the SilenceTimeout of a request that is about to be
// written. The returned function stops the timer.
func (p *Pool) startSilenceTimer(c *conn) (stop func()) {
	if p.SilenceTimeout == 0 || c.idleSince.IsZero() {
		// On a new connection, the server itself doesn't respond, so this says nothing
		// about other connections.
		return func() {}
	}
	sent := time.Now()
	timer := time.AfterFunc(p.SilenceTimeout, func() { p.closeAddressIdleSince(c.address, sent) })
	return func() { timer.Stop() }
}

// CloseIdleSince closes the connections to all addresses that have been idle since
// before cutoff, as they may have broken since, and returns their number.
func (p *Pool) CloseIdleSince(cutoff time.Time) (closed int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range p.idle {
		closed += p.closeIdleSinceLocked(address, cutoff)
	}
	return closed
}

// CloseAllIdle closes all idle connections and returns their number. It is for callers that need their file
// descriptors.
func (p *Pool) CloseAllIdle() (closed int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
			closed++
		}
	}
	clear(p.idle)
	return closed
}

// closeAddressIdleSince closes the connections to one address that have been idle
// since before cutoff.
func (p *Pool) closeAddressIdleSince(address string, cutoff time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeIdleSinceLocked(address, cutoff)
}

// closeIdleSinceLocked closes the connections to the address whose last response ended
// before cutoff, and returns their number. Connections with a later response are known
// to have worked since. The mutex must be held.
func (p *Pool) closeIdleSinceLocked(address string, cutoff time.Time) (closed int) {
	var kept []*conn
	for _, c := range p.idle[address] {
		if !c.idleSince.Before(cutoff) {
			kept = append(kept, c)
			continue
		}
		c.Close()
		closed++
		if p.OnSilentClosed != nil {
			p.OnSilentClosed()
		}
	}
	p.idle[address] = kept
	return closed
}

// CloseExpired closes the idle connections that have expired, and deletes addresses
// without connections. It must be called regularly.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleExpiry) {
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

// usable reports whether the idle connection hasn't expired and has no data or end of
// stream to read. Data would belong to no request, and an end of stream means that the
// server has closed the connection.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.idleExpiry) || c.reader.Buffered() > 0 {
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
	noData := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errno == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header, which is
// in seconds, and whether there is a valid one.
func parseKeepAliveTimeout(value string) (time.Duration, bool) {
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

// idleTimeout returns how long to keep an idle connection, given the Keep-Alive header
// of its last response.
func idleTimeout(header string) time.Duration {
	timeout, found := parseKeepAliveTimeout(header)
	if !found {
		return defaultIdleTimeout
	}
	return max(timeout-idleMargin, 0)
}
