package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
)

// Set is the table of runners. It is not safe for concurrent use.
type Set struct {
	zone      string
	entries   map[string]*entry
	byService map[string][]*entry
	weights   *Weights
	// cached is which runners and stores keep which shared prompt parts.
	cached *cacheindex.Shard
	// cachedKnown is true once this was read, by this router or another one.
	cachedKnown bool
	next        map[updateGroup]nextUpdates
	// changed names the runners whose load by this router has changed.
	changed map[string]bool
	// holding is the mean time for which requests of each service hold a slot.
	holding map[string]time.Duration
	// others are the loads that other routers told of.
	others map[string]*otherLoads
	// told are the runners, by id, whose entries have named an incarnation; also of those
	// that are not used now.
	told map[string]bool
	// services are those of the configuration in force.
	services map[string]bool
	// demands are the measured work of long reads and of streams of each service.
	demands map[string]*demand
	// speeds are the learned reading speeds of each service's runners.
	speeds map[string]*readSpeed
	// signals is what runners said of themselves in answers, also of those that are not
	// listed now.
	signals *backpressure.Table
	// permits is this router's part of the limits that runners named.
	permits *backpressure.Permits
	// rolloutTime is within which all runners of a service take named weights.
	rolloutTime time.Duration
}

// NewSet returns an empty table of a router in the zone.
func NewSet(zone string) *Set {
	return &Set{
		zone: zone, entries: map[string]*entry{}, byService: map[string][]*entry{}, weights: NewWeights(),
		cached: cacheindex.NewShard(confirmTime), next: map[updateGroup]nextUpdates{}, changed: map[string]bool{},
		holding: map[string]time.Duration{}, others: map[string]*otherLoads{}, told: map[string]bool{},
		demands: map[string]*demand{}, speeds: map[string]*readSpeed{}, rolloutTime: defaultRolloutTime,
		signals: backpressure.NewTable(), permits: backpressure.NewPermits(),
	}
}

// Weights returns the named versions of weights.
func (s *Set) Weights() *Weights { return s.weights }

// SetServices takes the names of the services of the configuration in force. Runners of
// other services are neither ordered nor asked for what they keep.
func (s *Set) SetServices(names []string) {
	s.services = map[string]bool{}
	for _, name := range names {
		s.services[name] = true
	}
}

// inUse tells whether the runner's service is one of the configuration in force, or no
// configuration was taken yet.
func (s *Set) inUse(e *entry) bool { return s.services == nil || s.services[e.Service] }

// Put adds or changes a runner and tells whether it is new. A runner that has started
// again is new: nothing that is known of its last start holds any more.
func (s *Set) Put(runner Runner) (added bool) {
	if runner.Incarnation != 0 {
		s.told[runner.ID] = true
	}
	known := s.entries[runner.ID]
	if known != nil && known.Service == runner.Service && known.Incarnation == runner.Incarnation {
		known.update(runner)
		return false
	}
	if known != nil {
		s.Remove(runner.ID)
		// Those who count its load are told that none is left.
		s.changed[runner.ID] = true
	}
	created := &entry{Runner: runner, learned: map[string]uint64{}, said: s.signals.Of(runner.start())}
	s.entries[runner.ID] = created
	list := append(s.byService[runner.Service], created)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	s.byService[runner.Service] = list
	return true
}

// OfAnotherWriter tells whether the entry is not the runner's own: one that has named its
// incarnation always does.
func (s *Set) OfAnotherWriter(runner Runner) bool {
	return runner.Incarnation == 0 && s.told[runner.ID]
}

// Forget drops what is remembered of a runner without an entry.
func (s *Set) Forget(id string) { delete(s.told, id) }

// Remove takes a runner out that the directory no longer lists, and tells
// whether it was there.
func (s *Set) Remove(id string) bool {
	known := s.entries[id]
	if known == nil {
		return false
	}
	delete(s.entries, id)
	delete(s.changed, id)
	s.cached.RemoveRunner(id)
	s.cached.RemoveStale()
	for _, other := range s.others {
		delete(other.loads, id)
	}
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
	maps.DeleteFunc(s.told, func(id string, _ bool) bool { return !listed[id] })
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

// State is what a router thinks of a runner.
type State uint8

// The states, the first that holds counts.
const (
	// Draining runners get no requests.
	Draining State = iota
	// Updating runners take new weights by this router's order.
	Updating
	// SetAside runners failed or refused of late and are used last.
	SetAside
	// Limited runners get as many requests as they have named.
	Limited
	// Serving runners get requests.
	Serving
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"draining", "updating", "set aside", "limited", "serving"}[s]
}

// StateCount is the key of counted runners.
type StateCount struct {
	Service string
	State   State
}

// States counts the runners by service and state.
func (s *Set) States(now time.Time) map[StateCount]int {
	counts := map[StateCount]int{}
	for _, e := range s.entries {
		counts[StateCount{e.Service, e.state(now)}]++
	}
	return counts
}

// RunnerSummary is what a router thinks of one runner.
type RunnerSummary struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Weights are the versions of the models' weights that it is known to have.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// InFlight counts this router's open requests there.
	InFlight int `json:"inFlight"`
	// FailureShare is the decaying share of its answers that were failures.
	FailureShare float64 `json:"failureShare"`
	// Limit is the requests a second that the runner takes of all routers, absent without a
	// limit, and Share this router's part of it, which it grants.
	Limit *float64 `json:"limit,omitempty"`
	Share float64  `json:"share,omitempty"`
	// RestMillis is for how long the runner wants no requests from this router.
	RestMillis int64 `json:"restMillis,omitempty"`
}

// Summary describes all runners, by service and id.
func (s *Set) Summary(now time.Time) []RunnerSummary {
	summaries := make([]RunnerSummary, 0, len(s.entries))
	for _, e := range s.entries {
		summary := RunnerSummary{
			ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, State: e.state(now).String(),
			InFlight: e.inFlight, FailureShare: e.currentFailureShare(now),
		}
		if e.said.Resting(now) {
			summary.RestMillis = e.said.RestUntil.Sub(now).Milliseconds()
		}
		if e.said.Limits() {
			rate := e.said.Rate
			summary.Limit, summary.Share = &rate, s.permits.Share(now, rate)
		}
		for _, model := range e.Models {
			if summary.Weights == nil {
				summary.Weights = map[string]uint64{}
			}
			summary.Weights[model.Name], _ = e.version(model.Name)
		}
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b RunnerSummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return summaries
}

func (e *entry) state(now time.Time) State {
	switch {
	case e.leaves():
		return Draining
	case e.updating:
		return Updating
	case now.Before(e.asideUntil):
		return SetAside
	case e.said.Limits():
		return Limited
	}
	return Serving
}
