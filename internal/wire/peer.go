package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/tcpoption"
)

// peer owns the outgoing connection to one address. It ends when the connection breaks,
// becomes idle or falls silent. The transport then creates a new peer on demand.
type peer struct {
	transport *Transport
	address   string
	queue     chan queuedFrame
	stop      chan struct{}
	stopOnce  sync.Once
	// dialTimeout bounds the opening of the connection.
	dialTimeout time.Duration
	// connected is set while the connection is open.
	connected atomic.Bool
	// wasConnected is set once the connection was opened.
	wasConnected atomic.Bool
	detector     *silenceDetector
	// silenceDetected is closed when the connection is closed because it fell silent.
	silenceDetected chan struct{}
	silenceOnce     sync.Once
	// refused is closed when the connection was refused: the machine runs, and no process listens.
	refused chan struct{}
}

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	data []byte
	// expiresAt is when the call of the frame times out; the frame is not written after that. It is zero
	// for frames of other messages.
	expiresAt time.Time
}

func newPeer(transport *Transport, address string, detector *silenceDetector, dialTimeout time.Duration) *peer {
	return &peer{
		dialTimeout:     dialTimeout,
		transport:       transport,
		address:         address,
		queue:           make(chan queuedFrame, maxQueuedFrames),
		stop:            make(chan struct{}),
		detector:        detector,
		silenceDetected: make(chan struct{}),
		refused:         make(chan struct{}),
	}
}

func (p *peer) close() { p.stopOnce.Do(func() { close(p.stop) }) }

// closeAsSilent closes the connection because it fell silent. Calls that wait for a reply on
// it fail.
func (p *peer) closeAsSilent() {
	p.silenceOnce.Do(func() {
		p.transport.counters.SilentConnections.Add(1)
		close(p.silenceDetected)
		// The caller may hold locks that the callback needs.
		go p.transport.reportSilentConnection(p.address, p.detector.unprovenSince())
	})
	p.close()
}

// awaitReply waits for the reply to a call until the context ends, the connection is refused, or it is
// closed because it fell silent. It returns the context's error, ErrRefused or errConnectionSilent.
func (p *peer) awaitReply(ctx context.Context, replies <-chan *Envelope, isLong bool) (*Envelope, error) {
	if isLong {
		p.detector.beginLongCall()
		defer p.detector.endLongCall()
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-p.silenceDetected:
		return nil, errConnectionSilent
	case <-p.refused:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) isClosed() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// run dials, then writes queued frames until the connection ends. Frames still queued at that
// time are lost, as on any broken connection.
func (p *peer) run() {
	defer p.close()
	dialer := tcpoption.Dialer(p.dialTimeout)
	connection, err := dialer.Dial("tcp", p.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		close(p.refused)
		p.waitBeforeRedial(refusedRedialDelay)
		return
	}
	if err != nil {
		p.waitBeforeRedial(redialDelay)
		return
	}
	defer connection.Close()
	p.detector.recordOpened(time.Now())
	p.connected.Store(true)
	p.wasConnected.Store(true)
	defer p.connected.Store(false)
	go p.readReplies(connection)
	writeFrames(connection, p.queue, p.stop)
}

// nextDialTimeout returns the timeout of the dial that follows this peer's connection.
func (p *peer) nextDialTimeout() time.Duration {
	if p.wasConnected.Load() {
		return minDialTimeout
	}
	return min(2*p.dialTimeout, maxDialTimeout)
}

// waitBeforeRedial delays the end of the peer after a failed dial, so that an unreachable
// address is not dialled in a tight loop.
func (p *peer) waitBeforeRedial(delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-p.stop:
	}
}

func (p *peer) readReplies(connection net.Conn) {
	defer p.close()
	defer connection.Close()
	reader := bufio.NewReaderSize(monitoredReader{Reader: connection, detector: p.detector, onLost: p.transport.reportLostConnection}, 4<<10)
	for {
		connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, err := ReadFrame(reader)
		if err != nil {
			p.transport.countMalformed(err)
			return
		}
		if !p.transport.isPartitioned(envelope.GetFrom()) && envelope.GetReply() {
			p.transport.deliverReply(envelope)
		}
	}
}

// writeFrames writes queued frames until stop is closed or a write fails. It flushes when the
// queue is empty, so that frames that are queued together leave in one system call.
func writeFrames(connection net.Conn, queue <-chan queuedFrame, stop <-chan struct{}) {
	writer := bufio.NewWriterSize(connection, 8<<10)
	for {
		select {
		case frame := <-queue:
			now := time.Now()
			if !frame.expiresAt.IsZero() && now.After(frame.expiresAt) {
				break
			}
			connection.SetWriteDeadline(now.Add(writeTimeout))
			if _, err := writer.Write(frame.data); err != nil {
				return
			}
		case <-stop:
			writer.Flush()
			return
		}
		if len(queue) == 0 && writer.Flush() != nil {
			return
		}
	}
}

// connectionWriter queues replies and writes them to an accepted connection.
type connectionWriter struct {
	queue chan queuedFrame
	stop  chan struct{}
}

func newConnectionWriter(connection net.Conn) *connectionWriter {
	w := &connectionWriter{queue: make(chan queuedFrame, maxQueuedFrames), stop: make(chan struct{})}
	go func() {
		writeFrames(connection, w.queue, w.stop)
		connection.Close()
	}()
	return w
}

// tryEnqueue queues the frame, or returns false if the queue is full.
func (w *connectionWriter) tryEnqueue(frame []byte) bool {
	select {
	case w.queue <- queuedFrame{data: frame}:
		return true
	default:
		return false
	}
}

func (w *connectionWriter) close() { close(w.stop) }
