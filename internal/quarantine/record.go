package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash of one runner that occurred while the runner was processing the content.
type Crash struct {
	Runner Runner
	// SentAt is when the run was sent, and DetectedAt is when the crash was detected.
	SentAt, DetectedAt time.Time
}

// maxCrashes limits the crashes in one record. It is more than the content needs to be
// quarantined and to fail several trials.
const maxCrashes = 16

// Record holds the crashes of one content. Merging records of several routers gives the same
// result in any order and with any number of repetitions: crashes are a set keyed by runner,
// and the latest SurvivedAt applies.
type Record struct {
	Subject Subject
	// Crashes holds at most one crash per runner, earliest first and at most maxCrashes.
	Crashes []Crash
	// SurvivedAt is when a runner was last seen to survive a run of the content, zero if none
	// did.
	SurvivedAt time.Time
}

// Merge combines both records and reports whether that added information. A later SurvivedAt
// counts as a change only if it makes crashes inactive: times shift slightly in transit, and
// routers would otherwise send each other the shifted times forever.
func (r Record) Merge(other Record) (merged Record, changed bool) {
	merged = r
	for _, crash := range other.Crashes {
		if !merged.includesRunner(crash.Runner) {
			merged.Crashes, changed = append(slices.Clone(merged.Crashes), crash), true
		}
	}
	slices.SortStableFunc(merged.Crashes, func(a, b Crash) int { return a.DetectedAt.Compare(b.DetectedAt) })
	merged.Crashes = merged.Crashes[max(len(merged.Crashes)-maxCrashes, 0):]
	if other.SurvivedAt.After(r.SurvivedAt) {
		before := len(merged.activeCrashes())
		merged.SurvivedAt = other.SurvivedAt
		changed = changed || len(merged.activeCrashes()) < before
	}
	return merged, changed
}

// includesRunner reports whether the record contains a crash of the runner.
func (r Record) includesRunner(runner Runner) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Runner == runner })
}

// activeCrashes returns the crashes since a runner last survived a run of the content. A
// survived run shows that the earlier crashes had another cause.
func (r Record) activeCrashes() []Crash {
	first := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.DetectedAt.After(r.SurvivedAt) })
	if first < 0 {
		return nil
	}
	return r.Crashes[first:]
}

// coversCrashes reports whether every runner in the other record's active crashes is also in
// the active crashes of this record. The content of this record may then be the cause of the
// other's crashes.
func (r Record) coversCrashes(other Record) bool {
	ownCrashes, otherCrashes := r.activeCrashes(), other.activeCrashes()
	if r.Subject == other.Subject || len(ownCrashes) < len(otherCrashes) {
		return false
	}
	for _, crash := range otherCrashes {
		if !slices.ContainsFunc(ownCrashes, func(own Crash) bool { return own.Runner == crash.Runner }) {
			return false
		}
	}
	return true
}

// State determines how requests with a content are handled.
type State uint8

// The states of a content.
const (
	// Clear contents are sent without restrictions.
	Clear State = iota
	// Suspected contents were being processed on a runner that crashed. They are sent, but kept
	// on separate runners.
	Suspected
	// Quarantined contents are not sent.
	Quarantined
	// OnTrial contents have left their quarantine. They are sent one at a time.
	OnTrial
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "suspected", "quarantined", "on trial"}[s]
}

// Status is the state of a content and the reason for it.
type Status struct {
	State State
	// Crashes is the number of runners that crashed since one last survived a run of the
	// content.
	Crashes int
	// Until is when the quarantine ends.
	Until time.Time
}

