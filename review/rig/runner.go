package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// RunnerConfig describes a runner.
type RunnerConfig struct {
	ID       string
	Software string
	// Weights is the version of its weights.
	Weights uint64
	// Capacity is the number of tokens that fit into its memory.
	Capacity int
	// Handle serves a request of a caller that the runner is the right one for.
	Handle func(r *Runner, writer http.ResponseWriter, request *http.Request)
	// LoadTime is how long an order is under way.
	LoadTime time.Duration
}

// Runner is one model server.
type Runner struct {
	RunnerConfig
	Address string
	site    *Site
	server  *http.Server
	born    uint64

	Cache *Cache
	// reading is held while a piece of a prompt is read.
	reading sync.Mutex

	mutex   sync.Mutex
	weights uint64
	orders  uint64
	fence   uint64
	busy    bool
	running int
	stop    chan struct{}
}

// StartRunner starts a runner. It writes no entry into the store yet.
func (s *Site) StartRunner(config RunnerConfig) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		RunnerConfig: config, Address: listener.Addr().String(), site: s, born: uint64(time.Now().UnixMilli()), weights: config.Weights,
		Cache: NewCache(), stop: make(chan struct{}),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(listener)
	return r, nil
}

// List writes the runner's entry into the store.
func (r *Runner) List() {
	r.mutex.Lock()
	entry := map[string]any{
		"service": Service, "address": r.Address, "zone": Zone, "version": r.Software, "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": Model, "version": r.weights, "adapters": []string{}}}, "seq": r.orders, "born": r.born,
	}
	r.mutex.Unlock()
	r.site.Record.Logf("%s is listed: software %s, weights %d, address %s", r.ID, r.Software, r.CurrentWeights(), r.Address)
	r.site.Store.Put("servers", r.ID, entry)
}

// Unlist removes the runner's entry, as of one that leaves without a word. It serves on.
func (r *Runner) Unlist() {
	r.site.Record.Logf("the entry of %s is gone; it serves on", r.ID)
	r.site.Store.Delete("servers", r.ID)
}

// Close ends the runner.
func (r *Runner) Close() {
	r.site.Record.Logf("%s ends", r.ID)
	r.server.Close()
}

// CurrentWeights returns the version of the weights in force.
func (r *Runner) CurrentWeights() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.weights
}

// IsBusy reports whether an order is under way.
func (r *Runner) IsBusy() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.busy
}

func (r *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get(platform.HeaderRequestID)
	if id != "" {
		header.Set(platform.HeaderRequestID, id)
	}
	if expected := request.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != r.ID {
		header.Set(platform.HeaderInstanceID, r.ID)
		r.reject(writer, http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case platform.PathReport:
		r.writeReport(writer)
	case platform.PathOrder:
		r.takeOrder(writer, request)
	case platform.PathCacheEvents:
		r.Cache.writeEvents(writer, request)
	case platform.PathCacheList:
		r.Cache.writeList(writer)
	case "/healthz":
		header.Set(platform.HeaderInstanceID, r.ID)
		writer.WriteHeader(http.StatusOK)
	default:
		r.takeCall(writer, request)
	}
}

// reject answers that the request was not run.
func (r *Runner) reject(writer http.ResponseWriter, status int) {
	writer.Header().Set(platform.HeaderNotExecuted, "1")
	writer.WriteHeader(status)
}

func (r *Runner) writeReport(writer http.ResponseWriter) {
	r.mutex.Lock()
	report := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": Model, "version": r.weights, "adapters": []string{}}}, "busy": r.busy, "seq": r.orders,
		"queued": 0, "running": r.running, "kv_used": 0, "kv_total": r.Capacity, "handles": 0, "born": r.born,
	}
	r.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(mustJSON(report))
}

type order struct {
	Op       string  `json:"op"`
	Model    string  `json:"model"`
	Version  uint64  `json:"version"`
	Mode     string  `json:"mode"`
	Holder   string  `json:"holder"`
	Fence    uint64  `json:"fence"`
	Expected *uint64 `json:"expected_rev"`
}

// takeOrder carries out an order to take other weights in LoadTime.
func (r *Runner) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var taken order
	err := json.NewDecoder(request.Body).Decode(&taken)
	r.mutex.Lock()
	status := r.orderStatus(taken, err)
	if status != http.StatusBadRequest {
		r.fence = max(r.fence, taken.Fence)
	}
	if status == http.StatusAccepted {
		r.busy = true
		r.orders++
	}
	r.mutex.Unlock()
	r.site.Record.Logf("%s gets the order of version %d, mode %s, by %s, fence %d: %d", r.ID, taken.Version, taken.Mode, taken.Holder, taken.Fence, status)
	writer.WriteHeader(status)
	if status == http.StatusAccepted {
		go r.load(taken.Version)
	}
}

// orderStatus returns the answer to an order. The mutex must be held.
func (r *Runner) orderStatus(taken order, err error) int {
	switch {
	case err != nil || taken.Op != "version" || taken.Holder == "" || taken.Fence == 0:
		return http.StatusBadRequest
	case taken.Fence < r.fence:
		return http.StatusPreconditionFailed
	case r.busy || taken.Expected != nil && *taken.Expected != r.orders:
		return http.StatusConflict
	case taken.Version == r.weights:
		return http.StatusOK
	}
	return http.StatusAccepted
}

func (r *Runner) load(version uint64) {
	time.Sleep(cmp.Or(r.LoadTime, 600*time.Millisecond))
	r.Cache.Clear()
	r.mutex.Lock()
	r.weights, r.busy = version, false
	r.mutex.Unlock()
	r.site.Record.Logf("%s has version %d", r.ID, version)
	r.List()
}

// takeCall serves a request of a caller unless it cannot run here.
func (r *Runner) takeCall(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.mutex.Lock()
	weights, busy := r.weights, r.busy
	r.mutex.Unlock()
	writer.Header().Set(platform.HeaderWeightVersions, strconv.FormatUint(weights, 10))
	expected := request.Header.Get(platform.HeaderExpectWeightVersion)
	switch {
	case expected != "" && expected != strconv.FormatUint(weights, 10):
		r.reject(writer, http.StatusMisdirectedRequest)
		return
	case busy:
		r.reject(writer, http.StatusServiceUnavailable)
		return
	}
	r.site.Record.Logf("%s, software %s, weights %d, runs %s, last event %q", r.ID, r.Software, weights, request.Header.Get(platform.HeaderRequestID), request.Header.Get(platform.HeaderLastEventID))
	r.count(1)
	defer r.count(-1)
	writer.Header().Set(platform.HeaderResponseStamp, fmt.Sprintf("%s.%s", r.ID, request.Header.Get(platform.HeaderRequestID)))
	r.Handle(r, writer, request)
}

func (r *Runner) count(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running += change
}
