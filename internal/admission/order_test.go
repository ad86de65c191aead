package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	urgentTarget = 500 * time.Millisecond
	bulkTarget   = 1500 * time.Millisecond
)

var (
	began   = time.Unix(100, 0)
	crowded = Load{Open: 90, Slots: 100}
	bulk    = Demand{Service: "s", Rank: Rank{Route: 1}, Target: bulkTarget, MaxQueue: time.Second, Left: 5 * time.Second, Excess: 1}
	urgent  = Demand{Service: "s", Target: urgentTarget, MaxQueue: 400 * time.Millisecond, Left: 15 * time.Second, Excess: 1}
)

func newTestOrder() *Order { return NewOrder(rand.New(rand.NewPCG(1, 2))) }

// meet lets the urgent rank ask 100 times a second at the queue for the time.
func meet(o *Order, from time.Time, length, queue time.Duration) time.Time {
	const interval = 10 * time.Millisecond
	for now := from; now.Before(from.Add(length)); now = now.Add(interval) {
		o.Decided(now, urgent, queue, queue > urgent.MaxQueue, 0)
	}
	return from.Add(length)
}

// heldTo is the median bound of the demand: a few requests keep their own one.
func heldTo(o *Order, now time.Time, demand Demand, load Load) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range 20 {
		least = min(least, o.Limit(now, demand, load).MaxQueue)
	}
	return least
}

func TestBulkKeepsItsBoundWhileNobodyMoreUrgentIsRefused(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	g.Expect(heldTo(o, began, bulk, crowded)).To(Equal(bulk.MaxQueue), "nothing more urgent has come")
	now := meet(o, began, 5*time.Second, urgentTarget/5)
	g.Expect(heldTo(o, now, bulk, crowded)).To(Equal(bulk.MaxQueue), "it is in time")
	for range 5 { // one in 50 of them queues for half of its target, in a fleet that serves all
		now = meet(o, now, 490*time.Millisecond, 0)
		now = meet(o, now, 10*time.Millisecond, urgentTarget/2)
	}
	g.Expect(heldTo(o, now, bulk, crowded)).To(Equal(bulk.MaxQueue), "hardly any of it is late")
	meet(o, now, time.Second, 2*urgentTarget)
	g.Expect(heldTo(o, now.Add(time.Minute), bulk, crowded)).To(Equal(bulk.MaxQueue), "it has not come of late")
}

func TestBulkGivesWayFastAndComesBackSlowly(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := meet(o, began, 500*time.Millisecond, urgentTarget)
	tight := heldTo(o, now, bulk, crowded)
	g.Expect(tight).To(BeNumerically("<", bulk.MaxQueue/4))
	now = meet(o, now, 4*time.Second, 0)
	g.Expect(heldTo(o, now, bulk, crowded)).To(And(BeNumerically(">", tight), BeNumerically("<", 3*tight)))
	now = meet(o, now, 10*time.Second, 0)
	g.Expect(heldTo(o, now, bulk, crowded)).To(Equal(bulk.MaxQueue))
}

func TestOnlyLaterRanksGiveWay(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := meet(o, began, time.Second, urgentTarget)
	g.Expect(heldTo(o, now, urgent, crowded)).To(Equal(urgent.MaxQueue), "a rank does not give way to itself")
	other := bulk
	other.Service = "another"
	g.Expect(heldTo(o, now, other, crowded)).To(Equal(other.MaxQueue))
}

func TestTiersGoBeforeRoutes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Rank{Tier: 1}.presses(Rank{Tier: 1, Route: 1})).To(BeTrue())
	g.Expect(Rank{}.presses(Rank{Tier: 1, Route: 1})).To(BeTrue())
	g.Expect(Rank{Tier: 1}.presses(Rank{Route: 1})).To(BeFalse(), "no route gives way to a later tier")
	g.Expect(Rank{}.presses(Rank{Tier: 1})).To(BeFalse(), "its own bound is shorter as it is")
	g.Expect(Rank{}.presses(Rank{})).To(BeFalse())
}

func TestNothingGivesWayWhileHalfOfTheSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := meet(o, began, time.Second, 2*urgentTarget)
	g.Expect(heldTo(o, now, bulk, Load{Open: 50, Slots: 100})).To(Equal(bulk.MaxQueue))
	g.Expect(heldTo(o, now, bulk, Load{Open: 51, Slots: 100})).To(BeNumerically("<", bulk.MaxQueue))
}

func TestEveryKindKeepsAFloor(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := meet(o, began, 10*time.Second, 4*urgentTarget)
	untouched := 0
	for range 1000 {
		if o.Limit(now, bulk, crowded).MaxQueue == bulk.MaxQueue {
			untouched++
		}
	}
	g.Expect(untouched).To(BeNumerically("~", 1000*floorShare, 25))
	g.Expect(heldTo(o, now, bulk, crowded)).To(BeNumerically(">=", urgentTarget/10), "short queues are open to it too")
}

func TestTenantBeyondItsShareIsHeldToLess(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	greedy := urgent
	greedy.Excess = 2
	g.Expect(heldTo(o, began, greedy, crowded)).To(Equal(urgent.MaxQueue / 2))
	g.Expect(heldTo(o, began, greedy, Load{Open: 1, Slots: 100})).To(Equal(urgent.MaxQueue))
}

