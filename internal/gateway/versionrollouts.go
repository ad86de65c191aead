package gateway

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
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

// versionRollouts applies the operator's orders to move services to other software versions at this
// router: which versions get requests, which requests test a target version, and how they end.
// Requests test it only where they are placed by a router that holds a permit of the leader, so a
// router that is cut off from the leader, or is no scheduler, sends none there.
type versionRollouts struct {
	gateway *Gateway
	// mutex guards the fields below. It may be locked while the gateway's mutex is held, but not
	// the other way round.
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
	lead     rolloutLead
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

func newVersionRollouts(g *Gateway) *versionRollouts {
	return &versionRollouts{gateway: g, byService: map[string]*serviceRollout{}, rejected: map[string]Object{}, baseVersions: map[string]string{}}
}

// isEnabled reports whether services may be moved on this deployment.
func (v *versionRollouts) isEnabled() bool { return v.gateway.settings.ExposedShare > 0 }

// retain removes the orders whose objects are missing from a complete list.
func (v *versionRollouts) retain(objects []v1.Object) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	isMissing := func(name string) bool {
		return !slices.ContainsFunc(objects, func(o v1.Object) bool { return o.Name == name && !o.Deleted })
	}
	maps.DeleteFunc(v.rejected, func(name string, _ Object) bool { return isMissing(name) })
	maps.DeleteFunc(v.byService, func(_ string, r *serviceRollout) bool { return isMissing(r.name) })
}

