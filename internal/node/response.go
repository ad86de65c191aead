package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/integrity"
)

// completionResult is the data at the end of a response.
type completionResult struct {
	finishReason     string
	completionTokens int
	promptTokens     int
	cachedTokens     int
	// escapedText is the whole output as the content of a JSON string, without quotes.
	escapedText []byte
}

// responseSink writes a response in the form that the caller requested.
type responseSink interface {
	// begin sets the response headers. It is called once, before the first chunk.
	begin(weightVersion, runner string)
	// writeChunk adds an output chunk in the engine's encoding.
	writeChunk(data []byte)
	// flush sends the added chunks to the caller.
	flush()
	// finish completes the response.
	finish(result completionResult)
	// fail writes an error, either as the response or as the end of a stream that has begun.
	fail(failure *apiError)
}

// newResponseSink returns the sink for a streamed or an unstreamed response.
func newResponseSink(writer http.ResponseWriter, c *completionRequest) responseSink {
	if c.stream {
		return &sseSink{writer: writer, request: c}
	}
	return &jsonSink{writer: writer, request: c}
}

func setResponseHeaders(header http.Header, c *completionRequest, contentType, weightVersion, runner string) {
	header.Set("Content-Type", contentType)
	header.Set(headerRequestID, c.id)
	header.Set(headerWeightVersion, weightVersion)
	header.Set(headerRunner, runner)
}

// usage holds the token counts of a response as in the OpenAI API.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(result completionResult) *usage {
	return &usage{
		PromptTokens: result.promptTokens, CompletionTokens: result.completionTokens,
		TotalTokens: result.promptTokens + result.completionTokens, Details: usageDetails{CachedTokens: result.cachedTokens},
	}
}

// completionResponse is an unstreamed response, or a chunk that the router itself adds to a stream.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *struct{}        `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newCompletionResponse(c *completionRequest, object string) completionResponse {
	return completionResponse{ID: c.id, Object: object, Created: c.created, Model: c.displayModel, Choices: []responseChoice{}}
}

// sseSink streams the response as server-sent events. The engine's chunks already have the format
// that the caller requested and are written unchanged.
type sseSink struct {
	writer  http.ResponseWriter
	request *completionRequest
	begun   bool
	buffer  []byte
}

func (s *sseSink) begin(weightVersion, runner string) {
	s.begun = true
	setResponseHeaders(s.writer.Header(), s.request, "text/event-stream", weightVersion, runner)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *sseSink) writeChunk(data []byte) {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
}

func (s *sseSink) flush() {
	if len(s.buffer) == 0 {
		return
	}
	// The error is ignored because the request's context ends when the caller disconnects.
	s.writer.Write(s.buffer)
	s.buffer = s.buffer[:0]
	s.writer.(http.Flusher).Flush()
}

func (s *sseSink) finish(result completionResult) {
	finalChunk := newCompletionResponse(s.request, s.request.format)
	choice := responseChoice{FinishReason: &result.finishReason}
	if s.request.format == engineapi.FormatChat {
		choice.Delta = &struct{}{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	finalChunk.Choices = append(finalChunk.Choices, choice)
	s.writeChunk(encodeResponse(finalChunk))
	if s.request.includeUsage {
		usageChunk := newCompletionResponse(s.request, s.request.format)
		usageChunk.Usage = newUsage(result)
		s.writeChunk(encodeResponse(usageChunk))
	}
	s.writeChunk([]byte("[DONE]"))
	s.flush()
}

func (s *sseSink) fail(failure *apiError) {
	if !s.begun {
		failure.writeTo(s.writer)
		return
	}
	s.writeChunk(failure.body())
	s.flush()
}

// jsonSink writes one JSON response when the output is complete.
type jsonSink struct {
	writer  http.ResponseWriter
	request *completionRequest
}

func (s *jsonSink) begin(weightVersion, runner string) {
	setResponseHeaders(s.writer.Header(), s.request, "application/json", weightVersion, runner)
}

func (s *jsonSink) writeChunk([]byte) {}

func (s *jsonSink) flush() {}

func (s *jsonSink) finish(result completionResult) {
	text := unescapeJSON(result.escapedText)
	choice := responseChoice{FinishReason: &result.finishReason}
	object := engineapi.FormatCompletion
	if s.request.format == engineapi.FormatChat {
		object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	response := newCompletionResponse(s.request, object)
	response.Choices = append(response.Choices, choice)
	response.Usage = newUsage(result)
	writeWhole(s.writer, http.StatusOK, encodeResponse(response))
}

// writeWhole writes a response with its length, without which callers of HTTP/1.0 would take a part of a long body for the whole. The
// error of the write is ignored because the request's context ends when the caller disconnects.
func writeWhole(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	writer.Write(body)
}

func (s *jsonSink) fail(failure *apiError) { failure.writeTo(s.writer) }

func encodeResponse(response completionResponse) []byte {
	// Encoding this type cannot fail.
	encoded, _ := json.Marshal(response)
	return encoded
}

var (
	contentMarker = []byte(`"content":"`)
	textMarker    = []byte(`"text":"`)
)

// escapedText returns the output text of a chunk as the content of a JSON string, without decoding the chunk. It returns false if the
// chunk is only a part of one, or if its text cannot be decoded. By the engine API (docs/API.md), the text follows the first
// contentMarker or, failing that, the first textMarker of the chunk.
func escapedText(chunk []byte) (text []byte, isWhole bool) {
	if !integrity.IsWholeObject(chunk) {
		return nil, false
	}
	marker := contentMarker
	start := bytes.Index(chunk, marker)
	if start < 0 {
		marker = textMarker
		start = bytes.Index(chunk, marker)
	}
	if start < 0 {
		return nil, true
	}
	rest := chunk[start+len(marker):]
	for i := 0; i < len(rest); i++ {
		switch b := rest[i]; {
		case b == '"':
			return rest[:i], true
		case b < ' ':
			return nil, false
		case b == '\\':
			length := escapeLength(rest[i:])
			if length == 0 {
				return nil, false
			}
			i += length - 1
		}
	}
	return nil, false
}

// unicodeEscapeLength is the length of an escape of the form \u0000.
const unicodeEscapeLength = 6

// escapeLength returns the length of the escape with which the content of a JSON string begins, 0 if it is invalid.
func escapeLength(content []byte) int {
	if len(content) < 2 {
		return 0
	}
	if content[1] != 'u' {
		if bytes.IndexByte([]byte(`"\/bfnrt`), content[1]) < 0 {
			return 0
		}
		return 2
	}
	if len(content) < unicodeEscapeLength {
		return 0
	}
	if _, err := strconv.ParseUint(string(content[2:unicodeEscapeLength]), 16, 16); err != nil {
		return 0
	}
	return unicodeEscapeLength
}

// unescapeJSON decodes the content of a JSON string. It returns "" if the content is invalid.
func unescapeJSON(escaped []byte) string {
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
