package rolloutdriver

import (
	"context"
	"math"
	"time"

	"github.com/clovertiller/clovertiller/internal/versionrollout"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Timing of the reports of placers.
const (
	// reportInterval is how often a placer reports its counts to all other schedulers while a rollout
	// runs. Several reports fit into the validity of a permit. The leader may ask for more.
	reportInterval = 250 * time.Millisecond
	// nearDeadline is how long before the deadline a placer reports each nearDeadlineInterval, also if
	// no leader has asked for it, so that a new leader learns of it in time.
	nearDeadline         = time.Second
	nearDeadlineInterval = 100 * time.Millisecond
	// minReportInterval bounds what the leader may ask for.
	minReportInterval = 10 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
)

// reportSchedule is when the placer reports on a rollout.
type reportSchedule struct {
	// lastToAll and lastToLeader are when the last reports were sent to all other schedulers and to the
	// one that granted the last permit.
	lastToAll, lastToLeader time.Time
	leader                  string
	// leaderInterval is the time between reports that the leader asked for, and leaderHeardAt when the
	// report was sent that it answered last.
	leaderInterval time.Duration
	leaderHeardAt  time.Time
}

// forgetSilentLeader ends the more frequent reports to a leader that no longer answers.
func (s *reportSchedule) forgetSilentLeader(now time.Time) {
	if now.Sub(s.leaderHeardAt) >= versionrollout.PermitDuration {
		s.leader, s.leaderInterval = "", 0
	}
}

// interval returns the time between reports to the leader, given when the rollout ends.
func (s *reportSchedule) interval(now, deadline time.Time) time.Duration {
	interval := reportInterval
	if s.leaderInterval > 0 {
		interval = min(max(s.leaderInterval, minReportInterval), reportInterval)
	}
	if left := deadline.Sub(now); left > 0 && left < nearDeadline {
		interval = min(interval, nearDeadlineInterval)
	}
	return interval
}

// dueReport is a report to be sent.
type dueReport struct {
	message *wire.RolloutReport
	// leader is the only receiver, empty for all other schedulers.
	leader string
}

// ReportLoop reports the counts of this placer to the leader and renews its permits until the context
// is done.
func (d *Driver) ReportLoop(ctx context.Context) {
	if !d.isEnabled() {
		return
	}
	wait := reportInterval
	for d.sleep(ctx, wait, d.reportWake) {
		wait = d.sendDueReports(ctx)
	}
}

// sleep waits for the duration, or until the channel has a value. It returns false if the context is
// done.
func (d *Driver) sleep(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// sendDueReports sends the reports that are due and returns the time until the next one.
func (d *Driver) sendDueReports(ctx context.Context) time.Duration {
	if !d.ports.Schedulers.IsPlacer() {
		return reportInterval
	}
	others, self := d.ports.Schedulers.OtherSchedulers(), d.ports.Schedulers.SelfAddress()
	loads := d.placedAtOthers()
	now := d.ports.Clock.Now()
	due, next := d.dueReports(now, loads)
	for _, report := range due {
		report.message.From = self
		receivers := others
		if report.leader != "" {
			receivers = []string{report.leader}
		}
		for _, address := range receivers {
			d.ports.Spawn(func() { d.sendReport(ctx, address, report.message) })
		}
	}
	return next
}

// placedAtOthers returns, by service, how many open requests of running rollouts this router has placed at
// other versions than the target version.
func (d *Driver) placedAtOthers() map[string]int {
	d.mutex.Lock()
	targets := map[string]string{}
	for service, r := range d.byService {
		if !r.state.IsFinal() {
			targets[service] = r.stored.Order.Target
		}
	}
	d.mutex.Unlock()
	placed := map[string]int{}
	for service, target := range targets {
		placed[service] = d.ports.Runners.VersionLoad(service, target).PlacedAtOthers
	}
	return placed
}

// dueReports returns the reports that are due, and the time until the next one.
func (d *Driver) dueReports(now time.Time, placedAtOthers map[string]int) (due []dueReport, next time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next = reportInterval
	for service, r := range d.byService {
		if r.state.IsFinal() {
			continue
		}
		schedule := &r.placer.schedule
		schedule.forgetSilentLeader(now)
		interval := schedule.interval(now, r.latestStart.Add(r.stored.Order.Duration))
		switch {
		case now.Sub(schedule.lastToAll) >= reportInterval || (schedule.leader == "" && now.Sub(schedule.lastToAll) >= interval):
			schedule.lastToAll, schedule.lastToLeader = now, now
			due = append(due, dueReport{message: encodeReport(r.stored.Order, r.placer.report(now, placedAtOthers[service]))})
		case schedule.leader != "" && now.Sub(schedule.lastToLeader) >= interval:
			schedule.lastToLeader = now
			due = append(due, dueReport{message: encodeReport(r.stored.Order, r.placer.report(now, placedAtOthers[service])), leader: schedule.leader})
		}
		next = min(next, interval-now.Sub(schedule.lastToLeader), reportInterval-now.Sub(schedule.lastToAll))
	}
	return due, max(next, time.Millisecond)
}

func (d *Driver) sendReport(ctx context.Context, address string, report *wire.RolloutReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := d.ports.Clock.Now()
	reply, err := d.ports.Peers.CallPeer(ctx, address, &wire.Envelope{Body: &wire.Envelope_RolloutReport{RolloutReport: report}})
	if err != nil {
		// Without an answer the last permit runs out.
		return
	}
	permit, isLeader := decodePermit(reply.GetRolloutPermit())
	if !isLeader {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[report.GetService()]
	if r == nil || r.stored.Order != decodeOrder(report) || r.state.IsFinal() {
		return
	}
	r.placer.exposure.SetPermit(sentAt, permit)
	r.placer.schedule.leader, r.placer.schedule.leaderInterval, r.placer.schedule.leaderHeardAt = address, permit.ReportAfter, sentAt
	if permit.ReportAfter < reportInterval {
		wake(d.reportWake)
	}
}

// HandleReport records the counts of another placer and returns its permit. Only the leader's answer
// names the time of the next report.
func (d *Driver) HandleReport(envelope *wire.Envelope, report *wire.RolloutReport) *wire.RolloutPermit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.ports.Clock.Now()
	d.heardAt[report.GetFrom()] = now
	r := d.byService[report.GetService()]
	if r == nil || r.lead.controller == nil || r.stored.Order != decodeOrder(report) || !now.Before(d.termEnd) {
		return &wire.RolloutPermit{}
	}
	source := versionrollout.Source{Router: report.GetFrom(), Incarnation: envelope.GetFromIncarnation()}
	if source.Router == "" {
		source.Router = envelope.GetFrom()
	}
	if !report.GetCounted() {
		// A router of a previous build doesn't know allowances, so nothing that it counts may raise the
		// budget, and the end doesn't wait until it is promoted.
		r.lead.recordUncounted(source, report.GetRequests())
		return &wire.RolloutPermit{}
	}
	r.lead.controller.Report(now, source, decodeReport(report))
	return encodePermit(r.lead.controller.Permit(now, source))
}

func encodePermit(permit versionrollout.Permit) *wire.RolloutPermit {
	return &wire.RolloutPermit{
		Granted: permit.Allowance > 0, Share: permit.Share, Allowance: permit.Allowance, Promoted: permit.Promoted,
		ReportAfterMillis: uint32(min(max(permit.ReportAfter.Milliseconds(), 1), math.MaxUint32)),
	}
}

// decodePermit returns the permit, and false if the answer isn't one of a leader that counts allowances. A
// leader of a previous build names no time for the next report, and other routers grant nothing.
func decodePermit(message *wire.RolloutPermit) (permit versionrollout.Permit, isLeader bool) {
	if message.GetReportAfterMillis() == 0 {
		return versionrollout.Permit{}, false
	}
	permit = versionrollout.Permit{
		Share: message.GetShare(), Allowance: message.GetAllowance(), Promoted: message.GetPromoted(),
		ReportAfter: time.Duration(message.GetReportAfterMillis()) * time.Millisecond,
	}
	return permit, true
}

func decodeOrder(report *wire.RolloutReport) versionrollout.Order {
	return versionrollout.Order{Service: report.GetService(), Target: report.GetTarget(), Duration: time.Duration(report.GetDurationMillis()) * time.Millisecond}
}

func encodeReport(order versionrollout.Order, report versionrollout.Report) *wire.RolloutReport {
	message := &wire.RolloutReport{
		Service: order.Service, Target: order.Target, DurationMillis: uint64(order.Duration.Milliseconds()), Requests: report.Requests, Exposed: report.Exposed,
		Counted: true, Promoted: report.Promoted, OpenOld: report.OpenOld, Unjudged: report.Unjudged,
	}
	for route, tally := range report.Routes {
		message.Routes = append(message.Routes, &wire.RouteTally{
			Route: route, OldAnswers: tally.Old.Answers, OldBad: tally.Old.Bad, TargetAnswers: tally.Target.Answers, TargetBad: tally.Target.Bad,
		})
	}
	return message
}

func decodeReport(message *wire.RolloutReport) versionrollout.Report {
	report := versionrollout.Report{
		Requests: message.GetRequests(), Exposed: message.GetExposed(), Unjudged: message.GetUnjudged(), Promoted: message.GetPromoted(), OpenOld: message.GetOpenOld(),
		Routes: map[string]versionrollout.RouteTally{},
	}
	for _, tally := range message.GetRoutes() {
		report.Routes[tally.GetRoute()] = versionrollout.RouteTally{
			Old:    versionrollout.Tally{Answers: tally.GetOldAnswers(), Bad: tally.GetOldBad()},
			Target: versionrollout.Tally{Answers: tally.GetTargetAnswers(), Bad: tally.GetTargetBad()},
		}
	}
	return report
}
