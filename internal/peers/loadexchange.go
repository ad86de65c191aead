package peers

import (
	"slices"
	"time"
)

// activityTimeout is how long after the last placement request a standby scheduler exchanges loads
// with other schedulers. Without requests it has placed nothing that others need to know.
const activityTimeout = 2 * time.Second

// LoadExchange decides with which schedulers one router exchanges the loads that it has placed, where
// regions are configured. Seeds always do, and standby schedulers while they are asked to place
// requests. A LoadExchange is not safe for concurrent use.
type LoadExchange struct {
	self, region string
	// lastAskedAt is when this router was last asked to place a request, zero if it never was.
	lastAskedAt time.Time
	// reporters holds the schedulers that named their regions in reports, by address.
	reporters map[string]reporter
}

// reporter is a scheduler that reported its loads.
type reporter struct {
	region     string
	reportedAt time.Time
}

// NewLoadExchange returns an exchange of the router with the peer address self in the region.
func NewLoadExchange(self, region string) *LoadExchange {
	return &LoadExchange{self: self, region: region, reporters: map[string]reporter{}}
}

// RecordAsked records that this router was asked to place a request. It reports whether the exchange
// becomes active by this.
func (e *LoadExchange) RecordAsked(now time.Time) (activated bool) {
	activated = !e.IsActive(now)
	e.lastAskedAt = now
	return activated
}

// IsActive reports whether this router was asked recently.
func (e *LoadExchange) IsActive(now time.Time) bool {
	return !e.lastAskedAt.IsZero() && now.Sub(e.lastAskedAt) < activityTimeout
}

// RecordReport records a report of another scheduler. Schedulers of a version that names no region
// are ignored.
func (e *LoadExchange) RecordReport(now time.Time, address, region string) {
	if address != "" && region != "" && address != e.self {
		e.reporters[address] = reporter{region, now}
	}
}

// Region returns the region that the scheduler named, "" if it has named none.
func (e *LoadExchange) Region(address string) string { return e.reporters[address].region }

// Targets returns the schedulers to report loads to, those of the own region and of other regions.
// seeds are the other seeds, and listed is the list of the own region's schedulers, empty if there is
// none. The targets are the seeds, the listed schedulers and the schedulers that reported recently, of
// which a standby scheduler takes only those of its own region. A seed that has named no region is in
// the own region if it is listed, or if there is no list.
func (e *LoadExchange) Targets(now time.Time, seeds, listed []string, isSeed bool) (near, far []string) {
	e.sweep(now, seeds)
	for _, seed := range seeds {
		region := e.Region(seed)
		isFar := region != "" && region != e.region
		if region == "" && len(listed) > 0 {
			isFar = !slices.Contains(listed, seed)
		}
		if isFar {
			far = append(far, seed)
		} else {
			near = append(near, seed)
		}
	}
	for _, address := range listed {
		if address != e.self && !slices.Contains(seeds, address) {
			near = append(near, address)
		}
	}
	for address, known := range e.reporters {
		switch {
		case slices.Contains(seeds, address) || slices.Contains(near, address):
		case known.region == e.region:
			near = append(near, address)
		case isSeed:
			far = append(far, address)
		}
	}
	return near, far
}

// sweep forgets the standby schedulers that no longer report. The regions of seeds stay known.
func (e *LoadExchange) sweep(now time.Time, seeds []string) {
	for address, known := range e.reporters {
		if now.Sub(known.reportedAt) >= activityTimeout && !slices.Contains(seeds, address) {
			delete(e.reporters, address)
		}
	}
}
