// Package load sends generated requests to routers, checks every answer
// against what the engine must produce, and reports the users' measures.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/workload"
)

// Settings of one run.
type Settings struct {
	// Routers are the HTTP addresses to spread requests over.
	Routers     []string
	Requests    int
	Concurrency int
	// RequestsPerSecond paces the requests; 0 sends as fast as answers come.
	RequestsPerSecond float64
	Seed              uint64
	Workload          workload.Settings
	// Progress is called after each tenth of the requests.
	Progress func(percent int)
}

// KeyOf returns the bearer key of a generated tenant, as in examples/.
func KeyOf(tenant string) string { return "key-" + tenant }

// errNoRouter means that no router was ready in time.
var errNoRouter = errors.New("no router is ready")

// runner is one run in progress.
type runner struct {
	settings Settings
	client   *http.Client
	ready    []atomic.Bool
	next     atomic.Uint64
	report   *Report
	mutex    sync.Mutex
}

// Run sends the requests and returns the report.
func Run(ctx context.Context, settings Settings) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{
		settings: settings,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Concurrency}},
		ready:    make([]atomic.Bool, len(settings.Routers)),
		report:   newReport(),
	}
	r.checkReady()
	go r.watchReady(ctx)
	requests := make(chan workload.Request)
	var group sync.WaitGroup
	for range settings.Concurrency {
		group.Add(1)
		go func() {
			defer group.Done()
			for request := range requests {
				r.one(ctx, request)
			}
		}()
	}
	r.feed(ctx, requests)
	close(requests)
	group.Wait()
	return r.report
}

func (r *runner) feed(ctx context.Context, requests chan<- workload.Request) {
	generator := workload.NewGenerator(r.settings.Workload, r.settings.Seed)
	var pace <-chan time.Time
	if r.settings.RequestsPerSecond > 0 {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / r.settings.RequestsPerSecond))
		defer ticker.Stop()
		pace = ticker.C
	}
	tenth := max(r.settings.Requests/10, 1)
	for i := range r.settings.Requests {
		if pace != nil {
			<-pace
		}
		select {
		case requests <- generator.Next():
		case <-ctx.Done():
			return
		}
		if r.settings.Progress != nil && (i+1)%tenth == 0 {
			r.settings.Progress((i + 1) * 100 / r.settings.Requests)
		}
	}
}

// readyInterval is how often the routers' readiness is asked, as a balancer would.
const readyInterval = 100 * time.Millisecond

func (r *runner) watchReady(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkReady()
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) checkReady() {
	var group sync.WaitGroup
	for i, router := range r.settings.Routers {
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+"/readyz", nil)
			if err != nil {
				return
			}
			response, err := r.client.Do(request)
			if err == nil {
				response.Body.Close()
			}
			r.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
		}()
	}
	group.Wait()
}

func (r *runner) pickRouter(ctx context.Context) (string, error) {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		start := r.next.Add(1)
		for i := range r.settings.Routers {
			index := int(start+uint64(i)) % len(r.settings.Routers)
			if r.ready[index].Load() {
				return r.settings.Routers[index], nil
			}
		}
		time.Sleep(readyInterval)
	}
	return "", errNoRouter
}

// maxAsks bounds how often a request is asked again after an honest "not run".
const maxAsks = 8

// one sends a request, again after each refusal that says "not run" and when
// to come back, as a well-behaved caller does.
func (r *runner) one(ctx context.Context, request workload.Request) {
	result := Result{Request: request}
	start := time.Now()
	for ask := 0; ask < maxAsks; ask++ {
		router, err := r.pickRouter(ctx)
		if err != nil {
			result.Failure = err.Error()
			break
		}
		retryAfter, again := r.ask(ctx, router, request, &result)
		if !again {
			break
		}
		result.Refusals++
		select {
		case <-time.After(retryAfter):
		case <-ctx.Done():
		}
	}
	result.Total = time.Since(start)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.add(result)
}

