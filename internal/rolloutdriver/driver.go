// Package rolloutdriver applies the operator's orders to move services to other software versions. It
// connects the decisions of package versionrollout with the router: the table of runners, the other
// schedulers, the store and the log, which it reaches through the interfaces in ports.go.
package rolloutdriver

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

// maxClockSkew is how far the wall clocks of two machines are assumed to differ at most. They are
// compared only by routers that learn of an order from its status.
const maxClockSkew = 100 * time.Millisecond

// Config is the configuration of a driver.
type Config struct {
	// Node is the name of this router, and Incarnation differs for each start of it.
	Node        string
	Incarnation uint64
	// MaxShare is the share of a service's requests that a bad version may get, and Slack the number
	// beyond this share. If the share is 0, services can't be moved.
	MaxShare, Slack float64
}

// Driver applies the operator's orders to move services to other software versions at this
// router: which versions get requests, which requests go to a target version, and how they end.
// Requests go there only where they are placed by a router that holds a permit of the leader, so a
// router that is cut off from the leader, or is no scheduler, sends none there.
type Driver struct {
	config Config
	ports  Ports
	// rulesMutex serializes updates of the rules, so that older rules never replace newer ones. It is
	// locked before the mutex and before those of the ports.
	rulesMutex sync.Mutex
	// leadWake and reportWake end the wait of LeadLoop and ReportLoop.
	leadWake, reportWake chan struct{}
	// mutex guards the fields below. It may be locked while the mutex of the table of runners is
	// held, but not the other way round.
	mutex sync.Mutex
	// termEnd is when this router's term as the leader ends unless it is renewed, zero without one.
	termEnd time.Time
	// byService holds the valid order of each service.
	byService map[string]*serviceRollout
	// rejected holds the orders that can't be carried out under the current configuration, by name.
	rejected map[string]Object
	// replaced holds the orders that one of another name has replaced for their service, by name. They
	// don't come back into force by a change of their status.
	replaced map[string]versionrollout.Order
	// heardAt is when each router last reported on any rollout.
	heardAt map[string]time.Time
	// ordersKnown is set once this router has had a complete copy of the orders. Before, that an order is missing shows nothing.
	ordersKnown bool
	// baseVersions holds, by service, the version that gets requests without an order, or beside one that
	// has not succeeded.
	baseVersions map[string]string
}

// serviceRollout is one order and what this router knows about it.
type serviceRollout struct {
	name     string
	stored   StoredRollout
	revision storerev.Revision
	// earliestStart and latestStart bound the time at which the order was written.
	earliestStart, latestStart time.Time
	// learnedAt is when this router learned of the order. Requests placed before do not count.
	learnedAt time.Time
	// state and reserved are the newest known. They are ahead of the stored status while the
	// store is away, and after it was restored from a backup.
	state    versionrollout.State
	reason   string
	reserved uint64
	placer   placer
	lead     lead
	// rollbackIsStored is set once a status that says rolled back was in the store.
	rollbackIsStored bool
	// write is the status that is being written, nil if none is.
	write *statusWrite
	// writeAfter is when the next write may start after one that failed.
	writeAfter time.Time
}

// New returns a driver without orders.
func New(config Config, ports Ports) *Driver {
	return &Driver{
		config: config, ports: ports, leadWake: make(chan struct{}, 1), reportWake: make(chan struct{}, 1),
		heardAt: map[string]time.Time{}, byService: map[string]*serviceRollout{}, rejected: map[string]Object{}, replaced: map[string]versionrollout.Order{}, baseVersions: map[string]string{},
	}
}

// isEnabled reports whether services may be moved on this deployment.
func (d *Driver) isEnabled() bool { return d.config.MaxShare > 0 }

// writer identifies this run of the router in statuses.
func (d *Driver) writer() string {
	return d.config.Node + "/" + strconv.FormatUint(d.config.Incarnation, 10)
}

