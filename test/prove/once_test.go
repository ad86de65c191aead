package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
)

// expectAtMostOnce checks every outcome of an unrepeatable call.
func expectAtMostOnce(c *cluster.Cluster, made []cluster.Call, outcomes []cluster.Outcome) {
	GinkgoHelper()
	for i, call := range made {
		expectTruth(c, call, outcomes[i])
		Expect(c.RunCount(call.Prompt)).To(BeNumerically("<=", 1), "runs of call %d", i)
	}
}

var _ = Describe(promises[0], func() {
	It("runs duplicates sent to all routers at once a single time", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		originals := holds(30)
		var made []cluster.Call
		for _, call := range originals {
			made = append(made, call, call, call)
		}
		outcomes := each(c, made, func(i int) int { return i % 3 })
		expectAtMostOnce(c, made, outcomes)
		complete := 0
		for i := range originals {
			wins := 0
			for _, outcome := range outcomes[3*i : 3*i+3] {
				if outcome.Complete() {
					wins++
				} else {
					Expect(outcome.RunState).To(Equal("unknown"))
				}
			}
			Expect(wins).To(BeNumerically("<=", 1))
			complete += wins
		}
		// Three that race may each get one holder and none a majority; that must
		// stay the exception.
		Expect(complete).To(BeNumerically(">=", 15))
	})

	It("finds out what became of a request whose engine's answer was lost", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{LoseResponses: 10})).To(Succeed())
		}
		made := holds(20)
		outcomes := each(c, made, func(i int) int { return i % 3 })
		expectAtMostOnce(c, made, outcomes)
		for i, outcome := range outcomes {
			Expect(outcome.Complete()).To(BeTrue(), "call %d: %s %s", i, outcome.Code, outcome.RunState)
		}
	})

	It("does not run a hold again when its engine is killed", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		made := holds(40)
		var outcomes []cluster.Outcome
		finished := make(chan struct{})
		go func() {
			outcomes = each(c, made, func(i int) int { return i % 3 })
			close(finished)
		}()
		await("a hold has begun", func() bool { return len(c.Platform.RunCounts()) > 0 })
		c.Engines[0].Kill()
		<-finished
		expectAtMostOnce(c, made, outcomes)
		complete := 0
		for _, outcome := range outcomes {
			if outcome.Complete() {
				complete++
			}
		}
		Expect(complete).To(BeNumerically(">", 0))
	})

	It("keeps the promise when a router is killed between claim and answer", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		made := holds(30)
		first := make([]cluster.Outcome, len(made))
		var group sync.WaitGroup
		for i, call := range made {
			group.Add(1)
			go func() {
				defer group.Done()
				first[i] = c.Do(context.Background(), 0, call)
			}()
		}
		await("a hold has begun", func() bool { return len(c.Platform.RunCounts()) > 0 })
		c.Routers[0].Kill()
		group.Wait()
		second := each(c, made, func(i int) int { return 1 + i%2 })
		expectAtMostOnce(c, made, first)
		expectAtMostOnce(c, made, second)
	})

	It("keeps the promise when all routers restart, and takes new keys again", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		made := holds(20)
		expectAtMostOnce(c, made, each(c, made, func(i int) int { return i % 3 }))
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		await("the routers serve", c.Ready)
		again := each(c, made, func(i int) int { return i % 3 })
		expectAtMostOnce(c, made, again)
		for _, outcome := range again {
			Expect(outcome.RunState).To(Equal("unknown"))
		}
		await("a new key is taken", func() bool {
			call := holds(1)[0]
			outcome := c.Do(context.Background(), 0, call)
			expectAtMostOnce(c, []cluster.Call{call}, []cluster.Outcome{outcome})
			return cluster.HasExpectedText(call, outcome)
		})
	})

	It("refuses honestly on the cut-off side and serves on the other", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		Expect(c.Partition(2)).To(Succeed())
		made := holds(10)
		alone := each(c, made, func(int) int { return 2 })
		for _, outcome := range alone {
			Expect(outcome.Complete()).To(BeFalse())
			Expect(outcome.RunState).To(Equal("unknown"))
			Expect(outcome.RetryAfter).NotTo(BeEmpty())
		}
		expectAtMostOnce(c, made, alone)
		fresh := holds(10)
		outcomes := each(c, fresh, func(i int) int { return i % 2 })
		expectAtMostOnce(c, fresh, outcomes)
		for i, outcome := range outcomes {
			Expect(cluster.HasExpectedText(fresh[i], outcome)).To(BeTrue(), "%s %s", outcome.Code, outcome.RunState)
		}
		Expect(c.Partition()).To(Succeed())
		await("the cut-off router takes new keys", func() bool {
			call := holds(1)[0]
			return cluster.HasExpectedText(call, c.Do(context.Background(), 2, call))
		})
	})

	It("answers delayed duplicates at once and never runs them", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 2})
		made := holds(5)
		expectAtMostOnce(c, made, each(c, made, func(i int) int { return i % 3 }))
		for i, call := range made {
			outcome := c.Do(context.Background(), (i+1)%3, call)
			Expect(outcome.Status).To(Equal(409))
			Expect(outcome.RunState).To(Equal("unknown"))
			Expect(outcome.Elapsed).To(BeNumerically("<", time.Second))
		}
		expectAtMostOnce(c, made, make([]cluster.Outcome, len(made)))
	})

	It("keeps the promise while claim holders change one after another", func() {
		c := start(cluster.Settings{Routers: 5, Engines: 3})
		stop := make(chan struct{})
		var made []cluster.Call
		var outcomes []cluster.Outcome
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			for {
				select {
				case <-stop:
					return
				default:
				}
				batch := holds(3)
				doubled := append(append([]cluster.Call{}, batch...), batch...)
				made = append(made, doubled...)
				outcomes = append(outcomes, each(c, doubled, func(i int) int { return i % 2 })...)
			}
		}()
		for _, victim := range []int{2, 3, 4} {
			number := c.Status(0).Assignment
			c.Routers[victim].Kill()
			Expect(c.Routers[victim].Start()).To(Succeed())
			await("the routers are whole", c.Ready)
			Expect(c.Status(0).Assignment).To(BeNumerically(">=", number))
			await("a new key that two routers get at once is taken", func() bool {
				call := holds(1)[0]
				pair := []cluster.Call{call, call}
				taken := each(c, pair, func(i int) int { return i })
				expectAtMostOnce(c, pair, taken)
				return taken[0].Complete() || taken[1].Complete()
			})
		}
		close(stop)
		<-finished
		expectAtMostOnce(c, made, outcomes)
		complete := 0
		for _, outcome := range outcomes {
			if outcome.Complete() {
				complete++
			}
		}
		// Duplicates that race while a holder is gone may each get one of the others and none a
		// majority, so none of these need be complete.
		AddReportEntry("holds", fmt.Sprintf("%d sent twice, %d complete", len(made)/2, complete))
	})
})
