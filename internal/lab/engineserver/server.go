// Package engineserver is a simulated model engine. It runs the engine model in real time behind
// the engine's HTTP interface, with fault injection. It is for tests, demonstrations and
// experiments only.
package engineserver

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// PathFaults is the path to which tests post an engine's fault settings.
const PathFaults = "/lab/faults"

// Intervals of the engine.
const (
	// finishedStreamTTL is how long a stream can still be resumed after its end.
	finishedStreamTTL = 30 * time.Second
	// publishInterval is the interval of cache events. Changes of the engine's state, model,
	// adapters or role are published immediately.
	publishInterval = 100 * time.Millisecond
)

// Faults are the faults that an engine simulates.
type Faults struct {
	// EventLagMillis delays cache events and the load reports in them, in milliseconds.
	EventLagMillis int `json:"event_lag_millis"`
	// EventLoss is the probability that an event is lost, 0 to 1.
	EventLoss float64 `json:"event_loss"`
	// LoseResponses is how many of the next accepted requests are run without a response: the
	// connection is aborted instead.
	LoseResponses int `json:"lose_answers"`
	// CutStreams is how many of the next streams are aborted after cutAfterFrames frames.
	CutStreams int `json:"cut_streams"`
	// InjectWrongFrames inserts frames of other requests and attempts, and repeated frames, into
	// the streams.
	InjectWrongFrames bool `json:"cross_frames"`
	// Frozen stops the engine's steps and events and blocks its responses.
	Frozen bool `json:"frozen"`
}

// Settings configures a simulated engine.
type Settings struct {
	Engine        enginemodel.Settings
	Model         string
	WeightVersion string
	Adapters      []string
	// PlatformAddress is the IP:port of the simulated platform, which serves weights and counts
	// runs. Without one, weight loads take no time and runs are counted only by the engine.
	PlatformAddress string
	// Faults are the initial fault settings.
	Faults Faults
	// Seed is the seed of the random event losses.
	Seed uint64
}

// attemptStream is the state of an attempt and its output stream.
type attemptStream struct {
	request engineapi.GenerateRequest
	prompt  enginemodel.Prompt
	// totalTokens is the length of the output; endsNaturally is true unless max_tokens limits it.
	totalTokens   int
	endsNaturally bool
	// producedTokens is the number of output tokens so far, including those of earlier attempts.
	producedTokens int
	started        bool
	// cachedTokens is the number of prompt tokens found in the cache at the start.
	cachedTokens int
	finished     bool
	canceled     bool
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
}

// notifyChanged wakes all goroutines that wait for a change of the stream.
func (s *attemptStream) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Server is a simulated engine.
type Server struct {
	settings    Settings
	incarnation uint64
	listener    net.Listener
	http        *http.Server
	cancel      context.CancelFunc
	done        chan struct{}

	mutex sync.Mutex
	// stateChanged is signaled when a job is queued, the faults change or the engine stops.
	stateChanged *sync.Cond
	engine       *enginemodel.Engine
	streams      map[enginemodel.ID]*attemptStream
	// barredAttempts are refused because they have ended or because a resume or cancel request
	// for them came first.
	barredAttempts map[enginemodel.ID]bool
	state          engineapi.State
	model          string
	weightVersion  string
	adapters       []string
	role           string
	// fencingToken is the highest token of an order received so far.
	fencingToken uint64
	faults       Faults
	random       *rand.Rand
	publisher    *publisher
	// runCounts holds the number of started runs by prompt digest.
	runCounts map[string]int
	// openRelays counts the responses that are being streamed to routers.
	openRelays sync.WaitGroup
	stopped    bool
}

