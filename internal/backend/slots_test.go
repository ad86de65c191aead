package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSlotWaitFollowsHoldTime(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	a := set.entries["a"]
	g.Expect(set.slotWait(a, 20)).To(BeZero(), "no measurements yet")
	set.End(start.Add(800*time.Millisecond), set.Begin(start, "a", 0), Succeeded)
	g.Expect(set.slotWait(a, 7)).To(BeZero(), "one of eight slots is free")
	g.Expect(set.slotWait(a, 8)).To(Equal(100*time.Millisecond), "one slot is released every 0.8 s / 8")
	g.Expect(set.slotWait(a, 17)).To(Equal(time.Second))
	set.End(start.Add(time.Minute), set.Begin(start, "a", 0), Abandoned)
	g.Expect(set.slotWait(a, 8)).To(Equal(100*time.Millisecond), "only complete responses are measured")
}

// Requests of a service without a model may take any time, so a slow response does not
// count as queueing: no request is refused for it while slots are free.
func TestSlowWorkWithoutModelIsNotQueueing(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 2})
	send := set.Begin(start, "a", 0)
	now := start.Add(time.Second)
	queue, slowness := set.expectedWaits(now, set.entries["a"], "", 1)
	g.Expect(queue).To(BeZero())
	g.Expect(slowness).To(BeNumerically(">", 500*time.Millisecond), "slowness still counts against the runner")
	set.FirstResponse(now, send)
	set.End(now, send, Succeeded)
	queue, _ = set.expectedWaits(now, set.entries["a"], "", 2)
	g.Expect(queue).To(Equal(500 * time.Millisecond))
	queue, slowness = set.expectedWaits(now, set.entries["a"], "m", 0)
	g.Expect(queue).To(BeNumerically(">", 0), "time beyond the prefill is queueing")
	g.Expect(slowness).To(BeZero())
}
