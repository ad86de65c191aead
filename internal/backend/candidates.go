package backend

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/distance"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Costs in prompt tokens, the unit of placement's scores.
const (
	// PrefillRate is the assumed prefill speed, in tokens per second, until the speed of a
	// service has been learned. Where weight deadlines are concerned, the slower of the
	// assumed and the learned speed counts.
	PrefillRate = 38000
	// failureCost is the cost of a runner that fails every request. A lower failure share
	// costs proportionally less.
	failureCost = 40000
	// crossZoneCost is the cost of a runner outside the zone of the router that sends the
	// request. It also stands for the price of bytes between zones. For another region, the round
	// trip is added.
	crossZoneCost = 400
	// staleWeightsCost is the cost of weights past their grace period.
	staleWeightsCost = 1500
	// updatingCost is the cost of a runner whose weights are being updated or are next in
	// line for an update.
	updatingCost = 60000
	// coldCost is the cost of a runner that has just started and is still slow.
	coldCost = 2000
)

// Query describes a request to be placed on a runner.
type Query struct {
	Service string
	// Model is empty for requests that use no language model.
	Model        string
	PromptTokens int
	// Family is the hash of the prompt's deepest shared part, 0 without one. Requests of
	// one family share a prompt prefix.
	Family uint64
	// SharedTokens is the number of tokens before the part of the prompt that is unique to
	// the request.
	SharedTokens int
	// Shared are the prompt parts before the unique one. Owner identifies whose parts they
	// are and separates them in the cache.
	Shared []SharedPart
	Owner  string
	// LastPart is the ID of the prompt's last part, which belongs to the request or to its session.
	LastPart string
	// Excluded lists runners that have already failed this request.
	Excluded []string
	// MaxQueueTime bounds the expected time that the request queues at a runner; 0 means no
	// bound.
	MaxQueueTime time.Duration
	// Zone is the zone of the router that sends the request, empty for this router's zone.
	Zone string
	// LatencyTarget is the longest time until the first event of a response that counts as
	// on time, and MaxEventGap the longest pause between two events of its stream; 0 means
	// no target.
	LatencyTarget time.Duration
	MaxEventGap   time.Duration
	// Rank orders the request among those that compete for the same runners.
	Rank admission.Rank
	// Tenant is empty for requests without one.
	Tenant string
	// MaxTokens bounds the number of tokens that the request generates, 0 if unknown.
	MaxTokens int
	// Ticket identifies a request that is refused and retried later, 0 if it has no
	// identity.
	Ticket uint64
	// SuspectContent is the hash of a request's content that is suspected of crashing
	// runners, 0 for any other request.
	SuspectContent uint64
	// Backoffs are the backoffs that runners requested from the sending router.
	Backoffs []RunnerBackoff
	// Unreachable are the runners to which the sending router has lost its path.
	Unreachable []string
	// TargetVersion is the only software version that may get the request, empty for the versions
	// that the service's rule allows.
	TargetVersion string
	// Testing is set if the request tests the target version. It then goes to few runners of it.
	Testing bool
	// Fallback is set if the request may go to the target version only because no runner of the
	// other versions is left. It isn't counted as allowed there.
	Fallback bool
	// BoundVersion is the only software version that may get the request because it continues a stream that
	// this version began, empty for any other request. The service's rule holds as well.
	BoundVersion string
	// Route is the request's route while a rollout of its service runs, otherwise empty.
	Route string
}

// RunnerBackoff is a runner's request to one router to send it no requests for the
// remaining time.
type RunnerBackoff struct {
	Runner    string
	Remaining time.Duration
}

// backoffRemaining returns for how long the runner accepts no requests from the router that
// sends the query, 0 if it accepts them.
func (q Query) backoffRemaining(runner string) time.Duration {
	for _, backoff := range q.Backoffs {
		if backoff.Runner == runner {
			return backoff.Remaining
		}
	}
	return 0
}

// Candidates returns the candidates in the smallest scope.
func (s *Set) Candidates(now time.Time, query Query) (placement.Request, []placement.Candidate) {
	return s.CandidatesIn(now, query, Sampled)
}

