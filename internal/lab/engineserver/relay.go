package engineserver

import (
	"encoding/json"
	"net/http"

	"github.com/clovertiller/clovertiller/internal/engineapi"
)

// cutAfterFrames is how many frames a cut stream sends.
const cutAfterFrames = 3

// chunk is the data of an output frame, in the caller's format.
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
	one := choice{}
	if request.Format == engineapi.FormatChat {
		one.Delta = &delta{Content: text}
	} else {
		one.Text = &text
	}
	// The types above always encode.
	encoded, _ := json.Marshal(chunk{ID: request.ID, Object: request.Format, Created: request.Created, Model: request.DisplayModel, Choices: []choice{one}})
	return encoded
}

// progress is what a relay sees of a stream at one moment.
type progress struct {
	started, finished, canceled bool
	cached, produced            int
	changed                     <-chan struct{}
	load                        engineapi.Load
	cross                       bool
}

func (s *Server) progressOf(entry *stream) progress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.work.Wait()
	}
	return progress{
		started: entry.started, finished: entry.finished, canceled: entry.canceled,
		cached: entry.cached, produced: entry.produced, changed: entry.changed,
		load: loadOf(s.engine.Load()), cross: s.faults.CrossFrames,
	}
}

func (s *Server) takeCut() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.CutStreams == 0 {
		return false
	}
	s.faults.CutStreams--
	return true
}

// relay writes the stream from the offset on as it is produced.
func (s *Server) relay(writer http.ResponseWriter, request *http.Request, entry *stream, offset int) {
	s.relays.Add(1)
	defer s.relays.Done()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	flusher := writer.(http.Flusher)
	flusher.Flush()
	cut := s.takeCut()
	told, frames := false, 0
	var buffer []byte
	for {
		now := s.progressOf(entry)
		buffer = buffer[:0]
		if now.started && !told {
			told = true
			buffer = appendStart(buffer, entry, now, offset)
		}
		for ; offset < now.produced; offset++ {
			if now.cross {
				buffer = appendCrossed(buffer, entry, offset)
			}
			text := entry.prompt.Token(offset)
			buffer = engineapi.AppendFrame(buffer, "", entry.request.Request, entry.request.Attempt, offset, 1, encodeChunk(&entry.request, text))
			frames++
		}
		if cut && frames >= cutAfterFrames {
			writer.Write(buffer)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if now.finished && !now.canceled {
			writer.Write(appendEnd(buffer, entry, offset))
			return
		}
		if now.canceled {
			panic(http.ErrAbortHandler)
		}
		if len(buffer) > 0 {
			if _, err := writer.Write(buffer); err != nil {
				return
			}
			flusher.Flush()
		}
		select {
		case <-now.changed:
		case <-request.Context().Done():
			return
		}
	}
}

func appendStart(buffer []byte, entry *stream, now progress, offset int) []byte {
	data, _ := json.Marshal(engineapi.StartData{CachedTokens: now.cached, Load: now.load})
	return engineapi.AppendFrame(buffer, engineapi.EventStart, entry.request.Request, entry.request.Attempt, offset, 0, data)
}

func appendEnd(buffer []byte, entry *stream, offset int) []byte {
	end := engineapi.EndData{FinishReason: "length", CompletionTokens: entry.total, PromptTokens: promptTokens(entry), CachedTokens: entry.cached}
	if entry.natural {
		end.FinishReason = "stop"
	}
	data, _ := json.Marshal(end)
	return engineapi.AppendFrame(buffer, engineapi.EventEnd, entry.request.Request, entry.request.Attempt, offset, 0, data)
}

// appendCrossed adds frames that a correct reader must drop: one of another
// attempt, one of another request and one that was sent before.
func appendCrossed(buffer []byte, entry *stream, offset int) []byte {
	wrong := encodeChunk(&entry.request, "WRONG ")
	request, attempt := entry.request.Request, entry.request.Attempt
	buffer = engineapi.AppendFrame(buffer, "", request, attempt+1, offset, 1, wrong)
	buffer = engineapi.AppendFrame(buffer, "", "other-"+request, attempt, offset, 1, wrong)
	if offset > 0 {
		buffer = engineapi.AppendFrame(buffer, "", request, attempt, offset-1, 1, wrong)
	}
	return buffer
}
