package coldstart

import "time"

// Stage is a step on the way from the start of a router to its complete state.
type Stage uint8

// Stages of a start. A router usually reaches them in this order.
const (
	// SourceAnswered means that the store or another router has answered with data.
	SourceAnswered Stage = iota
	// ConfigKnown means that a configuration is in force.
	ConfigKnown
	// RunnerKnown means that the first runner is known.
	RunnerKnown
	// Serving means that the router can serve calls of each routed service.
	Serving
	// DirectoryComplete means that all runners are known.
	DirectoryComplete
	stageCount
)

// String returns the stage's name in logs, metrics and the status.
func (s Stage) String() string {
	return [...]string{"source_answered", "config_known", "runner_known", "serving", "directory_complete"}[s]
}

// Stages returns all stages in order.
func Stages() []Stage {
	stages := make([]Stage, stageCount)
	for i := range stages {
		stages[i] = Stage(i)
	}
	return stages
}

// Progress records when a router first reached each stage. It is not safe for concurrent use.
type Progress struct {
	started time.Time
	reached [stageCount]time.Time
}

// NewProgress returns the progress of a router that started at the given time.
func NewProgress(started time.Time) *Progress { return &Progress{started: started} }

// Reach records that the stage was reached. It reports whether that is the first time.
func (p *Progress) Reach(now time.Time, stage Stage) (first bool) {
	if !p.reached[stage].IsZero() {
		return false
	}
	p.reached[stage] = now
	return true
}

// Has reports whether the stage was reached.
func (p *Progress) Has(stage Stage) bool { return !p.reached[stage].IsZero() }

// After returns the time from the start to the stage. It returns false if the stage was not reached.
func (p *Progress) After(stage Stage) (time.Duration, bool) {
	return p.reached[stage].Sub(p.started), p.Has(stage)
}
