// Package rolloutdriver applies the operator's orders to move services to other software versions. It
// connects the decisions of package versionrollout with the router: the table of runners, the other
// schedulers, the store and the log, which it reaches through the interfaces in ports.go.
package rolloutdriver

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

// Parameters for judging the latency of answers.
const (
	// slowFactor is how many times the usual latency of the old version on the same route makes an
	// answer count as slow.
	slowFactor = 3
	// latencySmoothing is the weight of one answer in the usual latency.
	latencySmoothing = 0.05
	// minLatencyAnswers is the number of answers before which the usual latency is not known.
	minLatencyAnswers = 5
)

// Config is the configuration of a driver.
type Config struct {
	// Node is the name of this router.
	Node string
	// MaxShare is the share of a service's requests that a bad version may get. If it is 0, services
	// can't be moved.
	MaxShare float64
}

// Driver applies the operator's orders to move services to other software versions at this
// router: which versions get requests, which requests test a target version, and how they end.
// Requests test it only where they are placed by a router that holds a permit of the leader, so a
// router that is cut off from the leader, or is no scheduler, sends none there.
type Driver struct {
	config Config
	ports  Ports
	// rulesMutex serializes updates of the rules, so that older rules never replace newer ones. It is
	// locked before the mutex and before those of the ports.
	rulesMutex sync.Mutex
	// mutex guards the fields below. It may be locked while the mutex of the table of runners is
	// held, but not the other way round.
	mutex sync.Mutex
	// byService holds the valid order of each service.
	byService map[string]*serviceRollout
	// rejected holds the orders that can't be carried out under the current configuration, by name.
	rejected map[string]Object
	// baseVersions holds, by service, the version that gets requests without an order.
	baseVersions map[string]string
}

// serviceRollout is one order and what this router knows about it.
type serviceRollout struct {
	name     string
	stored   StoredRollout
	revision storerev.Revision
	// startedAt is the earliest time at which the order may have been written.
	startedAt time.Time
	// state and promoted are the newest known. They are ahead of the stored status while the
	// store is away, and after it was restored from a backup.
	state    versionrollout.State
	promoted bool
	exposure versionrollout.ShareExposure
	counted  versionrollout.Report
	latency  map[string]*usualLatency
	lead     lead
}

// usualLatency is the moving average of the logarithm of the old version's latency on one route.
type usualLatency struct {
	answers int
	meanLog float64
}

func (l *usualLatency) record(latency time.Duration) {
	l.answers++
	weight := max(latencySmoothing, 1/float64(l.answers))
	l.meanLog += weight * (math.Log(latency.Seconds()) - l.meanLog)
}

// isSlow reports whether the latency is several times the usual one.
func (l *usualLatency) isSlow(latency time.Duration) bool {
	return l.answers >= minLatencyAnswers && latency.Seconds() > slowFactor*math.Exp(l.meanLog)
}

// New returns a driver without orders.
func New(config Config, ports Ports) *Driver {
	return &Driver{config: config, ports: ports, byService: map[string]*serviceRollout{}, rejected: map[string]Object{}, baseVersions: map[string]string{}}
}

// isEnabled reports whether services may be moved on this deployment.
func (d *Driver) isEnabled() bool { return d.config.MaxShare > 0 }

// Retain removes the orders whose objects are missing from a complete list of names.
func (d *Driver) Retain(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	isMissing := func(name string) bool { return !slices.Contains(names, name) }
	maps.DeleteFunc(d.rejected, func(name string, _ Object) bool { return isMissing(name) })
	maps.DeleteFunc(d.byService, func(_ string, r *serviceRollout) bool { return isMissing(r.name) })
}

