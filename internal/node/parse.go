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

// Headers of the callers' API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerIssuedAt is the issue time of a key that is not a UUIDv7, RFC 3339.
	headerIssuedAt   = "X-Clovertiller-Issued-At"
	headerRepeatable = "X-Clovertiller-Repeatable"
	// headerDeadline is how long the caller waits, in milliseconds.
	headerDeadline = "X-Clovertiller-Deadline-Ms"
	headerRunState = "X-Clovertiller-Run-State"
	headerWeights  = "X-Clovertiller-Weight-Version"
	headerRunner   = "X-Clovertiller-Runner"
	headerRequest  = "X-Request-Id"
)

// Bounds on what a caller may ask for.
const (
	maxKeyBytes      = 128
	maxDeadline      = time.Hour
	adapterSeparator = ":"
)

// completionBody holds the fields that the router reads of both call types;
// other fields of the usual API are accepted and not used.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	// Repeatable says whether the request may be run again after a failure.
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

// call is one checked request of a caller.
type call struct {
	id           string
	tenant       *config.Tenant
	model        string
	adapter      string
	displayModel string
	pool         string
	prompt       string
	promptTokens int
	maxTokens    int
	stream       bool
	includeUsage bool
	format       string
	created      int64
	repeatable   bool
	key          string
	issued       time.Time
	deadline     time.Duration
}

// parseCall reads and checks a request.
func (n *Node) parseCall(request *http.Request, tenant *config.Tenant, snapshot *config.Snapshot, format string) (*call, *apiError) {
	body, failure := n.readBody(request)
	if failure != nil {
		return nil, failure
	}
	c := &call{
		id: "cmpl-" + uuid.NewString(), tenant: tenant, stream: body.Stream, format: format,
		created: time.Now().Unix(), displayModel: body.Model,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
	}
	steps := []func() *apiError{
		func() *apiError { return c.setModel(body, snapshot) },
		func() *apiError { return c.setPrompt(body) },
		func() *apiError { return c.setLength(body, snapshot, n.settings.Limits.DefaultMaxTokens) },
		func() *apiError { return c.setRepeatable(body, request.Header) },
		func() *apiError { return c.setDeadline(request.Header, n.settings.Limits.DefaultDeadlineMillis) },
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
		return nil, &apiError{status: http.StatusRequestTimeout, code: codeBadRequest, param: "body", message: "the body did not arrive in time", runState: attempt.NotRun}
	}
	if int64(len(content)) > limit {
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, code: codeTooLarge, param: "body", message: fmt.Sprintf("the body is over %d bytes", limit), runState: attempt.NotRun}
	}
	body := &completionBody{}
	if err := json.Unmarshal(content, body); err != nil {
		return nil, jsonFault(err)
	}
	return body, nil
}

func jsonFault(err error) *apiError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badRequest(wrongType.Field, "%s must be a %s, got a JSON %s", wrongType.Field, wrongType.Type, wrongType.Value)
	}
	return badRequest("body", "the body is not valid JSON: %v", err)
}

func (c *call) setModel(body *completionBody, snapshot *config.Snapshot) *apiError {
	if body.Model == "" {
		return badRequest("model", "model is required")
	}
	c.model, c.adapter, _ = strings.Cut(body.Model, adapterSeparator)
	model := snapshot.Models[c.model]
	adapter := snapshot.Adapters[c.adapter]
	if model == nil || (c.adapter != "" && (adapter == nil || adapter.Model != c.model)) {
		return &apiError{status: http.StatusNotFound, code: codeModelNotFound, param: "model", message: fmt.Sprintf("model %q does not exist", body.Model), runState: attempt.NotRun}
	}
	if !mayUse(c.tenant, c.model) {
		return &apiError{status: http.StatusForbidden, code: codeModelForbidden, param: "model", message: fmt.Sprintf("model %q is not open to this tenant", body.Model), runState: attempt.NotRun}
	}
	c.pool = model.Pool
	return nil
}

