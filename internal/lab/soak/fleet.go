package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// plainService is the name of the service without a model.
const plainService = "plain"

// modelName is the name of the model of the engines.
const modelName = "m"

// queueTime is how long calls queue at runners that queue calls. It is below callTimeout, so that
// calls that are not withdrawn are processed.
const queueTime = 1500 * time.Millisecond

// fleet holds the runners, each behind a proxy. It is safe for concurrent use.
type fleet struct {
	store *storestand.Store
	// topology gives the runners their zones.
	topology *topology
	// prefillTime is the time in which engines read a part of a prompt, 0 if they cache none, and loadTime how long they
	// take to load weights.
	prefillTime, loadTime time.Duration
	// capacity is the capacity of each runner.
	capacity runnerstand.Capacity
	mutex    sync.Mutex
	runners  []*runnerstand.Runner
	proxies  map[string]*faultproxy.Proxy
	// entryMutex is held while a directory entry is written, so that entries match the states. It
	// guards drains.
	entryMutex sync.Mutex
	// drains holds the intervals during which each runner was draining.
	drains map[string][]interval
	// unlisted holds the runners that serve on without a directory entry, guarded by entryMutex.
	unlisted map[string]bool
	// crashed holds the runners that have crashed or were stopped. They are never started again.
	crashed map[string]bool
	// usualBehaviours holds how runners behave without a fault, if that is not Normal.
	usualBehaviours map[string]runnerstand.Behaviour
}

func newFleet(store *storestand.Store, topology *topology) *fleet {
	return &fleet{store: store, topology: topology, proxies: map[string]*faultproxy.Proxy{}, drains: map[string][]interval{}, unlisted: map[string]bool{}, crashed: map[string]bool{}, usualBehaviours: map[string]runnerstand.Behaviour{}}
}

// add starts a runner with the weight version, and adds it to the directory.
func (f *fleet) add(id, service string, version uint64, poison runnerstand.Poison) error {
	config := runnerstand.Config{ID: id, Service: service, Poison: poison, Capacity: f.capacity}
	if service == "engines" {
		config.Model, config.Version, config.EventCount, config.PrefillTime, config.LoadTime = modelName, version, streamEvents, f.prefillTime, f.loadTime
	}
	_, err := f.start(config, runnerstand.Normal)
	return err
}

// addVersion starts a runner without a model that has the software version and usual behaviour, and
// adds it to the directory.
func (f *fleet) addVersion(id, service, softwareVersion string, usual runnerstand.Behaviour) (*runnerstand.Runner, error) {
	return f.start(runnerstand.Config{ID: id, Service: service, SoftwareVersion: softwareVersion}, usual)
}

// start starts a runner and its proxy, and adds the runner to the directory.
func (f *fleet) start(config runnerstand.Config, usual runnerstand.Behaviour) (*runnerstand.Runner, error) {
	config.Zone, config.ResponseDelay, config.FindPeer, config.Incarnation = f.nextZone(config), 300*time.Millisecond, f.runnerAt, 1
	runner, err := runnerstand.Start(config)
	if err != nil {
		return nil, err
	}
	runner.SetQueueTime(queueTime)
	proxy, err := f.topology.startRunnerProxy(runner.Address, config.Zone)
	if err != nil {
		runner.Close()
		return nil, err
	}
	f.mutex.Lock()
	f.runners = append(f.runners, runner)
	f.proxies[config.ID] = proxy
	f.mutex.Unlock()
	f.setUsualBehaviour(runner, usual)
	f.writeEntry(runner)
	return runner, nil
}

// nextZone returns the zone of a new runner. The runners of a service and software version are spread over
// the zones.
func (f *fleet) nextZone(config runnerstand.Config) string {
	sameKind := 0
	for _, runner := range f.all() {
		if runner.Service == config.Service && runner.SoftwareVersion == config.SoftwareVersion {
			sameKind++
		}
	}
	return f.topology.zone(sameKind)
}

