package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// What was seen: a request began on older weights 0.6 s after their deadline. It had
// been sent in good time, to a runner whose queue then grew. The cause: the router
// only estimates at the send when a request begins, and did nothing about it later.

const (
	// shortDeadline is the deadline of older weights in these tests.
	shortDeadline = 1200 * time.Millisecond
	// longQueue outlasts it, however early the request was sent.
	longQueue = 2 * time.Second
	// shortSettle is how long a router takes weights that are named to have been named
	// before it started.
	shortSettle = 10 * time.Millisecond
)

// oldEngine has one runner, which refuses orders for new weights, and one router, which
// cannot get the lease either.
func oldEngine(t *testing.T) (*fleet, *router, *runnerstand.Runner) {
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runner := f.engine("e1", 1)
	runner.Queue(longQueue)
	runner.SetFence(1 << 40)
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = shortDeadline, shortSettle
	})
	r.storeEndpoint.Set(storestand.Loses)
	time.Sleep(2 * shortSettle)
	return f, r, runner
}

// nameNew names new weights, waits until the router knows them, and returns when
// they were named.
func (r *router) nameNew() time.Time {
	named := time.Now()
	name(r.fleet, 2)
	r.waitForLog("weights named")
	return named
}

// callQueued sends a call and waits until it has arrived at the runner.
func (r *router) callQueued(path string, runner *runnerstand.Runner) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- r.call(path, nil) }()
	r.fleet.g.Eventually(runner.Arrivals, time.Second, 5*time.Millisecond).Should(Equal(1), r.log.String)
	return answers
}

func (f *fleet) beganInTime(runner *runnerstand.Runner, named time.Time) {
	for _, run := range runner.Runs() {
		f.g.Expect(run.Began.Sub(named)).To(BeNumerically("<=", shortDeadline), "weights %d began a request", run.Version)
	}
}

func TestRequestIsWithdrawnBeforeItBeginsOnExpiredWeights(t *testing.T) {
	for label, test := range map[string]struct {
		behaviour runnerstand.Behaviour
		sentFirst bool
	}{
		"waits for the head":                        {runnerstand.Queues, false},
		"waits for the first event":                 {runnerstand.QueuesAfterHead, false},
		"sent before the weights were named":        {runnerstand.Queues, true},
		"first event, sent before the weights were": {runnerstand.QueuesAfterHead, true},
	} {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			f, r, old := oldEngine(t)
			old.Behave(test.behaviour)
			sent := time.Now()
			var named time.Time
			var answers <-chan answer
			if test.sentFirst {
				answers = r.callQueued("/stream/x", old)
				named = r.nameNew()
			} else {
				named = r.nameNew()
				answers = r.callQueued("/stream/x", old)
			}
			renewed := f.engine("e2", 2)
			got := <-answers
			time.Sleep(time.Until(sent.Add(longQueue + 200*time.Millisecond)))
			f.beganInTime(old, named)
			f.g.Expect(got.status).To(Equal(http.StatusOK))
			f.g.Expect(got.body).To(Equal(wholeStream))
			f.g.Expect(renewed.Runs()).To(HaveLen(1))
			f.g.Expect(r.log.String()).To(ContainSubstring("its weights expire"))
		})
	}
}

// What has been withdrawn may have begun all the same, so nothing is said of it that
// callers take for the word that it has not run.
func TestWithdrawnRequestIsNotPromisedToBeUnrun(t *testing.T) {
	for label, test := range map[string]struct {
		path  string
		other bool
	}{
		"may run once":             {"/once/x", true},
		"no other runner is there": {"/stream/x", false},
	} {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			f, r, old := oldEngine(t)
			old.Behave(runnerstand.Queues)
			named := r.nameNew()
			answers := r.callQueued(test.path, old)
			runners := []*runnerstand.Runner{old}
			if test.other {
				runners = append(runners, f.engine("e2", 2))
			}
			got := <-answers
			f.beganInTime(old, named)
			f.g.Expect(got.status).To(Equal(http.StatusBadGateway), "neither 408, 421, 429 nor 503")
			f.g.Expect(runsOf(runners)).To(BeZero())
		})
	}
}

