package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/clock"
)

// testConfig allows older weights for 8 s, of which 0.75 s are the expiry margin.
var testConfig = Config{Deadline: 8 * time.Second, SettlePeriod: 3 * time.Second, MaxLossDelay: 2950 * time.Millisecond}

// newTable returns a table with one model whose version 2 was learned with the observation.
func newTable(observation Observation) (Table, *History) {
	table := Table{}
	table.ForModel("m").RecordNaming(2, observation)
	return table, table.ForModel("m")
}

// A router that was out of date does not report when weights were named, and accepts the report of
// another router. After that it may pass the report on.
func TestOnlyReliableBoundsAreReported(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	outOfDate := Observation{LearnedAt: now, NotNamedAt: now.Add(-9 * time.Second)}
	table, history := newTable(outOfDate)
	g.Expect(table.ReportableBounds(testConfig, now, time.Minute)).To(BeEmpty())
	g.Expect(history.RecordReport(testConfig, 3, now.Add(-500*time.Millisecond))).To(BeFalse(), "the report is of another version")
	g.Expect(history.bounds[0].observation).To(Equal(outOfDate))
	g.Expect(table.ReportableBounds(testConfig, now, time.Minute)).To(BeEmpty())
	g.Expect(history.RecordReport(testConfig, 2, now.Add(-time.Second))).To(BeTrue())
	g.Expect(history.bounds[0].observation.NotNamedAt).To(Equal(now.Add(-time.Second)))
	reportable := table.ReportableBounds(testConfig, now, time.Minute)
	g.Expect(reportable).To(HaveLen(1))
	g.Expect(reportable[0].Version).To(Equal(uint64(2)))
	g.Expect(reportable[0].NotNamedAt()).To(Equal(now.Add(-time.Second)))
	g.Expect(table.ReportableBounds(testConfig, now.Add(time.Hour), time.Minute)).To(BeEmpty(), "older weights are no longer in use")
}

// Guards against a router that was paused for 9 s and then refused all older weights, although
// newer ones had been named just before. The report of another router gives it the remaining time,
// whether it comes before or after the router learns of the naming.
func TestReportExtendsExpiryAfterProcessPause(t *testing.T) {
	now := time.Unix(1_000, 0)
	observation := Observation{LearnedAt: now, StartedAt: now.Add(-time.Hour), NotNamedAt: now.Add(-9 * time.Second)}
	observation.CopyCurrentAt = observation.NotNamedAt
	t.Run("reported after learning", func(t *testing.T) {
		g := NewWithT(t)
		_, history := newTable(observation)
		g.Expect(history.OldestExpiry(testConfig)).To(BeTemporally("<", now))
		g.Expect(history.RecordReport(testConfig, 2, now.Add(-200*time.Millisecond))).To(BeTrue())
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", now.Add(7050*time.Millisecond)))
	})
	t.Run("reported before learning", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{}
		history.RecordReport(testConfig, 2, now.Add(-200*time.Millisecond))
		history.RecordNaming(2, observation)
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", now.Add(7050*time.Millisecond)))
	})
}

// expiryOf returns when weights of the version expire.
func expiryOf(history *History, version uint64) time.Time {
	weights := backend.NewWeightTargets()
	weights.SetTarget("m", history.namedVersion, backend.Deadlines{})
	weights.SetDeadlines("m", history.Deadlines(testConfig))
	return weights.ExpiresAt("m", version)
}

const (
	olderWeightsLifetime = 7250 * time.Millisecond
	// settleDelay is how long after a start the deadline does not apply to a router.
	settleDelay = 2750 * time.Millisecond
)