// setUsualBehaviour sets how the runner behaves without a fault, and ends a fault of its behaviour.
func (f *fleet) setUsualBehaviour(runner *runnerstand.Runner, usual runnerstand.Behaviour) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.usualBehaviours[runner.ID] = usual
	runner.SetBehaviour(usual)
}

// endMisbehaviour ends a fault of the runner's behaviour.
func (f *fleet) endMisbehaviour(runner *runnerstand.Runner) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	runner.SetBehaviour(f.usualBehaviours[runner.ID])
}

// stop stops the runner without draining it and deletes its directory entry.
func (f *fleet) stop(runner *runnerstand.Runner) {
	f.markCrashed(runner)
	runner.Close()
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	f.store.Delete(platform.KindRunners, runner.ID)
}

// markCrashed excludes a crashed or stopped runner from faults and heartbeats, and closes its proxy so that
// connections are refused. It returns false if the runner had crashed before.
func (f *fleet) markCrashed(runner *runnerstand.Runner) bool {
	f.mutex.Lock()
	crashedBefore, proxy := f.crashed[runner.ID], f.proxies[runner.ID]
	f.crashed[runner.ID] = true
	f.mutex.Unlock()
	proxy.Close()
	return !crashedBefore
}

// hasCrashed reports whether the runner has crashed.
func (f *fleet) hasCrashed(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.crashed[id]
}

// deleteCrashedEntries deletes the directory entries of crashed runners.
func (f *fleet) deleteCrashedEntries() {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	for _, runner := range f.all() {
		if f.hasCrashed(runner.ID) {
			f.store.Delete(platform.KindRunners, runner.ID)
		}
	}
}

// running returns the runners that have not crashed.
func (f *fleet) running() []*runnerstand.Runner {
	return slices.DeleteFunc(f.all(), func(runner *runnerstand.Runner) bool { return f.hasCrashed(runner.ID) })
}

// writeEntry writes the directory entry of the runner, like its heartbeat.
func (f *fleet) writeEntry(runner *runnerstand.Runner) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	f.writeEntryLocked(runner)
}

// writeAllEntries writes the directory entries of all runners that have not crashed.
func (f *fleet) writeAllEntries() {
	for _, runner := range f.running() {
		f.writeEntry(runner)
	}
}

// startDraining marks the runner as draining, unless it is draining already or more than half of
// the runners of its service would be draining. It returns a function that ends this drain. The
// function does nothing if the runner was not marked, so that no fault ends the drain of another
// one.
func (f *fleet) startDraining(runner *runnerstand.Runner) (stopDraining func()) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	sameService := f.ofService(runner.Service)
	drainingCount := 0
	for _, other := range sameService {
		if f.isDraining(other.ID) {
			drainingCount++
		}
	}
	if f.isDraining(runner.ID) || 2*(drainingCount+1) > len(sameService) {
		return func() {}
	}
	f.markDraining(runner)
	return func() { f.stopDraining(runner) }
}

// markDraining marks the runner as draining. entryMutex must be held.
func (f *fleet) markDraining(runner *runnerstand.Runner) {
	f.drains[runner.ID] = append(f.drains[runner.ID], interval{})
	f.writeEntryLocked(runner)
	f.drains[runner.ID][len(f.drains[runner.ID])-1].from = time.Now()
}

// startFinalDrain marks the runner as draining however many runners of its service are draining. The
// drain never ends.
func (f *fleet) startFinalDrain(runner *runnerstand.Runner) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	if !f.isDraining(runner.ID) {
		f.markDraining(runner)
	}
}

// unlist deletes the directory entry of a runner, which serves on.
func (f *fleet) unlist(runner *runnerstand.Runner) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	f.unlisted[runner.ID] = true
	f.store.Delete(platform.KindRunners, runner.ID)
}

// stopDraining marks a draining runner as ready again.
func (f *fleet) stopDraining(runner *runnerstand.Runner) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	f.drains[runner.ID][len(f.drains[runner.ID])-1].to = time.Now()
	f.writeEntryLocked(runner)
}

