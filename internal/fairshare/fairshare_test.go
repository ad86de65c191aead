package fairshare

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// overloadedTracker returns a tracker with recent refusals and three tenants, of which "much" uses
// most.
func overloadedTracker() *Tracker {
	t := New(Config{})
	t.Charge(startTime, testPool, "much", 900000)
	t.Charge(startTime, testPool, "some", 100000)
	t.Charge(startTime, testPool, "little", 50000)
	t.RecordRefusal(startTime, testPool, "some", 200000)
	return t
}

func TestExcessOnlyForTenantsAboveFairShare(t *testing.T) {
	g := NewWithT(t)
	tracker := overloadedTracker()
	g.Expect(tracker.Excess(startTime, testPool, "much")).To(BeNumerically(">", 1.5))
	for _, tenant := range []string{"some", "little", "unknown", ""} {
		g.Expect(tracker.Excess(startTime, testPool, tenant)).To(Equal(1.0), tenant)
	}
	g.Expect(tracker.Excess(startTime, Pool{Service: "s", Tier: 1}, "much")).To(Equal(1.0), "tiers do not share")
	top := tracker.TopExcesses(startTime, 10)
	g.Expect(top).To(HaveLen(1))
	g.Expect(top[0].Tenant).To(Equal("much"))
	g.Expect(tracker.TopExcesses(startTime, 0)).To(BeEmpty())
}

func TestExcessDecaysWithUsage(t *testing.T) {
	g := NewWithT(t)
	tracker := overloadedTracker()
	later := startTime.Add(10 * defaultHalfLife)
	g.Expect(tracker.Excess(later, testPool, "much")).To(Equal(1.0))
	tracker.Charge(later.Add(20*defaultHalfLife), testPool, "some", 1)
	g.Expect(tracker.TenantCount()).To(Equal(1), "decayed usage is removed")
}

func TestFairSharesAreWeighted(t *testing.T) {
	g := NewWithT(t)
	tracker := overloadedTracker()
	tracker.SetWeights(map[string]float64{"much": 18, "some": 2, "little": 1})
	g.Expect(tracker.Excess(startTime, testPool, "much")).To(BeNumerically("<", 1.5), "nine times the weight gives nine times the share")
}

func TestRecoveryTime(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{Burst: 1})
	tracker.Charge(startTime, testPool, "much", 780000)
	tracker.RecordRefusal(startTime, testPool, "some", 900000)
	tracker.Charge(startTime, testPool, "some", 420000)
	excess := tracker.Excess(startTime, testPool, "much")
	g.Expect(excess).To(BeNumerically("~", math.Pow(1.3, excessExponent), 0.01))
	g.Expect(tracker.RecoveryTime(excess).Seconds()).To(BeNumerically("~", math.Log2(1.3)*defaultHalfLife.Seconds(), 0.01))
	g.Expect(tracker.RecoveryTime(1)).To(BeZero())
}

func TestBurstAllowanceIgnoresOneLongRequest(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	tracker.Charge(startTime, testPool, "one", 16000)
	tracker.Charge(startTime, testPool, "other", 1000)
	tracker.RecordRefusal(startTime, testPool, "other", 1000)
	g.Expect(tracker.Excess(startTime, testPool, "one")).To(Equal(1.0))
}

func TestRemoteUsageExpires(t *testing.T) {
	g := NewWithT(t)
	report := overloadedTracker().LocalUsage(startTime)
	tracker := New(Config{})
	tracker.Charge(startTime, testPool, "little", 50000)
	tracker.Merge(startTime, "a", report)
	g.Expect(tracker.Excess(startTime, testPool, "much")).To(BeNumerically(">", 1))
	g.Expect(tracker.LocalUsage(startTime)).To(HaveLen(1), "usage is reported because another scheduler refuses requests")
	expired := startTime.Add(remoteExpiry)
	g.Expect(tracker.Excess(expired, testPool, "much")).To(Equal(1.0))
	g.Expect(tracker.LocalUsage(expired)).To(BeEmpty())
}

func TestReportedUsageIsBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := New(Config{})
	for service := range 5 {
		for tenant := range 200 {
			pool := Pool{Service: tenantName(service)}
			tracker.Charge(startTime, pool, tenantName(tenant), float64(tenant*100))
			tracker.RecordRefusal(startTime, pool, tenantName(tenant), 1000)
		}
	}
	reports := tracker.LocalUsage(startTime)
	g.Expect(reports).To(HaveLen(maxReportedPools))
	g.Expect(reports[0].Tenants).To(HaveLen(maxReportedTenants))
	g.Expect(reports[0].Tenants[0].Tenant).To(Equal(tenantName(199)), "the tenant with the highest demand is reported first")
}

