package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// partDetector is a Detector with shorthands for runs of prompt parts.
type partDetector struct {
	*Detector
	contents int
}

// newRun returns a run of a new content.
func (d *partDetector) newRun(tenant string, runner int, sentAt float64, parts ...string) *Run {
	d.contents++
	return &Run{Content: Subject{Tenant: tenant, Digest: uint64(d.contents)}, Parts: parts, Runner: testRunner(runner), Service: "s", SentAt: atSeconds(sentAt)}
}

// crashRun records the crash of the runner during a run that was sent 0.1 s earlier.
func (d *partDetector) crashRun(tenant string, runner int, seconds float64, parts ...string) {
	d.RunnerCrashed(atSeconds(seconds), d.newRun(tenant, runner, seconds-0.1, parts...))
}

// surviveRun records that a runner survived a run that was sent 0.2 s earlier.
func (d *partDetector) surviveRun(tenant string, seconds float64, parts ...string) {
	d.RunnerSurvived(atSeconds(seconds), d.newRun(tenant, 1000, seconds-0.2, parts...))
}

// verdict returns the state of a request with a new content and the parts.
func (d *partDetector) verdict(tenant string, seconds float64, parts ...string) State {
	d.contents++
	return d.EvaluateRequest(atSeconds(seconds), Request{Content: Subject{Tenant: tenant, Digest: uint64(d.contents)}, Parts: parts}).State
}

func newPartDetector() *partDetector { return &partDetector{Detector: NewDetector(Config{})} }

func TestThirdGenerationQuarantinesPart(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i, want := range []State{Suspected, Held, Quarantined} {
		d.crashRun("t", i, float64(i), "a", "bad")
		g.Expect(d.verdict("t", float64(i), "a", "bad")).To(Equal(want))
		d.surviveRun("t", float64(i)+0.5, "a", "sound")
	}
	g.Expect(d.verdict("t", 3, "a", "sound")).To(Equal(Clear), "the other part was survived")
	g.Expect(d.verdict("t", 3, "other", "bad")).To(Equal(Quarantined))
	g.Expect(d.verdict("u", 3, "a", "bad")).To(Equal(Clear), "the same part of another tenant is not affected")
}

// A request that crashes its runners and is sent again and again must not make its parts refuse others.
func TestRepeatedContentDoesNotQuarantineItsParts(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 4 {
		run := d.newRun("t", i, float64(i)-0.1, "a", "b")
		run.Content.Digest = 1
		d.RunnerCrashed(atSeconds(float64(i)), run)
	}
	g.Expect(d.Evaluate(atSeconds(4), Subject{Tenant: "t", Digest: 1}).State).To(Equal(Quarantined))
	g.Expect(d.verdict("t", 4, "a", "b")).To(Equal(Suspected))
}

// An answer that had begun before a crash says nothing about a part that went bad meanwhile.
func TestRunThatBeganBeforeTheCrashDoesNotClearPart(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	early := d.newRun("t", 50, 0, "bad")
	for i := range 3 {
		d.crashRun("t", i, float64(i+1), "bad")
	}
	d.RunnerSurvived(atSeconds(3.5), early)
	g.Expect(d.verdict("t", 4, "bad")).NotTo(Equal(Clear))
	late := d.newRun("t", 50, 0, "bad")
	late.BeganAt = atSeconds(3.2)
	d.RunnerSurvived(atSeconds(3.6), late)
	g.Expect(d.verdict("t", 4, "bad")).To(Equal(Clear))
}

// Runners that crash under whatever they run must not shut out the part that all requests share.
func TestKnownSoundPartNeedsContrast(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	d.surviveRun("t", 0, "a", "b")
	for i := range 4 {
		d.crashRun("t", i, float64(i+1), "a")
	}
	g.Expect(d.verdict("t", 10, "a")).To(Equal(Suspected))
	d.surviveRun("t", 10, "c")
	g.Expect(d.verdict("t", 10, "a")).To(Equal(Quarantined))
}

// Three crashes within the time of one run are no evidence against a part that many requests share.
func TestKnownSoundPartIsHeldUntilARunCouldEnd(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	d.RunnerSurvived(atSeconds(1), d.newRun("t", 50, 0.5, "a"))
	for i := range 3 {
		crashedAt := 2 + 0.1*float64(i)
		d.RunnerCrashed(atSeconds(crashedAt), d.newRun("t", i, crashedAt-0.05, "a"))
	}
	d.surviveRun("t", 2.4, "c")
	got := d.EvaluateRequest(atSeconds(2.5), Request{Content: Subject{Tenant: "t", Digest: 99}, Parts: []string{"a"}})
	g.Expect(got.State).To(Equal(Held))
	g.Expect(got.Until).To(Equal(atSeconds(3)), "twice the run time after the first crash")
	g.Expect(d.verdict("t", 3, "a")).To(Equal(Quarantined))
}

