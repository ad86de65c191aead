package backend

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// restarted is the runner a after it has started again under its id.
func restarted() Runner {
	again := runner("a", "z")
	again.Incarnation = 2
	return again
}

// restartSet has a runner of a known incarnation and one that does not tell it.
func restartSet() *Set {
	set := NewSet("z")
	first := runner("a", "z")
	first.Incarnation = 1
	set.Put(first)
	set.Put(runner("b", "z"))
	return set
}

func TestRestartedRunnerHasNothingOfItsLastStart(t *testing.T) {
	g := NewWithT(t)
	set := restartSet()
	set.Begin(start, "a", 1000)
	set.End(start, set.Begin(start, "a", 500), Unreachable)
	set.NoteRead(start, "a", sharedQuery(), 1)
	set.LearnVersion("a", "m", 3)
	set.SetUpdating("a", true)
	set.SetOtherLoads(start, "other", true, map[string]Load{"a": {Tokens: 700, Requests: 3}})
	set.ChangedLoads()

	g.Expect(set.Put(restarted())).To(BeTrue(), "it is as good as another runner")
	e := set.entries["a"]
	g.Expect(*e).To(Equal(entry{Runner: restarted(), learned: map[string]uint64{}}))
	g.Expect(set.byService["s"]).To(HaveLen(2))
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(1)), "as its entry says")
	g.Expect(keptOf(set)).To(BeEmpty())
	g.Expect(set.otherLoad(start, "a")).To(BeZero())
	g.Expect(set.ChangedLoads()).To(Equal(map[string]Load{"a": {}}), "others are told that none is left")
	g.Expect(set.Put(restarted())).To(BeFalse(), "the same start again")
}

// The end of a request that was lost with the last start is no evidence about this one,
// and takes nothing out of what is open there now.
func TestRequestsAtTheLastStartDoNotCountForTheNext(t *testing.T) {
	for name, startAgain := range map[string]func(*Set){
		"a new incarnation": func(set *Set) { set.Put(restarted()) },
		"removed and listed again": func(set *Set) {
			set.Remove("a")
			set.Put(restarted())
		},
	} {
		for _, outcome := range []Outcome{Answered, Failed, Refused, Unreachable, Abandoned, NotConfirmed} {
			t.Run(name+", "+outcome.String(), func(t *testing.T) {
				g := NewWithT(t)
				set := restartSet()
				ledger := NewLedger(set)
				before := set.Begin(start, "a", 1000)
				ledger.Begin(start, ledgerKey, "a", 1000, sharedQuery(), time.Minute)
				startAgain(set)
				set.Begin(start, "a", 300)
				g.Expect(set.Listed(before)).To(BeFalse())
				now := start.Add(time.Second)
				set.FirstAnswer(now, before)
				set.End(now, before, outcome)
				ledger.LearnVersion(ledgerKey, 9)
				ledger.FirstAnswer(now, ledgerKey)
				ledger.End(now, ledgerKey, outcome)
				e := set.entries["a"]
				g.Expect([]int{e.inFlight, e.pendingTokens, e.unanswered, e.failures}).To(Equal([]int{1, 300, 1, 0}))
				g.Expect(e.asideUntil).To(BeZero())
				g.Expect(e.currentFailureShare(now)).To(BeZero())
				g.Expect(e.wait).To(BeZero())
				g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(1)))
				g.Expect(keptOf(set)).To(BeEmpty())
			})
		}
	}
}

// An order that was delayed may bring older weights than an answer named before; its
// directory entry then tells, and the runner is to be ordered again.
func TestWeightsThatFallAreTakenFromTheDirectory(t *testing.T) {
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
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(3)), "an entry between two updates comes late")
	put(3)
	put(2)
	g.Expect(set.WeightVersion("a", "m")).To(Equal(uint64(2)))
}

// A directory entry may name any service. Nobody is asked or ordered for one that the
// configuration does not have.
func TestRunnersOfUnknownServicesAreNeitherReadNorOrdered(t *testing.T) {
	g := NewWithT(t)
	set := NewSet("z")
	set.Put(runner("a", "z"))
	odd := runner("odd", "z")
	odd.Service = "odd"
	set.Put(odd)
	set.Weights().Name("m", 2, Deadlines{Old: start, Expired: start.Add(time.Minute)})
	set.SetServices([]string{"s"})
	g.Expect(set.CacheHolders()).To(Equal(map[string]CacheHolder{"a": {Address: "a:1"}}))
	g.Expect(set.Outdated()).To(Equal(1))
	groups := set.ModelGroups(start, time.Second)
	g.Expect(groups).To(HaveLen(1))
	g.Expect(groups[0].Service).To(Equal("s"))
	set.SetServices([]string{"s", "odd"})
	g.Expect(set.ModelGroups(start, time.Second)).To(HaveLen(2), "it may come with a later configuration")
}

// keptOf is what anybody is known to keep of the prompt.
func keptOf(set *Set) map[string]int {
	query := sharedQuery()
	return set.keptDepths(&query, 1)
}
