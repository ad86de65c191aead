package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// suspects keeps this router's records of contents that end the runners that run them, and
// shares them with all others: what it sees itself goes to the seeds, which push it, and
// pulls repair what was lost. So all routers judge by the same ends within some milliseconds,
// and routers that are cut off, or whose seeds are of a version that does not know this
// message, still judge by their own. What has ended two runners is kept in the store.
type suspects struct {
	gateway *Gateway
	kept    *keptQuarantines
	out     *newsOutbox[quarantine.ContentID]
	mutex   sync.Mutex
	judge   *quarantine.Detector
	// followed is how far this router knows the records of those that it pulls from.
	followed map[string]feedPlace
	// logged holds until when contents were logged to be quarantined.
	logged map[quarantine.ContentID]time.Time
}

// feedPlace is a place in the changes of another router's records.
type feedPlace struct {
	// feed is that router's start, and through the number of the change.
	feed, through uint64
}

// mostSuspects bounds the records in one answer; the rest comes with the next.
const mostSuspects = 64

func newSuspects(g *Gateway) *suspects {
	s := &suspects{
		gateway: g, kept: newKeptQuarantines(g), judge: quarantine.NewDetector(),
		followed: map[string]feedPlace{}, logged: map[quarantine.ContentID]time.Time{},
	}
	s.out = newNewsOutbox(g, s.news)
	return s
}

// news tells other routers what is known by now of the contents.
func (s *suspects) news(now time.Time, contents []quarantine.ContentID) *wire.Envelope {
	var records []quarantine.Record
	for _, content := range contents {
		if record, _ := s.record(content); len(record.Crashes) > 0 {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil
	}
	return &wire.Envelope{Body: &wire.Envelope_SuspectNews{SuspectNews: suspectNews(now, records)}}
}

// contentsOf names the contents of the records.
func contentsOf(records []quarantine.Record) []quarantine.ContentID {
	contents := make([]quarantine.ContentID, 0, len(records))
	for _, record := range records {
		contents = append(contents, record.Content)
	}
	return contents
}

// verdict judges the content.
func (s *suspects) verdict(now time.Time, content quarantine.ContentID) quarantine.Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.judge.Evaluate(now, content)
}

// runnerEnded notes a runner's end under the runs.
func (s *suspects) runnerEnded(now time.Time, runs []*quarantine.Run) {
	var changed []quarantine.Record
	s.mutex.Lock()
	for _, run := range runs {
		if s.judge.RunnerCrashed(now, run) {
			record, _ := s.judge.Record(run.Content)
			changed = append(changed, record)
		}
	}
	s.mutex.Unlock()
	s.tell(now, changed)
}

// outlived notes that a runner has outlived a run of the content.
func (s *suspects) outlived(now time.Time, content quarantine.ContentID) {
	var changed []quarantine.Record
	s.mutex.Lock()
	if s.judge.RunnerSurvived(now, content) {
		record, _ := s.judge.Record(content)
		changed = append(changed, record)
	}
	s.mutex.Unlock()
	s.tell(now, changed)
}

// tell tells others of what this router has found out itself.
func (s *suspects) tell(now time.Time, changed []quarantine.Record) {
	if len(changed) == 0 {
		return
	}
	s.note(now, changed)
	s.out.add(contentsOf(changed), true)
}

// learn takes what another router has told, and passes on what is news.
func (s *suspects) learn(records []quarantine.Record) {
	now := s.gateway.now()
	s.mutex.Lock()
	changed := s.judge.Merge(now, records)
	s.mutex.Unlock()
	if len(changed) == 0 {
		return
	}
	s.note(now, changed)
	s.out.add(contentsOf(changed), false)
}

// note logs what follows from changed records, and has them kept.
func (s *suspects) note(now time.Time, changed []quarantine.Record) {
	for _, record := range changed {
		verdict, step := s.step(now, record.Content)
		switch step {
		case quarantineBegan:
			s.quarantined(now, record, verdict)
		case quarantineLifted:
			s.gateway.log.Log(events.QuarantineLifted, events.Fields{"content": record.Content.String(), "tenant": record.Content.Tenant})
		}
		s.kept.changed(record.Content, verdict.Crashes)
	}
}

// quarantineStep is what has become of a content's quarantine.
type quarantineStep uint8

// The steps.
const (
	noStep quarantineStep = iota
	// quarantineBegan also means that one began anew, after a trial.
	quarantineBegan
	quarantineLifted
)

