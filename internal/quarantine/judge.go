package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of a judge's memory.
const (
	// maxRecords bounds the contents that are remembered: at some 200 bytes each, 0.4 MB. A
	// loss of 70 runners with 16 requests each names half of them.
	maxRecords = 2048
	// harmlessRecords bounds the contents that a runner has outlived of late: what one of 400
	// routers is asked in harmlessTime at 27,000 requests a second.
	harmlessRecords = 2048
	// harmlessTime is for how long, up to twice, such a content is not suspected. Crashes of
	// runners that follow each other within seconds name contents that are asked all the time;
	// one that begins to end runners is judged that much later.
	harmlessTime = 30 * time.Second
)

// Judge holds the records of contents under which runners have ended. It is not safe for
// concurrent use.
type Judge struct {
	records map[Content]*entry
	// sequence numbers the changes of records.
	sequence uint64
	harmless harmless
}

// entry is a record with the number of its last change.
type entry struct {
	Record
	sequence uint64
	// explained tells whether another content explains the ends, as of the change.
	explained   bool
	explainedAt uint64
}

// NewJudge returns a judge that knows of nothing.
func NewJudge() *Judge { return &Judge{records: map[Content]*entry{}} }

// Ended notes that the runner of the run was found to have ended under it, and tells
// whether that is news. It says nothing of contents that runners outlive.
func (j *Judge) Ended(now time.Time, run *Run) (changed bool) {
	if j.harmless.has(now, run.Content) {
		return false
	}
	return j.merge(now, Record{Content: run.Content, Ends: []End{{Runner: run.Runner, Began: run.Began, At: now}}})
}

// Outlived notes that a runner has outlived a run of the content, and tells whether that is
// news: only of contents under which runners have ended it is.
func (j *Judge) Outlived(now time.Time, content Content) (changed bool) {
	j.harmless.note(now, content)
	if known := j.records[content]; known == nil || len(known.standing()) == 0 {
		return false
	}
	return j.merge(now, Record{Content: content, OutlivedAt: now})
}

// Merge takes what other routers know, and returns the records that changed.
func (j *Judge) Merge(now time.Time, records []Record) (changed []Record) {
	for _, record := range records {
		if j.merge(now, record) {
			changed = append(changed, j.records[record.Content].Record)
		}
	}
	return changed
}

func (j *Judge) merge(now time.Time, record Record) (changed bool) {
	known := j.records[record.Content]
	if known == nil {
		known = &entry{Record: Record{Content: record.Content}}
	}
	merged, changed := known.Record.Merge(record)
	known.Record = merged
	if !changed || !now.Before(merged.forgetAt()) {
		return false
	}
	j.sequence++
	known.sequence = j.sequence
	j.records[record.Content] = known
	if len(j.records) > maxRecords {
		j.dropWeakest(record.Content)
	}
	return true
}

// dropWeakest makes room for the content.
func (j *Judge) dropWeakest(kept Content) {
	var weakest *entry
	for content, known := range j.records {
		if content != kept && (weakest == nil || weaker(known.Record, weakest.Record) < 0) {
			weakest = known
		}
	}
	delete(j.records, weakest.Content)
}

// Verdict judges the content.
func (j *Judge) Verdict(now time.Time, content Content) Verdict {
	known := j.records[content]
	if known == nil || !now.Before(known.forgetAt()) {
		return Verdict{}
	}
	return known.Verdict(now, j.needed(known))
}

// needed is how many ends quarantine the content.
func (j *Judge) needed(known *entry) int {
	if len(known.standing()) >= endsToQuarantine && known.explainedAt != j.sequence {
		known.explained, known.explainedAt = j.explained(known.Record), j.sequence
	}
	if known.explained {
		return endsIfExplained
	}
	return endsToQuarantine
}

// explained tells whether something else may have ended all the runners that ended under the
// content: another content that was at work on each of them, or what ended others at the same
// moments.
func (j *Judge) explained(record Record) bool {
	for _, other := range j.records {
		if other.explains(record) {
			return true
		}
	}
	return !slices.ContainsFunc(record.standing(), func(end End) bool { return !j.inWave(record, end) })
}

// inWave tells whether runners that the content was never at ended together with the one.
func (j *Judge) inWave(record Record, end End) bool {
	others := map[Runner]bool{}
	for _, known := range j.records {
		for _, other := range known.Ends {
			if other.At.Sub(end.At).Abs() <= waveTime && !record.names(other.Runner) {
				others[other.Runner] = true
			}
		}
	}
	return len(others) >= waveRunners
}

// Record returns what is known of the content.
func (j *Judge) Record(content Content) (Record, bool) {
	known := j.records[content]
	if known == nil {
		return Record{}, false
	}
	return known.Record, true
}

// Sequence is the number of the last change.
func (j *Judge) Sequence() uint64 { return j.sequence }

// Since returns the records that changed after the change of the number, in the order of
// their last changes and at most so many, and the number up to which they are complete.
func (j *Judge) Since(sequence uint64, most int) (records []Record, through uint64) {
	if sequence >= j.sequence {
		return nil, j.sequence
	}
	var changed []*entry
	for _, known := range j.records {
		if known.sequence > sequence {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	through = j.sequence
	if len(changed) > most {
		changed = changed[:most]
		through = changed[most-1].sequence
	}
	for _, known := range changed {
		records = append(records, known.Record)
	}
	return records, through
}

// Records returns all records, in the order of their last changes.
func (j *Judge) Records() []Record {
	all, _ := j.Since(0, maxRecords)
	return all
}

// Quarantined returns the records of contents that are quarantined, in the order of their
// last changes and at most so many.
func (j *Judge) Quarantined(now time.Time, most int) (records []Record) {
	for _, record := range j.Records() {
		if len(records) < most && j.Verdict(now, record.Content).State == Quarantined {
			records = append(records, record)
		}
	}
	return records
}

// Counts returns how many contents are in each state.
func (j *Judge) Counts(now time.Time) map[State]int {
	counts := map[State]int{}
	for content := range j.records {
		counts[j.Verdict(now, content).State]++
	}
	return counts
}

// Sweep forgets the records that are of no use any more, and returns them.
func (j *Judge) Sweep(now time.Time) (forgotten []Record) {
	maps.DeleteFunc(j.records, func(_ Content, known *entry) bool {
		over := !now.Before(known.forgetAt())
		if over {
			forgotten = append(forgotten, known.Record)
		}
		return over
	})
	return forgotten
}

// harmless remembers contents that a runner has outlived of late, in two generations, so
// that neither time nor memory grow with the traffic.
type harmless struct {
	current, previous map[Content]bool
	// began is when the current generation began.
	began time.Time
}

func (h *harmless) note(now time.Time, content Content) {
	if h.current == nil || now.Sub(h.began) >= harmlessTime || len(h.current) >= harmlessRecords {
		h.previous, h.current, h.began = h.current, map[Content]bool{}, now
	}
	h.current[content] = true
}

func (h *harmless) has(now time.Time, content Content) bool {
	switch age := now.Sub(h.began); {
	case age < harmlessTime:
		return h.current[content] || h.previous[content]
	case age < 2*harmlessTime:
		return h.current[content]
	}
	return false
}
