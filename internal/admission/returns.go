package admission

import (
	"math/rand/v2"
	"time"
)

// Shares and times of returns.
const (
	// returnedShare is the longest queue, in targets, of a request that comes back when
	// it was told: it is late beyond that whatever follows.
	returnedShare = lastShed
	// waitShare is the part of its time left for which a caller waits before it comes
	// back; one that is told more comes back then all the same.
	waitShare = 1.0 / 3
	// returnSpread is the part of its wait by which callers without a promised moment
	// come back sooner, so that they do not come together.
	returnSpread = 0.3
)

// returns tells refused callers of one service when to come back. Moments are promised
// by rank, as fast as the rank was admitted of late, to callers who wait so long.
type returns struct{ promises *Promises }

func newReturns() *returns { return &returns{promises: NewPromises()} }

// classOf numbers ranks.
func classOf(rank Rank) int { return rank.Tier<<16 | rank.Route }

func (r *returns) redeem(now time.Time, demand Demand) bool {
	return demand.Ticket != 0 && r.promises.Redeem(now, demand.Ticket)
}

func (r *returns) admitted(now time.Time, demand Demand) {
	r.promises.Admitted(now, classOf(demand.Rank))
}

// refuse returns when the refused caller is to come back: at a moment that is promised
// to it or, if all moments within its time are taken, near the end of the time.
func (r *returns) refuse(now time.Time, demand Demand, earliest time.Duration, random *rand.Rand) time.Duration {
	longest := time.Duration(waitShare * float64(demand.Left))
	if demand.Left <= 0 {
		longest = earliest
	}
	class := classOf(demand.Rank)
	switch {
	case r.promises.Next(now, class, earliest) > longest:
		return longest - time.Duration(returnSpread*random.Float64()*float64(longest))
	case demand.Ticket == 0:
		return r.promises.Reserve(now, class, earliest)
	}
	return r.promises.Refuse(now, demand.Ticket, class, earliest)
}