// CandidatesIn returns the service's runners with their costs for placement. Runners that do
// not hold the model, or whose weights have expired or expire before the request could
// start, are left out. Runners that accept no request now are left out and counted in the
// request's HeldBack; runners that are avoided for a while are returned but listed in
// Excluded. Of a service with many runners, only those in the scope are returned.
func (s *Set) CandidatesIn(now time.Time, query Query, scope Scope) (placement.Request, []placement.Candidate) {
	request := placement.Request{Model: query.Model, PromptTokens: query.PromptTokens, MaxWait: query.MaxQueueTime, Excluded: slices.Clone(query.Excluded)}
	prefill := s.servicePrefill(query.Service)
	split := s.split(now, query, len(s.byService[query.Service]))
	zone := cmp.Or(query.Zone, s.zone)
	view := s.regions.view(now, zone)
	depths := &depthLookup{set: s, now: now, query: &query, byVersion: map[uint64]versionDepths{}}
	entries, home := s.scopedEntries(now, query, scope, split, depths)
	s.cacheIndex.ExpireProvisional(now)
	candidates := make([]placement.Candidate, 0, len(entries))
	crowded := s.crowdedVersions(now, entries, query)
	var usage slotUsage
	// The separation cost of a runner in another region is not part of the expected wait, so no request
	// is refused because of it.
	keepInRegion, hasFreeRunner := view != nil && query.PromptTokens == 0 && query.SuspectContent == 0, false
	for _, e := range entries {
		cost, usable := s.weightsCost(now, e, query)
		if !usable {
			continue
		}
		if s.heldBack(now, e, query, &request.HeldBack) {
			continue
		}
		avoided := now.Before(e.avoidUntil)
		if avoided {
			request.Excluded = append(request.Excluded, e.ID)
		}
		depth, fetchableDepth := depths.holderDepths(e)
		fromPeers := s.peerLoad(now, e.ID)
		openRequests := e.inFlight + fromPeers.Requests
		usage.add(openRequests, e.Slots)
		queue, slowness := s.expectedWaits(now, e, query.Model, openRequests)
		isFar := view.isFar(e)
		hasFreeRunner = hasFreeRunner || !isFar && !avoided && !e.isLeaving() && hasFreeSlot(openRequests, e.Slots) && !slices.Contains(query.Excluded, e.ID)
		separation := split.cost(e) + e.suspectCost(query, fromPeers)
		if crowded[e.SoftwareVersion] {
			separation += crowdedVersionCost
		}
		if isFar && keepInRegion {
			separation += leaveRegionCost
		}
		cached := cachedTokens(query, e == home, depth)
		candidates = append(candidates, placement.Candidate{
			Name: e.ID, Leaving: e.isLeaving(), Report: s.loadReport(now, e, query.Model, prefill),
			CachedTokens:            cached,
			FetchableTokens:         max(fetchableDepth-cached, 0),
			PendingTokens:           e.pendingTokens + fromPeers.Tokens + prefill.tokensIn(queue),
			PendingRequests:         openRequests,
			PenaltyTokens:           cost + s.runnerCost(now, e, zone) + prefill.tokensIn(slowness+view.roundTrip(e)),
			StreamLoad:              e.streamPauses(fromPeers),
			SeparationPenaltyTokens: separation,
			PickFirst:               !isFar && e.signalState.IsLimited() && query.SuspectContent == 0 && s.permits.HasUnusedPermit(now, e.signalKey()),
		})
	}
	if query.MaxEventGap > 0 {
		s.demand(now, query.Service).recordSlotUsage(usage)
	}
	if keepInRegion && !hasFreeRunner {
		s.mayLeaveRegion(view, candidates)
	}
	return request, candidates
}

