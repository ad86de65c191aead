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

// fleet is the runners, each behind a proxy.
type fleet struct {
	store   *storestand.Store
	mutex   sync.Mutex
	runners []*runnerstand.Runner
	proxies map[string]*faultproxy.Proxy
}

func newFleet(store *storestand.Store) *fleet {
	return &fleet{store: store, proxies: map[string]*faultproxy.Proxy{}}
}

func (f *fleet) add(id, service string) error {
	config := runnerstand.Config{ID: id, Service: service, Zone: "z", Delay: 300 * time.Millisecond, Peer: f.at}
	if service == "engines" {
		config.Model, config.Version, config.Events = modelName, 1, streamEvents
	}
	runner, err := runnerstand.Start(config)
	if err != nil {
		return err
	}
	proxy, err := faultproxy.Start(runner.Address)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.runners = append(f.runners, runner)
	f.proxies[id] = proxy
	f.mutex.Unlock()
	f.list(runner, "ready")
	return nil
}

// list writes the runner's directory entry, with the proxy's address.
func (f *fleet) list(runner *runnerstand.Runner, state string) {
	entry := runner.Entry(state)
	entry["address"] = f.proxy(runner.ID).Address
	f.store.Put(platform.KindServers, runner.ID, entry)
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
	for _, runner := range f.all() {
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
		f.list(runner, "ready")
	}
}

func (f *fleet) ordersInTime() []runnerstand.Order {
	var orders []runnerstand.Order
	for _, runner := range f.all() {
		orders = append(orders, runner.Orders()...)
	}
	slices.SortFunc(orders, func(a, b runnerstand.Order) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return orders
}

func (f *fleet) close() {
	for _, runner := range f.all() {
		f.proxy(runner.ID).Close()
		runner.Close()
	}
}
