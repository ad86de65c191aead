package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
)

// start names the start of the runner that the entry is of.
func (r Runner) start() backpressure.Runner {
	return backpressure.Runner{ID: r.ID, Incarnation: r.Incarnation}
}

// Hear takes what the runner said of itself in the answer to a request sent at the moment,
// a whole success or not, and tells what is new.
func (s *Set) Hear(now, sent time.Time, runner Runner, signals backpressure.Signals, success bool) backpressure.Heard {
	heard := s.signals.Hear(now, sent, runner.start(), signals, success)
	s.attach(runner.start())
	return heard
}

// attach has the runner's entry know what the runner said.
func (s *Set) attach(runner backpressure.Runner) {
	if e := s.entries[runner.ID]; e != nil && e.Incarnation == runner.Incarnation {
		e.said = s.signals.Of(runner)
	}
}

// SweepSignals forgets what runners said that are gone for long.
func (s *Set) SweepSignals(now time.Time) {
	s.signals.Sweep(now, func(runner backpressure.Runner) bool {
		e := s.entries[runner.ID]
		return e != nil && e.Incarnation == runner.Incarnation
	})
}

// leaves tells whether the runner leaves, by its entry or by its own word in an answer: the
// entry says so later, or not at all while the store is away, and the word is not taken back.
func (e *entry) leaves() bool { return e.Draining || e.said.Leaves() }

// Permits returns this router's part of the limits that runners named.
func (s *Set) Permits() *backpressure.Permits { return s.permits }

// heldBack returns for how long the runner takes no request by this router's leave, 0 if it
// takes one now, and how many a second it takes of it.
func (s *Set) heldBack(now time.Time, e *entry) (wait time.Duration, rate float64) {
	if e.said.Limits() {
		return s.permits.Wait(now, e.start(), e.said.Rate), s.permits.Share(now, e.said.Rate)
	}
	return 0, 0
}

// takes tells whether the runner takes a request that the permit, if any, was granted for.
func (e *entry) takes(now time.Time, permit backpressure.Permit) bool {
	return !e.said.Limits() || permit.Valid(now)
}

// Grant spends this router's next permit for the runner if it limits requests; Candidates
// has found it free. Other runners need none.
func (s *Set) Grant(now time.Time, id string) backpressure.Permit {
	e := s.entries[id]
	if e == nil || !e.said.Limits() {
		return backpressure.Permit{}
	}
	return s.permits.Take(now, e.start(), e.said.Rate)
}

// Limited tells whether the runner limits requests.
func (s *Set) Limited(id string) bool {
	e := s.entries[id]
	return e != nil && e.said.Limits()
}

// MergeSignals takes what another router tells of runners, and returns what others are to
// know.
func (s *Set) MergeSignals(now time.Time, records []backpressure.Record) []backpressure.Record {
	changed := s.signals.Merge(now, records)
	for _, record := range records {
		s.attach(record.Runner)
	}
	return changed
}

// Signals returns what runners have said of themselves.
func (s *Set) Signals() *backpressure.Table { return s.signals }
