package rolloutdriver

import (
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

// Summary describes in the status how a service is moved to another software version.
type Summary struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	State    string `json:"state"`
	Promoted bool   `json:"promoted"`
	// Reason is why the rollout was promoted or rolled back, empty before.
	Reason string `json:"reason,omitempty"`
	// ElapsedMillis is the time since the order, and DurationMillis the time from the order to its
	// deadline.
	ElapsedMillis  int64 `json:"elapsedMillis"`
	DurationMillis int64 `json:"durationMillis"`
	// Leads is set if this router decides on the rollout. Share, Requests, Exposed and Routes are
	// then those of all routers, and otherwise what this router has counted itself.
	Leads    bool           `json:"leads"`
	Share    float64        `json:"share"`
	Requests uint64         `json:"requests"`
	Exposed  uint64         `json:"exposed"`
	Routes   []RouteSummary `json:"routes,omitempty"`
	// Reserved is the number of requests to the target version that the store allows. Phase, Allowed (what
	// was granted of it) and Budget (what the bound leaves at present) are known to the leader only,
	// and Waits says why it has not gone further.
	Reserved uint64 `json:"reserved"`
	Phase    string `json:"phase,omitempty"`
	Allowed  uint64 `json:"allowed,omitempty"`
	Budget   uint64 `json:"budget,omitempty"`
	Waits    string `json:"waits,omitempty"`
}

// RouteSummary counts the answers of both versions on one route.
type RouteSummary struct {
	Route         string `json:"route"`
	OldAnswers    uint64 `json:"oldAnswers"`
	OldBad        uint64 `json:"oldBad"`
	TargetAnswers uint64 `json:"targetAnswers"`
	TargetBad     uint64 `json:"targetBad"`
}

// Summaries describes all rollouts in the order of their services.
func (d *Driver) Summaries(now time.Time) (summaries []Summary) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, service := range slices.Sorted(maps.Keys(d.byService)) {
		summaries = append(summaries, d.byService[service].summary(now, d.termEnd))
	}
	return summaries
}

func (r *serviceRollout) summary(now, termEnd time.Time) Summary {
	summary := Summary{
		Service: r.stored.Order.Service, Target: r.stored.Order.Target, State: r.state.String(),
		ElapsedMillis: now.Sub(r.earliestStart).Milliseconds(), DurationMillis: r.stored.Order.Duration.Milliseconds(),
		Leads: r.lead.controller != nil && now.Before(termEnd), Reserved: r.reserved,
	}
	if status := r.stored.Status; status != nil {
		summary.Reason, summary.Promoted = status.Reason, status.Promoted || status.State == versionrollout.Succeeded
	}
	counted := r.placer.report(now, 0)
	if summary.Leads {
		controller, decision := r.lead.controller, r.lead.decision
		counted, summary.Share = controller.Totals(), decision.Share
		summary.Phase, summary.Allowed, summary.Budget, summary.Waits = decision.Phase.String(), controller.Allowed(), controller.Budget(), decision.Reason
	}
	summary.Requests, summary.Exposed = counted.Requests, counted.Exposed
	for _, route := range slices.Sorted(maps.Keys(counted.Routes)) {
		summary.Routes = append(summary.Routes, newRouteSummary(route, counted.Routes[route]))
	}
	return summary
}

func newRouteSummary(route string, tally versionrollout.RouteTally) RouteSummary {
	return RouteSummary{Route: route, OldAnswers: tally.Old.Answers, OldBad: tally.Old.Bad, TargetAnswers: tally.Target.Answers, TargetBad: tally.Target.Bad}
}