// Start serves the engine's interface on the listener until Close.
func Start(listener net.Listener, settings Settings) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings:       settings,
		incarnation:    uint64(time.Now().UnixNano()),
		listener:       listener,
		cancel:         cancel,
		done:           make(chan struct{}),
		engine:         enginemodel.New(settings.Engine),
		streams:        map[enginemodel.ID]*attemptStream{},
		barredAttempts: map[enginemodel.ID]bool{},
		state:          engineapi.StateServing,
		model:          settings.Model,
		weightVersion:  settings.WeightVersion,
		adapters:       settings.Adapters,
		role:           "serve",
		faults:         settings.Faults,
		random:         rand.New(rand.NewPCG(settings.Seed, 1)),
		runCounts:      map[string]int{},
	}
	s.stateChanged = sync.NewCond(&s.mutex)
	s.publisher = newPublisher(s)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathGenerate, s.handleGenerate)
	mux.HandleFunc("POST "+engineapi.PathResume, s.handleResume)
	mux.HandleFunc("POST "+engineapi.PathCancel, s.handleCancel)
	mux.HandleFunc("GET "+engineapi.PathEvents, s.publisher.handleEvents)
	mux.HandleFunc("GET "+engineapi.PathBlocks, s.handleBlocks)
	mux.HandleFunc("POST "+engineapi.PathOrders, s.handleOrder)
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
	go s.runSteps(ctx)
	go s.publisher.run(ctx)
	return s
}

// Address returns the engine's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Incarnation returns the number that identifies this start of the engine.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// Close stops the engine immediately and closes all connections, like a crash.
func (s *Server) Close() {
	s.mutex.Lock()
	s.stopped = true
	s.stateChanged.Broadcast()
	s.mutex.Unlock()
	s.cancel()
	s.http.Close()
	<-s.done
}

// Drain refuses new requests, waits until the running ones have finished and returns when their
// output has been written or ctx is done. The event stream stays open so that routers are
// notified of the drain.
func (s *Server) Drain(ctx context.Context) {
	s.mutex.Lock()
	s.state = engineapi.StateDraining
	s.mutex.Unlock()
	s.publisher.publishNow()
	s.waitUntilIdle()
	finished := make(chan struct{})
	go func() {
		s.openRelays.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// SetFaults replaces the fault settings of the engine.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.stateChanged.Broadcast()
}

// RunCounts returns how often this engine started to run each prompt, by prompt digest.
func (s *Server) RunCounts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.runCounts))
	for digest, count := range s.runCounts {
		counts[digest] = count
	}
	return counts
}

// ComputedTokens returns the number of prompt tokens computed so far.
func (s *Server) ComputedTokens() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.ComputedTokens()
}

// PromptDigest returns the key of a prompt in run counts: the hexadecimal little-endian xxHash64
// of its text.
func PromptDigest(prompt string) string {
	var digest [8]byte
	sum := xxhash.Sum64String(prompt)
	for i := range digest {
		digest[i] = byte(sum >> (8 * i))
	}
	return hex.EncodeToString(digest[:])
}

// runSteps runs the steps of the engine model in real time until the engine stops.
func (s *Server) runSteps(ctx context.Context) {
	defer close(s.done)
	for {
		s.mutex.Lock()
		for !s.stopped && (!s.engine.Busy() || s.faults.Frozen) {
			s.stateChanged.Wait()
		}
		if s.stopped {
			s.mutex.Unlock()
			return
		}
		duration, started := s.engine.BeginStep()
		digests := s.recordStarts(started)
		s.mutex.Unlock()
		s.reportRuns(digests)
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		s.mutex.Lock()
		s.recordOutputs(s.engine.EndStep())
		s.mutex.Unlock()
	}
}

// recordStarts marks the streams of started jobs and counts their runs. It returns the digests of
// their prompts. The caller must hold s.mutex.
func (s *Server) recordStarts(started []enginemodel.Output) []string {
	var digests []string
	for _, output := range started {
		stream := s.streams[output.ID]
		if stream == nil {
			continue
		}
		stream.started = true
		stream.cachedTokens = output.CachedTokens
		digest := PromptDigest(stream.request.Prompt)
		s.runCounts[digest]++
		digests = append(digests, digest)
		stream.notifyChanged()
	}
	return digests
}

