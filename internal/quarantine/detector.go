package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the memory of a Detector.
const (
	// maxRecords limits the number of records. A record takes about 200 bytes, so that all of
	// them take 0.4 MB. The loss of 70 runners with 16 requests each creates records for half
	// of this number.
	maxRecords = 2048
	// evictedRecords is how many records are removed at once when there are too many, as finding
	// the least significant ones takes a pass over all.
	evictedRecords = maxRecords / 8
	// maxSurvivedSubjects limits the number of subjects in one generation of recently survived
	// ones. It is the number of requests that one of 400 routers receives in
	// survivedInterval at a total of 27,000 requests per second.
	maxSurvivedSubjects = 2048
	// survivedInterval is the minimum time for which a subject counts as recently survived; the
	// maximum is twice as long. Crashes of runners that follow each other within seconds would
	// otherwise count against contents that are requested all the time. The cost is that a
	// content that starts to crash runners is detected that much later.
	survivedInterval = 30 * time.Second
	// A router that started less than warmUpTime ago assumes that a prompt part was sound before, with
	// runs of assumedRunTime. Popular parts have been survived by the end of that time.
	warmUpTime     = 5 * time.Second
	assumedRunTime = 250 * time.Millisecond
	// runTimeSmoothing is the inverse of the weight of a run in the mean run time.
	runTimeSmoothing = 8
)

// Detector holds the records of subjects that were being processed on runners when these
// crashed, and decides which are quarantined. It is not safe for concurrent use.
type Detector struct {
	records map[Subject]*entry
	// sequence is the number of the last change of any record.
	sequence uint64
	config   Config
	// survivedContents and survivedParts are the subjects that runners survived recently.
	survivedContents, survivedParts survivedSet
	derived                         derivedState
}

// entry is a record with the sequence number of its last change.
type entry struct {
	Record
	sequence uint64
	// otherCause caches the result of hasOtherCause as of the change numbered
	// otherCauseSequence.
	otherCause         bool
	otherCauseSequence uint64
}

// derivedState caches what follows from all records as of the change numbered sequence.
type derivedState struct {
	sequence uint64
	// crashed are the entries with active crashes, repeatedContents those of contents with several of them,
	// crashedContents those of all contents by digest, and crashedParts those of prompt parts, by ID.
	crashed          []*entry
	repeatedContents []*entry
	crashedContents  map[uint64][]*entry
	crashedParts     map[string][]*entry
	// strongSuspects are the entries of prompt parts with at least two generations of crashes that were not
	// sound before.
	strongSuspects []*entry
	// crashes caches allCrashes.
	crashes []Crash
	// awaitingContrast are the entries of prompt parts whose verdict may depend on whether runs without them are
	// survived.
	awaitingContrast []*entry
	// quarantined are the entries of subjects that were quarantined, with those on trial.
	quarantined []*entry
}

// Config is the configuration of a Detector.
type Config struct {
	// TrialKey differs between routers, so that they begin trials at different times. 0 delays no trial.
	TrialKey uint64
	// Probes makes the router test quarantined prompt parts that were sound before, soon after the
	// quarantine began. A few routers of a fleet do, so that a part that crashes runners costs few more.
	Probes bool
	// StartedAt is when the router started. Shortly after that it does not know which prompt parts were
	// sound before.
	StartedAt time.Time
}

// NewDetector returns a Detector without records.
func NewDetector(config Config) *Detector {
	return &Detector{records: map[Subject]*entry{}, config: config}
}

// RunnerCrashed records that the runner of the runs crashed while it processed them, and returns the
// records that changed.
func (d *Detector) RunnerCrashed(now time.Time, runs ...*Run) (changed []Record) {
	for _, run := range runs {
		changed = append(changed, d.contentCrashed(now, run)...)
		changed = append(changed, d.partsCrashed(now, run)...)
	}
	return changed
}

// contentCrashed records a crash under the content of the run. Contents that a runner survived recently
// are ignored.
func (d *Detector) contentCrashed(now time.Time, run *Run) (changed []Record) {
	crash := Crash{Runner: run.Runner, Credential: run.Credential, SentAt: run.SentAt, DetectedAt: now}
	for _, content := range d.contents(run.Content, run.Credential) {
		if d.survivedContents.runTime(now, content) == 0 && d.merge(now, Record{Subject: content, Crashes: []Crash{crash}}) {
			changed = append(changed, d.records[content].Record)
		}
	}
	return changed
}

