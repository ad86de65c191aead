package fairshare

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// short returns a tracker with three tenants of which one uses most, and some refused.
func short() *Tracker {
	t := New(Config{})
	t.Charge(start, shared, "much", 900000)
	t.Charge(start, shared, "some", 100000)
	t.Charge(start, shared, "little", 50000)
	t.Refuse(start, shared, "some", 200000)
	return t
}

func TestExcessNamesWhoUsesMoreThanTheFairShare(t *testing.T) {
	g := NewWithT(t)
	tracker := short()
	g.Expect(tracker.Excess(start, shared, "much")).To(BeNumerically(">", 1.5))
	for _, tenant := range []string{"some", "little", "unknown", ""} {
		g.Expect(tracker.Excess(start, shared, tenant)).To(Equal(1.0), tenant)
	}
	g.Expect(tracker.Excess(start, Pool{Service: "s", Tier: 1}, "much")).To(Equal(1.0), "tiers do not share")
	beyond := tracker.Beyond(start, 10)
	g.Expect(beyond).To(HaveLen(1))
	g.Expect(beyond[0].Tenant).To(Equal("much"))
	g.Expect(tracker.Beyond(start, 0)).To(BeEmpty())
}

func TestExcessEndsWithTheUse(t *testing.T) {
	g := NewWithT(t)
	tracker := short()
	later := start.Add(10 * defaultHalfLife)
	g.Expect(tracker.Excess(later, shared, "much")).To(Equal(1.0))
	tracker.Charge(later.Add(20*defaultHalfLife), shared, "some", 1)
	g.Expect(tracker.Tenants()).To(Equal(1), "what has decayed is forgotten")
}

func TestWeightsDivideShares(t *testing.T) {
	g := NewWithT(t)
	tracker := short()
	tracker.SetWeights(map[string]float64{"much": 18, "some": 2, "little": 1})
	g.Expect(tracker.Excess(start, shared, "much")).To(BeNumerically("<", 1.5), "nine times the limit, nine times the share")
}

func TestUseFadesToTheShare(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{Burst: 1})
	tracker.Charge(start, shared, "much", 780000)
	tracker.Refuse(start, shared, "some", 900000)
	tracker.Charge(start, shared, "some", 420000)
	excess := tracker.Excess(start, shared, "much")
	g.Expect(excess).To(BeNumerically("~", math.Pow(1.3, steepness), 0.01))
	g.Expect(tracker.Fades(excess).Seconds()).To(BeNumerically("~", math.Log2(1.3)*defaultHalfLife.Seconds(), 0.01))
	g.Expect(tracker.Fades(1)).To(BeZero())
}

func TestOneLongRequestIsNoHabit(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	tracker.Charge(start, shared, "one", 16000)
	tracker.Charge(start, shared, "other", 1000)
	tracker.Refuse(start, shared, "other", 1000)
	g.Expect(tracker.Excess(start, shared, "one")).To(Equal(1.0))
}

func TestLostSchedulersCountForNothing(t *testing.T) {
	g := NewWithT(t)
	sums := short().Sums(start)
	tracker := New(Config{})
	tracker.Charge(start, shared, "little", 50000)
	tracker.Merge(start, "a", sums)
	g.Expect(tracker.Excess(start, shared, "much")).To(BeNumerically(">", 1))
	g.Expect(tracker.Sums(start)).To(HaveLen(1), "told as the service is short elsewhere")
	lost := start.Add(toldTime)
	g.Expect(tracker.Excess(lost, shared, "much")).To(Equal(1.0))
	g.Expect(tracker.Sums(lost)).To(BeEmpty())
}

func TestSumsAreBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	for service := range 5 {
		for tenant := range 200 {
			of := Pool{Service: tenantName(service)}
			tracker.Charge(start, of, tenantName(tenant), float64(tenant*100))
			tracker.Refuse(start, of, tenantName(tenant), 1000)
		}
	}
	sums := tracker.Sums(start)
	g.Expect(sums).To(HaveLen(mostPools))
	g.Expect(sums[0].Tenants).To(HaveLen(mostTold))
	g.Expect(sums[0].Tenants[0].Tenant).To(Equal(tenantName(199)), "who wants most is told first")
}

