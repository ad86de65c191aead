package storestand

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/clovertiller/clovertiller/platform"
)

// Backup is the state of the store at one point in time.
type Backup struct {
	revision          uint64
	compactedRevision uint64
	objects           map[string]map[string]Object
	history           map[string][]Event
}

// Backup returns a backup of the current state.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Backup{revision: s.revision, compactedRevision: s.compactedRevision, objects: cloneObjects(s.objects), history: cloneHistory(s.history)}
}

// Restore restores the store from the backup and starts the next era. Changes since the backup
// are lost, their revisions are used again, and the connections of pending watches are closed.
func (s *Store) Restore(backup Backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.compactedRevision = backup.revision, backup.compactedRevision
	s.objects, s.history = cloneObjects(backup.objects), cloneHistory(backup.history)
	s.notifyWatchers()
}

// Era returns the current era: 1 plus the number of restores.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// SetEraFormat sets the function that formats the era for the header of later responses. If it
// returns an empty string, the header is omitted.
func (s *Store) SetEraFormat(format func(era uint64) string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.formatEra = format
}

func formatDecimalEra(era uint64) string { return strconv.FormatUint(era, 10) }

// eraWriter writes the response to a call that arrived in the given era. A store that was
// restored since then does not know the call, so its connection is closed.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	era   uint64
}

// bindToEra returns a writer for the response to a call that arrived in the current era, and
// sets the era header.
func (s *Store) bindToEra(writer http.ResponseWriter) http.ResponseWriter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if era := s.formatEra(s.era); era != "" {
		writer.Header().Set(platform.HeaderStoreEra, era)
	}
	return &eraWriter{ResponseWriter: writer, store: s, era: s.era}
}

// abortIfRestored panics to close the connection if the era has changed.
func (w *eraWriter) abortIfRestored() {
	if w.store.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.abortIfRestored()
	w.ResponseWriter.WriteHeader(status)
}

// abortCallIfRestored closes the connection of a call that arrived in an earlier era.
func abortCallIfRestored(writer http.ResponseWriter) {
	if ew, ok := writer.(*eraWriter); ok {
		ew.abortIfRestored()
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

// WriteCount returns the number of changes of the kind in the history, including deletions.
func (s *Store) WriteCount(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.history[kind])
}