// contents returns the content, and those of other tenants that are equal to it and under which the same credential's requests crashed
// runners: the credential was theirs before a configuration moved it.
func (d *Detector) contents(own Subject, credential uint64) []Subject {
	contents := []Subject{own}
	if credential == 0 {
		return contents
	}
	for _, e := range d.derive().crashedContents[own.Digest] {
		if e.Subject != own && e.includesCredential(credential) {
			contents = append(contents, e.Subject)
		}
	}
	return contents
}

// partsCrashed records a crash under the prompt parts of the run.
func (d *Detector) partsCrashed(now time.Time, run *Run) (changed []Record) {
	crash := Crash{Runner: run.Runner, Content: run.Content.Digest, SentAt: run.SentAt, DetectedAt: now}
	if !run.crashedAt.IsZero() {
		crash.DetectedAt = run.crashedAt
	}
	for _, id := range run.Parts {
		part := NewPart(run.Content.Tenant, id)
		record := Record{Subject: part, Crashes: []Crash{crash}, Service: run.Service, RunTime: d.runTimeBefore(now, part)}
		if d.merge(now, record) {
			changed = append(changed, d.records[part].Record)
		}
	}
	return changed
}

// runTimeBefore returns the mean run time of a prompt part under which a runner crashed, 0 if runners did not
// survive the part before.
func (d *Detector) runTimeBefore(now time.Time, part Subject) time.Duration {
	if known := d.survivedParts.runTime(now, part); known > 0 || now.Sub(d.config.StartedAt) >= warmUpTime {
		return known
	}
	isQuarantined := func(e *entry) bool { return slices.Contains(d.derive().quarantined, e) }
	if slices.ContainsFunc(d.derive().crashedParts[part.Part], isQuarantined) {
		// The part is known to crash runners, for this tenant or another one.
		return 0
	}
	return assumedRunTime
}

// RunnerSurvived records that a runner survived the run, and returns the changed records that other
// routers need.
func (d *Detector) RunnerSurvived(now time.Time, run *Run) (changed []Record) {
	for _, content := range d.contents(run.Content, run.Credential) {
		d.survivedContents.add(now, content, now.Sub(run.SentAt))
		if e := d.records[content]; e != nil && len(e.activeCrashes()) > 0 && d.merge(now, Record{Subject: content, SurvivedAt: now}) {
			changed = append(changed, e.Record)
		}
	}
	for _, id := range run.Parts {
		changed = append(changed, d.partSurvived(now, run, id)...)
	}
	return append(changed, d.recordContrast(now, run)...)
}

// partSurvived records that a runner survived the run in the records of one of its parts: that of the run's
// tenant, and those of other tenants whose requests with the part were answered before. A part that was never
// answered may be another one for another tenant.
func (d *Detector) partSurvived(now time.Time, run *Run, id string) (changed []Record) {
	own := NewPart(run.Content.Tenant, id)
	d.survivedParts.add(now, own, now.Sub(run.SentAt))
	runTime := d.survivedParts.runTime(now, own)
	for _, e := range d.derive().crashedParts[id] {
		if e.Subject != own && !e.wasSound() {
			continue
		}
		generations := e.generations()
		// Other routers see parts with a single generation survive themselves, or learn it with
		// their next pull.
		if d.merge(now, Record{Subject: e.Subject, SurvivedAt: run.startedAt(), RunTime: runTime}) && generations > 1 {
			changed = append(changed, e.Record)
		}
	}
	return changed
}

// recordContrast records that a runner survived the run in the records of parts that may be quarantined and
// that the run does not have, and returns the records that changed.
func (d *Detector) recordContrast(now time.Time, run *Run) (changed []Record) {
	for _, e := range d.derive().awaitingContrast {
		if e.Service == run.Service && !run.Includes(e.Subject) && d.merge(now, Record{Subject: e.Subject, ContrastAt: run.startedAt()}) {
			changed = append(changed, e.Record)
		}
	}
	return changed
}

