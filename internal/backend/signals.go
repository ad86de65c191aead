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

// Said returns what the runner said of itself, nil if it said nothing.
func (s *Set) Said(runner Runner) *backpressure.State { return s.signals.Of(runner.start()) }

// SweepSignals forgets what runners said that are gone for long.
func (s *Set) SweepSignals(now time.Time) {
	s.signals.Sweep(now, func(runner backpressure.Runner) bool {
		e := s.entries[runner.ID]
		return e != nil && e.Incarnation == runner.Incarnation
	})
}
