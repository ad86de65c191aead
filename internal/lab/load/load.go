// Package load is a load generator. It sends generated requests to routers, checks every
// completion against the text that the engine must produce, and reports hit rates and latencies.
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

// Settings configures a run.
type Settings struct {
	// Routers are the HTTP addresses of the routers over which requests are distributed.
	Routers []string
	// Requests is the total number of requests, Concurrency the maximum number at once.
	Requests    int
	Concurrency int
	// RequestsPerSecond limits the rate of new requests; 0 means no limit other than
	// Concurrency.
	RequestsPerSecond float64
	Seed              uint64
	Workload          workload.Settings
	// Progress, if not nil, is called whenever another tenth of the requests has been started.
	Progress func(percent int)
}

// APIKey returns the API key of a generated tenant, as in the files of examples/.
func APIKey(tenant string) string { return "key-" + tenant }

// errNoReadyRouter means that no router became ready before the timeout.
var errNoReadyRouter = errors.New("no router is ready")

// activeRun is the state of a run.
type activeRun struct {
	settings Settings
	client   *http.Client
	// routerReady holds whether each router was ready at the last poll.
	routerReady []atomic.Bool
	// nextRouter counts the searches of pickRouter, each of which starts at the next router.
	nextRouter atomic.Uint64
	report     *Report
	mutex      sync.Mutex
}

// Run sends the requests and returns the report once all have ended. If ctx is done, it stops
// early and reports the requests that were sent.
func Run(ctx context.Context, settings Settings) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &activeRun{
		settings:    settings,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Concurrency}},
		routerReady: make([]atomic.Bool, len(settings.Routers)),
		report:      newReport(),
	}
	r.checkReadiness()
	go r.pollReadiness(ctx)
	requests := make(chan workload.Request)
	var group sync.WaitGroup
	for range settings.Concurrency {
		group.Add(1)
		go func() {
			defer group.Done()
			for request := range requests {
				r.sendWithRetries(ctx, request)
			}
		}()
	}
	r.produceRequests(ctx, requests)
	close(requests)
	group.Wait()
	return r.report
}

// produceRequests generates the requests at the configured rate and hands them to the senders.
func (r *activeRun) produceRequests(ctx context.Context, requests chan<- workload.Request) {
	generator := workload.NewGenerator(r.settings.Workload, r.settings.Seed)
	var ticks <-chan time.Time
	if r.settings.RequestsPerSecond > 0 {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / r.settings.RequestsPerSecond))
		defer ticker.Stop()
		ticks = ticker.C
	}
	tenth := max(r.settings.Requests/10, 1)
	for i := range r.settings.Requests {
		if ticks != nil {
			<-ticks
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

// readinessInterval is the interval at which the routers' readiness is polled, like the health
// checks of a load balancer.
const readinessInterval = 100 * time.Millisecond

func (r *activeRun) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.checkReadiness()
		case <-ctx.Done():
			return
		}
	}
}

// checkReadiness polls the readiness of every router once.
func (r *activeRun) checkReadiness() {
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
			r.routerReady[i].Store(err == nil && response.StatusCode == http.StatusOK)
		}()
	}
	group.Wait()
}

// pickRouter returns the next ready router in round-robin order. It waits up to ten seconds for
// one to become ready, then returns errNoReadyRouter.
func (r *activeRun) pickRouter(ctx context.Context) (string, error) {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		start := r.nextRouter.Add(1)
		for i := range r.settings.Routers {
			index := int(start+uint64(i)) % len(r.settings.Routers)
			if r.routerReady[index].Load() {
				return r.settings.Routers[index], nil
			}
		}
		time.Sleep(readinessInterval)
	}
	return "", errNoReadyRouter
}

// maxAttempts is the maximum number of times that a request is sent, including retries.
const maxAttempts = 8

