package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/liveness"
)

func TestStalledRunnerCountsAsWait(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	a := set.entries["a"]
	const tokens = PrefillRate / 10 // a tenth of a second
	first := set.Begin(start, "a", tokens)
	g.Expect(a.currentAssumedWait(start.Add(150*time.Millisecond))).To(BeZero(), "the prefill is still in progress")
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(800 * time.Millisecond))
	second := set.Begin(start.Add(time.Second), "a", 0)
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(800*time.Millisecond), "a new request is not progress")

	set.FirstResponse(start.Add(time.Second), first)
	g.Expect(a.currentAssumedWait(start.Add(time.Second))).To(Equal(450*time.Millisecond), "measured wait: half of 900 ms")
	set.End(start.Add(5*time.Second), second, Abandoned)
	g.Expect(a.currentAssumedWait(start.Add(5*time.Second))).To(Equal(4*time.Second), "the abandoned request waited at least this long")
	g.Expect(a.currentAssumedWait(start.Add(20*time.Second))).To(BeNumerically("<", 10*time.Millisecond), "the measured wait decays")
}

// newSilentSet returns a set with an engine of eight slots that is silent, and its requests that wait. The first was sent
// at start, the others 10 ms apart.
func newSilentSet(requests int) (set *Set, engine *entry, sends []*Send) {
	set = NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 8})
	for i := range requests {
		sends = append(sends, set.Begin(start.Add(time.Duration(i)*10*time.Millisecond), "a", 0))
	}
	return set, set.entries["a"], sends
}

// Guards against requests that are refused while a sound engine with free slots is silent for a moment.
func TestSilenceOfEngineWithFreeSlotIsNoQueue(t *testing.T) {
	g := NewWithT(t)
	set, engine, _ := newSilentSet(4)
	queue, slowness := set.expectedWaits(start.Add(time.Second), engine, "m", 4)
	g.Expect(queue).To(BeZero())
	g.Expect(slowness).To(Equal(900*time.Millisecond), "other engines are still preferred")
	queue, slowness = set.expectedWaits(start.Add(time.Second), engine, "m", 8)
	g.Expect(queue).To(Equal(900*time.Millisecond), "all slots are taken")
	g.Expect(slowness).To(BeZero())
	queue, _ = set.expectedWaits(start.Add(maxStall+liveness.MaxSilence), engine, "m", 4)
	g.Expect(queue).To(Equal(liveness.MaxSilence), "sound engines are not silent for so long")
}

// Guards against requests that are refused after a silence, when the engine responds at once again.
func TestWaitsDuringSilenceAreNoQueueAfterwards(t *testing.T) {
	g := NewWithT(t)
	set, engine, sends := newSilentSet(4)
	now := start.Add(time.Second)
	for _, send := range sends {
		set.FirstResponse(now, send)
	}
	queue, slowness := set.expectedWaits(now, engine, "m", 4)
	g.Expect(queue).To(BeNumerically("<", time.Millisecond))
	g.Expect(slowness).To(BeNumerically("~", 920*time.Millisecond, 50*time.Millisecond), "other engines are still preferred")
	later, _ := set.expectedWaits(now.Add(time.Second), engine, "m", 4)
	g.Expect(later).To(BeNumerically("<", time.Millisecond))
	set.FirstResponse(now.Add(600*time.Millisecond), set.Begin(now, "a", 0))
	queue, _ = set.expectedWaits(now.Add(600*time.Millisecond), engine, "m", 4)
	g.Expect(queue).To(BeNumerically("~", 300*time.Millisecond, 5*time.Millisecond), "a wait after the silence is a queue")
}

// Guards against queues of an engine that works which are taken for silence.
func TestWaitsAtWorkingEngineAreQueue(t *testing.T) {
	g := NewWithT(t)
	set, engine, sends := newSilentSet(4)
	now := start
	for _, send := range sends {
		now = now.Add(300 * time.Millisecond)
		set.FirstResponse(now, send)
	}
	queue, slowness := set.expectedWaits(now, engine, "m", 4)
	g.Expect(queue).To(BeNumerically(">", 700*time.Millisecond), "it began a response each 300 ms")
	g.Expect(slowness).To(BeZero())

	set, engine, sends = newSilentSet(4)
	stream := set.Begin(start, "a", 0)
	set.FirstResponse(start, stream)
	set.End(start.Add(800*time.Millisecond), stream, Succeeded)
	set.FirstResponse(start.Add(time.Second), sends[0])
	queue, _ = set.expectedWaits(start.Add(time.Second), engine, "m", 4)
	g.Expect(queue).To(BeNumerically(">", 50*time.Millisecond), "it ended a response meanwhile")
}

// Guards against the learned prefill speed taking a silence for work.
func TestSilenceIsNoSampleOfPrefill(t *testing.T) {
	g := NewWithT(t)
	set, engine, _ := newSilentSet(0)
	for range 2 {
		set.BeginQuery(start, "a", 100, Query{Service: "s", Model: "m"})
	}
	first := set.BeginQuery(start, "a", 100, Query{Service: "s", Model: "m"})
	first.prefillIdle = true
	set.FirstResponse(start.Add(time.Second), first)
	g.Expect(set.runnerPrefill(engine).samples).To(BeZero())
}