// apply applies an order or its removal.
func (v *versionRollouts) apply(object Object) {
	if object.Removed || object.Rollout == nil {
		v.mutex.Lock()
		maps.DeleteFunc(v.byService, func(_ string, r *serviceRollout) bool { return r.name == object.Name })
		delete(v.rejected, object.Name)
		v.mutex.Unlock()
		return
	}
	order := object.Rollout.Order
	if err := order.Check(v.isConfigured(order.Service)); err != nil {
		v.mutex.Lock()
		v.rejected[object.Name] = object
		v.mutex.Unlock()
		v.gateway.log.Log(events.RolloutRejected, events.Fields{"name": object.Name, "service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(), "reason": err.Error()})
		return
	}
	startedAt := v.startTime(object)
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.rejected, object.Name)
	known := v.byService[order.Service]
	if known == nil || known.stored.Order != order || known.name != object.Name {
		known = &serviceRollout{
			name: object.Name, startedAt: startedAt, latency: map[string]*usualLatency{},
			counted: versionrollout.Report{Routes: map[string]versionrollout.RouteTally{}},
		}
		v.byService[order.Service] = known
		v.gateway.log.Log(events.RolloutOrdered, events.Fields{"service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(), "revision": object.Revision.Number()})
	}
	if object.Revision < known.revision {
		return
	}
	known.stored, known.revision = *object.Rollout, object.Revision
	if status := object.Rollout.Status; status != nil {
		known.promoted = known.promoted || !status.PromotedAt.IsZero()
		v.enterState(known, status.State, status.Reason)
	}
}

// applyConfigChange checks the rejected orders again and updates the rules under a new configuration.
func (v *versionRollouts) applyConfigChange() {
	v.mutex.Lock()
	rejected := slices.Collect(maps.Values(v.rejected))
	v.mutex.Unlock()
	for _, object := range rejected {
		v.apply(object)
	}
	v.updateRules()
}

func (v *versionRollouts) isConfigured(service string) bool {
	current := v.gateway.activeConfig.Load()
	return current != nil && current.table.Service(service) != nil
}

// startTime returns the earliest time at which the order may have been written.
func (v *versionRollouts) startTime(object Object) time.Time {
	now := v.gateway.now()
	if status := object.Rollout.Status; status != nil && !status.StartedAt.IsZero() {
		// The wall clock may jump.
		elapsed := min(max(time.Since(status.StartedAt), 0), object.Rollout.Order.Duration)
		return now.Add(-elapsed)
	}
	if written := v.gateway.copies.checkpoints.latestBefore(object.Revision); !written.IsZero() && written.Before(now) {
		return written
	}
	return now
}

// enterState records a state. A final one stays. The mutex must be held.
func (v *versionRollouts) enterState(r *serviceRollout, state versionrollout.State, reason string) {
	if r.state == state || r.state.IsFinal() {
		return
	}
	r.state = state
	r.exposure.Revoke()
	v.gateway.log.Log(events.RolloutEnded, events.Fields{"service": r.stored.Order.Service, "target": r.stored.Order.Target, "state": state.String(), "reason": reason})
}

// rule returns which versions get requests under the order.
func (r *serviceRollout) rule() backend.VersionRule {
	target := r.stored.Order.Target
	if r.state == versionrollout.Succeeded || (r.promoted && r.state != versionrollout.RolledBack) {
		return backend.VersionRule{Only: target}
	}
	return backend.VersionRule{Excluded: target}
}

// updateRules sets which versions of each service get requests. Without an order that is the version
// that the service had first, as long as one of its runners has it.
func (v *versionRollouts) updateRules() {
	g := v.gateway
	current := g.activeConfig.Load()
	if !v.isEnabled() || current == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	v.mutex.Lock()
	defer v.mutex.Unlock()
	rules := map[string]backend.VersionRule{}
	for _, service := range current.table.ServiceNames() {
		if r := v.byService[service]; r != nil {
			rules[service] = r.rule()
			delete(v.baseVersions, service)
			continue
		}
		if base := baseVersion(v.baseVersions[service], g.runners.VersionCounts(service)); base != "" {
			v.baseVersions[service] = base
			rules[service] = backend.VersionRule{Only: base}
		}
	}
	g.runners.SetVersionRules(rules, g.settings.ExposedShare)
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

// isPlacer reports whether this router places requests with knowledge of what the leader permits: a
// scheduler, or a router without peers.
func (v *versionRollouts) isPlacer() bool {
	return v.gateway.peerRouters.transport == nil || v.gateway.schedulers.isScheduler()
}

// routeName returns the name of the call's route if answers are counted by route, and else "".
func (v *versionRollouts) routeName(service, route string) string {
	if !v.isEnabled() {
		return ""
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if r := v.byService[service]; r == nil || r.state.IsFinal() {
		return ""
	}
	return route
}

// takeExposure returns the target version if the request is to test it, and else "". The gateway's
// mutex must be held.
func (v *versionRollouts) takeExposure(now time.Time, query backend.Query) string {
	if !v.isEnabled() || len(query.Excluded) > 0 || !v.isPlacer() {
		return ""
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.byService[query.Service]
	if r == nil || r.state.IsFinal() || r.promoted {
		return ""
	}
	if !r.exposure.Take(now) {
		return ""
	}
	target := r.stored.Order.Target
	if v.gateway.runners.VersionCounts(query.Service)[target] == 0 {
		r.exposure.Return()
		return ""
	}
	return target
}

// returnExposure returns what takeExposure took for a request that was not placed.
func (v *versionRollouts) returnExposure(service string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if r := v.byService[service]; r != nil {
		r.exposure.Return()
	}
}

// recordPlaced counts a request that was placed. Retries are not counted.
func (v *versionRollouts) recordPlaced(now time.Time, query backend.Query) {
	if !v.isEnabled() {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.byService[query.Service]
	if r == nil || r.state.IsFinal() || len(query.Excluded) > 0 {
		return
	}
	r.exposure.CountRequest(now)
	r.counted.Requests++
	if query.TargetVersion != "" {
		r.counted.Exposed++
	}
}

// maySend reports whether a request that names a version may still be sent there, given when it was
// permitted.
func (v *versionRollouts) maySend(now time.Time, query backend.Query, permittedAt time.Time) bool {
	if query.TargetVersion == "" {
		return true
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.byService[query.Service]
	return r != nil && r.state != versionrollout.RolledBack && r.stored.Order.Target == query.TargetVersion && now.Sub(permittedAt) < versionrollout.PermitDuration
}

// recordOutcome counts the end of a request that this router placed.
func (v *versionRollouts) recordOutcome(now time.Time, query backend.Query, sentAt time.Time, outcome backend.Outcome) {
	if query.Route == "" {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.byService[query.Service]
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
