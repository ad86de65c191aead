package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/accept"
)

// Limits and timeouts of the transport.
const (
	// maxQueuedFrames bounds the frames queued for one peer. Further frames are dropped, so
	// that a slow peer uses bounded memory and never blocks a sender.
	maxQueuedFrames = 512
	// minDialTimeout and maxDialTimeout bound the timeout of a dial, which doubles with each failure.
	// They are short because TCP retransmits a lost SYN only after one second, and a new dial is faster.
	minDialTimeout = 100 * time.Millisecond
	maxDialTimeout = 300 * time.Millisecond
	// writeTimeout is the time after which the connection to a peer that does not read is
	// closed.
	writeTimeout = 5 * time.Second
	// idleTimeout is the time without an incoming frame after which a connection is closed.
	idleTimeout = 90 * time.Second
	// redialDelay is the minimum time between two failed dials to a peer.
	redialDelay = 100 * time.Millisecond
	// refusedRedialDelay is the same for a peer that refuses connections, which costs its machine
	// next to nothing.
	refusedRedialDelay = 20 * time.Millisecond
)

// Errors of Send and Call.
var (
	ErrQueueFull        = errors.New("queue to the peer is full")
	ErrClosed           = errors.New("transport is closed")
	ErrNoReply          = errors.New("no reply within the deadline")
	ErrRefused          = errors.New("connection to the peer was refused")
	errConnectionSilent = errors.New("connection was closed because it fell silent")
	ErrPartitioned      = errors.New("peer is partitioned by fault injection")
)

// Handler handles an incoming message. For a call it returns the reply, or nil to send none.
// Messages of one connection are handled in order, so it must not block.
type Handler func(ctx context.Context, envelope *Envelope) *Envelope

// Identity identifies the local process in every envelope that it sends.
type Identity struct {
	Node string
	// Incarnation differs for each start of the process.
	Incarnation uint64
}

// Transport exchanges envelopes with other routers. It sends over one connection per peer
// address and accepts connections on a listener.
type Transport struct {
	identity Identity
	handler  Handler
	listener net.Listener
	// unframed accepts the connections that carry HTTP requests instead of frames.
	unframed *unframedListener

	lastCallID   atomic.Uint64
	pendingCalls sync.Map // call id -> chan *Envelope

	mutex               sync.Mutex
	peers               map[string]*peer
	acceptedConnections map[net.Conn]struct{}
	partitioned         map[string]bool
	closed              bool

	counters Counters
	// onLost is the callback for lost connections, nil if none is set.
	onLost atomic.Pointer[func(since time.Time)]
	// onSilent is the callback for connections that are closed as silent, nil if none is set.
	onSilent atomic.Pointer[func(address string, since time.Time)]
}

// Counters counts the transport's traffic.
type Counters struct {
	BytesSent       atomic.Uint64
	BytesReceived   atomic.Uint64
	FramesSent      atomic.Uint64
	FramesDropped   atomic.Uint64
	MalformedFrames atomic.Uint64
	// SilentConnections counts connections that were closed because requests on them were
	// not answered.
	SilentConnections atomic.Uint64
	kinds             kindCounters
}

// NewTransport returns a transport that passes messages from connections accepted on the
// listener to the handler, until Close.
func NewTransport(identity Identity, listener net.Listener, handler Handler) *Transport {
	t := &Transport{
		identity:            identity,
		handler:             handler,
		listener:            accept.Wrap(listener, nil),
		unframed:            newUnframedListener(listener.Addr()),
		peers:               map[string]*peer{},
		acceptedConnections: map[net.Conn]struct{}{},
		partitioned:         map[string]bool{},
	}
	go t.acceptLoop()
	return t
}

// OnLostConnection sets the callback for lost connections. A connection counts as lost if it
// was silent while its peer was healthy, which shows when a new connection to the same peer
// is answered at once. The callback gets the time since which the connection was silent. Other
// connections of this machine may have been lost at the same time.
func (t *Transport) OnLostConnection(callback func(since time.Time)) { t.onLost.Store(&callback) }

func (t *Transport) reportLostConnection(since time.Time) {
	if callback := t.onLost.Load(); callback != nil {
		(*callback)(since)
	}
}

// OnSilentConnection sets the callback for connections that are closed because they fell silent, whatever the reason. It gets
// the address of the peer, and the time since which one-way messages that were sent to it may be lost.
func (t *Transport) OnSilentConnection(callback func(address string, since time.Time)) {
	t.onSilent.Store(&callback)
}

func (t *Transport) reportSilentConnection(address string, since time.Time) {
	if callback := t.onSilent.Load(); callback != nil {
		(*callback)(address, since)
	}
}

// Counters returns the transport's counters, which continue to be updated.
func (t *Transport) Counters() *Counters { return &t.counters }