// event is something that a tracker is told.
type event struct {
	after   time.Duration
	tenant  string
	used    float64
	refused float64
}

func events() *rapid.Generator[[]event] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "after")) * time.Millisecond,
			tenant: tenantName(rapid.IntRange(0, 5).Draw(t, "tenant")),
			// No request costs less than requestCost. Less than nothing is a refund.
			used:    rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(requestCost, 200000), rapid.Float64Range(-200000, -requestCost)).Draw(t, "used"),
			refused: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(requestCost, 200000)).Draw(t, "refused"),
		}
	}), 1, 60)
}

func (e event) tell(tracker *Tracker) {
	now := start.Add(e.after)
	tracker.Charge(now, shared, e.tenant, math.Max(e.used, 0))
	tracker.Refund(now, now, shared, e.tenant, math.Max(-e.used, 0))
	tracker.Refuse(now, shared, e.tenant, e.refused)
}

// end is after all events.
var end = start.Add(7 * time.Second)

func TestExcessIsBoundedAndLeavesSomebodyAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		for _, e := range events().Draw(t, "events") {
			e.tell(tracker) // in any order: clocks step
		}
		least := math.Inf(1)
		for tenant := range tracker.pools[shared].own {
			excess := tracker.Excess(end, shared, tenant)
			if !(excess >= 1 && excess <= defaultMost) {
				t.Fatalf("excess of %s is %v", tenant, excess)
			}
			least = math.Min(least, excess)
		}
		if least > 1 && !math.IsInf(least, 1) {
			t.Fatalf("all are beyond their shares, the least by %v", least)
		}
	})
}

func TestNobodyIsBeyondWhileNothingIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		for _, e := range events().Draw(t, "events") {
			e.refused = 0
			e.tell(tracker)
		}
		if beyond := tracker.Beyond(end, 10); len(beyond) > 0 || len(tracker.Sums(end)) > 0 {
			t.Fatalf("beyond: %v", beyond)
		}
	})
}

func TestFairShareGivesOutWhatWasPlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, weights := New(Config{}), map[string]float64{}
		for i := range 6 {
			weights[tenantName(i)] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		tracker.SetWeights(weights)
		for _, e := range events().Draw(t, "events") {
			e.used = math.Abs(e.used)
			e.tell(tracker)
		}
		tenants := tracker.sums(end, tracker.pools[shared])
		share, used, given := fairShare(tenants), 0.0, 0.0
		for _, s := range tenants {
			used += s.used
			given += math.Min(s.wanted(), share*s.weight)
		}
		if tracker.short(end, tracker.pools[shared]) && math.Abs(given-used) > 1e-6*used {
			t.Fatalf("gave out %v of %v", given, used)
		}
	})
}

func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := events().Draw(t, "events")
		one, split, again := New(Config{}), []*Tracker{New(Config{}), New(Config{}), New(Config{})}, New(Config{})
		for i, e := range all {
			e.after, e.used = 0, math.Abs(e.used)
			e.tell(one)
			e.tell(split[i%len(split)])
		}
		// Who has refused nothing tells its sums once it has heard that others have.
		for i := range split {
			for j := range split {
				if i != j {
					split[j].Merge(start, tenantName(i), split[i].Sums(start))
				}
			}
		}
		order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
		for _, i := range order {
			sums := split[i].Sums(start)
			again.Merge(start, tenantName(i), sums)
			again.Merge(start, tenantName(i), sums) // told twice counts once
		}
		for i := range 6 {
			want, got := one.Excess(start, shared, tenantName(i)), again.Excess(start, shared, tenantName(i))
			if math.Abs(want-got) > 1e-6 {
				t.Fatalf("excess of %d is %v by one tracker, %v by told sums", i, want, got)
			}
		}
	})
}
