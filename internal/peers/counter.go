package peers

import "time"

// reportLifetime is how long a seed's report of its followers is valid. It is eight report
// intervals, so that a few reports may be lost.
const reportLifetime = 2 * time.Second

// RouterCounter counts the routers of a system. Each seed, a router named in the settings,
// reports how many routers it accounts for: itself and its followers, which are the routers that
// pull from it. A RouterCounter is not safe for concurrent use.
type RouterCounter struct {
	// reports holds the latest report of each other seed by address.
	reports map[string]followerReport
}

// followerReport is how many routers a seed accounts for, itself included.
type followerReport struct {
	routers    int
	receivedAt time.Time
}

// NewRouterCounter returns a counter without reports.
func NewRouterCounter() *RouterCounter {
	return &RouterCounter{reports: map[string]followerReport{}}
}

// Report stores how many routers another seed accounts for. Zero is ignored, because seeds of
// earlier versions do not report a number.
func (c *RouterCounter) Report(now time.Time, seed string, routers int) {
	if routers > 0 {
		c.reports[seed] = followerReport{routers, now}
	}
}

// Total returns the estimated number of routers of the system: this seed's own count plus the
// reports of the other seeds. A seed without a valid report is assumed to account for as many
// routers as this one. Otherwise the routers on each side of a network partition would divide a
// whole budget among themselves.
func (c *RouterCounter) Total(now time.Time, seedCount, ownRouters int) int {
	total, reporting := ownRouters, 1
	for seed, report := range c.reports {
		if now.Sub(report.receivedAt) > reportLifetime {
			delete(c.reports, seed)
			continue
		}
		total += report.routers
		reporting++
	}
	return total + max(seedCount-reporting, 0)*ownRouters
}