func TestWeightsBeforeSkippedVersionExpireByItsNaming(t *testing.T) {
	now := time.Unix(1_000, 0)
	startedAt := now.Add(-time.Hour)
	first, second := now.Add(-4*time.Second), now.Add(-time.Second)
	t.Run("unknown naming", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{namedVersion: 1}
		copyCurrentAt := now.Add(-6 * time.Second)
		history.RecordNaming(3, Observation{LearnedAt: now, StartedAt: startedAt, CopyCurrentAt: copyCurrentAt, NotNamedAt: second})
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", copyCurrentAt.Add(olderWeightsLifetime)), "it may have been named since the copy was last known to be complete")
		g.Expect(expiryOf(history, 2)).To(BeTemporally("==", second.Add(olderWeightsLifetime)))
	})
	t.Run("reported naming", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{namedVersion: 1}
		history.RecordNaming(3, Observation{LearnedAt: now, StartedAt: startedAt, CopyCurrentAt: now.Add(-6 * time.Second), NotNamedAt: second})
		g.Expect(history.RecordReport(testConfig, 2, first)).To(BeTrue())
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", first.Add(olderWeightsLifetime)))
		g.Expect(expiryOf(history, 2)).To(BeTemporally("==", second.Add(olderWeightsLifetime)))
	})
	t.Run("both reported before learning after a start", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{}
		history.RecordReport(testConfig, 2, first)
		history.RecordReport(testConfig, 3, second)
		history.RecordNaming(3, Observation{LearnedAt: now, StartedAt: now.Add(-200 * time.Millisecond)})
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", first.Add(olderWeightsLifetime)))
		g.Expect(expiryOf(history, 2)).To(BeTemporally("==", second.Add(olderWeightsLifetime)))
	})
	t.Run("both reported after learning after a start", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{}
		history.RecordNaming(3, Observation{LearnedAt: now, StartedAt: now.Add(-200 * time.Millisecond)})
		g.Expect(history.RecordReport(testConfig, 3, second)).To(BeTrue())
		g.Expect(history.RecordReport(testConfig, 2, first)).To(BeTrue())
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", first.Add(olderWeightsLifetime)))
		g.Expect(expiryOf(history, 2)).To(BeTemporally("==", second.Add(olderWeightsLifetime)))
	})
	t.Run("later version reported after a start", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{}
		history.RecordReport(testConfig, 3, second)
		history.RecordNaming(3, Observation{LearnedAt: now, StartedAt: now.Add(-200 * time.Millisecond)})
		g.Expect(expiryOf(history, 1)).To(BeTemporally("==", now.Add(-200*time.Millisecond+settleDelay)), "the settle period")
		g.Expect(expiryOf(history, 2)).To(BeTemporally("==", second.Add(olderWeightsLifetime)))
	})
}

// Times in messages are inexact, so the same report arrives repeatedly with a slightly later time.
func TestReportWithSmallIncreaseIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000, 0)
	_, history := newTable(Observation{LearnedAt: now, NotNamedAt: now.Add(-time.Second)})
	g.Expect(history.RecordReport(testConfig, 2, now.Add(-time.Second+minBoundIncrease/2))).To(BeTrue(), "the first report")
	g.Expect(history.RecordReport(testConfig, 2, now.Add(-time.Second+minBoundIncrease))).To(BeFalse())
	g.Expect(history.RecordReport(testConfig, 2, now.Add(-time.Second+2*minBoundIncrease))).To(BeTrue())
}

// For any sequence of namings and reports, no weights have more time left than the naming of their
// replacement allows.
func TestExpiryNeverExceedsNamingOfReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		// namedAt holds when each version was named. The first was there from the beginning.
		namedAt := []time.Time{now.Add(-30 * time.Second)}
		for len(namedAt) < rapid.IntRange(2, 9).Draw(t, "versions") {
			gap := rapid.IntRange(10, 6000).Draw(t, "gap")
			namedAt = append(namedAt, namedAt[len(namedAt)-1].Add(time.Duration(gap)*time.Millisecond))
		}
		newest := uint64(len(namedAt))
		// drawNotNamedAt draws a time before which neither the version nor a later one was named.
		drawNotNamedAt := func(version uint64, label string) time.Time {
			return namedAt[version-1].Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, label)) * time.Millisecond)
		}
		history := &History{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			version := uint64(rapid.IntRange(2, int(newest)).Draw(t, "version"))
			if rapid.Bool().Draw(t, "reported") {
				history.RecordReport(testConfig, version, drawNotNamedAt(version, "reported bound"))
				continue
			}
			if version <= history.namedVersion {
				continue
			}
			observation := Observation{LearnedAt: namedAt[version-1], StartedAt: now.Add(-time.Hour), NotNamedAt: drawNotNamedAt(version, "not named at")}
			if history.namedVersion > 0 {
				observation.CopyCurrentAt = drawNotNamedAt(history.namedVersion+1, "copy current at")
				observation.NotNamedAt = clock.Later(observation.NotNamedAt, observation.CopyCurrentAt)
			}
			history.RecordNaming(version, observation)
		}
		for version := uint64(1); version < history.namedVersion; version++ {
			latest := clock.Later(namedAt[version].Add(olderWeightsLifetime), namedAt[history.namedVersion-1])
			if expiry := expiryOf(history, version); expiry.After(latest) {
				t.Fatalf("version %d expires %v after its replacement was named", version, expiry.Sub(namedAt[version]))
			}
		}
	})
}
