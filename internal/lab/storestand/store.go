// Package storestand is a stand-in of the platform's store: objects by kind and
// name with one revision counter, lists, watches, conditional writes, and the
// faults that the pages name. It keeps everything in memory.
package storestand

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
)

// Metadata is the part of an object that the store keeps itself.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is one stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Event is one change.
type Event struct {
	Gone   bool   `json:"gone"`
	Object Object `json:"object"`
}

// Store is the stand-in.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	// history holds the changes of each kind by revision.
	history map[string][]Event
	// forgotten is the revision up to which history is gone.
	forgotten uint64
	changed   chan struct{}
	// era counts how often the store came back from a copy, from 1 on.
	era uint64
	// eraHeader writes the era of answers, empty for none.
	eraHeader func(era uint64) string
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]map[string]Object{}, history: map[string][]Event{}, changed: make(chan struct{}), era: 1, eraHeader: writtenEra}
}

// Put writes an object as the operator or a runner does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(kind, name, encoded).Metadata.Revision
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(kind, name)
}

// remove deletes an object. The mutex is held.
func (s *Store) remove(kind, name string) {
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	object.Metadata.Revision = s.revision
	s.history[kind] = append(s.history[kind], Event{Gone: true, Object: object})
	s.wake()
}

// Forget drops all history.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.forgotten = map[string][]Event{}, s.revision
	s.wake()
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	return object, found
}

// Specs returns what the objects of the kind hold.
func (s *Store) Specs(kind string) (specs []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, object := range s.objects[kind] {
		specs = append(specs, string(object.Spec))
	}
	return specs
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores an object. The mutex is held.
func (s *Store) write(kind, name string, spec json.RawMessage) Object {
	s.revision++
	object, found := s.objects[kind][name]
	if !found {
		object.Metadata = Metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	object.Metadata.Revision, object.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = object
	s.history[kind] = append(s.history[kind], Event{Object: object})
	s.wake()
	return object
}

func (s *Store) since(kind string, from uint64) (events []Event, at uint64, gone bool, changed chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from < s.forgotten || from > s.revision {
		return nil, 0, true, s.changed
	}
	history := s.history[kind]
	first := sort.Search(len(history), func(i int) bool { return history[i].Object.Metadata.Revision > from })
	return append([]Event{}, history[first:]...), s.revision, false, s.changed
}

func (s *Store) apply(method, kind, name string, body Object) (int, Object) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if method == http.MethodPost {
		name = body.Metadata.Name
	}
	current, found := s.objects[kind][name]
	switch {
	case method == http.MethodPost && found:
		return http.StatusConflict, current
	case method == http.MethodDelete && found:
		s.remove(kind, name)
		return http.StatusOK, current
	case method != http.MethodPost && !found:
		return http.StatusNotFound, Object{}
	case method == http.MethodPut && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	return http.StatusOK, s.write(kind, name, body.Spec)
}
