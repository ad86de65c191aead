package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/backend"
)

// boundTimes allow older weights for 8 s, 0.75 s of which are kept as a margin.
var boundTimes = Config{Deadline: 8 * time.Second, Settle: 3 * time.Second, LostNews: 2950 * time.Millisecond}

// boundsOf returns the bounds of a model whose version 2 was learned with the news.
func boundsOf(news News) (Table, *Model) {
	bounds := Table{}
	bounds.Of("m").Learn(2, news)
	return bounds, bounds.Of("m")
}

// A router that was blind tells nobody when weights were named, and takes another's word; one
// that was told may pass it on.
func TestOnlyRoutersThatKnowTellWhenWeightsWereNamed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	blind := News{Learned: now, Before: now.Add(-9 * time.Second)}
	bounds, known := boundsOf(blind)
	g.Expect(bounds.Firm(boundTimes, now, time.Minute)).To(BeEmpty())
	g.Expect(known.Take(boundTimes, 3, now.Add(-500*time.Millisecond))).To(BeFalse(), "another version")
	g.Expect(known.bounds[0].news).To(Equal(blind))
	g.Expect(bounds.Firm(boundTimes, now, time.Minute)).To(BeEmpty())
	g.Expect(known.Take(boundTimes, 2, now.Add(-time.Second))).To(BeTrue())
	g.Expect(known.bounds[0].news.Before).To(Equal(now.Add(-time.Second)))
	told := bounds.Firm(boundTimes, now, time.Minute)
	g.Expect(told).To(HaveLen(1))
	g.Expect(told[0].Version).To(Equal(uint64(2)))
	g.Expect(told[0].Before()).To(Equal(now.Add(-time.Second)))
	g.Expect(bounds.Firm(boundTimes, now.Add(time.Hour), time.Minute)).To(BeEmpty(), "older weights are gone")
}

// A router that stood still for 9 s refused all older weights, though newer ones had
// been named a moment before; another router's word gives it the time that is left,
// whichever comes first.
func TestRouterThatStoodStillTakesAnothersWordOnTheNaming(t *testing.T) {
	now := time.Unix(1_000, 0)
	news := News{Learned: now, Started: now.Add(-time.Hour), Before: now.Add(-9 * time.Second)}
	news.Proven = news.Before
	t.Run("told later", func(t *testing.T) {
		g := NewWithT(t)
		_, known := boundsOf(news)
		g.Expect(known.OlderUntil(boundTimes)).To(BeTemporally("<", now))
		g.Expect(known.Take(boundTimes, 2, now.Add(-200*time.Millisecond))).To(BeTrue())
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", now.Add(7050*time.Millisecond)))
	})
	t.Run("told before", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{}
		known.Take(boundTimes, 2, now.Add(-200*time.Millisecond))
		known.Learn(2, news)
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", now.Add(7050*time.Millisecond)))
	})
}

// deadlineOf returns when weights of the version expire.
func deadlineOf(known *Model, version uint64) time.Time {
	weights := backend.NewWeightTargets()
	weights.SetTarget("m", known.named, backend.Deadlines{})
	weights.SetDeadlines("m", known.Deadlines(boundTimes))
	return weights.ExpiresAt("m", version)
}

const (
	allowedWeights = 7250 * time.Millisecond
	// settled is how long after its start a router is not held to the deadline yet.
	settled = 2750 * time.Millisecond
)

