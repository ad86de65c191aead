package rolloutdriver

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of the messages between placers and the leader of a rollout.
const (
	// reportInterval is how often a placer reports its counts while a rollout runs. Several
	// reports fit into the validity of a permit.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// statusTimeout bounds one write of a status.
	statusTimeout = 800 * time.Millisecond
)

// lead is what the holder of the lease knows about a rollout that it leads. Nothing of it has
// to survive its loss: the placers keep their counts and report them to the next leader.
type lead struct {
	controller *versionrollout.ShareController
	decision   versionrollout.ShareDecision
	// validUntil is when the leader's term ends unless it is renewed.
	validUntil time.Time
}

// NeedsLeader reports whether a rollout has to be led, or its final state to be written again, and
// this router is one that receives the counts.
func (d *Driver) NeedsLeader() bool {
	if !d.isEnabled() || !d.ports.Schedulers.IsPlacer() {
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

// LeadAll decides on all running rollouts and writes what changed, under a term that is valid until the
// given time.
func (d *Driver) LeadAll(ctx context.Context, validUntil time.Time) {
	d.mutex.Lock()
	services := slices.Sorted(maps.Keys(d.byService))
	d.mutex.Unlock()
	for _, service := range services {
		d.leadOne(ctx, service, validUntil)
	}
}

// leadOne takes one step of the service's rollout.
func (d *Driver) leadOne(ctx context.Context, service string, validUntil time.Time) {
	versions := d.ports.Runners.VersionCounts(service)
	d.mutex.Lock()
	r := d.byService[service]
	if r == nil || !r.isUnfinished() {
		d.mutex.Unlock()
		return
	}
	now := d.ports.Clock.Now()
	next := StoredRollout{Order: r.stored.Order, Status: &Status{State: r.state}}
	if previous := r.stored.Status; previous != nil {
		*next.Status = *previous
		next.Status.State = r.state
	}
	if next.Status.StartedAt.IsZero() {
		next.Status.StartedAt = time.Now().Add(-now.Sub(r.startedAt)).Round(0)
	}
	if !r.state.IsFinal() {
		d.step(now, r, versions[r.stored.Order.Target] > 0, validUntil)
		next.Status.State, next.Status.Reason = r.state, r.lead.decision.Reason
		if r.lead.decision.Phase == versionrollout.Promoting && next.Status.PromotedAt.IsZero() {
			next.Status.PromotedAt = time.Now().Round(0)
		}
	}
	name, revision, changed := r.name, r.revision, r.stored.Status == nil || !sameStatus(*r.stored.Status, *next.Status)
	d.mutex.Unlock()
	if !changed {
		return
	}
	d.UpdateRules()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	written, err := d.ports.Store.WriteRolloutStatus(ctx, name, next, revision)
	if err != nil {
		d.ports.Log.Log(events.RolloutStatusNotWritten, events.Fields{"service": service, "state": next.Status.State.String(), "error": err.Error()})
		return
	}
	d.Apply(Object{Name: name, Revision: written, Rollout: &next})
	d.UpdateRules()
}

// step lets the controller decide. The mutex must be held.
func (d *Driver) step(now time.Time, r *serviceRollout, targetListed bool, validUntil time.Time) {
	if r.lead.controller == nil {
		config := versionrollout.ShareConfig{Order: r.stored.Order, MaxShare: d.config.MaxShare, StartedAt: r.startedAt}
		if r.promoted {
			config.PromotedAt = now
		}
		r.lead.controller = versionrollout.NewShareController(config)
	}
	controller := r.lead.controller
	controller.TargetListed = controller.TargetListed || targetListed
	controller.Report(versionrollout.Source{Router: d.config.Node}, r.counted.Clone())
	before := r.lead.decision
	r.lead.decision, r.lead.validUntil = controller.Step(now), validUntil
	decision := r.lead.decision
	if decision.Phase != before.Phase || decision.Share != before.Share {
		total := controller.Totals()
		d.ports.Log.Log(events.RolloutStep, events.Fields{"service": r.stored.Order.Service, "target": r.stored.Order.Target, "share": decision.Share, "phase": decision.Phase.String(), "requests": total.Requests, "exposed": total.Exposed, "reason": decision.Reason})
	}
	switch decision.Phase {
	case versionrollout.Testing:
		r.exposure.Permit(now, decision.Share)
	case versionrollout.Ended:
		d.enterState(r, decision.State, decision.Reason)
	}
}

// sameStatus reports whether the two statuses mean the same to the operator and other routers.
func sameStatus(a, b Status) bool {
	return a.State == b.State && a.PromotedAt.IsZero() == b.PromotedAt.IsZero()
}

// ReportLoop reports the counts of this placer to the leader and renews its permits until the context
// is done.
func (d *Driver) ReportLoop(ctx context.Context) {
	if !d.isEnabled() {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !d.ports.Schedulers.IsPlacer() {
			continue
		}
		for _, report := range d.pendingReports() {
			for _, address := range d.ports.Schedulers.OtherSchedulers() {
				d.ports.Spawn(func() { d.sendReport(ctx, address, report) })
			}
		}
	}
}

// pendingReports returns the reports on all running rollouts.
func (d *Driver) pendingReports() (reports []*wire.RolloutReport) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.byService {
		if !r.state.IsFinal() {
			reports = append(reports, encodeReport(r.stored.Order, r.counted))
		}
	}
	return reports
}

func (d *Driver) sendReport(ctx context.Context, address string, report *wire.RolloutReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := d.ports.Clock.Now()
	reply, err := d.ports.Peers.CallPeer(ctx, address, &wire.Envelope{Body: &wire.Envelope_RolloutReport{RolloutReport: report}})
	if err != nil || !reply.GetRolloutPermit().GetGranted() {
		// Without an answer the last permit runs out.
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r := d.byService[report.GetService()]; r != nil && r.stored.Order == decodeOrder(report) && !r.state.IsFinal() {
		r.exposure.Permit(sentAt, reply.GetRolloutPermit().GetShare())
	}
}

// HandleReport records the counts of another placer and returns its permit.
func (d *Driver) HandleReport(envelope *wire.Envelope, report *wire.RolloutReport) *wire.RolloutPermit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[report.GetService()]
	if r == nil || r.lead.controller == nil || r.stored.Order != decodeOrder(report) || !d.ports.Clock.Now().Before(r.lead.validUntil) {
		return &wire.RolloutPermit{}
	}
	source := versionrollout.Source{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation()}
	r.lead.controller.Report(source, decodeReport(report))
	return &wire.RolloutPermit{Granted: r.lead.decision.Phase == versionrollout.Testing, Share: r.lead.decision.Share}
}

func decodeOrder(report *wire.RolloutReport) versionrollout.Order {
	return versionrollout.Order{Service: report.GetService(), Target: report.GetTarget(), Duration: time.Duration(report.GetDurationMillis()) * time.Millisecond}
}

func encodeReport(order versionrollout.Order, report versionrollout.Report) *wire.RolloutReport {
	message := &wire.RolloutReport{
		Service: order.Service, Target: order.Target, DurationMillis: uint64(order.Duration.Milliseconds()), Requests: report.Requests, Exposed: report.Exposed,
	}
	for route, tally := range report.Routes {
		message.Routes = append(message.Routes, &wire.RouteTally{
			Route: route, OldAnswers: tally.Old.Answers, OldBad: tally.Old.Bad, TargetAnswers: tally.Target.Answers, TargetBad: tally.Target.Bad,
		})
	}
	return message
}

func decodeReport(message *wire.RolloutReport) versionrollout.Report {
	report := versionrollout.Report{Requests: message.GetRequests(), Exposed: message.GetExposed(), Routes: map[string]versionrollout.RouteTally{}}
	for _, tally := range message.GetRoutes() {
		report.Routes[tally.GetRoute()] = versionrollout.RouteTally{
			Old:    versionrollout.Tally{Answers: tally.GetOldAnswers(), Bad: tally.GetOldBad()},
			Target: versionrollout.Tally{Answers: tally.GetTargetAnswers(), Bad: tally.GetTargetBad()},
		}
	}
	return report
}