// recordOutputs updates the streams with the output of a step. The caller must hold s.mutex.
func (s *Server) recordOutputs(outputs []enginemodel.Output) {
	for _, output := range outputs {
		stream := s.streams[output.ID]
		if stream == nil {
			continue
		}
		stream.producedTokens = output.Offset + output.Count
		if output.Finished {
			stream.finished = true
			id := output.ID
			time.AfterFunc(finishedStreamTTL, func() { s.removeStream(id) })
		}
		stream.notifyChanged()
	}
}

// removeStream removes a finished stream and bars its attempt, so that it can't run again.
func (s *Server) removeStream(id enginemodel.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, id)
	s.barredAttempts[id] = true
}

// reportRuns also counts the runs on the simulated platform, whose counts survive this process.
func (s *Server) reportRuns(promptDigests []string) {
	if s.settings.PlatformAddress == "" {
		return
	}
	for _, digest := range promptDigests {
		response, err := http.Post("http://"+s.settings.PlatformAddress+platformserver.PathRuns, "text/plain", strings.NewReader(digest))
		if err == nil {
			response.Body.Close()
		}
	}
}

func writeRefusal(writer http.ResponseWriter, status int, code engineapi.Code, format string, args ...any) {
	writeJSON(writer, status, engineapi.Refusal{Code: code, Message: fmt.Sprintf(format, args...)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(body)
}

func readJSON(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(io.LimitReader(request.Body, 64<<20)).Decode(body); err != nil {
		writeRefusal(writer, http.StatusBadRequest, engineapi.CodeBadRequest, "%v", err)
		return false
	}
	return true
}

// waitWhileFrozen blocks while the engine is frozen.
func (s *Server) waitWhileFrozen() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.stateChanged.Wait()
	}
}

func (s *Server) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.GenerateRequest
	if !readJSON(writer, request, &body) {
		return
	}
	s.waitWhileFrozen()
	stream, refusal := s.submit(body)
	if refusal != nil {
		refusal.Request, refusal.Attempt = body.Request, body.Attempt
		writeJSON(writer, http.StatusConflict, refusal)
		return
	}
	if s.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	s.relay(writer, request, stream, body.GeneratedTokens)
}

