package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/tcpoption"
)

// peer owns the outgoing connection to one address. It ends when the
// connection breaks, idles or answers nothing; the transport then makes a new one
// on demand.
type peer struct {
	transport *Transport
	address   string
	queue     chan []byte
	stop      chan struct{}
	stopOnce  sync.Once
	silence   *silence
	// silent is closed when the connection is closed since it fell silent.
	silent     chan struct{}
	silentOnce sync.Once
}

func newPeer(transport *Transport, address string, silence *silence) *peer {
	return &peer{
		transport: transport,
		address:   address,
		queue:     make(chan []byte, queueFrames),
		stop:      make(chan struct{}),
		silence:   silence,
		silent:    make(chan struct{}),
	}
}

func (p *peer) close() { p.stopOnce.Do(func() { close(p.stop) }) }

// closeSilent closes the connection since it fell silent; calls on it end.
func (p *peer) closeSilent() {
	p.silentOnce.Do(func() {
		p.transport.counters.SilentConnections.Add(1)
		close(p.silent)
	})
	p.close()
}

// await waits for the answer to a call until the context ends or the connection is
// closed since it fell silent. It returns why no answer came.
func (p *peer) await(ctx context.Context, answer <-chan *Envelope, isLong bool) (*Envelope, error) {
	if isLong {
		p.silence.longCallBegan()
		defer p.silence.longCallEnded()
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-p.silent:
		return nil, errSilent
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peer) done() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// run dials, then writes queued frames until the connection ends. Frames that
// were queued when it ends are lost, as on any broken connection.
func (p *peer) run() {
	defer p.close()
	dialer := tcpoption.Dialer(dialTimeout)
	connection, err := dialer.Dial("tcp", p.address)
	if err != nil {
		p.pause()
		return
	}
	defer connection.Close()
	p.silence.opened(time.Now())
	go p.readReplies(connection)
	writeFrames(connection, p.queue, p.stop)
}

// pause keeps a dead address from being dialled in a tight loop.
func (p *peer) pause() {
	select {
	case <-time.After(redialPause):
	case <-p.stop:
	}
}

func (p *peer) readReplies(connection net.Conn) {
	defer p.close()
	defer connection.Close()
	reader := bufio.NewReaderSize(hearingReader{Reader: connection, silence: p.silence, lost: p.transport.lostConnection}, 4<<10)
	for {
		connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, err := ReadFrame(reader)
		if err != nil {
			p.transport.countMalformed(err)
			return
		}
		if !p.transport.isCut(envelope.GetFrom()) && envelope.GetReply() {
			p.transport.deliverReply(envelope)
		}
	}
}

// writeFrames writes frames as they come and flushes when the queue is empty,
// so that frames that wait together leave in one system call.
func writeFrames(connection net.Conn, queue <-chan []byte, stop <-chan struct{}) {
	writer := bufio.NewWriterSize(connection, 8<<10)
	for {
		select {
		case frame := <-queue:
			connection.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := writer.Write(frame); err != nil {
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

// connectionWriter queues replies on an accepted connection.
type connectionWriter struct {
	queue chan []byte
	stop  chan struct{}
}

func newConnectionWriter(connection net.Conn) *connectionWriter {
	w := &connectionWriter{queue: make(chan []byte, queueFrames), stop: make(chan struct{})}
	go func() {
		writeFrames(connection, w.queue, w.stop)
		connection.Close()
	}()
	return w
}

func (w *connectionWriter) offer(frame []byte) bool {
	select {
	case w.queue <- frame:
		return true
	default:
		return false
	}
}

func (w *connectionWriter) close() { close(w.stop) }
