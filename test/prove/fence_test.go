package prove

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
)

// readLease returns the controller lease and its version, or zero values if it cannot be
// read.
func readLease(c *cluster.Cluster) (v1.LeaseSpec, uint64) {
	object, err := c.Client.Get(context.Background(), v1.Key{Kind: v1.KindLease, Name: "controller"})
	if err != nil {
		return v1.LeaseSpec{}, 0
	}
	var spec v1.LeaseSpec
	if json.Unmarshal(object.Spec, &spec) != nil {
		return v1.LeaseSpec{}, 0
	}
	return spec, object.Version
}

func findRouter(c *cluster.Cluster, name string) *cluster.Router {
	for _, router := range c.Routers {
		if router.Name == name {
			return router
		}
	}
	return nil
}

// countServing returns how many runners serve a weight version, as the first router sees them.
func countServing(c *cluster.Cluster, version string) int {
	count := 0
	status := c.Status(0)
	if status == nil {
		return 0
	}
	for _, runner := range status.Runners {
		if runner.WeightVersion == version && runner.State == "serving" {
			count++
		}
	}
	return count
}

var _ = Describe(promises[6], func() {
	It("is not disturbed by a resumed lease holder whose lease has expired", func() {
		c := startCluster(cluster.Settings{Routers: 4, Engines: 4, PlatformSettings: platformserver.Settings{LoadTime: 300 * time.Millisecond, ConcurrentLoads: 2}})
		await("a lease is held", func() bool { spec, _ := readLease(c); return spec.Holder != "" })
		oldLease, _ := readLease(c)
		frozenRouter := findRouter(c, oldLease.Holder)
		frozenRouter.Pause()
		await("another node holds the lease", func() bool {
			currentLease, _ := readLease(c)
			return currentLease.Holder != oldLease.Holder && currentLease.Term > oldLease.Term
		})
		_, err := c.Write(v1.KindModel, cluster.Model, &v1.ModelSpec{Pool: cluster.Pool, WeightVersion: "v2"})
		Expect(err).NotTo(HaveOccurred())
		await("the new weights are served", func() bool {
			for i, router := range c.Routers {
				if router != frozenRouter && c.Status(i) != nil {
					count := 0
					for _, runner := range c.Status(i).Runners {
						if runner.WeightVersion == "v2" {
							count++
						}
					}
					return count == len(c.Engines)
				}
			}
			return false
		})
		frozenRouter.Resume()
		await("the resumed router has caught up", func() bool { return c.Ready() })
		Consistently(func() int { return countServing(c, "v2") }).WithTimeout(time.Second).Should(Equal(len(c.Engines)))
	})

	It("has engines refuse an order with an older token", func() {
		c := startCluster(cluster.Settings{Routers: 1, Engines: 1})
		client := engineapi.NewClient()
		Expect(client.Order(context.Background(), c.Engines[0].Address, &engineapi.Order{Token: 1 << 40, Kind: engineapi.OrderSetRole, Role: "serve"})).To(Succeed())
		err := client.Order(context.Background(), c.Engines[0].Address, &engineapi.Order{Token: 1<<40 - 1, Kind: engineapi.OrderSetRole, Role: "standby"})
		var refusedErr *engineapi.RefusedError
		Expect(errors.As(err, &refusedErr)).To(BeTrue())
		Expect(refusedErr.Refusal.Code).To(Equal(engineapi.CodeStaleToken))
		Expect(refusedErr.Refusal.Token).To(Equal(uint64(1 << 40)))
	})

	It("keeps loads and serving runners within the pool's limits", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 6, PlatformSettings: platformserver.Settings{LoadTime: 300 * time.Millisecond, ConcurrentLoads: 2}})
		generator := startTraffic(c, 8, func(i int) int { return i % 3 })
		_, err := c.Write(v1.KindModel, cluster.Model, &v1.ModelSpec{Pool: cluster.Pool, WeightVersion: "v2"})
		Expect(err).NotTo(HaveOccurred())
		minServing := len(c.Engines)
		await("the new weights are served", func() bool {
			serving := countServing(c, "v1") + countServing(c, "v2")
			if serving > 0 {
				minServing = min(minServing, serving)
			}
			return countServing(c, "v2") == len(c.Engines)
		})
		calls, outcomes := generator.finish()
		expectAllExact(calls, outcomes)
		Expect(c.Platform.MaxActiveLoads()).To(BeNumerically("<=", 2))
		Expect(minServing).To(BeNumerically(">=", 3), "half of the runners of the pool must keep serving")
	})
})
