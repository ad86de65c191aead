package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/rendezvous"
)

// Choices among many runners. Looking at each of them would cost every choice time in proportion to
// the fleet, so a choice looks at the runners that hold parts of the prompt, at its home runner
// and at a random sample. Among that many random runners, the best one is nearly as little loaded as
// the best of all.
const (
	// maxScannedRunners is the number of runners of a service up to which each choice looks at all.
	maxScannedRunners = 256
	// sampleSize is the number of random runners that a choice looks at, and largeSampleSize the
	// number if none of those can take the request.
	sampleSize      = 96
	largeSampleSize = 1024
	// sampleRegionStep makes one of so many sampled runners one of all regions; the others are of the
	// region of the request.
	sampleRegionStep = 4
	// maxSampledHolders is the number of runners with cached parts that a choice looks at.
	maxSampledHolders = 32
	// scanInterval is the minimum time between two choices that look at all runners, because no
	// sampled one can take the request.
	scanInterval = 100 * time.Millisecond
	// homeProbes is the number of points at which the home runner is looked for. More points make
	// the shares of runners more equal (multi-probe consistent hashing).
	homeProbes = 21
	// probeStep separates the keys of the points.
	probeStep = 0x9e3779b97f4a7c15
)

// Scope is the part of a service's runners that a choice looks at.
type Scope uint8

// The scopes, the smallest first.
const (
	Sampled Scope = iota
	LargeSample
	AllRunners
)

// ring holds the runners of a service in the order of a hash of their ids.
type ring struct {
	members []ringMember
	// added are members that are not in order yet. A directory arrives as thousands of runners at
	// once, and they are put in order together.
	added []ringMember
}

type ringMember struct {
	position uint64
	entry    *entry
}

// ringSalt makes positions on the ring independent of other hashes of the id.
const ringSalt = 0x72696e67

func newRingMember(e *entry) ringMember {
	return ringMember{position: rendezvous.Weight(e.ID, ringSalt), entry: e}
}

func compareRing(a, b ringMember) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.entry.ID, b.entry.ID))
}

func (r *ring) add(e *entry) {
	r.added = append(r.added, newRingMember(e))
}

// sorted returns all members in order.
func (r *ring) sorted() []ringMember {
	if len(r.added) > 0 {
		r.members = append(r.members, r.added...)
		slices.SortFunc(r.members, compareRing)
		r.added = nil
	}
	return r.members
}

func (r *ring) remove(e *entry) {
	if index, found := slices.BinarySearchFunc(r.sorted(), newRingMember(e), compareRing); found {
		r.members = slices.Delete(r.members, index, index+1)
	}
}

// after returns the index of the first runner at or after the point.
func (r *ring) after(point uint64) int {
	index, _ := slices.BinarySearchFunc(r.sorted(), point, func(m ringMember, point uint64) int { return cmp.Compare(m.position, point) })
	return index % len(r.members)
}

// maxRingSteps bounds the search for an eligible runner from one point.
const maxRingSteps = 16

// nearest returns the eligible runner that is nearest after one of the key's points, or nil.
func (r *ring) nearest(key uint64, eligible func(*entry) bool) *entry {
	var best *entry
	var shortest uint64
	for probe := range uint64(homeProbes) {
		point := rendezvous.Weight("", key+probe*probeStep)
		start := r.after(point)
		for step := range min(maxRingSteps, len(r.members)) {
			member := r.members[(start+step)%len(r.members)]
			distance := member.position - point
			if best != nil && distance >= shortest {
				break
			}
			if eligible(member.entry) {
				best, shortest = member.entry, distance
				break
			}
		}
	}
	return best
}

// IsSampled reports whether choices for the query look at a sample of the runners.
func (s *Set) IsSampled(query Query) bool {
	return len(s.byService[query.Service]) > maxScannedRunners && !query.Testing
}

// NextScope returns the scope for another try after no runner of a sample could take the request: all
// runners, but a larger sample if another choice has looked at all of them just before.
func (s *Set) NextScope(now time.Time) Scope {
	if now.Sub(s.lastScan) < scanInterval {
		return LargeSample
	}
	s.lastScan = now
	return AllRunners
}

// scopedEntries returns the runners that a choice looks at, and the home runner, nil if there is none.
func (s *Set) scopedEntries(now time.Time, query Query, scope Scope, split split, depths *depthLookup) (entries []*entry, home *entry) {
	if !s.IsSampled(query) {
		entries = s.allowedEntries(query)
		global, regional := s.homeRunners(now, entries, query, split)
		return entries, s.chooseHome(now, query, regional, func() *entry { return global }, depths)
	}
	ring, regionRing := s.rings[query.Service], s.regionRing(query)
	if query.Family != 0 {
		var regional *entry
		if regionRing != nil && len(query.Shared) > 0 {
			regional = s.sampledHome(now, regionRing, query, split)
		}
		home = s.chooseHome(now, query, regional, func() *entry { return s.sampledHome(now, ring, query, split) }, depths)
	}
	if scope == AllRunners {
		return s.allowedEntries(query), home
	}
	size := sampleSize
	if scope == LargeSample {
		size = largeSampleSize
	}
	chosen := make(map[*entry]bool, size+maxSampledHolders+1)
	add := func(e *entry) {
		if e != nil && e.Service == query.Service && !chosen[e] && s.allowsVersion(e, query) {
			chosen[e] = true
			entries = append(entries, e)
		}
	}
	add(home)
	for _, holder := range s.deepestHolders(now, query, ring.sorted()[0].entry) {
		add(s.entries[holder])
	}
	for i := range size {
		s.sampleCount++
		from := ring
		if regionRing != nil && i%sampleRegionStep != 0 {
			from = regionRing
		}
		add(from.sorted()[rendezvous.Weight("", s.sampleCount)%uint64(len(from.members))].entry)
	}
	return entries, home
}

// sampledHome returns the home runner of the query's prompt family. All routers that know the same
// runners choose the same one, and the loss of a runner moves only its families.
func (s *Set) sampledHome(now time.Time, ring *ring, query Query, split split) *entry {
	accepts := func(e *entry) bool { return e.mayBeHome(now, query) && s.allowsVersion(e, query) }
	if preferred := ring.nearest(query.Family, func(e *entry) bool { return accepts(e) && split.prefers(e) }); preferred != nil {
		return preferred
	}
	return ring.nearest(query.Family, accepts)
}

// deepestHolders returns up to maxSampledHolders runners that hold the most of the prompt under the
// target weights, or under those of some runner if none have been named. Among equals, those of the
// sender's region come first.
func (s *Set) deepestHolders(now time.Time, query Query, some *entry) []string {
	if len(query.Shared) == 0 {
		return nil
	}
	version := s.weightTargets.Target(query.Model)
	if version == 0 {
		version, _ = some.weightVersion(query.Model)
	}
	depths := s.cachedDepths(&query, version)
	holders := make([]string, 0, len(depths))
	for holder := range depths {
		if s.entries[holder] != nil {
			holders = append(holders, holder)
		}
	}
	view := s.regions.view(now, cmp.Or(query.Zone, s.zone))
	slices.SortFunc(holders, func(a, b string) int {
		return cmp.Or(cmp.Compare(depths[b], depths[a]), cmp.Compare(view.roundTrip(s.entries[a]), view.roundTrip(s.entries[b])), cmp.Compare(a, b))
	})
	return holders[:min(len(holders), maxSampledHolders)]
}
