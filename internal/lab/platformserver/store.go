// Package platformserver is a simulated platform: an object API with versions and watches, a
// machine list with configurable lag, a weight store of limited throughput, and fault injection.
// It is for tests, demonstrations and experiments only.
package platformserver

import (
	"sync"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// maxHistory is the maximum number of changes kept for watches. A watch from an older revision
// fails with 410 Gone.
const maxHistory = 5000

// Faults are the faults that the platform simulates.
type Faults struct {
	// Down makes every request to the object API fail with status 503.
	Down bool `json:"down"`
	// SlowMillis delays every response of the object API, in milliseconds.
	SlowMillis int `json:"slow_millis"`
	// LoseResponses is how many of the next writes are executed without a response: the
	// connection is aborted instead.
	LoseResponses int `json:"lose_answers"`
	// Stale makes lists and watches serve the state at StaleRevision or, if that is 0, the
	// state at the time when the fault was set.
	Stale         bool   `json:"stale"`
	StaleRevision uint64 `json:"stale_revision"`
	// MachineLagMillis delays the visibility of machine list changes, in milliseconds.
	MachineLagMillis int `json:"machine_lag_millis"`
}

// Counters holds the number of requests per operation of the object API.
type Counters struct {
	Lists   int `json:"lists"`
	Gets    int `json:"gets"`
	Watches int `json:"watches"`
	Writes  int `json:"writes"`
}

// store is the versioned object store behind the API.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[v1.Key]v1.Object
	// history holds the latest changes in order of their revisions.
	history []v1.Object
	// historyStart is the revision of the last change that was removed from history.
	historyStart uint64
	// changed is closed and replaced on every change, which notifies the watches.
	changed chan struct{}
	faults  Faults
	// staleList is the state that is served while Faults.Stale is set, else nil.
	staleList *platform.List
	counters  Counters
	// runCounts holds the number of runs by prompt digest.
	runCounts map[string]int
}

func newStore() *store {
	return &store{objects: map[v1.Key]v1.Object{}, changed: make(chan struct{}), runCounts: map[string]int{}}
}

func (s *store) list() platform.List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Lists++
	if s.staleList != nil {
		return *s.staleList
	}
	return s.currentList()
}

func (s *store) currentList() platform.List {
	list := platform.List{Revision: s.revision}
	for _, object := range s.objects {
		list.Items = append(list.Items, object)
	}
	return list
}

// listAt returns the state at a revision, reconstructed from the history. Revision 0 means the
// current state.
func (s *store) listAt(revision uint64) platform.List {
	if revision == 0 {
		return s.currentList()
	}
	objects := map[v1.Key]v1.Object{}
	for _, object := range s.history {
		if object.Version > revision {
			break
		}
		if object.Deleted {
			delete(objects, object.Key())
		} else {
			objects[object.Key()] = object
		}
	}
	list := platform.List{Revision: revision}
	for _, object := range objects {
		list.Items = append(list.Items, object)
	}
	return list
}

func (s *store) get(key v1.Key) (v1.Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Gets++
	object, found := s.objects[key]
	return object, found
}

// put stores the object if its version is that of the stored one; version 0 means that there
// must be no stored one. It returns the stored object and true, or the conflicting object and
// false.
func (s *store) put(object v1.Object) (v1.Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Writes++
	current := s.objects[object.Key()]
	if current.Version != object.Version {
		return current, false
	}
	object.Status = current.Status
	return s.commit(object), true
}

// delete deletes the object if it exists and has the given version.
func (s *store) delete(key v1.Key, version uint64) (found, versionMatched bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Writes++
	current, found := s.objects[key]
	if !found {
		return false, false
	}
	if current.Version != version {
		return true, false
	}
	s.commit(v1.Object{Kind: key.Kind, Name: key.Name, Deleted: true})
	return true, true
}

// commit applies a change of an object under the next revision and adds it to the history.
func (s *store) commit(object v1.Object) v1.Object {
	s.revision++
	object.Version = s.revision
	if object.Deleted {
		delete(s.objects, object.Key())
	} else {
		s.objects[object.Key()] = object
	}
	s.history = append(s.history, object)
	if len(s.history) > maxHistory {
		s.historyStart = s.history[0].Version
		s.history = append([]v1.Object(nil), s.history[1:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object
}

func (s *store) putStatus(key v1.Key, status v1.Status) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[key]
	if !found {
		return false
	}
	object.Status = &status
	s.objects[key] = object
	return true
}

// changesSince returns the changes after the revision and a channel that is closed on the next
// change. It returns false if the history doesn't reach back to the revision.
func (s *store) changesSince(revision uint64) (platform.WatchBatch, <-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < s.historyStart {
		return platform.WatchBatch{}, nil, false
	}
	if s.staleList != nil {
		return platform.WatchBatch{Revision: min(revision, s.staleList.Revision)}, s.changed, true
	}
	batch := platform.WatchBatch{Revision: s.revision}
	for _, object := range s.history {
		if object.Version > revision {
			batch.Objects = append(batch.Objects, object)
		}
	}
	return batch, s.changed, true
}

// setFaults replaces the fault settings and notifies the watches.
func (s *store) setFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Stale && s.staleList == nil {
		list := s.listAt(faults.StaleRevision)
		s.staleList = &list
	}
	if !faults.Stale {
		s.staleList = nil
	}
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// consumeLostResponse reports whether the response to the current write is to be lost, and
// counts it if so.
func (s *store) consumeLostResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// setMachine applies a change of the machine list after the configured lag.
func (s *store) setMachine(object v1.Object) {
	apply := func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.commit(object)
	}
	lag := time.Duration(s.currentFaults().MachineLagMillis) * time.Millisecond
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// countRun counts the start of a run of the prompt with this digest.
func (s *store) countRun(digest string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runCounts[digest]++
}
