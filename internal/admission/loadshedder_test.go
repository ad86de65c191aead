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
	epoch    = time.Unix(100, 0)
	busyLoad = Load{OpenRequests: 90, Slots: 100}
	bulk     = Request{Service: "s", Rank: Rank{Route: 1}, LatencyTarget: bulkTarget, MaxQueue: time.Second, TimeLeft: 5 * time.Second, Excess: 1}
	urgent   = Request{Service: "s", LatencyTarget: urgentTarget, MaxQueue: 400 * time.Millisecond, TimeLeft: 15 * time.Second, Excess: 1}
)

func newTestShedder() *LoadShedder { return NewLoadShedder(rand.New(rand.NewPCG(1, 2))) }

// sendUrgent records 100 urgent requests per second that meet the given queue, and returns the
// time at its end.
func sendUrgent(shedder *LoadShedder, from time.Time, duration, queue time.Duration) time.Time {
	const interval = 10 * time.Millisecond
	for now := from; now.Before(from.Add(duration)); now = now.Add(interval) {
		shedder.RecordDecision(now, urgent, queue, queue > urgent.MaxQueue, 0)
	}
	return from.Add(duration)
}

// tightestBound returns the lowest bound of 20 requests, since a few requests are exempt from
// tightening.
func tightestBound(shedder *LoadShedder, now time.Time, request Request, load Load) time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for range 20 {
		tightest = min(tightest, shedder.QueueLimit(now, request, load).MaxQueue)
	}
	return tightest
}

func TestBulkKeepsItsBoundWhileUrgentRequestsAreInTime(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	g.Expect(tightestBound(shedder, epoch, bulk, busyLoad)).To(Equal(bulk.MaxQueue), "there were no urgent requests")
	now := sendUrgent(shedder, epoch, 5*time.Second, urgentTarget/5)
	g.Expect(tightestBound(shedder, now, bulk, busyLoad)).To(Equal(bulk.MaxQueue), "all urgent requests are in time")
	for range 5 { // 1 in 50 urgent requests queues for half of its target in a fleet with enough capacity
		now = sendUrgent(shedder, now, 490*time.Millisecond, 0)
		now = sendUrgent(shedder, now, 10*time.Millisecond, urgentTarget/2)
	}
	g.Expect(tightestBound(shedder, now, bulk, busyLoad)).To(Equal(bulk.MaxQueue), "hardly any urgent request is late")
	sendUrgent(shedder, now, time.Second, 2*urgentTarget)
	g.Expect(tightestBound(shedder, now.Add(time.Minute), bulk, busyLoad)).To(Equal(bulk.MaxQueue), "there were no recent urgent requests")
}

func TestBulkBoundTightensFastAndRelaxesSlowly(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := sendUrgent(shedder, epoch, 500*time.Millisecond, urgentTarget)
	tightened := tightestBound(shedder, now, bulk, busyLoad)
	g.Expect(tightened).To(BeNumerically("<", bulk.MaxQueue/4))
	now = sendUrgent(shedder, now, 4*time.Second, 0)
	g.Expect(tightestBound(shedder, now, bulk, busyLoad)).To(And(BeNumerically(">", tightened), BeNumerically("<", 3*tightened)))
	now = sendUrgent(shedder, now, 10*time.Second, 0)
	g.Expect(tightestBound(shedder, now, bulk, busyLoad)).To(Equal(bulk.MaxQueue))
}

func TestOnlyLowerRanksOfSameServiceAreTightened(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := sendUrgent(shedder, epoch, time.Second, urgentTarget)
	g.Expect(tightestBound(shedder, now, urgent, busyLoad)).To(Equal(urgent.MaxQueue), "a rank does not tighten its own bound")
	other := bulk
	other.Service = "another"
	g.Expect(tightestBound(shedder, now, other, busyLoad)).To(Equal(other.MaxQueue))
}

