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
	// doExact sends a call and expects a complete response with the expected text.
	doExact := func(c *cluster.Cluster, tenant, prompt string) cluster.Outcome {
		GinkgoHelper()
		call := cluster.Call{Tenant: tenant, Prompt: prompt, MaxTokens: 10}
		outcome := c.Do(context.Background(), 0, call)
		Expect(cluster.HasExpectedText(call, outcome)).To(BeTrue(), "%s %s", outcome.Code, outcome.RunState)
		return outcome
	}

	It("shares a prefix within a tenant and never between tenants", func() {
		c := startCluster(cluster.Settings{Routers: 1, Engines: 1})
		Expect(doExact(c, "one", sharedPrefix).Completion.CachedTokens).To(BeZero())
		Expect(doExact(c, "one", sharedPrefix).Completion.CachedTokens).To(BeNumerically(">", 200))
		Expect(doExact(c, "two", sharedPrefix).Completion.CachedTokens).To(BeZero())
	})

	It("uses no cache of an engine that crashed and was restarted at the same address", func() {
		c := startCluster(cluster.Settings{Routers: 1, Engines: 1})
		doExact(c, "one", sharedPrefix)
		oldIncarnation := c.Status(0).Runners[0].Incarnation
		c.Engines[0].Kill()
		Expect(c.Engines[0].Start()).To(Succeed())
		await("the new process is known", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].Incarnation > oldIncarnation && status.Runners[0].Connected
		})
		Expect(doExact(c, "one", sharedPrefix).Completion.CachedTokens).To(BeZero())
		// A request for the old incarnation is refused.
		_, err := engineapi.NewClient().Generate(context.Background(), c.Engines[0].Address, &engineapi.GenerateRequest{
			Request: "late", Attempt: 1, Incarnation: oldIncarnation, Model: cluster.Model, WeightVersion: cluster.InitialWeightVersion, BlockBytes: 64, Prompt: "x", MaxTokens: 1,
		})
		var refusedErr *engineapi.RefusedError
		Expect(errors.As(err, &refusedErr)).To(BeTrue())
		Expect(refusedErr.Refusal.Code).To(Equal(engineapi.CodeIncarnationMismatch))
	})

	It("uses nothing of older weights, also for requests under way at the switch", func() {
		c := startCluster(cluster.Settings{Routers: 2, Engines: 2})
		doExact(c, "one", sharedPrefix)
		calls := newCalls(200)
		results := make(chan []cluster.Outcome)
		go func() { results <- doConcurrently(c, calls, func(i int) int { return i % 2 }) }()
		await("requests have begun", func() bool { return len(c.Platform.RunCounts()) > 10 })
		_, err := c.Write(v1.KindModel, cluster.Model, &v1.ModelSpec{Pool: cluster.Pool, WeightVersion: "v2"})
		Expect(err).NotTo(HaveOccurred())
		expectAllExact(calls, <-results)
		await("all runners have the new weights", func() bool {
			status := c.Status(0)
			return status != nil && status.Runners[0].WeightVersion == "v2" && status.Runners[1].WeightVersion == "v2"
		})
		freshPrompt := sharedPrefix + "after the switch " + cluster.NewIdempotencyKey()
		outcome := doExact(c, "two", freshPrompt)
		Expect(outcome.Completion.WeightVersion).To(Equal("v2"))
		Expect(outcome.Completion.CachedTokens).To(BeZero())
	})

	It("gives correct answers when cache events are lost and late", func() {
		c := startCluster(cluster.Settings{Routers: 2, Engines: 2, CacheBlocks: 64})
		for i := range c.Engines {
			Expect(c.SetEngineFaults(i, engineserver.Faults{EventLoss: 0.5, EventLagMillis: 200})).To(Succeed())
		}
		for range 3 {
			calls := newCalls(30)
			expectAllExact(calls, doConcurrently(c, calls, func(i int) int { return i % 2 }))
		}
	})
})
