package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// End is the end of one runner while a content was at work on it.
type End struct {
	Runner Runner
	// Began is when the run was sent, and At when the runner was found to have ended.
	Began, At time.Time
}

// keptEnds bounds the ends of one record, above what quarantining and lifting it some
// times takes.
const keptEnds = 16

// Record is what is known of one content. Records of several routers merge in any order
// and any number of times to the same one: ends are a set by runner, and the newest word
// that a runner outlived the content counts.
type Record struct {
	Content Content
	// Ends are those of different runners, the earliest first, keptEnds at most.
	Ends []End
	// OutlivedAt is when a runner was last seen to outlive a run of the content, zero for
	// never.
	OutlivedAt time.Time
}

// Merge returns the record with what the other one knows, and whether that was news. That a
// runner outlived the content is news only if ends count no more by it: moments shift a
// little on their way, and routers would tell each other of the shifts for ever.
func (r Record) Merge(other Record) (merged Record, changed bool) {
	merged = r
	for _, end := range other.Ends {
		if !merged.names(end.Runner) {
			merged.Ends, changed = append(slices.Clone(merged.Ends), end), true
		}
	}
	slices.SortStableFunc(merged.Ends, func(a, b End) int { return a.At.Compare(b.At) })
	merged.Ends = merged.Ends[max(len(merged.Ends)-keptEnds, 0):]
	if other.OutlivedAt.After(r.OutlivedAt) {
		before := len(merged.standing())
		merged.OutlivedAt = other.OutlivedAt
		changed = changed || len(merged.standing()) < before
	}
	return merged, changed
}

// names tells whether one of the ends is the runner's.
func (r Record) names(runner Runner) bool {
	return slices.ContainsFunc(r.Ends, func(end End) bool { return end.Runner == runner })
}

// standing returns the ends since a runner outlived the content: one that did so shows
// that those before had another cause.
func (r Record) standing() []End {
	first := slices.IndexFunc(r.Ends, func(end End) bool { return end.At.After(r.OutlivedAt) })
	if first < 0 {
		return nil
	}
	return r.Ends[first:]
}

// explains tells whether the content of this record was at work on all runners that ended
// under the other one, by which it may be the cause of these ends.
func (r Record) explains(other Record) bool {
	ends, others := r.standing(), other.standing()
	if r.Content == other.Content || len(ends) < len(others) {
		return false
	}
	for _, end := range others {
		if !slices.ContainsFunc(ends, func(own End) bool { return own.Runner == end.Runner }) {
			return false
		}
	}
	return true
}

// State is what follows for a content.
type State uint8

// The states.
const (
	// Clear contents are sent like all others.
	Clear State = iota
	// Suspected contents were at work on a runner that ended. They are sent, apart from
	// each other.
	Suspected
	// Quarantined contents are not sent.
	Quarantined
	// OnTrial contents were quarantined. They are sent one at a time.
	OnTrial
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspected", "quarantined", "on trial"}[s]
}

// Verdict is a state and the ends that it rests on.
type Verdict struct {
	State State
	// Ends counts the runners that ended since one outlived the content.
	Ends int
	// Until is when a quarantine is over.
	Until time.Time
}

// Bounds of judging.
const (
	// endsToQuarantine is how many runners must have ended under a content before it is not
	// sent any more. In the model of mixed fleets (simulation_test.go) four cost one runner
	// more for each such content; two spare one, and would refuse what was at two ended
	// runners by chance, as long requests are.
	endsToQuarantine = 3
	// endsIfExplained is the same while something else explains the ends: two more, so that
	// also then no more runners end than the three and three more that are borne.
	endsIfExplained = 5
	// waveTime is within which runners count as lost together, and waveRunners how many others
	// make it a wave: runners that are lost at once are found to have ended within 10 ms, or
	// when their next answer is due. One content that ends runners meets so many others by
	// chance now and then, and hardly at each of its ends.
	waveTime    = 300 * time.Millisecond
	waveRunners = 2
	// quarantineTime is how long a content is not sent at first. One that is refused wrongly
	// is shut out for so long, and each trial may cost a runner: after 5, 15, 35 and 75
	// minutes, three in the first hour.
	quarantineTime = 5 * time.Minute
	// longestQuarantine bounds the time, which doubles with each trial that ends a runner.
	longestQuarantine = 24 * time.Hour
	// suspectTime is how long ends count that led to no quarantine: contents that are asked
	// less often are never quarantined. One run that a runner outlives ends it sooner.
	suspectTime = time.Hour
	// clearedTime is how long a content is remembered to have been outlived: above the time
	// in which other routers hear of it.
	clearedTime = time.Minute
)

// Verdict judges the content at the moment, by how many ends quarantine it.
func (r Record) Verdict(now time.Time, needed int) Verdict {
	ends := r.standing()
	verdict := Verdict{Ends: len(ends)}
	first := quarantinedBy(ends, needed)
	if first < 0 {
		if len(ends) > 0 {
			verdict.State = Suspected
		}
		return verdict
	}
	until, _ := quarantineOf(ends, first)
	verdict.State, verdict.Until = OnTrial, until
	if now.Before(until) {
		verdict.State = Quarantined
	}
	return verdict
}

// quarantinedBy returns the index of the end by which the content was first quarantined,
// -1 if it was not. Runners that end all at once, as with a rack, are no evidence against
// what was at work on several of them: one run at least must have begun after a runner had
// ended under another.
func quarantinedBy(ends []End, needed int) int {
	for i := needed - 1; i < len(ends); i++ {
		if again := slices.ContainsFunc(ends[:i+1], func(end End) bool { return end.Began.After(ends[0].At) }); again {
			return i
		}
	}
	return -1
}

// quarantineOf returns until when the content is quarantined, and for how long: anew, and
// twice as long, with each end under a run that began after the last time.
func quarantineOf(ends []End, first int) (until time.Time, span time.Duration) {
	span = quarantineTime
	until = ends[first].At.Add(span)
	for _, end := range ends[first+1:] {
		if !end.Began.Before(until) {
			span = min(2*span, longestQuarantine)
			until = end.At.Add(span)
		}
	}
	return until, span
}

// forgetAt is when the record is of no use any more. A content that was quarantined is
// remembered for as long again, so that its trial counts.
func (r Record) forgetAt() time.Time {
	ends := r.standing()
	if len(ends) == 0 {
		return r.OutlivedAt.Add(clearedTime)
	}
	if first := quarantinedBy(ends, endsToQuarantine); first >= 0 {
		until, span := quarantineOf(ends, first)
		return until.Add(span)
	}
	return ends[len(ends)-1].At.Add(suspectTime)
}

// weaker orders records by how little would be lost with them: first by ends, then by when
// they last changed.
func weaker(a, b Record) int {
	return cmp.Or(cmp.Compare(len(a.standing()), len(b.standing())), a.forgetAt().Compare(b.forgetAt()))
}
