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
	// minServingPercent of a service's runners keep serving.
	minServingPercent = 50
	// reportTime bounds one call to a runner about its weights.
	reportTime = 700 * time.Millisecond
	// reportInterval is how often a loading runner is asked.
	reportInterval = 200 * time.Millisecond
	// updateTime is how long one runner may take before others go first.
	updateTime = 6 * time.Second
	// resendAfter is how long an order without an answer is given to show.
	resendAfter = 600 * time.Millisecond
	// setBack is how long a runner that could not be ordered is left alone.
	setBack = 500 * time.Millisecond
	// updateTimeWeight is the weight of one update in the average of what they last.
	updateTimeWeight = 0.1
	// rolloutShare is the part of the weights' deadline within which all runners
	// are brought to them. Slower rollouts skip more versions where these are named
	// in quick succession and keep more runners serving, but more requests begin on
	// old weights (docs/POLICY.md).
	rolloutShare = 0.5
)

// rollouts brings runners to the named weights. It is level-triggered: each
// step compares what is named with what the runners have.
type rollouts struct {
	gateway *Gateway
	mutex   sync.Mutex
	// active holds the runners whose update is under way here.
	active map[string]bool
	// unanswered holds those of them whose last order got no answer, and that have not
	// been seen to carry it out since.
	unanswered map[string]bool
	// setBackUntil holds runners that are to be left alone for a while.
	setBackUntil map[string]time.Time
	current      term
	// fenced is the highest token that a runner refused as too low.
	fenced storerev.Revision
	// taken is the decaying average of what updates lasted.
	taken time.Duration
}

func newRollouts(g *Gateway) *rollouts {
	return &rollouts{gateway: g, active: map[string]bool{}, unanswered: map[string]bool{}, setBackUntil: map[string]time.Time{}, taken: backend.TypicalUpdateTime}
}

// outdated counts the runners that have older weights than named.
func (r *rollouts) outdated() int {
	g := r.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runners.CountOutdated()
}

// advance starts the updates that may begin now under the term.
func (r *rollouts) advance(current term) {
	g := r.gateway
	r.mutex.Lock()
	r.current = current
	taken := r.taken
	r.mutex.Unlock()
	g.mutex.Lock()
	groups := g.runners.ModelGroups(r.gateway.now(), taken)
	g.mutex.Unlock()
	for _, group := range groups {
		limits := limitsFor(len(group.Runners), group.MaxConcurrent)
		model := rollout.Model{Name: group.Model, WeightVersion: strconv.FormatUint(group.Target, 10)}
		for _, order := range rollout.Plan(limits, []rollout.Model{model}, r.planned(group)) {
			r.start(order.Runner, group.Model, group.Target)
		}
	}
}

// limitsFor returns the limits for a service with the number of runners. A
// runner that is alone cannot wait for another one to serve meanwhile.
func limitsFor(runners, atOnce int) rollout.Limits {
	limits := rollout.Limits{MaxLoading: atOnce, MinServingPercent: minServingPercent}
	if runners == 1 {
		limits.MinServingPercent = 0
	}
	return limits
}

// planned describes the group's runners to the planner. A runner ahead of the
// named version counts as having it.
func (r *rollouts) planned(group backend.ModelGroup) []rollout.Runner {
	now := r.gateway.now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var planned []rollout.Runner
	backend.SortForUpdate(group.Runners)
	for _, runner := range group.Runners {
		report := fleet.Report{
			Runner: runner.ID, State: r.state(now, runner.ID), Connected: true, Model: group.Model,
			WeightVersion: strconv.FormatUint(min(runner.Version, group.Target), 10),
		}
		if runner.Expired {
			// It serves the model to nobody, so nobody misses it while it loads.
			report.Model = ""
		}
		planned = append(planned, rollout.Runner{Name: runner.ID, Leaving: runner.Draining, Report: report})
	}
	return planned
}

// state is what the planner is to take the runner for. One whose order got no answer
// may take the weights at any moment: it is neither sure to serve nor loading. The
// mutex is held.
func (r *rollouts) state(now time.Time, id string) fleet.State {
	switch {
	case r.unanswered[id]:
		return fleet.Unknown
	case r.active[id] || now.Before(r.setBackUntil[id]):
		return fleet.Loading
	}
	return fleet.Serving
}

func (r *rollouts) setUnanswered(id string, unanswered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if unanswered {
		r.unanswered[id] = true
		return
	}
	delete(r.unanswered, id)
}

