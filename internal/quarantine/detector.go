package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the memory of a Detector.
const (
	// maxRecords limits the number of records. A record takes about 200 bytes, so that all of
	// them take 0.4 MB. The loss of 70 runners with 16 requests each creates records for half
	// of this number.
	maxRecords = 2048
	// maxSurvivedContents limits the number of contents in one generation of recently survived
	// contents. It is the number of requests that one of 400 routers receives in
	// survivedInterval at a total of 27,000 requests per second.
	maxSurvivedContents = 2048
	// survivedInterval is the minimum time for which a survived content is not suspected; the
	// maximum is twice as long. Crashes of runners that follow each other within seconds would
	// otherwise count against contents that are requested all the time. The cost is that a
	// content that starts to crash runners is detected that much later.
	survivedInterval = 30 * time.Second
)

// Detector holds the records of contents that were being processed on runners when these
// crashed, and decides which contents are quarantined. It is not safe for concurrent use.
type Detector struct {
	records map[Subject]*entry
	// sequence is the number of the last change of any record.
	sequence uint64
	survived survivedSet
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

// NewDetector returns a Detector without records.
func NewDetector() *Detector { return &Detector{records: map[Subject]*entry{}} }

// RunnerCrashed records that the runner of the run crashed while it processed the run, and
// reports whether that changed the record of the content. Contents that a runner survived
// recently are ignored.
func (d *Detector) RunnerCrashed(now time.Time, run *Run) (changed bool) {
	if d.survived.contains(now, run.Content) {
		return false
	}
	return d.merge(now, Record{Subject: run.Content, Crashes: []Crash{{Runner: run.Runner, SentAt: run.SentAt, DetectedAt: now}}})
}

// RunnerSurvived records that a runner survived a run of the content, and reports whether that
// changed its record. It does so only if active crashes are recorded for the content.
func (d *Detector) RunnerSurvived(now time.Time, content Subject) (changed bool) {
	d.survived.add(now, content)
	if e := d.records[content]; e == nil || len(e.activeCrashes()) == 0 {
		return false
	}
	return d.merge(now, Record{Subject: content, SurvivedAt: now})
}

// Merge applies records from another router and returns the records that changed.
func (d *Detector) Merge(now time.Time, records []Record) (changed []Record) {
	for _, record := range records {
		if d.merge(now, record) {
			changed = append(changed, d.records[record.Subject].Record)
		}
	}
	return changed
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

// evictLeastSignificant removes the least significant record, but never the record of the content
// given by keep.
func (d *Detector) evictLeastSignificant(keep Subject) {
	var least *entry
	for content, e := range d.records {
		if content != keep && (least == nil || compareSignificance(e.Record, least.Record) < 0) {
			least = e
		}
	}
	delete(d.records, least.Subject)
}

// Evaluate returns the current status of the content.
func (d *Detector) Evaluate(now time.Time, content Subject) Status {
	e := d.records[content]
	if e == nil || !now.Before(e.expiry()) {
		return Status{}
	}
	return e.Evaluate(now, d.crashThreshold(e))
}

// crashThreshold returns the number of crashes that quarantine the content.
func (d *Detector) crashThreshold(e *entry) int {
	if len(e.activeCrashes()) >= quarantineThreshold && e.otherCauseSequence != d.sequence {
		e.otherCause, e.otherCauseSequence = d.hasOtherCause(e.Record), d.sequence
	}
	if e.otherCause {
		return otherCauseThreshold
	}
	return quarantineThreshold
}

// hasOtherCause reports whether all crashes in the record may have another cause: either
// another content that was being processed on each of the crashed runners, or a failure of
// several runners at the time of each crash.
func (d *Detector) hasOtherCause(record Record) bool {
	for _, other := range d.records {
		if other.coversCrashes(record) {
			return true
		}
	}
	return !slices.ContainsFunc(record.activeCrashes(), func(crash Crash) bool { return !d.isCorrelated(record, crash) })
}

// isCorrelated reports whether runners that are not in the record crashed at about the same
// time as the crash.
func (d *Detector) isCorrelated(record Record, crash Crash) bool {
	otherRunners := map[Runner]bool{}
	for _, e := range d.records {
		for _, other := range e.Crashes {
			if other.DetectedAt.Sub(crash.DetectedAt).Abs() <= correlationWindow && !record.includesRunner(other.Runner) {
				otherRunners[other.Runner] = true
			}
		}
	}
	return len(otherRunners) >= minCorrelatedRunners
}

// Record returns the record of the content, and whether there is one.
func (d *Detector) Record(content Subject) (Record, bool) {
	e := d.records[content]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Sequence returns the sequence number of the last change.
func (d *Detector) Sequence() uint64 { return d.sequence }

// ChangedSince returns the records that changed after the sequence number since, oldest change
// first and at most limit of them, and the sequence number up to which they are complete.
func (d *Detector) ChangedSince(since uint64, limit int) (records []Record, reached uint64) {
	if since >= d.sequence {
		return nil, d.sequence
	}
	var changed []*entry
	for _, e := range d.records {
		if e.sequence > since {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
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

// Records returns all records, oldest change first.
func (d *Detector) Records() []Record {
	all, _ := d.ChangedSince(0, maxRecords)
	return all
}

// Quarantined returns the records of quarantined contents, oldest change first and at most
// limit of them.
func (d *Detector) Quarantined(now time.Time, limit int) (records []Record) {
	for _, record := range d.Records() {
		if len(records) < limit && d.Evaluate(now, record.Subject).State == Quarantined {
			records = append(records, record)
		}
	}
	return records
}

// CountByState returns the number of recorded contents in each state.
func (d *Detector) CountByState(now time.Time) map[State]int {
	counts := map[State]int{}
	for content := range d.records {
		counts[d.Evaluate(now, content).State]++
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
	return removed
}

// survivedSet holds the contents that a runner survived recently. It keeps two generations, so
// that neither the running time nor the memory grows with the traffic.
type survivedSet struct {
	current, previous map[Subject]bool
	// startedAt is when the current generation began.
	startedAt time.Time
}

func (s *survivedSet) add(now time.Time, content Subject) {
	if s.current == nil || now.Sub(s.startedAt) >= survivedInterval || len(s.current) >= maxSurvivedContents {
		s.previous, s.current, s.startedAt = s.current, map[Subject]bool{}, now
	}
	s.current[content] = true
}

func (s *survivedSet) contains(now time.Time, content Subject) bool {
	switch age := now.Sub(s.startedAt); {
	case age < survivedInterval:
		return s.current[content] || s.previous[content]
	case age < 2*survivedInterval:
		return s.current[content]
	}
	return false
}
