package storestand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Fault is how the store treats the calls at one endpoint.
type Fault uint8

// Faults of an endpoint.
const (
	// Healthy responds to calls.
	Healthy Fault = iota
	// Busy refuses all calls with status 503.
	Busy
	// Throttled refuses all calls with status 429.
	Throttled
	// Hangs leaves all calls without a response.
	Hangs
	// Reset closes the connections of all calls without a response.
	Reset
	// LosesResponses applies writes but closes the connection instead of responding to them.
	LosesResponses
)

// String returns the name of the fault in logs.
func (f Fault) String() string {
	return [...]string{"healthy", "busy", "throttled", "silent", "reset", "loses answers"}[f]
}

// defaultListPage is the maximum number of objects in a page of a list unless SetListPage sets another.
const defaultListPage = 3

// Endpoint is an address at which the store is served. Each endpoint has its own fault. It is
// safe for concurrent use.
type Endpoint struct {
	Address   string
	store     *Store
	server    *http.Server
	mutex     sync.Mutex
	fault     Fault
	callCount int
	// staleListCount counts the calls that accept stale lists.
	staleListCount int
	// abandoned holds, for each kind, a channel that is closed to leave the pending watches
	// without a response.
	abandoned map[string]chan struct{}
	// replicaRevisions holds, by kind, the latest revision that watches return. Watches of other
	// kinds return changes up to the latest revision.
	replicaRevisions map[string]uint64
	// heldLists holds, by kind, the channel that is closed when the held pages of lists are answered.
	heldLists map[string]chan struct{}
}

// OpenEndpoint serves the store at a free loopback address.
func (s *Store) OpenEndpoint() (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{Address: listener.Addr().String(), store: s, abandoned: map[string]chan struct{}{}, replicaRevisions: map[string]uint64{}, heldLists: map[string]chan struct{}{}}
	endpoint.server = &http.Server{Handler: http.HandlerFunc(endpoint.serve)}
	go endpoint.server.Serve(listener)
	return endpoint, nil
}

// CallCount returns the number of calls that reached the endpoint.
func (e *Endpoint) CallCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.callCount
}

// StaleListCount returns the number of calls that accept stale lists.
func (e *Endpoint) StaleListCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.staleListCount
}

// Close stops the endpoint immediately.
func (e *Endpoint) Close() { e.server.Close() }

// SetFault sets the fault for new calls and pending watches.
func (e *Endpoint) SetFault(fault Fault) {
	e.mutex.Lock()
	e.fault = fault
	e.mutex.Unlock()
	e.store.mutex.Lock()
	e.store.notifyWatchers()
	e.store.mutex.Unlock()
}

// AbandonWatches leaves the pending watches of the kind without a response. New watches get
// one.
func (e *Endpoint) AbandonWatches(kind string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if abandoned := e.abandoned[kind]; abandoned != nil {
		close(abandoned)
		delete(e.abandoned, kind)
	}
}

// HoldListPages leaves all pages but the first of lists of the kind without a response until release is
// called.
func (e *Endpoint) HoldListPages(kind string) (release func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := make(chan struct{})
	e.heldLists[kind] = held
	return sync.OnceFunc(func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.heldLists, kind)
		close(held)
	})
}

// awaitListPage waits while the page of a list is held. It returns false if the call ends first.
func (e *Endpoint) awaitListPage(request *http.Request, kind string) bool {
	e.mutex.Lock()
	held := e.heldLists[kind]
	e.mutex.Unlock()
	if held == nil || !request.URL.Query().Has("after") {
		return true
	}
	select {
	case <-held:
		return true
	case <-request.Context().Done():
		return false
	}
}

// watchesAbandoned returns a channel that is closed when the pending watches of the kind are
// abandoned.
func (e *Endpoint) watchesAbandoned(kind string) <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.abandoned[kind] == nil {
		e.abandoned[kind] = make(chan struct{})
	}
	return e.abandoned[kind]
}

// SetReplicaRevision makes watches of the kinds respond like a replica that has not received
// changes after the revision.
func (e *Endpoint) SetReplicaRevision(revision uint64, kinds ...string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, kind := range kinds {
		e.replicaRevisions[kind] = revision
	}
}

