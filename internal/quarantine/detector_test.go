package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000, 0)

// atSeconds returns the time that many seconds after startTime.
func atSeconds(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func testContent(digest int) Subject { return Subject{Tenant: "t", Digest: uint64(digest)} }

func testRunner(number int) Runner { return Runner{ID: fmt.Sprint("r", number), Incarnation: 1} }

// crash records a crash of the runner during a run of the content that was sent 0.1 seconds
// earlier.
func (d *Detector) crash(digest, runner int, seconds float64) {
	d.RunnerCrashed(atSeconds(seconds), &Run{Content: testContent(digest), Runner: testRunner(runner), SentAt: atSeconds(seconds - 0.1)})
}

// survive records that a runner survived a run of the content, and reports whether that changed its record.
func (d *Detector) survive(at time.Time, digest int) (changed bool) {
	return len(d.RunnerSurvived(at, &Run{Content: testContent(digest)})) > 0
}

func (d *Detector) state(digest int, seconds float64) State {
	return d.Evaluate(atSeconds(seconds), testContent(digest)).State
}

func TestThirdCrashQuarantinesContent(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	g.Expect(d.state(1, 0)).To(Equal(Clear))
	for i, want := range []State{Suspected, Suspected, Quarantined} {
		d.crash(1, i, float64(i))
		g.Expect(d.state(1, float64(i))).To(Equal(want))
	}
	g.Expect(d.Evaluate(atSeconds(2), testContent(1))).To(Equal(Status{State: Quarantined, Crashes: 3, Evidence: 3, Until: atSeconds(2).Add(initialQuarantine)}))
	g.Expect(d.state(2, 2)).To(Equal(Clear), "other contents are not affected")
	g.Expect(d.Evaluate(atSeconds(2), Subject{Tenant: "u", Digest: 1}).State).To(Equal(Clear), "the same content of another tenant is not affected")
}

// All routers report the same crash, some of them late.
func TestCrashOfOneRunnerCountsOnce(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 10 {
		d.crash(1, 7, float64(i))
	}
	g.Expect(d.Evaluate(atSeconds(10), testContent(1))).To(Equal(Status{State: Suspected, Crashes: 1, Evidence: 1}))
}

// Many runners are lost at once, as when a rack fails, while each of them processes a request
// with the same content.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 10 {
		d.RunnerCrashed(atSeconds(1+float64(i)/100), &Run{Content: testContent(1), Runner: testRunner(i), SentAt: atSeconds(0.9)})
	}
	g.Expect(d.state(1, 2)).To(Equal(Suspected))
	d.crash(1, 10, 3)
	g.Expect(d.state(1, 3)).To(Equal(Quarantined), "a run sent after the first crash crashed another runner")
}

func TestSurvivedRunClearsContent(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 3 {
		d.crash(1, i, float64(i))
	}
	g.Expect(d.survive(atSeconds(4), 1)).To(BeTrue())
	g.Expect(d.state(1, 4)).To(Equal(Clear))
	g.Expect(d.survive(atSeconds(4), 2)).To(BeFalse(), "no crash was recorded for the content")
	for i := range 10 {
		d.crash(2, 20+i, 5+float64(i))
	}
	g.Expect(d.state(2, 15)).To(Equal(Clear), "a runner survived the content recently")
	later := 4 + 2*survivedInterval.Seconds()
	d.crash(1, 10, later)
	d.crash(1, 11, later+1)
	g.Expect(d.state(1, later+1)).To(Equal(Suspected), "crashes before the survived run no longer count")
}

// The requests of one content ran on every runner that another content crashed. Both contents
// have the same crashes until one of them runs elsewhere.
func TestCrashesCoveredByOtherContentNeedHigherThreshold(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 3 {
		d.crash(1, i, float64(i))
		d.crash(2, i, float64(i))
	}
	g.Expect(d.state(1, 3)).To(Equal(Suspected), "the other content may be the cause")
	g.Expect(d.state(2, 3)).To(Equal(Suspected))
	d.crash(1, 3, 3)
	g.Expect(d.state(1, 3)).To(Equal(Quarantined))
	g.Expect(d.state(2, 4)).To(Equal(Suspected), "the other content covers its crashes")
	d.crash(2, 4, 4)
	g.Expect(d.state(2, 4)).To(Equal(Quarantined), "the last crash is not covered")
}

func TestContentsAlwaysSentTogetherAreEventuallyQuarantined(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 5 {
		g.Expect(d.state(1, float64(i))).NotTo(Equal(Quarantined))
		d.crash(1, i, float64(i))
		d.crash(2, i, float64(i))
	}
	g.Expect(d.state(1, 5)).To(Equal(Quarantined))
}

