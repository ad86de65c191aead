package backpressure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// limiter is a strategy for keeping all routers together within a rate limit.
type limiter interface {
	// allow reports whether the router may send a request to the runner now. While the network
	// is partitioned, a router reaches only the schedulers in its own partition.
	allow(now time.Time, router int, partitioned bool) bool
}

// fleetSize is the number of routers in a fleet and the number of schedulers among them, which
// is three unless there are fewer routers.
type fleetSize struct{ routers, schedulers int }

// partition returns the network partition of the router. Partition 0 has one third of the
// routers and one scheduler.
func (f fleetSize) partition(router int) int {
	if router%3 == 0 {
		return 0
	}
	return 1
}

// schedulerShares gives each scheduler an equal share. It is the strategy that this package
// implements.
type schedulerShares struct {
	fleetSize
	rate   float64
	shares []*Permits
}

func newSchedulerShares(size fleetSize, rate float64) *schedulerShares {
	l := &schedulerShares{fleetSize: size, rate: rate}
	for range size.schedulers {
		permits := NewPermits()
		permits.SetSchedulerCount(start.Add(-time.Minute), size.schedulers)
		l.shares = append(l.shares, permits)
	}
	return l
}

func (l *schedulerShares) allow(now time.Time, router int, _ bool) bool {
	// The nearest scheduler is in the router's own zone, and therefore in its partition.
	permits := l.shares[router%l.schedulers]
	if permits.Wait(now, runner, l.rate) > 0 {
		return false
	}
	permits.Take(now, runner, l.rate)
	return true
}

// routerShares gives each router an equal share, without any coordination.
type routerShares struct {
	rate   float64
	shares []*Permits
}

func newRouterShares(size fleetSize, rate float64, random *rand.Rand) *routerShares {
	l := &routerShares{rate: rate}
	for range size.routers {
		permits := NewPermits()
		permits.SetSchedulerCount(start.Add(-time.Minute), size.routers)
		// If all routers started at once, each would send a request immediately.
		permits.grantFrom = start.Add(time.Duration(random.Float64() * float64(permitInterval(rate/float64(size.routers)))))
		l.shares = append(l.shares, permits)
	}
	return l
}

func (l *routerShares) allow(now time.Time, router int, _ bool) bool {
	if l.shares[router].Wait(now, runner, l.rate) > 0 {
		return false
	}
	l.shares[router].Take(now, runner, l.rate)
	return true
}

// singleScheduler has one scheduler grant the whole limit. Routers that cannot reach it switch
// to another scheduler after the permits granted by the first have expired.
type singleScheduler struct {
	fleetSize
	rate          float64
	byPartition   [2]*Permits
	partitionedAt time.Time
}

func newSingleScheduler(size fleetSize, rate float64) *singleScheduler {
	l := &singleScheduler{fleetSize: size, rate: rate}
	for i := range l.byPartition {
		l.byPartition[i] = NewPermits()
		l.byPartition[i].SetStandalone()
	}
	return l
}

func (l *singleScheduler) allow(now time.Time, router int, partitioned bool) bool {
	permits := l.byPartition[0]
	switch {
	case !partitioned:
		l.partitionedAt = time.Time{}
	case l.partitionedAt.IsZero():
		l.partitionedAt = now
	}
	if partitioned && l.partition(router) == 1 {
		if now.Sub(l.partitionedAt) < shareChangeDelay {
			return false
		}
		permits = l.byPartition[1]
	}
	if permits.Wait(now, runner, l.rate) > 0 {
		return false
	}
	permits.Take(now, runner, l.rate)
	return true
}

// result holds the maximum number of requests that the runner received in any window, and the
// fraction of its limit that was used.
type result struct {
	maxPerWindow int
	utilization  float64
}

const simulatedTime = 120 * time.Second

// simulate sends requests at random times, most of them at a few routers. With partitions, a
// third of the routers are separated from the others during the middle third of the time.
func simulate(l limiter, size fleetSize, rate, demand float64, withPartition bool, random *rand.Rand) result {
	weights, totalWeight := make([]float64, size.routers), 0.0
	for i := range weights {
		totalWeight += 1 / math.Sqrt(float64(i+1))
		weights[i] = totalWeight
	}
	sim := &simulation{}
	for now := start; now.Before(start.Add(simulatedTime)); {
		now = now.Add(time.Duration(random.ExpFloat64() / (demand * rate) * float64(time.Second)))
		router, target := 0, random.Float64()*totalWeight
		for weights[router] < target {
			router++
		}
		elapsed := now.Sub(start)
		partitioned := withPartition && elapsed > simulatedTime/3 && elapsed < 2*simulatedTime/3
		if l.allow(now, router, partitioned) {
			sim.arrivals = append(sim.arrivals, now)
		}
	}
	return result{maxPerWindow: sim.maxPerWindow(), utilization: float64(len(sim.arrivals)) / (rate * simulatedTime.Seconds())}
}

func TestCompareLimiters(t *testing.T) {
	for _, routers := range []int{1, 7, 300} {
		for _, rate := range []float64{0.5, 1, 20} {
			for _, withPartition := range []bool{false, true} {
				g, size := NewWithT(t), fleetSize{routers: routers, schedulers: min(routers, 3)}
				random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
				const demand = 20
				perScheduler := simulate(newSchedulerShares(size, rate), size, rate, demand, withPartition, random())
				perRouter := simulate(newRouterShares(size, rate, random()), size, rate, demand, withPartition, random())
				single := simulate(newSingleScheduler(size, rate), size, rate, demand, withPartition, random())
				t.Logf("%3d routers, %4.1f requests per second, partition %-5v: allowed %d; scheduler shares %d, %.2f; router shares %d, %.2f; single scheduler %d, %.2f",
					routers, rate, withPartition, allowedPerWindow(rate), perScheduler.maxPerWindow, perScheduler.utilization, perRouter.maxPerWindow, perRouter.utilization, single.maxPerWindow, single.utilization)
				g.Expect(perScheduler.maxPerWindow).To(BeNumerically("<=", allowedPerWindow(rate)))
				g.Expect(perScheduler.utilization).To(BeNumerically(">", 0.75))
			}
		}
	}
}
