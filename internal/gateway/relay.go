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
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// Sizes of streams.
const (
	relayBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// unreadTime is how long a caller may hold up a write of its stream before the end of the
// stream is its own doing: runners end what is left unread for some seconds, and what they
// sent before is passed on within another such time.
const unreadTime = time.Second

// eventStream is the state of a stream towards the caller. Only whole events
// are passed on, so that the stream can go on at another runner.
type eventStream struct {
	// lastEvent is the id of the last event passed on, empty before the first.
	lastEvent string
	// passedAt is when events were last passed on, and worstPause the longest
	// time between two such moments.
	passedAt   time.Time
	worstPause time.Duration
	// heldUpTo is when the caller had last taken events after it had held up a write.
	heldUpTo time.Time
}

// unread tells whether the caller has left the stream unread for so long that its runner
// may have ended it.
func (s *eventStream) unread(now time.Time) bool {
	return s != nil && !s.heldUpTo.IsZero() && now.Sub(s.heldUpTo) < unreadTime
}

// passed notes that events were passed on.
func (s *eventStream) passed(now time.Time) {
	if !s.passedAt.IsZero() {
		s.worstPause = max(s.worstPause, now.Sub(s.passedAt))
	}
	s.passedAt = now
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// lastEventID returns the id of the last event in a run of whole events, or
// the one before if none has an id.
func lastEventID(data []byte, before string) string {
	at := bytes.LastIndex(data, []byte("\nid:"))
	switch {
	case at >= 0:
		data = data[at+1:]
	case !bytes.HasPrefix(data, idField):
		return before
	}
	line, _, _ := bytes.Cut(data[len(idField):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// relay passes a runner's events on until the stream ends.
func (c *call) relay(response *httpconn.Response) attempt.Action {
	watch := c.watchSilence(response.Body)
	defer watch.stop()
	var pending []byte
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		watch.heard()
		pending = append(pending, buffer[:n]...)
		if whole := bytes.LastIndex(pending, eventEnd); whole >= 0 {
			whole += len(eventEnd)
			if c.passEvents(response, pending[:whole]) != nil {
				return c.outOfTime(false)
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(response, pending)
		case err != nil:
			return c.brokenStream(response, err)
		case len(pending) > maxEventBytes:
			return c.brokenStream(response, errors.New("event is too long"))
		}
	}
}

// passEvents writes whole events to the caller.
func (c *call) passEvents(response *httpconn.Response, data []byte) error {
	if c.stream == nil {
		c.beginStream(response)
	}
	if !c.open.Responded() {
		c.firstAnswer()
	}
	if version, named := c.gateway.ports.Protocol.EventVersion(data); named {
		c.learnVersion(version)
	}
	began := c.gateway.now()
	if _, err := c.writer.Write(data); err != nil {
		return errCallerLeft
	}
	c.stream.passed(c.gateway.now())
	c.stream.lastEvent = lastEventID(data, c.stream.lastEvent)
	if err := c.control.Flush(); err != nil {
		return errCallerLeft
	}
	if now := c.gateway.now(); now.Sub(began) >= unreadTime {
		c.stream.heldUpTo = now
	}
	return nil
}

// beginStream writes the head of the first runner's answer.
func (c *call) beginStream(response *httpconn.Response) {
	c.stream = &eventStream{}
	c.firstAnswer()
	c.gateway.metrics.firstEventLatencies.WithLabelValues(c.service).Observe(c.gateway.since(c.arrived).Seconds())
	c.copyHead(response.Header)
	c.writer.WriteHeader(response.Status)
}

// endStream takes the orderly end of the runner's stream.
func (c *call) endStream(response *httpconn.Response, rest []byte) attempt.Action {
	if c.stream == nil {
		c.beginStream(response)
	}
	if len(rest) > 0 {
		if _, err := c.writer.Write(rest); err != nil {
			return c.outOfTime(false)
		}
	}
	c.end(backend.Succeeded, quarantine.Survived, "", response.Status)
	c.request.MarkAccepted()
	c.request.Finish(c.request.Attempt(), 0)
	return attempt.Stop
}

// brokenStream takes a stream that broke off. It goes on at another runner
// after the last whole event, if the route allows; the old run is ended first.
func (c *call) brokenStream(response *httpconn.Response, cause error) attempt.Action {
	response.Body.Close()
	if c.ctx.Err() != nil {
		return c.outOfTime(false)
	}
	if c.withdrawn() {
		return c.endWithdrawn(false)
	}
	if c.stream.unread(c.gateway.now()) {
		c.end(backend.Abandoned, quarantine.Canceled, "the caller left the stream unread: "+cause.Error(), response.Status)
	} else {
		c.end(backend.Failed, quarantine.ConnectionLost, "stream broke off: "+cause.Error(), response.Status)
	}
	if c.fromCopy() {
		return c.request.ContinueFromCopy()
	}
	next := c.lost()
	if next == attempt.Dispatch && c.stream != nil {
		c.note(events.StreamContinued, events.Fields{"from": c.runner.ID, "last_event": c.stream.lastEvent})
	}
	return next
}
