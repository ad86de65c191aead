// Package platformserver is a stand-in for the platform: an object API with
// versions and watches, a machine list with a lag, a rate-limited weight store,
// and fault settings. It is for tests, demonstrations and experiments only.
package platformserver

import (
	"sync"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// maxLog bounds the changes kept for watches; older revisions are gone.
const maxLog = 5000

// Faults are the settings by which tests make the platform fail.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_millis"`
	// LoseAnswers is how many further writes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Stale makes reads serve the state at StaleRevision, or, when that is 0, at
	// the time the fault was set.
	Stale         bool   `json:"stale"`
	StaleRevision uint64 `json:"stale_revision"`
	// MachineLagMillis delays the visibility of machine list changes.
	MachineLagMillis int `json:"machine_lag_millis"`
}

// Counters count the platform's readers.
type Counters struct {
	Lists   int `json:"lists"`
	Gets    int `json:"gets"`
	Watches int `json:"watches"`
	Writes  int `json:"writes"`
}

// store is the object store behind the API.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[v1.Key]v1.Object
	log      []v1.Object
	logStart uint64
	// changed is closed and replaced on every change, to wake watches.
	changed  chan struct{}
	faults   Faults
	stale    *platform.List
	counters Counters
	runs     map[string]int
}

func newStore() *store {
	return &store{objects: map[v1.Key]v1.Object{}, changed: make(chan struct{}), runs: map[string]int{}}
}

func (s *store) list() platform.List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Lists++
	if s.stale != nil {
		return *s.stale
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

// listAt returns the state at a revision, made from the log; 0 means now.
func (s *store) listAt(revision uint64) platform.List {
	if revision == 0 {
		return s.currentList()
	}
	objects := map[v1.Key]v1.Object{}
	for _, object := range s.log {
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

// put stores the object if its version matches; 0 means that it must not exist.
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

func (s *store) delete(key v1.Key, version uint64) (found, matched bool) {
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

// commit gives the object the next revision and logs it.
func (s *store) commit(object v1.Object) v1.Object {
	s.revision++
	object.Version = s.revision
	if object.Deleted {
		delete(s.objects, object.Key())
	} else {
		s.objects[object.Key()] = object
	}
	s.log = append(s.log, object)
	if len(s.log) > maxLog {
		s.logStart = s.log[0].Version
		s.log = append([]v1.Object(nil), s.log[1:]...)
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

// since returns the changes after the revision and a channel that is closed on
// the next one, or false when the revision is no longer in the log.
func (s *store) since(revision uint64) (platform.WatchBatch, <-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision < s.logStart {
		return platform.WatchBatch{}, nil, false
	}
	if s.stale != nil {
		return platform.WatchBatch{Revision: min(revision, s.stale.Revision)}, s.changed, true
	}
	batch := platform.WatchBatch{Revision: s.revision}
	for _, object := range s.log {
		if object.Version > revision {
			batch.Objects = append(batch.Objects, object)
		}
	}
	return batch, s.changed, true
}

// setFaults replaces the fault settings.
func (s *store) setFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Stale && s.stale == nil {
		list := s.listAt(faults.StaleRevision)
		s.stale = &list
	}
	if !faults.Stale {
		s.stale = nil
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

// takeLostAnswer tells whether this write's answer is to be lost.
func (s *store) takeLostAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// setMachine changes the machine list; the change shows after the lag.
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

// countRun notes that an engine began to run a prompt.
func (s *store) countRun(prompt string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[prompt]++
}