// Two parts were in the same requests only. The one that is sound must not be refused in requests without
// the other.
func TestRequestWithOneOfTwoTiedPartsIsTried(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 3 {
		d.crashRun("t", i, float64(i), "bad", "beside")
	}
	g.Expect(d.verdict("t", 3, "bad", "beside")).To(Equal(Quarantined))
	g.Expect(d.verdict("t", 3, "beside")).To(Equal(OnTrial))
	d.surviveRun("t", 4, "beside")
	g.Expect(d.verdict("t", 4, "beside")).To(Equal(Clear))
	g.Expect(d.verdict("t", 4, "bad")).To(Equal(Quarantined))
}

func TestCrashUnderOnePartOfATieRefusesIt(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 3 {
		d.crashRun("t", i, float64(i), "bad", "beside")
	}
	g.Expect(d.verdict("t", 3, "bad")).To(Equal(OnTrial))
	d.crashRun("t", 3, 4, "bad")
	g.Expect(d.verdict("t", 4, "bad")).To(Equal(Quarantined))
	g.Expect(d.verdict("t", 4, "beside")).To(Equal(OnTrial))
}

// One tenant must not be able to have another one refused, but need not pay all crashes again.
func TestCrashesOfAnotherTenantLowerTheThreshold(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 3 {
		d.crashRun("t", i, float64(i), "bad")
	}
	g.Expect(d.verdict("u", 3, "bad")).To(Equal(Clear))
	d.crashRun("u", 3, 4, "bad")
	g.Expect(d.verdict("u", 4, "bad")).To(Equal(Quarantined))
}

// Of 400 routers, few begin a trial before they can know the outcome of the first one.
func TestTrialsOfManyRoutersAreSpread(t *testing.T) {
	g := NewWithT(t)
	const routers, outcomeDelay = 400, 500 * time.Millisecond
	quarantineEnd := atSeconds(2).Add(initialQuarantine)
	onTrialAt := func(router int, at time.Time) bool {
		d := &partDetector{Detector: NewDetector(Config{TrialKey: uint64(router + 1)})}
		for i := range 3 {
			d.crashRun("t", i, float64(i), "bad")
		}
		return d.EvaluateRequest(at, Request{Content: Subject{Tenant: "t", Digest: 99}, Parts: []string{"bad"}}).State == OnTrial
	}
	trying := 0
	for router := range routers {
		if onTrialAt(router, quarantineEnd.Add(outcomeDelay)) {
			trying++
		}
		g.Expect(onTrialAt(router, quarantineEnd.Add(initialQuarantine))).To(BeTrue())
	}
	g.Expect(trying).To(BeNumerically("<=", maxLatePart))
}

func TestLiftClearsSubject(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 3 {
		d.crashRun("t", i, float64(i), "bad")
	}
	record, lifted := d.Lift(atSeconds(5), NewPart("t", "bad"))
	g.Expect(lifted).To(BeTrue())
	g.Expect(d.verdict("t", 5, "bad")).To(Equal(Clear))
	other := newPartDetector()
	for i := range 3 {
		other.crashRun("t", i, float64(i), "bad")
	}
	other.Merge(atSeconds(6), []Record{record})
	g.Expect(other.verdict("t", 6, "bad")).To(Equal(Clear))
	_, lifted = d.Lift(atSeconds(7), NewPart("t", "bad"))
	g.Expect(lifted).To(BeFalse())
}

// A router that has seen a part survive tells the others when they count crashes up to then.
func TestOutdatedCrashesAreRefuted(t *testing.T) {
	g, d, other := NewWithT(t), newPartDetector(), newPartDetector()
	for i := range 2 {
		other.crashRun("t", i, float64(i), "a")
		d.crashRun("t", i, float64(i), "a")
	}
	d.surviveRun("t", 3, "a")
	told, _ := other.Record(NewPart("t", "a"))
	_, refuted := d.Merge(atSeconds(4), []Record{told})
	g.Expect(refuted).To(HaveLen(1))
	other.Merge(atSeconds(5), refuted)
	g.Expect(other.verdict("t", 5, "a")).To(Equal(Clear))
	told, _ = other.Record(NewPart("t", "a"))
	_, refuted = d.Merge(atSeconds(6), []Record{told})
	g.Expect(refuted).To(BeEmpty())
}

