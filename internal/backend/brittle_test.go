package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

const brittleSlots = 9

// newBrittleSet returns a set of a scheduler, one of the given number, with two runners of a service of
// which one has said that it is brittle. The scheduler has been one for a while.
func newBrittleSet(schedulers int) *Set {
	set := NewSet("z")
	set.Permits().SetSchedulerCount(start.Add(-time.Minute), schedulers)
	for _, id := range []string{"a", "b"} {
		set.Put(Runner{ID: id, Incarnation: 1, Service: "s", Zone: "z", Slots: brittleSlots})
	}
	a, _ := set.Get("a")
	set.RecordSignals(start, start, a, backpressure.Signals{Brittle: true, MaxRejections: 3}, true)
	return set
}

// fill begins as many requests at the runner as it has room for, and returns them.
func fill(set *Set, now time.Time, id string) (sends []*Send) {
	for len(sends) < 100 && set.roomWait(now, set.entries[id]) == 0 {
		sends = append(sends, set.Begin(now, id, 0))
	}
	return sends
}

// Guards against a runner of a brittle service that is filled beyond its slots because it has not said
// itself that it is brittle.
func TestRoomOfBrittleRunnerIsItsSlots(t *testing.T) {
	g, set := NewWithT(t), newBrittleSet(1)
	g.Expect(fill(set, start, "a")).To(HaveLen(brittleSlots))
	g.Expect(fill(set, start, "b")).To(HaveLen(brittleSlots))
	request, candidates := set.Candidates(start, Query{Service: "s"})
	g.Expect(candidates).To(BeEmpty())
	g.Expect(request.HeldBack.Limited).To(Equal(2))
	g.Expect(request.HeldBack.LimitWait).To(BeNumerically(">", 0))
}

// Guards against a runner that rejects requests, because of others or of its memory, and is filled to the
// same number again.
func TestRoomOfBrittleRunnerFallsWithRejections(t *testing.T) {
	g, set := NewWithT(t), newBrittleSet(1)
	sends := fill(set, start, "a")
	a, _ := set.Get("a")
	for range 2 {
		set.RecordSignals(start, start, a, backpressure.Signals{Brittle: true, MaxRejections: 3, Rejected: true}, false)
	}
	set.End(start, sends[0], Refused)
	for _, send := range sends[1:] {
		set.End(start.Add(time.Millisecond), send, Succeeded)
	}
	g.Expect(fill(set, start.Add(time.Second-1), "a")).To(BeEmpty(), "nothing is sent for a second after half of the allowed rejections")
	now := start.Add(time.Second)
	sends = fill(set, now, "a")
	g.Expect(sends).To(HaveLen(brittleSlots - 1))
	for _, send := range sends {
		set.End(now, send, Succeeded)
	}
	g.Expect(fill(set, start.Add(2*roomRecoveryTime), "a")).To(HaveLen(brittleSlots))
}

// Guards against schedulers that each fill the room which a silent one has used already.
func TestRoomAssumesLoadOfSilentSchedulers(t *testing.T) {
	g, set := NewWithT(t), newBrittleSet(3)
	g.Expect(fill(set, start, "a")).To(HaveLen(brittleSlots/3), "it has heard no other scheduler yet")
	set = newBrittleSet(3)
	for _, other := range []string{"x", "y"} {
		set.SetPeerLoads(start, other, true, map[string]Load{"a": {Requests: 1}})
	}
	g.Expect(fill(set, start, "a")).To(HaveLen(brittleSlots - 2))
	set = newBrittleSet(3)
	set.SetPeerLoads(start, "x", true, map[string]Load{"a": {Requests: 5}})
	set.SetPeerLoads(start, "y", true, nil)
	g.Expect(fill(set, start.Add(peerLoadTTL), "a")).To(HaveLen(brittleSlots - 5 - brittleSlots/3))
	set = newBrittleSet(3)
	for _, other := range []string{"x", "y"} {
		set.SetPeerLoads(start, other, true, nil)
	}
	g.Expect(fill(set, start.Add(silentLoadTime), "a")).To(HaveLen(brittleSlots), "they are lost")
}

// Guards against a router that knows only its own requests and fills a brittle runner together with others.
func TestOnlySchedulersFindRoom(t *testing.T) {
	g, set := NewWithT(t), newBrittleSet(1)
	set.Permits().SetSchedulerCount(start, 0)
	g.Expect(fill(set, start, "a")).To(BeEmpty())
}

// Guards against a service that stays restricted after its runners are sound again, and one that is never
// restricted because runners say so only later.
func TestServiceIsBrittleWhileAnyRunnerSaysSo(t *testing.T) {
	g, set := NewWithT(t), newBrittleSet(1)
	g.Expect(set.IsBrittle(start, "s")).To(BeTrue())
	g.Expect(set.IsBrittle(start, "t")).To(BeFalse())
	a, _ := set.Get("a")
	sent := start.Add(2 * time.Second)
	set.RecordSignals(sent, sent, a, backpressure.Signals{}, true)
	g.Expect(set.IsBrittle(sent, "s")).To(BeFalse())
	g.Expect(len(fill(set, sent, "a"))).To(BeNumerically(">=", 0))
	request, _ := set.Candidates(sent, Query{Service: "s"})
	g.Expect(request.HeldBack.Any()).To(BeFalse())
}