// Lift drops all crashes of the subject up to now, and returns its record if that changed it.
func (d *Detector) Lift(now time.Time, subject Subject) (record Record, changed bool) {
	if d.records[subject] == nil || !d.merge(now, Record{Subject: subject, SurvivedAt: now}) {
		return Record{}, false
	}
	return d.records[subject].Record, true
}

// Merge applies records from another router. It returns the records that changed, and those that show
// that crashes of which the other router knows had another cause.
func (d *Detector) Merge(now time.Time, records []Record) (changed, refuted []Record) {
	for _, record := range records {
		if d.merge(now, record) {
			changed = append(changed, d.records[record.Subject].Record)
		}
		if e := d.records[record.Subject]; e != nil && record.Subject.IsPart() && e.refutes(record) {
			refuted = append(refuted, e.Record)
		}
	}
	return changed, refuted
}

func (d *Detector) merge(now time.Time, record Record) (changed bool) {
	e := d.records[record.Subject]
	if e == nil {
		e = &entry{Record: Record{Subject: record.Subject}}
	}
	merged, changed := e.Record.Merge(record)
	e.Record = merged
	if !changed || !now.Before(merged.expiry()) {
		return false
	}
	d.sequence++
	e.sequence = d.sequence
	d.records[record.Subject] = e
	if len(d.records) > maxRecords {
		d.evictLeastSignificant(record.Subject)
	}
	return true
}

// evictLeastSignificant removes the least significant records, but never the record of the subject
// given by keep.
func (d *Detector) evictLeastSignificant(keep Subject) {
	type candidate struct {
		subject Subject
		crashes int
		expiry  time.Time
	}
	candidates := make([]candidate, 0, len(d.records))
	for subject, e := range d.records {
		if subject != keep {
			candidates = append(candidates, candidate{subject, len(e.activeCrashes()), e.expiry()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.expiry.Compare(b.expiry))
	})
	for _, c := range candidates[:evictedRecords] {
		delete(d.records, c.subject)
	}
}

// Evaluate returns the current status of the subject.
func (d *Detector) Evaluate(now time.Time, subject Subject) Status {
	e := d.records[subject]
	if e == nil || !now.Before(e.expiry()) {
		return Status{}
	}
	return d.independent(e).Evaluate(now, d.crashThreshold(e), func(duration time.Duration) time.Duration { return d.trialDelay(e.Record, duration) })
}

// trialDelay returns how much later than others this router begins trials of the subject, at most
// duration. Thus one of many routers begins, and the others learn the result before they begin.
func (d *Detector) trialDelay(record Record, duration time.Duration) time.Duration {
	if d.config.TrialKey == 0 {
		return 0
	}
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = hash.WriteString(record.Subject.Tenant + "/" + record.Subject.String())
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, d.config.TrialKey))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(record.Crashes))))
	return time.Duration(float64(hash.Sum64()) / math.MaxUint64 * float64(duration))
}

// crashThreshold returns the number of crashes, or for prompt parts of generations of them, that
// quarantine the subject. Crashes under runs of other tenants with the same part count as well unless they
// may have another cause, but at least one must be the tenant's own.
func (d *Detector) crashThreshold(e *entry) int {
	threshold := d.ownThreshold(e)
	if !e.Subject.IsPart() {
		return threshold
	}
	for _, other := range d.derive().crashedParts[e.Subject.Part] {
		if other.Subject.Tenant != e.Subject.Tenant && (!other.wasSound() || other.isQuarantined(d.ownThreshold(other))) {
			threshold -= other.generations()
		}
	}
	return max(threshold, 1)
}

// ownThreshold is crashThreshold without the crashes of other tenants.
func (d *Detector) ownThreshold(e *entry) int {
	if e.quarantiningCrash(quarantineThreshold) < 0 {
		// The higher threshold is not reached either.
		return quarantineThreshold
	}
	if e.otherCauseSequence != d.sequence {
		e.otherCause, e.otherCauseSequence = d.hasOtherCause(e.Record), d.sequence
	}
	if e.otherCause {
		return otherCauseThreshold
	}
	return quarantineThreshold
}

