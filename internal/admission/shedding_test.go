package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const target = 600 * time.Millisecond

// drawBounds draws 10,000 bounds of the rank.
func drawBounds(rank Rank) (lowest, highest, mean time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	lowest = time.Hour
	const draws = 10000
	for range draws {
		bound := DrawMaxQueue(target, rank, random)
		lowest, highest, mean = min(lowest, bound), max(highest, bound), mean+bound/draws
	}
	return lowest, highest, mean
}

func TestMaxQueueIsDrawnAroundTarget(t *testing.T) {
	g := NewWithT(t)
	lowest, highest, _ := drawBounds(Rank{})
	g.Expect(lowest).To(BeNumerically("~", 240*time.Millisecond, 5*time.Millisecond))
	g.Expect(highest).To(BeNumerically("~", 720*time.Millisecond, 5*time.Millisecond))
	g.Expect(DrawMaxQueue(0, Rank{}, rand.New(rand.NewPCG(1, 2)))).To(BeZero(), "no target sets no bound")
}

func TestHigherRanksHaveLongerBounds(t *testing.T) {
	g := NewWithT(t)
	_, _, first := drawBounds(Rank{})
	_, _, secondRoute := drawBounds(Rank{Route: 1})
	_, _, secondTier := drawBounds(Rank{Tier: 1})
	g.Expect(secondRoute).To(BeNumerically("<", first))
	g.Expect(secondTier).To(BeNumerically("<", secondRoute), "tiers differ more than routes because tenants pay for them")
}

// slotReleases is a heap of the times at which slots become free.
type slotReleases []time.Duration

func (d slotReleases) Len() int           { return len(d) }
func (d slotReleases) Less(i, j int) bool { return d[i] < d[j] }
func (d slotReleases) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *slotReleases) Push(x any)        { *d = append(*d, x.(time.Duration)) }
func (d *slotReleases) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// tierOutcome counts the requests of one tier.
type tierOutcome struct{ offered, inTime, late, refused int }

func (o tierOutcome) servedShare() float64 { return float64(o.inTime+o.late) / float64(o.offered) }

// simulateOverload simulates the loss of a quarter of a fleet at its daily peak. Of 90 runners
// with 16 slots each, 67 are left. Streams occupy a slot for 1.9 s on average, and 680 streams
// arrive per second for 10 s, a fifth more than the remaining runners can serve. Half of the
// requests belong to each of two tiers. The figures are those of the catch-up service.
func simulateOverload(bounded bool) (tiers [2]tierOutcome, queueAtEnd time.Duration) {
	const slots, rate, holdTime, duration = 67 * 16, 680.0, 1900 * time.Millisecond, 10 * time.Second
	random := rand.New(rand.NewPCG(3, 4))
	releases := &slotReleases{}
	for range slots {
		*releases = append(*releases, time.Duration(random.Float64()*float64(holdTime)))
	}
	heap.Init(releases)
	queue := time.Duration(0)
	for now := time.Duration(0); now < duration; now += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		tier := random.IntN(2)
		tiers[tier].offered++
		queue = max((*releases)[0]-now, 0)
		if bounded && queue > DrawMaxQueue(target, Rank{Tier: tier}, random) {
			tiers[tier].refused++
			continue
		}
		heap.Pop(releases)
		heap.Push(releases, now+queue+time.Duration(random.ExpFloat64()*float64(holdTime)))
		if queue <= target {
			tiers[tier].inTime++
		} else {
			tiers[tier].late++
		}
	}
	return tiers, queue
}

func TestRefusingSurplusKeepsOtherRequestsInTime(t *testing.T) {
	g := NewWithT(t)
	unbounded, unboundedQueue := simulateOverload(false)
	bounded, boundedQueue := simulateOverload(true)
	t.Logf("without bound %+v, queue %v; with bound %+v, queue %v", unbounded, unboundedQueue, bounded, boundedQueue)
	inTime := func(tiers [2]tierOutcome) int { return tiers[0].inTime + tiers[1].inTime }
	g.Expect(inTime(bounded)).To(BeNumerically(">", inTime(unbounded)*4/3))
	g.Expect(unboundedQueue).To(BeNumerically(">", 2*target))
	g.Expect(boundedQueue).To(BeNumerically("<", target))
	g.Expect(bounded[0].servedShare()).To(BeNumerically(">", bounded[1].servedShare()+0.1), "the higher tier is served first")
	g.Expect(bounded[1].servedShare()).To(BeNumerically(">", 0.4), "the lower tier is not starved")
}