// callBody is the request in the usual API's form.
type callBody struct {
	Model         string        `json:"model"`
	Messages      []callMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions callOptions   `json:"stream_options"`
	Repeatable    bool          `json:"repeatable"`
}

type callMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type callOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// NewCall returns the HTTP request for a generated one.
func NewCall(ctx context.Context, router string, request workload.Request) (*http.Request, error) {
	body := callBody{
		Model: request.Model, MaxTokens: request.MaxTokens, Stream: true, StreamOptions: callOptions{IncludeUsage: true},
		Messages:   []callMessage{{"system", request.System}, {"user", request.User}},
		Repeatable: !request.Unrepeatable,
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+KeyOf(request.Tenant))
	if request.Unrepeatable {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		call.Header.Set("Idempotency-Key", key.String())
	}
	return call, nil
}

// refusal is the part of an error answer that decides what the caller does.
type refusal struct {
	Error struct {
		Message          string `json:"message"`
		Code             string `json:"code"`
		RunState         string `json:"run_state"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// ask sends the request once. It tells whether to ask again, and when.
func (r *runner) ask(ctx context.Context, router string, request workload.Request, result *Result) (time.Duration, bool) {
	call, err := NewCall(ctx, router, request)
	if err != nil {
		result.Failure = err.Error()
		return 0, false
	}
	sent := time.Now()
	response, err := r.client.Do(call)
	if err != nil {
		// Without an answer an unrepeatable request must not be sent again.
		result.Failure = err.Error()
		return readyInterval, !request.Unrepeatable
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return r.refused(response, request, result)
	}
	answer := ReadStream(response.Body, sent)
	answer.WeightVersion = response.Header.Get("X-Clovertiller-Weight-Version")
	result.take(answer)
	return 0, false
}

func (r *runner) refused(response *http.Response, request workload.Request, result *Result) (time.Duration, bool) {
	var body refusal
	content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if json.Unmarshal(content, &body) != nil {
		result.Failure = fmt.Sprintf("status %d: %s", response.StatusCode, content)
		return 0, false
	}
	result.Failure = body.Error.Code + ": " + body.Error.RunState + ": " + body.Error.Message
	mayRepeat := body.Error.RunState == "not_run" || !request.Unrepeatable
	return time.Duration(body.Error.RetryAfterMillis) * time.Millisecond, mayRepeat && body.Error.RetryAfterMillis > 0
}

// Answer is one streamed answer as it was read.
type Answer struct {
	Text          string
	Chunks        int
	Done          bool
	ErrorCode     string
	ErrorRunState string
	FinishReason  string
	CachedTokens  int
	PromptTokens  int
	FirstToken    time.Duration
	WeightVersion string
}

// streamChunk is one event of a streamed answer.
type streamChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// ReadStream reads a streamed answer to its end.
func ReadStream(body io.Reader, sent time.Time) Answer {
	var answer Answer
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			answer.Done = true
			continue
		}
		var chunk streamChunk
		if json.Unmarshal([]byte(data), &chunk) != nil {
			answer.ErrorCode = "unreadable chunk"
			continue
		}
		if chunk.Error != nil {
			answer.ErrorCode, answer.ErrorRunState = chunk.Error.Code, chunk.Error.RunState
		}
		if chunk.Usage != nil {
			answer.PromptTokens, answer.CachedTokens = chunk.Usage.PromptTokens, chunk.Usage.Details.CachedTokens
		}
		for _, choice := range chunk.Choices {
			if answer.Chunks == 0 {
				answer.FirstToken = time.Since(sent)
			}
			answer.Chunks++
			text.WriteString(choice.Text + choice.Delta.Content)
			if choice.FinishReason != nil {
				answer.FinishReason = *choice.FinishReason
			}
		}
	}
	answer.Text = text.String()
	return answer
}

// Expected returns the text that the engine must produce for a request.
func Expected(request workload.Request, weightVersion string) string {
	prompt := enginemodel.Prompt{Model: request.Model, WeightVersion: weightVersion, Text: request.Prompt()}
	length, _ := prompt.OutputLength(request.MaxTokens)
	return prompt.Output(0, length)
}
