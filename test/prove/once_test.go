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

// expectAtMostOnce checks that each call ran at most once and that its outcome is truthful.
func expectAtMostOnce(c *cluster.Cluster, calls []cluster.Call, outcomes []cluster.Outcome) {
	GinkgoHelper()
	for i, call := range calls {
		expectTruthfulOutcome(c, call, outcomes[i])
		Expect(c.RunCount(call.Prompt)).To(BeNumerically("<=", 1), "runs of call %d", i)
	}
}

var _ = Describe(promises[0], func() {
	It("runs duplicates sent to all routers at once a single time", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		originals := newUnrepeatableCalls(30)
		var calls []cluster.Call
		for _, call := range originals {
			calls = append(calls, call, call, call)
		}
		outcomes := doConcurrently(c, calls, func(i int) int { return i % 3 })
		expectAtMostOnce(c, calls, outcomes)
		completed := 0
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
			completed += wins
		}
		// Three concurrent duplicates may each claim the key at one holder, so that none has a
		// majority. At least half of the calls must be won nevertheless.
		Expect(completed).To(BeNumerically(">=", 15))
	})

	It("determines the outcome of a request whose response from the engine was lost", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{LoseResponses: 10})).To(Succeed())
		}
		calls := newUnrepeatableCalls(20)
		outcomes := doConcurrently(c, calls, func(i int) int { return i % 3 })
		expectAtMostOnce(c, calls, outcomes)
		for i, outcome := range outcomes {
			Expect(outcome.Complete()).To(BeTrue(), "call %d: %s %s", i, outcome.Code, outcome.RunState)
		}
	})

	It("does not run an unrepeatable request again when its engine is killed", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		calls := newUnrepeatableCalls(40)
		var outcomes []cluster.Outcome
		done := make(chan struct{})
		go func() {
			outcomes = doConcurrently(c, calls, func(i int) int { return i % 3 })
			close(done)
		}()
		await("an unrepeatable request has begun", func() bool { return len(c.Platform.RunCounts()) > 0 })
		c.Engines[0].Kill()
		<-done
		expectAtMostOnce(c, calls, outcomes)
		completed := 0
		for _, outcome := range outcomes {
			if outcome.Complete() {
				completed++
			}
		}
		Expect(completed).To(BeNumerically(">", 0))
	})

	It("keeps the promise when a router is killed between claim and answer", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		calls := newUnrepeatableCalls(30)
		firstOutcomes := make([]cluster.Outcome, len(calls))
		var group sync.WaitGroup
		for i, call := range calls {
			group.Add(1)
			go func() {
				defer group.Done()
				firstOutcomes[i] = c.Do(context.Background(), 0, call)
			}()
		}
		await("an unrepeatable request has begun", func() bool { return len(c.Platform.RunCounts()) > 0 })
		c.Routers[0].Kill()
		group.Wait()
		secondOutcomes := doConcurrently(c, calls, func(i int) int { return 1 + i%2 })
		expectAtMostOnce(c, calls, firstOutcomes)
		expectAtMostOnce(c, calls, secondOutcomes)
	})

	It("keeps the promise when all routers restart, and takes new keys again", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		calls := newUnrepeatableCalls(20)
		expectAtMostOnce(c, calls, doConcurrently(c, calls, func(i int) int { return i % 3 }))
		for _, router := range c.Routers {
			router.Kill()
		}
		for _, router := range c.Routers {
			Expect(router.Start()).To(Succeed())
		}
		await("the routers serve", c.Ready)
		repeatedOutcomes := doConcurrently(c, calls, func(i int) int { return i % 3 })
		expectAtMostOnce(c, calls, repeatedOutcomes)
		for _, outcome := range repeatedOutcomes {
			Expect(outcome.RunState).To(Equal("unknown"))
		}
		await("a new key is accepted", func() bool {
			call := newUnrepeatableCalls(1)[0]
			outcome := c.Do(context.Background(), 0, call)
			expectAtMostOnce(c, []cluster.Call{call}, []cluster.Outcome{outcome})
			return cluster.HasExpectedText(call, outcome)
		})
	})

	It("refuses unrepeatable requests on the minority side of a partition and serves them on the other", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		Expect(c.Partition(2)).To(Succeed())
		calls := newUnrepeatableCalls(10)
		isolatedOutcomes := doConcurrently(c, calls, func(int) int { return 2 })
		for _, outcome := range isolatedOutcomes {
			Expect(outcome.Complete()).To(BeFalse())
			Expect(outcome.RunState).To(Equal("unknown"))
			Expect(outcome.RetryAfter).NotTo(BeEmpty())
		}
		expectAtMostOnce(c, calls, isolatedOutcomes)
		freshCalls := newUnrepeatableCalls(10)
		outcomes := doConcurrently(c, freshCalls, func(i int) int { return i % 2 })
		expectAtMostOnce(c, freshCalls, outcomes)
		for i, outcome := range outcomes {
			Expect(cluster.HasExpectedText(freshCalls[i], outcome)).To(BeTrue(), "%s %s", outcome.Code, outcome.RunState)
		}
		Expect(c.Partition()).To(Succeed())
		await("the cut-off router accepts new keys", func() bool {
			call := newUnrepeatableCalls(1)[0]
			return cluster.HasExpectedText(call, c.Do(context.Background(), 2, call))
		})
	})

	It("answers delayed duplicates at once and never runs them", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 2})
		calls := newUnrepeatableCalls(5)
		expectAtMostOnce(c, calls, doConcurrently(c, calls, func(i int) int { return i % 3 }))
		for i, call := range calls {
			outcome := c.Do(context.Background(), (i+1)%3, call)
			Expect(outcome.Status).To(Equal(409))
			Expect(outcome.RunState).To(Equal("unknown"))
			Expect(outcome.Elapsed).To(BeNumerically("<", time.Second))
		}
		expectAtMostOnce(c, calls, make([]cluster.Outcome, len(calls)))
	})

	It("keeps the promise while claim holders change one after another", func() {
		c := startCluster(cluster.Settings{Routers: 5, Engines: 3})
		stop := make(chan struct{})
		var calls []cluster.Call
		var outcomes []cluster.Outcome
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				select {
				case <-stop:
					return
				default:
				}
				batch := newUnrepeatableCalls(3)
				duplicates := append(append([]cluster.Call{}, batch...), batch...)
				calls = append(calls, duplicates...)
				outcomes = append(outcomes, doConcurrently(c, duplicates, func(i int) int { return i % 2 })...)
			}
		}()
		for _, killedRouter := range []int{2, 3, 4} {
			assignmentBefore := c.Status(0).Assignment
			c.Routers[killedRouter].Kill()
			Expect(c.Routers[killedRouter].Start()).To(Succeed())
			await("the routers are ready", c.Ready)
			Expect(c.Status(0).Assignment).To(BeNumerically(">=", assignmentBefore))
			await("a new key that two routers receive at the same time is accepted", func() bool {
				call := newUnrepeatableCalls(1)[0]
				pair := []cluster.Call{call, call}
				pairOutcomes := doConcurrently(c, pair, func(i int) int { return i })
				expectAtMostOnce(c, pair, pairOutcomes)
				return pairOutcomes[0].Complete() || pairOutcomes[1].Complete()
			})
		}
		close(stop)
		<-done
		expectAtMostOnce(c, calls, outcomes)
		completed := 0
		for _, outcome := range outcomes {
			if outcome.Complete() {
				completed++
			}
		}
		// While a claim holder is down, concurrent duplicates may each claim the key at one of the
		// other holders, so that none has a majority. So none of these calls has to complete.
		AddReportEntry("unrepeatable requests", fmt.Sprintf("%d sent twice, %d complete", len(calls)/2, completed))
	})
})
