package gateway

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
	// rolloutReportInterval is how often a placer reports its counts while a rollout runs. Several
	// reports fit into the validity of a permit.
	rolloutReportInterval = 250 * time.Millisecond
	// rolloutReportTimeout bounds one report.
	rolloutReportTimeout = 400 * time.Millisecond
	// rolloutStatusTimeout bounds one write of a status.
	rolloutStatusTimeout = 800 * time.Millisecond
)

// rolloutLead is what the holder of the lease knows about a rollout that it leads. Nothing of it has
// to survive its loss: the placers keep their counts and report them to the next leader.
type rolloutLead struct {
	controller *versionrollout.ShareController
	decision   versionrollout.ShareDecision
	// validUntil is when the leader's term ends unless it is renewed.
	validUntil time.Time
}

// needsLeader reports whether a rollout has to be led, or its final state to be written again, and
// this router is one that receives the counts.
func (v *versionRollouts) needsLeader() bool {
	if !v.isEnabled() || !v.isPlacer() {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, r := range v.byService {
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

// leadAll decides on all running rollouts and writes what changed, under the given term.
func (v *versionRollouts) leadAll(current term) {
	v.mutex.Lock()
	services := slices.Sorted(maps.Keys(v.byService))
	v.mutex.Unlock()
	for _, service := range services {
		v.leadOne(service, current)
	}
}

// leadOne takes one step of the service's rollout.
func (v *versionRollouts) leadOne(service string, current term) {
	g := v.gateway
	g.mutex.Lock()
	versions := g.runners.VersionCounts(service)
	g.mutex.Unlock()
	v.mutex.Lock()
	r := v.byService[service]
	if r == nil || !r.isUnfinished() {
		v.mutex.Unlock()
		return
	}
	now := g.now()
	next := StoredRollout{Order: r.stored.Order, Status: &RolloutStatus{State: r.state}}
	if previous := r.stored.Status; previous != nil {
		*next.Status = *previous
		next.Status.State = r.state
	}
	if next.Status.StartedAt.IsZero() {
		next.Status.StartedAt = time.Now().Add(-now.Sub(r.startedAt)).Round(0)
	}
	if !r.state.IsFinal() {
		v.step(now, r, versions[r.stored.Order.Target] > 0, current)
		next.Status.State, next.Status.Reason = r.state, r.lead.decision.Reason
		if r.lead.decision.Phase == versionrollout.Promoting && next.Status.PromotedAt.IsZero() {
			next.Status.PromotedAt = time.Now().Round(0)
		}
	}
	name, revision, changed := r.name, r.revision, r.stored.Status == nil || !sameRolloutStatus(*r.stored.Status, *next.Status)
	v.mutex.Unlock()
	if !changed {
		return
	}
	v.updateRules()
	ctx, cancel := context.WithTimeout(g.ctx, rolloutStatusTimeout)
	defer cancel()
	sentAt := g.now()
	written, err := g.ports.Store.WriteRolloutStatus(ctx, name, next, revision)
	g.metrics.observeStoreCall(RolloutObjects.String(), callWrite, g.since(sentAt))
	if err != nil {
		g.log.Log(events.RolloutStatusNotWritten, events.Fields{"service": service, "state": next.Status.State.String(), "error": err.Error()})
		return
	}
	v.apply(Object{Name: name, Revision: written, Rollout: &next})
	v.updateRules()
}

// step lets the controller decide. The mutex must be held.
func (v *versionRollouts) step(now time.Time, r *serviceRollout, targetListed bool, current term) {
	if r.lead.controller == nil {
		config := versionrollout.ShareConfig{Order: r.stored.Order, MaxShare: v.gateway.settings.ExposedShare, StartedAt: r.startedAt}
		if r.promoted {
			config.PromotedAt = now
		}
		r.lead.controller = versionrollout.NewShareController(config)
	}
	controller := r.lead.controller
	controller.TargetListed = controller.TargetListed || targetListed
	controller.Report(versionrollout.Source{Router: v.gateway.settings.Node}, r.counted.Clone())
	before := r.lead.decision
	r.lead.decision, r.lead.validUntil = controller.Step(now), current.validUntil
	decision := r.lead.decision
	if decision.Phase != before.Phase || decision.Share != before.Share {
		total := controller.Totals()
		v.gateway.log.Log(events.RolloutStep, events.Fields{"service": r.stored.Order.Service, "target": r.stored.Order.Target, "share": decision.Share, "phase": decision.Phase.String(), "requests": total.Requests, "exposed": total.Exposed, "reason": decision.Reason})
	}
	switch decision.Phase {
	case versionrollout.Testing:
		r.exposure.Permit(now, decision.Share)
	case versionrollout.Ended:
		v.enterState(r, decision.State, decision.Reason)
	}
}

// sameRolloutStatus reports whether the two statuses mean the same to the operator and other routers.
func sameRolloutStatus(a, b RolloutStatus) bool {
	return a.State == b.State && a.PromotedAt.IsZero() == b.PromotedAt.IsZero()
}

// reportLoop reports the counts of this placer to the leader and renews its permits.
func (v *versionRollouts) reportLoop() {
	if !v.isEnabled() || v.gateway.peerRouters.transport == nil {
		return
	}
	for v.gateway.pause(rolloutReportInterval) {
		if !v.isPlacer() {
			continue
		}
		for _, report := range v.pendingReports() {
			for _, address := range v.gateway.schedulers.otherSchedulers() {
				v.gateway.spawn(func() { v.sendReport(address, report) })
			}
		}
	}
}

// pendingReports returns the reports on all running rollouts.
func (v *versionRollouts) pendingReports() (reports []*wire.RolloutReport) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, r := range v.byService {
		if !r.state.IsFinal() {
			reports = append(reports, encodeRolloutReport(r.stored.Order, r.counted))
		}
	}
	return reports
}

func (v *versionRollouts) sendReport(address string, report *wire.RolloutReport) {
	ctx, cancel := context.WithTimeout(v.gateway.ctx, rolloutReportTimeout)
	defer cancel()
	sentAt := v.gateway.now()
	reply, err := v.gateway.peerRouters.transport.Call(ctx, "", address, &wire.Envelope{Body: &wire.Envelope_RolloutReport{RolloutReport: report}})
	if err != nil || !reply.GetRolloutPermit().GetGranted() {
		// Without an answer the last permit runs out.
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if r := v.byService[report.GetService()]; r != nil && r.stored.Order == decodeRolloutOrder(report) && !r.state.IsFinal() {
		r.exposure.Permit(sentAt, reply.GetRolloutPermit().GetShare())
	}
}

// handleReport records the counts of another placer and returns its permit.
func (v *versionRollouts) handleReport(envelope *wire.Envelope, report *wire.RolloutReport) *wire.RolloutPermit {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.byService[report.GetService()]
	if r == nil || r.lead.controller == nil || r.stored.Order != decodeRolloutOrder(report) || !v.gateway.now().Before(r.lead.validUntil) {
		return &wire.RolloutPermit{}
	}
	source := versionrollout.Source{Router: envelope.GetFrom(), Incarnation: envelope.GetFromIncarnation()}
	r.lead.controller.Report(source, decodeRolloutReport(report))
	return &wire.RolloutPermit{Granted: r.lead.decision.Phase == versionrollout.Testing, Share: r.lead.decision.Share}
}

func decodeRolloutOrder(report *wire.RolloutReport) versionrollout.Order {
	return versionrollout.Order{Service: report.GetService(), Target: report.GetTarget(), Duration: time.Duration(report.GetDurationMillis()) * time.Millisecond}
}

func encodeRolloutReport(order versionrollout.Order, report versionrollout.Report) *wire.RolloutReport {
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

func decodeRolloutReport(message *wire.RolloutReport) versionrollout.Report {
	report := versionrollout.Report{Requests: message.GetRequests(), Exposed: message.GetExposed(), Routes: map[string]versionrollout.RouteTally{}}
	for _, tally := range message.GetRoutes() {
		report.Routes[tally.GetRoute()] = versionrollout.RouteTally{
			Old:    versionrollout.Tally{Answers: tally.GetOldAnswers(), Bad: tally.GetOldBad()},
			Target: versionrollout.Tally{Answers: tally.GetTargetAnswers(), Bad: tally.GetTargetBad()},
		}
	}
	return report
}
