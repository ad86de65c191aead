// Package engineserver is a stand-in for a model engine: the engine model
// behind the engine's HTTP interface, in real time, with fault settings. It is
// for tests, demonstrations and experiments only.
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

// PathFaults is where tests set an engine's faults.
const PathFaults = "/lab/faults"

// Times of the stand-in.
const (
	// keepFinished is how long a finished stream can be resumed.
	keepFinished = 30 * time.Second
	// tellInterval is the least time between two events without cache changes.
	tellInterval = 100 * time.Millisecond
)

// Faults are the settings by which tests make an engine fail.
type Faults struct {
	// EventLagMillis delays cache events and load reports.
	EventLagMillis int `json:"event_lag_millis"`
	// EventLoss is the share of events lost, 0 to 1.
	EventLoss float64 `json:"event_loss"`
	// LoseAnswers is how many accepted requests get no answer.
	LoseAnswers int `json:"lose_answers"`
	// CutStreams is how many streams are cut after a few frames.
	CutStreams int `json:"cut_streams"`
	// CrossFrames inserts frames of another attempt and repeats frames.
	CrossFrames bool `json:"cross_frames"`
	// Frozen stops all output and all answers.
	Frozen bool `json:"frozen"`
}

// Settings describe one stand-in engine.
type Settings struct {
	Engine        enginemodel.Settings
	Model         string
	WeightVersion string
	Adapters      []string
	// Platform is the address of the platform stand-in, for weights and the
	// count of runs; "" for none.
	Platform string
	// Faults are in force from the start.
	Faults Faults
	Seed   uint64
}

// stream is one attempt known to the engine.
type stream struct {
	request engineapi.GenerateRequest
	prompt  enginemodel.Prompt
	total   int
	natural bool
	// produced is the number of output tokens so far.
	produced int
	started  bool
	cached   int
	finished bool
	canceled bool
	// changed is closed and replaced on progress.
	changed chan struct{}
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Server is one stand-in engine.
type Server struct {
	settings    Settings
	incarnation uint64
	listener    net.Listener
	http        *http.Server
	cancel      context.CancelFunc
	done        chan struct{}

	mutex     sync.Mutex
	work      *sync.Cond
	engine    *enginemodel.Engine
	streams   map[enginemodel.ID]*stream
	barred    map[enginemodel.ID]bool
	state     engineapi.State
	model     string
	version   string
	adapters  []string
	role      string
	token     uint64
	faults    Faults
	random    *rand.Rand
	publisher *publisher
	runs      map[string]int
	// relays counts the output streams being written.
	relays  sync.WaitGroup
	stopped bool
}

// Start serves the stand-in on the listener until Close or Drain.
func Start(listener net.Listener, settings Settings) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		listener:    listener,
		cancel:      cancel,
		done:        make(chan struct{}),
		engine:      enginemodel.New(settings.Engine),
		streams:     map[enginemodel.ID]*stream{},
		barred:      map[enginemodel.ID]bool{},
		state:       engineapi.StateServing,
		model:       settings.Model,
		version:     settings.WeightVersion,
		adapters:    settings.Adapters,
		role:        "serve",
		faults:      settings.Faults,
		random:      rand.New(rand.NewPCG(settings.Seed, 1)),
		runs:        map[string]int{},
	}
	s.work = sync.NewCond(&s.mutex)
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
	go s.run(ctx)
	go s.publisher.run(ctx)
	return s
}

// Address returns the engine's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Incarnation returns the identity of this engine process.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// Close ends the engine at once, as a crash would.
func (s *Server) Close() {
	s.mutex.Lock()
	s.stopped = true
	s.work.Broadcast()
	s.mutex.Unlock()
	s.cancel()
	s.http.Close()
	<-s.done
}

