package backpressure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLimitIsLiftedByALaterRequestOnly(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	g.Expect(table.Hear(start, start, runner, Signals{}, true).Any()).To(BeFalse())
	g.Expect(table.Of(runner)).To(BeNil(), "most runners say nothing")
	g.Expect(table.Hear(start, start, runner, Signals{Limited: true, Rate: 1}, true).Limit).To(BeTrue())
	soon := start.Add(liftMargin - time.Millisecond)
	g.Expect(table.Hear(soon, soon, runner, Signals{}, true).Any()).To(BeFalse(), "another router may have heard the limit later")
	later := start.Add(2 * liftMargin)
	g.Expect(table.Hear(later, start.Add(-time.Second), runner, Signals{}, true).Any()).To(BeFalse(), "sent before the limit was named")
	g.Expect(table.Hear(later, later, runner, Signals{}, false).Any()).To(BeFalse(), "a failure names nothing")
	g.Expect(table.Hear(later, later, runner, Signals{Unreadable: []string{"x"}}, true).Any()).To(BeFalse())
	g.Expect(table.Of(runner).Limits()).To(BeTrue())
	g.Expect(table.Hear(later, later, runner, Signals{}, true).Limit).To(BeTrue())
	g.Expect(table.Of(runner).Limits()).To(BeFalse())
}

func TestLimitThatChangesWithEachAnswerIsToldNowAndThen(t *testing.T) {
	g, table, told := NewWithT(t), NewTable(), 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if table.Hear(now, now, runner, Signals{Limited: true, Rate: float64(i)}, true).Shared() {
			told++
		}
		g.Expect(table.Of(runner).Rate).To(Equal(float64(i)), "this router goes by the last one")
	}
	g.Expect(told).To(Equal(10))
}

func TestNextStartOfARunnerHasSaidNothing(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	table.Hear(start, start, runner, Signals{Leaving: true, Limited: true, Rate: 1}, true)
	g.Expect(table.Of(Runner{ID: runner.ID, Incarnation: runner.Incarnation + 1})).To(BeNil())
}

func TestUnlistedRunnersAreForgottenAfterLong(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	table.Hear(start, start, runner, Signals{Leaving: true}, true)
	nobody := func(Runner) bool { return false }
	table.Sweep(start.Add(memory), nobody)
	g.Expect(table.Of(runner).Leaves()).To(BeTrue())
	table.Sweep(start.Add(memory+1), func(Runner) bool { return true })
	g.Expect(table.Of(runner).Leaves()).To(BeTrue(), "listed")
	table.Sweep(start.Add(memory+1), nobody)
	g.Expect(table.Of(runner)).To(BeNil())
}

func TestRestIsThisRoutersAlone(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	heard := table.Hear(start, start, runner, Signals{Rest: 3 * time.Second}, false)
	g.Expect(heard).To(Equal(Heard{Rest: true}))
	g.Expect(heard.Shared()).To(BeFalse())
	g.Expect(table.Resting(start.Add(time.Second))).To(Equal([]*State{table.Of(runner)}))
	table.Hear(start, start, runner, Signals{Rest: time.Second}, false)
	g.Expect(table.Of(runner).Resting(start.Add(2*time.Second))).To(BeTrue(), "the longest holds")
	g.Expect(table.Resting(start.Add(3 * time.Second))).To(BeEmpty())
}

func TestRouterThatKnowsMoreTellsIt(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	named := start.Add(10 * time.Second)
	table.Hear(named, start, runner, Signals{Limited: true, Rate: 1}, true)
	lifted := Record{Runner: runner, Rate: 1, NamedAt: start, LiftedAt: start.Add(5 * time.Second)}
	changed := table.Merge(named, []Record{lifted})
	g.Expect(changed).To(HaveLen(1))
	g.Expect(changed[0].Limited()).To(BeTrue(), "named again later")
	g.Expect(table.Merge(named, []Record{lifted})).To(BeEmpty(), "not at once again")
	g.Expect(table.Merge(named, changed)).To(BeEmpty())
}

func TestChangesAreGivenOnce(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	other := Runner{ID: "f"}
	table.Hear(start, start, runner, Signals{Leaving: true}, true)
	table.Hear(start, start, other, Signals{Leaving: true}, true)
	first, reached := table.Since(0, 1)
	g.Expect(first).To(HaveLen(1))
	second, reached := table.Since(reached, 1)
	g.Expect(second).To(HaveLen(1))
	g.Expect(first[0].Runner).NotTo(Equal(second[0].Runner))
	none, same := table.Since(reached, 1)
	g.Expect(none).To(BeEmpty())
	g.Expect(same).To(Equal(reached))
}

func TestWhatWasSaidIsRepeatedNowAndThen(t *testing.T) {
	g, table := NewWithT(t), NewTable()
	repeats := func(now time.Time) bool { return table.Repeat(now, runner) }
	g.Expect(repeats(start)).To(BeFalse(), "it has said nothing")
	table.Hear(start, start, runner, Signals{Rest: time.Second}, false)
	g.Expect(repeats(start)).To(BeFalse(), "a rest is this router's alone")
	table.Hear(start, start, runner, Signals{Limited: true, Rate: 1}, true)
	g.Expect(repeats(start)).To(BeTrue())
	g.Expect(repeats(start.Add(repeatPause - 1))).To(BeFalse())
	g.Expect(repeats(start.Add(repeatPause))).To(BeTrue())
}

// Records come in any order and any number of times, and all routers come to the same.
func TestRecordsMergeToTheSameInAnyOrder(t *testing.T) {
	moment := rapid.Custom(func(t *rapid.T) time.Time {
		if seconds := rapid.IntRange(0, 9).Draw(t, "seconds"); seconds > 0 {
			return start.Add(time.Duration(seconds) * time.Second)
		}
		return time.Time{}
	})
	rapid.Check(t, func(t *rapid.T) {
		// Equal moments of naming would need equal rates: one answer is one moment.
		records := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Record {
			return Record{Runner: runner, LeavingAt: moment.Draw(t, "leaving"), Rate: 1, NamedAt: moment.Draw(t, "named"), LiftedAt: moment.Draw(t, "lifted")}
		}), 1, 6, func(r Record) Record { return r }).Draw(t, "records")
		shuffled := rapid.Permutation(append(records, records...)).Draw(t, "shuffled")
		one, other := NewTable(), NewTable()
		one.Merge(start, records)
		for _, record := range shuffled {
			other.Merge(start, []Record{record})
		}
		if a, b := one.Of(runner).Record, other.Of(runner).Record; a != b {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}
