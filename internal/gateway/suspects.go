package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// suspects holds the records of contents that crashed the runners that processed them, and shares
// them with all routers. Crashes that this router detects go to the seeds, which push them on to
// the other routers; pulls repair lost messages. All routers therefore decide from the same crashes
// within some milliseconds. Routers that are partitioned, or whose seeds run a version that does
// not know these messages, still decide from the crashes that they detect themselves. Contents that
// crashed two runners are also kept in the store.
type suspects struct {
	gateway    *Gateway
	stored     *storedQuarantines
	broadcasts *broadcaster[quarantine.Subject]
	mutex      sync.Mutex
	detector   *quarantine.Detector
	// pullPositions holds, by address, up to which position this router has the records of the
	// routers that it pulls from.
	pullPositions map[string]feedPosition
	// loggedUntil holds the end of the quarantine that was last logged for each content.
	loggedUntil map[quarantine.Subject]time.Time
	// undecided holds the subjects whose quarantine is decided at a known time.
	undecided map[quarantine.Subject]bool
}

// feedPosition is a position in the sequence of changes to another router's records.
type feedPosition struct {
	// feed is the start time of that router in Unix milliseconds, because a restart begins a new
	// sequence, and through is the sequence number of the change.
	feed, through uint64
}

// maxSuspectRecords is the maximum number of records in one answer to a pull; the remaining ones
// follow in the next answer.
const maxSuspectRecords = 64

func newSuspects(g *Gateway) *suspects {
	s := &suspects{
		gateway: g, stored: newStoredQuarantines(g), detector: quarantine.NewDetector(detectorConfig(g)),
		pullPositions: map[string]feedPosition{}, loggedUntil: map[quarantine.Subject]time.Time{}, undecided: map[quarantine.Subject]bool{},
	}
	s.broadcasts = newBroadcaster(g, s.encodeContents)
	return s
}

// detectorConfig returns the configuration of the router's Detector. The seeds test quarantined parts.
func detectorConfig(g *Gateway) quarantine.Config {
	return quarantine.Config{
		TrialKey: rendezvous.KeyOf(g.settings.Node) | 1, StartedAt: g.startedAt,
		Probes: len(g.settings.Seeds) == 0 || slices.Contains(g.settings.Seeds, g.settings.PeerAddress),
	}
}

// encodeContents returns a message with the current records of the contents, or nil if there are
// none.
func (s *suspects) encodeContents(now time.Time, contents []quarantine.Subject) *wire.Envelope {
	var records []quarantine.Record
	for _, content := range contents {
		if record, _ := s.record(content); len(record.Crashes) > 0 || !record.SurvivedAt.IsZero() {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil
	}
	return &wire.Envelope{Body: &wire.Envelope_SuspectNews{SuspectNews: encodeSuspectNews(now, records)}}
}

// contentIDs returns the contents of the records.
func contentIDs(records []quarantine.Record) []quarantine.Subject {
	contents := make([]quarantine.Subject, 0, len(records))
	for _, record := range records {
		contents = append(contents, record.Subject)
	}
	return contents
}

// verdict returns how the request is to be handled.
func (s *suspects) verdict(now time.Time, request quarantine.Request) quarantine.Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.detector.EvaluateRequest(now, request)
}

// runnerCrashed records that a runner crashed during the runs.
func (s *suspects) runnerCrashed(now time.Time, runs []*quarantine.Run) {
	s.mutex.Lock()
	changed := s.detector.RunnerCrashed(now, runs...)
	s.mutex.Unlock()
	s.publish(now, changed)
}

// runnerSurvived records that a runner survived the run.
func (s *suspects) runnerSurvived(now time.Time, run *quarantine.Run) {
	s.mutex.Lock()
	changed := s.detector.RunnerSurvived(now, run)
	s.mutex.Unlock()
	s.publish(now, changed)
}

// lift drops all crashes of the subject, here and at all other routers, and reports whether there were any.
func (s *suspects) lift(subject quarantine.Subject) bool {
	now := s.gateway.now()
	s.mutex.Lock()
	record, changed := s.detector.Lift(now, subject)
	s.mutex.Unlock()
	if changed {
		s.publish(now, []quarantine.Record{record})
	}
	return changed
}

