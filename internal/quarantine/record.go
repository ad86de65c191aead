package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Crash is a crash of one runner that occurred while the runner was processing a run of the subject.
type Crash struct {
	Runner Runner
	// Content is the digest of the run's content. It is recorded for prompt parts only.
	Content uint64
	// Credential is the CredentialHash of the caller. It is recorded for contents only.
	Credential uint64
	// SentAt is when the run was sent, and DetectedAt is when the crash was detected.
	SentAt, DetectedAt time.Time
}

// maxCrashes limits the crashes in one record. It is more than the subject needs to be
// quarantined and to fail several trials.
const maxCrashes = 16

// Record holds the crashes of one subject. Merging records of several routers gives the same
// result in any order and with any number of repetitions: crashes are a set keyed by runner,
// and the latest times apply.
type Record struct {
	Subject Subject
	// Crashes holds at most one crash per runner, earliest first and at most maxCrashes. Crashes
	// up to SurvivedAt may be missing.
	Crashes []Crash
	// SurvivedAt shows that earlier crashes had another cause, zero if nothing does. For a content,
	// it is when a runner last completed a run; for a prompt part, when the last run that a runner
	// completed had begun.
	SurvivedAt time.Time
	// Service is the service of the runners that crashed under a prompt part.
	Service string
	// RunTime is the mean time that runners took to complete runs of the prompt part before a crash, the
	// longest of those that routers observed. It is 0 if none is known to have completed one.
	RunTime time.Duration
	// ContrastAt is when a run without the prompt part began that a runner of the service
	// survived, zero if there is none. It shows that runners were working at that time.
	ContrastAt time.Time
}

// Merge combines both records and reports whether that added information. A later SurvivedAt or
// ContrastAt counts as a change only if it changes what the crashes show: times shift slightly in
// transit, and routers would otherwise send each other the shifted times forever.
func (r Record) Merge(other Record) (merged Record, changed bool) {
	merged = r
	merged.SurvivedAt = clock.Later(r.SurvivedAt, other.SurvivedAt)
	merged.Service = cmp.Or(r.Service, other.Service)
	merged.RunTime = max(r.RunTime, other.RunTime)
	changed = len(merged.activeCrashes()) < len(r.activeCrashes()) || merged.wasSound() != r.wasSound() && len(merged.activeCrashes()) > 0
	for _, crash := range other.Crashes {
		if crash.DetectedAt.After(merged.SurvivedAt) && !merged.includesRunner(crash.Runner) {
			merged.Crashes, changed = append(slices.Clone(merged.Crashes), crash), true
		}
	}
	slices.SortStableFunc(merged.Crashes, func(a, b Crash) int { return a.DetectedAt.Compare(b.DetectedAt) })
	merged.Crashes = merged.activeCrashes()
	merged.Crashes = merged.Crashes[max(len(merged.Crashes)-maxCrashes, 0):]
	hadContrast := merged.hasContrast()
	merged.ContrastAt = clock.Later(r.ContrastAt, other.ContrastAt)
	return merged, changed || merged.hasContrast() != hadContrast
}

// wasSound reports whether runners are known to have completed runs of the prompt part before it crashed some.
func (r Record) wasSound() bool { return r.RunTime > 0 }

// hasContrast reports whether a run without the prompt part was survived since the first active crash.
func (r Record) hasContrast() bool {
	crashes := r.activeCrashes()
	return len(crashes) > 0 && r.ContrastAt.After(crashes[0].DetectedAt)
}

// refutes reports whether the other record lacks the time of a run that was survived, although that makes
// crashes inactive which count as more than one generation there.
func (r Record) refutes(other Record) bool {
	outdated := slices.ContainsFunc(other.activeCrashes(), func(crash Crash) bool { return !crash.DetectedAt.After(r.SurvivedAt) })
	return outdated && other.generations() > 1
}

// includesRunner reports whether the record contains a crash of the runner.
func (r Record) includesRunner(runner Runner) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Runner == runner })
}

// includesCredential reports whether a request of the credential's caller was on a runner that crashed.
func (r Record) includesCredential(credential uint64) bool {
	return slices.ContainsFunc(r.activeCrashes(), func(crash Crash) bool { return crash.Credential == credential })
}

// activeCrashes returns the crashes since a runner last survived a run of the subject. A
// survived run shows that the earlier crashes had another cause.
func (r Record) activeCrashes() []Crash {
	first := slices.IndexFunc(r.Crashes, func(crash Crash) bool { return crash.DetectedAt.After(r.SurvivedAt) })
	if first < 0 {
		return nil
	}
	return r.Crashes[first:]
}