// CatchUp makes all watches return changes up to the latest revision again.
func (e *Endpoint) CatchUp() {
	e.mutex.Lock()
	clear(e.replicaRevisions)
	e.mutex.Unlock()
	e.store.mutex.Lock()
	e.store.notifyWatchers()
	e.store.mutex.Unlock()
}

// eventsSince is like Store.eventsSince, but without changes that the replica has not received.
func (e *Endpoint) eventsSince(kind string, fromRevision uint64) (events []Event, atRevision uint64, compacted bool, changed chan struct{}) {
	e.mutex.Lock()
	replicaRevision, isReplica := e.replicaRevisions[kind]
	e.mutex.Unlock()
	events, atRevision, compacted, changed = e.store.eventsSince(kind, fromRevision)
	if isReplica {
		atRevision = min(atRevision, replicaRevision)
		events = slices.DeleteFunc(events, func(event Event) bool { return event.Object.Metadata.Revision > replicaRevision })
	}
	return events, atRevision, compacted, changed
}

func (e *Endpoint) currentFault() Fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault
}

// serve applies the fault of the endpoint to a call, or handles the call.
func (e *Endpoint) serve(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	e.callCount++
	if request.URL.Query().Has("stale") {
		e.staleListCount++
	}
	e.mutex.Unlock()
	writer = e.store.bindToEra(writer)
	if e.applyFault(writer, request) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, platform.PathObjects), "/")
	switch {
	case request.Method == http.MethodGet && request.URL.Query().Has("watch"):
		e.handleWatch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		if e.awaitListPage(request, kind) {
			e.store.writeList(writer, kind, request.URL.Query().Get("after"))
		}
	case request.Method == http.MethodGet:
		object, found := e.store.Get(kind, name)
		if !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(writer, http.StatusOK, object.encode())
	default:
		e.handleChange(writer, request, kind, name)
	}
}

// applyFault applies the current fault to the call. It returns true if the call must not be
// processed further.
func (e *Endpoint) applyFault(writer http.ResponseWriter, request *http.Request) bool {
	switch e.currentFault() {
	case Busy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case Throttled:
		writer.WriteHeader(http.StatusTooManyRequests)
	case Hangs:
		<-request.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// writeList writes a page of the objects of the kind, ordered by name, that starts after the
// given name.
func (s *Store) writeList(writer http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > s.listPage
	names = names[:min(len(names), s.listPage)]
	var items [][]byte
	for _, name := range names {
		items = append(items, s.objects[kind][name].encode())
	}
	listRevision := s.revision
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, fmt.Appendf(nil, `{"items":%s,"more":%t,"at":%d}`, joinArray(items), more, listRevision))
}

// handleWatch responds as soon as there are changes after the watched revision, or without any
// at the end of the requested wait.
func (e *Endpoint) handleWatch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	fromRevision, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	abandoned := e.watchesAbandoned(kind)
	for expired := false; ; {
		events, atRevision, compacted, changed := e.eventsSince(kind, fromRevision)
		if compacted {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			writeJSON(writer, http.StatusOK, encodeEvents(events, atRevision))
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-abandoned:
			<-request.Context().Done()
			return
		case <-request.Context().Done():
			return
		}
		if e.applyFault(writer, request) {
			return
		}
		abortCallIfRestored(writer)
	}
}

func (e *Endpoint) handleChange(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var body Object
	if request.Method != http.MethodDelete && json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if inQuery := request.URL.Query().Get("revision"); inQuery != "" {
		revision, err := strconv.ParseUint(inQuery, 10, 64)
		if err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		body.Metadata.Revision = revision
	}
	status, object := e.store.applyRequest(request.Method, kind, name, body)
	if e.currentFault() == LosesResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, status, object.encode())
}

// encodeEvents returns the body of the response to a watch.
func encodeEvents(events []Event, atRevision uint64) []byte {
	var encoded [][]byte
	for _, event := range events {
		encoded = append(encoded, fmt.Appendf(nil, `{"gone":%t,"object":%s}`, event.Deleted, event.Object.encode()))
	}
	return fmt.Appendf(nil, `{"events":%s,"at":%d}`, joinArray(encoded), atRevision)
}

// joinArray returns the array of the encoded values.
func joinArray(values [][]byte) []byte {
	return slices.Concat([]byte("["), bytes.Join(values, []byte(",")), []byte("]"))
}

// writeJSON writes a response. Writes fail only if the client has disconnected.
func writeJSON(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}
