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

// inForce is within what time a change must be in force everywhere.
const inForce = 13 * time.Second

// revisions watches all routers and notes any revision that goes back.
type revisions struct {
	stop   chan struct{}
	done   chan struct{}
	faults []string
}

func watchRevisions(c *cluster.Cluster) *revisions {
	r := &revisions{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		highest := make([]uint64, len(c.Routers))
		incarnation := make([]uint64, len(c.Routers))
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
				if status.Incarnation != incarnation[i] {
					incarnation[i], highest[i] = status.Incarnation, 0
				}
				if status.Revision < highest[i] {
					r.faults = append(r.faults, fmt.Sprintf("router %d went back from %d to %d", i, highest[i], status.Revision))
				}
				highest[i] = max(highest[i], status.Revision)
			}
		}
	}()
	return r
}

func (r *revisions) expectNoneWentBack() {
	GinkgoHelper()
	close(r.stop)
	<-r.done
	Expect(r.faults).To(BeEmpty())
}

// change writes a pool setting and returns its version.
func change(c *cluster.Cluster, weight float64) uint64 {
	GinkgoHelper()
	stored, err := c.Write(v1.KindPool, cluster.Pool, &v1.PoolSpec{MaxLoading: 2, HitWeight: weight})
	Expect(err).NotTo(HaveOccurred())
	return stored.Version
}

// everywhere waits until all routers are at the revision and returns the time.
func everywhere(c *cluster.Cluster, revision uint64, routers ...int) time.Duration {
	GinkgoHelper()
	begun := time.Now()
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
	return time.Since(begun)
}

var _ = Describe(promises[5], func() {
	It("is in force everywhere within seconds, also when watchers are killed", func() {
		c := start(cluster.Settings{Routers: 6, Engines: 1})
		watched := watchRevisions(c)
		var times []time.Duration
		for i := range 20 {
			times = append(times, everywhere(c, change(c, 1+float64(i)/100)))
		}
		slices.Sort(times)
		GinkgoWriter.Printf("in force everywhere: p50 %s, worst of 20 %s, %d watches\n", times[10], times[19], c.Platform.Counters().Watches)
		Expect(times[19]).To(BeNumerically("<", inForce))
		for _, victim := range []int{0, 1, 2} {
			c.Routers[victim].Kill()
			survivors := []int{}
			for i := range c.Routers {
				if i != victim {
					survivors = append(survivors, i)
				}
			}
			Expect(everywhere(c, change(c, 2+float64(victim)/100), survivors...)).To(BeNumerically("<", inForce))
			Expect(c.Routers[victim].Start()).To(Succeed())
		}
		everywhere(c, change(c, 3))
		watched.expectNoneWentBack()
	})

	It("reaches a zone that was cut off once it heals, and never reverts there", func() {
		c := start(cluster.Settings{Routers: 6, Engines: 1})
		watched := watchRevisions(c)
		Expect(c.Partition(2, 5)).To(Succeed())
		everywhere(c, change(c, 1.5))
		Expect(c.Partition()).To(Succeed())
		everywhere(c, change(c, 1.6))
		watched.expectNoneWentBack()
	})

	It("ignores a platform that serves an older state", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 1})
		// The platform goes on serving the state of now, though it accepts more.
		held := c.Status(0).Revision
		version := change(c, 1.7)
		everywhere(c, version)
		Expect(version).To(BeNumerically(">", held))
		watched := watchRevisions(c)
		c.Platform.SetFaults(platformserver.Faults{Stale: true, StaleRevision: held})
		for _, router := range c.Routers {
			router.Kill()
			Expect(router.Start()).To(Succeed())
			everywhere(c, version)
		}
		watched.expectNoneWentBack()
	})

	It("lets one of two racing operators win each version, and tells the other", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 1})
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
					_, errs[writer] = c.Client.PutResolved(context.Background(), v1.Object{Kind: key.Kind, Name: key.Name, Version: current.Version, Spec: spec})
				}()
			}
			group.Wait()
			Expect(errs).To(ConsistOf(BeNil(), MatchError(platform.ErrConflict)))
		}
	})

	It("resolves a lost answer by reading back, and does not write twice", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 1})
		key := v1.Key{Kind: v1.KindPool, Name: cluster.Pool}
		current, err := c.Client.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		c.Platform.SetFaults(platformserver.Faults{LoseResponses: 1})
		stored, err := c.Write(v1.KindPool, cluster.Pool, &v1.PoolSpec{MaxLoading: 1, HitWeight: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(BeNumerically(">", current.Version))
		everywhere(c, stored.Version)
		after, err := c.Client.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Version).To(Equal(stored.Version))
	})

	It("stays in force while the platform is down, also on a restarted router", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 1})
		version := change(c, 1.8)
		everywhere(c, version)
		c.Platform.SetFaults(platformserver.Faults{Down: true})
		c.Routers[0].Kill()
		Expect(c.Routers[0].Start()).To(Succeed())
		everywhere(c, version)
	})

	It("reports back which version is in force", func() {
		c := start(cluster.Settings{Routers: 3, Engines: 1})
		version := change(c, 1.9)
		await("the status says so", func() bool {
			object, err := c.Client.Get(context.Background(), v1.Key{Kind: v1.KindPool, Name: cluster.Pool})
			if err != nil || object.Status == nil || object.Status.ObservedVersion != version {
				return false
			}
			return slices.Contains(object.Status.Conditions, v1.Condition{Type: v1.ConditionInForce, State: v1.ConditionTrue, Reason: "AllRouters"})
		})
	})
})
