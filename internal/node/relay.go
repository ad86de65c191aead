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

// relay passes an engine's output on to the caller until the stream ends. Frames
// that do not belong to the current attempt at the next offset are dropped.
func (x *execution) relay(ctx context.Context, stream *engineapi.Stream) attempt.Action {
	defer stream.Close()
	watch := newSilenceWatch(x, stream)
	defer watch.stop()
	var frame engineapi.Frame
	for {
		if err := stream.Frames.Next(&frame); err != nil {
			x.sink.flush()
			if ctx.Err() != nil {
				return attempt.Stop
			}
			return x.request.ConnectionLost()
		}
		watch.touch()
		if string(frame.Request) != x.call.id {
			x.dropFrame(&frame)
			continue
		}
		switch frame.Event {
		case "":
			x.passOn(&frame)
		case engineapi.EventStart:
			x.start(&frame)
		case engineapi.EventEnd:
			return x.end(ctx, &frame)
		}
		if !stream.Frames.Buffered() {
			// Tokens that arrived together leave in one write.
			x.sink.flush()
		}
	}
}

func (x *execution) dropFrame(frame *engineapi.Frame) {
	x.node.metrics.droppedFrames.Inc()
	x.node.log.Log(events.FrameDropped, events.Fields{"request": x.call.id, "attempt": frame.Attempt, "offset": frame.Offset, "expected": x.request.Offset()})
}

func (x *execution) passOn(frame *engineapi.Frame) {
	if !x.request.AcceptFrame(frame.Attempt, frame.Offset, frame.Count) {
		x.dropFrame(frame)
		return
	}
	x.generated = appendText(x.generated, frame.Data)
	if !x.firstSent {
		x.firstSent = true
		x.node.metrics.firstToken(x.call.tenant.Spec.Tier, time.Since(x.arrived))
		x.sink.begin(x.version, x.request.Runner())
	}
	x.node.metrics.relayedTokens.Add(float64(frame.Count))
	x.sink.chunk(frame.Data)
}

func (x *execution) start(frame *engineapi.Frame) {
	var start engineapi.StartData
	if frame.Attempt != x.request.Attempt() || json.Unmarshal(frame.Data, &start) != nil {
		x.dropFrame(frame)
		return
	}
	x.request.MarkStarted(frame.Attempt)
	if !x.begun.Load() {
		x.noteStart(start)
	}
}

// end takes the end of the stream. An end that does not match the relayed
// tokens is a break of the stream, not its end.
func (x *execution) end(ctx context.Context, frame *engineapi.Frame) attempt.Action {
	var end engineapi.EndData
	if json.Unmarshal(frame.Data, &end) != nil || !x.request.Finish(frame.Attempt, end.CompletionTokens) {
		x.dropFrame(frame)
		if ctx.Err() != nil {
			return attempt.Stop
		}
		return x.request.ConnectionLost()
	}
	if !x.firstSent {
		x.sink.begin(x.version, x.request.Runner())
	}
	x.sink.finish(summary{
		finishReason: end.FinishReason, completionTokens: end.CompletionTokens,
		promptTokens: x.call.promptTokens, cachedTokens: x.cached, escapedText: x.generated,
	})
	return attempt.Stop
}

// silenceWatch closes a stream from which nothing has come for too long.
type silenceWatch struct {
	execution *execution
	stream    *engineapi.Stream
	timer     *time.Timer
}

func newSilenceWatch(x *execution, stream *engineapi.Stream) *silenceWatch {
	w := &silenceWatch{execution: x, stream: stream}
	w.timer = time.AfterFunc(queuedSilence, w.expire)
	return w
}

func (w *silenceWatch) touch() { w.timer.Reset(startedSilence) }

func (w *silenceWatch) stop() { w.timer.Stop() }

// expire ends the stream, unless the request is merely queued on an engine that
// its home still hears as the same process.
func (w *silenceWatch) expire() {
	n := w.execution.node
	n.mutex.Lock()
	report, found := n.control.Fleet().Get(w.execution.request.Runner())
	n.mutex.Unlock()
	queued := !w.execution.begun.Load()
	if queued && found && report.Connected && report.Incarnation == w.execution.incarnation && report.State != fleet.Unknown {
		w.timer.Reset(queuedSilence)
		return
	}
	w.stream.Close()
}
