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
	startTime = time.Unix(1_700_000_000, 0)
	testPool  = Pool{Service: "s"}
)

// Parameters of the simulated load. Callers want a response within half a second, wait up to 15 s
// and retry once after a refusal. Requests cost 4,000 prompt tokens on average, with a long tail.
const (
	target          = 500 * time.Millisecond
	meanRequestCost = 4000.0
	capacity        = 2_000_000.0 // tokens per second, the prefill throughput of some tens of runners
	retryDelay      = 300 * time.Millisecond
	simulatedTime   = 20 * time.Second
	warmUpTime      = 4 * time.Second
	reportInterval  = 250 * time.Millisecond
	hotFactor       = 7.0
	// maxExtraRefused is the largest share of the other tenants' requests that may be refused in
	// addition to those that an oracle refuses.
	maxExtraRefused = 0.05
	// minFairRatio is the lowest part of its fair share that a hot tenant must get.
	minFairRatio = 0.7
	// seedCount is the number of simulations of each scenario, each with its own seed.
	seedCount = 5
)

// scenario is a service with its tenants and the schedulers that place their requests.
type scenario struct {
	usualRates []float64 // tokens per second, by tenant
	// hotFactors are the multiples of their usual rates that the hot tenants send.
	hotFactors map[int]float64
	// capacityRatio is the ratio of the service's capacity to the total demand.
	capacityRatio  float64
	schedulerCount int
	reportDelay    time.Duration
	weighted       bool
	fairSharing    bool
	// schedulerLossAt is when the last scheduler is lost, partitionAt when the schedulers stop
	// receiving reports, and restartAt when all of them restart. 0 means never.
	schedulerLossAt, partitionAt, restartAt time.Duration
}

type outcome struct {
	offered, served []float64
	hotFactors      map[int]float64
	// idle is how long the service had no work.
	idle time.Duration
}

// othersRefused returns the share, by cost, of the requests of all tenants that are not hot that
// was not served.
func (o outcome) othersRefused() float64 {
	offered, served := 0.0, 0.0
	for i := range o.offered {
		if o.hotFactors[i] == 0 {
			offered, served = offered+o.offered[i], served+o.served[i]
		}
	}
	return 1 - served/offered
}

// tenantRefused returns the share, by cost, of the tenant's requests that was not served.
func (o outcome) tenantRefused(i int) float64 { return 1 - o.served[i]/o.offered[i] }

type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

type simEventQueue []simEvent

