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

// The load of a heavy but calm day of a fleet of 90 runners: 430 prompts a second of
// which the runners have to read 2,400 tokens in the mean, a few of them very long.
// They keep up easily (30% of what they can read); a request waits only where it meets
// another one. Figures from the catch-up service: a third of its requests have 2,890
// tokens of their own and some shared ones, two thirds 628, with tails up to 39,600.
const (
	loadRunners  = 90
	loadPrompts  = 430.0 // a second
	loadTokens   = 2400.0
	loadMost     = 39600.0
	loadDuration = 20 * time.Second
)

// scheduler is one router that chooses runners, with the sends it knows of.
type scheduler struct {
	set  *Set
	name string
}

// event is something that happens at a moment of the simulated time.
type event struct {
	at time.Time
	do func(now time.Time)
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

// playLoad plays the load with so many routers that choose, each of which knows its
// own choices at once and those of the others after each share interval, 0 for never.
// It returns the time that the given share of prompts waits for others at most.
func playLoad(schedulers int, sharing time.Duration, quantile float64) time.Duration {
	random := rand.New(rand.NewPCG(5, 6))
	var routers []scheduler
	for i := range schedulers {
		set := NewSet("z")
		for r := range loadRunners {
			set.Put(Runner{ID: fmt.Sprintf("i-%02d", r), Service: "s", Slots: 16, Zone: "z"})
		}
		routers = append(routers, scheduler{set: set, name: fmt.Sprintf("r%d", i)})
	}
	free := map[string]time.Time{}
	var waits []time.Duration
	queue := &eventQueue{}
	end := start.Add(loadDuration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		router := routers[random.IntN(len(routers))]
		tokens := min(random.ExpFloat64()*random.ExpFloat64()*loadTokens, loadMost)
		request, candidates := router.set.Candidates(now, Query{Service: "s"})
		request.PromptTokens = int(tokens)
		chosen := placement.Choose(request, candidates, placement.ScoreWeights{Uncached: 1}, random).Candidate.Name
		send := router.set.Begin(now, chosen, int(tokens))
		begins := now
		if free[chosen].After(now) {
			begins = free[chosen]
		}
		waits = append(waits, begins.Sub(now))
		free[chosen] = begins.Add(readingTime(int(tokens)))
		heap.Push(queue, event{free[chosen], func(now time.Time) {
			router.set.FirstAnswer(now, send)
			router.set.End(now, send, Answered)
		}})
		if next := now.Add(time.Duration(random.ExpFloat64() / loadPrompts * float64(time.Second))); next.Before(end) {
			heap.Push(queue, event{next, arrive})
		}
	}
	heap.Push(queue, event{start, arrive})
	if sharing > 0 {
		for at := start; at.Before(end); at = at.Add(sharing) {
			heap.Push(queue, event{at, func(now time.Time) {
				for _, from := range routers {
					for _, to := range routers {
						if from.name != to.name {
							to.set.SetOtherLoads(now, from.name, true, from.set.Loads())
						}
					}
				}
			}})
		}
	}
	for queue.Len() > 0 {
		next := heap.Pop(queue).(event)
		next.do(next.at)
	}
	slices.Sort(waits)
	return waits[int(quantile*float64(len(waits)))]
}

func TestFewSchedulersThatShareLoadsChooseAsWellAsOne(t *testing.T) {
	g := NewWithT(t)
	const quantile = 0.99
	one := playLoad(1, 0, quantile)
	three := playLoad(3, 5*time.Millisecond, quantile)
	older := playLoad(3, 50*time.Millisecond, quantile)
	blind := playLoad(79, 0, quantile)
	t.Logf("99 in 100 wait at most: one router %v, three that share loads each 5 ms %v, each 50 ms %v, 79 blind ones %v", one, three, older, blind)
	g.Expect(three).To(BeNumerically("<=", one+10*time.Millisecond))
	g.Expect(older).To(And(BeNumerically(">", three), BeNumerically("<", blind)), "older news are worse and better than none")
	g.Expect(blind).To(BeNumerically(">=", one+50*time.Millisecond), "what the load is sensitive to")
}
