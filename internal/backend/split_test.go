package backend

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A pool of 60 runners with 32 slots each serves long prompts with short responses and
// short prompts with long responses. Both accept pauses of 300 ms between events.
const (
	testRunnerCount = 60
	testMaxEventGap = 300 * time.Millisecond
)

func longQuery() Query {
	return Query{Service: "s", Model: "m", PromptTokens: 9000, SharedTokens: 6000, Family: 7, MaxEventGap: testMaxEventGap}
}

func shortQuery() Query {
	return Query{Service: "s", Model: "m", PromptTokens: 800, MaxEventGap: testMaxEventGap}
}

func newSplitSet() *Set {
	set := NewSet("z")
	for i := range testRunnerCount {
		r := runner(fmt.Sprintf("i-%02d", i), "z")
		r.Slots = 32
		set.Put(r)
	}
	return set
}

// simulateTraffic starts the given numbers of long prompts and of streams in each second;
// each request lasts one second.
func simulateTraffic(set *Set, from time.Time, seconds, longPrompts, streams int) time.Time {
	now := from
	for range seconds {
		var open []*Send
		for range streams {
			open = append(open, set.BeginQuery(now, "i-00", 800, shortQuery()))
		}
		for range longPrompts {
			open = append(open, set.BeginQuery(now, "i-01", 3000, longQuery()))
		}
		now = now.Add(time.Second)
		for _, send := range open {
			set.FirstResponse(now, send)
			set.End(now, send, Succeeded)
		}
	}
	return now
}

func TestSplitFollowsMeasuredWork(t *testing.T) {
	g := NewWithT(t)
	set := newSplitSet()
	g.Expect(set.split(start, longQuery(), testRunnerCount).longShare).To(BeZero(), "no measurements yet")
	now := simulateTraffic(set, start, 20, 120, 200)
	initialShare := set.split(now, longQuery(), testRunnerCount).longShare
	g.Expect(initialShare).To(BeNumerically("~", 0.7, 0.051), "per second, 9.5 runner-seconds of prefill and 3.8 of slots, 6.3 of streams")
	now = simulateTraffic(set, now, 40, 120, 600)
	g.Expect(set.split(now, longQuery(), testRunnerCount).longShare).To(BeNumerically("<", initialShare))
	now = simulateTraffic(set, now, 60, 0, 200)
	g.Expect(set.split(now, longQuery(), testRunnerCount).longShare).To(BeZero(), "runners are not split without long prefills")
}

func TestHomesOfLongPromptsAreLongPrefillRunners(t *testing.T) {
	g := NewWithT(t)
	set := newSplitSet()
	now := simulateTraffic(set, start, 20, 120, 200)
	for family := range uint64(50) {
		query := longQuery()
		query.Family = family + 1
		_, candidates := set.Candidates(now, query)
		split, homes := set.split(now, query, testRunnerCount), 0
		for _, c := range candidates {
			if c.CachedTokens == query.SharedTokens {
				homes++
				g.Expect(c.SeparationPenaltyTokens).To(BeZero())
				g.Expect(split.prefers(set.entries[c.Name])).To(BeTrue())
			}
		}
		g.Expect(homes).To(Equal(1))
	}
}

func TestSplitPrefersOneKindPerRunner(t *testing.T) {
	g := NewWithT(t)
	set := newSplitSet()
	now := simulateTraffic(set, start, 20, 120, 200)
	_, forLong := set.Candidates(now, longQuery())
	_, forShort := set.Candidates(now, shortQuery())
	g.Expect(forLong).To(HaveLen(testRunnerCount))
	penalized := 0
	for i := range forLong {
		g.Expect(forLong[i].SeparationPenaltyTokens == 0).NotTo(Equal(forShort[i].SeparationPenaltyTokens == 0))
		if forLong[i].SeparationPenaltyTokens > 0 {
			penalized++
		}
	}
	g.Expect(penalized).To(BeNumerically("~", 24, 10))
}

func TestSplitRequiresRunnersAndMaxEventGap(t *testing.T) {
	g := NewWithT(t)
	set := newSplitSet()
	now := simulateTraffic(set, start, 20, 120, 200)
	g.Expect(set.split(now, longQuery(), minSplitRunners-1).longShare).To(BeZero())
	unbounded := longQuery()
	unbounded.MaxEventGap = 0
	g.Expect(set.split(now, unbounded, testRunnerCount)).To(Equal(split{}))
}

func TestOpenStreamsAreCountedUntilTheyEnd(t *testing.T) {
	g := NewWithT(t)
	set, other := newSplitSet(), newSplitSet()
	pauses := func(s *Set) (streams int, gap time.Duration) {
		_, candidates := s.Candidates(start, shortQuery())
		return candidates[0].StreamLoad.Streams, candidates[0].StreamLoad.AllowedPause
	}
	for _, outcome := range []Outcome{Succeeded, Failed, Abandoned, NotConfirmed} {
		send := set.BeginQuery(start, "i-00", 800, shortQuery())
		streams, _ := pauses(set)
		g.Expect(streams).To(BeZero(), "the stream has not begun")
		set.FirstResponse(start, send)
		streams, gap := pauses(set)
		g.Expect(streams).To(Equal(1))
		g.Expect(gap).To(Equal(testMaxEventGap))
		other.SetPeerLoads(start, "r", true, set.Loads())
		streams, gap = pauses(other)
		g.Expect(streams).To(Equal(1), "streams of other routers count")
		g.Expect(gap).To(Equal(testMaxEventGap))
		set.End(start, send, outcome)
		streams, _ = pauses(set)
		g.Expect(streams).To(BeZero())
	}
	refused := set.BeginQuery(start, "i-00", 800, shortQuery())
	set.End(start, refused, Refused)
	streams, _ := pauses(set)
	g.Expect(streams).To(BeZero(), "the stream never began")
}

func TestSplitCostVanishesWhenSlotsAreUsed(t *testing.T) {
	g := NewWithT(t)
	set := newSplitSet()
	now := simulateTraffic(set, start, 20, 120, 200)
	maxCost := func() (most int) {
		set.Candidates(now, shortQuery()) // counts the slots for the next placement
		_, candidates := set.Candidates(now, shortQuery())
		for _, c := range candidates {
			most = max(most, c.SeparationPenaltyTokens)
		}
		return most
	}
	idleCost := maxCost()
	g.Expect(idleCost).To(BeNumerically(">", 0))
	for i := range testRunnerCount {
		for range 24 {
			set.Begin(now, fmt.Sprintf("i-%02d", i), 0)
		}
	}
	g.Expect(maxCost()).To(BeNumerically("~", idleCost/2, idleCost/10), "three quarters of the slots are used")
	for i := range testRunnerCount {
		for range 8 {
			set.Begin(now, fmt.Sprintf("i-%02d", i), 0)
		}
	}
	g.Expect(maxCost()).To(BeZero())
}
