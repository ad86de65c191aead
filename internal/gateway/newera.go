package gateway

import (
	"slices"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// A store that comes back from a copy lacks changes that it had acknowledged, and routers have
// acted on. Whoever wrote them writes them again. Until then a router goes on with the newest
// that it knows of each object: configurations, weights and entries of runners carry an order
// of their own, beside the store's revisions.

const (
	// missingGrace is how long after the first list of an era runners are kept that it lacks:
	// within it each runner that lives has written its entry again.
	missingGrace = 2 * time.Second
	// returnedGrace is how long runners are not used that the list has though they were gone:
	// the entry of one that ended lapses after three heartbeats, each of two seconds at most.
	returnedGrace = 6 * time.Second
	// newEraPause is the longest pause before a router that reads for itself only lists what a
	// store in a new era holds.
	newEraPause = 500 * time.Millisecond
)

// pauseInNewEra has a router that reads the store for nobody else wait before it lists what the
// store holds in a new era: all routers find that out at once, and those that are told need no
// list of their own. It returns false when the router stops.
func (g *Gateway) pauseInNewEra() bool {
	return g.relays.isSource() || g.pause(g.jitter(newEraPause))
}

// losses counts what a whole list lacks that is known from the era before.
type losses struct {
	// older objects are listed as they were before, missing ones are not listed, and returned
	// ones were gone.
	older, missing, returned int
}

// reconcile returns the changes with the newer state of each object that the copy knows from
// an earlier era of the store. The mutex is held.
func (c *copies) reconcile(kind ObjectKind, delta config.Delta) config.Delta {
	store := c.stores[kind]
	if store.Revision() == 0 || delta.Through <= store.Revision() {
		c.settleLater(kind, delta)
		return delta
	}
	newEra := delta.Through.Era() > store.Revision().Era()
	if newEra && !delta.Full {
		// A gap, which the copy does not take.
		return delta
	}
	reconciled := delta
	reconciled.Objects = slices.Clone(delta.Objects)
	var lost losses
	if kind != RunnerObjects || newEra {
		lost.older = c.keepNewer(kind, reconciled.Objects)
	}
	if delta.Full {
		kept := c.missing(kind, delta)
		reconciled.Objects, lost.missing = append(reconciled.Objects, kept...), len(kept)
	}
	if kind == RunnerObjects && newEra {
		lost.returned = c.noteReturned(reconciled)
	}
	if newEra {
		c.noteLosses(kind, delta, lost)
	}
	c.settleLater(kind, reconciled)
	return reconciled
}

// keepNewer puts the newer state that the copy knows in place of those of the objects that are
// older by their own order, and returns how many are.
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

// precedes tells whether the object is an earlier state than the known one by what it says.
func (c *copies) precedes(kind ObjectKind, object, known v1.Object) bool {
	if string(object.Spec) == string(known.Spec) {
		return false
	}
	is, was := c.gateway.ports.Decode(kind, object), c.gateway.ports.Decode(kind, known)
	switch {
	case is.Config != nil && was.Config != nil:
		return is.Config.Version < was.Config.Version
	case is.Weights != nil && was.Weights != nil:
		return is.Weights.Model == was.Weights.Model && is.Weights.Version < was.Weights.Version
	case is.Runner != nil && was.Runner != nil:
		return is.Runner.OlderThan(*was.Runner)
	}
	return false
}

// missing returns the objects of earlier eras that a whole list does not have. They keep their
// revisions, by which all routers know that nobody has written them again.
func (c *copies) missing(kind ObjectKind, list config.Delta) []v1.Object {
	listed := map[v1.Key]bool{}
	for _, object := range list.Objects {
		listed[object.Key()] = true
	}
	var kept []v1.Object
	for _, known := range c.stores[kind].Objects() {
		if !listed[known.Key()] && ofEarlierEra(known, list.Through) {
			kept = append(kept, known)
		}
	}
	return kept
}

func ofEarlierEra(object v1.Object, revision storerev.Revision) bool {
	return storerev.Revision(object.Version).Era() < revision.Era()
}

// noteReturned notes the runners of a list that were gone before, or are not used yet since the
// store came back the last time, and returns how many are.
func (c *copies) noteReturned(list config.Delta) int {
	unused := c.returned
	c.returned = map[string]storerev.Revision{}
	for _, object := range list.Objects {
		known, listed := c.stores[RunnerObjects].Object(object.Key())
		revision, returned := unused[object.Name]
		stillUnused := listed && returned && storerev.Revision(known.Version) == revision
		if stillUnused || c.stores[RunnerObjects].Deleted(object.Key()) {
			c.returned[object.Name] = storerev.Revision(object.Version)
		}
	}
	return len(c.returned)
}

// withoutReturned leaves out the entries of runners that are not to be used yet.
func (c *copies) withoutReturned(kind ObjectKind, delta config.Delta) config.Delta {
	if kind != RunnerObjects || len(c.returned) == 0 {
		return delta
	}
	used := delta
	used.Objects = slices.DeleteFunc(slices.Clone(delta.Objects), func(object v1.Object) bool {
		revision, returned := c.returned[object.Name]
		return returned && revision == storerev.Revision(object.Version)
	})
	return used
}

func (c *copies) noteLosses(kind ObjectKind, list config.Delta, lost losses) {
	m := c.gateway.metrics.storeLostObjects
	m.WithLabelValues(kind.String(), "older").Add(float64(lost.older))
	m.WithLabelValues(kind.String(), "missing").Add(float64(lost.missing))
	m.WithLabelValues(kind.String(), "returned").Add(float64(lost.returned))
	known := c.stores[kind].Revision()
	c.gateway.log.Log(events.StoreLostChanges, events.Fields{
		"kind": kind.String(), "era": list.Through.Era(), "revision": list.Through.Number(), "known_era": known.Era(), "known_revision": known.Number(),
		"older": lost.older, "missing": lost.missing, "returned": lost.returned,
	})
}

// settleLater has runners of earlier eras dropped, and returned ones used, after their graces.
func (c *copies) settleLater(kind ObjectKind, delta config.Delta) {
	if kind != RunnerObjects || !delta.Full {
		return
	}
	era := delta.Through.Era()
	if slices.ContainsFunc(delta.Objects, func(object v1.Object) bool { return ofEarlierEra(object, delta.Through) }) {
		time.AfterFunc(missingGrace, func() { c.settle(era, c.dropMissing) })
	}
	if len(c.returned) > 0 {
		time.AfterFunc(returnedGrace, func() { c.settle(era, c.useReturned) })
	}
}

// settle takes the step unless the store has entered a later era.
func (c *copies) settle(era uint64, step func(runners *config.Store)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if runners := c.stores[RunnerObjects]; c.gateway.ctx.Err() == nil && runners.Revision().Era() == era {
		step(runners)
	}
}

// dropMissing drops the runners whose entries nobody has written again in the era.
func (c *copies) dropMissing(runners *config.Store) {
	for _, gone := range runners.RemoveOlder(storerev.StartOf(runners.Revision().Era())) {
		c.gateway.putObjectInForce(RunnerObjects, gone)
	}
}

// useReturned uses the runners that were gone before the era and are listed as they were.
func (c *copies) useReturned(runners *config.Store) {
	for name, revision := range c.returned {
		object, found := runners.Object(v1.Key{Kind: v1.Kind(RunnerObjects.String()), Name: name})
		if found && storerev.Revision(object.Version) == revision {
			c.gateway.putObjectInForce(RunnerObjects, object)
		}
	}
	clear(c.returned)
}