// Drain refuses new work, and returns when all output streams have been read to
// their end. The event stream stays open so that routers hear of the drain.
func (s *Server) Drain(ctx context.Context) {
	s.mutex.Lock()
	s.state = engineapi.StateDraining
	s.mutex.Unlock()
	s.publisher.tell()
	s.waitIdle()
	finished := make(chan struct{})
	go func() {
		s.relays.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// SetFaults replaces the fault settings.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.work.Broadcast()
}

// Runs returns how often each prompt was begun on this engine, by digest.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runs))
	for prompt, count := range s.runs {
		runs[prompt] = count
	}
	return runs
}

// ComputedTokens returns the prompt tokens computed so far.
func (s *Server) ComputedTokens() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.engine.ComputedTokens()
}

// PromptDigest names a prompt in the counts of runs.
func PromptDigest(prompt string) string {
	var digest [8]byte
	sum := xxhash.Sum64String(prompt)
	for i := range digest {
		digest[i] = byte(sum >> (8 * i))
	}
	return hex.EncodeToString(digest[:])
}

// run is the engine's loop of steps.
func (s *Server) run(ctx context.Context) {
	defer close(s.done)
	for {
		s.mutex.Lock()
		for !s.stopped && (!s.engine.Busy() || s.faults.Frozen) {
			s.work.Wait()
		}
		if s.stopped {
			s.mutex.Unlock()
			return
		}
		duration, started := s.engine.BeginStep()
		begun := s.noteStarted(started)
		s.mutex.Unlock()
		s.reportRuns(begun)
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		s.mutex.Lock()
		s.noteOutputs(s.engine.EndStep())
		s.mutex.Unlock()
	}
}

func (s *Server) noteStarted(started []enginemodel.Output) []string {
	var begun []string
	for _, output := range started {
		entry := s.streams[output.ID]
		if entry == nil {
			continue
		}
		entry.started = true
		entry.cached = output.CachedTokens
		digest := PromptDigest(entry.request.Prompt)
		s.runs[digest]++
		begun = append(begun, digest)
		entry.wake()
	}
	return begun
}

func (s *Server) noteOutputs(outputs []enginemodel.Output) {
	for _, output := range outputs {
		entry := s.streams[output.ID]
		if entry == nil {
			continue
		}
		entry.produced = output.Offset + output.Count
		if output.Finished {
			entry.finished = true
			id := output.ID
			time.AfterFunc(keepFinished, func() { s.forget(id) })
		}
		entry.wake()
	}
}

func (s *Server) forget(id enginemodel.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, id)
	s.barred[id] = true
}

// reportRuns counts runs on the platform stand-in too, where they survive this process.
func (s *Server) reportRuns(digests []string) {
	if s.settings.Platform == "" {
		return
	}
	for _, digest := range digests {
		response, err := http.Post("http://"+s.settings.Platform+platformserver.PathRuns, "text/plain", strings.NewReader(digest))
		if err == nil {
			response.Body.Close()
		}
	}
}

func refuse(writer http.ResponseWriter, status int, code engineapi.Code, format string, args ...any) {
	writeJSON(writer, status, engineapi.Refusal{Code: code, Message: fmt.Sprintf(format, args...)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(body)
}

func readJSON(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(io.LimitReader(request.Body, 64<<20)).Decode(body); err != nil {
		refuse(writer, http.StatusBadRequest, engineapi.CodeBadRequest, "%v", err)
		return false
	}
	return true
}

// waitWhileFrozen holds an answer back while the engine is frozen.
func (s *Server) waitWhileFrozen() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.work.Wait()
	}
}

func (s *Server) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.GenerateRequest
	if !readJSON(writer, request, &body) {
		return
	}
	s.waitWhileFrozen()
	entry, refusal := s.submit(body)
	if refusal != nil {
		writeJSON(writer, http.StatusConflict, refusal)
		return
	}
	if s.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	s.relay(writer, request, entry, body.GeneratedTokens)
}

