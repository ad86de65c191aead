package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// floorShare is the share of requests that are not held to a tightened bound, so that
// no kind of request is shut out as long as a more urgent one wants all runners: a
// caller who asks a few times in a minute is served once.
const floorShare = 0.05

// presses tells whether requests of the other rank give way when those of this rank are
// about to be late: those of a later route of the same tier or a later one. Tiers are
// paid for, so no route gives way to a later tier. A later tier with the same route only
// has its shorter bound: turning it away frees little, as it wants the runners for as
// short as the pressed rank.
func (r Rank) presses(other Rank) bool {
	return r.Tier <= other.Tier && r.Route < other.Route
}

// Demand is what the order needs to know of a request that wants a runner.
type Demand struct {
	Service string
	Rank    Rank
	// Target is the time within which an answer is on time, 0 for none.
	Target time.Duration
	// MaxQueue is the request's own bound of the time that it may be expected to queue,
	// as drawn by LongestQueue; 0 sets none, and such a request is never refused.
	MaxQueue time.Duration
	// Left is the time that the caller still waits.
	Left time.Duration
	// Excess is what the bound is divided by for the tenant's use beyond its fair share
	// (fairshare.Tracker.Excess), 1 at or below it.
	Excess float64
	// Ticket names the request if it is refused and comes back, 0 when it has no name.
	Ticket uint64
}

// Load is how full the runners are that may serve a request.
type Load struct {
	// Open counts the requests at them, and Slots how many they work on at once.
	Open, Slots int
}

// halfFree tells whether half of the slots are free or more: then no request is refused
// for the sake of another one. Queues at such runners are short of memory or reading,
// and pass soon, so that giving way would be for nothing.
func (l Load) halfFree() bool { return 2*l.Open <= l.Slots }

// Limit is the bound that holds for one request.
type Limit struct {
	// MaxQueue is the longest time that it may be expected to queue, 0 for no bound.
	MaxQueue time.Duration
	// Unshared is what MaxQueue would be for a tenant at its fair share, and Excess that of
	// the demand, at least 1.
	Unshared time.Duration
	Excess   float64
	// Yield is the part of its own bound that is left to it by more urgent requests.
	Yield float64
	// Returned is set for a request that comes back at the moment that it was told.
	Returned bool
}

// Order decides which requests for the same runners are refused when they cannot all be
// served in time: first those of the later rank, and these only as far as the requests
// of earlier ranks are about to be late otherwise. It is not safe for concurrent use.
type Order struct {
	random   *rand.Rand
	services map[string]*serviceOrder
}

// serviceOrder is the order among the requests for one service.
type serviceOrder struct {
	pressures map[Rank]*pressure
	returns   *returns
}

// NewOrder returns an order without observations.
func NewOrder(random *rand.Rand) *Order {
	return &Order{random: random, services: map[string]*serviceOrder{}}
}

func (o *Order) service(name string) *serviceOrder {
	state := o.services[name]
	if state == nil {
		state = &serviceOrder{pressures: map[Rank]*pressure{}, returns: newReturns()}
		o.services[name] = state
	}
	return state
}

// Limit returns the bound of a request at runners of the load. It ends the promise of a
// request that comes back, so it is asked once for each choice.
func (o *Order) Limit(now time.Time, demand Demand, load Load) Limit {
	limit := Limit{MaxQueue: demand.MaxQueue, Unshared: demand.MaxQueue, Yield: 1, Excess: math.Max(demand.Excess, 1)}
	if demand.MaxQueue <= 0 {
		return limit
	}
	state := o.service(demand.Service)
	limit.Returned = state.returns.redeem(now, demand)
	if load.halfFree() {
		return limit
	}
	if !limit.Returned && o.random.Float64() >= floorShare {
		limit.Yield = state.yield(now, demand)
		limit.Unshared = max(time.Duration(limit.Yield*float64(demand.MaxQueue)), time.Millisecond)
	}
	limit.MaxQueue = shared(limit.Unshared, demand)
	return limit
}

// shared is the part of a bound that is left to a tenant beyond its fair share: the bound
// divided by its excess, but not below the queue in which nobody of its rank is refused.
// What is refused for less is refused for nobody's sake.
func shared(bound time.Duration, demand Demand) time.Duration {
	divided := time.Duration(float64(bound) / math.Max(demand.Excess, 1))
	return min(max(divided, ShortestQueue(demand.Target, demand.Rank)), bound)
}

// yield is the part of its bound that the more urgent requests leave to the demand.
func (s *serviceOrder) yield(now time.Time, demand Demand) float64 {
	least := 1.0
	for rank, p := range s.pressures {
		if rank.presses(demand.Rank) {
			least = min(least, p.yieldTo(now, demand.Target))
		}
	}
	return least
}

// Decided takes a decision about a request: the time that it was expected to queue, and
// whether it was refused. It returns when a refused caller is to come back: at the moment
// promised to it, or else no sooner than earliest unless it waits for less. For one that was
// let in it is 0, and without a bound earliest.
func (o *Order) Decided(now time.Time, demand Demand, queue time.Duration, refused bool, earliest time.Duration) time.Duration {
	if demand.MaxQueue <= 0 {
		return earliest
	}
	state := o.service(demand.Service)
	p := state.pressures[demand.Rank]
	if p == nil {
		p = newPressure(now)
		state.pressures[demand.Rank] = p
	}
	p.note(now, demand.Target, queue)
	if !refused {
		state.returns.admitted(now, demand)
		return 0
	}
	return state.returns.refuse(now, demand, earliest, o.random)
}

// TakePromises returns the promises made since the last call, for others who decide.
func (o *Order) TakePromises() []Promise {
	var news []Promise
	for _, state := range o.services {
		news = append(news, state.returns.takeNews()...)
	}
	return news
}

// LearnPromise takes a promise that another one who decides has made.
func (o *Order) LearnPromise(now time.Time, promise Promise) {
	o.service(promise.Service).returns.promises.Learn(now, promise.Ticket, classOf(promise.Rank), promise.After)
}