// consumeLostResponse reports whether the response to the current request is to be lost, and
// counts it if so.
func (s *Server) consumeLostResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// submit validates an attempt and queues it in the engine. It returns the attempt's stream, or
// the reason why the attempt was refused.
func (s *Server) submit(body engineapi.GenerateRequest) (*attemptStream, *engineapi.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if refusal := s.validate(body); refusal != nil {
		return nil, refusal
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	prompt := enginemodel.Prompt{Model: body.Model, Adapter: body.Adapter, WeightVersion: body.WeightVersion, Text: body.Prompt}
	totalTokens, endsNaturally := prompt.OutputLength(body.MaxTokens)
	stream := &attemptStream{request: body, prompt: prompt, totalTokens: totalTokens, endsNaturally: endsNaturally, producedTokens: body.GeneratedTokens, changed: make(chan struct{})}
	job := enginemodel.Job{
		ID:                id,
		Chain:             prefix.NewChain(prefix.Salt(body.CacheSalt), body.Prompt, body.BlockBytes),
		BlockTokens:       body.BlockBytes / prefix.BytesPerToken,
		PromptTokens:      max(prefix.EstimateTokens(len(body.Prompt))+body.GeneratedTokens, 1),
		FirstOutputToken:  body.GeneratedTokens,
		TotalOutputTokens: totalTokens,
		Priority:          body.Priority,
	}
	if !s.engine.Submit(job) {
		return nil, &engineapi.Refusal{Code: engineapi.CodeQueueFull, Message: "queue is full"}
	}
	s.streams[id] = stream
	s.stateChanged.Broadcast()
	return stream, nil
}

// validate returns the reason to refuse an attempt, or nil. The caller must hold s.mutex.
func (s *Server) validate(body engineapi.GenerateRequest) *engineapi.Refusal {
	newRefusal := func(code engineapi.Code, format string, args ...any) *engineapi.Refusal {
		return &engineapi.Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	switch {
	case body.Incarnation != s.incarnation:
		return newRefusal(engineapi.CodeIncarnationMismatch, "incarnation is %d", s.incarnation)
	case s.barredAttempts[id]:
		return newRefusal(engineapi.CodeBarred, "attempt is barred")
	case s.streams[id] != nil:
		return newRefusal(engineapi.CodeDuplicateAttempt, "attempt is known")
	case s.state == engineapi.StateDraining:
		return newRefusal(engineapi.CodeDraining, "engine is draining")
	case s.state != engineapi.StateServing || body.Model != s.model || body.WeightVersion != s.weightVersion:
		return newRefusal(engineapi.CodeWeightVersionMismatch, "engine is %s with %s %s", s.state, s.model, s.weightVersion)
	case body.Adapter != "" && !s.hasAdapter(body.Adapter):
		return newRefusal(engineapi.CodeAdapterNotLoaded, "adapter is not loaded")
	case body.MaxTokens < 1 || body.BlockBytes < prefix.BytesPerToken:
		return newRefusal(engineapi.CodeBadRequest, "max_tokens and block_bytes must be positive")
	}
	prompt := enginemodel.Prompt{Model: body.Model, Adapter: body.Adapter, WeightVersion: body.WeightVersion, Text: body.Prompt}
	if prompt.Output(0, body.GeneratedTokens) != body.Generated {
		return newRefusal(engineapi.CodeBadRequest, "generated is not this prompt's output")
	}
	return nil
}

func (s *Server) hasAdapter(adapter string) bool {
	for _, loaded := range s.adapters {
		if loaded == adapter {
			return true
		}
	}
	return false
}

// handleResume streams the output of an attempt from an offset on. It bars an attempt that it
// has never seen, so that a request that arrives late can't start a run.
func (s *Server) handleResume(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.ResumeRequest
	if !readJSON(writer, request, &body) {
		return
	}
	s.waitWhileFrozen()
	refuse := func(code engineapi.Code, format string, args ...any) {
		refusal := engineapi.Refusal{Code: code, Message: fmt.Sprintf(format, args...), Request: body.Request, Attempt: body.Attempt}
		writeJSON(writer, http.StatusConflict, refusal)
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	s.mutex.Lock()
	stream := s.streams[id]
	switch {
	case body.Incarnation != s.incarnation:
		s.mutex.Unlock()
		refuse(engineapi.CodeIncarnationMismatch, "incarnation is %d", s.incarnation)
	case stream == nil && s.barredAttempts[id]:
		s.mutex.Unlock()
		refuse(engineapi.CodeNotResumable, "attempt has ended")
	case stream == nil:
		s.barredAttempts[id] = true
		s.mutex.Unlock()
		refuse(engineapi.CodeNeverSeenAndBarred, "attempt was never seen and is now barred")
	case stream.canceled:
		s.mutex.Unlock()
		refuse(engineapi.CodeNotResumable, "attempt was cancelled")
	default:
		s.mutex.Unlock()
		s.relay(writer, request, stream, body.Offset)
	}
}

// handleCancel cancels an attempt, or bars it if it has never seen it.
func (s *Server) handleCancel(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.CancelRequest
	if !readJSON(writer, request, &body) {
		return
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	s.mutex.Lock()
	stream := s.streams[id]
	if stream == nil {
		s.barredAttempts[id] = true
	} else {
		s.engine.Cancel(id)
		stream.canceled = true
		stream.notifyChanged()
	}
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleBlocks(writer http.ResponseWriter, _ *http.Request) {
	s.waitWhileFrozen()
	writeJSON(writer, http.StatusOK, s.publisher.blockList())
}

func (s *Server) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if !readJSON(writer, request, &faults) {
		return
	}
	s.SetFaults(faults)
	writeJSON(writer, http.StatusOK, faults)
}
