package storestand

import (
	"encoding/json"
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

// Fault is how the store treats the calls of one door.
type Fault uint8

// The faults.
const (
	// Healthy serves.
	Healthy Fault = iota
	// Busy refuses all calls with 503.
	Busy
	// Throttled refuses all calls with 429.
	Throttled
	// Silent answers nothing.
	Silent
	// Reset breaks the connection.
	Reset
	// Loses does writes but breaks the connection in place of the answer.
	Loses
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{"healthy", "busy", "throttled", "silent", "reset", "loses answers"}[f]
}

// pageSize is how many objects a list returns at once.
const pageSize = 3

// Door is one address of the store, with its own faults.
type Door struct {
	Address string
	store   *Store
	server  *http.Server
	mutex   sync.Mutex
	fault   Fault
	calls   int
	// stale counts the lists among them that may be old.
	stale int
	// lost holds, for each kind, what ends the watches that wait now without an answer.
	lost map[string]chan struct{}
	// past holds, for each kind whose watches are answered from the past, the revision
	// that they are answered at.
	past map[string]uint64
}

// Open serves the store at a free loopback address.
func (s *Store) Open() (*Door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	door := &Door{Address: listener.Addr().String(), store: s, lost: map[string]chan struct{}{}, past: map[string]uint64{}}
	door.server = &http.Server{Handler: http.HandlerFunc(door.serve)}
	go door.server.Serve(listener)
	return door, nil
}

// Calls returns how many calls came to the door.
func (d *Door) Calls() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.calls
}

// StaleLists returns how many of the calls were lists that may be old.
func (d *Door) StaleLists() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stale
}

// Close ends the door.
func (d *Door) Close() { d.server.Close() }

// Set changes how calls are treated, waiting ones included.
func (d *Door) Set(fault Fault) {
	d.mutex.Lock()
	d.fault = fault
	d.mutex.Unlock()
	d.store.mutex.Lock()
	d.store.wake()
	d.store.mutex.Unlock()
}

// LoseWatches leaves the watches of the kind that wait now without any answer; new ones
// are answered.
func (d *Door) LoseWatches(kind string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if lost := d.lost[kind]; lost != nil {
		close(lost)
		delete(d.lost, kind)
	}
}

// lostWatches is closed when watches of the kind that wait now are lost.
func (d *Door) lostWatches(kind string) <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lost[kind] == nil {
		d.lost[kind] = make(chan struct{})
	}
	return d.lost[kind]
}

// AnswerAt has watches of the kinds answered as a replica would that stands at the revision.
func (d *Door) AnswerAt(revision uint64, kinds ...string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, kind := range kinds {
		d.past[kind] = revision
	}
}

// CatchUp has all watches answered with what is newest again.
func (d *Door) CatchUp() {
	d.mutex.Lock()
	clear(d.past)
	d.mutex.Unlock()
	d.store.mutex.Lock()
	d.store.wake()
	d.store.mutex.Unlock()
}

// since returns what a watch of the kind is answered with now.
func (d *Door) since(kind string, from uint64) (events []Event, at uint64, gone bool, changed chan struct{}) {
	d.mutex.Lock()
	past, behind := d.past[kind]
	d.mutex.Unlock()
	events, at, gone, changed = d.store.since(kind, from)
	if behind {
		at = min(at, past)
		events = slices.DeleteFunc(events, func(event Event) bool { return event.Object.Metadata.Revision > past })
	}
	return events, at, gone, changed
}

func (d *Door) current() Fault {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fault
}

func (d *Door) serve(writer http.ResponseWriter, request *http.Request) {
	d.mutex.Lock()
	d.calls++
	if request.URL.Query().Has("stale") {
		d.stale++
	}
	d.mutex.Unlock()
	writer = d.store.inOneEra(writer)
	if d.refuse(writer, request) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, platform.PathObjects), "/")
	switch {
	case request.Method == http.MethodGet && request.URL.Query().Has("watch"):
		d.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		d.store.list(writer, kind, request.URL.Query().Get("after"))
	case request.Method == http.MethodGet:
		object, found := d.store.Get(kind, name)
		if !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		answer(writer, http.StatusOK, object)
	default:
		d.change(writer, request, kind, name)
	}
}

// refuse treats the call as the fault says and tells whether it is done.
func (d *Door) refuse(writer http.ResponseWriter, request *http.Request) bool {
	switch d.current() {
	case Busy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case Throttled:
		writer.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-request.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

func (s *Store) list(writer http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []Object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mutex.Unlock()
	answer(writer, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (d *Door) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	lost := d.lostWatches(kind)
	for over := false; ; {
		events, at, gone, changed := d.since(kind, from)
		if gone {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-lost:
			<-request.Context().Done()
			return
		case <-request.Context().Done():
			return
		}
		if d.refuse(writer, request) {
			return
		}
		checkEra(writer)
	}
}

func (d *Door) change(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var body Object
	if request.Method != http.MethodDelete && json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, object := d.store.apply(request.Method, kind, name, body)
	if d.current() == Loses {
		panic(http.ErrAbortHandler)
	}
	answer(writer, status, object)
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(writer).Encode(body)
}
