package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the queue bound.
const (
	// noSheddingShare and fullSheddingShare are the queueing times, as shares of the latency
	// target, at which none and all requests of the first rank are refused. A request that queues
	// for less than half of its latency target is answered in time. One that queues for longer
	// than its target is late in any case.
	noSheddingShare   = 0.4
	fullSheddingShare = 1.2
	// tierFactor is the ratio of a tier's bound to that of the next higher tier, and routeFactor
	// is the same for routes. Tenants pay for tiers, so tiers differ more.
	tierFactor  = 0.7
	routeFactor = 0.85
)

// Rank is the priority of a request among those that compete for the same runners. Lower values
// come first.
type Rank struct {
	// Tier is the number of higher tenant tiers. Route is the number of higher route ranks of the
	// service.
	Tier, Route int
}

// queueFactor returns the ratio of the rank's bound to that of the first rank.
func (r Rank) queueFactor() float64 {
	return math.Pow(tierFactor, float64(r.Tier)) * math.Pow(routeFactor, float64(r.Route))
}

// DrawMaxQueue draws the longest expected queueing time at which a request is still sent to a
// runner; a request that would queue for longer is refused at once. The target is the route's
// latency target; 0 sets no bound.
//
// If the load exceeds the runners' capacity, queues grow until all responses are late, while
// refusing the surplus keeps the other responses in time. The bound is random so that the refused
// share grows smoothly with the queue. A fixed bound would alternate between admitting everything
// and nothing, and would starve the kind of request with the lowest bound.
func DrawMaxQueue(target time.Duration, rank Rank, random *rand.Rand) time.Duration {
	share := noSheddingShare + (fullSheddingShare-noSheddingShare)*random.Float64()
	share *= rank.queueFactor()
	return time.Duration(share * float64(target))
}
