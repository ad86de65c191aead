package backpressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

const (
	// unlistedRetention is how long the signals of a runner that is not in the directory are
	// kept. Its entry may be missing because the store is unavailable, and may return
	// unchanged.
	unlistedRetention = time.Hour
	// minResendInterval is the minimum time between two resends of a record to routers that
	// appear to have missed it.
	minResendInterval = 250 * time.Millisecond
	// minRateUpdateInterval is the minimum time between two broadcasts of a changed rate: a
	// runner may report a different rate in every response.
	minRateUpdateInterval = time.Second
)

// RunnerState is what this router knows about one runner. Its methods may be called on nil,
// which stands for a runner without signals.
type RunnerState struct {
	Record
	// BackoffUntil is until when the runner wants no requests from this router. It applies to
	// this router only and is not shared.
	BackoffUntil time.Time
	// sequence numbers the last change that other routers must learn, published is the record
	// at that time, and publishedAt is the time of the change.
	sequence    uint64
	published   Record
	publishedAt time.Time
	// rejections are the times of the rejections for want of room within the last rejectionWindow, oldest
	// first.
	rejections []time.Time
	// updatedAt is when a signal or record was last received, and resentAt is when the record
	// was last resent because another router had outdated information.
	updatedAt time.Time
	resentAt  time.Time
}

const (
	// rejectionWindow is the time within which a brittle runner counts its rejections.
	rejectionWindow = time.Second
	// shortRejectionHold is how long a brittle runner gets no request after one of few rejections: a slot or two
	// become free meanwhile.
	shortRejectionHold = 200 * time.Millisecond
	// sameRejectionTolerance is the difference below which two reported times are those of one rejection.
	// Reported times are accurate to within the message delay.
	sameRejectionTolerance = 20 * time.Millisecond
)

func (s *RunnerState) countRejection(at time.Time) {
	s.rejections = append(s.recentRejections(at), at)
}

// recentRejections returns the rejections within the last rejectionWindow.
func (s *RunnerState) recentRejections(now time.Time) []time.Time {
	first := slices.IndexFunc(s.rejections, func(at time.Time) bool { return now.Sub(at) < rejectionWindow })
	if first < 0 {
		return nil
	}
	return s.rejections[first:]
}

// RejectionHold returns for how long a brittle runner is to get no request because of its rejections. Once it
// has rejected half of the requests that it may reject within rejectionWindow, that is the whole window.
func (s *RunnerState) RejectionHold(now time.Time) time.Duration {
	if !s.IsBrittle() || len(s.rejections) == 0 {
		return 0
	}
	hold := shortRejectionHold
	if 2*len(s.recentRejections(now)) > s.MaxRejections {
		hold = rejectionWindow
	}
	return max(s.rejections[len(s.rejections)-1].Add(hold).Sub(now), 0)
}

// InBackoff reports whether the runner wants no requests from this router now.
func (s *RunnerState) InBackoff(now time.Time) bool { return s != nil && now.Before(s.BackoffUntil) }

// IsLeaving reports whether the runner is shutting down.
func (s *RunnerState) IsLeaving() bool { return s != nil && s.Leaving() }

// IsLimited reports whether the runner limits requests.
func (s *RunnerState) IsLimited() bool { return s != nil && s.Limited() }

// IsBrittle reports whether the runner is brittle.
func (s *RunnerState) IsBrittle() bool { return s != nil && s.Brittle() }

// Changes reports which signals of a response changed the state of the runner.
type Changes struct {
	// Leaving is set by the first response that reports a shutdown, Limit when a limit begins,
	// changes or ends, and Backoff when a backoff period begins.
	Leaving, Limit, Backoff bool
	// Brittle is set when the runner becomes brittle or sound, and Rejected by each rejection for want of
	// room while it is brittle.
	Brittle, Rejected bool
}

// Any reports whether anything changed.
func (c Changes) Any() bool { return c.Leaving || c.Limit || c.Backoff || c.Brittle || c.Rejected }

// NeedsBroadcast reports whether other routers must be informed of the changes.
func (c Changes) NeedsBroadcast() bool { return c.Leaving || c.Limit || c.Brittle || c.Rejected }

// Table holds the state of all runners that sent signals. It is not safe for concurrent use.
type Table struct {
	states       map[Runner]*RunnerState
	lastSequence uint64
	// backoffs holds the states that may be in backoff, so that BackingOff does not have to
	// search all states.
	backoffs map[Runner]*RunnerState
	// brittleSeen is set once any runner has been brittle.
	brittleSeen bool
}

func NewTable() *Table {
	return &Table{states: map[Runner]*RunnerState{}, backoffs: map[Runner]*RunnerState{}}
}

// AnyBrittle reports whether any runner may be brittle.
func (t *Table) AnyBrittle() bool { return t.brittleSeen }

// Get returns the state of the runner, or nil if it sent no signals.
func (t *Table) Get(runner Runner) *RunnerState { return t.states[runner] }

func (t *Table) getOrCreate(runner Runner) *RunnerState {
	if t.states[runner] == nil {
		t.states[runner] = &RunnerState{Record: Record{Runner: runner}}
	}
	return t.states[runner]
}