// isDraining reports whether the runner is draining. entryMutex must be held.
func (f *fleet) isDraining(id string) bool {
	drains := f.drains[id]
	return len(drains) > 0 && drains[len(drains)-1].to.IsZero()
}

// drainingSince returns since when the runner had been draining at the moment, and false if it was
// not draining.
func (f *fleet) drainingSince(id string, moment time.Time) (time.Time, bool) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	for _, drain := range f.drains[id] {
		if !moment.Before(drain.from) && (drain.to.IsZero() || moment.Before(drain.to)) {
			return drain.from, true
		}
	}
	return time.Time{}, false
}

// wasDraining reports whether the runner was draining at any time between the moments.
func (f *fleet) wasDraining(id string, from, to time.Time) bool {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	return slices.ContainsFunc(f.drains[id], func(drain interval) bool {
		return drain.from.Before(to) && (drain.to.IsZero() || drain.to.After(from))
	})
}

// writeEntryLocked writes the directory entry of the runner, with the address of its proxy, unless
// the runner has crashed or is unlisted. entryMutex must be held.
func (f *fleet) writeEntryLocked(runner *runnerstand.Runner) {
	if f.hasCrashed(runner.ID) || f.unlisted[runner.ID] {
		return
	}
	state := "ready"
	if f.isDraining(runner.ID) {
		state = "draining"
	}
	entry := runner.DirectoryEntry(state)
	entry["address"] = f.proxy(runner.ID).Address
	f.store.Put(platform.KindRunners, runner.ID, entry)
}

// writeFormerEntry lists the runner with a second ID, and returns a function that ends that.
func (f *fleet) writeFormerEntry(runner *runnerstand.Runner) (remove func()) {
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	if f.hasCrashed(runner.ID) {
		return func() {}
	}
	former := runner.ID + "-former"
	entry := runner.DirectoryEntry("ready")
	entry["address"] = f.proxy(runner.ID).Address
	f.store.Put(platform.KindRunners, former, entry)
	return func() { f.store.Delete(platform.KindRunners, former) }
}

func (f *fleet) proxy(id string) *faultproxy.Proxy {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proxies[id]
}

func (f *fleet) all() []*runnerstand.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.runners)
}

func (f *fleet) ofService(service string) []*runnerstand.Runner {
	var found []*runnerstand.Runner
	for _, runner := range f.running() {
		if runner.Service == service {
			found = append(found, runner)
		}
	}
	return found
}

// serving returns the runners of the service that are not leaving.
func (f *fleet) serving(service string) []*runnerstand.Runner {
	all := f.ofService(service)
	f.entryMutex.Lock()
	defer f.entryMutex.Unlock()
	return slices.DeleteFunc(all, func(runner *runnerstand.Runner) bool { return f.isDraining(runner.ID) })
}

// servingCount returns how many runners of the service and software version serve and are not leaving.
func (f *fleet) servingCount(service, version string) (count int) {
	for _, runner := range f.serving(service) {
		if runner.SoftwareVersion == version {
			count++
		}
	}
	return count
}

// runnerAt returns the runner whose proxy has the address, nil if there is none.
func (f *fleet) runnerAt(address string) *runnerstand.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, runner := range f.runners {
		if f.proxies[runner.ID].Address == address {
			return runner
		}
	}
	return nil
}

// writeEngineEntries writes the directory entries of all engines, like their heartbeats.
func (f *fleet) writeEngineEntries() {
	for _, runner := range f.ofService("engines") {
		f.writeEntry(runner)
	}
}

// ordersByTime returns the orders that all runners received, oldest first.
func (f *fleet) ordersByTime() []runnerstand.Order {
	var orders []runnerstand.Order
	for _, runner := range f.all() {
		orders = append(orders, runner.Orders()...)
	}
	slices.SortFunc(orders, func(a, b runnerstand.Order) int { return cmp.Compare(a.ReceivedAt.UnixNano(), b.ReceivedAt.UnixNano()) })
	return orders
}

func (f *fleet) close() {
	for _, runner := range f.all() {
		f.proxy(runner.ID).Close()
		runner.Close()
	}
}