func TestQuarantineDoublesAfterFailedTrial(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 3 {
		d.crash(1, i, float64(i))
	}
	quarantineEnd := 2 + initialQuarantine.Seconds()
	g.Expect(d.state(1, quarantineEnd-0.001)).To(Equal(Quarantined))
	g.Expect(d.state(1, quarantineEnd)).To(Equal(OnTrial))
	d.crash(1, 3, quarantineEnd+1)
	g.Expect(d.Evaluate(atSeconds(quarantineEnd+1), testContent(1)).Until).To(Equal(atSeconds(quarantineEnd + 1).Add(2 * initialQuarantine)))
	g.Expect(d.state(1, quarantineEnd+1+2*initialQuarantine.Seconds())).To(Equal(OnTrial))
	d.survive(atSeconds(quarantineEnd+2+2*initialQuarantine.Seconds()), 1)
	g.Expect(d.state(1, quarantineEnd+2+2*initialQuarantine.Seconds())).To(Equal(Clear))
}

// Runs that were already in progress at the third crash do not count as trials.
func TestRunsSentBeforeQuarantineDoNotExtendIt(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 8 {
		d.crash(1, i, float64(i)/10)
	}
	g.Expect(d.Evaluate(atSeconds(1), testContent(1)).Until).To(Equal(atSeconds(0.2).Add(initialQuarantine)))
}

func TestSuspicionsExpire(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	d.crash(1, 1, 0)
	g.Expect(d.state(1, suspicionRetention.Seconds()-1)).To(Equal(Suspected))
	g.Expect(d.state(1, suspicionRetention.Seconds())).To(Equal(Clear))
	g.Expect(d.Prune(atSeconds(suspicionRetention.Seconds()))).To(HaveLen(1))
	_, known := d.Record(testContent(1))
	g.Expect(known).To(BeFalse())
}

// A caller may vary the body, which creates a new content each time. Such contents must not
// evict the record of a content that crashed more runners.
func TestMemoryIsBoundedAndMostSignificantRecordsAreKept(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	for i := range 3 {
		d.crash(1, i, float64(i))
	}
	for i := range 2 * maxRecords {
		d.crash(10+i, 10+i, 3+float64(i)/1000)
	}
	g.Expect(len(d.records)).To(And(BeNumerically("<=", maxRecords), BeNumerically(">=", maxRecords-evictedRecords)))
	g.Expect(d.state(1, 10)).To(Equal(Quarantined))
	for i := range 3 * maxSurvivedSubjects {
		d.survive(atSeconds(20), -i)
	}
	g.Expect(len(d.survivedContents.current) + len(d.survivedContents.previous)).To(BeNumerically("<=", 2*maxSurvivedSubjects))
}

func TestChangedSinceReturnsChangesInOrderAndInParts(t *testing.T) {
	g, d, other := NewWithT(t), NewDetector(Config{}), NewDetector(Config{})
	for i := range 10 {
		d.crash(i, i, float64(i))
	}
	d.crash(0, 100, 11)
	through, parts := uint64(0), 0
	for through < d.Sequence() {
		var records []Record
		records, through = d.ChangedSince(through, 4)
		g.Expect(len(records)).To(BeNumerically("<=", 4))
		other.Merge(atSeconds(12), records)
		parts++
	}
	g.Expect(parts).To(Equal(3))
	for i := range 10 {
		want, _ := d.Record(testContent(i))
		got, _ := other.Record(testContent(i))
		g.Expect(got).To(Equal(want))
	}
	records, same := d.ChangedSince(through, 4)
	g.Expect(records).To(BeEmpty())
	g.Expect(same).To(Equal(through))
}

// drawRecord returns a random record. A survived run is recorded only after crashes.
func drawRecord(t *rapid.T) Record {
	record := Record{Subject: testContent(1)}
	for range rapid.IntRange(0, 6).Draw(t, "crashes") {
		runner := rapid.IntRange(0, 30).Draw(t, "runner")
		// All routers detect the crash of a runner at about the same time.
		crash := Crash{Runner: testRunner(runner), SentAt: atSeconds(float64(runner) - 0.1), DetectedAt: atSeconds(float64(runner))}
		record, _ = record.Merge(Record{Crashes: []Crash{crash}})
	}
	if len(record.Crashes) > 0 && rapid.Bool().Draw(t, "survived") {
		record.SurvivedAt = record.Crashes[0].DetectedAt.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds later")) * time.Second)
	}
	return record
}

// Routers that receive the same records in different orders, and some of them repeatedly, end
// with the same record.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		merge := func(records ...Record) Record {
			merged := Record{Subject: testContent(1)}
			for _, record := range records {
				merged, _ = merged.Merge(record)
			}
			return merged
		}
		g.Expect(merge(a, b, c).activeCrashes()).To(Equal(merge(c, a, b).activeCrashes()))
		g.Expect(merge(a, b, a, b)).To(Equal(merge(a, b)))
		_, changed := merge(a, b).Merge(a)
		g.Expect(changed).To(BeFalse(), "a record that was already merged changes nothing")
		shifted := merge(a, b)
		shifted.SurvivedAt = shifted.SurvivedAt.Add(time.Millisecond)
		_, changed = merge(a, b).Merge(shifted)
		g.Expect(changed).To(BeFalse(), "a slightly shifted SurvivedAt changes nothing")
	})
}

