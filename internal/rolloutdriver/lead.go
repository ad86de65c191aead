package rolloutdriver

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

const (
	// idleLeadInterval is the time between two looks for rollouts to lead.
	idleLeadInterval = 250 * time.Millisecond
	// minLeadInterval bounds the time that a step asks for.
	minLeadInterval = 10 * time.Millisecond
	// statusTimeout bounds one write of a status.
	statusTimeout = 800 * time.Millisecond
	// writeRetryDelay is the delay after a write that failed.
	writeRetryDelay = 250 * time.Millisecond
	// unknownReservation counts as more than any budget. It stands for the requests that a previous
	// build sends after its promotion, which nobody counts.
	unknownReservation = 1 << 40
	// previousBuildMargin is the part of the share of the bound that a previous build used for tests.
	previousBuildMargin = 0.9
)

// lead is what the leader knows about a rollout. Nothing of it has to survive its loss: the placers keep
// their counts and report them to the next leader, which takes all that was reserved as spent.
type lead struct {
	controller *versionrollout.Controller
	decision   versionrollout.Decision
	// reserve is the reservation to be written.
	reserve uint64
	// countsPrevious is set until the exposure that a previous build allowed is part of the account.
	countsPrevious bool
	// uncounted holds the numbers of requests that routers of a previous build have reported.
	uncounted map[versionrollout.Source]uint64
}

func (l *lead) recordUncounted(source versionrollout.Source, requests uint64) {
	if l.uncounted == nil {
		l.uncounted = map[versionrollout.Source]uint64{}
	}
	l.uncounted[source] = max(l.uncounted[source], requests)
}

// statusWrite is a status that is being written, and the controller that asked for it.
type statusWrite struct {
	status     Status
	controller *versionrollout.Controller
}

// isOwnWrite reports whether the status is the one that is being written for the present controller.
func (r *serviceRollout) isOwnWrite(status *Status) bool {
	return status != nil && r.write != nil && r.write.controller == r.lead.controller && sameStatus(status, &r.write.status)
}

// NeedsLeader reports whether a rollout has to be led, or its final state to be written again, and
// this router is one that receives the counts.
func (d *Driver) NeedsLeader() bool { return d.ports.Schedulers.IsPlacer() && d.hasUnfinished() }

// AwaitsScheduler reports whether a rollout has to be led by another router.
func (d *Driver) AwaitsScheduler() bool { return !d.ports.Schedulers.IsPlacer() && d.hasUnfinished() }

