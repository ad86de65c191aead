package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/cluster"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// maxPropagationTime is the maximum time from an accepted change until all routers apply it.
const maxPropagationTime = 13 * time.Second

// revisionMonitor polls the configuration revisions of all routers and records each time that a
// revision decreases while a router runs.
type revisionMonitor struct {
	stop       chan struct{}
	done       chan struct{}
	violations []string
}

func monitorRevisions(c *cluster.Cluster) *revisionMonitor {
	r := &revisionMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		highest := make([]uint64, len(c.Routers))
		incarnations := make([]uint64, len(c.Routers))
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i := range c.Routers {
				status := c.Status(i)
				if status == nil {
					continue
				}
				if status.Incarnation != incarnations[i] {
					incarnations[i], highest[i] = status.Incarnation, 0
				}
				if status.Revision < highest[i] {
					r.violations = append(r.violations, fmt.Sprintf("router %d went back from %d to %d", i, highest[i], status.Revision))
				}
				highest[i] = max(highest[i], status.Revision)
			}
		}
	}()
	return r
}

// expectNoRollback stops the monitor and expects that no revision has decreased.
func (r *revisionMonitor) expectNoRollback() {
	GinkgoHelper()
	close(r.stop)
	<-r.done
	Expect(r.violations).To(BeEmpty())
}

// writePool writes the pool with a new hit weight and returns its version.
func writePool(c *cluster.Cluster, weight float64) uint64 {
	GinkgoHelper()
	stored, err := c.Write(v1.KindPool, cluster.Pool, &v1.PoolSpec{MaxLoading: 2, HitWeight: weight})
	Expect(err).NotTo(HaveOccurred())
	return stored.Version
}

// awaitRevision waits until the routers, or all routers if none are given, are at least at the
// revision, and returns how long that took.
func awaitRevision(c *cluster.Cluster, revision uint64, routers ...int) time.Duration {
	GinkgoHelper()
	startedAt := time.Now()
	if len(routers) == 0 {
		for i := range c.Routers {
			routers = append(routers, i)
		}
	}
	await(fmt.Sprintf("revision %d is in force", revision), func() bool {
		for _, i := range routers {
			if status := c.Status(i); status == nil || status.Revision < revision {
				return false
			}
		}
		return true
	})
	return time.Since(startedAt)
}

var _ = Describe(promises[5], func() {
	It("is in force everywhere within seconds, also when watchers are killed", func() {
		c := startCluster(cluster.Settings{Routers: 6, Engines: 1})
		monitor := monitorRevisions(c)
		var times []time.Duration
		for i := range 20 {
			times = append(times, awaitRevision(c, writePool(c, 1+float64(i)/100)))
		}
		slices.Sort(times)
		GinkgoWriter.Printf("in force everywhere: p50 %s, worst of 20 %s, %d watches\n", times[10], times[19], c.Platform.Counters().Watches)
		Expect(times[19]).To(BeNumerically("<", maxPropagationTime))
		for _, killedRouter := range []int{0, 1, 2} {
			c.Routers[killedRouter].Kill()
			survivors := []int{}
			for i := range c.Routers {
				if i != killedRouter {
					survivors = append(survivors, i)
				}
			}
			Expect(awaitRevision(c, writePool(c, 2+float64(killedRouter)/100), survivors...)).To(BeNumerically("<", maxPropagationTime))
			Expect(c.Routers[killedRouter].Start()).To(Succeed())
		}
		awaitRevision(c, writePool(c, 3))
		monitor.expectNoRollback()
	})

	It("reaches a zone that was cut off once it heals, and never reverts there", func() {
		c := startCluster(cluster.Settings{Routers: 6, Engines: 1})
		monitor := monitorRevisions(c)
		Expect(c.Partition(2, 5)).To(Succeed())
		awaitRevision(c, writePool(c, 1.5))
		Expect(c.Partition()).To(Succeed())
		awaitRevision(c, writePool(c, 1.6))
		monitor.expectNoRollback()
	})

	It("ignores a platform that serves an older state", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 1})
		// The platform will serve the state at this revision, although it has accepted a later
		// change.
		staleRevision := c.Status(0).Revision
		version := writePool(c, 1.7)
		awaitRevision(c, version)
		Expect(version).To(BeNumerically(">", staleRevision))
		monitor := monitorRevisions(c)
		c.Platform.SetFaults(platformserver.Faults{Stale: true, StaleRevision: staleRevision})
		for _, router := range c.Routers {
			router.Kill()
			Expect(router.Start()).To(Succeed())
			awaitRevision(c, version)
		}
		monitor.expectNoRollback()
	})

	It("accepts one of two concurrent writes to each version, and reports a conflict to the other", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 1})
		key := v1.Key{Kind: v1.KindPool, Name: cluster.Pool}
		for round := range 10 {
			current, err := c.Client.Get(context.Background(), key)
			Expect(err).NotTo(HaveOccurred())
			errs := make([]error, 2)
			var group sync.WaitGroup
			for writer := range 2 {
				group.Add(1)
				go func() {
					defer group.Done()
					spec, _ := json.Marshal(v1.PoolSpec{MaxLoading: 2, HitWeight: float64(writer+1) + float64(round)/100, AnchorStride: 1, BlockBytes: 64, MinServingPercent: 50})
					_, errs[writer] = c.Client.PutWithReadBack(context.Background(), v1.Object{Kind: key.Kind, Name: key.Name, Version: current.Version, Spec: spec})
				}()
			}
			group.Wait()
			Expect(errs).To(ConsistOf(BeNil(), MatchError(platform.ErrConflict)))
		}
	})

	It("resolves a lost answer by reading back, and does not write twice", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 1})
		key := v1.Key{Kind: v1.KindPool, Name: cluster.Pool}
		current, err := c.Client.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		c.Platform.SetFaults(platformserver.Faults{LoseResponses: 1})
		stored, err := c.Write(v1.KindPool, cluster.Pool, &v1.PoolSpec{MaxLoading: 1, HitWeight: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(BeNumerically(">", current.Version))
		awaitRevision(c, stored.Version)
		reread, err := c.Client.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(reread.Version).To(Equal(stored.Version))
	})

	It("stays in force while the platform is down, also on a restarted router", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 1})
		version := writePool(c, 1.8)
		awaitRevision(c, version)
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		c.Routers[0].Kill()
		Expect(c.Routers[0].Start()).To(Succeed())
		awaitRevision(c, version)
	})

	It("reports back which version is in force", func() {
		c := startCluster(cluster.Settings{Routers: 3, Engines: 1})
		version := writePool(c, 1.9)
		await("the status reports the version in force", func() bool {
			object, err := c.Client.Get(context.Background(), v1.Key{Kind: v1.KindPool, Name: cluster.Pool})
			if err != nil || object.Status == nil || object.Status.ObservedVersion != version {
				return false
			}
			return slices.Contains(object.Status.Conditions, v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionTrue, Reason: "AllRouters"})
		})
	})
})
