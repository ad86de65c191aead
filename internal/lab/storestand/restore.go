package storestand

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/clovertiller/clovertiller/platform"
)

// Copy is what the store held at one moment.
type Copy struct {
	revision  uint64
	forgotten uint64
	objects   map[string]map[string]Object
	history   map[string][]Event
}

// Copy returns what the store holds now.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{revision: s.revision, forgotten: s.forgotten, objects: cloneObjects(s.objects), history: cloneHistory(s.history)}
}

// Restore has the store come back from the copy, in the next era: what was written since is
// lost, its revisions are given out again, and watches that wait end without an answer.
func (s *Store) Restore(from Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.forgotten = from.revision, from.forgotten
	s.objects, s.history = cloneObjects(from.objects), cloneHistory(from.history)
	s.wake()
}

// Era counts how often the store came back from a copy, from 1 on.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Revision returns the newest revision.
func (s *Store) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// WriteEra has the era written by the function in answers from now on, empty for no header.
func (s *Store) WriteEra(write func(era uint64) string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.eraHeader = write
}

func writtenEra(era uint64) string { return strconv.FormatUint(era, 10) }

// eraWriter writes the answer to a call of one era. A store that has started again since
// knows nothing of the call, so that its connection ends.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	era   uint64
}

// inOneEra returns a writer for the answer to a call that came now.
func (s *Store) inOneEra(writer http.ResponseWriter) http.ResponseWriter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if era := s.eraHeader(s.era); era != "" {
		writer.Header().Set(platform.HeaderStoreEra, era)
	}
	return &eraWriter{ResponseWriter: writer, store: s, era: s.era}
}

func (w *eraWriter) check() {
	if w.store.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.check()
	w.ResponseWriter.WriteHeader(status)
}

// checkEra ends the connection of a call that a former era was to answer.
func checkEra(writer http.ResponseWriter) {
	if bound, ok := writer.(*eraWriter); ok {
		bound.check()
	}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	cloned := map[string]map[string]Object{}
	for kind, named := range objects {
		cloned[kind] = maps.Clone(named)
	}
	return cloned
}

func cloneHistory(history map[string][]Event) map[string][]Event {
	cloned := map[string][]Event{}
	for kind, events := range history {
		cloned[kind] = slices.Clone(events)
	}
	return cloned
}

// Writes returns how many changes of the kind the history has.
func (s *Store) Writes(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.history[kind])
}