// wake ends the wait of a loop.
func wake(loop chan struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// Retain removes the orders whose objects are missing from a complete list of names.
func (d *Driver) Retain(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ordersKnown = true
	isMissing := func(name string) bool { return !slices.Contains(names, name) }
	maps.DeleteFunc(d.rejected, func(name string, _ Object) bool { return isMissing(name) })
	maps.DeleteFunc(d.replaced, func(name string, _ versionrollout.Order) bool { return isMissing(name) })
	maps.DeleteFunc(d.byService, func(_ string, r *serviceRollout) bool { return isMissing(r.name) })
}

// Apply applies an order or its removal.
func (d *Driver) Apply(object Object) {
	if object.Rollout == nil {
		d.mutex.Lock()
		maps.DeleteFunc(d.byService, func(_ string, r *serviceRollout) bool { return r.name == object.Name })
		delete(d.rejected, object.Name)
		delete(d.replaced, object.Name)
		d.mutex.Unlock()
		return
	}
	order := object.Rollout.Order
	if err := order.Check(d.isConfigured(order.Service)); err != nil {
		d.mutex.Lock()
		d.rejected[object.Name] = object
		d.mutex.Unlock()
		d.ports.Log.Log(events.RolloutRejected, events.Fields{"name": object.Name, "service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(), "reason": err.Error()})
		return
	}
	earliestStart, latestStart := d.startTimes(object)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.rejected, object.Name)
	known := d.byService[order.Service]
	if known != nil && known.name != object.Name {
		// A copy of the store brings objects in any sequence.
		if d.replaced[object.Name] == order || object.Revision < known.revision {
			d.replaced[object.Name] = order
			return
		}
		d.replaced[known.name] = known.stored.Order
	}
	delete(d.replaced, object.Name)
	if known == nil || known.stored.Order != order || known.name != object.Name {
		known = &serviceRollout{name: object.Name, earliestStart: earliestStart, latestStart: latestStart, learnedAt: d.ports.Clock.Now()}
		d.byService[order.Service] = known
		d.ports.Log.Log(events.RolloutOrdered, events.Fields{"service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(), "revision": object.Revision.Number()})
		wake(d.leadWake)
	}
	if object.Revision < known.revision {
		return
	}
	d.applyStored(known, *object.Rollout, object.Revision)
}

// applyStored replaces what is known to be stored. The mutex must be held.
func (d *Driver) applyStored(r *serviceRollout, stored StoredRollout, revision storerev.Revision) {
	if !r.isOwnWrite(stored.Status) && !sameStatus(r.stored.Status, stored.Status) {
		// Another leader wrote it, or the store was restored. A new account takes all that was
		// reserved as spent.
		if r.lead.controller != nil && d.ports.Clock.Now().Before(d.termEnd) && !r.state.IsFinal() {
			d.ports.Log.Log(events.RolloutAccountRestarted, events.Fields{"service": stored.Order.Service, "target": stored.Order.Target, "reserved": max(r.reserved, reservedIn(stored.Status)), "revision": revision.Number()})
		}
		r.lead.controller = nil
	}
	r.stored, r.revision = stored, revision
	status := stored.Status
	if status == nil {
		return
	}
	r.reserved = max(r.reserved, status.Reserved)
	if r.lead.controller != nil {
		r.lead.controller.RecordReserved(r.reserved)
	}
	if status.State == versionrollout.RolledBack {
		r.rollbackIsStored = true
	}
	d.enterState(r, status.State, status.Reason)
}

// reservedIn returns the reservation of a status, 0 if there is none.
func reservedIn(status *Status) uint64 {
	if status == nil {
		return 0
	}
	return status.Reserved
}

// countedIn returns the number of requests in a status, 0 if there is none.
func countedIn(status *Status) uint64 {
	if status == nil {
		return 0
	}
	return status.Requests
}

// sameStatus reports whether the two statuses are equal or both missing.
func sameStatus(a, b *Status) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.State == b.State && a.Reserved == b.Reserved && a.Promoted == b.Promoted && a.Writer == b.Writer && a.Uncounted == b.Uncounted
}

// ApplyConfigChange checks the rejected orders again and updates the rules under a new configuration.
func (d *Driver) ApplyConfigChange() {
	d.mutex.Lock()
	rejected := slices.Collect(maps.Values(d.rejected))
	d.mutex.Unlock()
	for _, object := range rejected {
		d.Apply(object)
	}
	d.UpdateRules()
}

func (d *Driver) isConfigured(service string) bool {
	services, _ := d.ports.Services.ServiceNames()
	return slices.Contains(services, service)
}

// startTimes returns the earliest and the latest time at which the order may have been written.
func (d *Driver) startTimes(object Object) (earliest, latest time.Time) {
	now := d.ports.Clock.Now()
	if status := object.Rollout.Status; status != nil && !status.StartedAt.IsZero() {
		// The wall clock may jump.
		elapsed := min(max(time.Since(status.StartedAt), 0), object.Rollout.Order.Duration)
		earliest = now.Add(-elapsed)
		latest = earliest.Add(status.StartUncertainty + maxClockSkew)
		return earliest.Add(-maxClockSkew), clock.Earlier(latest, now)
	}
	if written := d.ports.Store.LatestBefore(object.Revision); !written.IsZero() && written.Before(now) {
		return written, now
	}
	return now, now
}

// enterState records a state. A final one stays, except that a stored success holds over a rollback that never was in
// the store, as the old runners stop at the success. The mutex must be held.
func (d *Driver) enterState(r *serviceRollout, state versionrollout.State, reason string) {
	overrulesRollback := state == versionrollout.Succeeded && !r.rollbackIsStored
	if r.state == state || (r.state.IsFinal() && !overrulesRollback) {
		return
	}
	r.state, r.reason = state, reason
	r.placer.exposure.Revoke()
	d.ports.Log.Log(events.RolloutEnded, events.Fields{"service": r.stored.Order.Service, "target": r.stored.Order.Target, "state": state.String(), "reason": reason})
}

// orderRule returns which versions get the requests that name none while the order is known: the version that the
// service had before, or the target version after the success. While the service is moved, the requests for the
// target version name it. Any other version belongs to a later order that this router does not know yet: its
// runners are listed as soon as that order is written. The mutex must be held.
func (d *Driver) orderRule(service string, r *serviceRollout, counts map[string]int) backend.VersionRule {
	target, base := r.stored.Order.Target, d.baseVersions[service]
	if r.state == versionrollout.Succeeded {
		d.baseVersions[service] = target
		return backend.VersionRule{Only: target}
	}
	isPromoted := r.stored.Status != nil && r.stored.Status.Promoted
	if base == target || counts[base] == 0 && !isPromoted {
		others := maps.Clone(counts)
		delete(others, target)
		base = baseVersion("", others)
	}
	if base == "" {
		return backend.VersionRule{Excluded: target}
	}
	d.baseVersions[service] = base
	return backend.VersionRule{Only: base}
}

// UpdateRules sets which versions of each service get requests. Without an order that is the version
// that the service had first, as long as one of its runners has it.
func (d *Driver) UpdateRules() {
	if !d.isEnabled() {
		return
	}
	d.rulesMutex.Lock()
	defer d.rulesMutex.Unlock()
	services, configured := d.ports.Services.ServiceNames()
	if !configured {
		return
	}
	counts := map[string]map[string]int{}
	for _, service := range services {
		counts[service] = d.ports.Runners.VersionCounts(service)
	}
	d.ports.Runners.SetVersionRules(d.rules(services, counts, d.ports.Runners.IsListComplete()), d.config.MaxShare)
}

// rules returns the rules of the services, given how many runners have each version and whether all runners are known. Until the
// orders are known, only a version that all runners have may be the one that the service had first.
func (d *Driver) rules(services []string, counts map[string]map[string]int, allKnown bool) map[string]backend.VersionRule {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rules := map[string]backend.VersionRule{}
	for _, service := range services {
		if r := d.byService[service]; r != nil {
			rules[service] = d.orderRule(service, r, counts[service])
			continue
		}
		if !d.ordersKnown && !(allKnown && len(counts[service]) == 1) {
			rules[service] = backend.VersionRule{None: true, WithoutOrder: true}
			continue
		}
		if base := baseVersion(d.baseVersions[service], counts[service]); base != "" {
			d.baseVersions[service] = base
			rules[service] = backend.VersionRule{Only: base, WithoutOrder: true}
		}
	}
	return rules
}

// baseVersion returns the previous base version if runners still have it, and otherwise the version
// of most runners.
func baseVersion(previous string, counts map[string]int) string {
	if counts[previous] > 0 {
		return previous
	}
	base := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if base == "" || counts[version] > counts[base] {
			base = version
		}
	}
	return base
}