func TestRankTightensLaterRoutesOfItsOwnAndLowerTiers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Rank{Tier: 1}.tightens(Rank{Tier: 1, Route: 1})).To(BeTrue())
	g.Expect(Rank{}.tightens(Rank{Tier: 1, Route: 1})).To(BeTrue())
	g.Expect(Rank{Tier: 1}.tightens(Rank{Route: 1})).To(BeFalse(), "a route does not yield to a lower tier")
	g.Expect(Rank{}.tightens(Rank{Tier: 1})).To(BeFalse(), "the lower tier already has a shorter bound")
	g.Expect(Rank{}.tightens(Rank{})).To(BeFalse())
}

func TestBoundsAreNotTightenedWhileHalfOfSlotsAreFree(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := sendUrgent(shedder, epoch, time.Second, 2*urgentTarget)
	g.Expect(tightestBound(shedder, now, bulk, Load{OpenRequests: 50, Slots: 100})).To(Equal(bulk.MaxQueue))
	g.Expect(tightestBound(shedder, now, bulk, Load{OpenRequests: 51, Slots: 100})).To(BeNumerically("<", bulk.MaxQueue))
}

func TestSomeBulkRequestsAreExemptFromTightening(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := sendUrgent(shedder, epoch, 10*time.Second, 4*urgentTarget)
	exempt := 0
	for range 1000 {
		if shedder.QueueLimit(now, bulk, busyLoad).MaxQueue == bulk.MaxQueue {
			exempt++
		}
	}
	g.Expect(exempt).To(BeNumerically("~", 1000*exemptShare, 25))
	g.Expect(tightestBound(shedder, now, bulk, busyLoad)).To(BeNumerically(">=", urgentTarget/10), "bulk requests still use short queues")
}

func TestTenantAboveFairShareHasLowerBound(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	excessive := urgent
	excessive.Excess = 2
	g.Expect(tightestBound(shedder, epoch, excessive, busyLoad)).To(Equal(urgent.MaxQueue / 2))
	g.Expect(tightestBound(shedder, epoch, excessive, Load{OpenRequests: 1, Slots: 100})).To(Equal(urgent.MaxQueue))
}

func TestRequestWithoutMaxQueueHasNoBound(t *testing.T) {
	g := NewWithT(t)
	shedder := newTestShedder()
	now := sendUrgent(shedder, epoch, time.Second, 4*urgentTarget)
	unbounded := bulk
	unbounded.MaxQueue = 0
	g.Expect(shedder.QueueLimit(now, unbounded, busyLoad).MaxQueue).To(BeZero())
}

// simulation is the outcome of a run in which a fleet with a single queue processes 1,000 units
// per second. It counts, by rank, the requests that were offered, answered in time and refused.
// Rank 0 is urgent and rank 1 is bulk.
type simulation struct {
	offered, inTime, refused [2]float64
	// bulkFactors are the priority factors of bulk requests over time.
	bulkFactors []float64
}

// simulate offers the two ranks' loads, as multiples of the fleet's capacity, for the duration. If
// sheds is false, requests are held only to their own bounds.
func simulate(urgentLoad, bulkLoad float64, duration time.Duration, sheds bool) simulation {
	const speed, cost, step = 1000.0, 4.0, time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	shedder, result, queue := NewLoadShedder(random), simulation{}, 0.0
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(step) {
		queue = max(queue-speed*step.Seconds(), 0)
		for rank, load := range []float64{urgentLoad, bulkLoad} {
			request := []Request{urgent, bulk}[rank]
			if random.Float64() >= load*speed/cost*step.Seconds() {
				continue
			}
			request.MaxQueue = DrawMaxQueue(request.LatencyTarget, request.Rank, random)
			wait := time.Duration(queue / speed * float64(time.Second))
			bound := request.MaxQueue
			if sheds {
				limit := shedder.QueueLimit(now, request, busyLoad)
				bound = limit.MaxQueue
				if rank == 1 {
					result.bulkFactors = append(result.bulkFactors, limit.PriorityFactor)
				}
			}
			shedder.RecordDecision(now, request, wait, wait > bound, 0)
			result.offered[rank]++
			if wait > bound {
				result.refused[rank]++
				continue
			}
			queue += cost
			if wait <= request.LatencyTarget {
				result.inTime[rank]++
			}
		}
	}
	return result
}

