package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// longPrompt shares so much that a call goes where its like ran before, though that
// took a while: on a busy machine a short prompt's first answer looks like a queue,
// and the next call rightly goes to the other runner.
var longPrompt = withPrompt("aa:40000,bb:200000,cc:50")

// homeOf returns the runner that ran the first call, to which its like go again.
func homeOf(runners []*runnerstand.Runner) *runnerstand.Runner {
	if len(runners[0].Runs()) > 0 {
		return runners[0]
	}
	return runners[1]
}

// A stream that may run once only goes on from the copy of its run when its
// runner has ended: that is the same run.
func TestStreamThatMayNotBeRepeatedGoesOnFromItsCopy(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{"dies": runnerstand.Dies, "falls silent": runnerstand.FallsSilent} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, defaultRoutes(), goodKey)
			runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
			r := f.servingRouter("r1", copyRuns)
			f.g.Eventually(func() int { return r.call("/once/x", longPrompt).status }).Should(Equal(200))
			before := runsOf(runners)
			homeOf(runners).BehaveOnce(behaviour)
			began := time.Now()
			got := r.call("/once/x", longPrompt)
			f.g.Expect(got.truncated).To(BeFalse())
			f.g.Expect(got.body).To(Equal(wholeStream))
			f.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			f.g.Expect(runsOf(runners)).To(Equal(before+1), "one run")
			f.g.Expect(append(runners[0].Continued(), runners[1].Continued()...)).To(HaveLen(1))
		})
	}
}

func copyRuns(settings *gateway.Settings) { settings.CopyRuns = true }

// Copies take as much memory as the runs, so none is made unless the settings ask for it.
func TestRunsAreNotCopiedByDefault(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return r.call("/once/x", longPrompt).status }).Should(Equal(200))
	before := runsOf(runners)
	homeOf(runners).BehaveOnce(runnerstand.Dies)
	f.g.Expect(r.call("/once/x", longPrompt).truncated).To(BeTrue())
	f.g.Expect(runsOf(runners)).To(Equal(before+1), "nothing else may run it")
	f.g.Expect(append(runners[0].Continued(), runners[1].Continued()...)).To(BeEmpty())
}

// Without a copy the run cannot go on, and nothing else may run it.
func TestStreamWithoutACopyIsCut(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines"), f.runner("e3", "engines")}
	r := f.servingRouter("r1", copyRuns)
	f.runners.Clear()
	behaveOnce(runners, runnerstand.Dies)
	got := r.call("/once/x", nil)
	f.g.Expect(got.truncated).To(BeTrue())
	f.g.Expect(runsOf(runners)).To(Equal(1))
}

// What was seen: nothing on a day; reading. A stream went on at the runner with the copy of
// its run though that runner left, was no longer listed or had expired weights. The cause:
// the runner is chosen when the stream is sent, and was not asked about when it went on.
func TestCopyIsNotUsedAtARunnerThatMayGetNoRequest(t *testing.T) {
	for label, bar := range map[string]func(*router, *runnerstand.Runner){
		"it leaves": func(r *router, holder *runnerstand.Runner) {
			r.fleet.putEntry(holder, "draining")
			r.waitForLog("runner changed state")
		},
		"it is not listed": func(r *router, holder *runnerstand.Runner) {
			r.fleet.store.Remove(platform.KindServers, holder.ID)
			r.waitForLog("runner removed")
		},
		"it has started again": func(r *router, holder *runnerstand.Runner) {
			holder.Restart()
			r.fleet.putEntry(holder, "ready")
			r.waitForLog("runner restarted")
		},
		"its weights have expired": func(r *router, _ *runnerstand.Runner) {
			r.storeEndpoint.Set(storestand.Loses)
			time.Sleep(2 * shortSettle)
			r.nameNew()
			time.Sleep(shortDeadline)
		},
	} {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), goodKey)
			runners := []*runnerstand.Runner{f.runnerWithIncarnation("e1", "engines"), f.runnerWithIncarnation("e2", "engines")}
			r := f.servingRouter("r1", func(settings *gateway.Settings) {
				settings.CopyRuns, settings.WeightDeadline, settings.SettleTime = true, shortDeadline, shortSettle
			})
			f.g.Eventually(func() int { return r.call("/once/x", longPrompt).status }).Should(Equal(200))
			home, holder := homeOf(runners), runners[0]
			if holder == home {
				holder = runners[1]
			}
			home.Behave(runnerstand.Pauses)
			runs, arrivals := len(home.Runs()), holder.Arrivals()
			answers := make(chan answer, 1)
			go func() { answers <- r.call("/once/x", longPrompt) }()
			f.g.Eventually(func() int { return len(home.Runs()) }, time.Second).Should(Equal(runs + 1))
			// The first event is on its way to the router.
			time.Sleep(100 * time.Millisecond)
			bar(r, holder)
			home.Close()
			got := <-answers
			f.g.Expect(holder.Continued()).To(BeEmpty())
			f.g.Expect(got.truncated).To(BeTrue())
			f.g.Expect(got.body).To(Equal("id: 1\ndata: piece 1\n\n"))
			f.g.Expect(holder.Arrivals()).To(Equal(arrivals), "nothing else may run it")
		})
	}
}

// What was seen: the race detector found the runner of a call read by the watch of its
// silent stream while the call went on at another runner. Reading showed that a watch that
// asked its runner when the stream ended went on asking for as long as the process lived,
// and asked whatever runner the call was at. The cause: stopping the watch stopped its
// timer, which the question under way then set anew.
func TestEndedStreamIsNoLongerWatched(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	first := f.engine("e1", 1)
	first.Behave(runnerstand.Pauses)
	first.DelayReports(150 * time.Millisecond)
	r := f.servingRouter("r1", nil)
	answers := make(chan answer, 1)
	go func() { answers <- r.call("/stream/x", nil) }()
	f.g.Eventually(first.Reports, 2*time.Second, 5*time.Millisecond).Should(Equal(1), "the stream is silent")
	second := f.engine("e2", 1)
	second.Behave(runnerstand.Pauses)
	f.g.Eventually(r.log.String, time.Second, 5*time.Millisecond).Should(ContainSubstring(`"runner":"e2"`))
	first.Break()
	f.g.Eventually(second.Arrivals, time.Second, 5*time.Millisecond).Should(Equal(1))
	f.g.Consistently(second.Reports, 1200*time.Millisecond, 20*time.Millisecond).Should(BeZero(), "its stream cannot go on elsewhere")
	second.Resume()
	f.g.Expect((<-answers).body).To(Equal(wholeStream))
}
