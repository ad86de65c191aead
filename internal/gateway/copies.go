package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/routing"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// objectKinds lists the kinds that are copied from the store.
var objectKinds = []ObjectKind{ConfigObjects, RunnerObjects, WeightObjects}

// provenApart lists the kinds whose proofs travel apart from the objects: that of the
// configuration comes with it.
var provenApart = []ObjectKind{RunnerObjects, WeightObjects}

// proof is the moment at which the objects that come with it were all there were
// of their kind: counted from before the call to the store was sent.
type proof struct {
	at    time.Time
	given bool
}

// copies are this router's copies of the store's objects. Whatever way changes
// come, from the store or another router, they are applied here, one at a time,
// and a copy never goes back, also where the store does.
type copies struct {
	gateway *Gateway
	mutex   sync.Mutex
	stores  map[ObjectKind]*config.Store
	// proven is when each copy was last known to lack nothing, nil before. It is read
	// without the mutex, which is held while whole lists are decoded.
	proven map[ObjectKind]*atomic.Pointer[time.Time]
	// reached holds the highest revisions that any copy has reached, with when, in their
	// order; there are maxCheckpoints at most.
	reached []checkpoint
	// checkpoints are the store's latest revisions.
	checkpoints checkpoints
	// returned are the revisions of entries of runners that were gone before the store came
	// back from a copy that has them, by name.
	returned map[string]storerev.Revision
}

func newCopies(g *Gateway) *copies {
	c := &copies{gateway: g, stores: map[ObjectKind]*config.Store{}, proven: map[ObjectKind]*atomic.Pointer[time.Time]{}, returned: map[string]storerev.Revision{}}
	for _, kind := range objectKinds {
		c.stores[kind] = config.NewOpaqueStore()
		c.proven[kind] = &atomic.Pointer[time.Time]{}
	}
	return c
}

// provenAt is when the copy was last known to lack nothing, zero before.
func (c *copies) provenAt(kind ObjectKind) time.Time {
	if at := c.proven[kind].Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// age is how old the copy may be, or false when it was never known to lack nothing.
func (c *copies) age(now time.Time, kind ObjectKind) (time.Duration, bool) {
	at := c.provenAt(kind)
	return now.Sub(at), !at.IsZero()
}

// ageMillis is the age for logs: in milliseconds, -1 when it is not known.
func (c *copies) ageMillis(now time.Time, kind ObjectKind) int64 {
	if age, known := c.age(now, kind); known {
		return age.Milliseconds()
	}
	return -1
}

// prove notes that the copy lacked nothing at the moment. The mutex is held.
func (c *copies) prove(kind ObjectKind, at time.Time) {
	if at.After(c.provenAt(kind)) {
		c.proven[kind].Store(&at)
	}
	if kind == ConfigObjects {
		c.gateway.prove(at)
	}
}

// revision returns the store's revision up to which the copy is complete.
func (c *copies) revision(kind ObjectKind) storerev.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stores[kind].Revision()
}

// complete tells whether there is a copy of each kind.
func (c *copies) complete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, store := range c.stores {
		if store.Revision() == 0 {
			return false
		}
	}
	return true
}

// since returns the changes after the revision.
func (c *copies) since(kind ObjectKind, revision storerev.Revision) config.Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stores[kind].Since(revision)
}

// apply takes changes into the copy and puts them in force. What comes from an earlier era of
// the store than the copy proves nothing: it knows nothing of what was written since.
func (c *copies) apply(kind ObjectKind, delta config.Delta, proven proof) config.Outcome {
	c.gateway.era.told(delta.Through.Era())
	c.mutex.Lock()
	before := c.stores[kind].Revision()
	delta = c.reconcile(kind, delta)
	outcome := c.stores[kind].Apply(delta)
	if outcome == config.Applied {
		c.gateway.putInForce(kind, c.withoutReturned(kind, c.changed(kind, before, delta)))
	}
	c.noteReached(checkpoint{revision: c.stores[kind].Revision(), at: c.gateway.now()})
	if proven.given && outcome != config.Gap && delta.Through.Era() == c.stores[kind].Revision().Era() {
		c.prove(kind, proven.at)
	}
	if c.stores[RunnerObjects].Revision() > 0 && c.gateway.configIsProven(c.gateway.now()) {
		c.gateway.startup.markReady()
	}
	c.mutex.Unlock()
	if outcome == config.Applied && len(delta.Objects) > 0 && before > 0 {
		c.gateway.relays.push(kind, before)
	}
	return outcome
}

