// Package attempt is the state machine of one request: claim, place, dispatch,
// relay, resume, retry, outcome. It decides what may be tried next and what the
// caller may truthfully be told.
//
// The package has no I/O, clock or goroutines. Its invariants:
//
//   - "not run" is said only while no dispatch can have reached an engine, or
//     with the engine's own refusal of every dispatch in hand;
//   - an unrepeatable request is dispatched again only after the engine proved
//     that the earlier dispatch has not run and never will;
//   - a frame is passed on only if it belongs to the current attempt and starts
//     at the next offset.
package attempt

import (
	"slices"
)

// RunState is what a caller may be told of a request that did not complete.
type RunState string

// The run states.
const (
	NotRun         RunState = "not_run"
	FailedAfterRun RunState = "failed_after_run"
	Unknown        RunState = "unknown"
)

// Phase is the state of the request.
type Phase uint8

// The phases.
const (
	// Ready means that no dispatch is in flight and one may be made.
	Ready Phase = iota
	// Dispatched means that a dispatch may have reached an engine.
	Dispatched
	// Accepted means that the engine has said it took the request.
	Accepted
	// Streaming means that output has been relayed.
	Streaming
	// Complete means that the whole answer has been relayed.
	Complete
	// Failed means that the request has its final, unsuccessful outcome.
	Failed
)

// Next is what the request is to do.
type Next uint8

// The steps.
const (
	// Dispatch means: place the request and send it, as a new attempt.
	Dispatch Next = iota
	// Resume means: ask the same engine process for the stream from Offset on,
	// and to refuse the attempt from now on if it has never seen it.
	Resume
	// Stop means: the outcome is final; tell the caller.
	Stop
)

// Limits bound the attempts of a request.
type Limits struct {
	// MaxAttempts bounds the dispatches that may have run.
	MaxAttempts int
	MaxResumes  int
	// MaxRefusals bounds the dispatches that did not run; at 0 they count as
	// attempts.
	MaxRefusals int
	// MaxUnsent bounds the dispatches that were not sent; at 0 they count as refusals.
	MaxUnsent int
}

// DefaultLimits are used in production.
func DefaultLimits() Limits { return Limits{MaxAttempts: 4, MaxResumes: 3} }

// Request is the state machine of one request. It is not safe for concurrent use.
type Request struct {
	limits     Limits
	repeatable bool
	phase      Phase
	attempts   uint32
	resumes    int
	// offset is the number of output tokens relayed to the caller.
	offset int
	// refusals counts dispatches that certainly did not run.
	refusals int
	// unsent counts dispatches that were not sent.
	unsent int
	// ran is true when an engine may have begun to compute any attempt.
	ran bool
	// continuing is true while an engine is asked to go on with a run whose
	// memory it holds a copy of.
	continuing bool
	// doubtful is true when an attempt's fate is not known.
	doubtful bool
	excluded []string
	runner   string
}

// NewRequest returns the state machine of a request that may be repeated or not.
func NewRequest(repeatable bool, limits Limits) *Request {
	return &Request{limits: limits, repeatable: repeatable}
}

// Attempt returns the number of the current attempt, 1 for the first.
func (r *Request) Attempt() uint32 { return r.attempts }

// Offset returns the number of output tokens relayed.
func (r *Request) Offset() int { return r.offset }

// Phase returns the current phase.
func (r *Request) Phase() Phase { return r.phase }

// Runner returns the runner of the current attempt.
func (r *Request) Runner() string { return r.runner }

// Excluded returns the runners that refused or failed this request.
func (r *Request) Excluded() []string { return r.excluded }

// Dispatching notes that a dispatch to the runner is about to be sent. It must
// be called before the first byte leaves.
func (r *Request) Dispatching(runner string) uint32 {
	if r.phase != Ready {
		panic("attempt: dispatch while another one is in flight")
	}
	r.attempts++
	r.resumes = 0
	r.runner = runner
	r.phase = Dispatched
	return r.attempts
}

// Accept notes the engine's word that it took the request.
func (r *Request) Accept() {
	if r.phase == Dispatched {
		r.phase = Accepted
	}
}

// Started notes the engine's word that it has begun to compute.
func (r *Request) Started(attempt uint32) {
	if attempt == r.attempts {
		r.ran = true
	}
}

// Reject notes the engine's own word that it did not and will not run the
// current attempt.
func (r *Request) Reject() Next {
	r.exclude()
	return r.refused()
}

// RejectStale notes the engine's own word that it did not run the current
// attempt because the dispatch named what it no longer has; named anew, the
// request may go to the same engine.
func (r *Request) RejectStale() Next { return r.refused() }

// NotSent notes that the dispatch cannot have reached the engine, because no
// connection to it was made.
func (r *Request) NotSent() Next {
	r.exclude()
	return r.NotConfirmed()
}