func (s *Server) takeLostAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// submit checks and queues an attempt.
func (s *Server) submit(body engineapi.GenerateRequest) (*stream, *engineapi.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if refusal := s.check(body); refusal != nil {
		return nil, refusal
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	prompt := enginemodel.Prompt{Model: body.Model, Adapter: body.Adapter, WeightVersion: body.WeightVersion, Text: body.Prompt}
	total, natural := prompt.Length(body.MaxTokens)
	entry := &stream{request: body, prompt: prompt, total: total, natural: natural, produced: body.GeneratedTokens, changed: make(chan struct{})}
	job := enginemodel.Job{
		ID:           id,
		Chain:        prefix.NewChain(prefix.Salt(body.CacheSalt), body.Prompt, body.BlockBytes),
		BlockTokens:  body.BlockBytes / prefix.BytesPerToken,
		PromptTokens: max(prefix.EstimateTokens(len(body.Prompt))+body.GeneratedTokens, 1),
		FirstToken:   body.GeneratedTokens,
		TotalTokens:  total,
		Priority:     body.Priority,
	}
	if !s.engine.Submit(job) {
		return nil, &engineapi.Refusal{Code: engineapi.CodeQueueFull, Message: "queue is full"}
	}
	s.streams[id] = entry
	s.work.Broadcast()
	return entry, nil
}

func (s *Server) check(body engineapi.GenerateRequest) *engineapi.Refusal {
	no := func(code engineapi.Code, format string, args ...any) *engineapi.Refusal {
		return &engineapi.Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	switch {
	case body.Incarnation != s.incarnation:
		return no(engineapi.CodeIncarnationMismatch, "incarnation is %d", s.incarnation)
	case s.barred[id]:
		return no(engineapi.CodeBarred, "attempt is barred")
	case s.streams[id] != nil:
		return no(engineapi.CodeDuplicateAttempt, "attempt is known")
	case s.state == engineapi.StateDraining:
		return no(engineapi.CodeDraining, "engine is draining")
	case s.state != engineapi.StateServing || body.Model != s.model || body.WeightVersion != s.version:
		return no(engineapi.CodeWeightVersionMismatch, "engine is %s with %s %s", s.state, s.model, s.version)
	case body.Adapter != "" && !s.hasAdapter(body.Adapter):
		return no(engineapi.CodeAdapterNotLoaded, "adapter is not loaded")
	case body.MaxTokens < 1 || body.BlockBytes < prefix.BytesPerToken:
		return no(engineapi.CodeBadRequest, "max_tokens and block_bytes must be positive")
	}
	prompt := enginemodel.Prompt{Model: body.Model, Adapter: body.Adapter, WeightVersion: body.WeightVersion, Text: body.Prompt}
	if prompt.Output(0, body.GeneratedTokens) != body.Generated {
		return no(engineapi.CodeBadRequest, "generated is not this prompt's output")
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

func (s *Server) handleResume(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.ResumeRequest
	if !readJSON(writer, request, &body) {
		return
	}
	s.waitWhileFrozen()
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	s.mutex.Lock()
	entry := s.streams[id]
	switch {
	case body.Incarnation != s.incarnation:
		s.mutex.Unlock()
		refuse(writer, http.StatusConflict, engineapi.CodeIncarnationMismatch, "incarnation is %d", s.incarnation)
	case entry == nil && s.barred[id]:
		s.mutex.Unlock()
		refuse(writer, http.StatusConflict, engineapi.CodeNotResumable, "attempt has ended")
	case entry == nil:
		s.barred[id] = true
		s.mutex.Unlock()
		refuse(writer, http.StatusConflict, engineapi.CodeNeverSeenAndBarred, "attempt was never seen and is now barred")
	case entry.canceled:
		s.mutex.Unlock()
		refuse(writer, http.StatusConflict, engineapi.CodeNotResumable, "attempt was cancelled")
	default:
		s.mutex.Unlock()
		s.relay(writer, request, entry, body.Offset)
	}
}

func (s *Server) handleCancel(writer http.ResponseWriter, request *http.Request) {
	var body engineapi.CancelRequest
	if !readJSON(writer, request, &body) {
		return
	}
	id := enginemodel.ID{Request: body.Request, Attempt: body.Attempt}
	s.mutex.Lock()
	entry := s.streams[id]
	if entry == nil {
		s.barred[id] = true
	} else {
		s.engine.Cancel(id)
		entry.canceled = true
		entry.wake()
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