// Address returns the address that peers dial.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// SetPartitioned sets the nodes to and from which all traffic is dropped. It injects network
// partitions in tests and is off by default.
func (t *Transport) SetPartitioned(nodes []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.partitioned = make(map[string]bool, len(nodes))
	for _, node := range nodes {
		t.partitioned[node] = true
	}
}

func (t *Transport) isPartitioned(node string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.partitioned[node]
}

// Send queues a one-way message. It never blocks.
func (t *Transport) Send(node, address string, envelope *Envelope) error {
	envelope.CallId, envelope.DeadlineMillis = 0, 0
	// A lost one-way message is not sent again, so it must not be queued on a silent
	// connection.
	t.closeIfSilent(t.lookupPeer(address))
	_, err := t.enqueue(node, address, envelope, time.Time{})
	return err
}

// enqueue queues a message, which is not written after expiresAt unless that is zero. It returns the peer whose
// queue was tried, if any, also when that queue is full.
func (t *Transport) enqueue(node, address string, envelope *Envelope, expiresAt time.Time) (*peer, error) {
	envelope.From = t.identity.Node
	envelope.FromIncarnation = t.identity.Incarnation
	if t.isPartitioned(node) {
		return nil, ErrPartitioned
	}
	target, err := t.getOrCreatePeer(address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if envelope.GetCallId() == 0 && target.detector.ackDue(now) {
		envelope.CallId = t.lastCallID.Add(1)
	}
	frame, err := AppendFrame(nil, envelope)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if envelope.GetCallId() != 0 {
		target.detector.recordRequest(now)
	}
	select {
	case target.queue <- queuedFrame{frame, expiresAt}:
		t.counters.countSent(envelope, len(frame))
		return target, nil
	default:
		t.counters.FramesDropped.Add(1)
		return target, ErrQueueFull
	}
}

// Call sends a message and waits for its reply until the context ends or the connection is
// closed because it fell silent. In both cases it returns ErrNoReply. If no process listens at the
// address, it returns ErrRefused at once.
func (t *Transport) Call(ctx context.Context, node, address string, envelope *Envelope) (*Envelope, error) {
	callID := t.lastCallID.Add(1)
	envelope.CallId, envelope.DeadlineMillis = callID, noDeadline
	expiresAt, hasDeadline := ctx.Deadline()
	if hasDeadline {
		envelope.DeadlineMillis = uint32(max(time.Until(expiresAt).Milliseconds(), 1))
	}
	replies := make(chan *Envelope, 1)
	t.pendingCalls.Store(callID, replies)
	defer t.pendingCalls.Delete(callID)
	isLong := isLongCall(envelope)
	if isLong {
		// Once the call is open, a silent connection is closed only after
		// longCallSilenceTimeout.
		t.closeIfSilent(t.lookupPeer(address))
	}
	target, err := t.enqueue(node, address, envelope, expiresAt)
	if err != nil {
		t.closeIfSilent(target)
		return nil, err
	}
	reply, err := target.awaitReply(ctx, replies, isLong)
	if errors.Is(err, context.DeadlineExceeded) {
		t.closeIfSilent(target)
	}
	switch {
	case errors.Is(err, ErrRefused):
		return nil, ErrRefused
	case err != nil:
		return nil, ErrNoReply
	}
	return reply, nil
}

// Close stops listening and closes all connections.
func (t *Transport) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.listener.Close()
	t.unframed.Close()
	for connection := range t.acceptedConnections {
		connection.Close()
	}
	for _, peer := range t.peers {
		peer.close()
	}
}

// deliverReply passes a reply to the call that waits for it. A reply to a call that has ended
// is dropped.
func (t *Transport) deliverReply(envelope *Envelope) {
	if replies, found := t.pendingCalls.LoadAndDelete(envelope.GetCallId()); found {
		replies.(chan *Envelope) <- envelope
	}
}

// lookupPeer returns the peer for the address, or nil if there is none.
func (t *Transport) lookupPeer(address string) *peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peers[address]
}

// IsConnected reports whether a connection to the address is open. Messages to any other address are lost if it
// refuses the connection that Send opens.
func (t *Transport) IsConnected(address string) bool {
	target := t.lookupPeer(address)
	return target != nil && !target.isClosed() && target.connected.Load()
}

// getOrCreatePeer returns the peer for the address. It creates one if there is none or if the
// previous one has ended.
func (t *Transport) getOrCreatePeer(address string) (*peer, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	existing, found := t.peers[address]
	if found && !existing.isClosed() {
		return existing, nil
	}
	nextDetector, timeout := newSilenceDetector(silenceTimeout), minDialTimeout
	if found {
		nextDetector = existing.detector.successor()
		timeout = existing.nextDialTimeout()
	}
	created := newPeer(t, address, nextDetector, timeout)
	t.peers[address] = created
	go created.run()
	return created, nil
}
