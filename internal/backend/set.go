package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/cacheindex"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// Set is the table of runners known to this router. It is not safe for concurrent use.
type Set struct {
	zone          string
	entries       map[string]*entry
	byService     map[string][]*entry
	weightTargets *WeightTargets
	// newestWeights is the newest version of each model's weights that a runner has reported in a response.
	newestWeights map[string]uint64
	// storeParts holds the number of namings that were known when each cache store was first known to hold a part.
	storeParts map[storePart]uint64
	// cacheIndex maps shared prompt parts to the runners and cache stores that hold them.
	cacheIndex *cacheindex.Shard
	// cacheIndexLoaded is true once the index has been received, from the runners or from
	// another router.
	cacheIndexLoaded bool
	upcomingUpdates  map[modelGroupKey]nextUpdates
	// refutedFailures counts the failures to reach a runner that were no evidence about it.
	refutedFailures int
	// changedLoads contains the runners for which this router's load has changed since
	// ChangedLoads.
	changedLoads map[string]bool
	// holdTimes is the mean time for which a request holds a slot, by service.
	holdTimes map[string]time.Duration
	// peers are the loads reported by other routers, by router.
	peers map[string]*peerLoads
	// knownIncarnations contains the ids of runners whose entries have contained an
	// incarnation, including runners that are not in use now.
	knownIncarnations map[string]bool
	// configuredServices are the services of the current configuration, nil before one is
	// set.
	configuredServices map[string]bool
	// demands is the measured work of long prefills and streams, by service.
	demands map[string]*demand
	// prefillModels are the learned prefill speeds, by service.
	prefillModels map[string]*prefillModel
	// signals is what runners reported about themselves in responses, including runners
	// that are not listed now.
	signals *backpressure.Table
	// permits is this router's part of the rate limits that runners set.
	permits *backpressure.Permits
	// rolloutTime is the time within which all runners of a service should have a new
	// target version.
	rolloutTime time.Duration
	// versionRules restrict the software versions that get requests, by service, and exposedShare
	// is the largest share of a service's requests that names a version.
	versionRules map[string]VersionRule
	exposedShare float64
	// rings hold the runners of each service in the order of a hash. sampleCount numbers the random
	// picks from them, and lastScan is when a choice last looked at all runners of a large service.
	rings       map[string]*ring
	sampleCount uint64
	lastScan    time.Time
	// regions is nil where the settings name fewer than two regions.
	regions *regions
	// cacheStores are the addresses of the configured cache stores.
	cacheStores map[string]bool
	// cacheStoreZones holds the number of the zone of each cache store whose zone is configured, by
	// address. It is empty without regions.
	cacheStoreZones map[string]int
	// listChanges counts the changes of the listed runners and of the configured services.
	listChanges uint64
	// listedVersions counts the listed runners by service and software version, and versionChanges the changes
	// of which versions there are.
	listedVersions map[string]map[string]int
	versionChanges uint64
	// outdated is the last count of outdated runners, and outdatedScans the number of scans.
	outdated      outdatedCount
	outdatedScans int
	// brittleServices are the services with brittle runners, and roomsCountedSince is when the room of one
	// was first counted.
	brittleServices   brittleServices
	roomsCountedSince time.Time
}

// NewSet returns an empty table for a router in the zone.
func NewSet(zone string) *Set {
	return &Set{
		zone: zone, entries: map[string]*entry{}, listedVersions: map[string]map[string]int{}, byService: map[string][]*entry{}, weightTargets: NewWeightTargets(), newestWeights: map[string]uint64{}, storeParts: map[storePart]uint64{},
		cacheIndex: cacheindex.NewShard(unconfirmedTTL), upcomingUpdates: map[modelGroupKey]nextUpdates{}, changedLoads: map[string]bool{},
		holdTimes: map[string]time.Duration{}, peers: map[string]*peerLoads{}, knownIncarnations: map[string]bool{},
		demands: map[string]*demand{}, prefillModels: map[string]*prefillModel{}, rolloutTime: defaultRolloutTime,
		signals: backpressure.NewTable(), permits: backpressure.NewPermits(), rings: map[string]*ring{},
		brittleServices: brittleServices{checkedAt: map[string]time.Time{}, brittle: map[string]bool{}},
	}
}

