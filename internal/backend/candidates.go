package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Costs in prompt tokens, the unit of placement's scores.
const (
	// PrefillRate is the assumed speed of reading prompts, in tokens a second. It counts
	// until the service's own speed is learned; where weights are begun on, the slower of
	// the two does.
	PrefillRate = 38000
	// failureCost is the cost of a runner that fails every request.
	failureCost = 40000
	// otherZoneCost is the cost of leaving the router's zone.
	otherZoneCost = 400
	// oldWeightsCost is the cost of weights that should have been replaced.
	oldWeightsCost = 1500
	// updatingCost is the cost of a runner whose weights are being replaced, or
	// are next.
	updatingCost = 60000
	// coldCost is the cost of a runner that has just started.
	coldCost = 2000
)

// Query is what a choice of a runner needs to know.
type Query struct {
	Service string
	// Model is empty for requests that use no language model.
	Model        string
	PromptTokens int
	// Family is the hash of the prompt's deepest shared part, 0 without one.
	Family uint64
	// SharedTokens is how many tokens come before the prompt's own part.
	SharedTokens int
	// Shared are the parts before the prompt's own one, and Owner names whose they are.
	Shared []SharedPart
	Owner  string
	// Excluded names runners that failed this request.
	Excluded []string
	// MaxQueue is the longest time that the request may be expected to queue at a
	// runner; 0 sets no bound.
	MaxQueue time.Duration
	// Zone is that of the router that sends the request, this one's if empty.
	Zone string
	// Target is the time within which an answer is on time, and EventGap the longest
	// pause between its events; 0 for none.
	Target   time.Duration
	EventGap time.Duration
	// Rank is the request's place among those that want the same runners.
	Rank admission.Rank
	// Tenant is empty for requests without one.
	Tenant string
	// MaxTokens is the most that the request generates, 0 when not told.
	MaxTokens int
	// Ticket names the request if it is refused and comes back, 0 when it has no name.
	Ticket uint64
	// Suspect names the content of a request that may end its runner, 0 for any other.
	Suspect uint64
	// Resting are the runners that want no requests from the router that sends it.
	Resting []Rest
}

// Rest is a runner that wants no requests from one router for the time left.
type Rest struct {
	Runner string
	Left   time.Duration
}

// restOf is for how long the runner wants none of the router's requests, 0 if it takes them.
func (q Query) restOf(runner string) time.Duration {
	for _, rest := range q.Resting {
		if rest.Runner == runner {
			return rest.Left
		}
	}
	return 0
}

// Candidates returns the service's runners with their costs, for placement.
// Runners whose weights are past their deadline are left out.
func (s *Set) Candidates(now time.Time, query Query) (placement.Request, []placement.Candidate) {
	request := placement.Request{Model: query.Model, PromptTokens: query.PromptTokens, MaxWait: query.MaxQueue, Excluded: slices.Clone(query.Excluded)}
	entries := s.byService[query.Service]
	speed := s.speed(query.Service)
	split := s.split(now, query, len(entries))
	home := s.home(now, entries, query, split)
	zone := cmp.Or(query.Zone, s.zone)
	s.cached.ExpireProvisional(now)
	kept := &keptByWeights{set: s, query: &query, known: map[uint64]keptParts{}}
	candidates := make([]placement.Candidate, 0, len(entries))
	var slots slotCount
	for _, e := range entries {
		cost, usable := s.weightsCost(now, e, query)
		if !usable {
			continue
		}
		if s.heldBack(now, e, query, &request.HeldBack) {
			continue
		}
		if now.Before(e.asideUntil) {
			request.Excluded = append(request.Excluded, e.ID)
		}
		depth, deepest := kept.of(e)
		other := s.otherLoad(now, e.ID)
		slots.add(e.inFlight+other.Requests, e.Slots)
		queue, slowness := s.waits(now, e, query.Model, e.inFlight+other.Requests)
		cached := cachedTokens(query, e.ID == home, depth)
		candidates = append(candidates, placement.Candidate{
			Name: e.ID, Leaving: e.leaves(), Report: s.report(now, e, query.Model, speed),
			CachedTokens:            cached,
			FetchableTokens:         max(deepest-cached, 0),
			PendingTokens:           e.pendingTokens + other.Tokens + speed.tokensIn(queue),
			PendingRequests:         e.inFlight + other.Requests,
			PenaltyTokens:           cost + s.evidenceCost(now, e, zone) + speed.tokensIn(slowness),
			StreamLoad:              e.pauses(other),
			SeparationPenaltyTokens: split.cost(e) + e.suspectCost(query, other),
			PickFirst:               e.said.Limits() && query.Suspect == 0 && s.permits.Unused(now, e.start()),
		})
	}
	if query.EventGap > 0 {
		s.demand(now, query.Service).noteSlots(slots)
	}
	return request, candidates
}

// home returns the runner that keeps the family's shared parts: the one of
// highest weight that takes work, the same one on all routers. While long reads are
// kept apart, it is one of the runners for requests of this kind.
func (s *Set) home(now time.Time, entries []*entry, query Query, split split) string {
	if query.Family == 0 {
		return ""
	}
	ids, others := make([]string, 0, len(entries)), []string(nil)
	for _, e := range entries {
		switch {
		case e.leaves() || now.Before(e.asideUntil) || e.said.Limits() || query.restOf(e.ID) > 0:
		case split.suits(e):
			ids = append(ids, e.ID)
		default:
			others = append(others, e.ID)
		}
	}
	if len(ids) == 0 {
		ids = others
	}
	return rendezvous.Owner(ids, query.Family)
}

