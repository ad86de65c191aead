package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// plainFleet has two runners of the plain service and one router.
func plainFleet(t *testing.T) (*fleet, *router, []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	return f, f.servingRouter("r1", nil), runners
}

func runsOf(runners []*runnerstand.Runner) int {
	total := 0
	for _, runner := range runners {
		total += len(runner.Runs())
	}
	return total
}

func behaveOnce(runners []*runnerstand.Runner, behaviour runnerstand.Behaviour) {
	for _, runner := range runners {
		runner.BehaveOnce(behaviour)
	}
}

func TestCallReachesARunnerUnchanged(t *testing.T) {
	f, r, runners := plainFleet(t)
	got := r.call("/safe/a%20b?x=1&y", func(request *http.Request) {
		request.Header.Set(platform.HeaderTenant, "somebody else")
		request.Header.Set(platform.HeaderSalt, "stolen")
		request.Header.Set("X-Own", "kept")
	})
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(got.header.Get(platform.HeaderStamp)).NotTo(BeEmpty())
	f.g.Expect(runsOf(runners)).To(Equal(1))
	run := append(runners[0].Runs(), runners[1].Runs()...)[0]
	f.g.Expect(got.body).To(Equal("answer to " + run.Request))
	f.g.Expect(run.Path).To(Equal("/safe/a%20b?x=1&y"))
	f.g.Expect(run.Body).To(Equal("the body"))
	f.g.Expect(run.Header.Get("X-Own")).To(Equal("kept"))
	f.g.Expect(run.Header.Get(platform.HeaderTenant)).To(Equal("tenant-one"))
	f.g.Expect(run.Header.Get(platform.HeaderSalt)).To(BeEmpty())
	f.g.Expect(run.Header.Get("Authorization")).To(BeEmpty())
	remaining, err := strconv.Atoi(run.Header.Get(platform.HeaderDeadline))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(remaining).To(BeNumerically("~", 2450, 60))
}

func TestDenialsAndRefusalsOfTheRouter(t *testing.T) {
	f, r, runners := plainFleet(t)
	f.g.Expect(r.call("/nowhere/", nil).status).To(Equal(http.StatusNotFound))
	withoutKey := func(request *http.Request) { request.Header.Del("Authorization") }
	f.g.Expect(r.call("/safe/x", withoutKey).status).To(Equal(http.StatusUnauthorized))
	f.g.Expect(r.call("/public/x", withoutKey).status).To(Equal(http.StatusOK))
	f.g.Expect(runsOf(runners)).To(Equal(1))
}

func TestSafeCallGoesToAnotherRunner(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{
		"failed": runnerstand.Fails, "dropped": runnerstand.Drops, "cut": runnerstand.BreaksOff, "crossed": runnerstand.Crossed, "unstamped": runnerstand.Unstamped,
	} {
		t.Run(name, func(t *testing.T) {
			f, r, runners := plainFleet(t)
			behaveOnce(runners, behaviour)
			got := r.call("/safe/x", nil)
			f.g.Expect(got.status).To(Or(Equal(http.StatusInternalServerError), Equal(http.StatusBadGateway)))
			f.g.Expect(runsOf(runners)).To(Equal(2), "both attempts ran, no third")
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		})
	}
	f, r, runners := plainFleet(t)
	runners[0].Behave(runnerstand.Drops)
	for range 6 {
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
}

func TestUnsafeCallRunsAtMostOnce(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{
		"failed": runnerstand.Fails, "dropped": runnerstand.Drops, "cut": runnerstand.BreaksOff, "crossed": runnerstand.Crossed, "unstamped": runnerstand.Unstamped,
	} {
		t.Run(name, func(t *testing.T) {
			f, r, runners := plainFleet(t)
			for _, runner := range runners {
				runner.Behave(behaviour)
			}
			got := r.call("/unsafe/x", nil)
			f.g.Expect(runsOf(runners)).To(Equal(1))
			f.g.Expect(got.status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusOK), "no word that it has not run")
		})
	}
}

