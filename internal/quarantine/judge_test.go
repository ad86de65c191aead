package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000, 0)

// at is a moment some seconds after the epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func contentOf(digest int) Content { return Content{Tenant: "t", Digest: uint64(digest)} }

func runnerOf(number int) Runner { return Runner{ID: fmt.Sprint("r", number), Incarnation: 1} }

// end notes the end of the runner under a run of the content that began a tenth of a second
// before.
func (j *Judge) end(digest, runner int, seconds float64) {
	j.Ended(at(seconds), &Run{Content: contentOf(digest), Runner: runnerOf(runner), Began: at(seconds - 0.1)})
}

func (j *Judge) state(digest int, seconds float64) State {
	return j.Verdict(at(seconds), contentOf(digest)).State
}

func TestThirdRunnerThatEndsQuarantinesAContent(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	g.Expect(j.state(1, 0)).To(Equal(Clear))
	for i, want := range []State{Suspected, Suspected, Quarantined} {
		j.end(1, i, float64(i))
		g.Expect(j.state(1, float64(i))).To(Equal(want))
	}
	g.Expect(j.Verdict(at(2), contentOf(1))).To(Equal(Verdict{State: Quarantined, Ends: 3, Until: at(2).Add(quarantineTime)}))
	g.Expect(j.state(2, 2)).To(Equal(Clear), "other contents are not meant")
	g.Expect(j.Verdict(at(2), Content{Tenant: "u", Digest: 1}).State).To(Equal(Clear), "nor is the same one of another tenant")
}

// All routers tell of the same end, some of them late.
func TestOneEndOfARunnerCountsOnce(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 10 {
		j.end(1, 7, float64(i))
	}
	g.Expect(j.Verdict(at(10), contentOf(1))).To(Equal(Verdict{State: Suspected, Ends: 1}))
}

// A rack is lost: many runners at once, each with a request of the same content.
func TestRunnersThatEndAllAtOnceQuarantineNothing(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 10 {
		j.Ended(at(1+float64(i)/100), &Run{Content: contentOf(1), Runner: runnerOf(i), Began: at(0.9)})
	}
	g.Expect(j.state(1, 2)).To(Equal(Suspected))
	j.end(1, 10, 3)
	g.Expect(j.state(1, 3)).To(Equal(Quarantined), "its next run ended one more")
}

func TestRunnerThatOutlivesAContentClearsIt(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 3 {
		j.end(1, i, float64(i))
	}
	g.Expect(j.Outlived(at(4), contentOf(1))).To(BeTrue())
	g.Expect(j.state(1, 4)).To(Equal(Clear))
	g.Expect(j.Outlived(at(4), contentOf(2))).To(BeFalse(), "nothing spoke against it")
	for i := range 10 {
		j.end(2, 20+i, 5+float64(i))
	}
	g.Expect(j.state(2, 15)).To(Equal(Clear), "a runner has just outlived it")
	later := 4 + 2*harmlessTime.Seconds()
	j.end(1, 10, later)
	j.end(1, 11, later+1)
	g.Expect(j.state(1, later+1)).To(Equal(Suspected), "ends before do not count any more")
}

// A request shared all runners that ended with the one that ended them.
func TestEndsThatAnotherContentExplainsQuarantineLater(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 3 {
		j.end(1, i, float64(i))
		j.end(2, i, float64(i))
	}
	g.Expect(j.state(1, 3)).To(Equal(Suspected), "it may be the other one")
	g.Expect(j.state(2, 3)).To(Equal(Suspected))
	j.end(1, 3, 3)
	g.Expect(j.state(1, 3)).To(Equal(Quarantined))
	g.Expect(j.state(2, 4)).To(Equal(Suspected), "its ends are explained")
	j.end(2, 4, 4)
	g.Expect(j.state(2, 4)).To(Equal(Quarantined), "this one is not")
}

