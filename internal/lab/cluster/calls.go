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

// Call is one completion request of a test.
type Call struct {
	Tenant    string
	Prompt    string
	MaxTokens int
	// Key makes the call unrepeatable when it is not empty.
	Key string
}

// NewKey returns a key made now.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Outcome is what a caller was told.
type Outcome struct {
	// Status is the HTTP status, 0 when no answer came.
	Status   int
	Answer   load.Answer
	Code     string
	RunState string
	// RetryAfter is the Retry-After header.
	RetryAfter string
	// Runner is the runner that gave the first token.
	Runner string
	Sent   time.Time
	Took   time.Duration
	Error  error
}

// Complete tells whether the whole answer came.
func (o Outcome) Complete() bool { return o.Status == http.StatusOK && o.Answer.Done }

type completionBody struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type errorAnswer struct {
	Error struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// Do sends a streamed completion request to a router and reads its answer.
func (c *Cluster) Do(ctx context.Context, router int, call Call) Outcome {
	body, _ := json.Marshal(completionBody{Model: Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens, Stream: true, StreamOptions: streamOptions{true}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Routers[router].HTTP+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Outcome{Error: err}
	}
	request.Header.Set("Authorization", "Bearer "+load.KeyOf(call.Tenant))
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Outcome{Error: err, Took: time.Since(start)}
	}
	defer response.Body.Close()
	outcome := Outcome{
		Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"),
		Runner: response.Header.Get("X-Clovertiller-Runner"), Sent: start,
	}
	if response.StatusCode == http.StatusOK {
		outcome.Answer = load.ReadStream(response.Body, start)
		outcome.Answer.WeightVersion = response.Header.Get("X-Clovertiller-Weight-Version")
		outcome.Code, outcome.RunState = outcome.Answer.ErrorCode, outcome.Answer.ErrorRunState
	} else {
		var refused errorAnswer
		content, _ := io.ReadAll(response.Body)
		if json.Unmarshal(content, &refused) == nil {
			outcome.Code, outcome.RunState = refused.Error.Code, refused.Error.RunState
		}
	}
	outcome.Took = time.Since(start)
	return outcome
}

// Expected returns the text that an engine must produce for a call.
func Expected(call Call, weightVersion string) string {
	prompt := enginemodel.Prompt{Model: Model, WeightVersion: weightVersion, Text: call.Prompt}
	length, _ := prompt.Length(call.MaxTokens)
	return prompt.Output(0, length)
}

// Exact tells whether a complete outcome has the whole right text.
func Exact(call Call, outcome Outcome) bool {
	return outcome.Complete() && outcome.Answer.Text == Expected(call, outcome.Answer.WeightVersion)
}

// RunsOf returns how often a prompt was run, counted where it survives engines.
func (c *Cluster) RunsOf(prompt string) int {
	return c.Platform.Runs()[engineserver.PromptDigest(prompt)]
}
