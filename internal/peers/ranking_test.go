package peers

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/distance"
)

var start = time.Unix(1_000, 0)

// newRanking returns a ranking of the routers a, b and c for a router in zone z1.
func newRanking(self string) *Ranking {
	r := NewRanking(self, "z1", distance.New(distance.Config{}))
	r.Set([]string{"a", "b", "c"})
	return r
}

func TestOrderPrefersNearRoutersAndPutsSilentOnesLast(t *testing.T) {
	g := NewWithT(t)
	r := newRanking("r")
	r.RecordReply("a", "z2", 2*time.Millisecond)
	r.RecordReply("b", "z1", 200*time.Microsecond)
	g.Expect(r.Order(start)).To(Equal([]string{"b", "c", "a"}), "own zone, unknown zone, other zone")
	r.RecordTimeout(start, "b")
	g.Expect(r.Order(start)).To(Equal([]string{"c", "a", "b"}))
	g.Expect(r.Order(start.Add(silencePenalty))[0]).To(Equal("b"), "first again once the penalty has expired")
	g.Expect(newRanking("a").Order(start)[0]).To(Equal("a"), "a router that is in the list ranks itself first")
}

func TestStartingRouterHasShortPenalty(t *testing.T) {
	g := NewWithT(t)
	r := newRanking("r")
	r.RecordTimeout(start, "a")
	g.Expect(r.IsSilent(start, "a")).To(BeTrue())
	g.Expect(r.IsSilent(start.Add(startupPenalty), "a")).To(BeFalse())
}

func TestReachableIsFalseWhenAllRoutersAreSilent(t *testing.T) {
	g := NewWithT(t)
	r := newRanking("r")
	for _, address := range []string{"a", "b", "c"} {
		g.Expect(r.Reachable(start)).To(BeTrue())
		r.RecordTimeout(start, address)
	}
	g.Expect(r.Reachable(start)).To(BeFalse())
	r.RecordReply("c", "z2", time.Millisecond)
	g.Expect(r.Reachable(start)).To(BeTrue(), "a late reply shows that the router is available again")
}

func TestHedgeDelayFollowsObservedRoundTrip(t *testing.T) {
	g := NewWithT(t)
	r := newRanking("r")
	g.Expect(r.HedgeDelay()).To(Equal(initialHedgeDelay))
	r.RecordReply("a", "z1", 200*time.Microsecond)
	g.Expect(r.HedgeDelay()).To(Equal(minHedgeDelay))
	far := newRanking("r")
	far.RecordReply("a", "z9", 20*time.Millisecond)
	g.Expect(far.HedgeDelay()).To(Equal(maxHedgeDelay))
}

func TestSetDropsStatsOfRemovedRouters(t *testing.T) {
	g := NewWithT(t)
	r := newRanking("r")
	r.RecordReply("a", "z1", 20*time.Millisecond)
	r.Set([]string{"b", "d"})
	g.Expect(r.HedgeDelay()).To(Equal(initialHedgeDelay))
	r.RecordReply("a", "z1", time.Millisecond)
	g.Expect(r.Order(start)).To(ConsistOf("b", "d"))
}

// newRegionalRanking is newRanking with regions: z1 and z2 are in the own one, and z3 in another.
func newRegionalRanking(self string) *Ranking {
	r := NewRanking(self, "z1", distance.New(distance.Config{Zone: "z1", Regions: map[string]string{"z1": "near", "z2": "near", "z3": "far"}}))
	r.Set([]string{"a", "b", "c", "d"})
	return r
}

// Guards against requests to routers of another region while nearer ones answer, also to those whose
// zone is not known yet.
func TestOrderPrefersRoutersOfSameRegion(t *testing.T) {
	g := NewWithT(t)
	r := newRegionalRanking("r")
	r.RecordReply("a", "z3", 40*time.Millisecond)
	r.RecordReply("b", "z2", time.Millisecond)
	r.RecordZone("c", "z1")
	g.Expect(r.Order(start)).To(Equal([]string{"c", "b", "d", "a"}), "own zone, own region, unknown zone, other region")
	g.Expect(r.RegionOrder(start)).To(Equal([]string{"c", "b"}))
	r.RecordTimeout(start, "c")
	g.Expect(r.Order(start)).To(Equal([]string{"b", "d", "a", "c"}))
	g.Expect(r.RegionOrder(start)).To(Equal([]string{"b"}))
	r.RecordTimeout(start, "d")
	g.Expect(r.RegionOrder(start.Add(startupPenalty))).To(Equal([]string{"c", "b"}), "the zone of d is still unknown")
}

// Guards against a region without a router that answers while a standby scheduler would, and against
// requests to a router that the list places after this one.
func TestRegionOrderContinuesWithListedRouters(t *testing.T) {
	g := NewWithT(t)
	r := newRegionalRanking("y")
	r.SetListed([]string{"a", "x", "y", "z"})
	r.RecordReply("b", "z2", time.Millisecond)
	r.RecordReply("c", "z3", 40*time.Millisecond)
	g.Expect(r.RegionOrder(start)).To(Equal([]string{"b", "a", "x", "y"}), "the zone of a is unknown, but a is listed")
	r.RecordReply("x", "z2", time.Millisecond)
	r.RecordTimeout(start, "x")
	r.RecordTimeout(start, "b")
	g.Expect(r.RegionOrder(start)).To(Equal([]string{"a", "y"}))
	r.SetListed([]string{"y"})
	r.SetListed([]string{"x", "y"})
	g.Expect(r.RegionOrder(start)).To(Equal([]string{"x", "y"}), "a router that was removed from the list starts anew")
}
