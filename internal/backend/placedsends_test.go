package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

var testSendKey = SendKey{Router: "r", Incarnation: 1, Number: 7}

func newPlacedSendsSet() (*Set, *PlacedSends) {
	set := NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 8})
	set.Put(Runner{ID: "b", Service: "s", Slots: 8})
	return set, NewPlacedSends(set)
}

func TestPlacedSendsCountInLoadsUntilTheyEnd(t *testing.T) {
	g := NewWithT(t)
	set, sends := newPlacedSendsSet()
	sends.Begin(start, testSendKey, "a", 500, Query{Service: "s"}, time.Minute)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"a": {Tokens: 500, Requests: 1}}))
	g.Expect(set.ChangedLoads()).To(Equal(set.Loads()))
	g.Expect(set.ChangedLoads()).To(BeEmpty(), "no change since the last call")
	sends.FirstResponse(start, testSendKey)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"a": {Requests: 1}}))
	sends.End(start, testSendKey, Succeeded)
	sends.End(start, testSendKey, Succeeded)
	g.Expect(set.Loads()).To(BeEmpty())
	g.Expect(sends.Len()).To(BeZero())
	g.Expect(set.ChangedLoads()).To(Equal(map[string]Load{"a": {}}), "no open requests are left")
}

func TestPlacedSendWithoutReportedEndExpires(t *testing.T) {
	g := NewWithT(t)
	set, sends := newPlacedSendsSet()
	sends.Begin(start, testSendKey, "a", 500, Query{Service: "s"}, 2*time.Second)
	other := testSendKey
	other.Number++
	sends.Begin(start.Add(3*time.Second), other, "b", 100, Query{Service: "s"}, 2*time.Second)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"b": {Tokens: 100, Requests: 1}}))
	_, candidates := set.Candidates(start.Add(3*time.Second), Query{Service: "s"})
	g.Expect(candidates[0].PendingTokens).To(BeZero(), "the expired request must not count against the runner")
}

func TestSendKeyIncludesRouterIncarnation(t *testing.T) {
	g := NewWithT(t)
	set, sends := newPlacedSendsSet()
	sends.Begin(start, testSendKey, "a", 500, Query{Service: "s"}, time.Minute)
	restarted := testSendKey
	restarted.Incarnation++
	sends.End(start, restarted, Succeeded)
	g.Expect(set.Loads()).To(HaveKey("a"))
	sends.Begin(start, testSendKey, "b", 100, Query{Service: "s"}, time.Minute)
	g.Expect(set.Loads()).To(Equal(map[string]Load{"b": {Tokens: 100, Requests: 1}}), "a reused key replaces the first request")
}

func TestPeerLoadsExpire(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	set.SetPeerLoads(start, "x", true, map[string]Load{"a": {Tokens: 900, Requests: 2}})
	set.SetPeerLoads(start, "y", true, map[string]Load{"a": {Tokens: 100, Requests: 1}})
	set.SetPeerLoads(start, "x", false, map[string]Load{"b": {Tokens: 50, Requests: 1}})
	g.Expect(set.peerLoad(start, "a")).To(Equal(Load{Tokens: 1000, Requests: 3}))
	g.Expect(set.peerLoad(start, "b")).To(Equal(Load{Tokens: 50, Requests: 1}))
	g.Expect(set.Loads()).To(BeEmpty(), "peer loads are not reported as local loads")
	set.SetPeerLoads(start.Add(peerLoadTTL), "y", true, map[string]Load{})
	g.Expect(set.peerLoad(start.Add(peerLoadTTL), "a")).To(Equal(Load{}), "one peer's report expired, the other reports no load")
}

