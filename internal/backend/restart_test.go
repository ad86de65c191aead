package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// restartedRunner is runner a after a restart under the same id.
func restartedRunner() Runner {
	restarted := runner("a", "z")
	restarted.Incarnation = 2
	return restarted
}

// newRestartSet has a runner that reports its incarnation and one that does not.
func newRestartSet() *Set {
	set := NewSet("z")
	first := runner("a", "z")
	first.Incarnation = 1
	set.Put(first)
	set.Put(runner("b", "z"))
	return set
}

func TestRestartedRunnerStartsWithCleanState(t *testing.T) {
	g := NewWithT(t)
	set := newRestartSet()
	set.Begin(start, "a", 1000)
	set.End(start, set.Begin(start, "a", 500), Unreachable)
	set.RecordPrefill(start, "a", sharedQuery(), 1)
	set.LearnVersion("a", "m", 3)
	set.SetUpdating("a", true)
	set.SetPeerLoads(start, "other", true, map[string]Load{"a": {Tokens: 700, Requests: 3}})
	set.ChangedLoads()

	g.Expect(set.Put(restartedRunner())).To(BeTrue(), "a restarted runner counts as new")
	restarted := set.entries["a"]
	g.Expect(*restarted).To(Equal(entry{Runner: restartedRunner(), learnedVersions: map[string]uint64{}}))
	g.Expect(set.byService["s"]).To(HaveLen(2))
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(1)), "the version in the directory entry")
	g.Expect(cachedDepthsIn(set)).To(BeEmpty())
	g.Expect(set.peerLoad(start, "a")).To(BeZero())
	g.Expect(set.ChangedLoads()).To(Equal(map[string]Load{"a": {}}), "other routers are told that no load is left")
	g.Expect(set.Put(restartedRunner())).To(BeFalse(), "the same incarnation is not new")
}

// The end of a request to the previous incarnation must not count as evidence about the
// current one, nor reduce the number of requests open there.
func TestSendsToPreviousIncarnationAreIgnored(t *testing.T) {
	for name, restart := range map[string]func(*Set){
		"new incarnation": func(set *Set) { set.Put(restartedRunner()) },
		"removed and listed again": func(set *Set) {
			set.Remove("a")
			set.Put(restartedRunner())
		},
	} {
		for _, outcome := range []Outcome{Succeeded, Failed, Refused, Unreachable, Abandoned, NotConfirmed} {
			t.Run(name+", "+outcome.String(), func(t *testing.T) {
				g := NewWithT(t)
				set := newRestartSet()
				sends := NewPlacedSends(set)
				staleSend := set.Begin(start, "a", 1000)
				sends.Begin(start, testSendKey, "a", 1000, sharedQuery(), time.Minute)
				restart(set)
				set.Begin(start, "a", 300)
				g.Expect(set.IsListed(staleSend)).To(BeFalse())
				now := start.Add(time.Second)
				set.FirstResponse(now, staleSend)
				set.End(now, staleSend, outcome)
				sends.LearnVersion(testSendKey, 9)
				sends.FirstResponse(now, testSendKey)
				sends.End(now, testSendKey, outcome)
				e := set.entries["a"]
				g.Expect([]int{e.inFlight, e.pendingTokens, e.awaitingResponse, e.connectFailures}).To(Equal([]int{1, 300, 1, 0}))
				g.Expect(e.avoidUntil).To(BeZero())
				g.Expect(e.decayedFailureShare(now)).To(BeZero())
				g.Expect(e.assumedWait).To(BeZero())
				g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(1)))
				g.Expect(cachedDepthsIn(set)).To(BeEmpty())
			})
		}
	}
}

// A delayed order may load older weights than a response reported before. The directory entry
// then shows the older version, and the runner must be ordered to update again.
func TestDirectoryRollbackOverridesLearnedVersion(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	put := func(version uint64) {
		changed := runner("a", "z")
		changed.Models[0].Version = version
		set.Put(changed)
	}
	put(1)
	set.LearnVersion("a", "m", 3)
	put(2)
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(3)), "a late entry with a version between the two must not override")
	put(3)
	put(2)
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(2)))
}

// A directory entry may name any service. Runners of services outside the configuration are
// neither read nor ordered to update.
func TestRunnersOfUnconfiguredServicesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	unconfigured := runner("odd", "z")
	unconfigured.Service = "odd"
	set.Put(unconfigured)
	set.WeightTargets().SetTarget("m", 2, Deadlines{StaleAt: start, Expiry: start.Add(time.Minute)})
	set.SetServices([]string{"s"})
	g.Expect(set.CacheHolders()).To(Equal(map[string]CacheHolder{"a": {Address: "a:1", Zone: "z"}}))
	g.Expect(set.CountOutdated()).To(Equal(1))
	groups := set.ModelGroups(start, time.Second)
	g.Expect(groups).To(HaveLen(1))
	g.Expect(groups[0].Service).To(Equal("s"))
	set.SetServices([]string{"s", "odd"})
	g.Expect(set.ModelGroups(start, time.Second)).To(HaveLen(2), "a later configuration may add the service")
}

// cachedDepthsIn returns the cached depths of the shared prompt by holder.
func cachedDepthsIn(set *Set) map[string]int {
	query := sharedQuery()
	return set.cachedDepths(&query, 1)
}
