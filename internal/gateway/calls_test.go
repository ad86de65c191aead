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

// newPlainFleet returns a fleet with two runners of the plain service, and its router and runners.
func newPlainFleet(t *testing.T) (*fleet, *router, []*runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("p1", "plain"), f.runner("p2", "plain")}
	return f, f.servingRouter("r1", nil), runners
}

// totalRuns returns the number of calls that the runners ran.
func totalRuns(runners []*runnerstand.Runner) int {
	total := 0
	for _, runner := range runners {
		total += len(runner.Runs())
	}
	return total
}

// setBehaviourOnceOnAll sets the behaviour of each runner for its next call.
func setBehaviourOnceOnAll(runners []*runnerstand.Runner, behaviour runnerstand.Behaviour) {
	for _, runner := range runners {
		runner.SetBehaviourOnce(behaviour)
	}
}

func TestCallIsForwardedUnchanged(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	got := r.call("/safe/a%20b?x=1&y", func(request *http.Request) {
		request.Header.Set(platform.HeaderTenant, "somebody else")
		request.Header.Set(platform.HeaderCacheSalt, "stolen")
		request.Header.Set("X-Own", "kept")
	})
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(got.header.Get(platform.HeaderResponseStamp)).NotTo(BeEmpty())
	f.g.Expect(totalRuns(runners)).To(Equal(1))
	run := append(runners[0].Runs(), runners[1].Runs()...)[0]
	f.g.Expect(got.body).To(Equal("answer to " + run.RequestID))
	f.g.Expect(run.Path).To(Equal("/safe/a%20b?x=1&y"))
	f.g.Expect(run.Body).To(Equal("the body"))
	f.g.Expect(run.Header.Get("X-Own")).To(Equal("kept"))
	f.g.Expect(run.Header.Get(platform.HeaderTenant)).To(Equal("tenant-one"))
	f.g.Expect(run.Header.Get(platform.HeaderCacheSalt)).To(BeEmpty())
	f.g.Expect(run.Header.Get("Authorization")).To(BeEmpty())
	remaining, err := strconv.Atoi(run.Header.Get(platform.HeaderDeadlineMillis))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(remaining).To(BeNumerically("~", 2450, 60))
}

func TestUnknownRoutesAndMissingKeysAreDenied(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	f.g.Expect(r.call("/nowhere/", nil).status).To(Equal(http.StatusNotFound))
	withoutKey := func(request *http.Request) { request.Header.Del("Authorization") }
	f.g.Expect(r.call("/safe/x", withoutKey).status).To(Equal(http.StatusUnauthorized))
	f.g.Expect(r.call("/public/x", withoutKey).status).To(Equal(http.StatusOK))
	f.g.Expect(totalRuns(runners)).To(Equal(1))
}

func TestSafeCallIsRetriedOnAnotherRunner(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{
		"failed": runnerstand.Fails, "dropped": runnerstand.Drops, "cut": runnerstand.TruncatesResponse, "crossed": runnerstand.MismatchesRequestID, "unstamped": runnerstand.OmitsStamp,
	} {
		t.Run(name, func(t *testing.T) {
			f, r, runners := newPlainFleet(t)
			setBehaviourOnceOnAll(runners, behaviour)
			got := r.call("/safe/x", nil)
			f.g.Expect(got.status).To(Or(Equal(http.StatusInternalServerError), Equal(http.StatusBadGateway)))
			f.g.Expect(totalRuns(runners)).To(Equal(2), "exactly two attempts ran")
			f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
		})
	}
	f, r, runners := newPlainFleet(t)
	runners[0].SetBehaviour(runnerstand.Drops)
	for range 6 {
		f.g.Expect(r.call("/safe/x", nil).status).To(Equal(http.StatusOK))
	}
}

func TestUnsafeCallRunsAtMostOnce(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{
		"failed": runnerstand.Fails, "dropped": runnerstand.Drops, "cut": runnerstand.TruncatesResponse, "crossed": runnerstand.MismatchesRequestID, "unstamped": runnerstand.OmitsStamp,
	} {
		t.Run(name, func(t *testing.T) {
			f, r, runners := newPlainFleet(t)
			for _, runner := range runners {
				runner.SetBehaviour(behaviour)
			}
			got := r.call("/unsafe/x", nil)
			f.g.Expect(totalRuns(runners)).To(Equal(1))
			f.g.Expect(got.status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusOK), "the status must not imply that the call has not run")
		})
	}
}

