package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// start names the start of the runner that the entry is of.
func (r Runner) start() backpressure.Runner {
	return backpressure.Runner{ID: r.ID, Incarnation: r.Incarnation}
}

// Hear takes what the runner said of itself in the answer to a request sent at the moment,
// a whole success or not, and tells what is new.
func (s *Set) Hear(now, sent time.Time, runner Runner, signals backpressure.Signals, success bool) backpressure.Changes {
	heard := s.signals.Observe(now, sent, runner.start(), signals, success)
	s.attach(runner.start())
	return heard
}

// attach has the runner's entry know what the runner said.
func (s *Set) attach(runner backpressure.Runner) {
	if e := s.entries[runner.ID]; e != nil && e.Incarnation == runner.Incarnation {
		e.said = s.signals.Get(runner)
	}
}

// SweepSignals forgets what runners said that are gone for long.
func (s *Set) SweepSignals(now time.Time) {
	listed := func(runner backpressure.Runner) bool {
		e := s.entries[runner.ID]
		return e != nil && e.Incarnation == runner.Incarnation
	}
	for _, runner := range s.signals.Prune(now, listed) {
		s.permits.Forget(runner)
	}
}

// leaves tells whether the runner leaves, by its entry or by its own word in an answer: the
// entry says so later, or not at all while the store is away, and the word is not taken back.
func (e *entry) leaves() bool { return e.Draining || e.said.IsLeaving() }

// Permits returns this router's part of the limits that runners named.
func (s *Set) Permits() *backpressure.Permits { return s.permits }

// heldBack tells whether the runner takes no request of the query now, and adds it to those.
// One that leaves takes none later either.
func (s *Set) heldBack(now time.Time, e *entry, query Query, held *placement.HeldBack) bool {
	if e.leaves() {
		return false
	}
	if rest := query.restOf(e.ID); rest > 0 {
		held.AddResting(rest)
		return true
	}
	if !e.said.IsLimited() {
		return false
	}
	wait := s.permits.Wait(now, e.start(), e.said.Rate)
	if wait > 0 {
		held.AddLimited(wait, s.permits.Share(now, e.said.Rate))
	}
	return wait > 0
}

// takes tells whether the runner takes a request of this router's that the permit, if any,
// was granted for.
func (e *entry) takes(now time.Time, permit backpressure.Permit) bool {
	return !e.said.InBackoff(now) && (!e.said.IsLimited() || permit.Valid(now))
}

// Resting returns the runners that want no requests from this router.
func (s *Set) Resting(now time.Time) (resting []Rest) {
	for _, state := range s.signals.BackingOff(now) {
		// A runner that has started again since has not asked for it.
		if e := s.entries[state.ID]; e != nil && e.said == state {
			resting = append(resting, Rest{Runner: state.ID, Left: state.BackoffUntil.Sub(now)})
		}
	}
	return resting
}

// othersRest bounds the time for which requests of other routers avoid a runner that wants a
// rest from one: it has not asked them, but what it lacks is mostly lacking for all.
const othersRest = time.Second

// AvoidFor has all requests avoid the runner of the send for a while, at most othersRest.
func (s *Set) AvoidFor(now time.Time, send *Send, rest time.Duration) {
	if e := s.listed(send); e != nil && rest > 0 {
		if until := now.Add(min(rest, othersRest)); until.After(e.asideUntil) {
			e.asideUntil = until
		}
	}
}

// Grant spends this router's next permit for the runner if it limits requests; Candidates
// has found it free. Other runners need none.
func (s *Set) Grant(now time.Time, id string) backpressure.Permit {
	e := s.entries[id]
	if e == nil || !e.said.IsLimited() {
		return backpressure.Permit{}
	}
	return s.permits.Take(now, e.start(), e.said.Rate)
}

// Said returns what the runner has said of itself, nil if it is not listed or said nothing.
func (s *Set) Said(id string) *backpressure.RunnerState {
	if e := s.entries[id]; e != nil {
		return e.said
	}
	return nil
}

// Limited tells whether the runner limits requests.
func (s *Set) Limited(id string) bool { return s.Said(id).IsLimited() }

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