func TestStreamThatHasBegunOutlivesItsWeights(t *testing.T) {
	t.Parallel()
	f, r, old := oldEngine(t)
	old.Behave(runnerstand.Pauses)
	answers := r.callQueued("/stream/x", old)
	named := r.nameNew()
	renewed := f.engine("e2", 2)
	time.Sleep(time.Until(named.Add(shortDeadline + 200*time.Millisecond)))
	old.Resume()
	got := <-answers
	f.g.Expect(got.truncated).To(BeFalse())
	f.g.Expect(got.body).To(Equal(wholeStream))
	f.g.Expect(renewed.Arrivals()).To(BeZero())
}

func TestRequestStaysAtARunnerThatTookNewWeights(t *testing.T) {
	for label, behaviour := range map[string]runnerstand.Behaviour{
		"waits for the head": runnerstand.Queues, "waits for the first event": runnerstand.QueuesAfterHead,
	} {
		t.Run(label, func(t *testing.T) {
			t.Parallel()
			f, r, runner := oldEngine(t)
			runner.Behave(behaviour)
			r.nameNew()
			answers := r.callQueued("/once/x", runner)
			runner.SetVersion(2)
			f.putEntry(runner, "ready")
			got := <-answers
			f.g.Expect(got.status).To(Equal(http.StatusOK))
			f.g.Expect(got.body).To(Equal(wholeStream))
			f.g.Expect(runner.Arrivals()).To(Equal(1))
		})
	}
}

// A run that goes on from its copy began before the weights were named. It was ended there
// while it waited.
func TestRunThatGoesOnFromItsCopyOutlivesItsWeights(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, defaultRoutes(), goodKey)
	runners := []*runnerstand.Runner{f.engine("e1", 1), f.engine("e2", 1)}
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.CopyRuns, settings.WeightDeadline, settings.SettleTime = true, shortDeadline, shortSettle
	})
	f.g.Eventually(func() int { return r.call("/once/x", longPrompt).status }).Should(Equal(http.StatusOK))
	home, holder := homeOf(runners), runners[0]
	if holder == home {
		holder = runners[1]
	}
	for _, runner := range runners {
		runner.SetFence(1 << 40)
	}
	home.Behave(runnerstand.Dies)
	holder.Behave(runnerstand.Queues)
	holder.Queue(longQueue)
	answers := make(chan answer, 1)
	go func() { answers <- r.call("/once/x", longPrompt) }()
	f.g.Eventually(holder.Continued, time.Second, 5*time.Millisecond).Should(HaveLen(1))
	r.storeEndpoint.Set(storestand.Loses)
	time.Sleep(2 * shortSettle)
	named := r.nameNew()
	got := <-answers
	f.g.Expect(time.Since(named)).To(BeNumerically(">", shortDeadline), "the answer came after the deadline")
	f.g.Expect(got.truncated).To(BeFalse())
	f.g.Expect(got.body).To(Equal(wholeStream))
}

// The head of a whole answer comes with its end, so that nothing shows whether its request
// has begun. Requests that had begun long before were ended.
func TestRequestForAWholeAnswerOutlivesItsWeights(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, append(defaultRoutes(), route("whole", "/whole/", "unsafe", "engines", map[string]any{"sticky": true})), goodKey)
	runner := f.engine("e1", 1)
	runner.SetFence(1 << 40)
	runner.Delay = longQueue
	runner.Behave(runnerstand.Delays)
	r := f.servingRouter("r1", func(settings *gateway.Settings) {
		settings.WeightDeadline, settings.SettleTime = shortDeadline, shortSettle
	})
	answers := r.callQueued("/whole/x", runner)
	r.storeEndpoint.Set(storestand.Loses)
	time.Sleep(2 * shortSettle)
	named := r.nameNew()
	got := <-answers
	f.g.Expect(time.Since(named)).To(BeNumerically(">", shortDeadline), "the answer came after the deadline")
	f.g.Expect(got.status).To(Equal(http.StatusOK))
	f.g.Expect(got.body).To(Equal(wholeStream))
}
