package admission

import (
	"math/rand/v2"
	"time"
)

// Shares and times of returns.
const (
	// waitShare is the part of its time left for which a caller waits before it comes
	// back; one that is told more comes back then all the same.
	waitShare = 1.0 / 3
	// promiseWithin is the part of its target by which a caller must be back for a promise:
	// the rest is for its answer. Who comes later is late whatever follows, and would take
	// the room of somebody who is not.
	promiseWithin = 0.6
	// longestReturn bounds what callers are told that have much time left: a shortage by a
	// burst or by lost runners is over, or known to last, after some seconds.
	longestReturn = 5 * time.Second
	// returnSpread is the part of its wait by which callers without a promised moment
	// come back sooner, so that they do not come together.
	returnSpread = 0.3
)

// returns tells refused callers of one service when to come back. Moments are promised
// by rank, as fast as the rank was admitted of late, to callers who can still be served
// within their target then.
type returns struct {
	promises *Promises
	// news are the promises made since they were last taken.
	news []Promise
}

// Promise is a moment promised to a refused request.
type Promise struct {
	Service string
	Rank    Rank
	Ticket  uint64
	// After is how long after now the request may come back.
	After time.Duration
}

// maxNews bounds the promises that are told at a time; callers whose promises are not
// told find no room only where another router decides.
const maxNews = 1 << 10

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
// to it or, if it could not be served in time at the next one, near the end of the time
// for which it waits, when the shortage may be over.
// A caller that was promised a moment keeps it.
func (r *returns) refuse(now time.Time, demand Demand, earliest time.Duration, random *rand.Rand) time.Duration {
	class := classOf(demand.Rank)
	if after, known := r.promises.Promised(now, demand.Ticket); known {
		return after
	}
	longest := earliest
	if demand.Left > 0 {
		longest = min(time.Duration(waitShare*float64(demand.Left)), longestReturn)
	}
	next := r.promises.Next(now, class, earliest)
	if next > min(longest, time.Duration(promiseWithin*float64(demand.Target))) || demand.Excess > 1 {
		spread := time.Duration(returnSpread * random.Float64() * float64(longest))
		return max(longest-spread, min(earliest, longest))
	}
	if demand.Ticket == 0 {
		return r.promises.Reserve(now, class, earliest)
	}
	after := r.promises.Refuse(now, demand.Ticket, class, earliest)
	if len(r.news) < maxNews {
		r.news = append(r.news, Promise{Service: demand.Service, Rank: demand.Rank, Ticket: demand.Ticket, After: after})
	}
	return after
}

// takeNews returns the promises made since the last call.
func (r *returns) takeNews() []Promise {
	news := r.news
	r.news = nil
	return news
}
