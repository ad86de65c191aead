package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Parameters of the split of a service's runners between long prefills and streams.
const (
	// longPrefillShare is the share of the acceptable pause between events beyond which a
	// prefill counts as long. An event of a stream waits for several pieces of prefill, so
	// a tenth of the pause leaves room for other work that coincides.
	longPrefillShare = 0.1
	// minSplitRunners is the minimum number of runners that are split. With fewer, the loss
	// of one would leave one kind of work without a fair share of them.
	minSplitRunners = 16
	// minSplitShare and maxSplitShare bound the share of runners for long prefills, so that
	// a momentary measurement leaves neither kind with too few runners.
	minSplitShare = 0.25
	maxSplitShare = 0.75
	// splitSteps is the number of steps to which the share is rounded. A small number makes
	// routers with slightly different measurements agree on nearly all runners.
	splitSteps = 10
	// splitHysteresis is by how much of a step the measured share must differ from the
	// current one before it changes: when a home runner moves, the prompt's shared parts
	// must be prefilled again.
	splitHysteresis = 0.75
	// demandHalfLife is the half-life of measured work. It is long compared to a burst of a
	// few seconds, since a change moves home runners, and short compared to the traffic
	// changes of a day.
	demandHalfLife = 8 * time.Second
	// minDemand is the minimum measured work, in runner-seconds, at which runners are
	// split: a few tens of requests.
	minDemand = 2.0
	// minKindShare is the minimum share of each kind in the measured work at which runners
	// are split. Fewer long prefills disturb few streams.
	minKindShare = 0.1
	// scarceSlotShare is the share of used slots above which the cost of a runner for the
	// other kind is reduced, down to zero when all slots are in use: then any free slot is
	// better than a wait.
	scarceSlotShare = 0.5
	// otherKindCostShare is the cost of a runner preferred for the other kind, as a share
	// of the acceptable pause between events. It is high enough that few requests cross
	// over, and lower than the wait for a busy runner of the request's own kind.
	otherKindCostShare = 1.0 / 6
)

// demand is the measured work of a service in runner-seconds, decaying exponentially.
type demand struct {
	// longPrefillSeconds is the work of requests with long prompts: their prefill time and
	// their slot time, which is the time that they hold a slot divided by the runner's
	// slots. streamSeconds is the slot time of all other streams.
	longPrefillSeconds float64
	streamSeconds      float64
	updatedAt          time.Time
	// usedSlotShare is the share of the service's slots in use at the last placement.
	usedSlotShare float64
	// step is the current share in units of 1/splitSteps, 0 while runners are not split.
	step int
}

func (s *Set) demand(now time.Time, service string) *demand {
	d := s.demands[service]
	if d == nil {
		d = &demand{updatedAt: now}
		s.demands[service] = d
	}
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.longPrefillSeconds = decayed(d.longPrefillSeconds, elapsed, demandHalfLife)
		d.streamSeconds = decayed(d.streamSeconds, elapsed, demandHalfLife)
		d.updatedAt = now
	}
	return d
}

// isLongPrefill reports whether the prefill of the request's prompt delays streams for
// long, measured by the pause that its own caller accepts.
func (s *Set) isLongPrefill(query Query) bool {
	return query.MaxEventGap > 0 && s.servicePrefill(query.Service).prefillTime(query.PromptTokens).Seconds() > longPrefillShare*query.MaxEventGap.Seconds()
}

// recordLongPrefill adds the prefill time of a long prompt that was sent to a runner.
func (s *Set) recordLongPrefill(now time.Time, service string, tokens int) {
	s.demand(now, service).longPrefillSeconds += s.servicePrefill(service).prefillTime(tokens).Seconds()
}

// recordStream adds the slot time of a request with a bound on event gaps that has
// succeeded.
func (s *Set) recordStream(now time.Time, e *entry, send *Send) {
	if send.maxEventGap <= 0 || e.Slots <= 0 {
		return
	}
	held := now.Sub(send.sentAt).Seconds() / float64(e.Slots)
	if send.longPrefill {
		s.demand(now, e.Service).longPrefillSeconds += held
		return
	}
	s.demand(now, e.Service).streamSeconds += held
}

