package gateway

import (
	"cmp"
	"io"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

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

// streamResponse copies a runner's events to the caller until the stream ends.
func (c *call) streamResponse(response *httpconn.Response) attempt.Action {
	watchdog := c.startWatchdog(response.Body)
	defer watchdog.stop()
	end, err := integrity.CopyEvents(watchedBody{response.Body, watchdog.recordRead}, response.Framing, c.mayBuffer, func(data []byte, lastID string) error {
		c.gateway.paths.heard(c.runner, false)
		err := c.writeEvents(response, data, lastID)
		watchdog.recordEvents(c.stream.lastEvent)
		return err
	})
	if err != nil {
		return c.handleCanceled(notrun.Proof{})
	}
	c.recordResponseEnd(end)
	watchdogEnd := watchdog.stop()
	c.hasUnusedRetry = c.hasUnusedRetry || watchdogEnd.tookRetry
	c.silentRunners = watchdogEnd.silent
	if !end.IsComplete() {
		return c.handleBrokenStream(response, end, watchdogEnd.aborted)
	}
	return c.finishStream(response)
}

// watchedBody is a body that calls onRead when data has arrived.
type watchedBody struct {
	io.Reader
	onRead func()
}

func (b watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.Reader.Read(buffer)
	if n > 0 {
		b.onRead()
	}
	return n, err
}

// writeEvents writes complete events of a runner to the caller.
func (c *call) writeEvents(response *httpconn.Response, data []byte, lastID string) error {
	c.recordStream()
	if c.stream == nil {
		c.beginStream(response)
	}
	if !c.currentSend.Responded() {
		c.recordFirstResponse()
	}
	if version, named := c.gateway.ports.Protocol.EventWeightVersion(data); named {
		c.recordWeightVersion(version)
	}
	return c.writeToStream(data, lastID)
}

// writeToStream writes complete events to the caller. lastID is the ID of the last one, empty if none has an ID.
func (c *call) writeToStream(data []byte, lastID string) error {
	startedAt := c.gateway.now()
	if _, err := c.writeBody(data); err != nil {
		return err
	}
	c.stream.recordWrite(c.gateway.now())
	c.stream.lastEvent = cmp.Or(lastID, c.stream.lastEvent)
	if err := c.flush(); err != nil {
		return err
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
	c.beginUnframedResponse()
	c.beginWriting(unpromisedStatus(response.Status))
}

// finishStream handles the end of a complete stream.
func (c *call) finishStream(response *httpconn.Response) attempt.Action {
	if c.stream == nil {
		c.beginStream(response)
	}
	c.endUnframedResponse()
	c.endAttempt(backend.Succeeded, quarantine.Survived, "", response.Status)
	c.endDeferredRecord()
	c.markComplete()
	return attempt.Stop
}

// handleBrokenStream handles a stream that broke off. If the route allows it, the stream continues
// from another runner after the last complete event. The old run is ended first. aborted is set if the watchdog ended the
// stream.
func (c *call) handleBrokenStream(response *httpconn.Response, end integrity.End, aborted bool) attempt.Action {
	response.Body.Close()
	if c.ctx.Err() != nil {
		return c.handleCanceled(notrun.Proof{})
	}
	if c.isWithdrawn() {
		return c.handleWithdrawn(notrun.Proof{})
	}
	if c.stream.stalledRecently(c.gateway.now()) {
		c.endAttempt(backend.Abandoned, quarantine.Canceled, "the caller left the stream unread: "+end.String(), response.Status)
	} else {
		if end.Verdict == integrity.Interrupted {
			c.gateway.paths.connectionFailed(c.runner, false)
		}
		cause := "stream broke off: " + end.String()
		if aborted {
			cause = "the stream was silent and its runner has ended"
		}
		c.endAttempt(backend.Failed, quarantine.ConnectionLost, cause, response.Status)
	}
	if c.prepareContinuation(aborted) {
		return c.attemptState.ContinueFromCopy()
	}
	next := c.connectionLost()
	if next == attempt.Dispatch && c.stream != nil {
		c.bufferLog(events.StreamContinued, events.Fields{"from": c.runner.ID, "software": c.runner.SoftwareVersion, "last_event": c.stream.lastEvent})
	}
	return next
}
