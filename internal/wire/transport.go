package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Sizes and times of the transport.
const (
	// queueFrames bounds the frames waiting for one peer; more are dropped, so
	// that a slow peer costs bounded memory and never blocks a sender.
	queueFrames = 512
	// dialTimeout is short: a lost opening packet is sent again after a second only,
	// and a new dial is quicker.
	dialTimeout = 300 * time.Millisecond
	// writeTimeout closes the connection to a peer that stops reading.
	writeTimeout = 5 * time.Second
	// idleTimeout closes a connection without traffic.
	idleTimeout = 90 * time.Second
	// redialPause is the least time between two failed dials of a peer.
	redialPause = 100 * time.Millisecond
)

// Errors of sending and calling.
var (
	ErrQueueFull = errors.New("queue to the peer is full")
	ErrClosed    = errors.New("transport is closed")
	ErrNoReply   = errors.New("no reply within the deadline")
	errSilent    = errors.New("connection was closed since it fell silent")
	ErrCut       = errors.New("path to the peer is cut by a fault setting")
)

// Handler takes an incoming message. For a call it returns the reply, or nil
// for no reply. Messages of one connection are handled in order, so it must not
// block.
type Handler func(ctx context.Context, envelope *Envelope) *Envelope

// Identity names the local process in every envelope.
type Identity struct {
	Node        string
	Incarnation uint64
}

// Transport sends envelopes to peers over one connection each.
type Transport struct {
	identity Identity
	handler  Handler
	listener net.Listener

	callID  atomic.Uint64
	pending sync.Map // call id -> chan *Envelope

	mutex    sync.Mutex
	peers    map[string]*peer
	accepted map[net.Conn]struct{}
	cut      map[string]bool
	closed   bool

	counters Counters
	// onLost is told of lost connections, nil for nobody.
	onLost atomic.Pointer[func(since time.Time)]
}

// Counters counts the transport's traffic.
type Counters struct {
	BytesSent       atomic.Uint64
	BytesReceived   atomic.Uint64
	FramesSent      atomic.Uint64
	FramesDropped   atomic.Uint64
	MalformedFrames atomic.Uint64
	// SilentConnections counts those closed since calls on them were not answered.
	SilentConnections atomic.Uint64
}

// NewTransport serves incoming frames on the listener until Close.
func NewTransport(identity Identity, listener net.Listener, handler Handler) *Transport {
	t := &Transport{
		identity: identity,
		handler:  handler,
		listener: listener,
		peers:    map[string]*peer{},
		accepted: map[net.Conn]struct{}{},
		cut:      map[string]bool{},
	}
	go t.acceptLoop()
	return t
}

// OnLostConnection has the function called when a connection turns out to have been lost,
// silent since the moment, though its peer was well: a new one to the same peer is answered
// at once. Other connections of this machine may have been lost with it.
func (t *Transport) OnLostConnection(lost func(since time.Time)) { t.onLost.Store(&lost) }

func (t *Transport) lostConnection(since time.Time) {
	if lost := t.onLost.Load(); lost != nil {
		(*lost)(since)
	}
}

// Counters returns the live counters.
func (t *Transport) Counters() *Counters { return &t.counters }

// Address returns the address that peers dial.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// SetCut drops all traffic to and from the listed nodes; it is a fault
// setting for tests of cut networks, off by default.
func (t *Transport) SetCut(nodes []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cut = make(map[string]bool, len(nodes))
	for _, node := range nodes {
		t.cut[node] = true
	}
}

func (t *Transport) isCut(node string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.cut[node]
}

// Send queues a one-way message. It never blocks.
func (t *Transport) Send(node, address string, envelope *Envelope) error {
	envelope.CallId, envelope.DeadlineMillis = 0, 0
	// A message that is lost is not sent again, so this one is not to be queued on a
	// connection that has fallen silent.
	t.closeIfSilent(t.existing(address))
	_, err := t.enqueue(node, address, envelope)
	return err
}

// enqueue queues a message and returns the peer whose queue was tried, if any.
func (t *Transport) enqueue(node, address string, envelope *Envelope) (*peer, error) {
	envelope.From = t.identity.Node
	envelope.FromIncarnation = t.identity.Incarnation
	if t.isCut(node) {
		return nil, ErrCut
	}
	target, err := t.peer(address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if envelope.GetCallId() == 0 && target.silence.wantsAcknowledgement(now) {
		envelope.CallId = t.callID.Add(1)
	}
	frame, err := AppendFrame(nil, envelope)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if envelope.GetCallId() != 0 {
		target.silence.called(now)
	}
	select {
	case target.queue <- frame:
		t.counters.FramesSent.Add(1)
		t.counters.BytesSent.Add(uint64(len(frame)))
		return target, nil
	default:
		t.counters.FramesDropped.Add(1)
		return target, ErrQueueFull
	}
}

// Call sends a message and waits for its reply until the context ends, or the connection
// is closed since it fell silent.
func (t *Transport) Call(ctx context.Context, node, address string, envelope *Envelope) (*Envelope, error) {
	id := t.callID.Add(1)
	envelope.CallId, envelope.DeadlineMillis = id, noDeadline
	if deadline, has := ctx.Deadline(); has {
		envelope.DeadlineMillis = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	answer := make(chan *Envelope, 1)
	t.pending.Store(id, answer)
	defer t.pending.Delete(id)
	isLong := isLongCall(envelope)
	if isLong {
		// It would keep a connection that has fallen silent from being replaced.
		t.closeIfSilent(t.existing(address))
	}
	target, err := t.enqueue(node, address, envelope)
	if err != nil {
		t.closeIfSilent(target)
		return nil, err
	}
	reply, err := target.await(ctx, answer, isLong)
	if errors.Is(err, context.DeadlineExceeded) {
		t.closeIfSilent(target)
	}
	if err != nil {
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
	for connection := range t.accepted {
		connection.Close()
	}
	for _, peer := range t.peers {
		peer.close()
	}
}

// deliverReply hands a reply to the call that waits for it; a late reply finds none.
func (t *Transport) deliverReply(envelope *Envelope) {
	if waiting, found := t.pending.LoadAndDelete(envelope.GetCallId()); found {
		waiting.(chan *Envelope) <- envelope
	}
}

// existing returns the peer of the address, nil without one.
func (t *Transport) existing(address string) *peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peers[address]
}

func (t *Transport) peer(address string) (*peer, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	existing, found := t.peers[address]
	if found && !existing.done() {
		return existing, nil
	}
	watch := newSilence(silentTime)
	if found {
		watch = existing.silence.successor()
	}
	created := newPeer(t, address, watch)
	t.peers[address] = created
	go created.run()
	return created, nil
}
