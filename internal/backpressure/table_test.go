package backpressure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLimitIsLiftedOnlyByLaterRequest(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	g.Expect(table.Observe(start, start, runner, Signals{}, true).Any()).To(BeFalse())
	g.Expect(table.Get(runner)).To(BeNil(), "no state is kept for runners without signals")
	g.Expect(table.Observe(start, start, runner, Signals{Limited: true, Rate: 1}, true).Limit).To(BeTrue())
	soon := start.Add(liftMargin - time.Millisecond)
	g.Expect(table.Observe(soon, soon, runner, Signals{}, true).Any()).To(BeFalse(), "within liftMargin, another router may have received the limit later")
	later := start.Add(2 * liftMargin)
	g.Expect(table.Observe(later, start.Add(-time.Second), runner, Signals{}, true).Any()).To(BeFalse(), "the request was sent before the limit was reported")
	g.Expect(table.Observe(later, later, runner, Signals{}, false).Any()).To(BeFalse(), "a failure does not lift the limit")
	g.Expect(table.Observe(later, later, runner, Signals{Malformed: []string{"x"}}, true).Any()).To(BeFalse())
	g.Expect(table.Get(runner).IsLimited()).To(BeTrue())
	g.Expect(table.Observe(later, later, runner, Signals{}, true).Limit).To(BeTrue())
	g.Expect(table.Get(runner).IsLimited()).To(BeFalse())
}

func TestBroadcastOfChangingRateIsThrottled(t *testing.T) {
	g, table, broadcasts := NewWithT(t), NewTable(), 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if table.Observe(now, now, runner, Signals{Limited: true, Rate: float64(i)}, true).NeedsBroadcast() {
			broadcasts++
		}
		g.Expect(table.Get(runner).Rate).To(Equal(float64(i)), "this router uses the last reported rate")
	}
	g.Expect(broadcasts).To(Equal(10))
}

func TestSignalsApplyToOneIncarnation(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	table.Observe(start, start, runner, Signals{Leaving: true, Limited: true, Rate: 1}, true)
	g.Expect(table.Get(Runner{ID: runner.ID, Incarnation: runner.Incarnation + 1})).To(BeNil())
}

func TestUnlistedRunnersArePruned(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	table.Observe(start, start, runner, Signals{Leaving: true}, true)
	noneListed := func(Runner) bool { return false }
	table.Prune(start.Add(unlistedRetention), noneListed)
	g.Expect(table.Get(runner).IsLeaving()).To(BeTrue())
	table.Prune(start.Add(unlistedRetention+1), func(Runner) bool { return true })
	g.Expect(table.Get(runner).IsLeaving()).To(BeTrue(), "listed runners are kept")
	table.Prune(start.Add(unlistedRetention+1), noneListed)
	g.Expect(table.Get(runner)).To(BeNil())
}

func TestBackoffIsLocalToRouter(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	changes := table.Observe(start, start, runner, Signals{Backoff: 3 * time.Second}, false)
	g.Expect(changes).To(Equal(Changes{Backoff: true}))
	g.Expect(changes.NeedsBroadcast()).To(BeFalse())
	g.Expect(table.BackingOff(start.Add(time.Second))).To(Equal([]*RunnerState{table.Get(runner)}))
	table.Observe(start, start, runner, Signals{Backoff: time.Second}, false)
	g.Expect(table.Get(runner).InBackoff(start.Add(2*time.Second))).To(BeTrue(), "the longest backoff applies")
	g.Expect(table.BackingOff(start.Add(3 * time.Second))).To(BeEmpty())
}

func TestMergeAnswersOutdatedRecordWithNewer(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	reportedAt := start.Add(10 * time.Second)
	table.Observe(reportedAt, start, runner, Signals{Limited: true, Rate: 1}, true)
	lifted := Record{Runner: runner, Rate: 1, LimitReportedAt: start, LimitLiftedAt: start.Add(5 * time.Second)}
	changed := table.Merge(reportedAt, []Record{lifted})
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Limited()).To(BeTrue(), "the limit was reported again after it was lifted")
	g.Expect(table.Merge(reportedAt, []Record{lifted})).To(BeEmpty(), "the record is not resent within minResendInterval")
	g.Expect(table.Merge(reportedAt, changed)).To(BeEmpty())
}

func TestChangedSinceReturnsEachChangeOnce(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	other := Runner{ID: "f"}
	table.Observe(start, start, runner, Signals{Leaving: true}, true)
	table.Observe(start, start, other, Signals{Leaving: true}, true)
	first, reached := table.ChangedSince(0, 1)
	g.Expect(first).To(HaveLen(1))
	second, reached := table.ChangedSince(reached, 1)
	g.Expect(second).To(HaveLen(1))
	g.Expect(first[0].Runner).NotTo(Equal(second[0].Runner))
	none, same := table.ChangedSince(reached, 1)
	g.Expect(none).To(BeEmpty())
	g.Expect(same).To(Equal(reached))
}

func TestResendsAreThrottled(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	shouldResend := func(now time.Time) bool { return table.ShouldResend(now, runner) }
	g.Expect(shouldResend(start)).To(BeFalse(), "the runner sent no signals")
	table.Observe(start, start, runner, Signals{Backoff: time.Second}, false)
	g.Expect(shouldResend(start)).To(BeFalse(), "a backoff is not shared")
	table.Observe(start, start, runner, Signals{Limited: true, Rate: 1}, true)
	g.Expect(shouldResend(start)).To(BeTrue())
	g.Expect(shouldResend(start.Add(minResendInterval - 1))).To(BeFalse())
	g.Expect(shouldResend(start.Add(minResendInterval))).To(BeTrue())
}

// Routers that receive the same records in different orders, and some of them repeatedly, end
// with the same state.
func TestMergeIsOrderIndependentAndIdempotent(t *testing.T) {
	drawTime := rapid.Custom(func(t *rapid.T) time.Time {
		if seconds := rapid.IntRange(0, 9).Draw(t, "seconds"); seconds > 0 {
			return start.Add(time.Duration(seconds) * time.Second)
		}
		return time.Time{}
	})
	rapid.Check(t, func(t *rapid.T) {
		// Records with equal LimitReportedAt must have equal rates, because both come from one
		// response.
		records := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Record {
			return Record{Runner: runner, LeavingAt: drawTime.Draw(t, "leaving"), Rate: 1, LimitReportedAt: drawTime.Draw(t, "limit reported"), LimitLiftedAt: drawTime.Draw(t, "lifted"),
				MaxRejections: 3, BrittleReportedAt: drawTime.Draw(t, "brittle reported"), BrittleLiftedAt: drawTime.Draw(t, "brittle lifted"), RejectedAt: drawTime.Draw(t, "rejected")}
		}), 1, 6, func(r Record) Record { return r }).Draw(t, "records")
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "shuffled")
		one, other := NewTable(), NewTable()
		one.Merge(start, records)
		for _, record := range shuffled {
			other.Merge(start, []Record{record})
		}
		if a, b := one.Get(runner).Record, other.Get(runner).Record; a != b {
			t.Fatalf("merged to different records: %+v and %+v", a, b)
		}
	})
}