// Routers that receive the same records of a part in different orders, and some repeatedly, decide the same.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	part := NewPart("t", "a")
	draw := func(t *rapid.T) Record {
		record := Record{Subject: part}
		for range rapid.IntRange(0, 6).Draw(t, "crashes") {
			runner := rapid.IntRange(0, 30).Draw(t, "runner")
			record.Crashes = append(record.Crashes, Crash{Runner: testRunner(runner), Content: uint64(runner), SentAt: atSeconds(float64(runner) - 0.1), DetectedAt: atSeconds(float64(runner))})
		}
		if rapid.Bool().Draw(t, "survived") {
			record.SurvivedAt = atSeconds(float64(rapid.IntRange(0, 30).Draw(t, "survived at")))
		}
		record.RunTime = time.Duration(rapid.IntRange(0, 2).Draw(t, "run time")) * time.Second
		if rapid.Bool().Draw(t, "contrast") {
			record.ContrastAt = atSeconds(float64(rapid.IntRange(0, 30).Draw(t, "contrast at")))
		}
		return record
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		merge := func(records ...Record) Record {
			merged := Record{Subject: part}
			for _, record := range records {
				merged, _ = merged.Merge(record)
			}
			return merged
		}
		a, b, c := draw(t), draw(t), draw(t)
		g.Expect(merge(a, b, c).activeCrashes()).To(Equal(merge(c, a, b).activeCrashes()))
		g.Expect(merge(a, b, c).Evaluate(atSeconds(40), 3, nil)).To(Equal(merge(b, c, a).Evaluate(atSeconds(40), 3, nil)))
		_, changed := merge(a, b).Merge(a)
		g.Expect(changed).To(BeFalse(), "a record that was already merged changes nothing")
	})
}

// An attacker who names millions of parts must not use up the memory or push out the part that crashes runners.
func TestManyPartsKeepMemoryBounded(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 3 {
		d.crashRun("t", i, float64(i), "bad")
	}
	for i := range 4 * maxRecords {
		d.crashRun("u", 100+i, 3+float64(i)/1000, fmt.Sprint("named-", i))
		d.surviveRun("u", 3+float64(i)/1000, fmt.Sprint("sound-", i))
	}
	g.Expect(len(d.records)).To(BeNumerically("<=", maxRecords))
	g.Expect(len(d.survivedParts.current) + len(d.survivedParts.previous)).To(BeNumerically("<=", 2*maxSurvivedSubjects))
	g.Expect(d.verdict("t", 12, "bad")).To(Equal(Quarantined))
}

// Guards against a part that goes on crashing runners for a second tenant, as the runs without it that were
// survived were recorded only from the tenant's second crash on.
func TestContrastIsRecordedForPartsOfFurtherTenants(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	d.surviveRun("u", 0, "bad")
	for i := range 3 {
		d.crashRun("t", i, float64(i+1), "bad")
	}
	d.crashRun("u", 3, 4, "bad")
	d.surviveRun("u", 4.5, "c")
	g.Expect(d.verdict("u", 5, "bad")).To(Equal(Quarantined))
}

// Guards against a started router that gets many cleared records before those of what is quarantined.
func TestNewRouterIsToldNoClearedRecords(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 10 {
		d.crashRun("t", i, 1, fmt.Sprint("cleared-", i))
		d.surviveRun("t", 2, fmt.Sprint("cleared-", i))
	}
	for i := range 3 {
		d.crashRun("t", 100+i, 3+float64(i), "bad")
	}
	records, reached := d.ChangedSince(0, 100)
	g.Expect(reached).To(Equal(d.Sequence()))
	for _, record := range records {
		g.Expect(record.Subject.Part).NotTo(ContainSubstring("cleared"))
	}
	g.Expect(records).To(ContainElement(HaveField("Subject", NewPart("t", "bad"))))
}

// Guards against a single long answer that delays all later verdicts on its parts.
func TestRunTimeOfRecordIsTheMean(t *testing.T) {
	g, d := NewWithT(t), newPartDetector()
	for i := range 20 {
		d.surviveRun("t", float64(i), "a")
	}
	d.crashRun("t", 1, 30, "a")
	long := d.newRun("t", 50, 30.1, "a")
	d.RunnerSurvived(atSeconds(40.1), long)
	record, _ := d.Record(NewPart("t", "a"))
	g.Expect(record.RunTime).To(BeNumerically("<", 2*time.Second))
}

// Guards against a crash that counts from its detection, so that the router's own second attempts are no further
// evidence, and against reading runs that their calls may be ending at the same time.
func TestCrashCountsFromTheFirstLostConnection(t *testing.T) {
	g, d, table := NewWithT(t), newPartDetector(), NewRunTable()
	lost, open := d.newRun("t", 1, 0, "a"), d.newRun("t", 1, 0, "a")
	table.Begin(lost)
	table.Begin(open)
	table.End(atSeconds(1), lost, ConnectionLost)
	runs := table.RunnerCrashed(atSeconds(1.2), testRunner(1))
	table.End(atSeconds(0.5), open, ConnectionLost)
	d.RunnerCrashed(atSeconds(1.2), runs...)
	record, _ := d.Record(NewPart("t", "a"))
	g.Expect(record.Crashes[0].DetectedAt).To(Equal(atSeconds(1)))
}