func (q simEventQueue) Len() int           { return len(q) }
func (q simEventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simEventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func tenantName(i int) string { return fmt.Sprintf("t%02d", i) }

func (s scenario) loadFactor(i int) float64 {
	if factor := s.hotFactors[i]; factor > 0 {
		return factor
	}
	return 1
}

// oracleServedShares returns the part of each tenant's requests that an oracle would serve. It
// increases the allocations in proportion to the weights until each tenant has its demand or the
// capacity is used up.
func (s scenario) oracleServedShares() []float64 {
	demand := 0.0
	for i, usualRate := range s.usualRates {
		demand += usualRate * s.loadFactor(i)
	}
	weight := func(i int) float64 {
		if s.weighted {
			return s.usualRates[i]
		}
		return 1
	}
	low, high := 0.0, 1000*demand
	for range 100 {
		share, sum := (low+high)/2, 0.0
		for i, usualRate := range s.usualRates {
			sum += math.Min(usualRate*s.loadFactor(i), share*weight(i))
		}
		if sum > demand*s.capacityRatio {
			high = share
		} else {
			low = share
		}
	}
	served := make([]float64, len(s.usualRates))
	for i, usualRate := range s.usualRates {
		served[i] = math.Min(1, low*weight(i)/(usualRate*s.loadFactor(i)))
	}
	return served
}

// simulateSeeds adds up simulations with several seeds. In a single one, chance changes the served
// share of a hot tenant with few requests by a tenth.
func (s scenario) simulateSeeds() outcome {
	total := s.simulate(1)
	for seed := uint64(2); seed <= seedCount; seed++ {
		result := s.simulate(seed)
		for i := range total.offered {
			total.offered[i] += result.offered[i]
			total.served[i] += result.served[i]
		}
		total.idle += result.idle
	}
	return total
}

// simulate runs one simulation. The service is a single queue that is processed at the capacity.
func (s scenario) simulate(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	events := &simEventQueue{}
	trackers := make([]*Tracker, s.schedulerCount)
	reset := func(i int) {
		trackers[i] = New(Config{})
		if s.weighted {
			weights := map[string]float64{}
			for tenant, usualRate := range s.usualRates {
				weights[tenantName(tenant)] = usualRate
			}
			trackers[i].SetWeights(weights)
		}
	}
	for i := range trackers {
		reset(i)
	}
	demand := 0.0
	for i, usualRate := range s.usualRates {
		demand += usualRate * s.loadFactor(i)
	}
	scale := capacity / (demand * s.capacityRatio) // converts usual rates to tokens per second, so that demand * capacityRatio = capacity
	busyUntil, liveSchedulers := startTime, s.schedulerCount
	result := outcome{offered: make([]float64, len(s.usualRates)), served: make([]float64, len(s.usualRates)), hotFactors: s.hotFactors}
	var request func(now time.Time, tenant int, cost float64, retried, counted bool)
	request = func(now time.Time, tenant int, cost float64, retried, counted bool) {
		tracker := trackers[random.IntN(liveSchedulers)]
		if counted && !retried {
			result.offered[tenant] += cost
		}
		longest := admission.DrawMaxQueue(target, admission.Rank{}, random)
		bound := longest
		if s.fairSharing {
			divided := time.Duration(float64(longest) / tracker.Excess(now, testPool, tenantName(tenant)))
			bound = max(divided, admission.LowestMaxQueue(target, admission.Rank{}))
		}
		if busyUntil.Before(now) {
			if counted {
				result.idle += now.Sub(busyUntil)
			}
			busyUntil = now
		}
		if busyUntil.Sub(now) > bound {
			if busyUntil.Sub(now) > longest {
				tracker.RecordRefusal(now, testPool, tenantName(tenant), cost)
			}
			if !retried {
				heap.Push(events, simEvent{now.Add(retryDelay), func(now time.Time) { request(now, tenant, cost, true, counted) }})
			}
			return
		}
		tracker.Charge(now, testPool, tenantName(tenant), cost)
		busyUntil = busyUntil.Add(time.Duration(cost / capacity * float64(time.Second)))
		if counted {
			result.served[tenant] += cost
		}
	}
	end := startTime.Add(simulatedTime)
	for i, usualRate := range s.usualRates {
		rate := usualRate * s.loadFactor(i) * scale / meanRequestCost
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			request(now, i, math.Min(random.ExpFloat64()*meanRequestCost, 10*meanRequestCost), false, now.Sub(startTime) >= warmUpTime)
			if next := now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))); next.Before(end) {
				heap.Push(events, simEvent{next, arrive})
			}
		}
		heap.Push(events, simEvent{startTime.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))), arrive})
	}
	for at := startTime; at.Before(end); at = at.Add(reportInterval) {
		heap.Push(events, simEvent{at, func(now time.Time) {
			if s.partitionAt > 0 && now.Sub(startTime) >= s.partitionAt {
				return
			}
			for from := range liveSchedulers {
				report := trackers[from].LocalUsage(now)
				heap.Push(events, simEvent{now.Add(s.reportDelay), func(now time.Time) {
					for to := range liveSchedulers {
						if to != from {
							trackers[to].Merge(now, tenantName(from), report)
						}
					}
				}})
			}
		}})
	}
	if s.schedulerLossAt > 0 {
		heap.Push(events, simEvent{startTime.Add(s.schedulerLossAt), func(time.Time) { liveSchedulers-- }})
	}
	if s.restartAt > 0 {
		heap.Push(events, simEvent{startTime.Add(s.restartAt), func(time.Time) {
			for i := range trackers {
				reset(i)
			}
		}})
	}
	for events.Len() > 0 {
		next := heap.Pop(events).(simEvent)
		next.run(next.at)
	}
	return result
}

// skewedRates returns rates of which the n-th is an n-th of the first.
func skewedRates(tenants int) []float64 {
	rates := make([]float64, tenants)
	for i := range rates {
		rates[i] = 1 / float64(i+1)
	}
	return rates
}

func hotTenant(tenant int) map[int]float64 { return map[int]float64{tenant: hotFactor} }

func evenRates(tenants int) []float64 {
	rates := make([]float64, tenants)
	for i := range rates {
		rates[i] = 1
	}
	return rates
}
