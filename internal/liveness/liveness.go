// Package liveness judges from probes whether a runner whose streams are silent has ended.
//
// A sound runner may be silent for up to MaxSilence: it accepts connections and requests, but sends neither responses nor
// events until the silence is over. The package has no I/O and no clock.
package liveness

import "time"

const (
	// MaxSilence is how long a sound runner may be silent.
	MaxSilence = 2 * time.Second
	// ProbeTimeout is the timeout of a probe and the interval at which probes are sent.
	ProbeTimeout = 500 * time.Millisecond
	// requiredFailures is the number of consecutive failed probes that outlast MaxSilence, even if the silence began during
	// the first one. They are counted rather than timed, since the time in which this process stood still doesn't count.
	requiredFailures = int(MaxSilence/ProbeTimeout) + 1
	// requiredRefusals is the number of consecutive refusals that show that a process has ended.
	requiredRefusals = 2
)

// Result is the result of a probe.
type Result uint8

const (
	// Answered means that the runner's machine sent something, even if that was an error.
	Answered Result = iota
	// Refused means that nothing listens at the runner's address, or that another process does.
	Refused
	// Unanswered means that nothing was received in time.
	Unanswered
)

// String returns the name of the result in logs.
func (r Result) String() string { return [...]string{"answered", "refused", "unanswered"}[r] }

// Verdict is what the probes show.
type Verdict uint8

const (
	// Undecided means that another probe is needed.
	Undecided Verdict = iota
	// Running means that the runner has not ended.
	Running
	// Ended means that the runner has ended, or cannot be reached for longer than a sound one is silent.
	Ended
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"undecided", "running", "ended"}[v] }

// Judge judges one runner by the results of successive probes.
type Judge struct {
	failures int
	refusals int
}

// Record records the result of a probe and returns the verdict.
func (j *Judge) Record(result Result) Verdict {
	switch result {
	case Answered:
		*j = Judge{}
		return Running
	case Refused:
		j.refusals++
	default:
		j.refusals = 0
	}
	j.failures++
	if j.refusals >= requiredRefusals || j.failures >= requiredFailures {
		return Ended
	}
	return Undecided
}
