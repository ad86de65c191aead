package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/rollout"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Times and limits of rollouts.
const (
	// minServingPercent is the minimum percentage of a service's runners that keep serving.
	minServingPercent = 50
	// reportTimeout bounds one call for a runner's report.
	reportTimeout = 700 * time.Millisecond
	// reportInterval is how often the report of a runner that is being updated is read.
	reportInterval = 200 * time.Millisecond
	// updateTimeout is how long the update of one runner may take before other runners go
	// first.
	updateTimeout = 6 * time.Second
	// resendAfter is how long to wait for an order to show in the runner's reports before it is
	// sent again.
	resendAfter = 600 * time.Millisecond
	// updateRetryDelay is the delay before the next update of a runner whose last one failed.
	updateRetryDelay = 500 * time.Millisecond
	// updateTimeSmoothing is the weight of one update in the moving average of update times.
	updateTimeSmoothing = 0.1
	// rolloutDeadlineShare is the fraction of the weights' deadline within which all runners
	// should be updated. Slower rollouts skip more versions if these are named in quick
	// succession, and keep more runners serving, but more requests start on old weights
	// (docs/POLICY.md).
	rolloutDeadlineShare = 0.5
)

// rolloutController updates runners to the target weights. It is level-triggered: each step
// compares the target versions with those that the runners have.
type rolloutController struct {
	gateway *Gateway
	mutex   sync.Mutex
	// active holds the runners that this router is updating.
	active map[string]bool
	// unanswered holds the active runners whose last order got no answer and that have not been
	// seen to carry it out since.
	unanswered map[string]bool
	// retryAt is when the next update may start, for runners whose last update failed.
	retryAt     map[string]time.Time
	currentTerm term
	// highestFencedToken is the highest token that a runner rejected as too low.
	highestFencedToken storerev.Revision
	// meanUpdateTime is the exponential moving average of update times.
	meanUpdateTime time.Duration
}

func newRolloutController(g *Gateway) *rolloutController {
	return &rolloutController{gateway: g, active: map[string]bool{}, unanswered: map[string]bool{}, retryAt: map[string]time.Time{}, meanUpdateTime: backend.TypicalUpdateTime}
}

// countOutdated returns the number of runners with weights older than the target.
func (r *rolloutController) countOutdated() int {
	g := r.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.CountOutdated()
}

// startUpdates starts the updates that the planner allows now, under the given term.
func (r *rolloutController) startUpdates(current term) {
	g := r.gateway
	r.mutex.Lock()
	r.currentTerm = current
	meanUpdateTime := r.meanUpdateTime
	r.mutex.Unlock()
	g.mutex.Lock()
	groups := g.runners.ModelGroups(r.gateway.now(), meanUpdateTime)
	g.mutex.Unlock()
	for _, group := range groups {
		limits := limitsFor(len(group.Runners), group.MaxConcurrent)
		model := rollout.Model{Name: group.Model, WeightVersion: strconv.FormatUint(group.Target, 10)}
		for _, order := range rollout.Plan(limits, []rollout.Model{model}, r.plannerInput(group)) {
			r.startUpdate(order.Runner, group.Model, group.Target)
		}
	}
}

// limitsFor returns the rollout limits for a service with the given number of runners. A single
// runner is updated although no other one can serve meanwhile.
func limitsFor(runners, maxConcurrent int) rollout.Limits {
	limits := rollout.Limits{MaxLoading: maxConcurrent, MinServingPercent: minServingPercent}
	if runners == 1 {
		limits.MinServingPercent = 0
	}
	return limits
}

// plannerInput describes the group's runners to the planner. A runner with a version above the
// target counts as up to date.
func (r *rolloutController) plannerInput(group backend.ModelGroup) []rollout.Runner {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var runners []rollout.Runner
	backend.SortForUpdate(group.Runners)
	for _, runner := range group.Runners {
		report := fleet.Report{
			Runner: runner.ID, State: r.runnerState(now, runner.ID), Connected: true, Model: group.Model,
			WeightVersion: strconv.FormatUint(min(runner.Version, group.Target), 10),
		}
		if runner.Expired {
			// It no longer serves the model, so loading takes no capacity away.
			report.Model = ""
		}
		runners = append(runners, rollout.Runner{Name: runner.ID, Leaving: runner.Draining, Report: report})
	}
	return runners
}

// runnerState returns the state of the runner for the planner. A runner whose order got no answer
// may load the weights at any time, so it counts neither as serving nor as loading. The mutex must
// be held.
func (r *rolloutController) runnerState(now time.Time, id string) fleet.State {
	switch {
	case r.unanswered[id]:
		return fleet.Unknown
	case r.active[id] || now.Before(r.retryAt[id]):
		return fleet.Loading
	}
	return fleet.Serving
}

func (r *rolloutController) setUnanswered(id string, unanswered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if unanswered {
		r.unanswered[id] = true
		return
	}
	delete(r.unanswered, id)
}