// publish applies and broadcasts changes that this router detected itself.
func (s *suspects) publish(now time.Time, changed []quarantine.Record) {
	if len(changed) == 0 {
		return
	}
	s.applyChanges(now, changed)
	s.broadcasts.add(contentIDs(changed), true)
}

// merge applies records from another router or the store, and broadcasts those that changed here.
func (s *suspects) merge(records []quarantine.Record) {
	now := s.gateway.now()
	s.mutex.Lock()
	changed, refuted := s.detector.Merge(now, records)
	s.mutex.Unlock()
	s.applyChanges(now, changed)
	s.broadcasts.add(contentIDs(changed), false)
	// Other routers need to know that a runner survived the subject.
	s.broadcasts.add(contentIDs(refuted), true)
}

// applyChanges logs the quarantines that begin or end with the changed records, and updates the
// records in the store.
func (s *suspects) applyChanges(now time.Time, changed []quarantine.Record) {
	for _, record := range changed {
		status, transition := s.transition(now, record.Subject)
		switch transition {
		case quarantineBegan:
			s.startQuarantine(now, record, status)
		case quarantineLifted:
			s.gateway.log.Log(events.QuarantineLifted, events.Fields{subjectKind(record.Subject): record.Subject.String(), "tenant": record.Subject.Tenant})
		}
		if status.State == quarantine.Held {
			s.scheduleDecision(record.Subject, status.Until)
		}
		s.stored.recordChanged(record.Subject, status.Evidence)
	}
}

// scheduleDecision applies the quarantine of a held subject when it begins.
func (s *suspects) scheduleDecision(subject quarantine.Subject, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.undecided[subject] {
		return
	}
	s.undecided[subject] = true
	s.gateway.spawn(func() {
		if !s.gateway.pause(s.gateway.until(at)) {
			return
		}
		s.mutex.Lock()
		delete(s.undecided, subject)
		s.mutex.Unlock()
		if record, status := s.record(subject); status.Crashes > 0 {
			s.applyChanges(s.gateway.now(), []quarantine.Record{record})
		}
	})
}

// quarantineTransition is a change of the quarantine of a content.
type quarantineTransition uint8

// The transitions of a quarantine.
const (
	noTransition quarantineTransition = iota
	// quarantineBegan also stands for a quarantine that begins again after a failed trial.
	quarantineBegan
	quarantineLifted
)

// transition returns the status of a content whose record has changed, and the transition to log.
func (s *suspects) transition(now time.Time, content quarantine.Subject) (quarantine.Status, quarantineTransition) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := s.detector.Evaluate(now, content)
	quarantinedUntil, isLogged := s.loggedUntil[content]
	switch {
	case status.State == quarantine.Quarantined && !quarantinedUntil.Equal(status.Until):
		s.loggedUntil[content] = status.Until
		return status, quarantineBegan
	case status.Crashes == 0 && isLogged:
		delete(s.loggedUntil, content)
		return status, quarantineLifted
	}
	return status, noTransition
}

// startQuarantine counts and logs the quarantine of a subject and withdraws requests with it.
func (s *suspects) startQuarantine(now time.Time, record quarantine.Record, status quarantine.Status) {
	g := s.gateway
	firstCrash := record.Crashes[max(len(record.Crashes)-status.Crashes, 0)]
	if record.Subject.IsPart() {
		g.metrics.partQuarantines.Inc()
	} else {
		g.metrics.quarantines.Inc()
	}
	g.metrics.quarantineDelays.Observe(now.Sub(firstCrash.DetectedAt).Seconds())
	g.log.Log(events.ContentQuarantined, events.Fields{
		subjectKind(record.Subject): record.Subject.String(), "tenant": record.Subject.Tenant, "ends": status.Crashes, "evidence": status.Evidence, "runners": crashedRunners(record),
		"after_ms": now.Sub(firstCrash.DetectedAt).Milliseconds(), "for_ms": status.Until.Sub(now).Milliseconds(), "run_ms": record.RunTime.Milliseconds(), "others": s.suspectsBeside(record),
	})
	g.withdrawQuarantinedSends(record.Subject)
}