// HasService reports whether a runner of the service is listed that isn't leaving.
func (s *Set) HasService(service string) bool {
	return slices.ContainsFunc(s.byService[service], func(e *entry) bool { return !e.isLeaving() })
}

// WeightTargets returns the target versions of the models' weights.
func (s *Set) WeightTargets() *WeightTargets { return s.weightTargets }

// SetServices sets the names of the services in the current configuration. Runners of other
// services get no update orders, and their cache contents are not read.
func (s *Set) SetServices(names []string) {
	s.configuredServices = map[string]bool{}
	for _, name := range names {
		s.configuredServices[name] = true
	}
	s.recordListChange()
}

// SetCacheStores sets the cache stores of the current configuration.
func (s *Set) SetCacheStores(stores []routing.CacheStore) {
	s.cacheStoreZones, s.cacheStores = map[string]int{}, map[string]bool{}
	for _, store := range stores {
		s.cacheStores[store.Address] = true
		if s.regions != nil && store.Zone != "" {
			s.cacheStoreZones[store.Address] = s.regions.zoneNumber(store.Zone)
		}
	}
}

// recordListChange records that the listed runners or the configured services have changed.
func (s *Set) recordListChange() {
	s.listChanges++
	s.outdated.valid = false
}

// ListChanges returns the number of changes of the listed runners and of the configured services.
func (s *Set) ListChanges() uint64 { return s.listChanges }

// isConfigured reports whether the runner's service is in the current configuration, or no
// configuration has been set yet.
func (s *Set) isConfigured(e *entry) bool {
	return s.configuredServices == nil || s.configuredServices[e.Service]
}

// Put adds or updates a runner and reports whether it is new. A runner that has restarted
// is new: nothing known about its previous incarnation applies.
func (s *Set) Put(runner Runner) (added bool) {
	s.recordListChange()
	if runner.Incarnation != 0 {
		s.knownIncarnations[runner.ID] = true
	}
	known := s.entries[runner.ID]
	if known != nil && known.Service == runner.Service && known.Incarnation == runner.Incarnation {
		moved := known.Zone != runner.Zone
		if moved {
			s.regions.remove(known)
		}
		if known.SoftwareVersion != runner.SoftwareVersion {
			s.countListedVersion(known.Runner, -1)
			s.countListedVersion(runner, 1)
		}
		known.update(runner)
		if moved {
			known.zoneNumber = s.regions.zoneNumber(runner.Zone)
			s.regions.add(known)
		}
		return false
	}
	if known != nil {
		s.Remove(runner.ID)
		// Routers that count its load are told that none is left.
		s.changedLoads[runner.ID] = true
	}
	created := &entry{Runner: runner, learnedVersions: map[string]uint64{}, signalState: s.signals.Get(runner.signalKey()), zoneNumber: s.regions.zoneNumber(runner.Zone)}
	s.entries[runner.ID] = created
	s.countListedVersion(runner, 1)
	list := s.byService[runner.Service]
	position, _ := slices.BinarySearchFunc(list, created.ID, func(e *entry, id string) int { return cmp.Compare(e.ID, id) })
	s.byService[runner.Service] = slices.Insert(list, position, created)
	if s.rings[runner.Service] == nil {
		s.rings[runner.Service] = &ring{}
	}
	s.rings[runner.Service].add(created)
	s.regions.add(created)
	return true
}

// WrittenByOther reports whether the directory entry was not written by the runner itself:
// a runner that once writes its incarnation into its entry always does.
func (s *Set) WrittenByOther(runner Runner) bool {
	return runner.Incarnation == 0 && s.knownIncarnations[runner.ID]
}

// ForgetIncarnation drops the record that the runner reports its incarnation, once it has
// no directory entry.
func (s *Set) ForgetIncarnation(id string) { delete(s.knownIncarnations, id) }