func TestRefusedCallIsSentToAnotherRunner(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	runners[0].SetBehaviour(runnerstand.Sheds)
	for range 4 {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(runners[0].Runs()).To(BeEmpty())
	runners[1].SetBehaviour(runnerstand.Sheds)
	got := r.call("/unsafe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	f.g.Expect(got.duration).To(BeNumerically("<", 200*time.Millisecond), "refused immediately")
}

func TestTimeoutIsReportedImmediately(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Hangs)
	}
	got := r.call("/brief/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
	f.g.Expect(got.duration).To(BeNumerically("~", 250*time.Millisecond, 100*time.Millisecond))
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Hangs)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.g.Expect(r.callWithContext(ctx, "/safe/x", nil).truncated).To(BeTrue())
	run := append(runners[0].Runs(), runners[1].Runs()...)[0]
	f.g.Eventually(run.Finished, 500*time.Millisecond).Should(BeClosed())
	f.g.Expect(totalRuns(runners)).To(Equal(1))
}

func TestRetriesAreLimited(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	for _, runner := range runners {
		runner.SetBehaviour(runnerstand.Fails)
	}
	const calls = 60
	for range calls {
		r.call("/safe/x", nil)
	}
	f.g.Expect(totalRuns(runners)).To(BeNumerically("<=", calls+calls*15/100+6))
	f.g.Expect(totalRuns(runners)).To(BeNumerically(">", calls))
}

func TestDrainingRunnerGetsNoCalls(t *testing.T) {
	f, r, runners := newPlainFleet(t)
	f.putEntry(runners[0], "draining")
	f.g.Eventually(r.log.String).Should(ContainSubstring("runner changed state"))
	for range 6 {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
	f.g.Expect(runners[0].Runs()).To(BeEmpty())
	f.store.Delete(platform.KindRunners, "p2")
	f.g.Eventually(r.log.String).Should(ContainSubstring("runner removed"))
	got := r.call("/unsafe/x", nil)
	f.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable), "no runner is left")
	f.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestStreamContinuesOnAnotherRunner(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	completeBody := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	got := r.call("/stream/x", withLongPrompt)
	f.g.Expect(got.body).To(Equal(completeBody))
	preferredIndex := 0
	if len(runners[1].Runs()) > 0 {
		preferredIndex = 1
	}
	runners[preferredIndex].SetBehaviourOnce(runnerstand.TruncatesResponse)
	got = r.call("/stream/x", withLongPrompt)
	f.g.Expect(got.truncated).To(BeFalse())
	f.g.Expect(got.body).To(Equal(completeBody))
	f.g.Expect(got.header.Get(platform.HeaderResponseStamp)).To(HavePrefix(runners[preferredIndex].ID), "the headers come from the first runner")
	otherRuns := runners[1-preferredIndex].Runs()
	f.g.Expect(otherRuns).To(HaveLen(1))
	f.g.Expect(otherRuns[0].Header.Get("Last-Event-Id")).To(Equal("1"), "the stream continues after the last complete event")
}

func TestNonResumableStreamIsTruncated(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	setBehaviourOnceOnAll(runners, runnerstand.TruncatesResponse)
	got := r.call("/once/x", nil)
	f.g.Expect(got.truncated).To(BeTrue())
	f.g.Expect(got.body).To(Equal("id: 1\ndata: piece 1\n\n"), "only complete events are forwarded")
	f.g.Expect(totalRuns(runners)).To(Equal(1))
}

func TestCacheSaltContainsOwnerAndWeightVersion(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runner := f.runner("e1", "engines")
	r := f.servingRouter("r1", nil)
	r.call("/stream/x", func(request *http.Request) { request.Header.Set(platform.HeaderCacheSalt, "stolen") })
	run := runner.Runs()[0]
	f.g.Expect(run.Header.Get(platform.HeaderCacheSalt)).To(Equal("tenant/tenant-one/1"))
	f.g.Expect(run.Header.Get(platform.HeaderExpectWeightVersion)).To(Equal("1"))
}

// An attempt that could not connect to its runner has not been sent, so the next attempt is not a
// retry and is not charged to the retry budget, even if many runners have just crashed.
func TestUnsentAttemptsDoNotUseRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
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
		release, err := runner.Refuse()
		f.g.Expect(err).NotTo(HaveOccurred())
		f.t.Cleanup(release)
	}
	for range calls {
		f.g.Expect(r.call("/unsafe/x", nil).status).To(Equal(http.StatusOK))
	}
}