func TestUsableRejectsUnavailableRunners(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	g.Expect(set.Usable(start, "a", Query{Service: "s"}, backpressure.Permit{})).To(BeTrue())
	g.Expect(set.Usable(start, "a", Query{Service: "other"}, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.Usable(start, "c", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse(), "not in this router's directory")
	g.Expect(set.Usable(start, "a", Query{Service: "s", Excluded: []string{"a"}}, backpressure.Permit{})).To(BeFalse())
	g.Expect(set.Usable(start, "a", Query{Service: "s", Model: "m"}, backpressure.Permit{})).To(BeFalse(), "the runner does not hold the model")
	set.End(start, set.Begin(start, "a", 0), Unreachable)
	g.Expect(set.Usable(start, "a", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse(), "the runner was just unreachable")
	set.Put(Runner{ID: "b", Service: "s", Draining: true})
	g.Expect(set.Usable(start, "b", Query{Service: "s"}, backpressure.Permit{})).To(BeFalse())
}

// Responses reveal a new weight version earlier than the directory does.
func TestPlacedSendsLearnWeightVersions(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(Runner{ID: "a", Service: "s", Slots: 8, Models: []ModelVersion{{Name: "m", Version: 1}}})
	sends := NewPlacedSends(set)
	sends.Begin(start, testSendKey, "a", 100, Query{Service: "s", Model: "m"}, time.Minute)
	sends.LearnVersion(testSendKey, 0)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(1))
	sends.LearnVersion(testSendKey, 3)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(3))
	sends.LearnVersion(SendKey{Number: 99}, 9)
	g.Expect(set.WeightVersion("a", "m")).To(BeEquivalentTo(3), "unknown request")
}

// A router that never calls ChangedLoads must not accumulate removed runners.
func TestRemovedRunnersHaveNoChangedLoads(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	set.End(start, set.Begin(start, "a", 100), Succeeded)
	set.Remove("a")
	g.Expect(set.ChangedLoads()).To(BeEmpty())
}

// Guards against loads from before a cut of the link between two schedulers that count again with the
// first change that arrives after it.
func TestExpiredLoadsDoNotCountAgainAfterChange(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	set.SetPeerLoads(start, "x", true, map[string]Load{"a": {Requests: 7}})
	set.SetPeerLoads(start.Add(peerLoadTTL-1), "x", false, map[string]Load{"b": {Requests: 1}})
	g.Expect(set.peerLoad(start.Add(peerLoadTTL), "a").Requests).To(Equal(7), "one lost report changes nothing")
	back := start.Add(3 * time.Minute)
	set.SetPeerLoads(back, "x", false, map[string]Load{"b": {Requests: 2}})
	g.Expect(set.peerLoad(back, "a").Requests).To(BeZero())
	g.Expect(set.peerLoad(back, "b").Requests).To(Equal(2))
}

// Guards against choices that get slower, and memory that grows, with each router that was a standby
// scheduler for a while.
func TestRoutersThatNoLongerReportAreForgotten(t *testing.T) {
	g := NewWithT(t)
	set, _ := newPlacedSendsSet()
	now := start
	for i := range 100 {
		now = now.Add(peerLoadTTL)
		set.SetPeerLoads(now, fmt.Sprint(i), true, map[string]Load{"a": {Requests: 1}})
		g.Expect(len(set.peers)).To(Equal(1))
	}
	set.SetPeerLoads(now.Add(peerLoadTTL-1), "other", true, map[string]Load{"a": {Requests: 2}})
	g.Expect(set.peerLoad(now.Add(peerLoadTTL-1), "a").Requests).To(Equal(3), "a router that still reports")
}

// Guards against requests that count twice: a standby scheduler sends a request to the runner that a seed
// chose, and both report it.
func TestSendsThatAnotherRouterReportsAreNotInLoads(t *testing.T) {
	for name, end := range map[string]func(*Set, *Send){
		"without response": func(set *Set, send *Send) { set.End(start, send, Unreachable) },
		"not confirmed":    func(set *Set, send *Send) { set.End(start, send, NotConfirmed) },
		"after response": func(set *Set, send *Send) {
			set.FirstResponse(start, send)
			set.End(start, send, Succeeded)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			set, sends := newPlacedSendsSet()
			query := Query{Service: "s", MaxEventGap: time.Second}
			own := set.BeginQuery(start, "a", 300, query)
			set.ReportedElsewhere(own)
			g.Expect(set.Loads()).To(BeEmpty())
			sends.Begin(start, testSendKey, "a", 500, query, time.Minute)
			placed := map[string]Load{"a": {Tokens: 500, Requests: 1}}
			g.Expect(set.Loads()).To(Equal(placed))
			_, candidates := set.Candidates(start, query)
			g.Expect(candidates[0].PendingRequests).To(Equal(2), "the router itself counts both")
			end(set, own)
			g.Expect(set.Loads()).To(Equal(placed))
			sends.FirstResponse(start, testSendKey)
			streaming := map[string]Load{"a": {Requests: 1, Streams: 1, TotalMaxGap: time.Second}}
			g.Expect(set.Loads()).To(Equal(streaming))
			other := set.BeginQuery(start, "a", 300, query)
			set.ReportedElsewhere(other)
			set.FirstResponse(start, other)
			g.Expect(set.Loads()).To(Equal(streaming))
			g.Expect(set.ChangedLoads()).To(Equal(streaming))
			set.End(start, other, Succeeded)
			sends.End(start, testSendKey, Succeeded)
			g.Expect(set.Loads()).To(BeEmpty())
			g.Expect(set.ChangedLoads()).To(Equal(map[string]Load{"a": {}}))
		})
	}
}
