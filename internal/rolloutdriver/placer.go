package rolloutdriver

import (
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

// placer is what a router that places requests knows about a rollout: what the leader permits, and what
// it has counted since it learned of the order.
type placer struct {
	exposure versionrollout.Exposure
	outcomes versionrollout.Outcomes
	requests uint64
	schedule reportSchedule
}

// report returns the counts, given the number of open requests that were placed at other versions.
func (p *placer) report(now time.Time, openOld int) versionrollout.Report {
	report := versionrollout.Report{
		Requests: p.requests, Exposed: p.exposure.Exposed(), Promoted: p.exposure.IsPromoted(now), OpenOld: uint64(max(openOld, 0)),
	}
	p.outcomes.AddTo(&report)
	return report
}

// Target says to which version a request goes.
type Target struct {
	// Version is the target version of a rollout, empty if the request goes to the versions that the
	// service's rule allows.
	Version string
	// Testing is set if the request tests the version, so that few of its runners are used.
	Testing bool
	// counted is set if the request was taken from the allowance.
	counted bool
}

// IsCounted reports whether the request uses one of the requests that the leader has allowed.
func (t Target) IsCounted() bool { return t.counted }

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

// TakeTarget decides to which version the request goes and counts it if that is the target version. The
// mutex of the table of runners may be held; the caller passes the table for this reason.
//
// Retries go to the old version until the rollout has succeeded, so that the caller of a request that the
// target version failed gets an answer. Requests that may crash runners test nothing, and requests of
// routers that have not learned of the order name no route to count them by.
func (d *Driver) TakeTarget(now time.Time, query backend.Query, runners VersionCounter) Target {
	if !d.isEnabled() {
		return Target{}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state == versionrollout.RolledBack {
		return Target{}
	}
	target := r.stored.Order.Target
	isBound := query.BoundVersion != ""
	if isBound && query.BoundVersion != target {
		return Target{}
	}
	if r.state == versionrollout.Succeeded {
		return Target{Version: target}
	}
	// A stream that the target version began can go nowhere else, so it goes there although it is a retry.
	if len(query.Excluded) > 0 && !isBound || query.SuspectContent != 0 || query.Route == "" || !d.ports.Schedulers.IsPlacer() {
		return Target{}
	}
	isPromoted := r.placer.exposure.IsPromoted(now)
	if !r.placer.exposure.Take(now) {
		return Target{}
	}
	if runners.VersionCounts(query.Service)[target] == 0 {
		r.placer.exposure.Return()
		return Target{}
	}
	return Target{Version: target, Testing: !isPromoted, counted: true}
}

// ReturnTarget returns what TakeTarget took for a request that was not placed at the target version.
func (d *Driver) ReturnTarget(service string, target Target) {
	if !target.counted {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r := d.byService[service]; r != nil && r.stored.Order.Target == target.Version {
		r.placer.exposure.Return()
	}
}

// Fallback returns the target version if a request for which no runner of the other versions is left
// may go there, and else "". hasFailedThere reports whether the request has already been sent to the
// version.
//
// The promotion begins only when the requests that can still come until the deadline, estimated from above,
// fit into the bound. A request that would otherwise have gone to the old version is one of these, and goes
// to the target version once. Without this rule a router that learns of the success late would refuse its
// callers, as the old runners stop at once.
func (d *Driver) Fallback(query backend.Query, hasFailedThere func(target string) bool) string {
	if !d.isEnabled() || query.TargetVersion != "" || query.BoundVersion != "" {
		return ""
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state != versionrollout.Running || r.stored.Status == nil || !r.stored.Status.Promoted || hasFailedThere(r.stored.Order.Target) {
		return ""
	}
	return r.stored.Order.Target
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
	r.placer.exposure.CountRequest(now)
	r.placer.requests++
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
	if r == nil || r.state == versionrollout.RolledBack || r.stored.Order.Target != query.TargetVersion {
		return false
	}
	return r.state == versionrollout.Succeeded || now.Sub(permittedAt) < versionrollout.PermitDuration
}

// SendEnd is how a request to a runner ended.
type SendEnd struct {
	Outcome backend.Outcome
	// NotSent is set if the runner got nothing of the request, and ConnectionLost if the connection
	// to it broke.
	NotSent, ConnectionLost bool
	// RoundTrip is the part of its time that is due to the distance to another region, and says nothing
	// about the version.
	RoundTrip time.Duration
}

// result returns what the end says about the version that got the request.
func (e SendEnd) result() versionrollout.Result {
	switch {
	case e.NotSent, e.Outcome == backend.NotConfirmed:
		return versionrollout.NotSent
	case e.ConnectionLost, e.Outcome == backend.Unreachable:
		return versionrollout.ConnectionLost
	case e.Outcome == backend.Succeeded:
		return versionrollout.Answered
	case e.Outcome == backend.Failed:
		return versionrollout.AnswerFailed
	}
	return versionrollout.CallerLeft
}

// RecordOutcome counts the end of a request that this router placed.
func (d *Driver) RecordOutcome(now time.Time, query backend.Query, send *backend.Send, end SendEnd) {
	if query.Route == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.byService[query.Service]
	if r == nil || r.state.IsFinal() || send.SentAt().Before(r.learnedAt) || (query.TargetVersion != "" && query.TargetVersion != r.stored.Order.Target) {
		return
	}
	ended := versionrollout.Completion{
		Route: query.Route, IsTarget: query.TargetVersion != "", Result: end.result(),
		IsSuspect: query.SuspectContent != 0, Latency: max(now.Sub(send.SentAt())-end.RoundTrip, 0),
	}
	if end.Outcome == backend.Refused {
		// It reached the version, which therefore has used one request, and was not run.
		ended.Latency = 0
	}
	if ended.Result == versionrollout.ConnectionLost {
		id, incarnation := send.RunnerIncarnation()
		ended.Runner = id + "/" + strconv.FormatUint(incarnation, 10)
	}
	if ended.Result == versionrollout.NotSent && ended.IsTarget && !query.Fallback {
		r.placer.exposure.Return()
	}
	r.placer.outcomes.Record(ended)
}
