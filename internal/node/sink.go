package node

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/clovertiller/clovertiller/internal/engineapi"
)

// summary is what the end of an answer needs.
type summary struct {
	finishReason     string
	completionTokens int
	promptTokens     int
	cachedTokens     int
	// escapedText is the whole output as the inside of a JSON string.
	escapedText []byte
}

// sink writes an answer in the form the caller asked for.
type sink interface {
	// begin is called once, before the first chunk.
	begin(weightVersion, runner string)
	chunk(data []byte)
	flush()
	finish(end summary)
	// fail answers with an error, also in the middle of a stream.
	fail(failure *apiError)
}

func newSink(writer http.ResponseWriter, c *call) sink {
	if c.stream {
		return &eventSink{writer: writer, call: c}
	}
	return &wholeSink{writer: writer, call: c}
}

func setAnswerHeaders(header http.Header, c *call, contentType, weightVersion, runner string) {
	header.Set("Content-Type", contentType)
	header.Set(headerRequest, c.id)
	header.Set(headerWeights, weightVersion)
	header.Set(headerRunner, runner)
}

// usage is the token count of an answer, in the usual API's form.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(end summary) *usage {
	return &usage{
		PromptTokens: end.promptTokens, CompletionTokens: end.completionTokens,
		TotalTokens: end.promptTokens + end.completionTokens, Details: usageDetails{CachedTokens: end.cachedTokens},
	}
}

// answer is a whole answer, or one chunk that the router itself writes.
type answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *struct{}      `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newAnswer(c *call, object string) answer {
	return answer{ID: c.id, Object: object, Created: c.created, Model: c.displayModel, Choices: []answerChoice{}}
}

// eventSink streams server-sent events. The engine's chunks are in the
// caller's format already and pass unchanged.
type eventSink struct {
	writer http.ResponseWriter
	call   *call
	begun  bool
	buffer []byte
}

func (s *eventSink) begin(weightVersion, runner string) {
	s.begun = true
	setAnswerHeaders(s.writer.Header(), s.call, "text/event-stream", weightVersion, runner)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *eventSink) chunk(data []byte) {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
}

func (s *eventSink) flush() {
	if len(s.buffer) == 0 {
		return
	}
	// A caller that has gone shows in the request's context.
	s.writer.Write(s.buffer)
	s.buffer = s.buffer[:0]
	s.writer.(http.Flusher).Flush()
}

func (s *eventSink) finish(end summary) {
	last := newAnswer(s.call, s.call.format)
	choice := answerChoice{FinishReason: &end.finishReason}
	if s.call.format == engineapi.FormatChat {
		choice.Delta = &struct{}{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	last.Choices = append(last.Choices, choice)
	s.chunk(encodeAnswer(last))
	if s.call.includeUsage {
		counts := newAnswer(s.call, s.call.format)
		counts.Usage = usageOf(end)
		s.chunk(encodeAnswer(counts))
	}
	s.chunk([]byte("[DONE]"))
	s.flush()
}

func (s *eventSink) fail(failure *apiError) {
	if !s.begun {
		failure.write(s.writer)
		return
	}
	s.chunk(failure.body())
	s.flush()
}

// wholeSink answers once, when everything has arrived.
type wholeSink struct {
	writer http.ResponseWriter
	call   *call
}

func (s *wholeSink) begin(weightVersion, runner string) {
	setAnswerHeaders(s.writer.Header(), s.call, "application/json", weightVersion, runner)
}

func (s *wholeSink) chunk([]byte) {}

func (s *wholeSink) flush() {}

func (s *wholeSink) finish(end summary) {
	text := unescape(end.escapedText)
	choice := answerChoice{FinishReason: &end.finishReason}
	object := engineapi.FormatCompletion
	if s.call.format == engineapi.FormatChat {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	whole := newAnswer(s.call, object)
	whole.Choices = append(whole.Choices, choice)
	whole.Usage = usageOf(end)
	s.writer.WriteHeader(http.StatusOK)
	s.writer.Write(encodeAnswer(whole))
}

func (s *wholeSink) fail(failure *apiError) { failure.write(s.writer) }

func encodeAnswer(body answer) []byte {
	// The struct always encodes.
	encoded, _ := json.Marshal(body)
	return encoded
}

var (
	contentMarker = []byte(`"content":"`)
	textMarker    = []byte(`"text":"`)
)

// appendText appends the output text of a chunk, still escaped, without
// decoding the chunk. The engine's contract puts the text behind the first
// such marker (docs/API.md).
func appendText(text, chunk []byte) []byte {
	marker := contentMarker
	start := bytes.Index(chunk, marker)
	if start < 0 {
		marker = textMarker
		start = bytes.Index(chunk, marker)
	}
	if start < 0 {
		return text
	}
	rest := chunk[start+len(marker):]
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return append(text, rest[:i]...)
		}
	}
	return text
}

// unescape decodes the inside of a JSON string.
func unescape(escaped []byte) string {
	quoted := make([]byte, 0, len(escaped)+2)
	quoted = append(quoted, '"')
	quoted = append(quoted, escaped...)
	quoted = append(quoted, '"')
	var text string
	if json.Unmarshal(quoted, &text) != nil {
		return ""
	}
	return text
}
