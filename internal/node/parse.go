package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/claim"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/prefix"
	"github.com/clovertiller/clovertiller/internal/prompt"
)

// Headers of requests from callers and of responses to them.
const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerIssuedAt is the RFC 3339 issue time of an idempotency key that is not a UUIDv7.
	headerIssuedAt   = "X-Clovertiller-Issued-At"
	headerRepeatable = "X-Clovertiller-Repeatable"
	// headerDeadline is the time in milliseconds for which the caller waits.
	headerDeadline      = "X-Clovertiller-Deadline-Ms"
	headerRunState      = "X-Clovertiller-Run-State"
	headerWeightVersion = "X-Clovertiller-Weight-Version"
	headerRunner        = "X-Clovertiller-Runner"
	headerRequestID     = "X-Request-Id"
)

// Limits on values in requests.
const (
	maxIdempotencyKeyBytes = 128
	maxTimeout             = time.Hour

	// adapterSeparator separates model and adapter in the model field, as in "model:adapter".
	adapterSeparator = ":"
)

// completionBody holds the fields that the router reads from the body of chat and text completion
// requests. Other fields of the OpenAI API are accepted and ignored.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	// Repeatable tells whether the request may run again after a failure.
	Repeatable *bool `json:"repeatable"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// completionRequest is a validated completion request.
type completionRequest struct {
	id      string
	tenant  *config.Tenant
	model   string
	adapter string
	// displayModel is the model field as sent by the caller, including the adapter.
	displayModel string
	pool         string
	// prompt is the rendered prompt. promptTokens is its estimated length.
	prompt       string
	promptTokens int
	maxTokens    int
	stream       bool
	includeUsage bool
	// format is the format of the output chunks.
	format string
	// created is the creation time in Unix seconds that is written into the response.
	created int64
	// repeatable tells whether the request may run more than once. Otherwise idempotencyKey and
	// issuedAt, the issue time of the key, are set.
	repeatable     bool
	idempotencyKey string
	issuedAt       time.Time
	// timeout is the time from the start of execution for which the caller waits.
	timeout time.Duration
}

// parseRequest reads a completion request and validates it against the configuration snapshot.
func (n *Node) parseRequest(request *http.Request, tenant *config.Tenant, snapshot *config.Snapshot, format string) (*completionRequest, *apiError) {
	body, failure := n.readBody(request)
	if failure != nil {
		return nil, failure
	}
	c := &completionRequest{
		id: "cmpl-" + uuid.NewString(), tenant: tenant, stream: body.Stream, format: format,
		created: time.Now().Unix(), displayModel: body.Model,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	}
	steps := []func() *apiError{
		func() *apiError { return c.setModel(body, snapshot) },
		func() *apiError { return c.setPrompt(body) },
		func() *apiError { return c.setTokenLimit(body, snapshot, n.settings.Limits.DefaultMaxTokens) },
		func() *apiError { return c.setRepeatable(body, request.Header) },
		func() *apiError { return c.setTimeout(request.Header, n.settings.Limits.DefaultDeadlineMillis) },
	}
	for _, step := range steps {
		if failure := step(); failure != nil {
			return nil, failure
		}
	}
	return c, nil
}

func (n *Node) readBody(request *http.Request) (*completionBody, *apiError) {
	limit := n.settings.Limits.MaxBodyBytes
	content, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, &apiError{status: http.StatusRequestTimeout, code: codeInvalidRequest, param: "body", message: "the body did not arrive in time", runState: attempt.NotRun}
	}
	if int64(len(content)) > limit {
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, code: codeRequestTooLarge, param: "body", message: fmt.Sprintf("the body is over %d bytes", limit), runState: attempt.NotRun}
	}
	body := &completionBody{}
	if err := json.Unmarshal(content, body); err != nil {
		return nil, newDecodeError(err)
	}
	return body, nil
}

// newDecodeError returns the error for a body that could not be decoded.
func newDecodeError(err error) *apiError {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return badRequest(typeError.Field, "%s must be a %s, got a JSON %s", typeError.Field, typeError.Type, typeError.Value)
	}
	return badRequest("body", "the body is not valid JSON: %v", err)
}

func (c *completionRequest) setModel(body *completionBody, snapshot *config.Snapshot) *apiError {
	if body.Model == "" {
		return badRequest("model", "model is required")
	}
	c.model, c.adapter, _ = strings.Cut(body.Model, adapterSeparator)
	model := snapshot.Models[c.model]
	adapter := snapshot.Adapters[c.adapter]
	if model == nil || (c.adapter != "" && (adapter == nil || adapter.Model != c.model)) {
		return &apiError{status: http.StatusNotFound, code: codeModelNotFound, param: "model", message: fmt.Sprintf("model %q does not exist", body.Model), runState: attempt.NotRun}
	}
	if !mayUseModel(c.tenant, c.model) {
		return &apiError{status: http.StatusForbidden, code: codeModelNotAllowed, param: "model", message: fmt.Sprintf("model %q is not open to this tenant", body.Model), runState: attempt.NotRun}
	}
	c.pool = model.Pool
	return nil
}

// mayUseModel reports whether the tenant may use the model. An empty list allows all models.
func mayUseModel(tenant *config.Tenant, model string) bool {
	if len(tenant.Spec.Models) == 0 {
		return true
	}
	for _, allowed := range tenant.Spec.Models {
		if allowed == model {
			return true
		}
	}
	return false
}

func (c *completionRequest) setPrompt(body *completionBody) *apiError {
	var failure *apiError
	if c.format == engineapi.FormatChat {
		c.prompt, failure = renderMessages(body.Messages)
	} else {
		failure = c.setTextPrompt(body.Prompt)
	}
	if failure != nil {
		return failure
	}
	if c.prompt == "" {
		return badRequest("prompt", "the prompt is empty")
	}
	c.promptTokens = prefix.EstimateTokens(len(c.prompt))
	return nil
}

// setTextPrompt sets the prompt of a text completion request.
func (c *completionRequest) setTextPrompt(raw json.RawMessage) *apiError {
	if len(raw) == 0 {
		return badRequest("prompt", "prompt is required")
	}
	if json.Unmarshal(raw, &c.prompt) != nil {
		return badRequest("prompt", "prompt must be a string")
	}
	return nil
}

// renderMessages validates chat messages and renders them as one prompt.
func renderMessages(messages []chatMessage) (string, *apiError) {
	if len(messages) == 0 {
		return "", badRequest("messages", "messages needs at least one message")
	}
	rendered := make([]prompt.Message, len(messages))
	for i, message := range messages {
		if message.Role == "" {
			return "", badRequest(fmt.Sprintf("messages[%d].role", i), "role is required")
		}
		text, ok := contentText(message.Content)
		if !ok {
			return "", badRequest(fmt.Sprintf("messages[%d].content", i), "content must be a string or a list of text parts")
		}
		rendered[i] = prompt.Message{Role: message.Role, Text: text}
	}
	return prompt.Render(rendered), nil
}

// contentText returns the text of a message's content, which is a string or a list of text parts.
// It returns false for any other content.
func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, len(raw) > 0
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", false
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), true
}

// setTokenLimit sets the maximum output length and checks it against the model's context length.
func (c *completionRequest) setTokenLimit(body *completionBody, snapshot *config.Snapshot, defaultTokens int) *apiError {
	c.maxTokens = defaultTokens
	for _, limit := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return badRequest("max_tokens", "max_tokens must be above 0, got %d", *limit)
		}
		c.maxTokens = *limit
	}
	if body.N != nil && *body.N != 1 {
		return badRequest("n", "n must be 1, got %d", *body.N)
	}
	contextTokens := snapshot.Models[c.model].ContextTokens
	if c.promptTokens+c.maxTokens > contextTokens {
		failure := badRequest("prompt", "prompt of %d tokens and answer of %d are over the model's context of %d", c.promptTokens, c.maxTokens, contextTokens)
		failure.code = codeContextLengthExceeded
		return failure
	}
	return nil
}

// setRepeatable determines whether the request may run again after a failure. An idempotency key
// means that the caller does not want the request to run twice, so it makes the request unrepeatable
// unless the body or the header states otherwise.
func (c *completionRequest) setRepeatable(body *completionBody, header http.Header) *apiError {
	c.idempotencyKey = header.Get(headerIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest(headerIdempotencyKey, "key is over %d bytes", maxIdempotencyKeyBytes)
	}
	c.repeatable = c.idempotencyKey == ""
	if body.Repeatable != nil {
		c.repeatable = *body.Repeatable
	}
	if value := header.Get(headerRepeatable); value != "" {
		repeatable, err := strconv.ParseBool(value)
		if err != nil {
			return badRequest(headerRepeatable, "must be true or false, got %q", value)
		}
		c.repeatable = repeatable
	}
	if c.repeatable {
		return nil
	}
	if c.idempotencyKey == "" {
		return badRequest(headerIdempotencyKey, "a request that may not be repeated needs a key")
	}
	return c.setIssueTime(header)
}

// setIssueTime sets the issue time of the idempotency key from a UUIDv7 key or from the header.
func (c *completionRequest) setIssueTime(header http.Header) *apiError {
	issued, err := claim.IssueTime(c.idempotencyKey)
	if value := header.Get(headerIssuedAt); err != nil && value != "" {
		issued, err = time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return badRequest(headerIssuedAt, "must be a time of RFC 3339, got %q", value)
		}
	}
	if err != nil {
		return badRequest(headerIdempotencyKey, "must be a UUIDv7 (RFC 9562), or be sent with %s", headerIssuedAt)
	}
	c.issuedAt = issued
	return nil
}

// setTimeout sets the time for which the caller waits.
func (c *completionRequest) setTimeout(header http.Header, defaultMillis int) *apiError {
	c.timeout = time.Duration(defaultMillis) * time.Millisecond
	value := header.Get(headerDeadline)
	if value == "" {
		return nil
	}
	millis, err := strconv.Atoi(value)
	if err != nil || millis < 1 || millis > int(maxTimeout.Milliseconds()) {
		return badRequest(headerDeadline, "must be 1 to %d milliseconds, got %q", maxTimeout.Milliseconds(), value)
	}
	c.timeout = time.Duration(millis) * time.Millisecond
	return nil
}