// subjectKind returns the name of the log field that holds the subject.
func subjectKind(subject quarantine.Subject) string {
	if subject.IsPart() {
		return "part"
	}
	return "content"
}

// suspectsBeside returns the number of crashes that other prompt parts share with the record, at most
// maxLoggedContents parts. It shows what spoke against them.
func (s *suspects) suspectsBeside(record quarantine.Record) map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.detector.SharedCrashes(record, maxLoggedContents)
}

// crashedRunners returns the IDs of the runners that crashed while they processed the subject.
func crashedRunners(record quarantine.Record) []string {
	names := make([]string, 0, len(record.Crashes))
	for _, crash := range record.Crashes {
		names = append(names, crash.Runner.ID)
	}
	return names
}

// addPullPosition adds to a pull up to which position this router has the records of the router at
// the address.
func (s *suspects) addPullPosition(address string, pull *wire.CopyPull) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	position := s.pullPositions[address]
	pull.WantsSuspects, pull.SuspectsFeed, pull.SuspectsThrough = true, position.feed, position.through
}

// answerPull returns the records that the pulling router lacks. It returns nil if there are none,
// or if that router runs a version that does not ask for them.
func (s *suspects) answerPull(pull *wire.CopyPull) *wire.SuspectDelta {
	if !pull.GetWantsSuspects() {
		return nil
	}
	feed, through := uint64(s.gateway.startedAt.UnixMilli()), pull.GetSuspectsThrough()
	if pull.GetSuspectsFeed() != feed {
		through = 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	records, reached := s.detector.ChangedSince(through, maxSuspectRecords)
	if reached == through {
		return nil
	}
	now := s.gateway.now()
	contents, parts := splitByKind(records)
	return &wire.SuspectDelta{Feed: feed, Through: reached, Records: encodeSuspects(now, contents), Parts: encodeSuspects(now, parts)}
}

// applyPull applies the answer of the router at the address.
func (s *suspects) applyPull(address string, delta *wire.SuspectDelta) {
	if delta == nil {
		return
	}
	s.merge(decodeSuspects(s.gateway.now(), append(delta.GetRecords(), delta.GetParts()...)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pullPositions[address] = feedPosition{feed: delta.GetFeed(), through: delta.GetThrough()}
}

// sweep removes expired records.
func (s *suspects) sweep(now time.Time) {
	s.mutex.Lock()
	removed := s.detector.Prune(now)
	for _, record := range removed {
		delete(s.loggedUntil, record.Subject)
	}
	s.mutex.Unlock()
	for _, record := range removed {
		s.stored.recordChanged(record.Subject, 0)
	}
}

// record returns the record of the content and the status that results from it.
func (s *suspects) record(content quarantine.Subject) (quarantine.Record, quarantine.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, _ := s.detector.Record(content)
	return record, s.detector.Evaluate(s.gateway.now(), content)
}

// contents returns all contents with a record at this router.
func (s *suspects) contents() []quarantine.Subject {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return contentIDs(s.detector.Records())
}

// summary returns the quarantined contents, for the status.
func (s *suspects) summary(now time.Time) (summary []QuarantinedContent) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range s.detector.Quarantined(now, maxQuarantinedInStatus) {
		summary = append(summary, QuarantinedContent{
			Tenant: record.Subject.Tenant, Part: record.Subject.Part, Runners: crashedRunners(record),
			RemainingMillis: s.detector.Evaluate(now, record.Subject).Until.Sub(now).Milliseconds(),
		})
		if !record.Subject.IsPart() {
			summary[len(summary)-1].Content = record.Subject.String()
		}
	}
	return summary
}

// countByState returns the number of contents and prompt parts in each state.
func (s *suspects) countByState() quarantine.Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.detector.CountByState(s.gateway.now())
}