// changed returns what a delta that was taken at the revision changes. A whole one stands for all
// that the copy has now: another router's may hold what this one knows to be gone. Of others what
// was in force already is left out: two watches may bring the same changes, and an older one must
// not come into force for a moment. The mutex is held.
func (c *copies) changed(kind ObjectKind, revision storerev.Revision, delta config.Delta) config.Delta {
	changed := delta
	if delta.Full {
		changed.Objects = c.stores[kind].Objects()
		return changed
	}
	changed.Objects = nil
	for _, object := range delta.Objects {
		if storerev.Revision(object.Version) > revision {
			changed.Objects = append(changed.Objects, object)
		}
	}
	return changed
}

// putInForce applies changed objects in order.
func (g *Gateway) putInForce(kind ObjectKind, delta config.Delta) {
	if kind == RunnerObjects {
		g.directoryRevision.Store(uint64(delta.Through))
	}
	if kind == RunnerObjects && delta.Full {
		g.retainRunners(delta.Objects)
	}
	for _, stored := range delta.Objects {
		g.putObjectInForce(kind, stored)
	}
}

func (g *Gateway) putObjectInForce(kind ObjectKind, stored v1.Object) {
	object := g.ports.Decode(kind, stored)
	switch {
	case object.Fault != "":
		g.ignoreObject(kind, object, object.Fault)
	case object.Config != nil:
		g.applyConfig(object)
	case object.Runner != nil || (kind == RunnerObjects && object.Gone):
		g.applyRunner(object)
	case object.Weights != nil:
		g.applyWeights(object)
	}
}

// applyConfig puts a configuration in force. It never goes back to an older one.
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
	g.mutex.Unlock()
	g.activeConfig.Store(next)
	g.log.Log(events.ConfigInForce, events.Fields{
		"version": object.Config.Version, "revision": object.Revision.Number(), "era": object.Revision.Era(),
		"routes": len(object.Config.Routes), "services": len(object.Config.Services), "tenants": len(object.Config.Tenants),
	})
	if current == nil {
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

// prove notes that the configuration in force was so at the moment. The copies'
// mutex is held, so the view does not change in between.
func (g *Gateway) prove(at time.Time) {
	current := g.activeConfig.Load()
	if current == nil {
		if known := g.provenEmptyAt.Load(); known == nil || at.After(*known) {
			g.provenEmptyAt.Store(&at)
		}
		return
	}
	if !at.After(current.provenAt) {
		return
	}
	proven := *current
	proven.provenAt = at
	g.activeConfig.Store(&proven)
	if proven.isFresh(g.now(), g.settings.ConfigLease) && g.configStale.CompareAndSwap(true, false) {
		g.log.Log(events.ConfigProven, events.Fields{"version": current.table.Version, "unproven_ms": g.since(current.provenAt).Milliseconds()})
	}
}

// noteStale logs once that the configuration in force is no longer proved.
func (g *Gateway) noteStale(now time.Time) {
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
	news := g.weightNews(now, object.Revision)
	g.mutex.Lock()
	known := g.weightBounds.Of(model)
	if version <= known.Named() {
		g.mutex.Unlock()
		return
	}
	known.Learn(version, news)
	g.runners.WeightTargets().SetTarget(model, version, namings.Older(g.settings.namingConfig(), news))
	g.updateOlderDeadlines(model, known)
	until := known.OlderUntil(g.settings.namingConfig())
	g.mutex.Unlock()
	g.log.Log(events.WeightsNamed, events.Fields{
		"model": model, "version": version, "revision": object.Revision.Number(), "era": object.Revision.Era(),
		"older_until_ms": until.Sub(now).Milliseconds(), "copy_age_ms": g.copies.ageMillis(now, WeightObjects),
	})
	select {
	case g.weightsNamed <- struct{}{}:
	default:
	}
}