func (d *Driver) hasUnfinished() bool {
	if !d.isEnabled() {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.byService {
		if r.isUnfinished() {
			return true
		}
	}
	return false
}

// isUnfinished reports whether the stored status is not the final one yet.
func (r *serviceRollout) isUnfinished() bool {
	return r.stored.Status == nil || !r.stored.Status.State.IsFinal()
}

// SetTerm sets until when this router holds the lease. A time in the past means that it doesn't.
func (d *Driver) SetTerm(end time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.ports.Clock.Now()
	if !now.Before(d.termEnd) {
		// Another leader may have granted allowances meanwhile.
		for _, r := range d.byService {
			r.lead = lead{}
		}
		if now.Before(end) {
			wake(d.leadWake)
		}
	}
	d.termEnd = end
}

// LeadLoop takes the steps of all rollouts while this router holds the lease, until the context is done.
func (d *Driver) LeadLoop(ctx context.Context) {
	if !d.isEnabled() {
		return
	}
	wait := idleLeadInterval
	for d.sleep(ctx, wait, d.leadWake) {
		wait = d.leadAll(ctx)
	}
}

// leadAll takes one step of each rollout and returns the time until the next.
func (d *Driver) leadAll(ctx context.Context) time.Duration {
	wait := idleLeadInterval
	if !d.ports.Schedulers.IsPlacer() {
		return wait
	}
	d.mutex.Lock()
	targets := map[string]string{}
	for service, r := range d.byService {
		if r.isUnfinished() && d.ports.Clock.Now().Before(d.termEnd) {
			targets[service] = r.stored.Order.Target
		}
	}
	d.mutex.Unlock()
	for _, service := range slices.Sorted(maps.Keys(targets)) {
		wait = min(wait, d.leadOne(ctx, service, targets[service]))
	}
	return max(wait, minLeadInterval)
}

// leadOne takes one step of the service's rollout, starts a write of what changed, and returns the time
// until the next step.
func (d *Driver) leadOne(ctx context.Context, service, target string) time.Duration {
	isOutdated, load := !d.ports.Runners.IsListCurrent(), d.ports.Runners.VersionLoad(service, target)
	others, self := d.ports.Schedulers.OtherSchedulers(), d.ports.Schedulers.SelfAddress()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.ports.Clock.Now()
	r := d.byService[service]
	if r == nil || r.stored.Order.Target != target || !r.isUnfinished() || !now.Before(d.termEnd) {
		return idleLeadInterval
	}
	wait := idleLeadInterval
	if !r.state.IsFinal() {
		// Requests that wait for a slot need none more than there are.
		capacity := versionrollout.Capacity{TargetRunners: load.Runners, TargetSlots: load.Slots, Load: min(load.Open, load.OtherSlots), IsOutdated: isOutdated}
		wait = d.step(now, r, capacity, load.PlacedAtOthers, others, self)
	}
	d.startWrite(ctx, now, r)
	return wait
}

// step lets the controller decide. The mutex must be held.
func (d *Driver) step(now time.Time, r *serviceRollout, capacity versionrollout.Capacity, placedAtOthers int, others []string, self string) time.Duration {
	if r.lead.controller == nil {
		r.lead = d.newLead(now, r)
	}
	controller := r.lead.controller
	source := versionrollout.Source{Router: self, Incarnation: d.config.Incarnation}
	controller.SetSchedulers(now, others)
	controller.SetCapacity(capacity)
	controller.Report(now, source, r.placer.report(now, placedAtOthers))
	before, decision := r.lead.decision, controller.Step(now)
	r.lead.decision = decision
	r.lead.reserve = max(r.lead.reserve, decision.Reserve)
	if r.lead.countsPrevious && decision.Phase != versionrollout.Waiting {
		r.lead.countsPrevious = false
		r.reserved += d.spentByPreviousBuild(r)
		controller.RecordOther(r.reserved)
	}
	if decision.Phase != before.Phase || decision.Reason != before.Reason {
		total := controller.Totals()
		d.ports.Log.Log(events.RolloutStep, events.Fields{
			"service": r.stored.Order.Service, "target": r.stored.Order.Target, "share": decision.Share, "phase": decision.Phase.String(), "requests": total.Requests,
			"exposed": total.Exposed, "allowed": controller.Allowed(), "reserved": r.reserved, "budget": controller.Budget(), "reason": decision.Reason,
		})
	}
	if decision.Phase == versionrollout.Ended {
		d.enterState(r, decision.State, decision.Reason)
	} else {
		r.placer.exposure.SetPermit(now, controller.Permit(now, source))
	}
	if decision.WakeAfter <= 0 {
		return idleLeadInterval
	}
	return decision.WakeAfter
}

// newLead returns the state of a leader that has no reports yet. The mutex must be held.
func (d *Driver) newLead(now time.Time, r *serviceRollout) lead {
	return lead{
		controller: versionrollout.NewController(versionrollout.Config{
			Order: r.stored.Order, MaxShare: d.config.MaxShare, Slack: d.config.Slack, EarliestStart: r.earliestStart, LatestStart: r.latestStart,
			Reserved: r.reserved, Requests: countedIn(r.stored.Status), LeaderSince: now, HeardAt: maps.Clone(d.heardAt),
		}),
		countsPrevious: r.stored.Status != nil && r.stored.Status.Uncounted,
	}
}

// spentByPreviousBuild returns an upper bound on the requests to the target version that a leader of a
// previous build has allowed: nine tenths of the share until the promotion, and all after it. It is at least
// the part of the budget for tests. The mutex must be held.
func (d *Driver) spentByPreviousBuild(r *serviceRollout) uint64 {
	if r.stored.Status.UncountedPromotion {
		return unknownReservation
	}
	requests := r.lead.controller.Totals().Requests
	for _, uncounted := range r.lead.uncounted {
		requests += uncounted
	}
	spent := uint64(previousBuildMargin * d.config.MaxShare * float64(requests))
	return max(spent, versionrollout.AssumedReservation(d.config.MaxShare, d.config.Slack, requests))
}

// nextStatus returns the status to be written. The mutex must be held.
func (r *serviceRollout) nextStatus(now time.Time, writer string) Status {
	next := Status{
		State: r.state, Reserved: max(r.reserved, r.lead.reserve), Writer: writer, Reason: r.lead.decision.Reason,
		StartUncertainty: r.latestStart.Sub(r.earliestStart),
		StartedAt:        time.Now().Add(-now.Sub(r.earliestStart)).Round(0),
	}
	next.Requests = countedIn(r.stored.Status)
	if r.lead.controller != nil {
		next.Requests = max(next.Requests, r.lead.controller.Totals().Requests)
	}
	if stored := r.stored.Status; stored != nil {
		next.Promoted = stored.Promoted
		if !stored.StartedAt.IsZero() {
			next.StartedAt, next.StartUncertainty = stored.StartedAt, stored.StartUncertainty
		}
	}
	switch r.lead.decision.Phase {
	case versionrollout.Testing:
		next.Promoted = false
	case versionrollout.Promoting:
		next.Promoted = true
	}
	if r.state.IsFinal() {
		next.Reason = r.reason
	} else {
		next.State = r.lead.decision.State
	}
	return next
}

// differs reports whether the next status has to be written.
func (r *serviceRollout) differs(next Status) bool {
	stored := r.stored.Status
	return stored == nil || stored.State != next.State || stored.Promoted != next.Promoted || stored.Reserved != next.Reserved
}

// startWrite starts a write of the status if it has changed and none is under way. The mutex must be
// held.
func (d *Driver) startWrite(ctx context.Context, now time.Time, r *serviceRollout) {
	next := r.nextStatus(now, d.writer())
	if r.write != nil || now.Before(r.writeAfter) || !r.differs(next) {
		return
	}
	write := &statusWrite{status: next, controller: r.lead.controller}
	r.write = write
	name, rollout, revision := r.name, StoredRollout{Order: r.stored.Order, Status: &write.status}, r.revision
	d.ports.Spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		written, err := d.ports.Store.WriteRolloutStatus(ctx, name, rollout, revision)
		d.endWrite(r, written, err)
		if err == nil {
			d.UpdateRules()
			wake(d.leadWake)
		}
	})
}

// endWrite records the result of the write of a status.
func (d *Driver) endWrite(r *serviceRollout, written storerev.Revision, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	write := r.write
	defer func() { r.write = nil }()
	if err != nil {
		r.writeAfter = d.ports.Clock.Now().Add(writeRetryDelay)
		d.ports.Log.Log(events.RolloutStatusNotWritten, events.Fields{"service": r.stored.Order.Service, "state": write.status.State.String(), "error": err.Error()})
		return
	}
	// The copy of the store may have brought the status, or a later one, before the response.
	if written > r.revision && d.byService[r.stored.Order.Service] == r {
		d.applyStored(r, StoredRollout{Order: r.stored.Order, Status: &write.status}, written)
	}
}
