package gateway

import (
	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/coldstart"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// A router that starts receives the directory of runners in pages and uses the runners of each page at
// once. Until it has all pages, its copy of the directory is partial: it has no revision, but its objects
// are current through that of the assembly. Package coldstart describes the pages.

// isPartial reports whether the copy has received pages of the directory, but not all. The mutex must be
// held.
func (c *copies) isPartial() bool {
	return c.stores[RunnerObjects].Revision() == 0 && c.assembly.Through() > 0
}

// hasPartialDirectory reports whether the router has received pages of the directory, but not all.
func (c *copies) hasPartialDirectory() bool {
	// The mutex is held while whole lists are decoded, and calls are placed meanwhile.
	if c.gateway.startup.has(coldstart.DirectoryComplete) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isPartial()
}

// currentThrough returns the revision through which the objects of the copy are current. It equals
// revision unless the copy is a partial directory.
func (c *copies) currentThrough(kind ObjectKind) storerev.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.currentThroughLocked(kind)
}

// currentThroughLocked is currentThrough. The mutex must be held.
func (c *copies) currentThroughLocked(kind ObjectKind) storerev.Revision {
	if kind == RunnerObjects && c.isPartial() {
		return c.assembly.Through()
	}
	return c.stores[kind].Revision()
}

// wantedPosition returns the position of the page that the router lacks. It returns false if it lacks none,
// or may not use pages: what a restored store lists has to be compared as a whole.
func (c *copies) wantedPosition() (position uint64, wanted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.assembly.Position(), c.acceptsPages()
}

// acceptsPages reports whether pages of the directory are used. The mutex must be held.
func (c *copies) acceptsPages() bool {
	return c.stores[RunnerObjects].Revision() == 0 && c.gateway.eraTracker.newest() <= storerev.FirstEra
}

// listedPage returns the page of a list of the store, which is in the order of names.
func listedPage(response storeResponse) coldstart.Page {
	return coldstart.Page{Objects: response.objects, Through: response.revision}
}

// addPage uses the runners of a page. newProof is the proof of the copy from which the page was cut.
func (c *copies) addPage(page coldstart.Page, newProof proof) {
	c.gateway.eraTracker.observe(page.Through.Era())
	c.mutex.Lock()
	if !c.acceptsPages() {
		c.mutex.Unlock()
		return
	}
	c.gateway.startup.reach(coldstart.SourceAnswered, events.Fields{"kind": RunnerObjects.String()})
	changed := c.stores[RunnerObjects].Merge(page.Objects)
	c.gateway.applyObjects(RunnerObjects, config.Delta{Through: page.Through, Objects: changed}, nil)
	c.assembly.Add(page)
	c.gateway.metrics.directoryPages.Inc()
	if newProof.valid {
		c.recordProof(RunnerObjects, newProof.at)
	}
	c.completeAssembly()
	c.updateStartup()
	c.mutex.Unlock()
	c.gateway.peerRouters.notifyWaiting()
}

// completeAssembly turns a partial directory of which all pages have arrived into a copy. The mutex must be
// held.
func (c *copies) completeAssembly() {
	if !c.assembly.IsComplete() {
		return
	}
	store := c.stores[RunnerObjects]
	store.Complete(c.assembly.Through())
	c.recordReached(checkpoint{revision: store.Revision(), at: c.gateway.now()})
	c.recordDirectoryComplete()
}

// recordDirectoryComplete records that all runners are known. The mutex must be held.
func (c *copies) recordDirectoryComplete() {
	isFirst := !c.gateway.startup.has(coldstart.DirectoryComplete)
	c.gateway.startup.reach(coldstart.DirectoryComplete, events.Fields{"runners": c.stores[RunnerObjects].Len(), "pages": c.assembly.Pages()})
	if isFirst {
		c.gateway.rolloutDriver.UpdateRules()
	}
}

