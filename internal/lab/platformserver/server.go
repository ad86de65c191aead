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

// Paths of the control interface for tests and of the weight store. They are served in addition
// to the paths of the object API.
const (
	PathFaults   = "/lab/faults"
	PathCounters = "/lab/counters"
	PathMachines = "/lab/machines"
	PathRuns     = "/lab/runs"
	PathWeights  = "/weights/"
)

// Intervals and limits of the server.
const (
	// bookmarkInterval is the maximum time between two batches of a watch; a batch without
	// changes is a bookmark.
	bookmarkInterval = time.Second
	maxBodyBytes     = 1 << 20
)

// Settings configures the speed of the weight store.
type Settings struct {
	// LoadTime is how long a load takes at full speed.
	LoadTime time.Duration
	// ConcurrentLoads is the number of concurrent loads up to which each runs at full speed.
	// More loads share that throughput.
	ConcurrentLoads int
}

// DefaultSettings returns the speed of the weight store in the larger of the users' two current
// deployments.
func DefaultSettings() Settings {
	return Settings{LoadTime: 500 * time.Millisecond, ConcurrentLoads: 3}
}

// Server is a simulated platform.
type Server struct {
	settings    Settings
	store       *store
	activeLoads atomic.Int64
	// maxActiveLoads is the highest value of activeLoads so far.
	maxActiveLoads atomic.Int64
	listener       net.Listener
	http           *http.Server
}

// Start serves the platform's API on the listener until Close.
func Start(listener net.Listener, settings Settings) *Server {
	s := &Server{settings: settings, store: newStore(), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathObjects, s.withFaults(s.handleList))
	mux.HandleFunc("GET "+platform.PathObjects+"/{kind}/{name}", s.withFaults(s.handleGet))
	mux.HandleFunc("PUT "+platform.PathObjects+"/{kind}/{name}", s.withFaults(s.handlePut))
	mux.HandleFunc("DELETE "+platform.PathObjects+"/{kind}/{name}", s.withFaults(s.handleDelete))
	mux.HandleFunc("PUT "+platform.PathStatus+"/{kind}/{name}", s.withFaults(s.handleStatus))
	mux.HandleFunc("GET "+platform.PathWatch, s.withFaults(s.handleWatch))
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	mux.HandleFunc("GET "+PathCounters, s.handleCounters)
	mux.HandleFunc("POST "+PathMachines, s.handleMachines)
	mux.HandleFunc("POST "+PathRuns, s.handleRunReport)
	mux.HandleFunc("GET "+PathRuns, s.handleRunCounts)
	mux.HandleFunc("GET "+PathWeights+"{source}", s.handleWeights)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
	return s
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes all connections immediately.
func (s *Server) Close() { s.http.Close() }

// SetFaults replaces the fault settings of the platform.
func (s *Server) SetFaults(faults Faults) { s.store.setFaults(faults) }

// Counters returns the number of requests per operation so far.
func (s *Server) Counters() Counters {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.store.counters
}

// SetMachine adds or replaces a machine of the machine list. The change becomes visible after
// Faults.MachineLagMillis.
func (s *Server) SetMachine(name string, spec v1.MachineSpec) {
	encoded, _ := json.Marshal(spec)
	s.store.setMachine(v1.Object{Kind: v1.KindMachine, Name: name, Spec: encoded})
}

// RemoveMachine removes a machine from the machine list. The change becomes visible after
// Faults.MachineLagMillis.
func (s *Server) RemoveMachine(name string) {
	s.store.setMachine(v1.Object{Kind: v1.KindMachine, Name: name, Deleted: true})
}

// RunCounts returns how often engines reported the start of a run, by prompt digest.
func (s *Server) RunCounts() map[string]int {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	counts := make(map[string]int, len(s.store.runCounts))
	for digest, count := range s.store.runCounts {
		counts[digest] = count
	}
	return counts
}

// MaxActiveLoads returns the highest number of concurrent weight loads so far.
func (s *Server) MaxActiveLoads() int { return int(s.maxActiveLoads.Load()) }

// withFaults wraps a handler of the object API so that it is delayed or fails as the fault
// settings say.
func (s *Server) withFaults(handler http.HandlerFunc) http.HandlerFunc {
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

func objectKey(request *http.Request) v1.Key {
	return v1.Key{Kind: v1.Kind(request.PathValue("kind")), Name: request.PathValue("name")}
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(body)
}

func (s *Server) handleList(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.store.list())
}

func (s *Server) handleGet(writer http.ResponseWriter, request *http.Request) {
	object, found := s.store.get(objectKey(request))
	if !found {
		http.Error(writer, "not found", http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, object)
}

func (s *Server) handlePut(writer http.ResponseWriter, request *http.Request) {
	var object v1.Object
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&object); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	key := objectKey(request)
	object.Kind, object.Name, object.Deleted = key.Kind, key.Name, false
	stored, accepted := s.store.put(object)
	if s.store.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	if !accepted {
		writeJSON(writer, http.StatusConflict, stored)
		return
	}
	writeJSON(writer, http.StatusOK, stored)
}

func (s *Server) handleDelete(writer http.ResponseWriter, request *http.Request) {
	version, err := strconv.ParseUint(request.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(writer, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	found, versionMatched := s.store.delete(objectKey(request), version)
	if s.store.consumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case !found:
		http.Error(writer, "not found", http.StatusNotFound)
	case !versionMatched:
		http.Error(writer, "conflict", http.StatusConflict)
	default:
		writeJSON(writer, http.StatusOK, struct{}{})
	}
}

func (s *Server) handleStatus(writer http.ResponseWriter, request *http.Request) {
	var status v1.Status
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&status); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.store.putStatus(objectKey(request), status) {
		http.Error(writer, "not found", http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// handleWatch sends batches of changes until the request ends or the platform is down. If the history
// does not reach back to the requested revision, it responds with status 410.
func (s *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	revision, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(writer, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.store.mutex.Lock()
	s.store.counters.Watches++
	s.store.mutex.Unlock()
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	encoder := json.NewEncoder(writer)
	started := false
	for {
		batch, changed, available := s.store.changesSince(revision)
		if !available && !started {
			http.Error(writer, "gone", http.StatusGone)
			return
		}
		if !available || s.store.currentFaults().Down {
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
		case <-bookmarks.C:
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
	writeJSON(writer, http.StatusOK, faults)
}

func (s *Server) handleCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.Counters())
}

func (s *Server) handleMachines(writer http.ResponseWriter, request *http.Request) {
	var object v1.Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	object.Kind = v1.KindMachine
	s.store.setMachine(object)
	writeJSON(writer, http.StatusOK, object)
}

func (s *Server) handleRunReport(writer http.ResponseWriter, request *http.Request) {
	digest, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.countRun(string(digest))
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleRunCounts(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.RunCounts())
}

// handleWeights responds after the time that a load takes, which grows in proportion to the
// number of concurrent loads above Settings.ConcurrentLoads.
func (s *Server) handleWeights(writer http.ResponseWriter, request *http.Request) {
	current := s.activeLoads.Add(1)
	defer s.activeLoads.Add(-1)
	for highest := s.maxActiveLoads.Load(); current > highest && !s.maxActiveLoads.CompareAndSwap(highest, current); highest = s.maxActiveLoads.Load() {
	}
	slowdown := max(float64(current)/float64(max(s.settings.ConcurrentLoads, 1)), 1)
	select {
	case <-time.After(time.Duration(float64(s.settings.LoadTime) * slowdown)):
	case <-request.Context().Done():
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}
