package backend

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/placement"
)

// signalKey returns the key of the runner incarnation in tables of signals and permits.
func (r Runner) signalKey() backpressure.Runner {
	return backpressure.Runner{ID: r.ID, Incarnation: r.Incarnation}
}

// RecordSignals records what the runner reported about itself in the response to a request
// sent at the given time, and returns what is new. success is set for a complete successful
// response.
func (s *Set) RecordSignals(now, sent time.Time, runner Runner, signals backpressure.Signals, success bool) backpressure.Changes {
	changes := s.signals.Observe(now, sent, runner.signalKey(), signals, success)
	s.attachSignals(runner.signalKey())
	return changes
}

// attachSignals points the runner's entry to its signal state.
func (s *Set) attachSignals(runner backpressure.Runner) {
	if e := s.entries[runner.ID]; e != nil && e.Incarnation == runner.Incarnation {
		e.signalState = s.signals.Get(runner)
	}
}

// SweepSignals drops the signals of runners that have been unlisted for a long time.
func (s *Set) SweepSignals(now time.Time) {
	listed := func(runner backpressure.Runner) bool {
		e := s.entries[runner.ID]
		return e != nil && e.Incarnation == runner.Incarnation
	}
	for _, runner := range s.signals.Prune(now, listed) {
		s.permits.Forget(runner)
	}
}

// isLeaving reports whether the runner is shutting down, by its directory entry or by its
// own signal in a response. The entry may be late, or missing while the store is
// unavailable. The signal is final for the incarnation.
func (e *entry) isLeaving() bool { return e.Draining || e.signalState.IsLeaving() }

// Permits returns this router's part of the rate limits that runners set.
func (s *Set) Permits() *backpressure.Permits { return s.permits }

// heldBack reports whether the runner accepts no request of the query now, because of a backoff or
// a rate limit, or because it is brittle and has no room, and counts it in held. A leaving runner is
// not counted, as it will not accept requests later either.
func (s *Set) heldBack(now time.Time, e *entry, query Query, held *placement.HeldBack) bool {
	if e.isLeaving() {
		return false
	}
	if remaining := query.backoffRemaining(e.ID); remaining > 0 {
		held.AddInBackoff(remaining)
		return true
	}
	if slices.Contains(query.Unreachable, e.ID) {
		held.AddInBackoff(lostPathRetry)
		return true
	}
	if s.lacksRoom(now, e, held) {
		return true
	}
	if !e.signalState.IsLimited() {
		return false
	}
	wait := s.permits.Wait(now, e.signalKey(), e.signalState.Rate)
	if wait > 0 {
		held.AddLimited(wait, s.permits.Share(now, e.signalState.Rate))
	}
	return wait > 0
}

// accepts reports whether the runner accepts a request of this router under the permit,
// which may be the zero value if the runner sets no limit.
func (e *entry) accepts(now time.Time, permit backpressure.Permit) bool {
	return !e.signalState.InBackoff(now) && (!e.signalState.IsLimited() || permit.Valid(now))
}

// Backoffs returns the backoffs that runners requested from this router and that have not
// ended.
func (s *Set) Backoffs(now time.Time) (backoffs []RunnerBackoff) {
	for _, state := range s.signals.BackingOff(now) {
		// A runner that has restarted since did not request the backoff.
		if e := s.entries[state.ID]; e != nil && e.signalState == state {
			backoffs = append(backoffs, RunnerBackoff{Runner: state.ID, Remaining: state.BackoffUntil.Sub(now)})
		}
	}
	return backoffs
}

// maxPeerAvoidTime bounds how long requests of other routers avoid a runner that requested
// a backoff from one router. The runner did not ask the others, but the resource that it
// lacks is usually short for all.
const maxPeerAvoidTime = time.Second

// AvoidFor makes all requests avoid the runner of the send for the duration, at most
// maxPeerAvoidTime.
func (s *Set) AvoidFor(now time.Time, send *Send, duration time.Duration) {
	if e := s.listedEntry(send); e != nil && duration > 0 {
		if until := now.Add(min(duration, maxPeerAvoidTime)); until.After(e.avoidUntil) {
			e.avoidUntil = until
		}
	}
}

// TakePermit takes this router's next permit for the runner if it sets a rate limit;
// Candidates must have found the permit available. It returns the zero permit for other
// runners, which need none.
func (s *Set) TakePermit(now time.Time, id string) backpressure.Permit {
	e := s.entries[id]
	if e == nil || !e.signalState.IsLimited() {
		return backpressure.Permit{}
	}
	return s.permits.Take(now, e.signalKey(), e.signalState.Rate)
}

// SignalState returns what the runner reported about itself, nil if it is not listed or
// reported nothing.
func (s *Set) SignalState(id string) *backpressure.RunnerState {
	if e := s.entries[id]; e != nil {
		return e.signalState
	}
	return nil
}

// IsLimited reports whether the runner sets a rate limit.
func (s *Set) IsLimited(id string) bool { return s.SignalState(id).IsLimited() }

// MergeSignals merges records that another router reports, and returns those to be passed
// on to other routers.
func (s *Set) MergeSignals(now time.Time, records []backpressure.Record) []backpressure.Record {
	changed := s.signals.Merge(now, records)
	for _, record := range records {
		s.attachSignals(record.Runner)
	}
	return changed
}

// Signals returns the table of what runners reported about themselves.
func (s *Set) Signals() *backpressure.Table { return s.signals }
