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

const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// withLongPrompt sets a prompt whose shared parts are so long that a call goes to the runner that
// ran an earlier call with the same prompt, even if that one was slow to respond. With a short
// prompt, a slow first response on a busy machine looks like a queue, and placement correctly
// chooses the other runner.
var withLongPrompt = withPrompt("aa:40000,bb:200000,cc:50")

// preferredRunner returns the runner that ran the first call, which also gets later calls with the
// same prompt.
func preferredRunner(runners []*runnerstand.Runner) *runnerstand.Runner {
	if len(runners[0].Runs()) > 0 {
		return runners[0]
	}
	return runners[1]
}

// When its runner terminates, a stream whose request may run only once continues from the copy of
// its run's state, because that is still the same run.
func TestNonRepeatableStreamContinuesFromCopy(t *testing.T) {
	for name, behaviour := range map[string]runnerstand.Behaviour{"runner terminates": runnerstand.Terminates, "runner stops responding": runnerstand.StopsResponding} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
			r := f.servingRouter("r1", enableRunCopies)
			f.g.Eventually(func() int { return r.call("/once/x", withLongPrompt).status }).Should(Equal(200))
			runsBefore := totalRuns(runners)
			preferredRunner(runners).SetBehaviourOnce(behaviour)
			start := time.Now()
			got := r.call("/once/x", withLongPrompt)
			f.g.Expect(got.truncated).To(BeFalse())
			f.g.Expect(got.body).To(Equal(completeStream))
			f.g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			f.g.Expect(totalRuns(runners)).To(Equal(runsBefore+1), "the request ran once")
			f.g.Expect(append(runners[0].ContinuedRuns(), runners[1].ContinuedRuns()...)).To(HaveLen(1))
		})
	}
}

func enableRunCopies(settings *gateway.Settings) { settings.CopyRuns = true }

// Copies take as much memory as the runs, so they are only made if the settings enable them.
func TestRunsAreNotCopiedByDefault(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines")}
	r := f.servingRouter("r1", nil)
	f.g.Eventually(func() int { return r.call("/once/x", withLongPrompt).status }).Should(Equal(200))
	runsBefore := totalRuns(runners)
	preferredRunner(runners).SetBehaviourOnce(runnerstand.Terminates)
	f.g.Expect(r.call("/once/x", withLongPrompt).truncated).To(BeTrue())
	f.g.Expect(totalRuns(runners)).To(Equal(runsBefore+1), "no other runner may run it")
	f.g.Expect(append(runners[0].ContinuedRuns(), runners[1].ContinuedRuns()...)).To(BeEmpty())
}

// Without a copy, the run cannot continue and must not be repeated on another runner.
func TestStreamWithoutCopyIsTruncated(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	runners := []*runnerstand.Runner{f.runner("e1", "engines"), f.runner("e2", "engines"), f.runner("e3", "engines")}
	r := f.servingRouter("r1", enableRunCopies)
	f.runners.Clear()
	setBehaviourOnceOnAll(runners, runnerstand.Terminates)
	got := r.call("/once/x", nil)
	f.g.Expect(got.truncated).To(BeTrue())
	f.g.Expect(totalRuns(runners)).To(Equal(1))
}

// A stream must not continue on the runner with the copy of its run if that runner has started to
// drain, was removed from the directory, restarted or has expired weights. The runner is chosen
// when the stream is sent, and was not checked again when the stream continued there. The fault
// was found by reading the code.
func TestCopyIsNotUsedOnUnusableRunner(t *testing.T) {
	for name, makeUnusable := range map[string]func(*router, *runnerstand.Runner){
		"it is draining": func(r *router, backup *runnerstand.Runner) {
			r.fleet.putEntry(backup, "draining")
			r.waitForLog("runner changed state")
		},
		"it is not listed": func(r *router, backup *runnerstand.Runner) {
			r.fleet.store.Delete(platform.KindRunners, backup.ID)
			r.waitForLog("runner removed")
		},
		"it has restarted": func(r *router, backup *runnerstand.Runner) {
			backup.Restart()
			r.fleet.putEntry(backup, "ready")
			r.waitForLog("runner restarted")
		},
		"its weights have expired": func(r *router, _ *runnerstand.Runner) {
			r.storeEndpoint.SetFault(storestand.LosesResponses)
			time.Sleep(2 * shortSettleTime)
			r.announceNewWeights()
			time.Sleep(shortWeightDeadline)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, defaultRoutes(), validKey)
			runners := []*runnerstand.Runner{f.runnerWithIncarnation("e1", "engines"), f.runnerWithIncarnation("e2", "engines")}
			r := f.servingRouter("r1", func(settings *gateway.Settings) {
				settings.CopyRuns, settings.WeightDeadline, settings.SettleTime = true, shortWeightDeadline, shortSettleTime
			})
			f.g.Eventually(func() int { return r.call("/once/x", withLongPrompt).status }).Should(Equal(200))
			preferred, backup := preferredRunner(runners), runners[0]
			if backup == preferred {
				backup = runners[1]
			}
			preferred.SetBehaviour(runnerstand.Pauses)
			runs, arrivals := len(preferred.Runs()), backup.ArrivalCount()
			responses := make(chan callResponse, 1)
			go func() { responses <- r.call("/once/x", withLongPrompt) }()
			f.g.Eventually(func() int { return len(preferred.Runs()) }, time.Second).Should(Equal(runs + 1))
			// Give the router time to receive the first event.
			time.Sleep(100 * time.Millisecond)
			makeUnusable(r, backup)
			preferred.Close()
			got := <-responses
			f.g.Expect(backup.ContinuedRuns()).To(BeEmpty())
			f.g.Expect(got.truncated).To(BeTrue())
			f.g.Expect(got.body).To(Equal("id: 1\ndata: piece 1\n\n"))
			f.g.Expect(backup.ArrivalCount()).To(Equal(arrivals), "no other runner may run it")
		})
	}
}

// The watchdog of a silent stream must end with the stream. Stopping the watchdog stopped its
// timer, but a probe in progress then started the timer again. The watchdog therefore went on
// probing until the process ended, and probed whichever runner the call was using. The race
// detector reported that it read the call's runner while the call continued on another runner.
func TestWatchdogStopsWithItsStream(t *testing.T) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), validKey)
	first := f.engine("e1", 1)
	first.SetBehaviour(runnerstand.Pauses)
	first.SetReportDelay(150 * time.Millisecond)
	r := f.servingRouter("r1", nil)
	responses := make(chan callResponse, 1)
	go func() { responses <- r.call("/stream/x", nil) }()
	f.g.Eventually(first.ReportCount, 2*time.Second, 5*time.Millisecond).Should(Equal(1), "the silent stream's runner is probed")
	second := f.engine("e2", 1)
	second.SetBehaviour(runnerstand.Pauses)
	f.g.Eventually(r.log.String, time.Second, 5*time.Millisecond).Should(ContainSubstring(`"runner":"e2"`))
	first.AbortStreams()
	f.g.Eventually(second.ArrivalCount, time.Second, 5*time.Millisecond).Should(Equal(1))
	f.g.Consistently(second.ReportCount, 1200*time.Millisecond, 20*time.Millisecond).Should(BeZero(), "the stream cannot continue on another runner")
	second.ResumeStreams()
	f.g.Expect((<-responses).body).To(Equal(completeStream))
}
