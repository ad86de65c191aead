package quarantine

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// Verdict is how a request is to be handled, and the subject of the request that is the reason.
type Verdict struct {
	Status
	Subject Subject
}

// EvaluateRequest returns how the request is to be handled.
func (d *Detector) EvaluateRequest(now time.Time, request Request) Verdict {
	subjects := d.contents(request.Content, request.Credential)
	for _, id := range request.Parts {
		subjects = append(subjects, NewPart(request.Content.Tenant, id))
	}
	var result Verdict
	for _, subject := range subjects {
		status := d.Evaluate(now, subject)
		if status.State == Quarantined && (d.hasOtherExplanation(subject, subjects) || d.isProbe(now, subject, subjects)) {
			status.State = OnTrial
		}
		if status.State == Quarantined {
			return Verdict{Status: status, Subject: subject}
		}
		if isStronger(status, result.Status) {
			result = Verdict{Status: status, Subject: subject}
		}
	}
	return result
}

// isStronger reports whether a status restricts a request more than another one, or as much for more crashes.
func isStronger(a, b Status) bool {
	if a.State != b.State {
		return a.State > b.State
	}
	return a.State != Clear && a.Crashes > b.Crashes
}

// probeDelay is the time between the beginning of a quarantine and its test, and maxProbeStagger limits by how
// much more it differs between the routers that test.
const (
	probeDelay      = time.Second
	maxProbeStagger = 2 * time.Second
)

// isProbe reports whether the request may test the quarantined subject: a prompt part that was sound before,
// of which each crash may be that of another part, and that has not been tested yet. The other parts of the
// request must be beyond suspicion.
func (d *Detector) isProbe(now time.Time, subject Subject, request []Subject) bool {
	e := d.records[subject]
	if !d.config.Probes || !subject.IsPart() || !e.wasSound() {
		return false
	}
	for _, other := range request {
		if record := d.records[other]; other != subject && record != nil && len(record.activeCrashes()) > 0 {
			return false
		}
	}
	crashes, first := e.activeCrashes(), e.quarantiningCrash(d.crashThreshold(e))
	if first < 0 || !d.isContested(e) {
		return false
	}
	probesFrom := clock.Later(crashes[first].DetectedAt, e.observedUntil()).Add(probeDelay)
	wasTested := slices.ContainsFunc(crashes, func(crash Crash) bool { return !crash.SentAt.Before(probesFrom) })
	return !wasTested && !now.Before(probesFrom.Add(d.trialDelay(e.Record, maxProbeStagger)))
}

// isContested reports whether each active crash of the prompt part is also one of another part.
func (d *Detector) isContested(e *entry) bool {
	shared := map[Runner]bool{}
	for _, entries := range d.derive().crashedParts {
		for _, other := range entries {
			if other == e {
				continue
			}
			for _, crash := range other.activeCrashes() {
				shared[crash.Runner] = true
			}
		}
	}
	return !slices.ContainsFunc(e.activeCrashes(), func(crash Crash) bool { return !shared[crash.Runner] })
}

// hasOtherExplanation reports whether other quarantined subjects, none of which is a subject of the
// request, were on all runners that crashed under the subject. They may be the cause of all of these
// crashes, so that the request may be sound.
func (d *Detector) hasOtherExplanation(subject Subject, request []Subject) bool {
	e := d.records[subject]
	explained := map[Runner]bool{}
	for _, other := range d.derive().quarantined {
		if other.Subject == subject || !other.sharesCrash(e.Record) {
			continue
		}
		if slices.Contains(request, other.Subject) {
			return false
		}
		for _, crash := range other.activeCrashes() {
			explained[crash.Runner] = true
		}
	}
	return !slices.ContainsFunc(e.activeCrashes(), func(crash Crash) bool { return !explained[crash.Runner] })
}

// sharesCrash reports whether an active crash of both records is the same.
func (r Record) sharesCrash(other Record) bool {
	return slices.ContainsFunc(r.activeCrashes(), func(crash Crash) bool { return other.includesRunner(crash.Runner) })
}

// SharedCrashes returns the number of active crashes that other prompt parts of the tenant share with the
// record, for at most limit parts.
func (d *Detector) SharedCrashes(record Record, limit int) map[string]int {
	counts := map[string]int{}
	for subject, e := range d.records {
		if !subject.IsPart() || subject == record.Subject || subject.Tenant != record.Subject.Tenant || !e.sharesCrash(record) {
			continue
		}
		if len(counts) == limit {
			break
		}
		for _, crash := range e.activeCrashes() {
			if record.includesRunner(crash.Runner) {
				counts[subject.Part]++
			}
		}
	}
	return counts
}