func (r *rolloutController) startUpdate(id, model string, version uint64) {
	g := r.gateway
	g.mutex.Lock()
	runner, known := g.runners.Get(id)
	g.runners.SetUpdating(id, true)
	g.mutex.Unlock()
	if !known {
		return
	}
	r.mutex.Lock()
	r.active[id] = true
	r.mutex.Unlock()
	g.spawn(func() {
		startedAt := r.gateway.now()
		done := r.updateRunner(runner, model, version)
		g.metrics.weightUpdates.WithLabelValues(outcomeLabel(done)).Observe(r.gateway.since(startedAt).Seconds())
		g.mutex.Lock()
		g.runners.SetUpdating(id, false)
		g.mutex.Unlock()
		r.finishUpdate(id, done, r.gateway.since(startedAt))
	})
}

// finishUpdate records the end of an update, whether it succeeded and how long it took.
func (r *rolloutController) finishUpdate(id string, done bool, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.active, id)
	delete(r.unanswered, id)
	delete(r.retryAt, id)
	if !done {
		r.retryAt[id] = r.gateway.now().Add(updateRetryDelay)
	}
	r.meanUpdateTime += time.Duration(updateTimeSmoothing * float64(duration-r.meanUpdateTime))
}

// updateRunner updates one runner to the version and reports whether it succeeded.
func (r *rolloutController) updateRunner(runner backend.Runner, model string, version uint64) bool {
	g := r.gateway
	deadline := r.gateway.now().Add(updateTimeout)
	var last lastOrder
	for r.gateway.now().Before(deadline) {
		report, err := r.fetchReport(runner)
		if err != nil {
			g.log.Log(events.RunnerReportFailed, events.Fields{"runner": runner.ID, "address": runner.Address, "error": err.Error()})
			return false
		}
		if r.recordVersions(runner, report, model, version) {
			return true
		}
		if report.Updating {
			r.setUnanswered(runner.ID, false)
		}
		if !report.Updating && !last.isOutstanding(g.now(), report) {
			if !r.sendOrder(runner, model, version, report.OrdersAccepted) {
				return false
			}
			last = lastOrder{sentAt: r.gateway.now(), incarnation: report.Incarnation, acceptedBefore: report.OrdersAccepted}
		}
		if !g.pause(reportInterval) {
			return false
		}
	}
	return false
}

// lastOrder is the last order of an update. The zero value means none.
type lastOrder struct {
	sentAt time.Time
	// incarnation is the incarnation of the runner that was ordered, and acceptedBefore the
	// number of orders that it had accepted before.
	incarnation    uint64
	acceptedBefore uint64
}

// isOutstanding reports whether the order may still arrive. An order to an earlier incarnation
// never shows in reports, so it is not outstanding.
func (o lastOrder) isOutstanding(now time.Time, report RunnerReport) bool {
	return !o.sentAt.IsZero() && report.Incarnation == o.incarnation && report.OrdersAccepted <= o.acceptedBefore && now.Sub(o.sentAt) < resendAfter
}

func (r *rolloutController) fetchReport(runner backend.Runner) (RunnerReport, error) {
	ctx, cancel := context.WithTimeout(r.gateway.ctx, reportTimeout)
	defer cancel()
	return r.gateway.ports.Runners.Report(ctx, runner)
}

// recordVersions records the versions in the report and reports whether the runner has the
// given version or a later one, with no order in progress.
func (r *rolloutController) recordVersions(runner backend.Runner, report RunnerReport, model string, version uint64) bool {
	g := r.gateway
	for _, loaded := range report.Models {
		if loaded.Name != model {
			continue
		}
		g.mutex.Lock()
		g.runners.LearnVersion(runner.ID, model, loaded.Version)
		g.mutex.Unlock()
		if loaded.Version >= version && !report.Updating {
			g.log.Log(events.RunnerWeightsChanged, events.Fields{"runner": runner.ID, "model": model, "version": loaded.Version})
			return true
		}
	}
	return false
}

// sendOrder sends one order under the current term and reports whether the update may continue.
func (r *rolloutController) sendOrder(runner backend.Runner, model string, version, ordersAccepted uint64) bool {
	g := r.gateway
	r.mutex.Lock()
	current := r.currentTerm
	r.mutex.Unlock()
	remaining := g.until(current.validUntil)
	if remaining <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, remaining)
	defer cancel()
	outcome, err := g.ports.Runners.Order(ctx, runner, WeightOrder{
		Model: model, Version: version, Holder: current.holder, Token: current.token, ExpectedOrders: ordersAccepted, KeepRunning: !g.settings.AwaitRunning,
	})
	fields := events.Fields{"runner": runner.ID, "model": model, "version": version, "token": current.token, "expected": ordersAccepted, "outcome": outcome.String()}
	g.metrics.orders.WithLabelValues(outcome.String()).Inc()
	if err != nil {
		fields["error"] = err.Error()
	}
	if outcome == OrderFenced {
		r.endTerm(current)
	}
	if outcome == OrderFenced || outcome == OrderInvalid {
		g.log.Log(events.OrderRefused, fields)
		return false
	}
	r.setUnanswered(runner.ID, outcome == OrderUnknown)
	g.log.Log(events.OrderSent, fields)
	return true
}

// endTerm ends a term whose token a runner rejected, which means that another router has held
// the lease since. No more orders are sent under it.
func (r *rolloutController) endTerm(refused term) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.highestFencedToken = max(r.highestFencedToken, refused.token)
	if r.currentTerm.token == refused.token {
		r.currentTerm = term{}
	}
}

// isFenced reports whether a runner has rejected the token, or a higher one, as too low.
func (r *rolloutController) isFenced(token storerev.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return token <= r.highestFencedToken
}
