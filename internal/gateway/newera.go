package gateway

import (
	"slices"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// A store that was restored from a backup lacks changes that it had acknowledged and that routers
// have acted on. Their authors write them again. Until then a router keeps using the newest state
// that it knows of each object. It can compare states because configurations, weights and runner
// entries contain versions of their own, besides the store's revisions.

const (
	// missingGrace is how long runners that the first list of an era lacks are kept. Every live
	// runner rewrites its entry within that time.
	missingGrace = 2 * time.Second
	// reappearedGrace is how long runners that were deleted but are listed again are not used. The
	// entry of a runner that has ended expires after three heartbeats of at most two seconds each.
	reappearedGrace = 6 * time.Second
	// maxNewEraListDelay is the maximum delay before a router that reads the store only for itself
	// lists the objects of a new era.
	maxNewEraListDelay = 500 * time.Millisecond
)

// delayNewEraList delays a router that reads the store only for itself before it lists the objects
// of a new era. All routers detect a new era at once, and those that receive the objects from
// another router meanwhile need no list of their own. It returns false if the router stops.
func (g *Gateway) delayNewEraList() bool {
	return g.peerRouters.alwaysReadsStore() || g.pause(g.jitter(maxNewEraListDelay))
}

// losses counts the objects known from the previous era that a full list does not reflect.
type losses struct {
	// older counts objects that are listed in an earlier state, missing those that are not listed,
	// and reappeared those that are listed although they had been deleted.
	older, missing, reappeared int
}

// reconcile returns the delta with each object replaced by its newer state if the copy knows one
// from an earlier era of the store. The mutex must be held.
func (c *copies) reconcile(kind ObjectKind, delta config.Delta) config.Delta {
	store := c.stores[kind]
	if store.Revision() == 0 || delta.Through <= store.Revision() {
		c.scheduleGracePeriods(kind, delta)
		return delta
	}
	newEra := delta.Through.Era() > store.Revision().Era()
	if newEra && !delta.Full {
		// Changes are missing before this delta, so Apply reports a gap and does not take it.
		return delta
	}
	reconciled := delta
	reconciled.Objects = slices.Clone(delta.Objects)
	var counts losses
	if kind != RunnerObjects || newEra {
		counts.older = c.keepNewer(kind, reconciled.Objects)
	}
	if delta.Full {
		missing := c.missingObjects(kind, delta)
		reconciled.Objects, counts.missing = append(reconciled.Objects, missing...), len(missing)
	}
	if kind == RunnerObjects && newEra {
		counts.reappeared = c.recordReappeared(reconciled)
	}
	if newEra {
		c.recordLosses(kind, delta, counts)
	}
	c.scheduleGracePeriods(kind, reconciled)
	return reconciled
}

// keepNewer replaces the specs of objects that are older than the copy's by the copy's, and returns
// their number.
func (c *copies) keepNewer(kind ObjectKind, objects []v1.Object) (count int) {
	for i, object := range objects {
		known, found := c.stores[kind].Object(object.Key())
		if found && !object.Deleted && c.precedes(kind, object, known) {
			objects[i].Spec = known.Spec
			count++
		}
	}
	return count
}

// precedes reports whether the object is an earlier state than the known one, according to the
// versions in their specs.
func (c *copies) precedes(kind ObjectKind, object, known v1.Object) bool {
	if string(object.Spec) == string(known.Spec) {
		return false
	}
	decoded, decodedKnown := c.gateway.ports.Decode(kind, object), c.gateway.ports.Decode(kind, known)
	switch {
	case decoded.Config != nil && decodedKnown.Config != nil:
		return decoded.Config.Version < decodedKnown.Config.Version
	case decoded.Weights != nil && decodedKnown.Weights != nil:
		return decoded.Weights.Model == decodedKnown.Weights.Model && decoded.Weights.Version < decodedKnown.Weights.Version
	case decoded.Runner != nil && decodedKnown.Runner != nil:
		return decoded.Runner.OlderThan(*decodedKnown.Runner)
	}
	return false
}

// missingObjects returns the objects of earlier eras that a full list lacks. They keep their
// revisions, which tell all routers that they have not been rewritten.
func (c *copies) missingObjects(kind ObjectKind, list config.Delta) []v1.Object {
	listed := map[v1.Key]bool{}
	for _, object := range list.Objects {
		listed[object.Key()] = true
	}
	var missing []v1.Object
	for _, known := range c.stores[kind].Objects() {
		if !listed[known.Key()] && isFromEarlierEra(known, list.Through) {
			missing = append(missing, known)
		}
	}
	return missing
}

func isFromEarlierEra(object v1.Object, revision storerev.Revision) bool {
	return storerev.Revision(object.Version).Era() < revision.Era()
}

// recordReappeared records the listed runners that were deleted before the restore, or that have
// not been used since an earlier restore. It returns their number.
func (c *copies) recordReappeared(list config.Delta) int {
	pending := c.reappeared
	c.reappeared = map[string]storerev.Revision{}
	for _, object := range list.Objects {
		known, found := c.stores[RunnerObjects].Object(object.Key())
		revision, wasPending := pending[object.Name]
		stillPending := found && wasPending && storerev.Revision(known.Version) == revision
		if stillPending || c.stores[RunnerObjects].IsDeleted(object.Key()) {
			c.reappeared[object.Name] = storerev.Revision(object.Version)
		}
	}
	return len(c.reappeared)
}

// withoutReappeared returns the delta without the runner entries that are not used yet.
func (c *copies) withoutReappeared(kind ObjectKind, delta config.Delta) config.Delta {
	if kind != RunnerObjects || len(c.reappeared) == 0 {
		return delta
	}
	filtered := delta
	filtered.Objects = slices.DeleteFunc(slices.Clone(delta.Objects), func(object v1.Object) bool {
		revision, reappeared := c.reappeared[object.Name]
		return reappeared && revision == storerev.Revision(object.Version)
	})
	return filtered
}

func (c *copies) recordLosses(kind ObjectKind, list config.Delta, counts losses) {
	counter := c.gateway.metrics.storeLostObjects
	counter.WithLabelValues(kind.String(), "older").Add(float64(counts.older))
	counter.WithLabelValues(kind.String(), "missing").Add(float64(counts.missing))
	counter.WithLabelValues(kind.String(), "returned").Add(float64(counts.reappeared))
	known := c.stores[kind].Revision()
	c.gateway.log.Log(events.StoreLostChanges, events.Fields{
		"kind": kind.String(), "era": list.Through.Era(), "revision": list.Through.Number(), "known_era": known.Era(), "known_revision": known.Number(),
		"older": counts.older, "missing": counts.missing, "returned": counts.reappeared,
	})
}

// scheduleGracePeriods removes runners of earlier eras that were not rewritten, and admits
// reappeared ones, when their grace periods end.
func (c *copies) scheduleGracePeriods(kind ObjectKind, delta config.Delta) {
	if kind != RunnerObjects || !delta.Full {
		return
	}
	era := delta.Through.Era()
	if slices.ContainsFunc(delta.Objects, func(object v1.Object) bool { return isFromEarlierEra(object, delta.Through) }) {
		time.AfterFunc(missingGrace, func() { c.runInEra(era, c.removeMissing) })
	}
	if len(c.reappeared) > 0 {
		time.AfterFunc(reappearedGrace, func() { c.runInEra(era, c.admitReappeared) })
	}
}

// runInEra runs the step unless the store has entered a later era.
func (c *copies) runInEra(era uint64, step func(runners *config.Store)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if runners := c.stores[RunnerObjects]; c.gateway.ctx.Err() == nil && runners.Revision().Era() == era {
		step(runners)
	}
}

// removeMissing removes the runners whose entries were not rewritten in this era.
func (c *copies) removeMissing(runners *config.Store) {
	for _, removed := range runners.DeleteOlderThan(storerev.StartOf(runners.Revision().Era())) {
		c.gateway.applySingleObject(RunnerObjects, removed)
	}
}

// admitReappeared starts to use the runners that were deleted before the restore and whose
// reappeared entries have not changed since.
func (c *copies) admitReappeared(runners *config.Store) {
	for name, revision := range c.reappeared {
		object, found := runners.Object(v1.Key{Kind: v1.Kind(RunnerObjects.String()), Name: name})
		if found && storerev.Revision(object.Version) == revision {
			c.gateway.applySingleObject(RunnerObjects, object)
		}
	}
	clear(c.reappeared)
}
