package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/fleet"
)

// relay relays an engine's output to the caller until the stream ends. It drops frames that do not
// belong to the current attempt or do not start at the next offset.
func (x *execution) relay(ctx context.Context, stream *engineapi.Stream) attempt.Action {
	defer stream.Close()
	timer := newSilenceTimer(x, stream)
	defer timer.stop()
	var frame engineapi.Frame
	for {
		if err := stream.Frames.Next(&frame); err != nil {
			return x.breakOff(ctx)
		}
		timer.reset()
		if string(frame.Request) != x.request.id {
			x.dropFrame(&frame)
			continue
		}
		switch frame.Event {
		case "":
			text, isWhole := escapedText(frame.Data)
			if !isWhole {
				x.dropFrame(&frame)
				return x.breakOff(ctx)
			}
			x.relayFrame(&frame, text)
		case engineapi.EventStart:
			x.handleStart(&frame)
		case engineapi.EventEnd:
			return x.handleEnd(ctx, &frame)
		}
		if !stream.Frames.Buffered() {
			// Tokens that arrive together are written together.
			x.sink.flush()
		}
	}
}

// breakOff ends the reading of a stream before its end event.
func (x *execution) breakOff(ctx context.Context) attempt.Action {
	x.sink.flush()
	if ctx.Err() != nil {
		return attempt.Stop
	}
	return x.state.ConnectionLost()
}

// dropFrame counts and logs a frame that is not relayed.
func (x *execution) dropFrame(frame *engineapi.Frame) {
	x.node.metrics.droppedFrames.Inc()
	x.node.log.Log(events.FrameDropped, events.Fields{"request": x.request.id, "attempt": frame.Attempt, "offset": frame.Offset, "expected": x.state.Offset()})
}

// relayFrame writes an output frame with the text to the caller, or drops it if it is not the expected one.
func (x *execution) relayFrame(frame *engineapi.Frame, text []byte) {
	if !x.state.AcceptFrame(frame.Attempt, frame.Offset, frame.Count) {
		x.dropFrame(frame)
		return
	}
	x.generated = append(x.generated, text...)
	if !x.responseBegun {
		x.responseBegun = true
		x.node.metrics.observeFirstToken(x.request.tenant.Spec.Tier, time.Since(x.receivedAt))
		x.sink.begin(x.weightVersion, x.state.Runner())
	}
	x.node.metrics.relayedTokens.Add(float64(frame.Count))
	x.sink.writeChunk(frame.Data)
}

// handleStart handles the start event of the stream, which is repeated when a stream is resumed.
func (x *execution) handleStart(frame *engineapi.Frame) {
	var start engineapi.StartData
	if frame.Attempt != x.state.Attempt() || json.Unmarshal(frame.Data, &start) != nil {
		x.dropFrame(frame)
		return
	}
	x.state.MarkStarted(frame.Attempt)
	if !x.engineStarted.Load() {
		x.recordStart(start)
	}
}

// handleEnd handles the end event of the stream and completes the response. If the event does not
// match the number of relayed tokens, the stream counts as broken.
func (x *execution) handleEnd(ctx context.Context, frame *engineapi.Frame) attempt.Action {
	var end engineapi.EndData
	if json.Unmarshal(frame.Data, &end) != nil || !x.state.Finish(frame.Attempt, end.CompletionTokens) {
		x.dropFrame(frame)
		if ctx.Err() != nil {
			return attempt.Stop
		}
		return x.state.ConnectionLost()
	}
	if !x.responseBegun {
		x.sink.begin(x.weightVersion, x.state.Runner())
	}
	x.sink.finish(completionResult{
		finishReason: end.FinishReason, completionTokens: end.CompletionTokens,
		promptTokens: x.request.promptTokens, cachedTokens: x.reportedCachedTokens, escapedText: x.generated,
	})
	return attempt.Stop
}

// silenceTimer closes a stream on which no frame has arrived for too long.
type silenceTimer struct {
	execution *execution
	stream    *engineapi.Stream
	timer     *time.Timer
}

func newSilenceTimer(x *execution, stream *engineapi.Stream) *silenceTimer {
	t := &silenceTimer{execution: x, stream: stream}
	t.timer = time.AfterFunc(queuedStreamTimeout, t.expire)
	return t
}

// reset restarts the timeout. It is called for each frame.
func (t *silenceTimer) reset() { t.timer.Reset(startedStreamTimeout) }

func (t *silenceTimer) stop() { t.timer.Stop() }

// expire closes the stream. It keeps the stream if the request is still queued at its engine and
// the router that reads the engine's events reports the same process as connected.
func (t *silenceTimer) expire() {
	n := t.execution.node
	n.mutex.Lock()
	report, found := n.control.Fleet().Get(t.execution.state.Runner())
	n.mutex.Unlock()
	queued := !t.execution.engineStarted.Load()
	if queued && found && report.Connected && report.Incarnation == t.execution.incarnation && report.State != fleet.Unknown {
		t.timer.Reset(queuedStreamTimeout)
		return
	}
	t.stream.Close()
}
