package attempt

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
)

// truth is what really happened at engines, which the state machine cannot see.
type truth struct {
	// reached is true for attempts whose dispatch an engine has received.
	reached map[uint32]bool
	// mayRun is true for attempts that an engine has run or may still run.
	mayRun map[uint32]bool
}

// TestRunStateIsTrue drives requests through random engine behaviour and checks
// that "not run" is said only when no engine ran or will run any attempt, and
// that an unrepeatable request never has two attempts that may run.
func TestRunStateIsTrue(t *testing.T) {
	testkit.Properties(20000)
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		request := NewRequest(repeatable, DefaultLimits())
		world := truth{reached: map[uint32]bool{}, mayRun: map[uint32]bool{}}
		next := Dispatch
		for next != Stop {
			if rapid.IntRange(0, 19).Draw(t, "give up") == 0 {
				request.Fail()
				break
			}
			if next == Dispatch {
				next = dispatchOnce(t, request, &world)
			} else {
				next = resumeOnce(t, request, &world)
			}
		}
		if !repeatable && len(world.mayRun) > 1 {
			t.Fatalf("unrepeatable request may run in %v", world.mayRun)
		}
		if request.Phase() != Complete {
			request.Fail()
			if request.RunState() == NotRun && len(world.mayRun) > 0 {
				t.Fatalf("said not run, but %v may run", world.mayRun)
			}
		}
	})
}

func dispatchOnce(t *rapid.T, request *Request, world *truth) Next {
	number := request.Dispatching("runner")
	switch rapid.SampledFrom([]string{"no connection", "not confirmed", "refused", "lost before", "lost after", "accepted"}).Draw(t, "dispatch") {
	case "no connection":
		return request.NotSent()
	case "not confirmed":
		return request.NotConfirmed()
	case "refused":
		return request.Reject()
	case "lost before":
		// The dispatch is still on its way and may arrive later, unless barred.
		world.mayRun[number] = true
		return request.Lost()
	case "lost after":
		world.reached[number] = true
		world.mayRun[number] = true
		return request.Lost()
	}
	world.reached[number] = true
	world.mayRun[number] = true
	request.Accept()
	return streamOnce(t, request)
}

func streamOnce(t *rapid.T, request *Request) Next {
	for range rapid.IntRange(0, 3).Draw(t, "frames") {
		request.Started(request.Attempt())
		request.Frame(request.Attempt(), request.Offset(), 1)
	}
	if rapid.Bool().Draw(t, "ends") && request.Finish(request.Attempt(), request.Offset()) {
		return Stop
	}
	return request.Lost()
}

func resumeOnce(t *rapid.T, request *Request, world *truth) Next {
	number := request.Attempt()
	switch rapid.SampledFrom([]string{"answers", "silent", "other process"}).Draw(t, "resume") {
	case "answers":
		if !world.reached[number] {
			// The engine never saw the attempt and bars it: it will not run.
			delete(world.mayRun, number)
			return request.NeverSeen()
		}
		request.Accept()
		return streamOnce(t, request)
	case "other process":
		return request.EngineGone()
	}
	return request.EngineGone()
}

func TestFramesPassOnlyInOrderAndOfTheCurrentAttempt(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(true, DefaultLimits())
	request.Dispatching("one")
	g.Expect(request.Frame(1, 0, 1)).To(BeFalse(), "before the engine accepted")
	request.Accept()
	g.Expect(request.Frame(1, 0, 2)).To(BeTrue())
	g.Expect(request.Frame(1, 0, 2)).To(BeFalse(), "a repeat")
	g.Expect(request.Frame(1, 3, 1)).To(BeFalse(), "a gap")
	g.Expect(request.Frame(2, 2, 1)).To(BeFalse(), "an attempt that was not made")
	g.Expect(request.EngineGone()).To(Equal(Dispatch))
	request.Dispatching("two")
	request.Accept()
	g.Expect(request.Frame(1, 2, 1)).To(BeFalse(), "a late frame of the earlier attempt")
	g.Expect(request.Frame(2, 2, 1)).To(BeTrue())
	g.Expect(request.Finish(2, 4)).To(BeFalse(), "an end with tokens missing")
	g.Expect(request.Finish(2, 3)).To(BeTrue())
}

func TestUnrepeatableRequestIsDispatchedAgainOnlyAfterProof(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(false, DefaultLimits())
	request.Dispatching("one")
	g.Expect(request.Lost()).To(Equal(Resume))
	g.Expect(request.NeverSeen()).To(Equal(Dispatch))
	request.Dispatching("two")
	g.Expect(request.Lost()).To(Equal(Resume))
	g.Expect(request.EngineGone()).To(Equal(Stop))
	g.Expect(request.RunState()).To(Equal(Unknown))
}

func TestOnlyACopyLetsAnUnrepeatableRunGoOn(t *testing.T) {
	g := NewWithT(t)
	request := NewRequest(false, Limits{MaxAttempts: 1, MaxRefusals: 3})
	request.Dispatching("a")
	g.Expect(request.CopyHeld()).To(Equal(Dispatch))
	request.Dispatching("b")
	g.Expect(request.Reject()).To(Equal(Stop), "the copy was not there: nobody else may run it")
	g.Expect(request.RunState()).To(Equal(FailedAfterRun))

	again := NewRequest(false, Limits{MaxAttempts: 1, MaxRefusals: 3})
	again.Dispatching("a")
	again.CopyHeld()
	again.Dispatching("b")
	g.Expect(again.CopyHeld()).To(Equal(Stop), "copies are not copied")
}

// Whatever way the engine that was to go on from a copy does not, the run before
// has run, and an unrepeatable request must not be dispatched anew.
func TestRunThatCouldNotGoOnIsNeverDispatchedAnew(t *testing.T) {
	for name, refuse := range map[string]func(*Request) Next{
		"rejected": (*Request).Reject, "stale": (*Request).RejectStale, "not sent": (*Request).NotSent, "never seen": (*Request).NeverSeen,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			request := NewRequest(false, Limits{MaxAttempts: 2, MaxRefusals: 3})
			request.Dispatching("a")
			g.Expect(request.CopyHeld()).To(Equal(Dispatch))
			request.Dispatching("b")
			g.Expect(refuse(request)).To(Equal(Stop))
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
		{"refused by the engine", func(r *Request) { r.Dispatching("a"); r.Reject() }, NotRun},
		{"no connection", func(r *Request) { r.Dispatching("a"); r.NotSent() }, NotRun},
		{"in flight", func(r *Request) { r.Dispatching("a") }, Unknown},
		{"accepted, not known to have begun", func(r *Request) { r.Dispatching("a"); r.Accept() }, Unknown},
		{"begun", func(r *Request) { r.Dispatching("a"); r.Accept(); r.Started(1) }, FailedAfterRun},
		{"engine gone in flight, then refused elsewhere", func(r *Request) {
			r.Dispatching("a")
			r.EngineGone()
			r.Dispatching("b")
			r.Reject()
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
