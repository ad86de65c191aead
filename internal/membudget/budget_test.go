package membudget

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newBudget(limit int64) *Budget { return New(Config{Limit: limit, Now: time.Now}) }

// evictable returns a holder that releases what it has when it is evicted.
func evictable(b *Budget, class Class) *Holder {
	var h *Holder
	h = b.Register(class, func() { go h.Release() })
	return h
}

// Guards against strangers whose bodies stop arriving and who keep ordinary callers out.
func TestStalledBodiesMakeRoom(t *testing.T) {
	g, b := NewWithT(t), newBudget(100)
	stalled := evictable(b, ReceivingBody)
	g.Expect(stalled.Hold(nil, 90)).To(BeTrue())
	ordinary := evictable(b, ReceivingBody)
	g.Expect(ordinary.Hold(nil, 50)).To(BeTrue())
	g.Expect(stalled.IsEvicted()).To(BeTrue())
	g.Expect(b.Held()).To(Equal(int64(50)))
}

// Guards against callers that are evicted although they only wait for others that are served soon.
func TestHoldersWaitForReleases(t *testing.T) {
	g, b := NewWithT(t), newBudget(100)
	whole := evictable(b, Whole)
	g.Expect(whole.Hold(nil, 90)).To(BeTrue())
	time.AfterFunc(50*time.Millisecond, whole.Release)
	waiting := evictable(b, ReceivingBody)
	g.Expect(waiting.Hold(nil, 50)).To(BeTrue())
	g.Expect(whole.IsEvicted()).To(BeFalse())
}

// Guards against requests that have arrived whole and are ended for others.
func TestWholeRequestsAreKept(t *testing.T) {
	g, b := NewWithT(t), newBudget(100)
	whole := evictable(b, Whole)
	g.Expect(whole.Hold(nil, 90)).To(BeTrue())
	refused := evictable(b, ReceivingBody)
	g.Expect(refused.Hold(nil, 50)).To(BeFalse())
	g.Expect(refused.HoldNow(50)).To(BeFalse())
	g.Expect(whole.IsEvicted()).To(BeFalse())
	g.Expect(refused.TryHold(10)).To(BeTrue())
}

// Guards against connections without a request, or with a part of a head, that hold the memory of requests.
func TestIdleConnectionsAndHeadsMakeRoomAtOnce(t *testing.T) {
	for _, class := range []Class{Idle, ReceivingHead} {
		g, b := NewWithT(t), newBudget(100)
		old := evictable(b, class)
		g.Expect(old.HoldNow(90)).To(BeTrue())
		g.Expect(evictable(b, ReceivingHead).HoldNow(50)).To(BeTrue())
		g.Expect(old.IsEvicted()).To(BeTrue())
	}
}

// Guards against a few large requests that keep new connections and small requests out.
func TestReserveIsLeftToSmallHolders(t *testing.T) {
	g, b := NewWithT(t), New(Config{Limit: 100, Reserve: 20, SmallBytes: 5, Now: time.Now})
	large := evictable(b, Whole)
	g.Expect(large.Hold(nil, 81)).To(BeFalse())
	g.Expect(large.Hold(nil, 80)).To(BeTrue())
	g.Expect(evictable(b, ReceivingBody).TryHold(6)).To(BeFalse())
	g.Expect(evictable(b, ReceivingBody).Hold(nil, 5)).To(BeTrue())
	g.Expect(evictable(b, Idle).HoldNow(10)).To(BeTrue())
}

// Guards against a holder that waits for what can never be.
func TestTooMuchIsRefusedAtOnce(t *testing.T) {
	g, b := NewWithT(t), newBudget(100)
	startedAt := time.Now()
	g.Expect(evictable(b, ReceivingBody).Hold(nil, 101)).To(BeFalse())
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", maxWait))
}

// Checks that the limit holds, and that nothing is held at the end, for any order of calls.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, open := newBudget(100), []*Holder{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			bytes := int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0 || len(open) == 0:
				open = append(open, b.Register(Class(rapid.IntRange(0, 3).Draw(t, "class")), func() {}))
			case action == 1:
				open[len(open)-1].TryHold(bytes)
			case action == 2:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")].ShrinkTo(bytes)
			case action == 3:
				open[0].Release()
				open = open[1:]
			default:
				open[0].SetClass(Class(rapid.IntRange(0, 3).Draw(t, "class")))
			}
			if b.Held() > 100 || b.Held() < 0 {
				t.Fatalf("%d bytes are held", b.Held())
			}
		}
		for _, h := range open {
			h.Release()
			h.Release()
		}
		if b.Held() != 0 || b.leaving != 0 || b.holders.Len() != 0 {
			t.Fatalf("%d bytes are held by nobody", b.Held())
		}
	})
}

// Guards against callers that are never served while many others come and go.
func TestManyHoldersAtOnceAreServed(t *testing.T) {
	g, b := NewWithT(t), newBudget(1000)
	var group sync.WaitGroup
	var served atomic.Int64
	for range 200 {
		group.Go(func() {
			h := evictable(b, ReceivingBody)
			defer h.Release()
			if h.Hold(nil, 100) {
				h.SetClass(Whole)
				time.Sleep(time.Millisecond)
				served.Add(1)
			}
		})
	}
	group.Wait()
	g.Expect(served.Load()).To(Equal(int64(200)))
	g.Expect(b.Held()).To(BeZero())
}
