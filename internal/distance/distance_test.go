package distance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

func testTable() *Table {
	return New(Config{Zone: "a1", Regions: map[string]string{
		"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c",
	}})
}

// recordFor records a round trip each 50 ms for the duration and returns its end.
func recordFor(t *Table, from time.Time, duration time.Duration, zone string, roundTrip time.Duration) time.Time {
	for now := from; now.Before(from.Add(duration)); now = now.Add(50 * time.Millisecond) {
		t.RecordRoundTrip(now, zone, roundTrip)
	}
	return from.Add(duration)
}

func TestDefaultsBeforeAnythingIsMeasured(t *testing.T) {
	g, table := NewWithT(t), testTable()
	g.Expect(table.HasRegions()).To(BeTrue())
	g.Expect(table.OneWay("a1", "a1")).To(BeZero())
	g.Expect(table.OneWay("a1", "a2")).To(Equal(time.Millisecond))
	g.Expect(table.OneWay("a1", "b2")).To(Equal(20 * time.Millisecond))
	g.Expect(table.OneWay("c1", "b2")).To(Equal(20 * time.Millisecond))
	g.Expect([]Relation{table.Relation("a1", "a1"), table.Relation("b1", "b2"), table.Relation("b1", "c1")}).To(Equal([]Relation{SameZone, SameRegion, OtherRegion}))
}

// Guards against a distance that one slow sample or a short congestion moves.
func TestShortSlownessDoesNotMoveTheDistance(t *testing.T) {
	g, table := NewWithT(t), testTable()
	now := recordFor(table, start, 5*time.Second, "b1", 40*time.Millisecond)
	g.Expect(table.OneWay("a1", "b1")).To(Equal(20 * time.Millisecond))
	for range 20 {
		now = recordFor(table, now, 1900*time.Millisecond, "b1", 900*time.Millisecond)
		g.Expect(table.OneWay("a1", "b1")).To(Equal(20 * time.Millisecond))
		now = recordFor(table, now, 500*time.Millisecond, "b1", 40*time.Millisecond)
	}
}

// Guards against a single slow sample that counts as a rise because the link is rarely used.
func TestSlowSampleOnRarelyUsedLink(t *testing.T) {
	g, table := NewWithT(t), testTable()
	now := start
	for i := range 40 {
		roundTrip := 40 * time.Millisecond
		if i%4 == 0 {
			roundTrip = 3 * time.Second
		}
		table.RecordRoundTrip(now, "b1", roundTrip)
		g.Expect(table.OneWay("a1", "b1")).To(Equal(20 * time.Millisecond))
		now = now.Add(10 * time.Second)
	}
}

// Guards against a distance that stays at its old value after a lasting change.
func TestLastingChangeIsFollowedWithinSeconds(t *testing.T) {
	for name, to := range map[string]time.Duration{"longer": 160 * time.Millisecond, "shorter": 4 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g, table := NewWithT(t), testTable()
			now := recordFor(table, start, 10*time.Second, "b1", 40*time.Millisecond)
			recordFor(table, now, 4100*time.Millisecond, "b1", to)
			g.Expect(table.OneWay("a1", "b1")).To(Equal(to / 2))
			g.Expect(table.OneWay("b1", "a1")).To(Equal(to / 2))
		})
	}
}

// Guards against a default between other zones where their relation has been measured.
func TestDistanceBetweenOtherZonesIsTypical(t *testing.T) {
	g, table := NewWithT(t), testTable()
	recordFor(table, start, time.Second, "a2", 600*time.Microsecond)
	recordFor(table, start, time.Second, "b1", 60*time.Millisecond)
	recordFor(table, start, time.Second, "b2", 62*time.Millisecond)
	recordFor(table, start, time.Second, "c1", 900*time.Millisecond)
	g.Expect(table.OneWay("b1", "b2")).To(Equal(300 * time.Microsecond))
	g.Expect(table.OneWay("b1", "c1")).To(Equal(31 * time.Millisecond))
	g.Expect(table.OneWay("a1", "c2")).To(Equal(31*time.Millisecond), "not measured itself")
}

// Guards against regions that appear where none or only one is configured.
func TestWithoutRegionsAllZonesAreOneRegion(t *testing.T) {
	for name, regions := range map[string]map[string]string{"none": nil, "one": {"a1": "a", "a2": "a"}} {
		t.Run(name, func(t *testing.T) {
			g, table := NewWithT(t), New(Config{Zone: "a1", Regions: regions})
			g.Expect(table.HasRegions()).To(BeFalse())
			g.Expect(table.Relation("a1", "a1")).To(Equal(SameZone))
			g.Expect(table.Relation("a1", "a2")).To(Equal(SameRegion))
			g.Expect(table.Relation("x", "y")).To(Equal(SameRegion))
			g.Expect(table.OneWay("a1", "y")).To(Equal(time.Millisecond))
			recordFor(table, start, time.Second, "y", 10*time.Millisecond)
			g.Expect(table.OneWay("a1", "y")).To(Equal(5 * time.Millisecond))
		})
	}
}

// Guards against a zone outside the settings that counts as another region, that changes the typical
// times, or that fills the memory.
// Guards against regions that depend on the order of a map: a zone without a region is none of its own.
func TestZoneWithoutRegionIsNoRegion(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		g.Expect(New(Config{Zone: "a1", Regions: map[string]string{"a1": "a", "x1": ""}}).HasRegions()).To(BeFalse())
	}
}

func TestUnknownZone(t *testing.T) {
	g, table := NewWithT(t), testTable()
	g.Expect(table.Region("x")).To(BeEmpty())
	g.Expect(table.Relation("a1", "x")).To(Equal(SameRegion))
	g.Expect(table.OneWay("a1", "x")).To(Equal(time.Millisecond))
	recordFor(table, start, time.Second, "x", 50*time.Millisecond)
	g.Expect(table.OneWay("a1", "x")).To(Equal(25 * time.Millisecond))
	g.Expect(table.OneWay("a1", "a2")).To(Equal(time.Millisecond))
	for i := range 1000 {
		recordFor(table, start, time.Second, fmt.Sprint(i), 50*time.Millisecond)
	}
	g.Expect(len(table.links)).To(Equal(maxUnknownZones))
	recordFor(table, start, time.Second, "b1", 10*time.Millisecond)
	g.Expect(table.OneWay("a1", "b1")).To(Equal(5 * time.Millisecond))
}

// Guards against a data race between readers and measurements; it is of use under the race detector.
func TestTableIsSafeForConcurrentUse(t *testing.T) {
	table := testTable()
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			recordFor(table, start.Add(time.Duration(i)*time.Second), 20*time.Second, "b1", time.Duration(i)*time.Millisecond)
			table.OneWay("a1", "b1")
		})
		group.Go(func() {
			for range 1000 {
				table.OneWay("b1", "c1")
			}
		})
	}
	group.Wait()
}
