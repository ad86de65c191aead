package prove

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
)

func expectAllExact(made []cluster.Call, outcomes []cluster.Outcome) {
	GinkgoHelper()
	for i, outcome := range outcomes {
		Expect(outcome.Err).NotTo(HaveOccurred())
		Expect(outcome.Complete()).To(BeTrue(), "call %d: status %d %s %s after %d chunks", i, outcome.Status, outcome.Code, outcome.RunState, outcome.Completion.Chunks)
		Expect(outcome.Completion.Text).To(Equal(cluster.ExpectedText(made[i], outcome.Completion.WeightVersion)))
	}
}

var _ = Describe(promises[1], func() {
	It("passes on only the frames of its own request, attempt and offset", func() {
		c := start(cluster.Settings{Routers: 2, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{InjectWrongFrames: true})).To(Succeed())
		}
		made := calls(40)
		expectAllExact(made, each(c, made, func(i int) int { return i % 2 }))
	})

	It("resumes streams that are cut in the middle", func() {
		c := start(cluster.Settings{Routers: 2, Engines: 2})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{CutStreams: 30, InjectWrongFrames: true})).To(Succeed())
		}
		made := calls(40)
		expectAllExact(made, each(c, made, func(i int) int { return i % 2 }))
	})

	It("continues elsewhere when the engine is killed in the middle", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		made := calls(60)
		finished := make(chan []cluster.Outcome)
		go func() { finished <- each(c, made, func(i int) int { return i % 3 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 20 })
		c.Engines[0].Kill()
		expectAllExact(made, <-finished)
	})

	It("continues elsewhere when the engine freezes, and drops what it sends when it wakes", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 3})
		made := calls(60)
		finished := make(chan []cluster.Outcome)
		go func() { finished <- each(c, made, func(i int) int { return i % 3 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 20 })
		c.Engines[1].Pause()
		outcomes := <-finished
		c.Engines[1].Resume()
		expectAllExact(made, outcomes)
		more := calls(20)
		expectAllExact(more, each(c, more, func(i int) int { return i % 3 }))
	})

	It("cancels the work of a caller that goes away", func() {
		c := start(cluster.Settings{Routers: 1, Engines: 1})
		call := calls(1)[0]
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan cluster.Outcome)
		go func() { gone <- c.Do(ctx, 0, call) }()
		await("the request has begun", func() bool { return c.RunCount(call.Prompt) == 1 })
		cancel()
		<-gone
		await("the engine is idle", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Running+status.Runners[0].Waiting == 0
		})
	})
})