func mayUse(tenant *config.Tenant, model string) bool {
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

func (c *call) setPrompt(body *completionBody) *apiError {
	var failure *apiError
	if c.format == engineapi.FormatChat {
		c.prompt, failure = renderMessages(body.Messages)
	} else {
		failure = c.setPlainPrompt(body.Prompt)
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

func (c *call) setPlainPrompt(raw json.RawMessage) *apiError {
	if len(raw) == 0 {
		return badRequest("prompt", "prompt is required")
	}
	if json.Unmarshal(raw, &c.prompt) != nil {
		return badRequest("prompt", "prompt must be a string")
	}
	return nil
}

// renderMessages checks chat messages and joins them to one prompt.
func renderMessages(messages []chatMessage) (string, *apiError) {
	if len(messages) == 0 {
		return "", badRequest("messages", "messages needs at least one message")
	}
	plain := make([]prompt.Message, len(messages))
	for i, message := range messages {
		if message.Role == "" {
			return "", badRequest(fmt.Sprintf("messages[%d].role", i), "role is required")
		}
		text, ok := contentText(message.Content)
		if !ok {
			return "", badRequest(fmt.Sprintf("messages[%d].content", i), "content must be a string or a list of text parts")
		}
		plain[i] = prompt.Message{Role: message.Role, Text: text}
	}
	return prompt.Render(plain), nil
}

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

func (c *call) setLength(body *completionBody, snapshot *config.Snapshot, defaultTokens int) *apiError {
	c.maxTokens = defaultTokens
	for _, given := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if given == nil {
			continue
		}
		if *given < 1 {
			return badRequest("max_tokens", "max_tokens must be above 0, got %d", *given)
		}
		c.maxTokens = *given
	}
	if body.N != nil && *body.N != 1 {
		return badRequest("n", "n must be 1, got %d", *body.N)
	}
	context := snapshot.Models[c.model].ContextTokens
	if c.promptTokens+c.maxTokens > context {
		failure := badRequest("prompt", "prompt of %d tokens and answer of %d are over the model's context of %d", c.promptTokens, c.maxTokens, context)
		failure.code = codeContextLength
		return failure
	}
	return nil
}

// setRepeatable decides whether the request may be run again after a failure.
// A key alone means that the caller cares about being run twice, so it makes
// the request unrepeatable unless the caller says otherwise.
func (c *call) setRepeatable(body *completionBody, header http.Header) *apiError {
	c.key = header.Get(headerIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return badRequest(headerIdempotencyKey, "key is over %d bytes", maxKeyBytes)
	}
	c.repeatable = c.key == ""
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
	if c.key == "" {
		return badRequest(headerIdempotencyKey, "a request that may not be repeated needs a key")
	}
	return c.setIssued(header)
}

func (c *call) setIssued(header http.Header) *apiError {
	issued, err := claim.IssueTime(c.key)
	if value := header.Get(headerIssuedAt); err != nil && value != "" {
		issued, err = time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return badRequest(headerIssuedAt, "must be a time of RFC 3339, got %q", value)
		}
	}
	if err != nil {
		return badRequest(headerIdempotencyKey, "must be a UUIDv7 (RFC 9562), or be sent with %s", headerIssuedAt)
	}
	c.issued = issued
	return nil
}

func (c *call) setDeadline(header http.Header, defaultMillis int) *apiError {
	c.deadline = time.Duration(defaultMillis) * time.Millisecond
	value := header.Get(headerDeadline)
	if value == "" {
		return nil
	}
	millis, err := strconv.Atoi(value)
	if err != nil || millis < 1 || millis > int(maxDeadline.Milliseconds()) {
		return badRequest(headerDeadline, "must be 1 to %d milliseconds, got %q", maxDeadline.Milliseconds(), value)
	}
	c.deadline = time.Duration(millis) * time.Millisecond
	return nil
}
