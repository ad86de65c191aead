package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Costs in prompt tokens, the unit of placement's scores.
const (
	// PrefillRate is the assumed speed of reading prompts, in tokens a second.
	PrefillRate = 38000
	// failureCost is the cost of a runner that fails every request.
	failureCost = 40000
	// otherZoneCost is the cost of leaving the router's zone.
	otherZoneCost = 400
	// oldWeightsCost is the cost of weights that should have been replaced.
	oldWeightsCost = 1500
	// updatingCost is the cost of a runner whose weights are being replaced.
	updatingCost = 60000
	// coldCost is the cost of a runner that has just started.
	coldCost = 2000
)

// Set is the table of runners. It is not safe for concurrent use.
type Set struct {
	zone      string
	entries   map[string]*entry
	byService map[string][]*entry
	weights   *Weights
}

// NewSet returns an empty table of a router in the zone.
func NewSet(zone string) *Set {
	return &Set{zone: zone, entries: map[string]*entry{}, byService: map[string][]*entry{}, weights: NewWeights()}
}

// Weights returns the named versions of weights.
func (s *Set) Weights() *Weights { return s.weights }

// Put adds or changes a runner and tells whether it is new.
func (s *Set) Put(runner Runner) (added bool) {
	known := s.entries[runner.ID]
	if known != nil && known.Service == runner.Service {
		known.Runner = runner
		return false
	}
	if known != nil {
		s.Remove(runner.ID)
	}
	created := &entry{Runner: runner, learned: map[string]uint64{}}
	s.entries[runner.ID] = created
	list := append(s.byService[runner.Service], created)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	s.byService[runner.Service] = list
	return true
}

// Remove takes a runner out that the directory no longer lists, and tells
// whether it was there.
func (s *Set) Remove(id string) bool {
	known := s.entries[id]
	if known == nil {
		return false
	}
	delete(s.entries, id)
	s.byService[known.Service] = slices.DeleteFunc(slices.Clone(s.byService[known.Service]), func(e *entry) bool { return e == known })
	return true
}

// Retain removes every runner that is not listed and returns their ids.
func (s *Set) Retain(listed map[string]bool) []string {
	var removed []string
	for id := range s.entries {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		s.Remove(id)
	}
	return removed
}

// Get returns a runner by id.
func (s *Set) Get(id string) (Runner, bool) {
	known := s.entries[id]
	if known == nil {
		return Runner{}, false
	}
	return known.Runner, true
}

// Len returns the number of runners.
func (s *Set) Len() int { return len(s.entries) }

// Query is what a choice of a runner needs to know.
type Query struct {
	Service string
	// Model is empty for requests that use no language model.
	Model        string
	PromptTokens int
	// Family is the hash of the prompt's deepest shared part, 0 without one.
	Family uint64
	// SharedTokens is how many tokens come before the prompt's own part, and
	// TrunkTokens how many of them many families share.
	SharedTokens int
	TrunkTokens  int
	// Excluded names runners that failed this request.
	Excluded []string
}

// Candidates returns the service's runners with their costs, for placement.
// Runners whose weights are past their deadline are left out.
func (s *Set) Candidates(now time.Time, query Query) (placement.Request, []placement.Candidate) {
	request := placement.Request{Model: query.Model, PromptTokens: query.PromptTokens, Excluded: slices.Clone(query.Excluded)}
	entries := s.byService[query.Service]
	home := s.home(now, entries, query)
	var candidates []placement.Candidate
	for _, e := range entries {
		cost, usable := s.weightsCost(now, e, query)
		if !usable {
			continue
		}
		if now.Before(e.asideUntil) {
			request.Excluded = append(request.Excluded, e.ID)
		}
		candidates = append(candidates, placement.Candidate{
			Name: e.ID, Leaving: e.Draining, Report: s.report(now, e, query.Model),
			CachedTokens:    cachedTokens(query, e.ID == home),
			PendingTokens:   e.pendingTokens + int(e.currentWait(now).Seconds()*PrefillRate),
			PendingRequests: e.inFlight,
			ExtraTokens:     cost + s.evidenceCost(now, e),
		})
	}
	return request, candidates
}

// home returns the runner that keeps the family's shared parts: the one of
// highest weight that takes work, the same one on all routers.
func (s *Set) home(now time.Time, entries []*entry, query Query) string {
	if query.Family == 0 {
		return ""
	}
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.Draining && !now.Before(e.asideUntil) {
			ids = append(ids, e.ID)
		}
	}
	return rendezvous.Owner(ids, query.Family)
}

func cachedTokens(query Query, home bool) int {
	if home {
		return query.SharedTokens
	}
	return query.TrunkTokens
}

