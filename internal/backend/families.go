package backend

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the decision whether a prompt family has a home in a region.
const (
	// familyHalfLife is the half-life of the count of a family's requests. It covers several
	// requests of families that come every half minute from a region.
	familyHalfLife = time.Minute
	// maxFamilies bounds the families whose requests are counted: those seen last.
	maxFamilies = 16384
	// initialRetention is the assumed time for which an unused part stays cached until it is
	// learned, and minRetention and maxRetention bound what is learned.
	initialRetention = 20 * time.Second
	minRetention     = unconfirmedTTL
	maxRetention     = 10 * time.Minute
	// retentionStep is by which share the retention time changes with one observation: a few
	// hundred requests follow a change of the load.
	retentionStep = 0.02
	// homeHysteresis is by which factor the cost of a home in the region must exceed its use before
	// it is given up: a home that moves prefills the parts again.
	homeHysteresis = 1.33
	// displacedPrice is the price of parts of other families that a home pushes out of the caches,
	// relative to prefilling them again. A price of 0 gives homes until they gain nothing, 1 sends
	// more than 15% of the prompts of the measured load to other regions (docs/design/regions.md).
	displacedPrice = 0.4
)

// meanCountWindow is the time over which a decaying count sums up a constant rate: the half-life
// divided by ln 2.
const meanCountWindow = familyHalfLife * 1443 / 1000

// familyKey identifies a prompt family as seen from a region.
type familyKey struct {
	region string
	family uint64
}

// familyUse is what is known about the requests of a family from one region.
type familyUse struct {
	// count is the exponentially decaying number of requests at lastAt.
	count float64
	// since is when the family was first counted.
	since, lastAt time.Time
	// runner got the last request, with the weights of weightVersion.
	runner        string
	weightVersion uint64
	// isRegional is set while the family has a home in the region.
	isRegional bool
}

// rate returns the requests per second. A family seen for a short time counts as seen for half a
// half-life, so that two requests do not make it a frequent one.
func (u *familyUse) rate(now time.Time) float64 {
	if u == nil {
		return 0
	}
	window := min(max(now.Sub(u.since), familyHalfLife/2), meanCountWindow)
	return decayed(u.count, now.Sub(u.lastAt), familyHalfLife) / window.Seconds()
}

// families counts the requests of the families seen last. It has two generations: when the current
// one is half of all, it replaces the previous one.
type families struct {
	current, previous map[familyKey]*familyUse
	// retention is the learned time for which unused parts stay cached at the runners of a service
	// in a region.
	retention map[ringKey]time.Duration
}

func newFamilies() families {
	return families{current: map[familyKey]*familyUse{}, retention: map[ringKey]time.Duration{}}
}

// get returns what is known about the family, nil if it has not been seen lately.
func (f *families) get(key familyKey) *familyUse {
	if known := f.current[key]; known != nil {
		return known
	}
	return f.previous[key]
}

// record counts a request of the family that is sent to the runner.
func (f *families) record(now time.Time, key familyKey, runner string, weightVersion uint64) {
	known := f.get(key)
	if known == nil {
		known = &familyUse{since: now, lastAt: now}
	}
	if f.current[key] == nil {
		if len(f.current) >= maxFamilies/2 {
			f.previous, f.current = f.current, map[familyKey]*familyUse{}
		}
		f.current[key] = known
	}
	known.count = decayed(known.count, now.Sub(known.lastAt), familyHalfLife) + 1
	known.lastAt, known.runner, known.weightVersion = now, runner, weightVersion
}

// learnRetention updates the retention time of the runners from a request that comes some time after
// the previous one of its family and finds, or does not find, the parts still cached.
func (f *families) learnRetention(runners ringKey, gap time.Duration, kept bool) {
	retention := f.retentionOf(runners)
	switch {
	case kept && gap > retention:
		retention = time.Duration(float64(retention) * (1 + retentionStep))
	case !kept && gap < retention:
		retention = time.Duration(float64(retention) * (1 - retentionStep))
	}
	f.retention[runners] = min(max(retention, minRetention), maxRetention)
}

func (f *families) retentionOf(runners ringKey) time.Duration {
	if known := f.retention[runners]; known > 0 {
		return known
	}
	return initialRetention
}

