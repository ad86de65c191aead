package prove

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
)

// expectAllExact expects that every call has a complete response with the expected text.
func expectAllExact(calls []cluster.Call, outcomes []cluster.Outcome) {
	GinkgoHelper()
	for i, outcome := range outcomes {
		Expect(outcome.Err).NotTo(HaveOccurred())
		Expect(outcome.Complete()).To(BeTrue(), "call %d: status %d %s %s after %d chunks", i, outcome.Status, outcome.Code, outcome.RunState, outcome.Completion.Chunks)
		Expect(outcome.Completion.Text).To(Equal(cluster.ExpectedText(calls[i], outcome.Completion.WeightVersion)))
	}
}

var _ = Describe(promises[1], func() {
	It("passes on only the frames of its own request, attempt and offset", func() {
		c := startCluster(cluster.Settings{Routers: 2, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{InjectWrongFrames: true})).To(Succeed())
		}
		calls := newCalls(40)
		expectAllExact(calls, doConcurrently(c, calls, func(i int) int { return i % 2 }))
	})

	It("resumes streams that are cut in the middle", func() {
		c := startCluster(cluster.Settings{Routers: 2, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{CutStreams: 30, InjectWrongFrames: true})).To(Succeed())
		}
		calls := newCalls(40)
		expectAllExact(calls, doConcurrently(c, calls, func(i int) int { return i % 2 }))
	})

	It("continues elsewhere when the engine is killed in the middle", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		calls := newCalls(60)
		results := make(chan []cluster.Outcome)
		go func() { results <- doConcurrently(c, calls, func(i int) int { return i % 3 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 20 })
		c.Engines[0].Kill()
		expectAllExact(calls, <-results)
	})

	It("continues elsewhere when the engine freezes, and discards what the engine sends after resuming", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 3})
		calls := newCalls(60)
		results := make(chan []cluster.Outcome)
		go func() { results <- doConcurrently(c, calls, func(i int) int { return i % 3 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 20 })
		c.Engines[1].Pause()
		outcomes := <-results
		c.Engines[1].Resume()
		expectAllExact(calls, outcomes)
		moreCalls := newCalls(20)
		expectAllExact(moreCalls, doConcurrently(c, moreCalls, func(i int) int { return i % 3 }))
	})

	It("cancels the request of a caller that disconnects", func() {
		c := startCluster(cluster.Settings{Routers: 1, Engines: 1})
		call := newCalls(1)[0]
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan cluster.Outcome)
		go func() { result <- c.Do(ctx, 0, call) }()
		await("the request has begun", func() bool { return c.RunCount(call.Prompt) == 1 })
		cancel()
		<-result
		await("the engine is idle", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting == 0
		})
	})
})