func (s *Set) report(now time.Time, e *entry, model string) fleet.Report {
	state := fleet.Serving
	if e.Draining {
		state = fleet.Draining
	}
	return fleet.Report{
		Runner: e.ID, State: state, Connected: true, Model: model,
		Load: fleet.Load{MaxRunning: e.Slots, PrefillRate: PrefillRate},
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
	if s.weights.State(now.Add(e.startsAfter(now, query.PromptTokens)), model, version) == Expired {
		return 0, false
	}
	switch s.weights.State(now, model, version) {
	case Expired:
		return 0, false
	case Old:
		cost = oldWeightsCost
	}
	if e.updating {
		cost += updatingCost
	}
	return cost, true
}

func (s *Set) evidenceCost(now time.Time, e *entry) int {
	cost := int(e.currentFailureShare(now) * failureCost)
	if e.Zone != s.zone {
		cost += otherZoneCost
	}
	if e.Cold > 0 {
		cost += coldCost
	}
	return cost
}

// WeightVersion returns the version of the model's weights that the runner is
// known to have, 0 when it does not hold the model.
func (s *Set) WeightVersion(id, model string) uint64 {
	e := s.entries[id]
	if e == nil {
		return 0
	}
	version, _ := e.version(model)
	return version
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
		if e == primary || !held || other != version || e.Draining || e.updating || now.Before(e.asideUntil) {
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

// Begin notes a request sent to the runner with the prompt tokens it has to read.
func (s *Set) Begin(id string, tokens int) {
	if e := s.entries[id]; e != nil {
		e.inFlight++
		e.pendingTokens += tokens
	}
}

// FirstAnswer notes that the runner has begun to answer, after the given time
// of which the reading of the tokens explains a part.
func (s *Set) FirstAnswer(now time.Time, id string, tokens int, after time.Duration) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.pendingTokens = max(e.pendingTokens-tokens, 0)
	reading := time.Duration(float64(tokens) / PrefillRate * float64(time.Second))
	queueing := max(after-reading, 0)
	e.wait = (e.currentWait(now) + queueing) / 2
	e.waitAt = now
}

// Outcome is what became of one send to a runner.
type Outcome uint8

// The outcomes of a send.
const (
	// Answered means a whole answer that was no failure.
	Answered Outcome = iota
	// Failed means the runner's own failure, or a broken or spoilt answer.
	Failed
	// Refused means the runner's word that it did not run the request.
	Refused
	// Unreachable means that no connection was made, or it broke without an answer.
	Unreachable
	// Abandoned means that the caller left or the time was up.
	Abandoned
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unreachable", "abandoned"}[o]
}

// End notes the outcome of a send; tokens is what is still pending of Begin's.
func (s *Set) End(now time.Time, id string, tokens int, outcome Outcome) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.pendingTokens = max(e.pendingTokens-tokens, 0)
	switch outcome {
	case Answered:
		e.failures = 0
		e.noteAnswer(now, false)
	case Failed:
		e.noteAnswer(now, true)
	case Refused:
		e.asideUntil = now.Add(fullAside)
	case Unreachable:
		e.noteAnswer(now, true)
		e.failures++
		e.asideUntil = now.Add(min(minAside<<min(e.failures-1, 8), maxAside))
	}
}

// LearnVersion notes the version of weights that an answer of the runner named
// and tells whether it is newer than what was known.
func (s *Set) LearnVersion(id, model string, version uint64) (news bool) {
	e := s.entries[id]
	if e == nil || model == "" {
		return false
	}
	known, _ := e.version(model)
	if version <= known {
		return false
	}
	e.learned[model] = version
	return true
}

// SetUpdating notes that the runner's weights are being replaced, or no longer.
func (s *Set) SetUpdating(id string, updating bool) {
	if e := s.entries[id]; e != nil {
		e.updating = updating
	}
}

// GroupRunner is a runner with the version of one model's weights.
type GroupRunner struct {
	Runner
	Version uint64
}

// ModelGroup is the runners of one service that hold one model.
type ModelGroup struct {
	Service string
	Model   string
	// Target is the newest named version.
	Target  uint64
	Runners []GroupRunner
}

// Outdated tells whether a runner that stays has older weights than named.
func (s *Set) Outdated() bool {
	for _, e := range s.entries {
		if e.Draining {
			continue
		}
		for _, held := range e.Models {
			if max(held.Version, e.learned[held.Name]) < s.weights.Target(held.Name) {
				return true
			}
		}
	}
	return false
}

// ModelGroups returns the groups in which a version was named, in order.
func (s *Set) ModelGroups() []ModelGroup {
	groups := map[[2]string]*ModelGroup{}
	for _, entries := range s.byService {
		for _, e := range entries {
			for _, held := range e.Models {
				target := s.weights.Target(held.Name)
				if target == 0 {
					continue
				}
				key := [2]string{e.Service, held.Name}
				if groups[key] == nil {
					groups[key] = &ModelGroup{Service: e.Service, Model: held.Name, Target: target}
				}
				version, _ := e.version(held.Name)
				groups[key].Runners = append(groups[key].Runners, GroupRunner{e.Runner, version})
			}
		}
	}
	var ordered []ModelGroup
	for _, group := range groups {
		ordered = append(ordered, *group)
	}
	slices.SortFunc(ordered, func(a, b ModelGroup) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return ordered
}