// coversCrashes reports whether every runner in the other record's active crashes is also in
// the active crashes of this record. The subject of this record may then be the cause of the
// other's crashes. A part does not cover a content, because the parts of a content are at each of its
// crashes.
func (r Record) coversCrashes(other Record) bool {
	ownCrashes, otherCrashes := r.activeCrashes(), other.activeCrashes()
	if r.Subject == other.Subject || r.Subject.IsPart() || len(ownCrashes) < len(otherCrashes) {
		return false
	}
	for _, crash := range otherCrashes {
		if !slices.ContainsFunc(ownCrashes, func(own Crash) bool { return own.Runner == crash.Runner }) {
			return false
		}
	}
	return true
}

// State determines how requests with a subject are handled.
type State uint8

// The states of a subject.
const (
	// Clear subjects are sent without restrictions.
	Clear State = iota
	// Suspected subjects were being processed on a runner that crashed. They are sent, but kept
	// on separate runners.
	Suspected
	// OnTrial subjects have left their quarantine. They are sent one at a time.
	OnTrial
	// Held subjects will be quarantined soon, unless a run that is under way survives. Requests with
	// them wait for that.
	Held
	// Quarantined subjects are not sent.
	Quarantined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"clear", "suspected", "on trial", "held", "quarantined"}[s]
}

// Status is the state of a subject and the reason for it.
type Status struct {
	State State
	// Crashes is the number of runners that crashed since one last survived a run of the
	// subject.
	Crashes int
	// Evidence is the number of these crashes that count towards a quarantine.
	Evidence int
	// Until is when the quarantine ends, or when it is decided whether a held subject is quarantined.
	Until time.Time
}

// Thresholds and durations of the quarantine.
const (
	// quarantineThreshold is the number of crashed runners, and for prompt parts of generations of
	// them, at which a subject is no longer sent. In the simulation of mixed fleets
	// (simulation_test.go), a threshold of four costs one more runner per crashing content. A
	// threshold of two saves one runner, but would refuse contents that were on two crashed runners
	// by chance, which is likely for long requests.
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
	// minHeldEvidence is the number of generations from which requests with a prompt part wait for the
	// outcome of others, at most outcomeTime after the last crash, and from which those with a part that
	// was sound before are kept on separate runners. Many requests may have such a part, and some of the
	// runners on which they are run crash for another reason.
	minHeldEvidence = 2
	outcomeTime     = 150 * time.Millisecond
	// A prompt part that was sound before is not quarantined until runTimeFactor times the time that its
	// runs took have passed since its first crash, at least minObservation.
	runTimeFactor  = 2
	minObservation = 250 * time.Millisecond
	// suspicionRetention is how long crashes count that did not lead to a quarantine. Contents
	// that are sent less often than this are never quarantined. A survived run clears the
	// content earlier.
	suspicionRetention = time.Hour
	// clearedRetention is how long the record of a survived run is kept. It is longer than
	// most partitions, after which a router brings crashes back that no longer count.
	clearedRetention = 10 * time.Minute
)

// Evaluate returns the status of the subject at the given time, if threshold crashes quarantine
// it. A quarantine ends trialDelay later at this router than the crashes imply.
func (r Record) Evaluate(now time.Time, threshold int, trialDelay func(duration time.Duration) time.Duration) Status {
	crashes := r.activeCrashes()
	status := Status{Crashes: len(crashes), Evidence: len(crashes)}
	if r.Subject.IsPart() {
		status.Evidence = r.generations()
	}
	first := r.quarantiningCrash(threshold)
	if heldUntil := r.heldUntil(first, status.Evidence); now.Before(heldUntil) {
		status.State, status.Until = Held, heldUntil
		return status
	}
	if first < 0 || !r.hasEnoughContrast() {
		if len(crashes) > 0 && (!r.wasSound() || status.Evidence >= minHeldEvidence) {
			status.State = Suspected
		}
		return status
	}
	until, duration := quarantinePeriod(crashes, first)
	if !now.Before(until) && trialDelay != nil {
		until = until.Add(trialDelay(duration))
	}
	status.State, status.Until = OnTrial, until
	if now.Before(until) {
		status.State = Quarantined
	}
	return status
}

// heldUntil returns until when requests with the subject wait, zero if they do not. first is the index of the
// crash that quarantines it, -1 if there is none. A prompt part that was sound before is decided when a run sent
// after its first crash would have been completed. Before there are enough crashes, requests wait for the outcome
// of the runs that were sent before the last one.
func (r Record) heldUntil(first, evidence int) time.Time {
	switch {
	case !r.Subject.IsPart():
		return time.Time{}
	case first >= 0 && r.wasSound():
		return r.observedUntil()
	case first < 0 && evidence >= minHeldEvidence:
		crashes := r.activeCrashes()
		return crashes[len(crashes)-1].DetectedAt.Add(outcomeTime)
	}
	return time.Time{}
}