func (r *rollouts) start(id, model string, version uint64) {
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
		began := r.gateway.now()
		done := r.update(runner, model, version)
		g.metrics.weightUpdates.WithLabelValues(outcomeOf(done)).Observe(r.gateway.since(began).Seconds())
		g.mutex.Lock()
		g.runners.SetUpdating(id, false)
		g.mutex.Unlock()
		r.ended(id, done, r.gateway.since(began))
	})
}

// ended notes that an update is over, and how long it took.
func (r *rollouts) ended(id string, done bool, taken time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.active, id)
	delete(r.unanswered, id)
	delete(r.setBackUntil, id)
	if !done {
		r.setBackUntil[id] = r.gateway.now().Add(setBack)
	}
	r.taken += time.Duration(updateTimeWeight * float64(taken-r.taken))
}

// update brings one runner to the version and tells whether it has it.
func (r *rollouts) update(runner backend.Runner, model string, version uint64) bool {
	g := r.gateway
	deadline := r.gateway.now().Add(updateTime)
	var last lastOrder
	for r.gateway.now().Before(deadline) {
		report, err := r.report(runner)
		if err != nil {
			g.log.Log(events.RunnerReportFailed, events.Fields{"runner": runner.ID, "address": runner.Address, "error": err.Error()})
			return false
		}
		if r.has(runner, report, model, version) {
			return true
		}
		if report.Busy {
			r.setUnanswered(runner.ID, false)
		}
		if !report.Busy && !last.outstanding(g.now(), report) {
			if !r.order(runner, model, version, report.Orders) {
				return false
			}
			last = lastOrder{at: r.gateway.now(), incarnation: report.Incarnation, after: report.Orders}
		}
		if !g.pause(reportInterval) {
			return false
		}
	}
	return false
}

// lastOrder is the last order of an update; the zero value is none.
type lastOrder struct {
	at time.Time
	// incarnation is the one that was ordered, and after the orders that it had taken.
	incarnation uint64
	after       uint64
}

// outstanding tells whether the order may still be on its way. One to an earlier incarnation
// is not: it never shows.
func (o lastOrder) outstanding(now time.Time, report RunnerReport) bool {
	return !o.at.IsZero() && report.Incarnation == o.incarnation && report.Orders <= o.after && now.Sub(o.at) < resendAfter
}

func (r *rollouts) report(runner backend.Runner) (RunnerReport, error) {
	ctx, cancel := context.WithTimeout(r.gateway.ctx, reportTime)
	defer cancel()
	return r.gateway.ports.Runners.Report(ctx, runner)
}

// has notes the versions of the report and tells whether the runner is there.
func (r *rollouts) has(runner backend.Runner, report RunnerReport, model string, version uint64) bool {
	g := r.gateway
	for _, held := range report.Models {
		if held.Name != model {
			continue
		}
		g.mutex.Lock()
		g.runners.LearnVersion(runner.ID, model, held.Version)
		g.mutex.Unlock()
		if held.Version >= version && !report.Busy {
			g.log.Log(events.RunnerWeightsChanged, events.Fields{"runner": runner.ID, "model": model, "version": held.Version})
			return true
		}
	}
	return false
}

// order sends one order under the current term and tells whether to go on.
func (r *rollouts) order(runner backend.Runner, model string, version, ordersTaken uint64) bool {
	g := r.gateway
	r.mutex.Lock()
	current := r.current
	r.mutex.Unlock()
	left := g.until(current.until)
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, left)
	defer cancel()
	outcome, err := g.ports.Runners.Order(ctx, runner, WeightOrder{
		Model: model, Version: version, Holder: current.holder, Token: current.token, ExpectedOrders: ordersTaken, KeepRunning: !g.settings.AwaitRunning,
	})
	fields := events.Fields{"runner": runner.ID, "model": model, "version": version, "token": current.token, "expected": ordersTaken, "outcome": outcome.String()}
	g.metrics.orders.WithLabelValues(outcome.String()).Inc()
	if err != nil {
		fields["error"] = err.Error()
	}
	if outcome == OrderFenced {
		r.end(current)
	}
	if outcome == OrderFenced || outcome == OrderInvalid {
		g.log.Log(events.OrderRefused, fields)
		return false
	}
	r.setUnanswered(runner.ID, outcome == OrderUnknown)
	g.log.Log(events.OrderSent, fields)
	return true
}

// end ends a term whose token a runner refused: another router has had the
// lease since. Nothing more is ordered under it.
func (r *rollouts) end(refused term) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fenced = max(r.fenced, refused.token)
	if r.current.token == refused.token {
		r.current = term{}
	}
}

// refused tells whether a runner refused the token as too low.
func (r *rollouts) refused(token storerev.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return token <= r.fenced
}