// updateLongShare updates the step from the measured work and returns the share of runners
// preferred for long prefills, 0 if they are not split. It is also called when metrics are
// collected (Stats).
func (d *demand) updateLongShare() float64 {
	total := d.longPrefillSeconds + d.streamSeconds
	if total < minDemand || d.longPrefillSeconds < minKindShare*total || d.streamSeconds < minKindShare*total {
		d.step = 0
		return 0
	}
	share := min(max(d.longPrefillSeconds/total, minSplitShare), maxSplitShare) * splitSteps
	if d.step == 0 || share > float64(d.step)+splitHysteresis || share < float64(d.step)-splitHysteresis {
		d.step = int(share + 0.5)
	}
	return float64(d.step) / splitSteps
}

// freeSlotFactor returns 1 while enough slots are free to keep long prefills separate,
// falling to 0 when none is free.
func (d *demand) freeSlotFactor() float64 {
	return min(max((1-d.usedSlotShare)/(1-scarceSlotShare), 0), 1)
}

// slotUsage counts the used and total slots of a service's runners.
type slotUsage struct{ used, total int }

// add counts a runner's slots, of which open requests use up to all.
func (u *slotUsage) add(openRequests, slots int) {
	u.used += min(openRequests, slots)
	u.total += slots
}

// recordSlotUsage stores the slot usage counted during a placement.
func (d *demand) recordSlotUsage(usage slotUsage) {
	if usage.total > 0 {
		d.usedSlotShare = float64(usage.used) / float64(usage.total)
	}
}

// split is the division of a service's runners as it applies to one request.
type split struct {
	// longShare is the share of runners preferred for long prefills, 0 while runners are
	// not split.
	longShare float64
	// longPrefill is set when the request is a long prefill. otherKindCost is the cost, in
	// prompt tokens, of a runner preferred for the other kind.
	longPrefill   bool
	otherKindCost int
}

// split returns the division for the request, in proportion to the measured work of long
// prefills and of other streams.
func (s *Set) split(now time.Time, query Query, runners int) split {
	if query.MaxEventGap <= 0 || runners < minSplitRunners {
		return split{}
	}
	demand := s.demand(now, query.Service)
	otherKindCost := otherKindCostShare * demand.freeSlotFactor() * float64(query.MaxEventGap)
	return split{longShare: demand.updateLongShare(), longPrefill: s.isLongPrefill(query), otherKindCost: s.servicePrefill(query.Service).tokensIn(time.Duration(otherKindCost))}
}

// prefers reports whether the runner is preferred for the request's kind. Each runner has a
// fixed position, so a change of the share affects few runners.
func (p split) prefers(e *entry) bool {
	if p.longShare == 0 {
		return true
	}
	return (e.splitPosition() < p.longShare) == p.longPrefill
}

// cost returns the cost of the runner for the request, in prompt tokens.
func (p split) cost(e *entry) int {
	if p.prefers(e) {
		return 0
	}
	return p.otherKindCost
}

// splitPosition returns the fixed position of the runner in [0, 1), a hash of its id.
func (e *entry) splitPosition() float64 {
	if e.idHash == 0 {
		e.idHash = rendezvous.KeyOf(e.ID) | 1
	}
	return float64(e.idHash>>11) / (1 << 53)
}

// ServiceStats is what the router has learned about a service's runners, for metrics.
type ServiceStats struct {
	Service string
	// PrefillRate is the prefill speed in tokens per second.
	PrefillRate float64
	// LongShare is the share of runners preferred for long prompts, 0 while runners are not
	// split.
	LongShare float64
}

// Stats returns the statistics of each service for which work has been measured.
func (s *Set) Stats(now time.Time) []ServiceStats {
	allStats := make([]ServiceStats, 0, len(s.demands))
	for service := range s.demands {
		stats := ServiceStats{Service: service, PrefillRate: s.servicePrefill(service).tokensPerSecond()}
		if len(s.byService[service]) >= minSplitRunners {
			stats.LongShare = s.demand(now, service).updateLongShare()
		}
		allStats = append(allStats, stats)
	}
	return allStats
}