// homeRunners returns the runners that all requests of the prompt family prefer, so that they cache
// the family's shared parts: among all runners and among those of the sender's region. They are
// chosen by rendezvous hashing among the runners that accept work, so all routers agree on them. While
// long prefills are kept on separate runners, they are of the runners preferred for this kind of
// request. Without regions, both are the same.
func (s *Set) homeRunners(now time.Time, entries []*entry, query Query, split split) (global, regional *entry) {
	if query.Family == 0 {
		return nil, nil
	}
	view := s.regions.view(now, cmp.Or(query.Zone, s.zone))
	var all, near homeChoice
	for _, e := range entries {
		if !e.mayBeHome(now, query) {
			continue
		}
		weight, preferred := rendezvous.Weight(e.ID, query.Family), split.prefers(e)
		all.add(e, weight, preferred)
		if !view.isFar(e) {
			near.add(e, weight, preferred)
		}
	}
	return all.best, near.best
}

// homeChoice is the runner with the highest weight so far, of the preferred ones if there are any.
type homeChoice struct {
	best      *entry
	weight    uint64
	preferred bool
}

func (h *homeChoice) add(e *entry, weight uint64, preferred bool) {
	if h.best == nil || preferred && !h.preferred || preferred == h.preferred && weight > h.weight {
		*h = homeChoice{best: e, weight: weight, preferred: preferred}
	}
}

// mayBeHome reports whether the runner accepts work now, so that the query's prompt family may have
// its home there.
func (e *entry) mayBeHome(now time.Time, query Query) bool {
	return !e.isLeaving() && !now.Before(e.avoidUntil) && !e.signalState.IsLimited() && query.backoffRemaining(e.ID) == 0
}

// cachedTokens returns how many tokens of the prompt count as cached by a runner whose
// known cached depth is given. The home runner counts as caching all shared tokens, so that
// all routers send a family there before any of them knows what it caches.
func cachedTokens(query Query, home bool, depth int) int {
	if home {
		return max(query.SharedTokens, depth)
	}
	return depth
}

func (s *Set) loadReport(now time.Time, e *entry, model string, prefill *prefillModel) fleet.Report {
	state := fleet.Serving
	if e.isLeaving() {
		state = fleet.Draining
	}
	return fleet.Report{
		Runner: e.ID, State: state, Connected: true, Model: model,
		Load: fleet.Load{MaxRunning: e.Slots, PrefillRate: int(prefill.tokensPerSecond())},
	}
}

// weightsCost reports whether the request may be sent to the runner with the weights it
// has, and returns their cost. The weights must be valid both now and at the expected start
// of the request, after the requests ahead of it and its own prefill.
func (s *Set) weightsCost(now time.Time, e *entry, query Query) (cost int, usable bool) {
	model := query.Model
	if model == "" {
		return 0, true
	}
	version, held := e.weightVersion(model)
	if !held {
		return 0, false
	}
	if s.weightTargets.State(now.Add(s.startDelay(now, e, query.PromptTokens)), model, version) == Expired {
		return 0, false
	}
	switch s.weightTargets.State(now, model, version) {
	case Expired:
		return 0, false
	case Stale:
		cost = staleWeightsCost
	}
	if e.updating || s.updatesSoon(now, e, model) {
		cost += updatingCost
	}
	return cost, true
}

// Usable reports whether the request may go to a runner that another router or an earlier
// choice has selected. It checks what this router knows now: whether the runner is leaving,
// its weights and its recent failures.
func (s *Set) Usable(now time.Time, id string, query Query, permit backpressure.Permit) bool {
	e := s.findActive(id, query.Service)
	if e == nil || now.Before(e.avoidUntil) || slices.Contains(query.Excluded, id) || slices.Contains(query.Unreachable, id) || !e.accepts(now, permit) || !s.allowsVersion(e, query) {
		return false
	}
	_, usable := s.weightsCost(now, e, query)
	return usable
}

// AnyUsable returns runners that may get the request without a permit, from a random one on and at most limit.
func (s *Set) AnyUsable(now time.Time, query Query, limit int, random *rand.Rand) (usable []Runner) {
	entries := s.byService[query.Service]
	if len(entries) == 0 {
		return nil
	}
	first := random.IntN(len(entries))
	for i := 0; i < len(entries) && len(usable) < limit; i++ {
		if e := entries[(first+i)%len(entries)]; s.Usable(now, e.ID, query, backpressure.Permit{}) {
			usable = append(usable, e.Runner)
		}
	}
	return usable
}

