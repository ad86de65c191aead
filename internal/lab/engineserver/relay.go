package engineserver

import (
	"encoding/json"
	"net/http"

	"github.com/clovertiller/clovertiller/internal/engineapi"
)

// cutAfterFrames is the number of output frames after which a stream is cut.
const cutAfterFrames = 3

// chunk is the data of an output frame, in the format of the API that the caller uses.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

func encodeChunk(request *engineapi.GenerateRequest, text string) []byte {
	output := choice{}
	if request.Format == engineapi.FormatChat {
		output.Delta = &delta{Content: text}
	} else {
		output.Text = &text
	}
	// Encoding these types can't fail.
	encoded, _ := json.Marshal(chunk{ID: request.ID, Object: request.Format, Created: request.Created, Model: request.DisplayModel, Choices: []choice{output}})
	return encoded
}

// streamSnapshot is the state of a stream, and of the engine, at one time.
type streamSnapshot struct {
	started, finished, canceled  bool
	cachedTokens, producedTokens int
	changed                      <-chan struct{}
	load                         engineapi.Load
	injectWrongFrames            bool
}

// snapshotStream returns the current state of a stream. While the engine is frozen it blocks.
func (s *Server) snapshotStream(stream *attemptStream) streamSnapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.stateChanged.Wait()
	}
	return streamSnapshot{
		started: stream.started, finished: stream.finished, canceled: stream.canceled,
		cachedTokens: stream.cachedTokens, producedTokens: stream.producedTokens, changed: stream.changed,
		load: encodeLoad(s.engine.Load()), injectWrongFrames: s.faults.InjectWrongFrames,
	}
}

// consumeStreamCut reports whether the current stream is to be cut, and counts it if so.
func (s *Server) consumeStreamCut() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.CutStreams == 0 {
		return false
	}
	s.faults.CutStreams--
	return true
}

// relay writes the frames of a stream to the router as the engine produces them, from the output
// token at offset on.
func (s *Server) relay(writer http.ResponseWriter, request *http.Request, stream *attemptStream, offset int) {
	s.openRelays.Add(1)
	defer s.openRelays.Done()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	flusher := writer.(http.Flusher)
	flusher.Flush()
	cut := s.consumeStreamCut()
	startSent, sentFrames := false, 0
	var buffer []byte
	for {
		snapshot := s.snapshotStream(stream)
		buffer = buffer[:0]
		if snapshot.started && !startSent {
			startSent = true
			buffer = appendStart(buffer, stream, snapshot, offset)
		}
		for ; offset < snapshot.producedTokens; offset++ {
			if snapshot.injectWrongFrames {
				buffer = appendWrongFrames(buffer, stream, offset)
			}
			text := stream.prompt.Token(offset)
			buffer = engineapi.AppendFrame(buffer, "", stream.request.Request, stream.request.Attempt, offset, 1, encodeChunk(&stream.request, text))
			sentFrames++
		}
		if cut && sentFrames >= cutAfterFrames {
			writer.Write(buffer)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if snapshot.finished && !snapshot.canceled {
			writer.Write(appendEnd(buffer, stream, offset))
			return
		}
		if snapshot.canceled {
			panic(http.ErrAbortHandler)
		}
		if len(buffer) > 0 {
			if _, err := writer.Write(buffer); err != nil {
				return
			}
			flusher.Flush()
		}
		select {
		case <-snapshot.changed:
		case <-request.Context().Done():
			return
		}
	}
}

func appendStart(buffer []byte, stream *attemptStream, snapshot streamSnapshot, offset int) []byte {
	data, _ := json.Marshal(engineapi.StartData{CachedTokens: snapshot.cachedTokens, Load: snapshot.load})
	return engineapi.AppendFrame(buffer, engineapi.EventStart, stream.request.Request, stream.request.Attempt, offset, 0, data)
}

func appendEnd(buffer []byte, stream *attemptStream, offset int) []byte {
	end := engineapi.EndData{FinishReason: "length", CompletionTokens: stream.totalTokens, PromptTokens: promptTokens(stream), CachedTokens: stream.cachedTokens}
	if stream.endsNaturally {
		end.FinishReason = "stop"
	}
	data, _ := json.Marshal(end)
	return engineapi.AppendFrame(buffer, engineapi.EventEnd, stream.request.Request, stream.request.Attempt, offset, 0, data)
}

// appendWrongFrames appends frames that a correct reader must drop: one of another attempt, one
// of another request, and one at an offset that was already sent.
func appendWrongFrames(buffer []byte, stream *attemptStream, offset int) []byte {
	data := encodeChunk(&stream.request, "WRONG ")
	request, attempt := stream.request.Request, stream.request.Attempt
	buffer = engineapi.AppendFrame(buffer, "", request, attempt+1, offset, 1, data)
	buffer = engineapi.AppendFrame(buffer, "", "other-"+request, attempt, offset, 1, data)
	if offset > 0 {
		buffer = engineapi.AppendFrame(buffer, "", request, attempt, offset-1, 1, data)
	}
	return buffer
}