// cachedTokens is how many tokens of the prompt count as kept by a runner that is
// known to keep the depth. The home counts as keeping all shared ones, so that all
// routers send a family there before any of them knows what it keeps.
func cachedTokens(query Query, home bool, depth int) int {
	if home {
		return max(query.SharedTokens, depth)
	}
	return depth
}

func (s *Set) report(now time.Time, e *entry, model string, speed *readSpeed) fleet.Report {
	state := fleet.Serving
	if e.leaves() {
		state = fleet.Draining
	}
	return fleet.Report{
		Runner: e.ID, State: state, Connected: true, Model: model,
		Load: fleet.Load{MaxRunning: e.Slots, PrefillRate: int(speed.rate())},
	}
}

// weightsCost tells whether the runner's weights may begin the request, and what
// speaks against them. What counts is the moment at which the request begins
// there: after what waits before it and its own prompt.
func (s *Set) weightsCost(now time.Time, e *entry, query Query) (cost int, usable bool) {
	model := query.Model
	if model == "" {
		return 0, true
	}
	version, held := e.version(model)
	if !held {
		return 0, false
	}
	if s.weights.State(now.Add(s.startsAfter(now, e, query.PromptTokens)), model, version) == Expired {
		return 0, false
	}
	switch s.weights.State(now, model, version) {
	case Expired:
		return 0, false
	case Old:
		cost = oldWeightsCost
	}
	if e.updating || s.takesWeightsNext(now, e, model) {
		cost += updatingCost
	}
	return cost, true
}

// Usable tells whether the runner, chosen by another router or earlier, may get the
// request by what this one knows now: its own word on leaving runners, weights and failures binds.
func (s *Set) Usable(now time.Time, id string, query Query, permit backpressure.Permit) bool {
	e := s.staying(id, query.Service)
	if e == nil || now.Before(e.asideUntil) || slices.Contains(query.Excluded, id) || !e.takes(now, permit) {
		return false
	}
	_, usable := s.weightsCost(now, e, query)
	return usable
}

// MayBegin tells whether a request that waits at the runner may still begin there with
// the weights that the runner has by now: those known at the send, or newer ones.
func (s *Set) MayBegin(now time.Time, id, model string, sentTo uint64) bool {
	return s.weights.MayBegin(now, model, max(sentTo, s.WeightVersion(id, model)))
}

// staying returns the service's runner, or nil if it leaves or has left.
func (s *Set) staying(id, service string) *entry {
	e := s.entries[id]
	if e == nil || e.Service != service || e.leaves() {
		return nil
	}
	return e
}

// Stays tells whether the service's runner is neither leaving nor gone.
func (s *Set) Stays(id, service string) bool { return s.staying(id, service) != nil }

// MaySend tells whether a request that the runner was chosen for, and that is counted
// there, may still be sent: the runner stays, takes it and has the weights that the request
// names, which have not expired. What the choice weighed beyond that is not weighed again.
func (s *Set) MaySend(now time.Time, id string, query Query, version uint64, permit backpressure.Permit) bool {
	e := s.staying(id, query.Service)
	if e == nil || !e.takes(now, permit) {
		return false
	}
	if query.Model == "" {
		return true
	}
	known, held := e.version(query.Model)
	if !held || known != version {
		return false
	}
	// Its own prompt is among what is still to be read. The time that it has taken to be
	// sent would look like a wait at the runner, so only answered requests tell that.
	begins := now.Add(e.measuredWait(now) + s.slowReading(e, e.pendingTokens))
	return s.weights.State(begins, query.Model, version) != Expired
}

func (s *Set) evidenceCost(now time.Time, e *entry, zone string) int {
	cost := int(e.currentFailureShare(now) * failureCost)
	if e.Zone != zone {
		cost += otherZoneCost
	}
	if e.Cold > 0 {
		cost += coldCost
	}
	return cost
}

// Backup returns the runner that a run's memory is best copied to: of the
// runner's service, with the same weights, free of bad signs, in another zone,
// as runners of one zone are lost together, and with the fewest requests of this
// router.
func (s *Set) Backup(now time.Time, id, model string) (Runner, bool) {
	primary := s.entries[id]
	if primary == nil {
		return Runner{}, false
	}
	version, _ := primary.version(model)
	var best *entry
	for _, e := range s.byService[primary.Service] {
		other, held := e.version(model)
		if e == primary || !held || other != version || e.leaves() || e.updating || now.Before(e.asideUntil) || !e.takes(now, backpressure.Permit{}) {
			continue
		}
		if best == nil || backupCost(primary, e) < backupCost(primary, best) {
			best = e
		}
	}
	if best == nil {
		return Runner{}, false
	}
	return best.Runner, true
}

// sameZoneBackup is what the runner's own zone counts for, in requests.
const sameZoneBackup = 1000

func backupCost(primary, e *entry) int {
	cost := e.inFlight
	if e.Zone == primary.Zone {
		cost += sameZoneBackup
	}
	return cost
}
