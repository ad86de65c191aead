package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// objectKinds returns the kinds of objects that the router copies from the store.
func (s *Settings) objectKinds() []ObjectKind {
	kinds := []ObjectKind{ConfigObjects, RunnerObjects, WeightObjects}
	if s.ExposedShare > 0 {
		kinds = append(kinds, RolloutObjects)
	}
	return kinds
}

// separatelyProvenKinds returns the kinds whose proofs are sent separately from their objects. The
// proof of the configuration is sent together with it.
func (c *copies) separatelyProvenKinds() []ObjectKind { return c.kinds[1:] }

// proof states that a delta completed the copy of a kind as of the time at. That is the time before
// the store call was sent. The proof holds only if valid is set.
type proof struct {
	at    time.Time
	valid bool
}

// copies holds this router's copies of the objects in the store. All changes, whether from the
// store or from another router, are applied here one at a time. The revision of a copy never
// decreases, even if the store is restored from a backup.
type copies struct {
	gateway *Gateway
	// kinds are the kinds that are copied, the configuration first.
	kinds  []ObjectKind
	mutex  sync.Mutex
	stores map[ObjectKind]*config.Store
	// provenTimes holds the latest time at which each copy was known to be complete, nil before the
	// first one. It is read without the mutex, which is held while whole lists are decoded.
	provenTimes map[ObjectKind]*atomic.Pointer[time.Time]
	// reachedRevisions holds the highest revisions that any copy has reached and when, in ascending
	// order, at most maxCheckpoints of them.
	reachedRevisions []checkpoint
	// assembly tracks the pages of the directory until the router has all of them. While it is partial, the
	// runners that were received are in stores, without a revision.
	assembly *coldstart.Assembly
	// checkpoints holds the store's latest revisions.
	checkpoints checkpoints
	// reappeared holds the revisions of runner entries, by name, that had been deleted and came
	// back when the store was restored from a backup. They are not used yet.
	reappeared map[string]storerev.Revision
}

func newCopies(g *Gateway) *copies {
	c := &copies{gateway: g, kinds: g.settings.objectKinds(), stores: map[ObjectKind]*config.Store{}, provenTimes: map[ObjectKind]*atomic.Pointer[time.Time]{}, reappeared: map[string]storerev.Revision{}, assembly: coldstart.NewAssembly(coldstart.Position(g.settings.PeerAddress))}
	for _, kind := range c.kinds {
		c.stores[kind] = config.NewOpaqueStore()
		c.provenTimes[kind] = &atomic.Pointer[time.Time]{}
	}
	return c
}

// provenAt returns the latest time at which the copy was known to be complete, or the zero time.
func (c *copies) provenAt(kind ObjectKind) time.Time {
	if at := c.provenTimes[kind].Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// age returns the time since the copy was last known to be complete. It returns false if it never
// was.
func (c *copies) age(now time.Time, kind ObjectKind) (time.Duration, bool) {
	at := c.provenAt(kind)
	return now.Sub(at), !at.IsZero()
}

// ageMillis returns the age in milliseconds for log fields, or -1 if it is unknown.
func (c *copies) ageMillis(now time.Time, kind ObjectKind) int64 {
	if age, known := c.age(now, kind); known {
		return age.Milliseconds()
	}
	return -1
}

// recordProof records that the copy was complete at the given time. The mutex must be held.
func (c *copies) recordProof(kind ObjectKind, at time.Time) {
	if at.After(c.provenAt(kind)) {
		c.provenTimes[kind].Store(&at)
	}
	if kind == ConfigObjects {
		c.gateway.recordConfigProof(at)
	}
}

// holds reports whether the router copies the kind.
func (c *copies) holds(kind ObjectKind) bool { return c.stores[kind] != nil }

// revision returns the store revision through which the copy is complete.
func (c *copies) revision(kind ObjectKind) storerev.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stores[kind].Revision()
}

// hasAllKinds reports whether there is a copy of each kind.
func (c *copies) hasAllKinds() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range c.stores {
		if store.Revision() == 0 {
			return false
		}
	}
	return true
}