// Apply applies an order or its removal.
func (d *Driver) Apply(object Object) {
	if object.Rollout == nil {
		d.mutex.Lock()
		maps.DeleteFunc(d.byService, func(_ string, r *serviceRollout) bool { return r.name == object.Name })
		delete(d.rejected, object.Name)
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
	startedAt := d.startTime(object)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.rejected, object.Name)
	known := d.byService[order.Service]
	if known == nil || known.stored.Order != order || known.name != object.Name {
		known = &serviceRollout{
			name: object.Name, startedAt: startedAt, latency: map[string]*usualLatency{},
			counted: versionrollout.Report{Routes: map[string]versionrollout.RouteTally{}},
		}
		d.byService[order.Service] = known
		d.ports.Log.Log(events.RolloutOrdered, events.Fields{"service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(), "revision": object.Revision.Number()})
	}
	if object.Revision < known.revision {
		return
	}
	known.stored, known.revision = *object.Rollout, object.Revision
	if status := object.Rollout.Status; status != nil {
		known.promoted = known.promoted || !status.PromotedAt.IsZero()
		d.enterState(known, status.State, status.Reason)
	}
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

// startTime returns the earliest time at which the order may have been written.
func (d *Driver) startTime(object Object) time.Time {
	now := d.ports.Clock.Now()
	if status := object.Rollout.Status; status != nil && !status.StartedAt.IsZero() {
		// The wall clock may jump.
		elapsed := min(max(time.Since(status.StartedAt), 0), object.Rollout.Order.Duration)
		return now.Add(-elapsed)
	}
	if written := d.ports.Store.LatestBefore(object.Revision); !written.IsZero() && written.Before(now) {
		return written
	}
	return now
}

// enterState records a state. A final one stays. The mutex must be held.
func (d *Driver) enterState(r *serviceRollout, state versionrollout.State, reason string) {
	if r.state == state || r.state.IsFinal() {
		return
	}
	r.state = state
	r.exposure.Revoke()
	d.ports.Log.Log(events.RolloutEnded, events.Fields{"service": r.stored.Order.Service, "target": r.stored.Order.Target, "state": state.String(), "reason": reason})
}

// rule returns which versions get requests under the order.
func (r *serviceRollout) rule() backend.VersionRule {
	target := r.stored.Order.Target
	if r.state == versionrollout.Succeeded || (r.promoted && r.state != versionrollout.RolledBack) {
		return backend.VersionRule{Only: target}
	}
	return backend.VersionRule{Excluded: target}
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
	d.ports.Runners.SetVersionRules(d.rules(services, counts), d.config.MaxShare)
}

// rules returns the rules of the services, given how many runners have each version.
func (d *Driver) rules(services []string, counts map[string]map[string]int) map[string]backend.VersionRule {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rules := map[string]backend.VersionRule{}
	for _, service := range services {
		if r := d.byService[service]; r != nil {
			rules[service] = r.rule()
			delete(d.baseVersions, service)
			continue
		}
		if base := baseVersion(d.baseVersions[service], counts[service]); base != "" {
			d.baseVersions[service] = base
			rules[service] = backend.VersionRule{Only: base}
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

// IsPlacer reports whether requests that this router places are counted as evidence.
func (d *Driver) IsPlacer() bool { return d.ports.Schedulers.IsPlacer() }

// RouteName returns the name of the call's route if answers are counted by route, and else "".
func (d *Driver) RouteName(service, route string) string {
	if !d.isEnabled() {
		return ""
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r := d.byService[service]; r == nil || r.state.IsFinal() {
		return ""
	}
	return route
}

// TakeExposure returns the target version if the request is to test it, and else "". The mutex of
// the table of runners may be held; the caller passes the table for this reason.
func (d *Driver) TakeExposure(now time.Time, query backend.Query, runners VersionCounter) string {
	if !d.isEnabled() || len(query.Excluded) > 0 || !d.ports.Schedulers.IsPlacer() {
		return ""
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state.IsFinal() || r.promoted {
		return ""
	}
	if !r.exposure.Take(now) {
		return ""
	}
	target := r.stored.Order.Target
	if runners.VersionCounts(query.Service)[target] == 0 {
		r.exposure.Return()
		return ""
	}
	return target
}

// ReturnExposure returns what TakeExposure took for a request that was not placed.
func (d *Driver) ReturnExposure(service string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r := d.byService[service]; r != nil {
		r.exposure.Return()
	}
}

// RecordPlaced counts a request that was placed. Retries are not counted.
func (d *Driver) RecordPlaced(now time.Time, query backend.Query) {
	if !d.isEnabled() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state.IsFinal() || len(query.Excluded) > 0 {
		return
	}
	r.exposure.CountRequest(now)
	r.counted.Requests++
	if query.TargetVersion != "" {
		r.counted.Exposed++
	}
}

// MaySend reports whether a request that names a version may still be sent there, given when it was
// permitted.
func (d *Driver) MaySend(now time.Time, query backend.Query, permittedAt time.Time) bool {
	if query.TargetVersion == "" {
		return true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	return r != nil && r.state != versionrollout.RolledBack && r.stored.Order.Target == query.TargetVersion && now.Sub(permittedAt) < versionrollout.PermitDuration
}

// RecordOutcome counts the end of a request that this router placed.
func (d *Driver) RecordOutcome(now time.Time, query backend.Query, sentAt time.Time, outcome backend.Outcome) {
	if query.Route == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state.IsFinal() {
		return
	}
	usual := r.latency[query.Route]
	if usual == nil {
		usual = &usualLatency{}
		r.latency[query.Route] = usual
	}
	elapsed := now.Sub(sentAt)
	failed := outcome == backend.Failed || outcome == backend.Unreachable
	slow := usual.isSlow(elapsed)
	switch {
	case outcome == backend.Abandoned && !slow, outcome == backend.Refused, outcome == backend.NotConfirmed:
		return
	case outcome == backend.Succeeded && query.TargetVersion == "":
		usual.record(max(elapsed, time.Millisecond))
	}
	tally := r.counted.Routes[query.Route]
	counted := &tally.Old
	if query.TargetVersion != "" || r.promoted {
		counted = &tally.Target
	}
	counted.Answers++
	if failed || slow {
		counted.Bad++
	}
	r.counted.Routes[query.Route] = tally
}
