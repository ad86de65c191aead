package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shares of a target time, and how they fall with rank.
const (
	// firstShed and lastShed are the queueing times, in shares of the target, at which
	// none and all requests of the first rank are refused. A request that queues for
	// less than half of its target is answered in time, one that queues for longer
	// than it is late whatever follows.
	firstShed = 0.4
	lastShed  = 1.2
	// tierShare is what a tenant's tier gets of the queueing time of the one before
	// it, and routeShare the same for routes: tiers are paid for, so they differ more.
	tierShare  = 0.7
	routeShare = 0.85
)

// Rank is the place of a request among those that want the same runners.
type Rank struct {
	// Tier counts the tiers of tenants before the request's, and Route the ranks of
	// routes of its service before its route's.
	Tier, Route int
}

// share is the part that requests of the rank get of the queueing time of the first one.
func (r Rank) share() float64 {
	return math.Pow(tierShare, float64(r.Tier)) * math.Pow(routeShare, float64(r.Route))
}

// LongestQueue draws the longest time that a request may be expected to queue at a
// runner and still be sent there; what would queue for longer is refused at once. The
// target is the time within which an answer is on time, 0 for none, which bounds
// nothing.
//
// Under more load than the runners can serve queues grow until all answers are late,
// while refusing the surplus keeps the others in time. The bound is drawn, so that the
// refused share grows steadily with the queue: a fixed bound lets in all or nothing in
// turn, and starves whoever has the lowest one.
func LongestQueue(target time.Duration, rank Rank, random *rand.Rand) time.Duration {
	share := firstShed + (lastShed-firstShed)*random.Float64()
	share *= rank.share()
	return time.Duration(share * float64(target))
}