func TestRequestWithoutABoundIsNeverRefused(t *testing.T) {
	g := NewWithT(t)
	o := newTestOrder()
	now := meet(o, began, time.Second, 4*urgentTarget)
	admitted := bulk
	admitted.MaxQueue = 0
	g.Expect(o.Limit(now, admitted, crowded).MaxQueue).To(BeZero())
}

// contest is a fleet that reads 1,000 units a second, as one queue, with offers of two
// ranks in units: what each asked, got in time and was refused.
type contest struct {
	asked, inTime, refused [2]float64
	// bounds are those of bulk over time.
	bounds []float64
}

// play has the ranks ask for so many times the fleet's speed for the length.
func play(urgentLoad, bulkLoad float64, length time.Duration, ordered bool) contest {
	const speed, cost, step = 1000.0, 4.0, time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	order, outcome, queue := NewOrder(random), contest{}, 0.0
	for now := began; now.Before(began.Add(length)); now = now.Add(step) {
		queue = max(queue-speed*step.Seconds(), 0)
		for kind, load := range []float64{urgentLoad, bulkLoad} {
			demand := []Demand{urgent, bulk}[kind]
			if random.Float64() >= load*speed/cost*step.Seconds() {
				continue
			}
			demand.MaxQueue = LongestQueue(demand.Target, demand.Rank, random)
			wait := time.Duration(queue / speed * float64(time.Second))
			bound := demand.MaxQueue
			if ordered {
				limit := order.Limit(now, demand, crowded)
				bound = limit.MaxQueue
				if kind == 1 {
					outcome.bounds = append(outcome.bounds, limit.Yield)
				}
			}
			order.Decided(now, demand, wait, wait > bound, 0)
			outcome.asked[kind]++
			if wait > bound {
				outcome.refused[kind]++
				continue
			}
			queue += cost
			if wait <= demand.Target {
				outcome.inTime[kind]++
			}
		}
	}
	return outcome
}

func (c contest) refusedShare(kind int) float64 { return c.refused[kind] / c.asked[kind] }

// A quarter of the runners is dark and bulk comes at twice its usual rate: what is
// refused is bulk, and no more of it than the surplus.
func TestShortageIsBorneByBulk(t *testing.T) {
	g := NewWithT(t)
	without, with := play(0.7, 0.7, 14*time.Second, false), play(0.7, 0.7, 14*time.Second, true)
	t.Logf("refused without the order %.2f, %.2f; with it %.2f, %.2f", without.refusedShare(0), without.refusedShare(1), with.refusedShare(0), with.refusedShare(1))
	g.Expect(without.refusedShare(0)).To(BeNumerically(">", 0.2))
	g.Expect(with.refusedShare(0)).To(BeNumerically("<", 0.07))
	g.Expect(with.refusedShare(1)).To(BeNumerically("<", 0.65), "the surplus is 0.57 of bulk")
	g.Expect(with.inTime[0]).To(BeNumerically(">", 1.2*without.inTime[0]))
}

// The fleet can serve all: bulk loses nothing for the sake of the urgent rank.
func TestNobodyIsRefusedForNothing(t *testing.T) {
	g := NewWithT(t)
	with := play(0.5, 0.4, 20*time.Second, true)
	g.Expect(with.refused[0] + with.refused[1]).To(BeZero())
}

// A burst of 2.6 times bulk's usual load.
func TestBurstOfBulkIsNotFeltByTheUrgent(t *testing.T) {
	g := NewWithT(t)
	with := play(0.5, 0.35*2.6, 6*time.Second, true)
	g.Expect(with.refusedShare(0)).To(BeNumerically("<", 0.07))
	g.Expect(with.inTime[1] / with.asked[1]).To(BeNumerically(">", 0.4))
}

// The urgent rank alone is more than the fleet can serve: bulk keeps its floor.
func TestUrgentOverloadLeavesBulkItsFloor(t *testing.T) {
	g := NewWithT(t)
	with := play(1.3, 0.3, 14*time.Second, true)
	g.Expect(1 - with.refusedShare(1)).To(BeNumerically(">", floorShare/2))
	g.Expect(with.refusedShare(1)).To(BeNumerically(">", with.refusedShare(0)))
}

// Under a steady shortage the bound settles: it does not swing between closed and open.
func TestBoundDoesNotOscillate(t *testing.T) {
	g := NewWithT(t)
	with := play(0.7, 0.7, 30*time.Second, true)
	late := with.bounds[len(with.bounds)/2:]
	var least, most, swings = 1.0, 0.0, 0
	rising := false
	turn := late[0]
	for _, bound := range late {
		if bound == 1 {
			continue // the floor
		}
		least, most = min(least, bound), max(most, bound)
		switch {
		case rising && bound < turn/1.5, !rising && bound > turn*1.5:
			rising, turn = !rising, bound
			swings++
		case rising:
			turn = max(turn, bound)
		default:
			turn = min(turn, bound)
		}
	}
	t.Logf("bounds from %.2f to %.2f of the own one, %d swings by half in 15 s", least, most, swings)
	g.Expect(swings).To(BeNumerically("<=", 15))
	g.Expect(most).To(BeNumerically("<", 0.6))
}