// A content is quarantined only if enough different runners crashed since a run was last
// survived, and only if one of these runs was sent after the first crash.
func TestQuarantineRequiresThresholdAndRepeatedSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, seconds := NewDetector(Config{}), 0.0
		// crashesSinceSurvival holds the crashes of each content since a runner last survived a
		// run of it.
		crashesSinceSurvival := map[int][]Crash{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seconds += float64(rapid.IntRange(0, 40).Draw(t, "pause"))
			digest := rapid.IntRange(1, 4).Draw(t, "content")
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				d.survive(atSeconds(seconds), digest)
				crashesSinceSurvival[digest] = nil
			} else {
				sentAt := seconds - float64(rapid.IntRange(0, 3).Draw(t, "run"))
				run := &Run{Content: testContent(digest), Runner: testRunner(rapid.IntRange(0, 20).Draw(t, "runner")), SentAt: atSeconds(sentAt)}
				d.RunnerCrashed(atSeconds(seconds), run)
				crashesSinceSurvival[digest] = append(crashesSinceSurvival[digest], Crash{Runner: run.Runner, SentAt: run.SentAt, DetectedAt: atSeconds(seconds)})
			}
			for digest := range crashesSinceSurvival {
				if d.state(digest, seconds) != Quarantined {
					continue
				}
				runners, sentAgain := map[Runner]bool{}, false
				for _, crash := range crashesSinceSurvival[digest] {
					runners[crash.Runner] = true
					sentAgain = sentAgain || crash.SentAt.After(crashesSinceSurvival[digest][0].DetectedAt)
				}
				if len(runners) < quarantineThreshold || !sentAgain {
					t.Fatalf("quarantined by crashes %v", crashesSinceSurvival[digest])
				}
			}
		}
	})
}

// Three tenths of the runners were lost three times within seconds, and a long request was
// running on one of the lost runners each time. It was refused on its fourth send, although
// each of its crashes coincided with crashes of runners that had never run it, which means that
// something else was crashing runners at these times.
func TestCorrelatedCrashesNeedHigherThreshold(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	massFailure := func(number int, seconds float64) {
		for i := range 5 {
			d.crash(100*number+i, 100*number+i, seconds+float64(i)/100)
		}
		d.crash(1, 100*number+50, seconds+0.03)
	}
	for number := 1; number <= 4; number++ {
		massFailure(number, float64(4*number))
		g.Expect(d.state(1, float64(4*number+1))).To(Equal(Suspected))
	}
	massFailure(5, 20)
	g.Expect(d.state(1, 21)).To(Equal(Quarantined), "correlated crashes quarantine at the higher threshold")
	d.crash(2, 1000, 30)
	d.crash(2, 1001, 31)
	massFailure(6, 32)
	d.crash(2, 1002, 32)
	g.Expect(d.state(2, 33)).To(Equal(Quarantined), "only one of its crashes was correlated")
}

// Guards against a content that crashes runners anew for each tenant to which a configuration moves the credential of its caller.
func TestQuarantineFollowsCredentialToAnotherTenant(t *testing.T) {
	g, d := NewWithT(t), NewDetector(Config{})
	first, second := Subject{Tenant: "t", Digest: 1}, Subject{Tenant: "u", Digest: 1}
	state := func(content Subject, credential uint64) State {
		return d.EvaluateRequest(atSeconds(3), Request{Content: content, Credential: credential}).State
	}
	crash := func(content Subject, runner int) {
		d.RunnerCrashed(atSeconds(float64(runner)), &Run{Content: content, Credential: 7, Runner: testRunner(runner), SentAt: atSeconds(float64(runner) - 0.1)})
	}
	crash(first, 0)
	crash(first, 1)
	g.Expect(state(second, 7)).To(Equal(Suspected))
	crash(second, 2)
	g.Expect(state(second, 7)).To(Equal(Quarantined), "three crashes, two of them under the former tenant")
	g.Expect(state(first, 7)).To(Equal(Quarantined), "the credential is back")
	g.Expect(state(first, 8)).To(Equal(Quarantined), "another credential of the tenant")
	g.Expect(state(second, 8)).To(Equal(Suspected), "a single crash under this tenant")
	g.Expect(state(Subject{Tenant: "v", Digest: 1}, 8)).To(Equal(Clear), "another tenant")
	g.Expect(state(Subject{Tenant: "v", Digest: 1}, 0)).To(Equal(Clear), "no credential")
	d.RunnerSurvived(atSeconds(2.5), &Run{Content: second, Credential: 7})
	g.Expect(state(first, 8)).To(Equal(Clear), "the content was survived")
}
