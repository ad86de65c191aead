package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestStandbysAreFollowersOfRegionByCapacity(t *testing.T) {
	g := NewWithT(t)
	selector := NewStandbySelector()
	g.Expect(selector.Standbys(start, "near")).To(BeEmpty())
	for address, capacity := range map[string]int{"a": 2, "b": 9, "c": 5} {
		selector.RecordPull(start, address, "near", capacity)
	}
	selector.RecordPull(start, "other", "far", 100)
	selector.RecordPull(start, "old", "", 100)
	g.Expect(selector.Standbys(start, "near")).To(Equal([]string{"b", "c"}))
	g.Expect(selector.Standbys(start, "far")).To(Equal([]string{"other"}), "a region of one router")
	selector.RecordPull(start, "d", "near", 9)
	g.Expect(selector.Standbys(start, "near")).To(Equal([]string{"b", "c"}), "9 is less than twice 5")
	selector.RecordPull(start, "d", "near", 10)
	g.Expect(selector.Standbys(start, "near")).To(Equal([]string{"b", "d"}))
	selector.Forget("b", "near")
	g.Expect(selector.Standbys(start, "near")).To(Equal([]string{"d", "c"}), "the next one moves up")
	g.Expect(selector.Standbys(start.Add(standbyTimeout+1), "near")).To(BeEmpty())
}

// For any sequence of pulls, the standby schedulers of a region are as many live routers of it as
// there can be, none of them is much weaker than a router that was not selected, and one that still
// pulls is replaced only by a much stronger one.
func TestStandbysAreLiveStableAndStrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selector, now := NewStandbySelector(), start
		regions := []string{"near", "far"}
		lastPulls, capacities := map[string]time.Time{}, map[string]int{}
		previous := map[string][]string{}
		for range rapid.IntRange(1, 150).Draw(t, "pulls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			number := rapid.IntRange(0, 11).Draw(t, "router")
			address, region := fmt.Sprint("r", number), regions[number%2]
			if _, known := capacities[address]; !known || rapid.IntRange(0, 9).Draw(t, "resize") == 0 {
				capacities[address] = rapid.IntRange(0, 40).Draw(t, "capacity")
			}
			lastPulls[address] = now
			selector.RecordPull(now, address, region, capacities[address])
			var live []string
			for other := range lastPulls {
				var otherNumber int
				if _, err := fmt.Sscanf(other, "r%d", &otherNumber); err != nil {
					t.Fatal(err)
				}
				if regions[otherNumber%2] == region && now.Sub(lastPulls[other]) <= standbyTimeout {
					live = append(live, other)
				}
			}
			capacity := func(address string) int { return max(capacities[address], 1) }
			standbys := selector.Standbys(now, region)
			if len(standbys) != min(len(live), maxStandbys) {
				t.Fatalf("standbys %v of the live routers %v", standbys, live)
			}
			for i, standby := range standbys {
				if !slices.Contains(live, standby) || slices.Contains(standbys[:i], standby) {
					t.Fatalf("standbys %v of the live routers %v", standbys, live)
				}
				for _, other := range live {
					if !slices.Contains(standbys, other) && capacity(other) >= replacementFactor*capacity(standby) {
						t.Fatalf("%s with capacity %d instead of %s with %d", standby, capacity(standby), other, capacity(other))
					}
				}
			}
			for _, before := range previous[region] {
				replaced := slices.Contains(live, before) && !slices.Contains(standbys, before)
				if replaced && !slices.ContainsFunc(standbys, func(standby string) bool {
					return !slices.Contains(previous[region], standby) && capacity(standby) >= replacementFactor*capacity(before)
				}) {
					t.Fatalf("%s of capacity %d was replaced: %v, then %v", before, capacity(before), previous[region], standbys)
				}
			}
			if again := selector.Standbys(now, region); !slices.Equal(again, standbys) {
				t.Fatalf("%v, then %v without a change", standbys, again)
			}
			previous[region] = standbys
		}
	})
}