// step judges a content whose record has changed, and tells what is to be logged of it.
func (s *suspects) step(now time.Time, content quarantine.ContentID) (quarantine.Status, quarantineStep) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	verdict := s.judge.Evaluate(now, content)
	until, logged := s.logged[content]
	switch {
	case verdict.State == quarantine.Quarantined && !until.Equal(verdict.Until):
		s.logged[content] = verdict.Until
		return verdict, quarantineBegan
	case verdict.State == quarantine.Clear && logged:
		delete(s.logged, content)
		return verdict, quarantineLifted
	}
	return verdict, noStep
}

// quarantined notes that a content is not sent any more.
func (s *suspects) quarantined(now time.Time, record quarantine.Record, verdict quarantine.Status) {
	g := s.gateway
	first := record.Crashes[max(len(record.Crashes)-verdict.Crashes, 0)]
	g.metrics.quarantines.Inc()
	g.metrics.quarantineDelays.Observe(now.Sub(first.DetectedAt).Seconds())
	g.log.Log(events.ContentQuarantined, events.Fields{
		"content": record.Content.String(), "tenant": record.Content.Tenant, "ends": verdict.Crashes, "runners": endedRunners(record),
		"after_ms": now.Sub(first.DetectedAt).Milliseconds(), "for_ms": verdict.Until.Sub(now).Milliseconds(),
	})
	g.withdrawContent(record.Content)
}

// endedRunners names the runners that ended under the content.
func endedRunners(record quarantine.Record) []string {
	names := make([]string, 0, len(record.Crashes))
	for _, end := range record.Crashes {
		names = append(names, end.Runner.ID)
	}
	return names
}

// ask says in a pull how far this router knows the records of the one at the address.
func (s *suspects) ask(address string, pull *wire.CopyPull) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.followed[address]
	pull.WantsSuspects, pull.SuspectsFeed, pull.SuspectsThrough = true, known.feed, known.through
}

// answer returns what the asking router lacks, nil for nothing or for a version that does
// not ask.
func (s *suspects) answer(pull *wire.CopyPull) *wire.SuspectDelta {
	if !pull.GetWantsSuspects() {
		return nil
	}
	feed, through := uint64(s.gateway.startedAt.UnixMilli()), pull.GetSuspectsThrough()
	if pull.GetSuspectsFeed() != feed {
		through = 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	records, reached := s.judge.ChangedSince(through, mostSuspects)
	if reached == through {
		return nil
	}
	return &wire.SuspectDelta{Feed: feed, Through: reached, Records: suspectMessages(s.gateway.now(), records)}
}

// told takes the answer of the router at the address.
func (s *suspects) told(address string, delta *wire.SuspectDelta) {
	if delta == nil {
		return
	}
	s.learn(recordsOf(s.gateway.now(), delta.GetRecords()))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.followed[address] = feedPlace{feed: delta.GetFeed(), through: delta.GetThrough()}
}

// sweep forgets records that are of no use any more.
func (s *suspects) sweep(now time.Time) {
	s.mutex.Lock()
	forgotten := s.judge.Prune(now)
	for _, record := range forgotten {
		delete(s.logged, record.Content)
	}
	s.mutex.Unlock()
	for _, record := range forgotten {
		s.kept.changed(record.Content, 0)
	}
}

// record returns what is known of the content, and what follows from it.
func (s *suspects) record(content quarantine.ContentID) (quarantine.Record, quarantine.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, _ := s.judge.Record(content)
	return record, s.judge.Evaluate(s.gateway.now(), content)
}

// contents returns all contents that this router has a record of.
func (s *suspects) contents() []quarantine.ContentID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return contentsOf(s.judge.Records())
}

// summary returns the contents that are quarantined for the status.
func (s *suspects) summary(now time.Time) (summary []QuarantinedContent) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range s.judge.Quarantined(now, maxQuarantinedInStatus) {
		summary = append(summary, QuarantinedContent{
			Content: record.Content.String(), Tenant: record.Content.Tenant, Runners: endedRunners(record),
			RemainingMillis: s.judge.Evaluate(now, record.Content).Until.Sub(now).Milliseconds(),
		})
	}
	return summary
}

// counts returns how many contents are in each state.
func (s *suspects) counts() map[quarantine.State]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.judge.CountByState(s.gateway.now())
}
