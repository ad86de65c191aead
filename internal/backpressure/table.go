package backpressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memory is how long what an unlisted runner said is remembered: its entry may be away
	// with the store, and come back as it was.
	memory = time.Hour
	// repeatPause is the least time after which a router is told again what it should know.
	repeatPause = 250 * time.Millisecond
	// ratePause is the least time between two changes of a limit that others are told: a
	// runner may name another one in each answer.
	ratePause = time.Second
)

// State is what this router knows of one runner.
type State struct {
	Record
	// RestUntil is until when the runner wants no requests from this router. Other routers
	// are not asked for the same rest.
	RestUntil time.Time
	// change numbers the last change that other routers are to know, told is what was known
	// then, and toldAt when it was.
	change uint64
	told   Record
	toldAt time.Time
	// heardAt is when anything was last heard, and repeatedAt when a router that knew less was
	// last told.
	heardAt    time.Time
	repeatedAt time.Time
}

// Resting tells whether the runner wants no requests from this router now.
func (s *State) Resting(now time.Time) bool { return s != nil && now.Before(s.RestUntil) }

// Leaves tells whether the runner has said that it leaves.
func (s *State) Leaves() bool { return s != nil && s.Leaving() }

// Limits tells whether the runner limits requests.
func (s *State) Limits() bool { return s != nil && s.Limited() }

// Heard is what is new after an answer.
type Heard struct {
	// Leaving is set by the first answer that says so, Limit when a limit begins, changes or
	// ends, and Rest when a rest begins.
	Leaving, Limit, Rest bool
}

// Any tells whether anything is new.
func (h Heard) Any() bool { return h.Leaving || h.Limit || h.Rest }

// Shared tells whether other routers are to know it.
func (h Heard) Shared() bool { return h.Leaving || h.Limit }

// Table holds what runners said. It is not safe for concurrent use.
type Table struct {
	states  map[Runner]*State
	changes uint64
	// rests are the states that may have a rest, so that there is nothing to look for while no
	// runner wants one.
	rests map[Runner]*State
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: map[Runner]*State{}, rests: map[Runner]*State{}} }

// Of returns what is known of the runner, nil if it has said nothing.
func (t *Table) Of(runner Runner) *State { return t.states[runner] }

func (t *Table) state(runner Runner) *State {
	if t.states[runner] == nil {
		t.states[runner] = &State{Record: Record{Runner: runner}}
	}
	return t.states[runner]
}

// Hear takes what the runner said in the answer to a request sent at the moment. Only a
// whole success without a limit tells that there is none: failures may come without it.
func (t *Table) Hear(now, sent time.Time, runner Runner, signals Signals, success bool) Heard {
	if t.states[runner] == nil && !signals.says() {
		return Heard{}
	}
	state := t.state(runner)
	before, rested := state.Record, state.Resting(now)
	state.heardAt = now
	if signals.Leaving {
		state.LeavingAt = now
	}
	switch {
	case signals.Limited:
		state.Rate, state.NamedAt = signals.Rate, now
	case success && len(signals.Unreadable) == 0:
		state.LiftedAt = later(state.LiftedAt, sent)
	}
	if signals.Rest > 0 {
		state.RestUntil = later(state.RestUntil, now.Add(signals.Rest))
		t.rests[runner] = state
	}
	heard := Heard{
		Leaving: state.Leaving() && !before.Leaving(),
		Limit:   state.Limited() != before.Limited() || state.rateChanged(now),
		Rest:    !rested && state.Resting(now),
	}
	if heard.Shared() {
		t.note(now, state)
	}
	return heard
}

// rateChanged tells whether others are to know that the limit is another one.
func (s *State) rateChanged(now time.Time) bool {
	return s.Limited() && s.Rate != s.told.Rate && now.Sub(s.toldAt) >= ratePause
}

// note numbers a change that others are to know.
func (t *Table) note(now time.Time, state *State) {
	t.changes++
	state.change, state.told, state.toldAt = t.changes, state.Record, now
}

// Merge takes what another router tells, and returns the records that others are to know:
// those that have changed, and those of which the other router knew less.
func (t *Table) Merge(now time.Time, records []Record) (changed []Record) {
	for _, record := range records {
		state := t.state(record.Runner)
		before := state.Record
		state.Record, state.heardAt = before.merge(record), now
		if !state.agrees(before) || !state.agrees(record) && now.Sub(state.repeatedAt) >= repeatPause {
			state.repeatedAt = now
			t.note(now, state)
			changed = append(changed, state.Record)
		}
	}
	return changed
}

// Repeat tells whether others are to be told again what the runner has said, as one of them has
// chosen it without knowing.
func (t *Table) Repeat(now time.Time, runner Runner) bool {
	state := t.states[runner]
	if state == nil || !state.Leaving() && !state.Limited() || now.Sub(state.repeatedAt) < repeatPause {
		return false
	}
	state.repeatedAt = now
	return true
}

// Since returns the records that have changed after the numbered change, most at once, and
// the number that they reach.
func (t *Table) Since(through uint64, most int) (records []Record, reached uint64) {
	if through >= t.changes {
		return nil, through
	}
	var changed []*State
	for _, state := range t.states {
		if state.change > through {
			changed = append(changed, state)
		}
	}
	slices.SortFunc(changed, func(a, b *State) int { return cmp.Compare(a.change, b.change) })
	for _, state := range changed[:min(most, len(changed))] {
		records, through = append(records, state.Record), state.change
	}
	return records, through
}

// Resting returns the runners that want no requests from this router now.
func (t *Table) Resting(now time.Time) (resting []*State) {
	for runner, state := range t.rests {
		if !state.Resting(now) {
			delete(t.rests, runner)
			continue
		}
		resting = append(resting, state)
	}
	return resting
}

// Sweep forgets runners that are not listed and were not heard of for long, and returns them.
func (t *Table) Sweep(now time.Time, listed func(Runner) bool) (forgotten []Runner) {
	for runner, state := range t.states {
		if now.Sub(state.heardAt) > memory && !listed(runner) {
			delete(t.states, runner)
			delete(t.rests, runner)
			forgotten = append(forgotten, runner)
		}
	}
	return forgotten
}
