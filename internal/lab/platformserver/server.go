package platformserver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// Paths of the stand-in beside the object API.
const (
	PathFaults   = "/lab/faults"
	PathCounters = "/lab/counters"
	PathMachines = "/lab/machines"
	PathRuns     = "/lab/runs"
	PathWeights  = "/weights/"
)

// Sizes and times of the stand-in.
const (
	bookmarkInterval = time.Second
	maxBodyBytes     = 1 << 20
)

// Settings are the weight store's speed.
type Settings struct {
	// LoadTime is how long one load takes.
	LoadTime time.Duration
	// LoadsAtOnce is how many loads run at full speed.
	LoadsAtOnce int
}

// DefaultSettings returns the weight store of the larger of today's deployments.
func DefaultSettings() Settings {
	return Settings{LoadTime: 500 * time.Millisecond, LoadsAtOnce: 3}
}

// Server is the stand-in.
type Server struct {
	settings Settings
	store    *store
	loading  atomic.Int64
	// mostLoading is the highest number of loads seen at once.
	mostLoading atomic.Int64
	listener    net.Listener
	http        *http.Server
}

// Start serves the stand-in on the listener until Close.
func Start(listener net.Listener, settings Settings) *Server {
	s := &Server{settings: settings, store: newStore(), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathObjects, s.api(s.handleList))
	mux.HandleFunc("GET "+platform.PathObjects+"/{kind}/{name}", s.api(s.handleGet))
	mux.HandleFunc("PUT "+platform.PathObjects+"/{kind}/{name}", s.api(s.handlePut))
	mux.HandleFunc("DELETE "+platform.PathObjects+"/{kind}/{name}", s.api(s.handleDelete))
	mux.HandleFunc("PUT "+platform.PathStatus+"/{kind}/{name}", s.api(s.handleStatus))
	mux.HandleFunc("GET "+platform.PathWatch, s.api(s.handleWatch))
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	mux.HandleFunc("GET "+PathCounters, s.handleCounters)
	mux.HandleFunc("POST "+PathMachines, s.handleMachines)
	mux.HandleFunc("POST "+PathRuns, s.handleRun)
	mux.HandleFunc("GET "+PathRuns, s.handleRuns)
	mux.HandleFunc("GET "+PathWeights+"{source}", s.handleWeights)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
	return s
}

// Address returns the stand-in's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the stand-in at once.
func (s *Server) Close() { s.http.Close() }

// SetFaults replaces the fault settings.
func (s *Server) SetFaults(faults Faults) { s.store.setFaults(faults) }

// Counters returns the counts of readers and writers.
func (s *Server) Counters() Counters {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.store.counters
}

// SetMachine changes the machine list, visible after the lag.
func (s *Server) SetMachine(name string, spec v1.MachineSpec) {
	encoded, _ := json.Marshal(spec)
	s.store.setMachine(v1.Object{Kind: v1.KindMachine, Name: name, Spec: encoded})
}

// RemoveMachine takes a machine off the list, visible after the lag.
func (s *Server) RemoveMachine(name string) {
	s.store.setMachine(v1.Object{Kind: v1.KindMachine, Name: name, Deleted: true})
}

// Runs returns how often each prompt was run, by the prompt's digest.
func (s *Server) Runs() map[string]int {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	runs := make(map[string]int, len(s.store.runs))
	for prompt, count := range s.store.runs {
		runs[prompt] = count
	}
	return runs
}

// MostLoading returns the highest number of weight loads seen at once.
func (s *Server) MostLoading() int { return int(s.mostLoading.Load()) }

// api applies the fault settings to a handler of the object API.
func (s *Server) api(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		faults := s.store.currentFaults()
		if faults.SlowMillis > 0 {
			time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
		}
		if faults.Down {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		handler(writer, request)
	}
}

func keyOf(request *http.Request) v1.Key {
	return v1.Key{Kind: v1.Kind(request.PathValue("kind")), Name: request.PathValue("name")}
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(body)
}

func (s *Server) handleList(writer http.ResponseWriter, _ *http.Request) {
	reply(writer, http.StatusOK, s.store.list())
}

func (s *Server) handleGet(writer http.ResponseWriter, request *http.Request) {
	object, found := s.store.get(keyOf(request))
	if !found {
		http.Error(writer, "not found", http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, object)
}

func (s *Server) handlePut(writer http.ResponseWriter, request *http.Request) {
	var object v1.Object
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&object); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	key := keyOf(request)
	object.Kind, object.Name, object.Deleted = key.Kind, key.Name, false
	stored, accepted := s.store.put(object)
	if s.store.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	if !accepted {
		reply(writer, http.StatusConflict, stored)
		return
	}
	reply(writer, http.StatusOK, stored)
}

func (s *Server) handleDelete(writer http.ResponseWriter, request *http.Request) {
	version, err := strconv.ParseUint(request.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(writer, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	found, matched := s.store.delete(keyOf(request), version)
	if s.store.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case !found:
		http.Error(writer, "not found", http.StatusNotFound)
	case !matched:
		http.Error(writer, "conflict", http.StatusConflict)
	default:
		reply(writer, http.StatusOK, struct{}{})
	}
}

func (s *Server) handleStatus(writer http.ResponseWriter, request *http.Request) {
	var status v1.Status
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&status); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.store.putStatus(keyOf(request), status) {
		http.Error(writer, "not found", http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	revision, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(writer, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.store.mutex.Lock()
	s.store.counters.Watches++
	s.store.mutex.Unlock()
	bookmark := time.NewTicker(bookmarkInterval)
	defer bookmark.Stop()
	encoder := json.NewEncoder(writer)
	started := false
	for {
		batch, changed, kept := s.store.since(revision)
		if !kept && !started {
			http.Error(writer, "gone", http.StatusGone)
			return
		}
		if !kept || s.store.currentFaults().Down {
			return
		}
		started = true
		if encoder.Encode(batch) != nil {
			return
		}
		writer.(http.Flusher).Flush()
		revision = max(revision, batch.Revision)
		select {
		case <-changed:
		case <-bookmark.C:
		case <-request.Context().Done():
			return
		}
	}
}

func (s *Server) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.setFaults(faults)
	reply(writer, http.StatusOK, faults)
}

func (s *Server) handleCounters(writer http.ResponseWriter, _ *http.Request) {
	reply(writer, http.StatusOK, s.Counters())
}

func (s *Server) handleMachines(writer http.ResponseWriter, request *http.Request) {
	var object v1.Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	object.Kind = v1.KindMachine
	s.store.setMachine(object)
	reply(writer, http.StatusOK, object)
}

func (s *Server) handleRun(writer http.ResponseWriter, request *http.Request) {
	digest, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.countRun(string(digest))
	reply(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleRuns(writer http.ResponseWriter, _ *http.Request) {
	reply(writer, http.StatusOK, s.Runs())
}

// handleWeights takes the time of a load, longer when too many run at once.
func (s *Server) handleWeights(writer http.ResponseWriter, request *http.Request) {
	active := s.loading.Add(1)
	defer s.loading.Add(-1)
	for most := s.mostLoading.Load(); active > most && !s.mostLoading.CompareAndSwap(most, active); most = s.mostLoading.Load() {
	}
	slowdown := max(float64(active)/float64(max(s.settings.LoadsAtOnce, 1)), 1)
	select {
	case <-time.After(time.Duration(float64(s.settings.LoadTime) * slowdown)):
	case <-request.Context().Done():
		return
	}
	reply(writer, http.StatusOK, struct{}{})
}
