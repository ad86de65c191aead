// Package storestand provides a simulated platform store in memory for tests. It holds
// objects by kind and name under one revision counter, and serves lists, watches and conditional
// writes. Its endpoints inject the faults that the documentation of the platform describes.
package storestand

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
)

// Metadata is the part of an object that the store maintains.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	// compose returns the bytes of the object in responses, nil for its JSON encoding.
	compose func(metadata string) string
}

// encode returns the bytes of the object in responses.
func (o Object) encode() []byte {
	if o.compose == nil {
		return mustEncode(o)
	}
	return []byte(o.compose(string(mustEncode(o.Metadata))))
}

// mustEncode returns the JSON encoding of a value that has one.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Event is a change of an object. Deleted is set if the object was deleted.
type Event struct {
	Deleted bool   `json:"gone"`
	Object  Object `json:"object"`
}

// Store is a simulated store. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	// history holds the changes by kind, ordered by revision.
	history map[string][]Event
	// compactedRevision is the revision up to which the history has been dropped.
	compactedRevision uint64
	changed           chan struct{}
	// era is 1 plus the number of restores.
	era uint64
	// watchPage is the maximum number of changes in one response to a watch, 0 for no limit.
	watchPage int
	// listPage is the maximum number of objects in a page of a list.
	listPage int
	// formatEra formats the era for the header of responses, empty to omit the header.
	formatEra func(era uint64) string
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]map[string]Object{}, history: map[string][]Event{}, changed: make(chan struct{}), era: 1, listPage: defaultListPage, formatEra: formatDecimalEra}
}

// Put creates or replaces an object unconditionally, like the operator or a runner, and returns
// its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	encoded := mustEncode(spec)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writeLocked(kind, name, encoded).Metadata.Revision
}

// PutRaw creates or replaces an object whose bytes in responses are those that compose returns, like another
// program that writes what routers cannot decode. compose is called with the JSON encoding of the object's metadata.
func (s *Store) PutRaw(kind, name string, compose func(metadata string) string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.putLocked(kind, name, func(object *Object) { object.Spec, object.compose = nil, compose }).Metadata.Revision
}

// PutRawSpec creates or replaces an object whose spec has the given bytes.
func (s *Store) PutRawSpec(kind, name, spec string) uint64 {
	return s.PutRaw(kind, name, func(metadata string) string { return `{"metadata":` + metadata + `,"spec":` + spec + `}` })
}

// SetWatchPage limits the number of changes in one response to a watch. The revision of a
// limited response is that of its last change.
func (s *Store) SetWatchPage(changes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchPage = changes
}

// SetListPage limits the number of objects in a page of a list.
func (s *Store) SetListPage(objects int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listPage = objects
}

// Delete deletes an object.
func (s *Store) Delete(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeLocked(kind, name)
}

// removeLocked deletes an object if it exists. The mutex must be held.
func (s *Store) removeLocked(kind, name string) {
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Metadata.Revision = s.revision
	s.history[kind] = append(s.history[kind], Event{Deleted: true, Object: object})
	s.notifyWatchers()
}

// CompactHistory drops the history of all kinds, so that watches from before have to list again.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = map[string][]Event{}, s.revision
	s.notifyWatchers()
}

// Get returns an object, and whether it exists.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	return object, found
}

// Specs returns the specs of the objects of the kind as JSON, in no particular order.
func (s *Store) Specs(kind string) (specs []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, object := range s.objects[kind] {
		specs = append(specs, string(object.Spec))
	}
	return specs
}

// notifyWatchers wakes the pending watches. The mutex must be held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeLocked creates or replaces an object. The mutex must be held.
func (s *Store) writeLocked(kind, name string, spec json.RawMessage) Object {
	return s.putLocked(kind, name, func(object *Object) { object.Spec, object.compose = spec, nil })
}

// putLocked creates an object or changes its content. The mutex must be held.
func (s *Store) putLocked(kind, name string, change func(object *Object)) Object {
	s.revision++
	object, found := s.objects[kind][name]
	if !found {
		object.Metadata = Metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	object.Metadata.Revision = s.revision
	change(&object)
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = object
	s.history[kind] = append(s.history[kind], Event{Object: object})
	s.notifyWatchers()
	return object
}

// writeStatusLocked replaces the status of an existing object. The mutex must be held.
func (s *Store) writeStatusLocked(kind, name string, status json.RawMessage) Object {
	s.revision++
	object := s.objects[kind][name]
	object.Metadata.Revision, object.Status = s.revision, status
	s.objects[kind][name] = object
	s.history[kind] = append(s.history[kind], Event{Object: object})
	s.notifyWatchers()
	return object
}

// eventsSince returns the changes of the kind after the revision, the revision up to which they
// are complete, and a channel that is closed at the next change. compacted is set if the history
// does not reach back to the revision, or if the revision is in the future.
func (s *Store) eventsSince(kind string, fromRevision uint64) (events []Event, atRevision uint64, compacted bool, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fromRevision < s.compactedRevision || fromRevision > s.revision {
		return nil, 0, true, s.changed
	}
	history := s.history[kind]
	first := sort.Search(len(history), func(i int) bool { return history[i].Object.Metadata.Revision > fromRevision })
	events, atRevision = append([]Event{}, history[first:]...), s.revision
	if s.watchPage > 0 && len(events) > s.watchPage {
		events = events[:s.watchPage]
		atRevision = events[len(events)-1].Object.Metadata.Revision
	}
	return events, atRevision, false, s.changed
}

// applyRequest applies a write request and returns the HTTP status and the object for the response.
// A put or delete with a revision is applied only if it is the revision of the object.
func (s *Store) applyRequest(method, kind, name string, body Object) (int, Object) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if method == http.MethodPost {
		name = body.Metadata.Name
	}
	name, ofStatus := strings.CutSuffix(name, "/status")
	current, found := s.objects[kind][name]
	isOutdated := method != http.MethodPost && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision
	switch {
	case found && (method == http.MethodPost || isOutdated):
		return http.StatusConflict, current
	case method == http.MethodDelete && found:
		s.removeLocked(kind, name)
		return http.StatusOK, current
	case method != http.MethodPost && !found:
		return http.StatusNotFound, Object{}
	}
	if ofStatus {
		return http.StatusOK, s.writeStatusLocked(kind, name, body.Status)
	}
	return http.StatusOK, s.writeLocked(kind, name, body.Spec)
}
