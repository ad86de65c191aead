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

// modelName is the model that the engines hold.
const modelName = "m"

// queueTime is how long calls queue at a runner that is told so: less than the time of a
// call, so that those that are not withdrawn begin.
const queueTime = 1500 * time.Millisecond

// fleet is the runners, each behind a proxy.
type fleet struct {
	store   *storestand.Store
	mutex   sync.Mutex
	runners []*runnerstand.Runner
	proxies map[string]*faultproxy.Proxy
	// listing is held while an entry is written, so that entries follow the states.
	listing sync.Mutex
	// leaves holds when each runner said that it leaves and when it came back.
	leaves map[string][]span
	// ended holds the runners that have ended for good.
	ended map[string]bool
}

func newFleet(store *storestand.Store) *fleet {
	return &fleet{store: store, proxies: map[string]*faultproxy.Proxy{}, leaves: map[string][]span{}, ended: map[string]bool{}}
}

// add starts a runner with the version of the weights, which the poison ends.
func (f *fleet) add(id, service string, version uint64, poison runnerstand.Poison) error {
	config := runnerstand.Config{ID: id, Service: service, Zone: "z", ResponseDelay: 300 * time.Millisecond, FindPeer: f.at, Poison: poison, Incarnation: 1}
	if service == "engines" {
		config.Model, config.Version, config.EventCount = modelName, version, streamEvents
	}
	runner, err := runnerstand.Start(config)
	if err != nil {
		return err
	}
	runner.SetQueueTime(queueTime)
	proxy, err := faultproxy.Start(runner.Address)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.runners = append(f.runners, runner)
	f.proxies[id] = proxy
	f.mutex.Unlock()
	f.list(runner)
	return nil
}

// end takes a runner that has ended out of what faults and heartbeats touch, and tells
// whether it had not ended before. Its machine refuses connections.
func (f *fleet) end(runner *runnerstand.Runner) bool {
	f.mutex.Lock()
	before, proxy := f.ended[runner.ID], f.proxies[runner.ID]
	f.ended[runner.ID] = true
	f.mutex.Unlock()
	proxy.Close()
	return !before
}

// hasEnded tells whether the runner has ended for good.
func (f *fleet) hasEnded(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ended[id]
}

// lapse removes the entries of runners that have ended.
func (f *fleet) lapse() {
	f.listing.Lock()
	defer f.listing.Unlock()
	for _, runner := range f.all() {
		if f.hasEnded(runner.ID) {
			f.store.Delete(platform.KindRunners, runner.ID)
		}
	}
}

// living returns the runners that have not ended.
func (f *fleet) living() []*runnerstand.Runner {
	return slices.DeleteFunc(f.all(), func(runner *runnerstand.Runner) bool { return f.hasEnded(runner.ID) })
}

// list writes the runner's directory entry as its heartbeat does.
func (f *fleet) list(runner *runnerstand.Runner) {
	f.listing.Lock()
	defer f.listing.Unlock()
	f.write(runner)
}

// listAll has all runners that have not ended write their entries.
func (f *fleet) listAll() {
	for _, runner := range f.living() {
		f.list(runner)
	}
}

// leave has the runner say that it leaves, unless it does already or half of its service
// would be gone. It returns what ends this leave, so that no other fault shortens it.
func (f *fleet) leave(runner *runnerstand.Runner) (comeBack func()) {
	f.listing.Lock()
	defer f.listing.Unlock()
	fellows := f.ofService(runner.Service)
	gone := 0
	for _, fellow := range fellows {
		if f.isLeaving(fellow.ID) {
			gone++
		}
	}
	if f.isLeaving(runner.ID) || 2*(gone+1) > len(fellows) {
		return func() {}
	}
	f.leaves[runner.ID] = append(f.leaves[runner.ID], span{})
	f.write(runner)
	f.leaves[runner.ID][len(f.leaves[runner.ID])-1].from = time.Now()
	return func() { f.comeBack(runner) }
}

// comeBack has a runner that leaves take work again.
func (f *fleet) comeBack(runner *runnerstand.Runner) {
	f.listing.Lock()
	defer f.listing.Unlock()
	f.leaves[runner.ID][len(f.leaves[runner.ID])-1].to = time.Now()
	f.write(runner)
}

// isLeaving tells whether the runner leaves now. The mutex of listing is held.
func (f *fleet) isLeaving(id string) bool {
	leaves := f.leaves[id]
	return len(leaves) > 0 && leaves[len(leaves)-1].to.IsZero()
}

// leavingSince returns since when the runner was leaving at the moment, or false when it
// was not.
func (f *fleet) leavingSince(id string, moment time.Time) (time.Time, bool) {
	f.listing.Lock()
	defer f.listing.Unlock()
	for _, leave := range f.leaves[id] {
		if !moment.Before(leave.from) && (leave.to.IsZero() || moment.Before(leave.to)) {
			return leave.from, true
		}
	}
	return time.Time{}, false
}

// write stores the runner's entry, with the proxy's address, unless it has ended. The mutex of listing is held.
func (f *fleet) write(runner *runnerstand.Runner) {
	if f.hasEnded(runner.ID) {
		return
	}
	state := "ready"
	if f.isLeaving(runner.ID) {
		state = "draining"
	}
	entry := runner.DirectoryEntry(state)
	entry["address"] = f.proxy(runner.ID).Address
	f.store.Put(platform.KindRunners, runner.ID, entry)
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
	for _, runner := range f.living() {
		if runner.Service == service {
			found = append(found, runner)
		}
	}
	return found
}

// at returns the runner that is reached at the address.
func (f *fleet) at(address string) *runnerstand.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, runner := range f.runners {
		if f.proxies[runner.ID].Address == address {
			return runner
		}
	}
	return nil
}

// refresh writes the engines' entries anew, as their heartbeats would.
func (f *fleet) refresh() {
	for _, runner := range f.ofService("engines") {
		f.list(runner)
	}
}

func (f *fleet) ordersInTime() []runnerstand.Order {
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