// changesAfter returns the changes after the revision.
func (c *copies) changesAfter(kind ObjectKind, revision storerev.Revision) config.Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stores[kind].Since(revision)
}

// apply applies changes to the copy and to the state derived from it. A delta of an earlier era of
// the store than the copy's proves nothing, because it lacks everything written since.
func (c *copies) apply(kind ObjectKind, delta config.Delta, newProof proof) config.Outcome {
	c.gateway.eraTracker.observe(delta.Through.Era())
	c.mutex.Lock()
	if kind == RunnerObjects && c.isPartial() && !delta.Full {
		defer c.mutex.Unlock()
		return c.applyToPartial(delta, newProof)
	}
	previous, applied := c.stores[kind].Revision(), c.appliedVersions(kind)
	delta = c.reconcile(kind, delta)
	outcome := c.stores[kind].Apply(delta)
	if outcome == config.Applied {
		c.gateway.startup.reach(coldstart.SourceAnswered, events.Fields{"kind": kind.String()})
		c.gateway.applyObjects(kind, c.withoutReappeared(kind, c.effectiveChanges(kind, previous, delta)), applied)
	}
	c.recordReached(checkpoint{revision: c.stores[kind].Revision(), at: c.gateway.now()})
	if newProof.valid && outcome != config.Gap && delta.Through.Era() == c.stores[kind].Revision().Era() {
		c.recordProof(kind, newProof.at)
	}
	if kind == RunnerObjects && outcome == config.Applied {
		c.recordDirectoryComplete()
	}
	c.updateStartup()
	c.mutex.Unlock()
	c.gateway.peerRouters.notifyWaiting()
	if outcome == config.Applied && len(delta.Objects) > 0 && previous > 0 {
		c.gateway.peerRouters.push(kind, previous)
	}
	return outcome
}

// effectiveChanges returns the changes to pass to applyObjects after a delta was applied to a copy
// that was at the previous revision. For a full delta that is the whole copy, because a full delta
// of another router may include objects that this router knows to be deleted. Otherwise objects
// that were already applied are left out: two watches may return the same changes, and an older one
// must not take effect even briefly. The mutex must be held.
func (c *copies) effectiveChanges(kind ObjectKind, previous storerev.Revision, delta config.Delta) config.Delta {
	changed := delta
	if delta.Full {
		changed.Objects = c.stores[kind].Objects()
		return changed
	}
	changed.Objects = nil
	for _, object := range delta.Objects {
		if storerev.Revision(object.Version) > previous {
			changed.Objects = append(changed.Objects, object)
		}
	}
	return changed
}

// applyObjects applies changed objects in order, except those that were applied before in the same version.
func (g *Gateway) applyObjects(kind ObjectKind, delta config.Delta, applied map[string]uint64) {
	if kind == RunnerObjects {
		g.directoryRevision.Store(uint64(delta.Through))
	}
	switch {
	case kind == RunnerObjects && delta.Full:
		g.retainRunners(delta.Objects)
	case kind == RolloutObjects && delta.Full:
		g.rolloutDriver.Retain(listedNames(delta.Objects))
	}
	delta.Objects = withoutApplied(delta.Objects, applied)
	batch := g.newRunnerBatch(kind, delta)
	for _, object := range delta.Objects {
		g.applyObject(kind, object, batch)
	}
	batch.logTotal()
	if kind == RunnerObjects || kind == RolloutObjects {
		g.rolloutDriver.UpdateRules()
	}
}

// applySingleObject applies one object that is not part of a batch.
func (g *Gateway) applySingleObject(kind ObjectKind, stored v1.Object) {
	g.applyObject(kind, stored, &runnerBatch{gateway: g})
}

// applyObject applies one object. batch collects the runners that are added.
func (g *Gateway) applyObject(kind ObjectKind, stored v1.Object, batch *runnerBatch) {
	object := g.ports.Decode(kind, stored)
	switch {
	case object.Fault != "":
		g.ignoreObject(kind, object, object.Fault)
	case object.Config != nil:
		g.applyConfig(object)
	case object.Runner != nil || (kind == RunnerObjects && object.Removed):
		g.applyRunner(object, batch)
	case object.Weights != nil:
		g.applyWeights(object)
	case kind == RolloutObjects:
		g.rolloutDriver.Apply(rolloutdriver.Object{Name: object.Name, Revision: object.Revision, Rollout: object.Rollout})
	}
}

