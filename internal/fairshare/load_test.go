package fairshare

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	shared = Pool{Service: "s"}
)

// The load: callers want an answer within half a second, wait up to 15 s, and come back
// once after a refusal. Requests cost 4,000 prompt tokens in the mean, with a tail.
const (
	target      = 500 * time.Millisecond
	meanCost    = 4000.0
	capacity    = 2_000_000.0 // tokens a second: what some tens of runners read
	comesBack   = 300 * time.Millisecond
	playedTime  = 20 * time.Second
	warmTime    = 4 * time.Second
	shareTime   = 250 * time.Millisecond
	hotFactor   = 7.0
	mostRefused = 0.05
	// leastFair is the least part of its fair share that a hot tenant gets.
	leastFair = 0.7
	// seeds is how often each load is played.
	seeds = 5
)

// load is a service with tenants, and the schedulers that choose for them.
type load struct {
	usual []float64 // tokens a second, by tenant
	// hot are the tenants that send so many times their usual.
	hot map[int]float64
	// share is what the service serves of the whole demand.
	share      float64
	schedulers int
	delay      time.Duration
	weighted   bool
	fair       bool
	// lost is when the last scheduler is lost, and cut when none hears another; 0 never.
	lost, cut, restart time.Duration
}

type outcome struct {
	asked, served []float64
	hot           map[int]float64
	// idle is how long the service had nothing to do.
	idle time.Duration
}

// refused is the part of the requests, by cost, of all but the hot tenant that are not served.
func (o outcome) refused() float64 {
	asked, served := 0.0, 0.0
	for i := range o.asked {
		if o.hot[i] == 0 {
			asked, served = asked+o.asked[i], served+o.served[i]
		}
	}
	return 1 - served/asked
}

func (o outcome) refusedOf(i int) float64 { return 1 - o.served[i]/o.asked[i] }

type happening struct {
	at time.Time
	do func(now time.Time)
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func tenantName(i int) string { return fmt.Sprintf("t%02d", i) }

func (l load) factor(i int) float64 {
	if factor := l.hot[i]; factor > 0 {
		return factor
	}
	return 1
}

// fairlyServed returns which part of its requests each tenant would have served if the
// service were divided by an oracle: all grow alike, by their weights, until each has
// what it wants or the service is used up.
func (l load) fairlyServed() []float64 {
	demand := 0.0
	for i, usual := range l.usual {
		demand += usual * l.factor(i)
	}
	weight := func(i int) float64 {
		if l.weighted {
			return l.usual[i]
		}
		return 1
	}
	low, high := 0.0, 1000*demand
	for range 100 {
		level, sum := (low+high)/2, 0.0
		for i, usual := range l.usual {
			sum += math.Min(usual*l.factor(i), level*weight(i))
		}
		if sum > demand*l.share {
			high = level
		} else {
			low = level
		}
	}
	served := make([]float64, len(l.usual))
	for i, usual := range l.usual {
		served[i] = math.Min(1, low*weight(i)/(usual*l.factor(i)))
	}
	return served
}

// plays plays the load with several seeds: a hot tenant of few requests is served one in ten
// more or fewer by chance.
func (l load) plays() outcome {
	sum := l.play(1)
	for seed := uint64(2); seed <= seeds; seed++ {
		one := l.play(seed)
		for i := range sum.asked {
			sum.asked[i] += one.asked[i]
			sum.served[i] += one.served[i]
		}
		sum.idle += one.idle
	}
	return sum
}

// play plays the load. The service is one queue that is worked off at its capacity.
func (l load) play(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	queue := &happenings{}
	trackers := make([]*Tracker, l.schedulers)
	renew := func(i int) {
		trackers[i] = New(Config{})
		if l.weighted {
			weights := map[string]float64{}
			for tenant, usual := range l.usual {
				weights[tenantName(tenant)] = usual
			}
			trackers[i].SetWeights(weights)
		}
	}
	for i := range trackers {
		renew(i)
	}
	demand := 0.0
	for i, usual := range l.usual {
		demand += usual * l.factor(i)
	}
	scale := capacity / (demand * l.share) // usual in tokens a second, so that demand * share = capacity
	free, alive := start, l.schedulers
	result := outcome{asked: make([]float64, len(l.usual)), served: make([]float64, len(l.usual)), hot: l.hot}
	var request func(now time.Time, tenant int, cost float64, again, counted bool)
	request = func(now time.Time, tenant int, cost float64, again, counted bool) {
		tracker := trackers[random.IntN(alive)]
		if counted && !again {
			result.asked[tenant] += cost
		}
		longest := admission.DrawMaxQueue(target, admission.Rank{}, random)
		bound := longest
		if l.fair {
			divided := time.Duration(float64(longest) / tracker.Excess(now, shared, tenantName(tenant)))
			bound = max(divided, admission.LowestMaxQueue(target, admission.Rank{}))
		}
		if free.Before(now) {
			if counted {
				result.idle += now.Sub(free)
			}
			free = now
		}
		if free.Sub(now) > bound {
			if free.Sub(now) > longest {
				tracker.Refuse(now, shared, tenantName(tenant), cost)
			}
			if !again {
				heap.Push(queue, happening{now.Add(comesBack), func(now time.Time) { request(now, tenant, cost, true, counted) }})
			}
			return
		}
		tracker.Charge(now, shared, tenantName(tenant), cost)
		free = free.Add(time.Duration(cost / capacity * float64(time.Second)))
		if counted {
			result.served[tenant] += cost
		}
	}
	end := start.Add(playedTime)
	for i, usual := range l.usual {
		rate := usual * l.factor(i) * scale / meanCost
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			request(now, i, math.Min(random.ExpFloat64()*meanCost, 10*meanCost), false, now.Sub(start) >= warmTime)
			if next := now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))); next.Before(end) {
				heap.Push(queue, happening{next, arrive})
			}
		}
		heap.Push(queue, happening{start.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))), arrive})
	}
	for at := start; at.Before(end); at = at.Add(shareTime) {
		heap.Push(queue, happening{at, func(now time.Time) {
			if l.cut > 0 && now.Sub(start) >= l.cut {
				return
			}
			for from := range alive {
				sums := trackers[from].Sums(now)
				heap.Push(queue, happening{now.Add(l.delay), func(now time.Time) {
					for to := range alive {
						if to != from {
							trackers[to].Merge(now, tenantName(from), sums)
						}
					}
				}})
			}
		}})
	}
	if l.lost > 0 {
		heap.Push(queue, happening{start.Add(l.lost), func(time.Time) { alive-- }})
	}
	if l.restart > 0 {
		heap.Push(queue, happening{start.Add(l.restart), func(time.Time) {
			for i := range trackers {
				renew(i)
			}
		}})
	}
	for queue.Len() > 0 {
		next := heap.Pop(queue).(happening)
		next.do(next.at)
	}
	return result
}

// skewed returns the usual use of so many tenants, of which the n-th uses an n-th of the first.
func skewed(tenants int) []float64 {
	usual := make([]float64, tenants)
	for i := range usual {
		usual[i] = 1 / float64(i+1)
	}
	return usual
}

func hot(tenant int) map[int]float64 { return map[int]float64{tenant: hotFactor} }

func even(tenants int) []float64 {
	usual := make([]float64, tenants)
	for i := range usual {
		usual[i] = 1
	}
	return usual
}