// trackerEvent is one update of a Tracker.
type trackerEvent struct {
	offset  time.Duration
	tenant  string
	used    float64
	refused float64
}

func eventSequences() *rapid.Generator[[]trackerEvent] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) trackerEvent {
		return trackerEvent{
			offset: time.Duration(rapid.IntRange(0, 6000).Draw(t, "after")) * time.Millisecond,
			tenant: tenantName(rapid.IntRange(0, 5).Draw(t, "tenant")),
			// No request costs less than baseRequestCost. A negative cost is a refund.
			used:    rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(baseRequestCost, 200000), rapid.Float64Range(-200000, -baseRequestCost)).Draw(t, "used"),
			refused: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(baseRequestCost, 200000)).Draw(t, "refused"),
		}
	}), 1, 60)
}

func (e trackerEvent) applyTo(tracker *Tracker) {
	now := startTime.Add(e.offset)
	tracker.Charge(now, testPool, e.tenant, math.Max(e.used, 0))
	tracker.Refund(now, now, testPool, e.tenant, math.Max(-e.used, 0))
	tracker.RecordRefusal(now, testPool, e.tenant, e.refused)
}

// endTime is later than all events.
var endTime = startTime.Add(7 * time.Second)

func TestExcessIsBoundedAndSparesOneTenant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		for _, e := range eventSequences().Draw(t, "events") {
			e.applyTo(tracker) // events are not ordered by time, because clocks can step
		}
		lowest := math.Inf(1)
		for tenant := range tracker.poolStates[testPool].local {
			excess := tracker.Excess(endTime, testPool, tenant)
			if !(excess >= 1 && excess <= defaultMaxExcess) {
				t.Fatalf("excess of %s is %v", tenant, excess)
			}
			lowest = math.Min(lowest, excess)
		}
		if lowest > 1 && !math.IsInf(lowest, 1) {
			t.Fatalf("all tenants are above their shares, the lowest excess is %v", lowest)
		}
	})
}

func TestNoExcessWithoutRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		for _, e := range eventSequences().Draw(t, "events") {
			e.refused = 0
			e.applyTo(tracker)
		}
		if top := tracker.TopExcesses(endTime, 10); len(top) > 0 || len(tracker.LocalUsage(endTime)) > 0 {
			t.Fatalf("tenants above their shares: %v", top)
		}
	})
}

func TestFairSharesAddUpToTotalUsage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, weights := New(Config{}), map[string]float64{}
		for i := range 6 {
			weights[tenantName(i)] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		tracker.SetWeights(weights)
		for _, e := range eventSequences().Draw(t, "events") {
			e.used = math.Abs(e.used)
			e.applyTo(tracker)
		}
		tenants := tracker.totals(endTime, tracker.poolStates[testPool])
		share, used, allocated := fairShare(tenants), 0.0, 0.0
		for _, s := range tenants {
			used += s.used
			allocated += math.Min(s.demand(), share*s.weight)
		}
		if tracker.overloaded(endTime, tracker.poolStates[testPool]) && math.Abs(allocated-used) > 1e-6*used {
			t.Fatalf("shares add up to %v, want %v", allocated, used)
		}
	})
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := eventSequences().Draw(t, "events")
		single, trackers, merged := New(Config{}), []*Tracker{New(Config{}), New(Config{}), New(Config{})}, New(Config{})
		for i, e := range all {
			e.offset, e.used = 0, math.Abs(e.used)
			e.applyTo(single)
			e.applyTo(trackers[i%len(trackers)])
		}
		// A tracker without refusals reports its usage only after it has received reports of refusals.
		for i := range trackers {
			for j := range trackers {
				if i != j {
					trackers[j].Merge(startTime, tenantName(i), trackers[i].LocalUsage(startTime))
				}
			}
		}
		order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
		for _, i := range order {
			report := trackers[i].LocalUsage(startTime)
			merged.Merge(startTime, tenantName(i), report)
			merged.Merge(startTime, tenantName(i), report) // a repeated report counts once
		}
		for i := range 6 {
			want, got := single.Excess(startTime, testPool, tenantName(i)), merged.Excess(startTime, testPool, tenantName(i))
			if math.Abs(want-got) > 1e-6 {
				t.Fatalf("excess of %d is %v with one tracker, %v with merged reports", i, want, got)
			}
		}
	})
}
