package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Sizes of stream buffers in bytes.
const (
	streamBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

// stallThreshold is how long a caller must block a write for that to count as a stall, and how long
// afterwards a break of the stream is attributed to the stall. Runners end streams that are left
// unread for some seconds, and what they sent before is written to the caller within this time.
const stallThreshold = time.Second

// eventStream is the state of an event stream to a caller. Only complete events are written, so
// that the stream can continue from another runner.
type eventStream struct {
	// lastEvent is the ID of the last event written, empty before the first.
	lastEvent string
	// lastWriteAt is when events were last written, and maxPause the longest time between two
	// writes.
	lastWriteAt time.Time
	maxPause    time.Duration
	// lastStallEnd is when the caller last resumed reading after it had blocked a write.
	lastStallEnd time.Time
}

// stalledRecently reports whether the caller has blocked a write so recently that its runner may
// have ended the stream for that reason.
func (s *eventStream) stalledRecently(now time.Time) bool {
	return s != nil && !s.lastStallEnd.IsZero() && now.Sub(s.lastStallEnd) < stallThreshold
}

// recordWrite records that events were written.
func (s *eventStream) recordWrite(now time.Time) {
	if !s.lastWriteAt.IsZero() {
		s.maxPause = max(s.maxPause, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
}

var (
	eventSeparator = []byte("\n\n")
	idPrefix       = []byte("id:")
)

// lastEventID returns the ID of the last event in a sequence of complete events, or the previous ID
// if none of them has one.
func lastEventID(data []byte, previous string) string {
	at := bytes.LastIndex(data, []byte("\nid:"))
	switch {
	case at >= 0:
		data = data[at+1:]
	case !bytes.HasPrefix(data, idPrefix):
		return previous
	}
	line, _, _ := bytes.Cut(data[len(idPrefix):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// streamResponse copies a runner's events to the caller until the stream ends.
func (c *call) streamResponse(response *httpconn.Response) attempt.Action {
	watchdog := c.startWatchdog(response.Body)
	defer watchdog.stop()
	service := c.service
	remainder, err := copyEvents(watchedBody{response.Body, watchdog.reset}, func(data []byte) error {
		c.gateway.paths.heard(service, false)
		return c.writeEvents(response, data)
	})
	switch {
	case errors.Is(err, errCallerDisconnected):
		return c.handleCanceled(false)
	case err != nil:
		return c.handleBrokenStream(response, err)
	}
	return c.finishStream(response, remainder)
}

// watchedBody is a body that calls onRead after each read.
type watchedBody struct {
	io.Reader
	onRead func()
}

func (b watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	b.onRead()
	return n, err
}

var errEventTooLong = errors.New("event is too long")

// copyEvents reads events until the end of the stream and passes complete ones to write. It returns what
// follows the last complete event, or the error of a read or of write.
func copyEvents(body io.Reader, write func(events []byte) error) (remainder []byte, err error) {
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if complete := bytes.LastIndex(pending, eventSeparator); complete >= 0 {
			complete += len(eventSeparator)
			if err := write(pending[:complete]); err != nil {
				return nil, err
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return pending, nil
		case err != nil:
			return nil, err
		case len(pending) > maxEventBytes:
			return nil, errEventTooLong
		}
	}
}

// writeEvents writes complete events of a runner to the caller.
func (c *call) writeEvents(response *httpconn.Response, data []byte) error {
	if c.stream == nil {
		c.beginStream(response)
	}
	if !c.currentSend.Responded() {
		c.recordFirstResponse()
	}
	if version, named := c.gateway.ports.Protocol.EventWeightVersion(data); named {
		c.recordWeightVersion(version)
	}
	return c.writeToStream(data)
}

// writeToStream writes complete events to the caller.
func (c *call) writeToStream(data []byte) error {
	startedAt := c.gateway.now()
	if _, err := c.writer.Write(data); err != nil {
		return errCallerDisconnected
	}
	c.stream.recordWrite(c.gateway.now())
	c.stream.lastEvent = lastEventID(data, c.stream.lastEvent)
	if err := c.controller.Flush(); err != nil {
		return errCallerDisconnected
	}
	if now := c.gateway.now(); now.Sub(startedAt) >= stallThreshold {
		c.stream.lastStallEnd = now
	}
	return nil
}

// beginStream writes the status and headers of the first runner's response.
func (c *call) beginStream(response *httpconn.Response) {
	c.recordFirstResponse()
	c.beginStreamResponse(response)
}

// beginStreamResponse writes the status and headers of the first response.
func (c *call) beginStreamResponse(response *httpconn.Response) {
	c.stream = &eventStream{}
	if c.firstResponseAt.IsZero() {
		c.firstResponseAt = c.gateway.now()
	}
	c.gateway.metrics.firstEventLatencies.WithLabelValues(c.service).Observe(c.gateway.since(c.arrivedAt).Seconds())
	c.setResponseHeaders(response.Header)
	c.writer.WriteHeader(response.Status)
}

// finishStream handles the regular end of the runner's stream.
func (c *call) finishStream(response *httpconn.Response, remainder []byte) attempt.Action {
	if c.stream == nil {
		c.beginStream(response)
	}
	c.recordResponseEnd(endOfStream(remainder))
	if len(remainder) > 0 {
		if _, err := c.writer.Write(remainder); err != nil {
			return c.handleCanceled(false)
		}
	}
	c.endAttempt(backend.Succeeded, quarantine.Survived, "", response.Status)
	c.attemptState.MarkAccepted()
	c.attemptState.Finish(c.attemptState.Attempt(), 0)
	return attempt.Stop
}

// endOfStream returns the end of a stream that ended with the remainder after its last event.
func endOfStream(remainder []byte) integrity.End {
	if len(remainder) > 0 {
		return integrity.End{Verdict: integrity.InsideEvent}
	}
	return integrity.End{}
}

// handleBrokenStream handles a stream that broke off. If the route allows it, the stream continues
// from another runner after the last complete event. The old run is ended first.
func (c *call) handleBrokenStream(response *httpconn.Response, cause error) attempt.Action {
	response.Body.Close()
	c.recordResponseEnd(integrity.EndOfBody(cause))
	if c.ctx.Err() != nil {
		return c.handleCanceled(false)
	}
	if c.isWithdrawn() {
		return c.handleWithdrawn(false)
	}
	if c.stream.stalledRecently(c.gateway.now()) {
		c.endAttempt(backend.Abandoned, quarantine.Canceled, "the caller left the stream unread: "+cause.Error(), response.Status)
	} else {
		c.gateway.paths.connectionFailed(c.runner, false)
		c.endAttempt(backend.Failed, quarantine.ConnectionLost, "stream broke off: "+cause.Error(), response.Status)
	}
	if c.prepareContinuation() {
		return c.attemptState.ContinueFromCopy()
	}
	next := c.connectionLost()
	if next == attempt.Dispatch && c.stream != nil {
		c.bufferLog(events.StreamContinued, events.Fields{"from": c.runner.ID, "last_event": c.stream.lastEvent})
	}
	return next
}
