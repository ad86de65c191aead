package gateway

import (
	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// ignoreObject logs that an object is not used. If it is an unreadable directory entry, the
// runner known under its name is removed, since the entry no longer describes it.
func (g *Gateway) ignoreObject(kind ObjectKind, object Object, fault string) {
	g.unreadable.record(kind.String(), object.Name, fault, events.Fields{"revision": object.Revision.Number()})
	if kind == RunnerObjects {
		g.removeRunner(object, "entry cannot be read")
	}
}

// retainRunners removes the runners that are missing from a complete list.
func (g *Gateway) retainRunners(objects []v1.Object) {
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = !object.Deleted
	}
	g.mutex.Lock()
	removed := g.runners.Retain(listed)
	g.streams.observeChange()
	g.mutex.Unlock()
	for _, id := range removed {
		g.log.Log(events.RunnerRemoved, events.Fields{"runner": id, "cause": "not listed"})
	}
}

// applyRunner applies a directory entry.
func (g *Gateway) applyRunner(object Object, batch *runnerBatch) {
	if object.Removed {
		g.removeRunner(object, "gone")
		g.mutex.Lock()
		g.runners.ForgetIncarnation(object.Name)
		g.mutex.Unlock()
		return
	}
	age := g.copies.ageMillis(g.now(), RunnerObjects)
	runner := *object.Runner
	g.mutex.Lock()
	before, known := g.runners.Get(runner.ID)
	writtenByOther := g.runners.WrittenByOther(runner)
	added := !writtenByOther && g.runners.Put(runner)
	g.streams.observeChange()
	g.mutex.Unlock()
	if added && !g.startup.has(coldstart.RunnerKnown) {
		g.startup.reach(coldstart.RunnerKnown, events.Fields{"runner": runner.ID})
	}
	switch {
	case writtenByOther:
		g.ignoreObject(RunnerObjects, object, "runner: the entry no longer names its incarnation")
	case added && known && before.Service == runner.Service:
		// Idle connections lead to the previous incarnation.
		g.ports.RunnerPool.CloseIdle(before.Address)
		g.log.Log(events.RunnerRestarted, events.Fields{"runner": runner.ID, "address": runner.Address, "incarnation": runner.Incarnation, "before": before.Incarnation, "draining": runner.Draining, "revision": object.Revision.Number(), "copy_age_ms": age})
	case added:
		batch.add(runner, object.Revision, age)
	case known && before.Draining != runner.Draining:
		g.log.Log(events.RunnerChanged, events.Fields{"runner": runner.ID, "draining": runner.Draining, "revision": object.Revision.Number(), "copy_age_ms": age})
	}
}

// maxNamedRunners is the number of runners in one change up to which each is logged. Every router
// receives the whole directory when it starts.
const maxNamedRunners = 16

// runnerBatch logs the runners that are added by one change of the directory: each by itself, or
// only their number where many arrive at once from another router, or with a further page of a first list,
// when callers wait.
type runnerBatch struct {
	gateway   *Gateway
	summarize bool
	added     int
	byService map[string]int
	revision  storerev.Revision
}

// newRunnerBatch returns the batch of a change. The mutex of the copies must be held.
func (g *Gateway) newRunnerBatch(kind ObjectKind, delta config.Delta) *runnerBatch {
	isMany := kind == RunnerObjects && len(delta.Objects) > maxNamedRunners
	summarize := isMany && (!g.directReads.isEnabled() || g.copies.isPartial())
	return &runnerBatch{gateway: g, summarize: summarize, byService: map[string]int{}, revision: delta.Through}
}

// add logs or counts a runner that was added.
func (b *runnerBatch) add(runner backend.Runner, revision storerev.Revision, ageMillis int64) {
	if b.summarize {
		b.added++
		b.byService[runner.Service]++
		return
	}
	b.gateway.log.Log(events.RunnerAdded, events.Fields{"runner": runner.ID, "service": runner.Service, "address": runner.Address, "zone": runner.Zone, "draining": runner.Draining, "revision": revision.Number(), "copy_age_ms": ageMillis})
}

// logTotal logs how many runners were counted.
func (b *runnerBatch) logTotal() {
	if b.added > 0 {
		b.gateway.log.Log(events.DirectoryReceived, events.Fields{"runners": b.added, "services": b.byService, "revision": b.revision.Number(), "source": b.gateway.peerRouters.lastSource(), "copy_age_ms": b.gateway.copies.ageMillis(b.gateway.now(), RunnerObjects)})
	}
}

// removeRunner removes the runner with the object's name, if there is one.
func (g *Gateway) removeRunner(object Object, cause string) {
	g.mutex.Lock()
	removed := g.runners.Remove(object.Name)
	g.streams.observeChange()
	g.mutex.Unlock()
	if removed {
		g.log.Log(events.RunnerRemoved, events.Fields{"runner": object.Name, "revision": object.Revision.Number(), "cause": cause, "copy_age_ms": g.copies.ageMillis(g.now(), RunnerObjects)})
	}
}
