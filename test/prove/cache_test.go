package prove

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
)

var _ = Describe(promises[2], func() {
	ask := func(c *cluster.Cluster, tenant, prompt string) cluster.Outcome {
		GinkgoHelper()
		call := cluster.Call{Tenant: tenant, Prompt: prompt, MaxTokens: 10}
		outcome := c.Do(context.Background(), 0, call)
		Expect(cluster.HasExpectedText(call, outcome)).To(BeTrue(), "%s %s", outcome.Code, outcome.RunState)
		return outcome
	}

	It("shares a prefix within a tenant and never between tenants", func() {
		c := start(cluster.Settings{Routers: 1, Engines: 1})
		Expect(ask(c, "one", shared).Completion.CachedTokens).To(BeZero())
		Expect(ask(c, "one", shared).Completion.CachedTokens).To(BeNumerically(">", 200))
		Expect(ask(c, "two", shared).Completion.CachedTokens).To(BeZero())
	})

	It("uses nothing of an engine that crashed and came back under its address", func() {
		c := start(cluster.Settings{Routers: 1, Engines: 1})
		ask(c, "one", shared)
		before := c.Status(0).Runners[0].Incarnation
		c.Engines[0].Kill()
		Expect(c.Engines[0].Start()).To(Succeed())
		await("the new process is known", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Incarnation > before && status.Runners[0].Connected
		})
		Expect(ask(c, "one", shared).Completion.CachedTokens).To(BeZero())
		// A dispatch that was meant for the process before is refused.
		_, err := engineapi.NewClient().Generate(context.Background(), c.Engines[0].Address, &engineapi.GenerateRequest{
			Request: "late", Attempt: 1, Incarnation: before, Model: cluster.Model, WeightVersion: cluster.InitialWeightVersion, BlockBytes: 64, Prompt: "x", MaxTokens: 1,
		})
		var refused *engineapi.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Refusal.Code).To(Equal(engineapi.CodeIncarnationMismatch))
	})

	It("uses nothing of older weights, also for requests under way at the switch", func() {
		c := start(cluster.Settings{Routers: 2, Engines: 2})
		ask(c, "one", shared)
		made := calls(200)
		finished := make(chan []cluster.Outcome)
		go func() { finished <- each(c, made, func(i int) int { return i % 2 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 10 })
		_, err := c.Write(v1.KindModel, cluster.Model, &v1.ModelSpec{Pool: cluster.Pool, WeightVersion: "v2"})
		Expect(err).NotTo(HaveOccurred())
		expectAllExact(made, <-finished)
		await("all runners have the new weights", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].WeightVersion == "v2" && status.Runners[1].WeightVersion == "v2"
		})
		fresh := shared + "after the switch " + cluster.NewIdempotencyKey()
		outcome := ask(c, "two", fresh)
		Expect(outcome.Completion.WeightVersion).To(Equal("v2"))
		Expect(outcome.Completion.CachedTokens).To(BeZero())
	})

	It("stays right when cache events are lost and late", func() {
		c := start(cluster.Settings{Routers: 2, Engines: 2, CacheBlocks: 64})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{EventLoss: 0.5, EventLagMillis: 200})).To(Succeed())
		}
		for range 3 {
			made := calls(30)
			expectAllExact(made, each(c, made, func(i int) int { return i % 2 }))
		}
	})
})