func TestContentsThatAlwaysComeTogetherAreQuarantinedInTheEnd(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 5 {
		g.Expect(j.state(1, float64(i))).NotTo(Equal(Quarantined))
		j.end(1, i, float64(i))
		j.end(2, i, float64(i))
	}
	g.Expect(j.state(1, 5)).To(Equal(Quarantined))
}

func TestQuarantineEndsInATrialAndDoubles(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 3 {
		j.end(1, i, float64(i))
	}
	over := 2 + quarantineTime.Seconds()
	g.Expect(j.state(1, over-0.001)).To(Equal(Quarantined))
	g.Expect(j.state(1, over)).To(Equal(OnTrial))
	j.end(1, 3, over+1)
	g.Expect(j.Verdict(at(over+1), contentOf(1)).Until).To(Equal(at(over + 1).Add(2 * quarantineTime)))
	g.Expect(j.state(1, over+1+2*quarantineTime.Seconds())).To(Equal(OnTrial))
	j.Outlived(at(over+2+2*quarantineTime.Seconds()), contentOf(1))
	g.Expect(j.state(1, over+2+2*quarantineTime.Seconds())).To(Equal(Clear))
}

// Runs that were under way when the third runner ended are no trial.
func TestRunsThatBeganBeforeTheQuarantineDoNotProlongIt(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 8 {
		j.end(1, i, float64(i)/10)
	}
	g.Expect(j.Verdict(at(1), contentOf(1)).Until).To(Equal(at(0.2).Add(quarantineTime)))
}

func TestSuspicionsAreForgotten(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	j.end(1, 1, 0)
	g.Expect(j.state(1, suspectTime.Seconds()-1)).To(Equal(Suspected))
	g.Expect(j.state(1, suspectTime.Seconds())).To(Equal(Clear))
	g.Expect(j.Sweep(at(suspectTime.Seconds()))).To(HaveLen(1))
	_, known := j.Record(contentOf(1))
	g.Expect(known).To(BeFalse())
}

// A caller varies the body: each is a content of its own, and none is remembered in place of
// one that ended more runners.
func TestMemoryIsBoundedAndTheStrongestStay(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	for i := range 3 {
		j.end(1, i, float64(i))
	}
	for i := range 2 * maxRecords {
		j.end(10+i, 10+i, 3+float64(i)/1000)
	}
	g.Expect(len(j.records)).To(Equal(maxRecords))
	g.Expect(j.state(1, 10)).To(Equal(Quarantined))
	for i := range 3 * harmlessRecords {
		j.Outlived(at(20), contentOf(-i))
	}
	g.Expect(len(j.harmless.current) + len(j.harmless.previous)).To(BeNumerically("<=", 2*harmlessRecords))
}

func TestChangesAreToldInOrderAndInParts(t *testing.T) {
	g, j, other := NewWithT(t), NewJudge(), NewJudge()
	for i := range 10 {
		j.end(i, i, float64(i))
	}
	j.end(0, 100, 11)
	through, parts := uint64(0), 0
	for through < j.Sequence() {
		var records []Record
		records, through = j.Since(through, 4)
		g.Expect(len(records)).To(BeNumerically("<=", 4))
		other.Merge(at(12), records)
		parts++
	}
	g.Expect(parts).To(Equal(3))
	for i := range 10 {
		want, _ := j.Record(contentOf(i))
		got, _ := other.Record(contentOf(i))
		g.Expect(got).To(Equal(want))
	}
	records, same := j.Since(through, 4)
	g.Expect(records).To(BeEmpty())
	g.Expect(same).To(Equal(through))
}

