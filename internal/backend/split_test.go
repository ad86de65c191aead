package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Pattern: a pool of 60 runners of 32 slots serves long prompts with short answers and
// short prompts with long answers, which allow pauses of 300 ms.
const (
	splitRunners = 60
	splitPause   = 300 * time.Millisecond
)

func longQuery() Query {
	return Query{Service: "s", Model: "m", PromptTokens: 9000, SharedTokens: 6000, Family: 7, EventGap: splitPause}
}

func shortQuery() Query {
	return Query{Service: "s", Model: "m", PromptTokens: 800, EventGap: splitPause}
}

func splitSet() *Set {
	set := NewSet("z")
	for i := range splitRunners {
		r := runner(fmt.Sprintf("i-%02d", i), "z")
		r.Slots = 32
		set.Put(r)
	}
	return set
}

// play has so many long prompts and streams of a second each begin in each second.
func play(set *Set, from time.Time, seconds, long, streams int) time.Time {
	now := from
	for range seconds {
		var open []*Send
		for range streams {
			open = append(open, set.BeginQuery(now, "i-00", 800, shortQuery()))
		}
		for range long {
			open = append(open, set.BeginQuery(now, "i-01", 3000, longQuery()))
		}
		now = now.Add(time.Second)
		for _, send := range open {
			set.FirstAnswer(now, send)
			set.End(now, send, Answered)
		}
	}
	return now
}

func TestRunnersAreDividedByMeasuredWork(t *testing.T) {
	g := NewWithT(t)
	set := splitSet()
	g.Expect(set.split(start, longQuery(), splitRunners).share).To(BeZero(), "nothing was measured yet")
	now := play(set, start, 20, 120, 200)
	even := set.split(now, longQuery(), splitRunners).share
	g.Expect(even).To(BeNumerically("~", 0.7, 0.051), "9.5 runner-seconds a second of reading and 3.8 of slots, 6.3 of streams")
	now = play(set, now, 40, 120, 600)
	g.Expect(set.split(now, longQuery(), splitRunners).share).To(BeNumerically("<", even))
	now = play(set, now, 60, 0, 200)
	g.Expect(set.split(now, longQuery(), splitRunners).share).To(BeZero(), "without long reads nothing is kept apart")
}

func TestHomesOfLongPromptsLieWhereLongReadsAreKept(t *testing.T) {
	g := NewWithT(t)
	set := splitSet()
	now := play(set, start, 20, 120, 200)
	for family := range uint64(50) {
		query := longQuery()
		query.Family = family + 1
		_, candidates := set.Candidates(now, query)
		split, homes := set.split(now, query, splitRunners), 0
		for _, c := range candidates {
			if c.CachedTokens == query.SharedTokens {
				homes++
				g.Expect(c.SeparationPenaltyTokens).To(BeZero())
				g.Expect(split.suits(set.entries[c.Name])).To(BeTrue())
			}
		}
		g.Expect(homes).To(Equal(1))
	}
}

func TestEachRunnerIsForOneKindAndNoneIsClosed(t *testing.T) {
	g := NewWithT(t)
	set := splitSet()
	now := play(set, start, 20, 120, 200)
	_, forLong := set.Candidates(now, longQuery())
	_, forShort := set.Candidates(now, shortQuery())
	g.Expect(forLong).To(HaveLen(splitRunners))
	dear := 0
	for i := range forLong {
		g.Expect(forLong[i].SeparationPenaltyTokens == 0).NotTo(Equal(forShort[i].SeparationPenaltyTokens == 0))
		if forLong[i].SeparationPenaltyTokens > 0 {
			dear++
		}
	}
	g.Expect(dear).To(BeNumerically("~", 24, 10))
}

func TestFewRunnersAndRequestsWithoutAllowedPauseAreNotDivided(t *testing.T) {
	g := NewWithT(t)
	set := splitSet()
	now := play(set, start, 20, 120, 200)
	g.Expect(set.split(now, longQuery(), minSplitRunners-1).share).To(BeZero())
	patient := longQuery()
	patient.EventGap = 0
	g.Expect(set.split(now, patient, splitRunners)).To(Equal(split{}))
}

func TestOpenStreamsAreCountedUntilTheyEnd(t *testing.T) {
	g := NewWithT(t)
	set, other := splitSet(), splitSet()
	pauses := func(s *Set) (streams int, gap time.Duration) {
		_, candidates := s.Candidates(start, shortQuery())
		return candidates[0].StreamLoad.Streams, candidates[0].StreamLoad.AllowedPause
	}
	for _, outcome := range []Outcome{Answered, Failed, Abandoned, NotConfirmed} {
		send := set.BeginQuery(start, "i-00", 800, shortQuery())
		streams, _ := pauses(set)
		g.Expect(streams).To(BeZero(), "it has not begun")
		set.FirstAnswer(start, send)
		streams, gap := pauses(set)
		g.Expect(streams).To(Equal(1))
		g.Expect(gap).To(Equal(splitPause))
		other.SetOtherLoads(start, "r", true, set.Loads())
		streams, gap = pauses(other)
		g.Expect(streams).To(Equal(1), "another router's streams count")
		g.Expect(gap).To(Equal(splitPause))
		set.End(start, send, outcome)
		streams, _ = pauses(set)
		g.Expect(streams).To(BeZero())
	}
	refused := set.BeginQuery(start, "i-00", 800, shortQuery())
	set.End(start, refused, Refused)
	streams, _ := pauses(set)
	g.Expect(streams).To(BeZero(), "one that never began")
}

func TestNothingIsHeldAgainstTheOtherKindWhenSlotsAreTaken(t *testing.T) {
	g := NewWithT(t)
	set := splitSet()
	now := play(set, start, 20, 120, 200)
	dearest := func() (most int) {
		set.Candidates(now, shortQuery()) // counts the slots for the next choice
		_, candidates := set.Candidates(now, shortQuery())
		for _, c := range candidates {
			most = max(most, c.SeparationPenaltyTokens)
		}
		return most
	}
	idle := dearest()
	g.Expect(idle).To(BeNumerically(">", 0))
	for i := range splitRunners {
		for range 24 {
			set.Begin(now, fmt.Sprintf("i-%02d", i), 0)
		}
	}
	g.Expect(dearest()).To(BeNumerically("~", idle/2, idle/10), "three quarters of the slots are taken")
	for i := range splitRunners {
		for range 8 {
			set.Begin(now, fmt.Sprintf("i-%02d", i), 0)
		}
	}
	g.Expect(dearest()).To(BeZero())
}
