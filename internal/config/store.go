// Package config implements the replicated configuration store of a node. An object is replaced
// only by a higher version of itself, deletions are kept as tombstones, and nodes exchange the
// changes after a given revision to catch up with each other.
//
// The package has no I/O and no clock. The platform's revision orders all changes: a store at
// revision R holds the effect of every change up to R. A store moves from one era of the platform's
// store to the next only by a full delta, because the last changes of the earlier era may be missing
// from the history of the later one.
package config

import (
	"slices"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// MaxTombstones is the maximum number of tombstones that a store keeps. A peer whose revision is
// older than a removed tombstone is sent a full delta.
const MaxTombstones = 4096

// Delta is a set of changes. It holds all changes in (From, Through]; a change that a later one to
// the same object supersedes may be left out. If Full is set, it holds every live object at Through
// instead.
type Delta struct {
	From    storerev.Revision
	Through storerev.Revision
	Full    bool
	Objects []v1.Object
}

// Outcome is the result of Store.Apply.
type Outcome int

const (
	// Applied means that the store moved to the delta's Through revision.
	Applied Outcome = iota
	// Stale means that the store already was at the delta's Through revision or a later one.
	Stale
	// Gap means that the store lacks changes that precede the delta. They must be requested first.
	Gap
)

// entry is one live object with its decoded spec.
type entry struct {
	object v1.Object
	// spec is the last valid spec, or nil if there was none. It is nil in opaque stores.
	spec v1.Spec
	// invalidReason tells why the spec of object is invalid. It is empty if the spec is valid.
	invalidReason string
}

// Store is the configuration of one node. It is not safe for concurrent use.
type Store struct {
	revision storerev.Revision
	objects  map[v1.Key]*entry
	// tombstones maps deleted objects to the revisions of their deletions.
	tombstones map[v1.Key]storerev.Revision
	// compactedThrough is the revision up to which tombstones may be missing. The store cannot
	// return the separate changes after an earlier revision.
	compactedThrough storerev.Revision
	// opaque is set if specs are neither decoded nor validated.
	opaque bool
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{objects: map[v1.Key]*entry{}, tombstones: map[v1.Key]storerev.Revision{}}
}

// NewOpaqueStore returns an empty store that keeps the specs of objects undecoded. It is used for
// objects whose specs are not types of package v1.
func NewOpaqueStore() *Store {
	store := NewStore()
	store.opaque = true
	return store
}

// Revision returns the platform revision up to which the store holds all changes.
func (s *Store) Revision() storerev.Revision { return s.revision }

// Len returns the number of live objects.
func (s *Store) Len() int { return len(s.objects) }

// Apply applies a delta from the platform or from a peer.
//
// Invariant: the version of an object in the store never decreases, and a deleted object is not
// restored by a version at or below that of its deletion.
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

// Merge applies objects without moving the revision, and returns those that changed. It is for a store
// that receives its first objects in parts: Complete ends that.
func (s *Store) Merge(objects []v1.Object) (changed []v1.Object) {
	for _, object := range objects {
		if s.applyObject(object) {
			changed = append(changed, object)
		}
	}
	return changed
}

// Complete moves a store without a revision to the given one, through which the merged objects are all
// live ones.
func (s *Store) Complete(through storerev.Revision) {
	if s.revision == 0 {
		s.revision, s.compactedThrough = through, max(s.compactedThrough, through)
	}
}

// applyFull applies a full delta and deletes the objects that it lacks. Only a delta that is newer
// than the store may delete them; Apply has checked that.
func (s *Store) applyFull(delta Delta) {
	present := make(map[v1.Key]bool, len(delta.Objects))
	for _, object := range delta.Objects {
		present[object.Key()] = true
		s.applyObject(object)
	}
	for key, current := range s.objects {
		if !present[key] && lastChangeRevision(current.object) <= delta.Through {
			s.applyObject(v1.Object{Kind: key.Kind, Name: key.Name, Version: uint64(delta.Through), Deleted: true})
		}
	}
	s.revision = delta.Through
	// A full delta does not tell which objects were deleted before it, so peers at earlier revisions
	// need a full delta too.
	s.compactedThrough = max(s.compactedThrough, delta.Through)
}

// lastChangeRevision returns the revision at which the object last changed.
func lastChangeRevision(object v1.Object) storerev.Revision { return storerev.Revision(object.Version) }

// applyObject applies one changed or deleted object if it is newer than the stored object and its
// tombstone, and reports whether it is.
func (s *Store) applyObject(object v1.Object) bool {
	key, revision := object.Key(), lastChangeRevision(object)
	if s.tombstones[key] >= revision {
		return false
	}
	current := s.objects[key]
	if current != nil && lastChangeRevision(current.object) >= revision {
		return false
	}
	if object.Deleted {
		delete(s.objects, key)
		s.tombstones[key] = revision
		s.trimTombstones()
		return true
	}
	delete(s.tombstones, key)
	if s.opaque {
		s.objects[key] = &entry{object: object}
		return true
	}
	s.objects[key] = newEntry(object, current)
	return true
}

// newEntry returns the entry of an object with its decoded spec. If the spec is invalid, the entry
// keeps the spec of the previous entry, so that an invalid write by another client of the platform
// does not take a working route out of service.
func newEntry(object v1.Object, previous *entry) *entry {
	object.Status = nil
	updated := &entry{object: object}
	spec, err := v1.DecodeSpec(object)
	if err == nil {
		if validationErrors := spec.Validate(); len(validationErrors) == 0 {
			updated.spec = spec
			return updated
		} else {
			updated.invalidReason = validationErrors[0].String()
		}
	} else {
		updated.invalidReason = err.Error()
	}
	if previous != nil {
		updated.spec = previous.spec
	}
	return updated
}

// trimTombstones removes the older half of the tombstones if there are more than MaxTombstones.
func (s *Store) trimTombstones() {
	if len(s.tombstones) <= MaxTombstones {
		return
	}
	revisions := make([]storerev.Revision, 0, len(s.tombstones))
	for _, revision := range s.tombstones {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	s.compactedThrough = max(s.compactedThrough, revisions[len(revisions)/2])
	for key, revision := range s.tombstones {
		if revision <= revisions[len(revisions)/2] {
			delete(s.tombstones, key)
		}
	}
}

// Since returns the changes after the revision. It returns a full delta if the revision is 0 or if
// tombstones of later deletions may have been removed.
func (s *Store) Since(revision storerev.Revision) Delta {
	delta := Delta{From: revision, Through: s.revision}
	delta.Full = revision < s.compactedThrough || revision == 0
	for _, current := range s.objects {
		if delta.Full || lastChangeRevision(current.object) > revision {
			delta.Objects = append(delta.Objects, current.object)
		}
	}
	if delta.Full {
		delta.From = 0
		return delta
	}
	for key, deletedAt := range s.tombstones {
		if deletedAt > revision {
			delta.Objects = append(delta.Objects, v1.Object{Kind: key.Kind, Name: key.Name, Version: uint64(deletedAt), Deleted: true})
		}
	}
	return delta
}

// Object returns a live object. It returns false if there is none with the key.
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

// Replace replaces the stored objects that have the same keys, without comparing revisions. It is
// used after the platform's store was restored from a backup: the given objects are newer states of
// what the restored store lists at the same revisions.
func (s *Store) Replace(objects []v1.Object) {
	for _, object := range objects {
		delete(s.objects, object.Key())
		delete(s.tombstones, object.Key())
		s.applyObject(object)
	}
}

// DeleteOlderThan deletes the objects that last changed before the revision and returns the
// deletions. The tombstones keep them from being restored at the revisions that they had.
func (s *Store) DeleteOlderThan(revision storerev.Revision) []v1.Object {
	var removed []v1.Object
	for key, current := range s.objects {
		if lastChangeRevision(current.object) < revision {
			removed = append(removed, v1.Object{Kind: key.Kind, Name: key.Name, Version: current.object.Version, Deleted: true})
			delete(s.objects, key)
			s.tombstones[key] = lastChangeRevision(current.object)
		}
	}
	s.trimTombstones()
	return removed
}

// Version returns the version of a live object, or 0 if there is none with the key.
func (s *Store) Version(key v1.Key) uint64 {
	if current := s.objects[key]; current != nil {
		return current.object.Version
	}
	return 0
}

// InvalidReason returns why the spec of the stored object is invalid, or "" if it is valid.
func (s *Store) InvalidReason(key v1.Key) string {
	if current := s.objects[key]; current != nil {
		return current.invalidReason
	}
	return ""
}

// Runner returns the last valid spec of a configured runner. It returns false if there is none.
func (s *Store) Runner(name string) (*v1.RunnerSpec, bool) {
	current := s.objects[v1.Key{Kind: v1.KindRunner, Name: name}]
	if current == nil {
		return nil, false
	}
	spec, usable := current.spec.(*v1.RunnerSpec)
	return spec, usable
}

// IsDeleted reports whether the store has a tombstone for the object.
func (s *Store) IsDeleted(key v1.Key) bool {
	_, deleted := s.tombstones[key]
	return deleted
}

// Versions returns the versions of all live objects.
func (s *Store) Versions() map[v1.Key]uint64 {
	versions := make(map[v1.Key]uint64, len(s.objects))
	for key, current := range s.objects {
		versions[key] = current.object.Version
	}
	return versions
}