// drawnRecord is any record of the content: a run that a runner outlives is noted only if
// runners had ended before.
func drawnRecord(t *rapid.T) Record {
	record := Record{Content: contentOf(1)}
	for range rapid.IntRange(0, 6).Draw(t, "ends") {
		runner := rapid.IntRange(0, 30).Draw(t, "runner")
		// All routers see the same runner end at about the same time.
		end := End{Runner: runnerOf(runner), Began: at(float64(runner) - 0.1), At: at(float64(runner))}
		record, _ = record.Merge(Record{Ends: []End{end}})
	}
	if len(record.Ends) > 0 && rapid.Bool().Draw(t, "outlived") {
		record.OutlivedAt = record.Ends[0].At.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds later")) * time.Second)
	}
	return record
}

// Whatever reaches a router in whatever order and how often, it ends with the same record.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b, c := drawnRecord(t), drawnRecord(t), drawnRecord(t)
		merge := func(records ...Record) Record {
			merged := Record{Content: contentOf(1)}
			for _, record := range records {
				merged, _ = merged.Merge(record)
			}
			return merged
		}
		g.Expect(merge(a, b, c).standing()).To(Equal(merge(c, a, b).standing()))
		g.Expect(merge(a, b, a, b)).To(Equal(merge(a, b)))
		_, changed := merge(a, b).Merge(a)
		g.Expect(changed).To(BeFalse(), "nothing is told twice")
		shifted := merge(a, b)
		shifted.OutlivedAt = shifted.OutlivedAt.Add(time.Millisecond)
		_, changed = merge(a, b).Merge(shifted)
		g.Expect(changed).To(BeFalse(), "nor what came a little late")
	})
}

// Whatever happens, a content is quarantined only by so many runners that ended since one
// outlived it, and only if it came again after the first of them had.
func TestNothingIsQuarantinedByLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, seconds := NewJudge(), 0.0
		// since holds the ends of each content since a runner outlived it.
		since := map[int][]End{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seconds += float64(rapid.IntRange(0, 40).Draw(t, "pause"))
			digest := rapid.IntRange(1, 4).Draw(t, "content")
			if rapid.IntRange(0, 4).Draw(t, "what") == 0 {
				j.Outlived(at(seconds), contentOf(digest))
				since[digest] = nil
			} else {
				began := seconds - float64(rapid.IntRange(0, 3).Draw(t, "run"))
				run := &Run{Content: contentOf(digest), Runner: runnerOf(rapid.IntRange(0, 20).Draw(t, "runner")), Began: at(began)}
				j.Ended(at(seconds), run)
				since[digest] = append(since[digest], End{Runner: run.Runner, Began: run.Began, At: at(seconds)})
			}
			for digest := range since {
				if j.state(digest, seconds) != Quarantined {
					continue
				}
				runners, again := map[Runner]bool{}, false
				for _, end := range since[digest] {
					runners[end.Runner] = true
					again = again || end.Began.After(since[digest][0].At)
				}
				if len(runners) < endsToQuarantine || !again {
					t.Fatalf("quarantined by %v", since[digest])
				}
			}
		}
	})
}

// Three in ten runners were lost three times within seconds, and a long request met each
// loss. It was refused the fourth time: all its ends came with those of runners that it had
// never been at, so that something else was ending runners at these moments.
func TestEndsThatComeWithManyOthersQuarantineLater(t *testing.T) {
	g, j := NewWithT(t), NewJudge()
	wave := func(number int, seconds float64) {
		for i := range 5 {
			j.end(100*number+i, 100*number+i, seconds+float64(i)/100)
		}
		j.end(1, 100*number+50, seconds+0.03)
	}
	for number := 1; number <= 4; number++ {
		wave(number, float64(4*number))
		g.Expect(j.state(1, float64(4*number+1))).To(Equal(Suspected))
	}
	wave(5, 20)
	g.Expect(j.state(1, 21)).To(Equal(Quarantined), "it is not spared for ever")
	j.end(2, 1000, 30)
	j.end(2, 1001, 31)
	wave(6, 32)
	j.end(2, 1002, 32)
	g.Expect(j.state(2, 33)).To(Equal(Quarantined), "only one of its ends came with others")
}