// independent returns the record without the crashes that stronger suspects explain: for a prompt part that
// was sound before, crashes that are also crashes of suspect parts that were not.
func (d *Detector) independent(e *entry) Record {
	record := e.Record
	if !record.wasSound() || len(record.Crashes) < minHeldEvidence {
		return record
	}
	for _, stronger := range d.derive().strongSuspects {
		if stronger != e {
			record.Crashes = slices.DeleteFunc(slices.Clone(record.Crashes), func(crash Crash) bool { return stronger.includesRunner(crash.Runner) })
		}
	}
	return record
}

// hasOtherCause reports whether all crashes in the record may have another cause: either
// another content that was being processed on each of the crashed runners, or a failure of
// several runners at the time of each crash.
func (d *Detector) hasOtherCause(record Record) bool {
	for _, other := range d.derive().repeatedContents {
		if other.coversCrashes(record) {
			return true
		}
	}
	return !slices.ContainsFunc(record.activeCrashes(), func(crash Crash) bool { return !d.isCorrelated(record, crash) })
}

// isCorrelated reports whether runners that are not in the record, and that no other strong suspect
// explains, crashed at about the same time as the crash.
func (d *Detector) isCorrelated(record Record, crash Crash) bool {
	crashes := d.derive().allCrashes()
	first, _ := slices.BinarySearchFunc(crashes, crash.DetectedAt.Add(-correlationWindow), func(c Crash, at time.Time) int { return c.DetectedAt.Compare(at) })
	others := 0
	for _, other := range crashes[first:] {
		if other.DetectedAt.Sub(crash.DetectedAt) > correlationWindow {
			break
		}
		if record.includesRunner(other.Runner) || d.isExplainedByAnother(record.Subject, other.Runner) {
			continue
		}
		if others++; others >= minCorrelatedRunners {
			return true
		}
	}
	return false
}

// isExplainedByAnother reports whether a strong suspect other than the subject crashed the runner.
func (d *Detector) isExplainedByAnother(subject Subject, runner Runner) bool {
	return slices.ContainsFunc(d.derive().strongSuspects, func(e *entry) bool { return e.Subject != subject && e.includesRunner(runner) })
}

// allCrashes returns the crashes of all records, one for each runner, earliest first.
func (s *derivedState) allCrashes() []Crash {
	if s.crashes != nil {
		return s.crashes
	}
	seen := map[Runner]bool{}
	for _, e := range s.crashed {
		for _, crash := range e.Crashes {
			if !seen[crash.Runner] {
				seen[crash.Runner] = true
				s.crashes = append(s.crashes, crash)
			}
		}
	}
	slices.SortFunc(s.crashes, func(a, b Crash) int { return a.DetectedAt.Compare(b.DetectedAt) })
	return s.crashes
}

// derive returns what follows from all records.
func (d *Detector) derive() *derivedState {
	if d.derived.sequence == d.sequence {
		return &d.derived
	}
	d.derived = derivedState{sequence: d.sequence, crashedContents: map[uint64][]*entry{}, crashedParts: map[string][]*entry{}}
	s := &d.derived
	for _, e := range d.records {
		if crashes := len(e.activeCrashes()); crashes > 0 {
			s.add(e, crashes)
		}
	}
	for _, e := range s.crashed {
		if !s.mayBeQuarantined(e) {
			continue
		}
		threshold := d.crashThreshold(e)
		if e.Subject.IsPart() && (e.generations() > 1 || e.quarantiningCrash(threshold) >= 0) {
			s.awaitingContrast = append(s.awaitingContrast, e)
		}
		if d.independent(e).isQuarantined(threshold) {
			s.quarantined = append(s.quarantined, e)
		}
	}
	return s
}

// add adds an entry with active crashes.
func (s *derivedState) add(e *entry, crashes int) {
	s.crashed = append(s.crashed, e)
	if !e.Subject.IsPart() {
		s.crashedContents[e.Subject.Digest] = append(s.crashedContents[e.Subject.Digest], e)
		if crashes > 1 {
			s.repeatedContents = append(s.repeatedContents, e)
		}
		return
	}
	s.crashedParts[e.Subject.Part] = append(s.crashedParts[e.Subject.Part], e)
	if crashes > 1 && !e.wasSound() && e.generations() > 1 {
		s.strongSuspects = append(s.strongSuspects, e)
	}
}