// Remove removes a runner that the directory no longer lists, and reports whether it was
// present.
func (s *Set) Remove(id string) bool {
	known := s.entries[id]
	if known == nil {
		return false
	}
	s.recordListChange()
	delete(s.entries, id)
	s.countListedVersion(known.Runner, -1)
	delete(s.changedLoads, id)
	s.cacheIndex.RemoveRunner(id)
	s.cacheIndex.RemoveStale()
	for _, other := range s.peers {
		delete(other.byRunner, id)
	}
	s.rings[known.Service].remove(known)
	s.regions.remove(known)
	s.byService[known.Service] = slices.DeleteFunc(slices.Clone(s.byService[known.Service]), func(e *entry) bool { return e == known })
	return true
}

// Retain removes every runner that is not listed and returns the removed ids.
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
	maps.DeleteFunc(s.knownIncarnations, func(id string, _ bool) bool { return !listed[id] })
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

// State is the state of a runner as seen by this router.
type State uint8

// If several states apply, the first one counts.
const (
	// Draining runners get no new requests.
	Draining State = iota
	// Updating runners load new weights on this router's order.
	Updating
	// Avoided runners recently failed, refused a request or requested a backoff, and are used
	// last. Their state is reported as "set aside".
	Avoided
	// Limited runners get no more requests than the rate limit that they set.
	Limited
	// Serving runners get requests without restriction.
	Serving
)

// String returns the state's name as it appears in the status.
func (s State) String() string {
	return [...]string{"draining", "updating", "set aside", "limited", "serving"}[s]
}

// StateCount is the key under which runners are counted.
type StateCount struct {
	Service string
	State   State
}

// CountStates counts the runners by service and state.
func (s *Set) CountStates(now time.Time) map[StateCount]int {
	counts := map[StateCount]int{}
	for _, e := range s.entries {
		counts[StateCount{e.Service, e.state(now)}]++
	}
	return counts
}

// RunnerSummary describes one runner in the router's status.
type RunnerSummary struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	// Weights are the known weight versions, by model.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// InFlight counts this router's open requests at the runner.
	InFlight int `json:"inFlight"`
	// FailureShare is the exponentially decaying share of responses that were failures.
	FailureShare float64 `json:"failureShare"`
	// Limit is the number of requests per second that the runner accepts from all routers
	// together, absent without a limit. Share is the part of it that this router grants.
	Limit *float64 `json:"limit,omitempty"`
	Share float64  `json:"share,omitempty"`
	// Brittle is set if the runner says that it falls over when it rejects too many requests.
	Brittle bool `json:"brittle,omitempty"`
	// RestMillis is for how long the runner asked this router to send no requests.
	RestMillis int64 `json:"restMillis,omitempty"`
}

// Summaries describes all runners, sorted by service and id.
func (s *Set) Summaries(now time.Time) []RunnerSummary {
	summaries := make([]RunnerSummary, 0, len(s.entries))
	for _, e := range s.entries {
		summary := RunnerSummary{
			ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, State: e.state(now).String(),
			InFlight: e.inFlight, FailureShare: e.decayedFailureShare(now),
		}
		summary.Brittle = e.signalState.IsBrittle()
		if e.signalState.InBackoff(now) {
			summary.RestMillis = e.signalState.BackoffUntil.Sub(now).Milliseconds()
		}
		if e.signalState.IsLimited() {
			rate := e.signalState.Rate
			summary.Limit, summary.Share = &rate, s.permits.Share(now, rate)
		}
		for _, model := range e.Models {
			if summary.Weights == nil {
				summary.Weights = map[string]uint64{}
			}
			summary.Weights[model.Name], _ = e.weightVersion(model.Name)
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
	case e.isLeaving():
		return Draining
	case e.updating:
		return Updating
	case now.Before(e.avoidUntil):
		return Avoided
	case e.signalState.IsLimited():
		return Limited
	}
	return Serving
}