// applyToPartial applies changes to a partial directory. The mutex must be held.
func (c *copies) applyToPartial(delta config.Delta, newProof proof) config.Outcome {
	if !c.assembly.Advance(delta.From, delta.Through) {
		return config.Gap
	}
	changed := c.stores[RunnerObjects].Merge(delta.Objects)
	c.gateway.applyObjects(RunnerObjects, config.Delta{From: delta.From, Through: delta.Through, Objects: changed}, nil)
	if newProof.valid {
		c.recordProof(RunnerObjects, newProof.at)
	}
	c.recordReached(checkpoint{revision: c.assembly.Through(), at: c.gateway.now()})
	c.updateStartup()
	return config.Applied
}

// completeList turns a partial directory of which the store has listed all pages into a copy. Objects that
// the list lacks were deleted, unless they were written after its first page.
func (c *copies) completeList(list *pendingList) {
	listed := map[string]bool{}
	for _, name := range listedNames(list.objects) {
		listed[name] = true
	}
	c.mutex.Lock()
	if !c.isPartial() {
		c.mutex.Unlock()
		return
	}
	delta := config.Delta{Full: true, Through: max(list.through, c.assembly.Through())}
	for _, object := range c.stores[RunnerObjects].Objects() {
		if listed[object.Name] || storerev.Revision(object.Version) > list.through {
			delta.Objects = append(delta.Objects, object)
		}
	}
	c.mutex.Unlock()
	c.apply(RunnerObjects, delta, proof{})
}

// appliedVersions returns the versions of the objects of a partial directory, which are in use already. The
// mutex must be held.
func (c *copies) appliedVersions(kind ObjectKind) map[string]uint64 {
	if kind != RunnerObjects || !c.isPartial() {
		return nil
	}
	versions := map[string]uint64{}
	for _, object := range c.stores[kind].Objects() {
		versions[object.Name] = object.Version
	}
	return versions
}

// withoutApplied returns the objects that are not in use yet in the given versions.
func withoutApplied(objects []v1.Object, applied map[string]uint64) []v1.Object {
	if len(applied) == 0 {
		return objects
	}
	var remaining []v1.Object
	for _, object := range objects {
		if version, found := applied[object.Name]; !found || version != object.Version {
			remaining = append(remaining, object)
		}
	}
	return remaining
}

// updateStartup marks the router as started once it can serve calls of each routed service. The mutex must
// be held.
func (c *copies) updateStartup() {
	if c.gateway.configIsProven(c.gateway.now()) && c.servesRoutes() {
		c.gateway.startup.markReady()
	}
}

// servesRoutes reports whether the directory is complete, or is proved and has a runner of each service that
// a route names. Each page of a complete directory has runners of all services that have any. The mutex must
// be held.
func (c *copies) servesRoutes() bool {
	if c.stores[RunnerObjects].Revision() > 0 {
		return true
	}
	current := c.gateway.activeConfig.Load()
	if current == nil || !c.isPartial() || c.provenAt(RunnerObjects).IsZero() {
		return false
	}
	return c.assembly.HasRange() || c.gateway.hasRunnersOf(current.table.RoutedServices())
}

// canServe reports whether the router can serve calls of each routed service.
func (c *copies) canServe() bool {
	if c.gateway.startup.has(coldstart.DirectoryComplete) {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.servesRoutes()
}

// hasRunnersOf reports whether at least one runner of each service is known.
func (g *Gateway) hasRunnersOf(services []string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, service := range services {
		if !g.runners.HasService(service) {
			return false
		}
	}
	return true
}

// newPager returns a pager of what the router knows of the directory, nil if it knows nothing.
func (c *copies) newPager() *coldstart.Pager {
	c.mutex.Lock()
	through, complete := c.currentThroughLocked(RunnerObjects), c.stores[RunnerObjects].Revision() > 0
	objects := c.stores[RunnerObjects].Objects()
	c.mutex.Unlock()
	if through == 0 {
		return nil
	}
	return coldstart.NewPager(coldstart.PagerConfig{Objects: objects, Through: through, Complete: complete, ServiceOf: c.gateway.serviceOf})
}

// serviceOf returns the service of a known runner, or an empty string.
func (g *Gateway) serviceOf(name string) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	runner, _ := g.runners.Get(name)
	return runner.Service
}