// Observe updates the runner's state with the signals from the response to a request sent at
// sentAt, and returns what changed. Only a complete, successful response without a limit shows
// that there is none, because failure responses may lack the header.
func (t *Table) Observe(now, sentAt time.Time, runner Runner, signals Signals, success bool) Changes {
	if t.states[runner] == nil && !signals.hasSignal() {
		return Changes{}
	}
	state := t.getOrCreate(runner)
	before, wasInBackoff := state.Record, state.InBackoff(now)
	state.updatedAt = now
	if signals.Leaving {
		state.LeavingAt = now
	}
	switch {
	case signals.Limited:
		state.Rate, state.LimitReportedAt = signals.Rate, now
	case success && len(signals.Malformed) == 0:
		state.LimitLiftedAt = clock.Later(state.LimitLiftedAt, sentAt)
	}
	switch {
	case signals.Brittle:
		state.MaxRejections, state.BrittleReportedAt = signals.MaxRejections, now
	case success && len(signals.Malformed) == 0:
		state.BrittleLiftedAt = clock.Later(state.BrittleLiftedAt, sentAt)
	}
	t.brittleSeen = t.brittleSeen || state.Brittle()
	rejected := signals.Rejected && state.Brittle()
	if rejected {
		state.RejectedAt = now
		state.countRejection(now)
	}
	if signals.Backoff > 0 {
		state.BackoffUntil = clock.Later(state.BackoffUntil, now.Add(signals.Backoff))
		t.backoffs[runner] = state
	}
	changes := Changes{
		Leaving: state.Leaving() && !before.Leaving(),
		Limit:   state.Limited() != before.Limited() || state.hasRateUpdate(now),
		Backoff: !wasInBackoff && state.InBackoff(now), Brittle: state.Brittle() != before.Brittle(), Rejected: rejected,
	}
	if changes.NeedsBroadcast() {
		t.markChanged(now, state)
	}
	return changes
}

// hasRateUpdate reports whether a changed rate is to be broadcast to the other routers now.
func (s *RunnerState) hasRateUpdate(now time.Time) bool {
	return s.Limited() && s.Rate != s.published.Rate && now.Sub(s.publishedAt) >= minRateUpdateInterval
}

// markChanged assigns the next sequence number to the state, so that ChangedSince returns it.
func (t *Table) markChanged(now time.Time, state *RunnerState) {
	t.lastSequence++
	state.sequence, state.published, state.publishedAt = t.lastSequence, state.Record, now
}

// Merge applies records from another router and returns the records to broadcast: those that
// changed here, and those of which the sender had an outdated version.
func (t *Table) Merge(now time.Time, records []Record) (changed []Record) {
	for _, record := range records {
		state := t.getOrCreate(record.Runner)
		before := state.Record
		state.Record, state.updatedAt = before.merge(record), now
		if state.RejectedAt.Sub(before.RejectedAt) >= sameRejectionTolerance {
			state.countRejection(state.RejectedAt)
		}
		t.brittleSeen = t.brittleSeen || state.Brittle()
		if !state.isEquivalent(before) || !state.isEquivalent(record) && now.Sub(state.resentAt) >= minResendInterval {
			state.resentAt = now
			t.markChanged(now, state)
			changed = append(changed, state.Record)
		}
	}
	return changed
}

// ShouldResend reports whether the runner's record is to be broadcast again, because another
// router chose the runner without knowing it. It returns true at most once per
// minResendInterval.
func (t *Table) ShouldResend(now time.Time, runner Runner) bool {
	state := t.states[runner]
	if state == nil || !state.Leaving() && !state.Limited() && !state.Brittle() || now.Sub(state.resentAt) < minResendInterval {
		return false
	}
	state.resentAt = now
	return true
}

// ChangedSince returns the records that changed after the sequence number since, oldest change
// first and at most limit of them, and the sequence number up to which they are complete.
func (t *Table) ChangedSince(since uint64, limit int) (records []Record, reached uint64) {
	if since >= t.lastSequence {
		return nil, since
	}
	var changed []*RunnerState
	for _, state := range t.states {
		if state.sequence > since {
			changed = append(changed, state)
		}
	}
	slices.SortFunc(changed, func(a, b *RunnerState) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, state := range changed[:min(limit, len(changed))] {
		records, since = append(records, state.Record), state.sequence
	}
	return records, since
}

// BackingOff returns the states of all runners that want no requests from this router now.
func (t *Table) BackingOff(now time.Time) (backingOff []*RunnerState) {
	for runner, state := range t.backoffs {
		if !state.InBackoff(now) {
			delete(t.backoffs, runner)
			continue
		}
		backingOff = append(backingOff, state)
	}
	return backingOff
}

// Prune removes the runners that are not listed and were not updated for unlistedRetention, and
// returns them.
func (t *Table) Prune(now time.Time, isListed func(Runner) bool) (removed []Runner) {
	for runner, state := range t.states {
		if now.Sub(state.updatedAt) > unlistedRetention && !isListed(runner) {
			delete(t.states, runner)
			delete(t.backoffs, runner)
			removed = append(removed, runner)
		}
	}
	return removed
}