func TestWeightsBeforeASkippedVersionExpireByIts(t *testing.T) {
	now := time.Unix(1_000, 0)
	started := now.Add(-time.Hour)
	first, second := now.Add(-4*time.Second), now.Add(-time.Second)
	t.Run("its naming is not known", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{named: 1}
		proven := now.Add(-6 * time.Second)
		known.Learn(3, News{Learned: now, Started: started, Proven: proven, Before: second})
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", proven.Add(allowedWeights)), "it may have been named since the copy was last whole")
		g.Expect(deadlineOf(known, 2)).To(BeTemporally("==", second.Add(allowedWeights)))
	})
	t.Run("its naming is told", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{named: 1}
		known.Learn(3, News{Learned: now, Started: started, Proven: now.Add(-6 * time.Second), Before: second})
		g.Expect(known.Take(boundTimes, 2, first)).To(BeTrue())
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", first.Add(allowedWeights)))
		g.Expect(deadlineOf(known, 2)).To(BeTemporally("==", second.Add(allowedWeights)))
	})
	t.Run("a started router is told of both", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{}
		known.Take(boundTimes, 2, first)
		known.Take(boundTimes, 3, second)
		known.Learn(3, News{Learned: now, Started: now.Add(-200 * time.Millisecond)})
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", first.Add(allowedWeights)))
		g.Expect(deadlineOf(known, 2)).To(BeTemporally("==", second.Add(allowedWeights)))
	})
	t.Run("a started router is told of both after it learned", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{}
		known.Learn(3, News{Learned: now, Started: now.Add(-200 * time.Millisecond)})
		g.Expect(known.Take(boundTimes, 3, second)).To(BeTrue())
		g.Expect(known.Take(boundTimes, 2, first)).To(BeTrue())
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", first.Add(allowedWeights)))
		g.Expect(deadlineOf(known, 2)).To(BeTemporally("==", second.Add(allowedWeights)))
	})
	t.Run("a started router is told of the later one", func(t *testing.T) {
		g := NewWithT(t)
		known := &Model{}
		known.Take(boundTimes, 3, second)
		known.Learn(3, News{Learned: now, Started: now.Add(-200 * time.Millisecond)})
		g.Expect(deadlineOf(known, 1)).To(BeTemporally("==", now.Add(-200*time.Millisecond+settled)), "the time to settle")
		g.Expect(deadlineOf(known, 2)).To(BeTemporally("==", second.Add(allowedWeights)))
	})
}

// Ages in messages are inexact, so the same word comes again and again a little later.
func TestAWordThatIsHardlyLaterChangesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	_, known := boundsOf(News{Learned: now, Before: now.Add(-time.Second)})
	g.Expect(known.Take(boundTimes, 2, now.Add(-time.Second+boundStep/2))).To(BeTrue(), "it is told for the first time")
	g.Expect(known.Take(boundTimes, 2, now.Add(-time.Second+boundStep))).To(BeFalse())
	g.Expect(known.Take(boundTimes, 2, now.Add(-time.Second+2*boundStep))).To(BeTrue())
}

// Whatever routers learn themselves and are told, and in which order, no weights have more
// time left than their replacement's naming allows.
func TestNoBoundIsLaterThanTheNaming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		// namedAt holds when each version was named; the first was there before.
		namedAt := []time.Time{now.Add(-30 * time.Second)}
		for len(namedAt) < rapid.IntRange(2, 9).Draw(t, "versions") {
			gap := rapid.IntRange(10, 6000).Draw(t, "gap")
			namedAt = append(namedAt, namedAt[len(namedAt)-1].Add(time.Duration(gap)*time.Millisecond))
		}
		newest := uint64(len(namedAt))
		// truth is a moment before which neither the version nor a later one was named.
		truth := func(version uint64, label string) time.Time {
			return namedAt[version-1].Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, label)) * time.Millisecond)
		}
		known := &Model{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			version := uint64(rapid.IntRange(2, int(newest)).Draw(t, "version"))
			if rapid.Bool().Draw(t, "told") {
				known.Take(boundTimes, version, truth(version, "told before"))
				continue
			}
			if version <= known.named {
				continue
			}
			news := News{Learned: namedAt[version-1], Started: now.Add(-time.Hour), Before: truth(version, "before")}
			if known.named > 0 {
				news.Proven = truth(known.named+1, "proven")
				news.Before = Later(news.Before, news.Proven)
			}
			known.Learn(version, news)
		}
		for version := uint64(1); version < known.named; version++ {
			latest := Later(namedAt[version].Add(allowedWeights), namedAt[known.named-1])
			if expires := deadlineOf(known, version); expires.After(latest) {
				t.Fatalf("version %d expires %v after its replacement was named", version, expires.Sub(namedAt[version]))
			}
		}
	})
}