// applyConfig makes a configuration the active one unless the active one is newer.
func (g *Gateway) applyConfig(object Object) {
	current := g.activeConfig.Load()
	if current != nil && !current.isSupersededBy(object) {
		return
	}
	next := &activeConfig{table: routing.NewTable(object.Config), revision: object.Revision}
	if current != nil {
		next.provenAt = current.provenAt
	}
	g.mutex.Lock()
	g.splitter.Retain(object.Config)
	g.runners.SetServices(serviceNames(object.Config))
	g.runners.SetCacheStores(next.table.CacheStores())
	g.mutex.Unlock()
	g.paths.retain(serviceNames(object.Config))
	g.streams.setWindow(object.Config.Routes)
	g.activeConfig.Store(next)
	g.rolloutDriver.ApplyConfigChange()
	g.log.Log(events.ConfigInForce, events.Fields{
		"version": object.Config.Version, "revision": object.Revision.Number(), "era": object.Revision.Era(),
		"routes": len(object.Config.Routes), "services": len(object.Config.Services), "tenants": len(object.Config.Tenants),
	})
	if current == nil {
		g.startup.reach(coldstart.ConfigKnown, nil)
		g.log.Log(events.NodeServing, events.Fields{"after_ms": g.since(g.startedAt).Milliseconds()})
	}
}

func serviceNames(config *routing.Config) []string {
	names := make([]string, 0, len(config.Services))
	for _, service := range config.Services {
		names = append(names, service.Name)
	}
	return names
}

// recordConfigProof records that the active configuration was current at the given time. The mutex
// of the copies must be held, so that the active configuration does not change meanwhile.
func (g *Gateway) recordConfigProof(at time.Time) {
	current := g.activeConfig.Load()
	if current == nil {
		if last := g.provenEmptyAt.Load(); last == nil || at.After(*last) {
			g.provenEmptyAt.Store(&at)
		}
		return
	}
	if !at.After(current.provenAt) {
		return
	}
	updated := *current
	updated.provenAt = at
	g.activeConfig.Store(&updated)
	if updated.isFresh(g.now(), g.settings.ConfigLease) && g.configStale.CompareAndSwap(true, false) {
		g.log.Log(events.ConfigProven, events.Fields{"version": current.table.Version, "unproven_ms": g.since(current.provenAt).Milliseconds()})
	}
}

// logStaleConfig logs once that the proof of the active configuration is too old.
func (g *Gateway) logStaleConfig(now time.Time) {
	current := g.activeConfig.Load()
	if current == nil || current.provenAt.IsZero() || current.isFresh(now, g.settings.ConfigLease) {
		return
	}
	if g.configStale.CompareAndSwap(false, true) {
		g.log.Log(events.ConfigStale, events.Fields{"version": current.table.Version, "revision": current.revision.Number(), "unproven_ms": now.Sub(current.provenAt).Milliseconds()})
	}
}

func (g *Gateway) applyWeights(object Object) {
	now := g.now()
	model, version := object.Weights.Model, object.Weights.Version
	observation := g.namingObservation(now, object.Revision)
	g.mutex.Lock()
	history := g.namingHistories.ForModel(model)
	if version <= history.NamedVersion() {
		g.mutex.Unlock()
		return
	}
	history.RecordNaming(version, observation)
	g.runners.WeightTargets().SetTarget(model, version, namings.OlderVersionDeadlines(g.settings.namingConfig(), observation))
	g.updateOlderDeadlines(model, history)
	olderExpiry := history.OldestExpiry(g.settings.namingConfig())
	g.mutex.Unlock()
	g.log.Log(events.WeightsNamed, events.Fields{
		"model": model, "version": version, "revision": object.Revision.Number(), "era": object.Revision.Era(),
		"older_until_ms": olderExpiry.Sub(now).Milliseconds(), "copy_age_ms": g.copies.ageMillis(now, WeightObjects),
	})
	wake(g.weightsNamed)
}