func (s simulation) refusedShare(rank int) float64 { return s.refused[rank] / s.offered[rank] }

// A quarter of the runners is lost while bulk traffic is twice its usual rate. Only bulk requests
// are refused, and not more of them than the surplus.
func TestCapacityLossIsAbsorbedByBulk(t *testing.T) {
	g := NewWithT(t)
	baseline, shedding := simulate(0.7, 0.7, 14*time.Second, false), simulate(0.7, 0.7, 14*time.Second, true)
	t.Logf("refused urgent and bulk shares without load shedder %.2f, %.2f; with it %.2f, %.2f", baseline.refusedShare(0), baseline.refusedShare(1), shedding.refusedShare(0), shedding.refusedShare(1))
	g.Expect(baseline.refusedShare(0)).To(BeNumerically(">", 0.2))
	g.Expect(shedding.refusedShare(0)).To(BeNumerically("<", 0.07))
	g.Expect(shedding.refusedShare(1)).To(BeNumerically("<", 0.65), "the surplus is 0.57 of the bulk load")
	g.Expect(shedding.inTime[0]).To(BeNumerically(">", 1.2*baseline.inTime[0]))
}

// The fleet can serve the whole load, so bulk requests are not refused in favor of urgent ones.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	shedding := simulate(0.5, 0.4, 20*time.Second, true)
	g.Expect(shedding.refused[0] + shedding.refused[1]).To(BeZero())
}

// Bulk traffic is 2.6 times its usual load.
func TestBulkBurstDoesNotAffectUrgentRequests(t *testing.T) {
	g := NewWithT(t)
	shedding := simulate(0.5, 0.35*2.6, 6*time.Second, true)
	g.Expect(shedding.refusedShare(0)).To(BeNumerically("<", 0.07))
	g.Expect(shedding.inTime[1] / shedding.offered[1]).To(BeNumerically(">", 0.4))
}

// The urgent load alone exceeds the capacity. Bulk requests keep their exempt share.
func TestUrgentOverloadDoesNotStarveBulk(t *testing.T) {
	g := NewWithT(t)
	shedding := simulate(1.3, 0.3, 14*time.Second, true)
	g.Expect(1 - shedding.refusedShare(1)).To(BeNumerically(">", exemptShare/2))
	g.Expect(shedding.refusedShare(1)).To(BeNumerically(">", shedding.refusedShare(0)))
}

// Under a constant shortage the bound converges instead of alternating between closed and open.
func TestBoundDoesNotOscillate(t *testing.T) {
	g := NewWithT(t)
	shedding := simulate(0.7, 0.7, 30*time.Second, true)
	settled := shedding.bulkFactors[len(shedding.bulkFactors)/2:]
	var lowest, highest, swings = 1.0, 0.0, 0
	rising := false
	extremum := settled[0]
	for _, bound := range settled {
		if bound == 1 {
			continue // exempt from tightening
		}
		lowest, highest = min(lowest, bound), max(highest, bound)
		switch {
		case rising && bound < extremum/1.5, !rising && bound > extremum*1.5:
			rising, extremum = !rising, bound
			swings++
		case rising:
			extremum = max(extremum, bound)
		default:
			extremum = min(extremum, bound)
		}
	}
	t.Logf("factors from %.2f to %.2f, %d swings by a factor of 1.5 in 15 s", lowest, highest, swings)
	g.Expect(swings).To(BeNumerically("<=", 15))
	g.Expect(highest).To(BeNumerically("<", 0.6))
}