// MayBegin reports whether a request that waits at the runner may still begin there. It
// uses the newer of the weight version known when the request was sent and the one known
// now.
func (s *Set) MayBegin(now time.Time, id, model string, versionAtSend uint64) bool {
	return s.weightTargets.MayBegin(now, model, max(versionAtSend, s.WeightVersion(id, model)))
}

// findActive returns the service's runner, or nil if it is unknown, leaving or gone.
func (s *Set) findActive(id, service string) *entry {
	e := s.entries[id]
	if e == nil || e.Service != service || e.isLeaving() {
		return nil
	}
	return e
}

// IsActive reports whether the service's runner is known and not leaving.
func (s *Set) IsActive(id, service string) bool { return s.findActive(id, service) != nil }

// MaySend reports whether a request that has been placed on the runner, and is counted
// there, may still be sent: the runner is active, accepts the request, and has exactly the
// weight version for which the request was placed, not expired. Costs and failures were
// weighed by the placement and are not checked again.
func (s *Set) MaySend(now time.Time, id string, query Query, version uint64, permit backpressure.Permit) bool {
	e := s.findActive(id, query.Service)
	if e == nil || !e.accepts(now, permit) || !s.allowsVersion(e, query) {
		return false
	}
	if query.Model == "" {
		return true
	}
	known, held := e.weightVersion(query.Model)
	if !held || known != version {
		return false
	}
	// pendingTokens includes the request's own prompt. The time between placement and this
	// check would look like a wait at the runner, so only waits of requests that got a
	// response count.
	startsAt := now.Add(e.measuredAssumedWait(now) + s.maxPrefillTime(e, e.pendingTokens))
	return s.weightTargets.State(startsAt, query.Model, version) != Expired
}

// runnerCost returns the cost of the runner's recent failures, its distance from the zone and
// a recent start, in prompt tokens.
func (s *Set) runnerCost(now time.Time, e *entry, zone string) int {
	cost := int(e.decayedFailureShare(now) * failureCost)
	if e.Zone != zone {
		cost += crossZoneCost
	}
	if e.ColdRemaining > 0 {
		cost += coldCost
	}
	return cost
}

// Backup returns the runner best suited to hold a copy of a run's state. It serves the same
// service with the same weight version and is not leaving, updating or avoided. A runner in
// another zone of the region is preferred, as runners of one zone are lost together, then one in the
// same zone, and then the one with the fewest open requests of this router.
func (s *Set) Backup(now time.Time, id, model string) (Runner, bool) {
	primary := s.entries[id]
	if primary == nil {
		return Runner{}, false
	}
	version, _ := primary.weightVersion(model)
	var best *entry
	for _, e := range s.byService[primary.Service] {
		other, held := e.weightVersion(model)
		if e == primary || !held || other != version || e.SoftwareVersion != primary.SoftwareVersion || e.isLeaving() || e.updating || now.Before(e.avoidUntil) || !e.accepts(now, backpressure.Permit{}) {
			continue
		}
		if best == nil || s.backupCost(primary, e) < s.backupCost(primary, best) {
			best = e
		}
	}
	if best == nil {
		return Runner{}, false
	}
	return best.Runner, true
}

// Costs of a backup by its distance, in units of one open request.
const (
	sameZoneBackupCost = 1000
	// A copy to another region takes five times as long as to another zone, and a run that continues
	// there is far from its caller. Losses of zones are rarer than runs.
	otherRegionBackupCost = 2000
)

func (s *Set) backupCost(primary, e *entry) int {
	switch s.Relation(primary.Zone, e.Runner) {
	case distance.SameZone:
		return e.inFlight + sameZoneBackupCost
	case distance.OtherRegion:
		return e.inFlight + otherRegionBackupCost
	}
	return e.inFlight
}
