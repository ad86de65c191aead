package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"
)

func (t *Transport) acceptLoop() {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mutex.Lock()
		if t.closed {
			t.mutex.Unlock()
			connection.Close()
			return
		}
		t.acceptedConnections[connection] = struct{}{}
		t.mutex.Unlock()
		go t.serve(connection)
	}
}

// serve handles the frames of an accepted connection in order, until it ends. A connection without
// frames is passed to the unframed listener.
func (t *Transport) serve(connection net.Conn) {
	defer func() {
		t.mutex.Lock()
		delete(t.acceptedConnections, connection)
		t.mutex.Unlock()
	}()
	reader := bufio.NewReaderSize(connection, 4<<10)
	if t.handOver(connection, reader) {
		return
	}
	defer connection.Close()
	replies := newConnectionWriter(connection)
	defer replies.close()
	for {
		connection.SetReadDeadline(time.Now().Add(idleTimeout))
		envelope, err := ReadFrame(reader)
		if err != nil {
			t.countMalformed(err)
			return
		}
		if t.isPartitioned(envelope.GetFrom()) {
			continue
		}
		t.handle(envelope, replies)
	}
}

// countMalformed counts err if it is caused by a malformed frame.
func (t *Transport) countMalformed(err error) {
	for _, malformed := range []error{ErrFrameTooLarge, ErrFrameEmpty, ErrFrameVersion, ErrFrameMalformed} {
		if errors.Is(err, malformed) {
			t.counters.MalformedFrames.Add(1)
		}
	}
}

// handle passes one message to the handler and queues the reply, if the sender expects one and
// its deadline has not passed.
func (t *Transport) handle(envelope *Envelope, replies *connectionWriter) {
	ctx := context.Background()
	if envelope.GetDeadlineMillis() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(envelope.GetDeadlineMillis())*time.Millisecond)
		defer cancel()
	}
	reply := t.handler(ctx, envelope)
	if reply == nil && requestsAck(envelope) {
		reply = newAck()
	}
	if reply == nil || envelope.GetCallId() == 0 || ctx.Err() != nil {
		return
	}
	reply.CallId = envelope.GetCallId()
	reply.Reply = true
	reply.From = t.identity.Node
	reply.FromIncarnation = t.identity.Incarnation
	frame, err := AppendFrame(nil, reply)
	if err != nil {
		return
	}
	if replies.tryEnqueue(frame) {
		t.counters.countSent(reply, len(frame))
	} else {
		t.counters.FramesDropped.Add(1)
	}
}
