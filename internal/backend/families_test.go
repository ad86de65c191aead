package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/cacheindex"
)

// sendLong places a request of the long query's family and returns its runner, which has the shared
// parts cached afterwards.
func sendLong(set *Set, now time.Time, zone string) string {
	query := longPromptQuery(zone)
	id := chooseRunner(set, now, query, testRandom())
	send := set.BeginQuery(now, id, 3000, query)
	set.FirstResponse(now, send)
	set.End(now, send, Succeeded)
	set.ApplyCacheDelta(cacheindex.FeedDelta{Changes: cachedChanges(id, "trunk", "branch")})
	return id
}

// Guards against a family without use that is prefilled in each region.
func TestColdFamilyHasOneHome(t *testing.T) {
	g, set := NewWithT(t), newRegionSet(testRegions, 8)
	setCached(set)
	first := sendLong(set, start, "a1")
	for i, zone := range []string{"b1", "c1", "a2", "b2", "c2"} {
		g.Expect(sendLong(set, start.Add(time.Duration(i+1)*2*time.Minute), zone)).To(Equal(first), "request from %s", zone)
	}
}

// Guards against a family in constant use that crosses to another region with each request, and
// against homes that depend on the placing router.
func TestFrequentFamilyHasHomeInEachRegion(t *testing.T) {
	g, now := NewWithT(t), start
	sets := [2]*Set{newRegionSet(testRegions, 8), newRegionSet(testRegions, 8)}
	homes := map[string]string{}
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		zone := fmt.Sprintf("%c%d", 'a'+i%3, 1+i%2)
		for _, set := range sets {
			set.ApplyCacheDelta(cacheindex.FeedDelta{Full: i == 0})
			id := sendLong(set, now, zone)
			if i < 300 {
				continue
			}
			g.Expect(id[:1]).To(Equal(zone[:1]), "request %d from %s", i, zone)
			if homes[zone[:1]] == "" {
				homes[zone[:1]] = id
			}
			g.Expect(id).To(Equal(homes[zone[:1]]))
		}
	}
}

// Guards against a region that waits for a home in another region that no longer has the parts.
func TestFamilyThatIsCachedNowhereIsPrefilledInTheRegion(t *testing.T) {
	g, set := NewWithT(t), newRegionSet(testRegions, 8)
	setCached(set)
	for i, zone := range []string{"a1", "b1", "c1"} {
		setCached(set)
		id := sendLong(set, start.Add(time.Duration(i)*time.Hour), zone)
		g.Expect(id[:1]).To(Equal(zone[:1]))
	}
}

// Guards against a retention time that does not follow what the caches keep.
func TestRetentionIsLearned(t *testing.T) {
	g, kept := NewWithT(t), newFamilies()
	lost := newFamilies()
	for range 500 {
		kept.learnRetention(ringKey{}, time.Minute, true)
		lost.learnRetention(ringKey{}, 5*time.Second, false)
	}
	g.Expect(kept.retentionOf(ringKey{})).To(BeNumerically("~", time.Minute, 2*time.Second))
	g.Expect(lost.retentionOf(ringKey{})).To(BeNumerically("~", 5*time.Second, time.Second))
}

// Guards against counts of families that fill the memory, or that forget the families in use.
func TestFamiliesAreBounded(t *testing.T) {
	g, f := NewWithT(t), newFamilies()
	used := familyKey{region: "a", family: 1}
	for i := range uint64(10 * maxFamilies) {
		f.record(start, familyKey{region: "a", family: 2 + i}, "r", 1)
		if i%1000 == 0 {
			f.record(start, used, "r", 1)
		}
	}
	g.Expect(len(f.current) + len(f.previous)).To(BeNumerically("<=", maxFamilies))
	g.Expect(f.get(used).count).To(BeNumerically("==", 10*maxFamilies/1000+1))
}

// Guards against a backup in another region while the region has another runner, and against none
// at all when it has not.
func TestBackupPrefersTheRegion(t *testing.T) {
	for name, test := range map[string]struct {
		zones []string
		want  string
	}{
		"other zone of the region": {[]string{"a1", "b1", "a2", "c1"}, "a2"},
		"same zone":                {[]string{"a1", "b1", "c1"}, "a1"},
		"other region":             {[]string{"b1"}, "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			g, set := NewWithT(t), newRegionSet(testRegions, 0)
			set.Put(runner("primary", "a1"))
			for _, zone := range test.zones {
				set.Put(runner("r-"+zone, zone))
			}
			backup, found := set.Backup(start, "primary", "m")
			g.Expect(found).To(BeTrue())
			g.Expect(backup.Zone).To(Equal(test.want))
		})
	}
}

// Guards against samples of a large service in which the region's runners are rare, and against samples
// that never show another region.
func TestSamplesAreMostlyOfTheRegion(t *testing.T) {
	g, set := NewWithT(t), newRegionSet(testRegions, 100)
	near, far := 0, 0
	for range 50 {
		_, candidates := set.Candidates(start, Query{Service: "s", Model: "m", PromptTokens: 500, Zone: "c2"})
		for _, candidate := range candidates {
			if candidate.Name[0] == 'c' {
				near++
			} else {
				far++
			}
		}
	}
	g.Expect(float64(near) / float64(near+far)).To(BeNumerically("~", 0.8, 0.08))
	set.Remove("c2-0")
	moved := runner("c2-1", "a1")
	set.Put(moved)
	for range 50 {
		_, candidates := set.Candidates(start, Query{Service: "s", Model: "m", Zone: "c2"})
		g.Expect(candidateNames(candidates)).NotTo(ContainElement("c2-0"))
	}
}

// Guards against a family that leaves its region with the loss of its home, and against a region
// without runners whose requests have no home.
func TestHomeAfterLossOfRunners(t *testing.T) {
	g, set, now := NewWithT(t), newRegionSet(testRegions, 4), start
	setCached(set)
	var home string
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		home = sendLong(set, now, "b1")
	}
	g.Expect(home).To(HavePrefix("b"))
	set.End(now, set.Begin(now, home, 0), Unreachable)
	next := sendLong(set, now, "b2")
	g.Expect(next).To(HavePrefix("b"))
	g.Expect(next).NotTo(Equal(home), "the home is avoided")
	for i := range 4 {
		set.Remove(fmt.Sprintf("b1-%d", i))
		set.Remove(fmt.Sprintf("b2-%d", i))
	}
	first := sendLong(set, now, "b1")
	g.Expect(first).NotTo(HavePrefix("b"))
	for i := range 5 {
		g.Expect(sendLong(set, now.Add(time.Duration(i)*time.Second), "b2")).To(Equal(first))
	}
}

// Guards against a retention time that falls to its minimum while the index of a router that has just
// started, or lost its source, is empty.
func TestRetentionIsNotLearnedFromAnIndexThatIsNotLoaded(t *testing.T) {
	g, set := NewWithT(t), newRegionSet(testRegions, 8)
	for i := range 20 {
		now, query := start.Add(time.Duration(i)*5*time.Second), longPromptQuery("a1")
		set.BeginQuery(now, chooseRunner(set, now, query, testRandom()), 3000, query)
	}
	g.Expect(set.regions.families.retentionOf(ringKey{service: "s", region: "a"})).To(Equal(initialRetention))
}
