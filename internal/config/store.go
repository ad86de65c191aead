// Package config holds the accepted configuration of a node and the rules by
// which it spreads: objects apply only at a higher version, deletions leave
// tombstones, and peers repair each other by revision.
//
// The store has no I/O and no clock. The platform's revision orders all
// changes: a store "at revision R" holds the effect of every change up to R.
// Only a full delta leads from one era of the platform's store into the next,
// as what the former one wrote last is not in the next one's history.
package config

import (
	"slices"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// MaxTombstones bounds the remembered deletions. A peer that is older than the
// oldest forgotten deletion is sent a full delta.
const MaxTombstones = 4096

// Delta is a set of changes. It holds every change in (From, Through], or, when
// Full, every live object at Through.
type Delta struct {
	From    storerev.Revision
	Through storerev.Revision
	Full    bool
	Objects []v1.Object
}

// Outcome says what applying a delta did.
type Outcome int

// The outcomes of applying a delta.
const (
	// Applied means that the store moved to the delta's Through revision.
	Applied Outcome = iota
	// Stale means that the store was already at or past the delta.
	Stale
	// Gap means that changes before the delta are missing; they must be pulled.
	Gap
)

// entry is one live object with its decoded spec.
type entry struct {
	object v1.Object
	spec   v1.Spec
	// fault is set when the stored object cannot be used; spec is then the last
	// usable one, or nil.
	fault string
}

// Store is the configuration of one node. It is not safe for concurrent use.
type Store struct {
	revision   storerev.Revision
	objects    map[v1.Key]*entry
	tombstones map[v1.Key]storerev.Revision
	// horizon is the revision up to which deletions may be unknown here.
	horizon storerev.Revision
	// opaque stores keep specs as they are and do not validate them.
	opaque bool
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{objects: map[v1.Key]*entry{}, tombstones: map[v1.Key]storerev.Revision{}}
}

// NewOpaqueStore returns an empty store of objects whose specs are not the
// product's own types: they are kept and spread but not decoded.
func NewOpaqueStore() *Store {
	store := NewStore()
	store.opaque = true
	return store
}

// Revision returns the platform revision through which the store is complete.
func (s *Store) Revision() storerev.Revision { return s.revision }

// Len returns the number of live objects.
func (s *Store) Len() int { return len(s.objects) }

// Apply takes a delta from the platform or from a peer.
//
// Invariant: the version of an object in the store never decreases, and a
// deleted object does not come back at or below the version of its deletion.
func (s *Store) Apply(delta Delta) Outcome {
	if delta.Through <= s.revision {
		return Stale
	}
	if delta.Full {
		s.applyFull(delta)
		return Applied
	}
	if delta.From > s.revision || delta.Through.Era() != s.revision.Era() {
		return Gap
	}
	for _, object := range delta.Objects {
		s.applyObject(object)
	}
	s.revision = delta.Through
	return Applied
}

// applyFull removes what the list no longer has. Only a list newer than the
// store may do that, which Apply has checked.
func (s *Store) applyFull(delta Delta) {
	present := make(map[v1.Key]bool, len(delta.Objects))
	for _, object := range delta.Objects {
		present[object.Key()] = true
		s.applyObject(object)
	}
	for key, current := range s.objects {
		if !present[key] && revisionOf(current.object) <= delta.Through {
			s.applyObject(v1.Object{Kind: key.Kind, Name: key.Name, Version: uint64(delta.Through), Deleted: true})
		}
	}
	s.revision = delta.Through
	// A list does not tell what was deleted before it, so changes from before it
	// can no longer be given to peers one by one.
	s.horizon = max(s.horizon, delta.Through)
}

// revisionOf returns the revision at which the object last changed.
func revisionOf(object v1.Object) storerev.Revision { return storerev.Revision(object.Version) }

func (s *Store) applyObject(object v1.Object) {
	key, revision := object.Key(), revisionOf(object)
	if s.tombstones[key] >= revision {
		return
	}
	current := s.objects[key]
	if current != nil && revisionOf(current.object) >= revision {
		return
	}
	if object.Deleted {
		delete(s.objects, key)
		s.tombstones[key] = revision
		s.trimTombstones()
		return
	}
	delete(s.tombstones, key)
	if s.opaque {
		s.objects[key] = &entry{object: object}
		return
	}
	s.objects[key] = newEntry(object, current)
}

// newEntry decodes the object. A faulty object keeps the last usable spec in
// force, so that bad input from another writer never empties a route.
func newEntry(object v1.Object, previous *entry) *entry {
	object.Status = nil
	created := &entry{object: object}
	spec, err := v1.DecodeSpec(object)
	if err == nil {
		if faults := spec.Validate(); len(faults) == 0 {
			created.spec = spec
			return created
		} else {
			created.fault = faults[0].String()
		}
	} else {
		created.fault = err.Error()
	}
	if previous != nil {
		created.spec = previous.spec
	}
	return created
}

func (s *Store) trimTombstones() {
	if len(s.tombstones) <= MaxTombstones {
		return
	}
	versions := make([]storerev.Revision, 0, len(s.tombstones))
	for _, version := range s.tombstones {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	s.horizon = max(s.horizon, versions[len(versions)/2])
	for key, version := range s.tombstones {
		if version <= versions[len(versions)/2] {
			delete(s.tombstones, key)
		}
	}
}

// Since returns the changes after the revision, or a full delta when they are
// no longer all known.
func (s *Store) Since(revision storerev.Revision) Delta {
	delta := Delta{From: revision, Through: s.revision}
	delta.Full = revision < s.horizon || revision == 0
	for _, current := range s.objects {
		if delta.Full || revisionOf(current.object) > revision {
			delta.Objects = append(delta.Objects, current.object)
		}
	}
	if delta.Full {
		delta.From = 0
		return delta
	}
	for key, version := range s.tombstones {
		if version > revision {
			delta.Objects = append(delta.Objects, v1.Object{Kind: key.Kind, Name: key.Name, Version: uint64(version), Deleted: true})
		}
	}
	return delta
}

// Object returns a live object.
func (s *Store) Object(key v1.Key) (v1.Object, bool) {
	current := s.objects[key]
	if current == nil {
		return v1.Object{}, false
	}
	return current.object, true
}

// Objects returns all live objects.
func (s *Store) Objects() []v1.Object {
	objects := make([]v1.Object, 0, len(s.objects))
	for _, current := range s.objects {
		objects = append(objects, current.object)
	}
	return objects
}

// Replace puts the objects in place of those of the same names, whatever their revisions. They
// are newer states of what the platform's store lists at these revisions, as it came back from
// a copy.
func (s *Store) Replace(objects []v1.Object) {
	for _, object := range objects {
		delete(s.objects, object.Key())
		delete(s.tombstones, object.Key())
		s.applyObject(object)
	}
}

// RemoveOlder removes the objects that were written last before the revision and returns them
// as deleted. They do not come back at the revisions that they had.
func (s *Store) RemoveOlder(revision storerev.Revision) []v1.Object {
	var removed []v1.Object
	for key, current := range s.objects {
		if revisionOf(current.object) < revision {
			removed = append(removed, v1.Object{Kind: key.Kind, Name: key.Name, Version: current.object.Version, Deleted: true})
			delete(s.objects, key)
			s.tombstones[key] = revisionOf(current.object)
		}
	}
	s.trimTombstones()
	return removed
}

// Version returns the version of a live object, or 0.
func (s *Store) Version(key v1.Key) uint64 {
	if current := s.objects[key]; current != nil {
		return current.object.Version
	}
	return 0
}

// Fault returns why the stored object is not in use, or "".
func (s *Store) Fault(key v1.Key) string {
	if current := s.objects[key]; current != nil {
		return current.fault
	}
	return ""
}

// Runner returns the spec of a configured runner.
func (s *Store) Runner(name string) (*v1.RunnerSpec, bool) {
	current := s.objects[v1.Key{Kind: v1.KindRunner, Name: name}]
	if current == nil {
		return nil, false
	}
	spec, usable := current.spec.(*v1.RunnerSpec)
	return spec, usable
}

// Deleted tells whether the object is known to have existed and been deleted.
func (s *Store) Deleted(key v1.Key) bool {
	_, deleted := s.tombstones[key]
	return deleted
}

// Keys returns the keys and versions of all live objects.
func (s *Store) Keys() map[v1.Key]uint64 {
	keys := make(map[v1.Key]uint64, len(s.objects))
	for key, current := range s.objects {
		keys[key] = current.object.Version
	}
	return keys
}