// familyKey returns the key of the query's family.
func (s *Set) familyKey(query Query) familyKey {
	return familyKey{region: s.regions.table.Region(cmp.Or(query.Zone, s.zone)), family: query.Family}
}

// recordFamily counts a request that is sent to the runner.
func (s *Set) recordFamily(now time.Time, e *entry, query Query) {
	if s.regions != nil && query.Family != 0 {
		version, _ := e.weightVersion(query.Model)
		s.regions.families.record(now, s.familyKey(query), e.ID, version)
	}
}

// learnRetention learns from whether the runner of the family's previous request still has its parts
// cached. Gaps in which the index may still expect unconfirmed parts say nothing.
func (s *Set) learnRetention(now time.Time, query Query, use *familyUse, depths *depthLookup) {
	gap := now.Sub(use.lastAt)
	last := s.entries[use.runner]
	if gap < unconfirmedTTL || last == nil {
		return
	}
	if version, _ := last.weightVersion(query.Model); version == use.weightVersion {
		depth, _ := depths.cachedDepth(last)
		s.regions.families.learnRetention(s.regions.ringKey(query.Service, last.Zone), gap, depth >= query.SharedTokens)
	}
}

// chooseHome returns the home of the query's family, given its home in the region and a function for
// its home among all runners. Any of the three may be nil. Without a home, the request goes to a runner
// that has the parts cached, as far as that is sooner than prefilling them.
func (s *Set) chooseHome(now time.Time, query Query, regional *entry, globalHome func() *entry, depths *depthLookup) *entry {
	if regional == nil || s.regions == nil || len(query.Shared) == 0 {
		return globalHome()
	}
	if !s.cacheIndexLoaded {
		return globalHome()
	}
	use := s.regions.families.get(s.familyKey(query))
	if use != nil {
		s.learnRetention(now, query, use, depths)
	}
	// The cost of a runner in another region, as in scores.
	crossing := s.regions.view(now, cmp.Or(query.Zone, s.zone)).nearestFar() + s.servicePrefill(query.Service).prefillTime(crossZoneCost)
	near := s.expectedPrefill(now, query, use, regional, depths)
	depth, deepest := depths.cachedDepth(regional)
	switch {
	case depth >= query.SharedTokens:
		return regional
	case deepest < query.SharedTokens:
		// The parts have to be prefilled now, in the region or at the home among all runners.
		if global := globalHome(); global != nil && near > crossing+s.expectedPrefill(now, query, use, global, depths) {
			return global
		}
		return regional
	case use != nil && use.isWorthHome(near, crossing):
		return regional
	}
	return nil
}

// isWorthHome reports whether a family that another region has cached should also have a home in this
// region: while the crossing costs more than what the home is expected to prefill again.
func (u *familyUse) isWorthHome(expectedPrefill, crossing time.Duration) bool {
	if u.isRegional {
		crossing = time.Duration(homeHysteresis * float64(crossing))
	}
	u.isRegional = expectedPrefill < crossing
	return u.isRegional
}

// expectedPrefill returns the mean time for which prompts are prefilled again with each request of the
// family, if the region's requests go to the runner: the family's own parts if they have been evicted
// since the previous request, and the parts of other families that they displace. In a full cache,
// tokens that stay for a retention time displace as many others, each of which would have been used
// about once in that time.
func (s *Set) expectedPrefill(now time.Time, query Query, use *familyUse, e *entry, depths *depthLookup) time.Duration {
	perRetention := use.rate(now) * s.regions.families.retentionOf(s.regions.ringKey(query.Service, e.Zone)).Seconds()
	missShare, displaced := math.Exp(-perRetention), 1.0
	if perRetention > 0 {
		displaced = (1 - missShare) / perRetention
	}
	again := (missShare + displacedPrice*displaced) * float64(query.ownSharedTokens(e, depths))
	return s.servicePrefill(query.Service).prefillTime(int(again))
}

// ownSharedTokens returns the number of shared tokens that a home of the family at the runner adds to
// its cache: all but those before the last shared part that the runner has cached.
func (q *Query) ownSharedTokens(e *entry, depths *depthLookup) int {
	if len(q.Shared) < 2 {
		return q.SharedTokens
	}
	depth, _ := depths.cachedDepth(e)
	return q.SharedTokens - min(depth, q.Shared[len(q.Shared)-2].Depth)
}
