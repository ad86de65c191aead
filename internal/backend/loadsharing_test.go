package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/placement"
)

// The simulated load is that of a busy but undisturbed day of a fleet of 90 runners: 430
// prompts per second with a mean of 2,400 tokens to prefill, a few of them very long. This
// is 30% of the prefill capacity, so a request waits only when it collides with another
// one. The figures come from the catch-up service: a third of its requests have 2,890
// unique tokens and some shared ones, two thirds have 628, with tails up to 39,600.
const (
	simulatedRunners  = 90
	promptRate        = 430.0 // prompts per second
	meanPromptTokens  = 2400.0
	maxPromptTokens   = 39600.0
	simulatedDuration = 20 * time.Second
)

// scheduler is a router that places requests, with the sends that it knows of.
type scheduler struct {
	set  *Set
	name string
}

// event is an action at a point of the simulated time.
type event struct {
	at     time.Time
	action func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulateLoad runs the load with the given number of placing routers. Each knows its own
// placements at once and those of the others after each shareInterval, or never if it is 0.
// It returns the given quantile of the time that prompts wait for others.
func simulateLoad(schedulers int, shareInterval time.Duration, quantile float64) time.Duration {
	random := rand.New(rand.NewPCG(5, 6))
	var routers []scheduler
	for i := range schedulers {
		set := NewSet("z")
		for r := range simulatedRunners {
			set.Put(Runner{ID: fmt.Sprintf("i-%02d", r), Service: "s", Slots: 16, Zone: "z"})
		}
		routers = append(routers, scheduler{set: set, name: fmt.Sprintf("r%d", i)})
	}
	freeAt := map[string]time.Time{}
	var waits []time.Duration
	queue := &eventQueue{}
	end := start.Add(simulatedDuration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		router := routers[random.IntN(len(routers))]
		tokens := min(random.ExpFloat64()*random.ExpFloat64()*meanPromptTokens, maxPromptTokens)
		request, candidates := router.set.Candidates(now, Query{Service: "s"})
		request.PromptTokens = int(tokens)
		chosen := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random).Candidate.Name
		send := router.set.Begin(now, chosen, int(tokens))
		startsAt := now
		if freeAt[chosen].After(now) {
			startsAt = freeAt[chosen]
		}
		waits = append(waits, startsAt.Sub(now))
		freeAt[chosen] = startsAt.Add(assumedPrefillTime(int(tokens)))
		heap.Push(queue, event{freeAt[chosen], func(now time.Time) {
			router.set.FirstResponse(now, send)
			router.set.End(now, send, Succeeded)
		}})
		if next := now.Add(time.Duration(random.ExpFloat64() / promptRate * float64(time.Second))); next.Before(end) {
			heap.Push(queue, event{next, arrive})
		}
	}
	heap.Push(queue, event{start, arrive})
	if shareInterval > 0 {
		for at := start; at.Before(end); at = at.Add(shareInterval) {
			heap.Push(queue, event{at, func(now time.Time) {
				for _, from := range routers {
					for _, to := range routers {
						if from.name != to.name {
							to.set.SetPeerLoads(now, from.name, true, from.set.Loads())
						}
					}
				}
			}})
		}
	}
	for queue.Len() > 0 {
		next := heap.Pop(queue).(event)
		next.action(next.at)
	}
	slices.Sort(waits)
	return waits[int(quantile*float64(len(waits)))]
}

func TestSharedLoadsKeepWaitsNearSingleScheduler(t *testing.T) {
	g := NewWithT(t)
	const quantile = 0.99
	single := simulateLoad(1, 0, quantile)
	sharing := simulateLoad(3, 5*time.Millisecond, quantile)
	slowerSharing := simulateLoad(3, 50*time.Millisecond, quantile)
	unshared := simulateLoad(79, 0, quantile)
	t.Logf("99th percentile wait: one router %v, three sharing loads every 5 ms %v, every 50 ms %v, 79 without sharing %v", single, sharing, slowerSharing, unshared)
	g.Expect(sharing).To(BeNumerically("<=", single+10*time.Millisecond))
	g.Expect(slowerSharing).To(And(BeNumerically(">", sharing), BeNumerically("<", unshared)), "less frequent sharing is worse, but better than none")
	g.Expect(unshared).To(BeNumerically(">=", single+50*time.Millisecond), "the load must be sensitive to missing peer loads")
}