// mayBeQuarantined is a cheap check that excludes most entries.
func (s *derivedState) mayBeQuarantined(e *entry) bool {
	if !e.Subject.IsPart() {
		return e.quarantiningCrash(quarantineThreshold) >= 0
	}
	return len(s.crashedParts[e.Subject.Part]) > 1 || len(e.Crashes) > 1 && e.generations() > 1
}

// Record returns the record of the subject, and whether there is one.
func (d *Detector) Record(subject Subject) (Record, bool) {
	e := d.records[subject]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Sequence returns the sequence number of the last change.
func (d *Detector) Sequence() uint64 { return d.sequence }

// ChangedSince returns the records that changed after the sequence number since, oldest change
// first and at most limit of them, and the sequence number up to which they are complete. A router that
// has no records yet needs none without active crashes.
func (d *Detector) ChangedSince(since uint64, limit int) (records []Record, reached uint64) {
	if since >= d.sequence {
		return nil, d.sequence
	}
	changed := d.sortedEntries(func(e *entry) bool { return e.sequence > since && (since > 0 || len(e.activeCrashes()) > 0) })
	reached = d.sequence
	if len(changed) > limit {
		changed = changed[:limit]
		reached = changed[limit-1].sequence
	}
	for _, e := range changed {
		records = append(records, e.Record)
	}
	return records, reached
}

// sortedEntries returns the selected entries, oldest change first.
func (d *Detector) sortedEntries(isSelected func(e *entry) bool) (entries []*entry) {
	for _, e := range d.records {
		if isSelected(e) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return entries
}

// Records returns all records, oldest change first.
func (d *Detector) Records() (records []Record) {
	for _, e := range d.sortedEntries(func(*entry) bool { return true }) {
		records = append(records, e.Record)
	}
	return records
}

// Quarantined returns the records of quarantined subjects, oldest change first and at most
// limit of them.
func (d *Detector) Quarantined(now time.Time, limit int) (records []Record) {
	for _, record := range d.Records() {
		if len(records) < limit && d.Evaluate(now, record.Subject).State == Quarantined {
			records = append(records, record)
		}
	}
	return records
}

// Counts holds numbers of recorded subjects by state.
type Counts struct{ Contents, Parts map[State]int }

// CountByState returns the number of recorded contents and prompt parts in each state.
func (d *Detector) CountByState(now time.Time) Counts {
	counts := Counts{Contents: map[State]int{}, Parts: map[State]int{}}
	for subject := range d.records {
		state := d.Evaluate(now, subject).State
		if subject.IsPart() {
			counts.Parts[state]++
		} else {
			counts.Contents[state]++
		}
	}
	return counts
}

// Prune removes the expired records and returns them.
func (d *Detector) Prune(now time.Time) (removed []Record) {
	maps.DeleteFunc(d.records, func(_ Subject, e *entry) bool {
		expired := !now.Before(e.expiry())
		if expired {
			removed = append(removed, e.Record)
		}
		return expired
	})
	if len(removed) > 0 {
		d.derived = derivedState{}
	}
	return removed
}

// survivedSet holds the subjects that a runner survived recently. It keeps two generations, so
// that neither the running time nor the memory grows with the traffic.
type survivedSet struct {
	// current and previous hold the mean time that runs of each subject took, recent ones counting most.
	current, previous map[Subject]time.Duration
	// startedAt is when the current generation began.
	startedAt time.Time
}

func (s *survivedSet) add(now time.Time, subject Subject, runTime time.Duration) {
	if s.current == nil || now.Sub(s.startedAt) >= survivedInterval || len(s.current) >= maxSurvivedSubjects {
		s.previous, s.current, s.startedAt = s.current, map[Subject]time.Duration{}, now
	}
	mean := cmp.Or(s.current[subject], s.previous[subject], runTime)
	s.current[subject] = max(mean+(runTime-mean)/runTimeSmoothing, 1)
}

// runTime returns the mean time of the runs that runners survived recently, 0 if there are none.
func (s *survivedSet) runTime(now time.Time, subject Subject) time.Duration {
	switch age := now.Sub(s.startedAt); {
	case age < survivedInterval:
		return max(s.current[subject], s.previous[subject])
	case age < 2*survivedInterval:
		return s.current[subject]
	}
	return 0
}
