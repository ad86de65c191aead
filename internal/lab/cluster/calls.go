package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
	"github.com/clovertiller/clovertiller/internal/lab/load"
)

// Call is a completion request that a test sends.
type Call struct {
	Tenant    string
	Prompt    string
	MaxTokens int
	// IdempotencyKey makes the request unrepeatable unless it is empty.
	IdempotencyKey string
}

// NewIdempotencyKey returns a key that is valid from now on. It is a UUIDv7, which contains
// its creation time.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Outcome is the result of a Call as its caller saw it.
type Outcome struct {
	// Status is the HTTP status, or 0 without a response.
	Status     int
	Completion load.Completion
	// Code and RunState are those of the error in the response; both are empty without one.
	Code     string
	RunState string
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	// Runner is the name of the runner that produced the first token.
	Runner string
	SentAt time.Time
	// Elapsed is the time from sending the request to the end of the response.
	Elapsed time.Duration
	Err     error
}

// Complete reports whether the whole completion was received.
func (o Outcome) Complete() bool { return o.Status == http.StatusOK && o.Completion.Done }

type completionRequest struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type errorResponse struct {
	Error struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// Do sends a streaming completion request to the router with the given index and reads the
// response to its end.
func (c *Cluster) Do(ctx context.Context, router int, call Call) Outcome {
	body, _ := json.Marshal(completionRequest{Model: Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens, Stream: true, StreamOptions: streamOptions{true}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Routers[router].HTTPAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Outcome{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+load.APIKey(call.Tenant))
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	sentAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Outcome{Err: err, Elapsed: time.Since(sentAt)}
	}
	defer response.Body.Close()
	outcome := Outcome{
		Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"),
		Runner: response.Header.Get("X-Clovertiller-Runner"), SentAt: sentAt,
	}
	if response.StatusCode == http.StatusOK {
		outcome.Completion = load.ReadStream(response.Body, sentAt)
		outcome.Completion.WeightVersion = response.Header.Get("X-Clovertiller-Weight-Version")
		outcome.Code, outcome.RunState = outcome.Completion.ErrorCode, outcome.Completion.ErrorRunState
	} else {
		var failure errorResponse
		content, _ := io.ReadAll(response.Body)
		if json.Unmarshal(content, &failure) == nil {
			outcome.Code, outcome.RunState = failure.Error.Code, failure.Error.RunState
		}
	}
	outcome.Elapsed = time.Since(sentAt)
	return outcome
}

// ExpectedText returns the text that an engine with these weights produces for a call.
func ExpectedText(call Call, weightVersion string) string {
	prompt := enginemodel.Prompt{Model: Model, WeightVersion: weightVersion, Text: call.Prompt}
	length, _ := prompt.OutputLength(call.MaxTokens)
	return prompt.Output(0, length)
}

// HasExpectedText reports whether the outcome is complete and its text is correct.
func HasExpectedText(call Call, outcome Outcome) bool {
	return outcome.Complete() && outcome.Completion.Text == ExpectedText(call, outcome.Completion.WeightVersion)
}

// RunCount returns how often engines started to run a prompt. The platform process keeps the
// count, so that it survives the engines.
func (c *Cluster) RunCount(prompt string) int {
	return c.Platform.RunCounts()[engineserver.PromptDigest(prompt)]
}