// hasEnoughContrast reports whether the crashes can't be put down to runners that crash under all runs.
// That is assumed of subjects that were not sound before.
func (r Record) hasEnoughContrast() bool { return !r.wasSound() || r.hasContrast() }

// observedUntil returns when it is decided whether a prompt part that was sound before is quarantined: when
// a run that was sent after the first active crash would have been completed, or when the crashes are
// enough whatever their cause.
func (r Record) observedUntil() time.Time {
	crashes := r.activeCrashes()
	until := crashes[0].DetectedAt.Add(max(runTimeFactor*r.RunTime, minObservation))
	if last := r.indexOfCrash(otherCauseThreshold, quarantineThreshold); last >= 0 && crashes[last].DetectedAt.Before(until) {
		return crashes[last].DetectedAt
	}
	return until
}

// isQuarantined reports whether enough crashes are recorded to quarantine the subject, be it now, in
// the past, or once runs that are under way could have been completed.
func (r Record) isQuarantined(threshold int) bool {
	return r.quarantiningCrash(threshold) >= 0 && r.hasEnoughContrast()
}

// quarantiningCrash returns the index of the active crash that first quarantined the subject, or -1
// if it was not quarantined.
func (r Record) quarantiningCrash(threshold int) int {
	if r.Subject.IsPart() {
		return r.quarantiningPartCrash(threshold)
	}
	return quarantiningContentCrash(r.activeCrashes(), threshold)
}

// quarantiningContentCrash implements quarantiningCrash for contents. Runners that crash all at once,
// such as those of a failed rack, are no evidence against a content that was running on several of
// them. Therefore at least one run must have been sent after the first crash was detected.
func quarantiningContentCrash(crashes []Crash, threshold int) int {
	for i := threshold - 1; i < len(crashes); i++ {
		if sentAgain := slices.ContainsFunc(crashes[:i+1], func(crash Crash) bool { return crash.SentAt.After(crashes[0].DetectedAt) }); sentAgain {
			return i
		}
	}
	return -1
}

// quarantiningPartCrash implements quarantiningCrash for prompt parts.
func (r Record) quarantiningPartCrash(threshold int) int {
	minGenerations := threshold
	if !r.wasSound() && r.hasContrast() {
		// Crashes of the same generation count as well: runs of other parts were completed meanwhile.
		minGenerations = (threshold + 1) / 2
	}
	return r.indexOfCrash(threshold, minGenerations)
}

// indexOfCrash returns the index of the active crash with which there are the given numbers of crashes and of
// generations, -1 if there are fewer.
func (r Record) indexOfCrash(crashes, generations int) int {
	active, counted := r.activeCrashes(), generationCounter{}
	for i, crash := range active {
		counted.add(crash)
		if i+1 >= crashes && counted.count >= generations && (crashes == 1 || hasSeveralContents(active[:i+1])) {
			return i
		}
	}
	return -1
}

// generations returns the number of generations of active crashes. Crashes under a single content count as
// one, because that would explain them.
func (r Record) generations() int {
	crashes, counted := r.activeCrashes(), generationCounter{}
	if !hasSeveralContents(crashes) {
		return min(len(crashes), 1)
	}
	for _, crash := range crashes {
		counted.add(crash)
	}
	return counted.count
}

// generationCounter counts the crashes that occurred in a run which was sent after the previous counted one
// had been detected. Runners that crash all at once are one generation.
type generationCounter struct {
	count          int
	lastDetectedAt time.Time
}

// add adds the next crash in the order of detection.
func (c *generationCounter) add(crash Crash) {
	if c.count == 0 || crash.SentAt.After(c.lastDetectedAt) {
		c.count, c.lastDetectedAt = c.count+1, crash.DetectedAt
	}
}

// hasSeveralContents reports whether the crashes occurred under more than one content.
func hasSeveralContents(crashes []Crash) bool {
	return slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Content != crashes[0].Content })
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

// expiry returns when the record can be removed. A quarantined subject is kept for twice the length
// of its quarantine after the quarantine ended, so that the results of trials count, the last of
// which begin after that length.
func (r Record) expiry() time.Time {
	crashes := r.activeCrashes()
	if len(crashes) == 0 {
		return r.SurvivedAt.Add(clearedRetention)
	}
	if first := r.quarantiningCrash(quarantineThreshold); first >= 0 && r.hasEnoughContrast() {
		until, duration := quarantinePeriod(crashes, first)
		return until.Add(2 * duration)
	}
	return crashes[len(crashes)-1].DetectedAt.Add(suspicionRetention)
}