// sendWithRetries sends a request and adds its result to the report. Like a well-behaved caller,
// it retries a request that was not run, or that is repeatable, after the delay that the response
// demands.
func (r *activeRun) sendWithRetries(ctx context.Context, request workload.Request) {
	result := Result{Request: request}
	start := time.Now()
	for attempt := 0; attempt < maxAttempts; attempt++ {
		router, err := r.pickRouter(ctx)
		if err != nil {
			result.Failure = err.Error()
			break
		}
		retryAfter, retry := r.sendOnce(ctx, router, request, &result)
		if !retry {
			break
		}
		result.Refusals++
		select {
		case <-time.After(retryAfter):
		case <-ctx.Done():
		}
	}
	result.Elapsed = time.Since(start)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.report.add(result)
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Repeatable    bool          `json:"repeatable"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// NewHTTPRequest returns the HTTP request that sends a generated request to a router.
func NewHTTPRequest(ctx context.Context, router string, request workload.Request) (*http.Request, error) {
	body := chatRequest{
		Model: request.Model, MaxTokens: request.MaxTokens, Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		Messages:   []chatMessage{{"system", request.System}, {"user", request.User}},
		Repeatable: !request.Unrepeatable,
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Authorization", "Bearer "+APIKey(request.Tenant))
	if request.Unrepeatable {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		httpRequest.Header.Set("Idempotency-Key", key.String())
	}
	return httpRequest, nil
}

// errorResponse is the part of an error response that determines whether to retry.
type errorResponse struct {
	Error struct {
		Message          string `json:"message"`
		Code             string `json:"code"`
		RunState         string `json:"run_state"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// sendOnce sends the request once and stores the outcome in result. It returns whether to retry,
// and after which delay.
func (r *activeRun) sendOnce(ctx context.Context, router string, request workload.Request, result *Result) (time.Duration, bool) {
	httpRequest, err := NewHTTPRequest(ctx, router, request)
	if err != nil {
		result.Failure = err.Error()
		return 0, false
	}
	sentAt := time.Now()
	response, err := r.client.Do(httpRequest)
	if err != nil {
		// Without a response an unrepeatable request may have run, so it must not be retried.
		result.Failure = err.Error()
		return readinessInterval, !request.Unrepeatable
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return r.handleErrorResponse(response, request, result)
	}
	completion := ReadStream(response.Body, sentAt)
	completion.WeightVersion = response.Header.Get("X-Clovertiller-Weight-Version")
	result.setCompletion(completion)
	return 0, false
}

func (r *activeRun) handleErrorResponse(response *http.Response, request workload.Request, result *Result) (time.Duration, bool) {
	var body errorResponse
	content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if json.Unmarshal(content, &body) != nil {
		result.Failure = fmt.Sprintf("status %d: %s", response.StatusCode, content)
		return 0, false
	}
	result.Failure = body.Error.Code + ": " + body.Error.RunState + ": " + body.Error.Message
	mayRetry := body.Error.RunState == "not_run" || !request.Unrepeatable
	return time.Duration(body.Error.RetryAfterMillis) * time.Millisecond, mayRetry && body.Error.RetryAfterMillis > 0
}

// Completion is a streamed completion as the caller received it.
type Completion struct {
	Text string
	// Chunks is the number of received chunks with output.
	Chunks int
	// Done means that the stream ended with its [DONE] marker.
	Done bool
	// ErrorCode and ErrorRunState are those of an error within the stream.
	ErrorCode        string
	ErrorRunState    string
	FinishReason     string
	CachedTokens     int
	PromptTokens     int
	TimeToFirstToken time.Duration
	WeightVersion    string
}

// streamChunk is the data of one event of a streamed completion.
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

// ReadStream reads a streamed completion to its end. TimeToFirstToken is measured from sentAt.
func ReadStream(body io.Reader, sentAt time.Time) Completion {
	var completion Completion
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			completion.Done = true
			continue
		}
		var chunk streamChunk
		if json.Unmarshal([]byte(data), &chunk) != nil {
			completion.ErrorCode = "unreadable chunk"
			continue
		}
		if chunk.Error != nil {
			completion.ErrorCode, completion.ErrorRunState = chunk.Error.Code, chunk.Error.RunState
		}
		if chunk.Usage != nil {
			completion.PromptTokens, completion.CachedTokens = chunk.Usage.PromptTokens, chunk.Usage.Details.CachedTokens
		}
		for _, choice := range chunk.Choices {
			if completion.Chunks == 0 {
				completion.TimeToFirstToken = time.Since(sentAt)
			}
			completion.Chunks++
			text.WriteString(choice.Text + choice.Delta.Content)
			if choice.FinishReason != nil {
				completion.FinishReason = *choice.FinishReason
			}
		}
	}
	completion.Text = text.String()
	return completion
}

// ExpectedText returns the text that an engine with these weights produces for a request.
func ExpectedText(request workload.Request, weightVersion string) string {
	prompt := enginemodel.Prompt{Model: request.Model, WeightVersion: weightVersion, Text: request.Prompt()}
	length, _ := prompt.OutputLength(request.MaxTokens)
	return prompt.Output(0, length)
}
