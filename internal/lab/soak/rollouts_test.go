package soak

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// rolloutFixture is a finished rollout with one runner of each version and no gateways.
type rolloutFixture struct {
	*WithT
	soak *Soak
	old  *runnerstand.Runner
	*rollout
	sent int
}

func newRolloutFixture(t *testing.T, quality versionQuality) *rolloutFixture {
	g := NewWithT(t)
	s := &Soak{settings: Settings{Out: io.Discard}, store: storestand.New()}
	s.runners, s.rollouts = newFleet(s.store, newSingleZone()), newRolloutInjector(s)
	t.Cleanup(s.runners.close)
	old, err := s.runners.addVersion("old", plainService, "v1", runnerstand.Normal)
	g.Expect(err).NotTo(HaveOccurred())
	target, err := s.runners.addVersion("target", plainService, "v2", runnerstand.Normal)
	g.Expect(err).NotTo(HaveOccurred())
	r := &rollout{target: "v2", quality: quality, orderedAt: time.Now(), duration: time.Minute, targets: []*runnerstand.Runner{target}}
	s.rollouts.rollouts = []*rollout{r}
	return &rolloutFixture{WithT: g, soak: s, old: old, rollout: r}
}

// send sends requests, each with its own ID, to the runner.
func (c *rolloutFixture) send(runner *runnerstand.Runner, count int) {
	for range count {
		c.sent++
		request, err := http.NewRequest(http.MethodPost, "http://"+runner.Address+"/safe/x", nil)
		c.Expect(err).NotTo(HaveOccurred())
		request.Header.Set(platform.HeaderRequestID, fmt.Sprint(c.sent))
		response, err := http.DefaultClient.Do(request)
		c.Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
	}
}

// The check must find a bad version that got one request more than the bound, and nothing less.
func TestExposureOfBadVersionIsCheckedAgainstTheBound(t *testing.T) {
	for quality, failures := range map[versionQuality]int{badVersion: 1, badLaterVersion: 1, slowVersion: 1, goodVersion: 0} {
		t.Run(quality.String(), func(t *testing.T) {
			c := newRolloutFixture(t, quality)
			// 56 of 69 requests exceed 0.1 * 69 + 50 = 56.9 only with the next one.
			c.send(c.old, 13)
			c.send(c.targets[0], 56)
			c.soak.rollouts.checkExposures()
			c.Expect(c.soak.failures).To(BeEmpty())
			c.send(c.targets[0], 1)
			c.soak.rollouts.checkExposures()
			c.Expect(c.soak.failures).To(BeEmpty(), "57 of 70 requests are the bound itself")
			c.send(c.targets[0], 1)
			c.soak.rollouts.checkExposures()
			c.Expect(c.soak.failures).To(HaveLen(failures))
		})
	}
}

// Requests before the order and after the deadline do not count, neither for nor against a version.
func TestExposureIsCountedBetweenOrderAndDeadline(t *testing.T) {
	c := newRolloutFixture(t, badVersion)
	c.send(c.targets[0], 3)
	c.send(c.old, 2)
	c.orderedAt = time.Now()
	c.send(c.targets[0], 5)
	c.send(c.old, 7)
	c.duration = time.Since(c.orderedAt)
	c.send(c.targets[0], 11)
	exposed, total := c.soak.rollouts.countRequests(c.rollout)
	c.Expect([]int{exposed, total}).To(Equal([]int{5, 12}))
}

// The end of a fault must not turn a bad version into a good one.
func TestFaultEndsInTheUsualBehaviour(t *testing.T) {
	c := newRolloutFixture(t, badLaterVersion)
	target := c.targets[0]
	status := func() int {
		response, err := http.Post("http://"+target.Address+"/safe/x", "", nil)
		c.Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		return response.StatusCode
	}
	c.soak.rollouts.setBehaviour(c.rollout, runnerstand.Fails)
	target.SetBehaviour(runnerstand.Normal)
	c.soak.runners.endMisbehaviour(target)
	c.Expect(status()).To(Equal(http.StatusInternalServerError))
}

// At succeeded the old runners stop without draining, and at rolled_back those of the target version
// drain first.
func TestRunnersOfAnObsoleteVersionStop(t *testing.T) {
	c := newRolloutFixture(t, goodVersion)
	c.soak.runners.stop(c.old)
	_, listed := c.soak.store.Get(platform.KindRunners, c.old.ID)
	c.Expect(listed).To(BeFalse())
	c.Expect(c.soak.runners.ofService(plainService)).To(Equal(c.targets))

	c.soak.runners.startFinalDrain(c.targets[0])
	_, draining := c.soak.runners.drainingSince(c.targets[0].ID, time.Now())
	c.Expect(draining).To(BeTrue())
	entry, listed := c.soak.store.Get(platform.KindRunners, c.targets[0].ID)
	c.Expect(listed).To(BeTrue())
	c.Expect(string(entry.Spec)).To(ContainSubstring(`"state":"draining"`))
}