// Thresholds and durations of the quarantine.
const (
	// quarantineThreshold is the number of crashed runners at which a content is no longer
	// sent. In the simulation of mixed fleets (simulation_test.go), a threshold of four costs
	// one more runner per crashing content. A threshold of two saves one runner, but would
	// refuse contents that were on two crashed runners by chance, which is likely for long
	// requests.
	quarantineThreshold = 3
	// otherCauseThreshold is the threshold while the crashes may have another cause. It is two
	// higher, so that even then no more runners crash than the accepted three plus three more.
	otherCauseThreshold = 5
	// correlationWindow is the maximum time between crashes that count as correlated, and
	// minCorrelatedRunners is the number of other crashed runners that makes a crash
	// correlated. Runners that are lost at once are detected within 10 ms, or when their next
	// response is due. A content that crashes runners coincides with that many other crashes
	// now and then, but rarely on every one of its crashes.
	correlationWindow    = 300 * time.Millisecond
	minCorrelatedRunners = 2
	// initialQuarantine is the length of the first quarantine. A content that is refused
	// wrongly is blocked for this long, but each trial may cost a runner. Trials occur after 5,
	// 15, 35 and 75 minutes, which is three in the first hour.
	initialQuarantine = 5 * time.Minute
	// maxQuarantine limits the length of a quarantine, which doubles with each trial that
	// crashes a runner.
	maxQuarantine = 24 * time.Hour
	// suspicionRetention is how long crashes count that did not lead to a quarantine. Contents
	// that are sent less often than this are never quarantined. A survived run clears the
	// content earlier.
	suspicionRetention = time.Hour
	// clearedRetention is how long the record of a survived run is kept. It is longer than
	// other routers need to learn of it.
	clearedRetention = time.Minute
)

// Evaluate returns the status of the content at the given time, if threshold crashes quarantine
// it.
func (r Record) Evaluate(now time.Time, threshold int) Status {
	crashes := r.activeCrashes()
	status := Status{Crashes: len(crashes)}
	first := quarantiningCrash(crashes, threshold)
	if first < 0 {
		if len(crashes) > 0 {
			status.State = Suspected
		}
		return status
	}
	until, _ := quarantinePeriod(crashes, first)
	status.State, status.Until = OnTrial, until
	if now.Before(until) {
		status.State = Quarantined
	}
	return status
}

// quarantiningCrash returns the index of the crash that first quarantined the content, or -1 if
// it was not quarantined. Runners that crash all at once, such as those of a failed rack, are
// no evidence against a content that was running on several of them. Therefore at least one run
// must have been sent after the first crash was detected.
func quarantiningCrash(crashes []Crash, threshold int) int {
	for i := threshold - 1; i < len(crashes); i++ {
		if sentAgain := slices.ContainsFunc(crashes[:i+1], func(crash Crash) bool { return crash.SentAt.After(crashes[0].DetectedAt) }); sentAgain {
			return i
		}
	}
	return -1
}

// quarantinePeriod returns when the quarantine ends and how long it is. Each crash during a run
// that was sent after the previous quarantine starts a new quarantine of twice the length.
func quarantinePeriod(crashes []Crash, first int) (until time.Time, duration time.Duration) {
	duration = initialQuarantine
	until = crashes[first].DetectedAt.Add(duration)
	for _, crash := range crashes[first+1:] {
		if !crash.SentAt.Before(until) {
			duration = min(2*duration, maxQuarantine)
			until = crash.DetectedAt.Add(duration)
		}
	}
	return until, duration
}

// expiry returns when the record can be removed. A quarantined content is kept for the length
// of its quarantine after the quarantine ended, so that the result of its trial counts.
func (r Record) expiry() time.Time {
	crashes := r.activeCrashes()
	if len(crashes) == 0 {
		return r.SurvivedAt.Add(clearedRetention)
	}
	if first := quarantiningCrash(crashes, quarantineThreshold); first >= 0 {
		until, duration := quarantinePeriod(crashes, first)
		return until.Add(duration)
	}
	return crashes[len(crashes)-1].DetectedAt.Add(suspicionRetention)
}

// compareSignificance orders records for eviction, least significant first: by the number of
// active crashes, then by expiry.
func compareSignificance(a, b Record) int {
	return cmp.Or(cmp.Compare(len(a.activeCrashes()), len(b.activeCrashes())), a.expiry().Compare(b.expiry()))
}
