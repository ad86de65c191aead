package attempt

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/notrun"
)

var (
	unwritten = notrun.New(notrun.Unwritten)
	rejected  = notrun.New(notrun.Rejected)
	barred    = notrun.New(notrun.Barred)
	declined  = notrun.New(notrun.Declined)
)

// runnerHistory records what actually happened at the runners, which the state machine cannot
// see.
type runnerHistory struct {
	// received holds the attempts whose dispatch a runner received.
	received map[uint32]bool
	// mayRun holds the attempts that a runner has run or may still run.
	mayRun map[uint32]bool
}

// TestReportedRunStateIsCorrect simulates random runner behavior. It checks that NotRun is
// reported only if no runner ran or will run any attempt, and that an unrepeatable request
// never has two attempts that may run.
func TestReportedRunStateIsCorrect(t *testing.T) {
	testkit.SetRapidDefaults(20000)
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		request := NewRequest(repeatable, DefaultLimits())
		history := runnerHistory{received: map[uint32]bool{}, mayRun: map[uint32]bool{}}
		action := Dispatch
		for action != Stop {
			if rapid.IntRange(0, 19).Draw(t, "give up") == 0 {
				request.Fail()
				break
			}
			if action == Dispatch {
				action = simulateDispatch(t, request, &history)
			} else {
				action = simulateResume(t, request, &history)
			}
		}
		if !repeatable && len(history.mayRun) > 1 {
			t.Fatalf("attempts of an unrepeatable request that may run: %v", history.mayRun)
		}
		if request.Phase() != Complete {
			request.Fail()
			if request.RunState() == NotRun && len(history.mayRun) > 0 {
				t.Fatalf("run state is not_run, but attempts %v may run", history.mayRun)
			}
		}
	})
}

func simulateDispatch(t *rapid.T, request *Request, history *runnerHistory) Action {
	number := request.BeginDispatch("runner")
	switch rapid.SampledFrom([]string{"no connection", "aborted", "refused", "lost before arrival", "lost after arrival", "accepted"}).Draw(t, "dispatch") {
	case "no connection":
		return request.NotSent(unwritten)
	case "aborted":
		return request.DispatchAborted(unwritten)
	case "refused":
		return request.Reject(rejected)
	case "lost before arrival":
		// The dispatch is still in transit and may arrive later, unless the runner is told to
		// refuse it.
		history.mayRun[number] = true
		return request.ConnectionLost()
	case "lost after arrival":
		history.received[number] = true
		history.mayRun[number] = true
		return request.ConnectionLost()
	}
	history.received[number] = true
	history.mayRun[number] = true
	request.MarkAccepted()
	return simulateStream(t, request)
}

func simulateStream(t *rapid.T, request *Request) Action {
	for range rapid.IntRange(0, 3).Draw(t, "frames") {
		request.MarkStarted(request.Attempt())
		request.AcceptFrame(request.Attempt(), request.Offset(), 1)
	}
	if rapid.Bool().Draw(t, "ends") && request.Finish(request.Attempt(), request.Offset()) {
		return Stop
	}
	return request.ConnectionLost()
}

func simulateResume(t *rapid.T, request *Request, history *runnerHistory) Action {
	number := request.Attempt()
	switch rapid.SampledFrom([]string{"response", "no response", "other process"}).Draw(t, "resume") {
	case "response":
		if !history.received[number] {
			// The runner never received the attempt and refuses it from now on, so it will not
			// run.
			delete(history.mayRun, number)
			return request.NeverSeen(barred)
		}
		request.MarkAccepted()
		return simulateStream(t, request)
	case "other process":
		return request.RunnerGone()
	}
	return request.RunnerGone()
}

func TestAcceptFrameRequiresCurrentAttemptAndNextOffset(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(true, DefaultLimits())
	request.BeginDispatch("one")
	g.Expect(request.AcceptFrame(1, 0, 1)).To(BeFalse(), "before the runner accepted the request")
	request.MarkAccepted()
	g.Expect(request.AcceptFrame(1, 0, 2)).To(BeTrue())
	g.Expect(request.AcceptFrame(1, 0, 2)).To(BeFalse(), "repeated output")
	g.Expect(request.AcceptFrame(1, 3, 1)).To(BeFalse(), "a gap")
	g.Expect(request.AcceptFrame(2, 2, 1)).To(BeFalse(), "an attempt that does not exist")
	g.Expect(request.RunnerGone()).To(Equal(Dispatch))
	request.BeginDispatch("two")
	request.MarkAccepted()
	g.Expect(request.AcceptFrame(1, 2, 1)).To(BeFalse(), "a late frame of an earlier attempt")
	g.Expect(request.AcceptFrame(2, 2, 1)).To(BeTrue())
	g.Expect(request.Finish(2, 4)).To(BeFalse(), "end of stream with missing tokens")
	g.Expect(request.Finish(2, 3)).To(BeTrue())
}

func TestUnrepeatableRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(false, DefaultLimits())
	request.BeginDispatch("one")
	g.Expect(request.ConnectionLost()).To(Equal(Resume))
	g.Expect(request.NeverSeen(barred)).To(Equal(Dispatch))
	request.BeginDispatch("two")
	g.Expect(request.ConnectionLost()).To(Equal(Resume))
	g.Expect(request.RunnerGone()).To(Equal(Stop))
	g.Expect(request.RunState()).To(Equal(Unknown))
}

func TestUnrepeatableRequestContinuesOnlyFromCopy(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(false, Limits{MaxAttempts: 1, MaxRefusals: 3})
	request.BeginDispatch("a")
	g.Expect(request.ContinueFromCopy()).To(Equal(Dispatch))
	request.BeginDispatch("b")
	g.Expect(request.Reject(rejected)).To(Equal(Stop), "the runner has no copy, and no other runner may run the request")
	g.Expect(request.RunState()).To(Equal(FailedAfterRun))

	second := NewRequest(false, Limits{MaxAttempts: 1, MaxRefusals: 3})
	second.BeginDispatch("a")
	second.ContinueFromCopy()
	second.BeginDispatch("b")
	g.Expect(second.ContinueFromCopy()).To(Equal(Stop), "a continued run cannot be continued from a copy again")
}

// If a run cannot be continued from a copy, for whatever reason, the original run has still
// run. An unrepeatable request must then not be dispatched as a new run.
func TestUnrepeatableRequestIsNotRetriedAfterFailedContinuation(t *testing.T) {
	for name, event := range map[string]func(*Request) Action{
		"rejected": func(r *Request) Action { return r.Reject(rejected) }, "stale": func(r *Request) Action { return r.RejectStale(rejected) },
		"not sent": func(r *Request) Action { return r.NotSent(unwritten) }, "never seen": func(r *Request) Action { return r.NeverSeen(barred) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			request := NewRequest(false, Limits{MaxAttempts: 2, MaxRefusals: 3})
			request.BeginDispatch("a")
			g.Expect(request.ContinueFromCopy()).To(Equal(Dispatch))
			request.BeginDispatch("b")
			g.Expect(event(request)).To(Equal(Stop))
			g.Expect(request.RunState()).To(Equal(FailedAfterRun))
		})
	}
}

func TestRunStates(t *testing.T) {
	cases := []struct {
		name  string
		drive func(*Request)
		want  RunState
	}{
		{"never dispatched", func(*Request) {}, NotRun},
		{"refused by the runner", func(r *Request) { r.BeginDispatch("a"); r.Reject(rejected) }, NotRun},
		{"no connection", func(r *Request) { r.BeginDispatch("a"); r.NotSent(unwritten) }, NotRun},
		{"in flight", func(r *Request) { r.BeginDispatch("a") }, Unknown},
		{"accepted, not known to have started", func(r *Request) { r.BeginDispatch("a"); r.MarkAccepted() }, Unknown},
		{"started", func(r *Request) { r.BeginDispatch("a"); r.MarkAccepted(); r.MarkStarted(1) }, FailedAfterRun},
		{"runner gone in flight, then refused by another", func(r *Request) {
			r.BeginDispatch("a")
			r.RunnerGone()
			r.BeginDispatch("b")
			r.Reject(rejected)
		}, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := NewRequest(true, DefaultLimits())
			c.drive(request)
			request.Fail()
			NewWithT(t).Expect(request.RunState()).To(Equal(c.want))
		})
	}
}

// Guards against a promise that a call has not run for which the proof of one attempt is missing, and against a further attempt of
// an unrepeatable request after it.
func TestAttemptWithoutProofMayHaveRun(t *testing.T) {
	events := map[string]func(*Request, notrun.Proof) Action{
		"rejected": (*Request).Reject, "stale": (*Request).RejectStale, "not sent": (*Request).NotSent, "aborted": (*Request).DispatchAborted,
		"declined": (*Request).Declined, "never seen": (*Request).NeverSeen,
	}
	proofs := map[string]notrun.Proof{
		"rejected": rejected, "stale": rejected, "not sent": unwritten, "aborted": unwritten, "declined": declined, "never seen": barred,
	}
	limits := Limits{MaxAttempts: 4, MaxRefusals: 3, MaxUnsent: 3}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, repeatable := range []bool{false, true} {
				request := NewRequest(repeatable, limits)
				request.BeginDispatch("a")
				g.Expect(event(request, proofs[name])).To(Equal(Dispatch), "what has not run is sent again")
				g.Expect(request.Promise().Holds()).To(BeTrue())
				request.BeginDispatch("b")
				g.Expect(event(request, notrun.Proof{}) == Dispatch).To(Equal(repeatable))
				g.Expect(request.Promise().Holds()).To(BeFalse())
				g.Expect(request.RunState()).To(Equal(Unknown))
				if repeatable {
					request.BeginDispatch("c")
					event(request, proofs[name])
					g.Expect(request.Promise().Holds()).To(BeFalse(), "a later proof is none for the attempt before")
				}
			}
		})
	}
	NewWithT(t).Expect(Promise{}.Holds()).To(BeFalse())
}