func TestRefusalOfARunnerLeadsToAnother(t *testing.T) {
	f, r, runners := plainFleet(t)
	runners[0].Behave(runnerstand.Sheds)
	for range 4 {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(runners[0].Runs()).To(BeEmpty())
	runners[1].Behave(runnerstand.Sheds)
	got := r.call("/unsafe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(got.duration).To(BeNumerically("<", 200*time.Millisecond), "refused at once")
}

func TestTimeoutAnswersAtOnce(t *testing.T) {
	f, r, runners := plainFleet(t)
	for _, runner := range runners {
		runner.Behave(runnerstand.Hangs)
	}
	got := r.call("/brief/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
	f.g.Expect(got.duration).To(BeNumerically("~", 250*time.Millisecond, 100*time.Millisecond))
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	f, r, runners := plainFleet(t)
	for _, runner := range runners {
		runner.Behave(runnerstand.Hangs)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.g.Expect(r.callWithContext(ctx, "/safe/x", nil).truncated).To(BeTrue())
	run := append(runners[0].Runs(), runners[1].Runs()...)[0]
	f.g.Eventually(run.Ended, 500*time.Millisecond).Should(BeClosed())
	f.g.Expect(runsOf(runners)).To(Equal(1))
}

func TestRetriesAreBounded(t *testing.T) {
	f, r, runners := plainFleet(t)
	for _, runner := range runners {
		runner.Behave(runnerstand.Fails)
	}
	const calls = 60
	for range calls {
		r.call("/safe/x", nil)
	}
	f.g.Expect(runsOf(runners)).To(BeNumerically("<=", calls+calls*15/100+6))
	f.g.Expect(runsOf(runners)).To(BeNumerically(">", calls))
}

func TestDrainingRunnerGetsNothing(t *testing.T) {
	f, r, runners := plainFleet(t)
	f.putEntry(runners[0], "draining")
	f.g.Eventually(r.log.String).Should(ContainSubstring("runner changed state"))
	for range 6 {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(runners[0].Runs()).To(BeEmpty())
	f.store.Remove(platform.KindServers, "p2")
	f.g.Eventually(r.log.String).Should(ContainSubstring("runner removed"))
	got := r.call("/unsafe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable), "nobody is left")
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestStreamGoesOnAtAnotherRunner(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	whole := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	got := r.call("/stream/x", longPrompt)
	f.g.Expect(got.body).To(Equal(whole))
	home := 0
	if len(runners[1].Runs()) > 0 {
		home = 1
	}
	runners[home].BehaveOnce(runnerstand.BreaksOff)
	got = r.call("/stream/x", longPrompt)
	f.g.Expect(got.truncated).To(BeFalse())
	f.g.Expect(got.body).To(Equal(whole))
	f.g.Expect(got.header.Get(platform.HeaderStamp)).To(HavePrefix(runners[home].ID), "the head of the first runner stands")
	other := runners[1-home].Runs()
	f.g.Expect(other).To(HaveLen(1))
	f.g.Expect(other[0].Header.Get("Last-Event-Id")).To(Equal("1"), "after the last whole event")
}

func TestStreamThatMayNotGoOnLooksCut(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	behaveOnce(runners, runnerstand.BreaksOff)
	got := r.call("/once/x", nil)
	f.g.Expect(got.truncated).To(BeTrue())
	f.g.Expect(got.body).To(Equal("id: 1\ndata: piece 1\n\n"), "whole events only")
	f.g.Expect(runsOf(runners)).To(Equal(1))
}

func TestCacheSaltHoldsOwnerAndWeights(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", nil)
	r.call("/stream/x", func(request *http.Request) { request.Header.Set(platform.HeaderSalt, "stolen") })
	run := runner.Runs()[0]
	f.g.Expect(run.Header.Get(platform.HeaderSalt)).To(Equal("tenant/tenant-one/1"))
	f.g.Expect(run.Header.Get(platform.HeaderExpectVersion)).To(Equal("1"))
}

// An attempt that found nobody at a runner's address has not arrived anywhere, so
// the next one is no repeat: it is not drawn from the budget, however many runners
// have just crashed.
func TestAttemptsThatReachedNobodyCostNoBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	var runners []*runnerstand.Runner
	for i := range 8 {
		runners = append(runners, f.runner(fmt.Sprint("p", i), "plain"))
	}
	const calls = 40
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.RetryReserve, settings.RetryShare, settings.StartWait = 0.5, 0.001, time.Second
	})
	f.g.Eventually(func() int { return strings.Count(r.log.String(), "runner added") }, time.Second).Should(Equal(len(runners)))
	for _, runner := range runners[:6] {
		runner.Close()
	}
	for range calls {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
}
