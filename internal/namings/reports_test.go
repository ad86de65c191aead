package namings

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a failed store call before a later naming that gives expired weights new time.
func TestStoreFailureDoesNotExtendExpiredWeights(t *testing.T) {
	g := NewWithT(t)
	startedAt := time.Unix(1_000, 0)
	history := &History{}
	// The first list of a router gives no bound, so older weights may be used until the settle
	// period ends.
	history.RecordNaming(5, Observation{LearnedAt: startedAt.Add(time.Second), StartedAt: startedAt})
	g.Expect(expiryOf(history, 4)).To(BeTemporally("==", startedAt.Add(settleDelay)))
	now := startedAt.Add(time.Minute)
	failedAt := now.Add(-time.Second)
	history.RecordNaming(6, Observation{
		LearnedAt: now, StartedAt: startedAt, CopyCurrentAt: now.Add(-2 * time.Second), NotNamedAt: now.Add(-2 * time.Second),
		StoreFailures: Span{First: failedAt, Last: failedAt},
	})
	g.Expect(expiryOf(history, 4)).To(BeTemporally("<=", now))
}

// If another router reports a naming from a time when this router could not read the store, the
// store was not unavailable to all routers, whichever bound this router has for earlier versions.
// Routers that only report the newest version show the same with that report.
func TestReportOfLaterVersionShowsThatStoreWasAvailable(t *testing.T) {
	now := time.Unix(1_000, 0)
	outOfDateSince := now.Add(-10 * time.Second)
	observation := Observation{
		LearnedAt: now, StartedAt: now.Add(-time.Hour), CopyCurrentAt: outOfDateSince, NotNamedAt: outOfDateSince,
		StoreFailures: Span{First: outOfDateSince.Add(time.Second), Last: now.Add(-100 * time.Millisecond)},
	}
	// The other router's last proof of its copy before it learned is older than this router's.
	reportedAt := outOfDateSince.Add(-time.Second)
	// The router's settle period ends later than the lifetime of the weights.
	want := observation.StoreFailures.Last.Add(testConfig.SettlePeriod)
	t.Run("reported after learning", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{namedVersion: 4}
		history.RecordNaming(6, observation)
		history.RecordReport(testConfig, 6, reportedAt)
		g.Expect(expiryOf(history, 5)).To(BeTemporally("<=", want))
	})
	t.Run("reported before learning", func(t *testing.T) {
		g := NewWithT(t)
		history := &History{namedVersion: 4}
		history.RecordReport(testConfig, 6, reportedAt)
		history.RecordNaming(6, observation)
		g.Expect(expiryOf(history, 5)).To(BeTemporally("<=", want))
	})
}

// Weights keep their full lifetime when many versions are named in quick succession.
func TestWeightsKeepLifetimeDuringFrequentNamings(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	history := &History{}
	history.RecordNaming(1, Observation{LearnedAt: start, StartedAt: start.Add(-time.Hour)})
	const gap = 300 * time.Millisecond
	for i := range 20 {
		at := start.Add(time.Duration(i+1) * gap)
		observation := Observation{LearnedAt: at, StartedAt: start.Add(-time.Hour), CopyCurrentAt: at.Add(-gap / 3), NotNamedAt: at.Add(-gap / 3)}
		history.RecordNaming(uint64(i+2), observation)
	}
	// The first version was replaced 6 s before the last one was named.
	g.Expect(expiryOf(history, 1)).To(BeTemporally("==", start.Add(gap*2/3).Add(olderWeightsLifetime)))
}

// If versions are named in quick succession, a router also reports the naming of the later one. A
// router that knew the earlier one and then could not read the store learns from that report that
// the store was available.
func TestNamingsInQuickSuccessionAreAllReported(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_000, 0)
	startedAt := start.Add(-time.Hour)
	reporter := Table{}
	reporter.ForModel("m").namedVersion = 4
	// The watch that delivered the first version was sent 20 ms after the copy was known to be
	// complete.
	first, second := start.Add(-500*time.Millisecond), start.Add(-480*time.Millisecond)
	reporter.ForModel("m").RecordNaming(5, Observation{LearnedAt: start, StartedAt: startedAt, CopyCurrentAt: first, NotNamedAt: first})
	reporter.ForModel("m").RecordNaming(6, Observation{LearnedAt: start.Add(300 * time.Millisecond), StartedAt: startedAt, CopyCurrentAt: second, NotNamedAt: second})

	outOfDateSince, now := start.Add(100*time.Millisecond), start.Add(10*time.Second)
	history := &History{namedVersion: 4}
	history.RecordNaming(5, Observation{LearnedAt: start, StartedAt: startedAt, CopyCurrentAt: first, NotNamedAt: first})
	history.RecordNaming(6, Observation{
		LearnedAt: now, StartedAt: startedAt, CopyCurrentAt: outOfDateSince, NotNamedAt: outOfDateSince,
		StoreFailures: Span{First: outOfDateSince.Add(time.Second), Last: now.Add(-100 * time.Millisecond)},
	})
	settledAt := now.Add(-100 * time.Millisecond).Add(testConfig.SettlePeriod)
	for _, bound := range reporter.ReportableBounds(testConfig, now, time.Minute) {
		history.RecordReport(testConfig, bound.Version, bound.NotNamedAt())
	}
	g.Expect(expiryOf(history, 5)).To(BeTemporally("<=", settledAt))
}