// NotConfirmed notes that the dispatch was given up right before it was sent. Nothing
// speaks against the engine, so it is not excluded.
func (r *Request) NotConfirmed() Next {
	if r.limits.MaxUnsent == 0 {
		return r.refused()
	}
	r.unsent++
	return r.tryAgain()
}

// Arrivals counts the dispatches that may have arrived at an engine.
func (r *Request) Arrivals() int { return int(r.attempts) - r.unsent }

// FailedAnswer notes the engine's own failure of the current attempt, which ran.
func (r *Request) FailedAnswer() Next {
	r.exclude()
	r.ran = true
	return r.retryRepeatable()
}

// Frame takes an output frame of count tokens. It returns false when the frame
// is not to be passed on: it belongs to an earlier attempt, repeats what was
// relayed, or would leave a gap.
func (r *Request) Frame(attempt uint32, offset, count int) bool {
	if attempt != r.attempts || offset != r.offset || (r.phase != Accepted && r.phase != Streaming) {
		return false
	}
	r.phase = Streaming
	r.ran = true
	r.offset += count
	return true
}

// Finish notes the engine's end of stream at the given total of tokens. It
// returns false when tokens are missing, which is then a break of the stream.
func (r *Request) Finish(attempt uint32, total int) bool {
	if attempt != r.attempts || total != r.offset {
		return false
	}
	r.phase = Complete
	return true
}

// Lost notes that the connection to the engine broke before the end of the
// stream, or before the engine's answer to the dispatch.
func (r *Request) Lost() Next {
	if r.phase == Complete || r.phase == Failed {
		return Stop
	}
	if r.resumes < r.limits.MaxResumes {
		r.resumes++
		return Resume
	}
	return r.abandon()
}

// CopyHeld notes that the engine process of the current attempt has ended, and
// that another engine may hold a copy of the run's memory. To go on from the
// copy is the same run, so it may be dispatched whether the request may be
// repeated or not; the engine refuses if it has no copy.
func (r *Request) CopyHeld() Next {
	if r.phase == Complete || r.phase == Failed || r.continuing {
		return r.abandon()
	}
	r.exclude()
	r.ran = true
	r.continuing = true
	r.phase = Ready
	return Dispatch
}

// EngineGone notes that the engine process of the current attempt has ended or
// cannot be reached, so that the stream cannot be resumed on it.
func (r *Request) EngineGone() Next { return r.abandon() }

// NeverSeen notes the engine's word, from the same process, that it never saw
// the current attempt and has barred it.
func (r *Request) NeverSeen() Next {
	r.exclude()
	if r.continuing {
		return r.retryRepeatable()
	}
	return r.retry()
}

// abandon gives up the current attempt without knowing that it has not run.
func (r *Request) abandon() Next {
	r.exclude()
	r.doubtful = true
	return r.retryRepeatable()
}

// retryRepeatable tries again after an attempt that may have run.
func (r *Request) retryRepeatable() Next {
	if !r.repeatable {
		r.phase = Failed
		return Stop
	}
	return r.retry()
}

// refused tries again after an attempt that certainly has not run. An attempt
// that was to go on from a copy leaves the run before, which has run.
func (r *Request) refused() Next {
	r.refusals++
	return r.tryAgain()
}

// tryAgain goes on after a dispatch that certainly did not run.
func (r *Request) tryAgain() Next {
	if r.continuing {
		return r.retryRepeatable()
	}
	return r.retry()
}

func (r *Request) exclude() {
	if r.runner != "" && !slices.Contains(r.excluded, r.runner) {
		r.excluded = append(r.excluded, r.runner)
	}
}

func (r *Request) retry() Next {
	if r.exhausted() {
		r.phase = Failed
		return Stop
	}
	r.phase = Ready
	return Dispatch
}

func (r *Request) exhausted() bool {
	if r.unsent > r.limits.MaxUnsent {
		return true
	}
	spent := r.Arrivals()
	if r.limits.MaxRefusals > 0 {
		if r.refusals > r.limits.MaxRefusals {
			return true
		}
		spent -= r.refusals
	}
	return spent >= r.limits.MaxAttempts
}

// Fail ends the request: no runner, no time left, or the caller has gone.
func (r *Request) Fail() {
	if r.phase == Complete {
		return
	}
	if r.phase != Ready {
		r.doubtful = true
	}
	r.phase = Failed
}

// MayGoOn tells whether another engine may be tried if the current one is lost.
func (r *Request) MayGoOn() bool { return r.repeatable && !r.exhausted() }

// MayHaveRun tells whether any attempt may have been run.
func (r *Request) MayHaveRun() bool { return r.ran || r.doubtful }

// RunState returns what the caller may be told of a failed request.
func (r *Request) RunState() RunState {
	switch {
	case r.ran:
		return FailedAfterRun
	case r.doubtful:
		return Unknown
	}
	return NotRun
}
