// Package attempt implements the state machine of one request: claim, placement, dispatch,
// relaying, resumption, retry and outcome. It decides which step may follow and which outcome
// may be reported to the caller.
//
// The package performs no I/O, does not read the clock and starts no goroutines. Its invariants
// are:
//
//   - NotRun is reported only with a proof for every attempt that it has not run and never will;
//   - an unrepeatable request is dispatched again only after such a proof for the earlier attempt;
//   - a frame is relayed only if it belongs to the current attempt and starts at the next offset.
package attempt

import (
	"slices"

	"github.com/clovertiller/clovertiller/internal/notrun"
)

// RunState tells the caller of a failed request whether the request may have run.
type RunState string

// The run states.
const (
	// NotRun means that no attempt ran or will run.
	NotRun RunState = "not_run"
	// FailedAfterRun means that a runner started to compute the request.
	FailedAfterRun RunState = "failed_after_run"
	// Unknown means that an attempt may have run.
	Unknown RunState = "unknown"
)

// Phase is the current state of a Request.
type Phase uint8

// The phases of a request.
const (
	// Ready means that no dispatch is in flight and that one may be made.
	Ready Phase = iota
	// Dispatched means that a dispatch may have reached a runner.
	Dispatched
	// Accepted means that the runner accepted the request.
	Accepted
	// Streaming means that output has been relayed to the caller.
	Streaming
	// Complete means that the whole response has been relayed.
	Complete
	// Failed means that the request has ended without success.
	Failed
)

// Action is the next step of a request.
type Action uint8

// The actions.
const (
	// Dispatch means to place the request and send it to a runner as a new attempt.
	Dispatch Action = iota
	// Resume means to ask the same runner process for the output stream from Offset on. If the
	// process never received the attempt, it must refuse it from then on.
	Resume
	// Stop means that the outcome is final and is to be reported to the caller.
	Stop
)

// Limits bounds the number of attempts of a request.
type Limits struct {
	// MaxAttempts bounds the dispatches that may have run.
	MaxAttempts int
	// MaxResumes bounds the resumptions of each attempt.
	MaxResumes int
	// MaxRefusals bounds the dispatches that did not run. If it is 0, they count towards
	// MaxAttempts.
	MaxRefusals int
	// MaxUnsent bounds the dispatches that were not sent. If it is 0, they count as refusals.
	MaxUnsent int
}

// DefaultLimits returns the limits used in production.
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
	// refusals counts the dispatches that did not run.
	refusals int
	// unsent counts the dispatches that were not sent, and declined those of them that other routers declined.
	unsent, declined int
	// ran is true if a runner may have started to compute any of the attempts.
	ran bool
	// fromCopy is true while a runner is asked to continue a run from its copy of the run's
	// memory.
	fromCopy bool
	excluded []string
	runner   string
	// proofs holds the proof of each attempt that it has not run, a zero value for attempts that may have run.
	proofs []notrun.Proof
}

// NewRequest returns the state machine of a new request. Only a repeatable request may run more
// than once.
func NewRequest(repeatable bool, limits Limits) *Request {
	return &Request{limits: limits, repeatable: repeatable}
}

// Attempt returns the number of the current attempt. The first attempt has number 1.
func (r *Request) Attempt() uint32 { return r.attempts }

// Offset returns the number of output tokens relayed to the caller.
func (r *Request) Offset() int { return r.offset }

// Phase returns the current phase.
func (r *Request) Phase() Phase { return r.phase }

// Runner returns the runner of the current attempt.
func (r *Request) Runner() string { return r.runner }

// Excluded returns the runners that refused or failed this request.
func (r *Request) Excluded() []string { return r.excluded }

// BeginDispatch starts a new attempt at the runner and returns its number. It must be called
// before the first byte is sent, and panics if a dispatch is in flight.
func (r *Request) BeginDispatch(runner string) uint32 {
	if r.phase != Ready {
		panic("attempt: dispatch while another dispatch is in flight")
	}
	r.attempts++
	r.proofs = append(r.proofs, notrun.Proof{})
	r.resumes = 0
	r.runner = runner
	r.phase = Dispatched
	return r.attempts
}

// MarkAccepted records that the runner accepted the request.
func (r *Request) MarkAccepted() {
	if r.phase == Dispatched {
		r.phase = Accepted
	}
}

// MarkStarted records that the runner started to compute the attempt.
func (r *Request) MarkStarted(attempt uint32) {
	if attempt == r.attempts {
		r.ran = true
	}
}

// The following methods record that the current attempt has not run and will not run. Without a proof of that they are the same as
// RunnerGone.

// Reject records that the runner rejected the current attempt.
func (r *Request) Reject(proof notrun.Proof) Action {
	r.exclude()
	if !r.prove(proof) {
		return r.abandon()
	}
	return r.retryAfterRefusal()
}

// RejectStale records that the runner rejected the current attempt because the dispatch referred to something that the runner no
// longer has. With updated references, the request may be sent to the same runner again.
func (r *Request) RejectStale(proof notrun.Proof) Action {
	if !r.prove(proof) {
		return r.abandon()
	}
	return r.retryAfterRefusal()
}

// NotSent records that the dispatch cannot have reached the runner because no connection to it was established.
func (r *Request) NotSent(proof notrun.Proof) Action {
	r.exclude()
	return r.DispatchAborted(proof)
}

// DispatchAborted records that the dispatch was aborted immediately before it was sent. The runner is not excluded, because it is
// not at fault.
func (r *Request) DispatchAborted(proof notrun.Proof) Action {
	switch {
	case !r.prove(proof):
		return r.abandon()
	case r.limits.MaxUnsent == 0:
		return r.retryAfterRefusal()
	}
	r.unsent++
	return r.retryNotRun()
}

// Declined records that another router declined the dispatch. Unlike a dispatch that was not sent, it costs next to no time and is
// not limited here.
func (r *Request) Declined(proof notrun.Proof) Action {
	if !r.prove(proof) {
		return r.abandon()
	}
	r.unsent++
	r.declined++
	return r.retryNotRun()
}

// NeverSeen records that the same runner process reported that it never received the current attempt and will refuse it from now
// on.
func (r *Request) NeverSeen(proof notrun.Proof) Action {
	r.exclude()
	switch {
	case !r.prove(proof):
		return r.abandon()
	case r.fromCopy:
		return r.retryIfRepeatable()
	}
	return r.retry()
}

// prove records the proof of the current attempt, and reports whether it holds.
func (r *Request) prove(proof notrun.Proof) bool {
	r.proofs[len(r.proofs)-1] = proof
	return proof.Holds()
}

// SentDispatches returns the number of dispatches that may have reached a runner.
func (r *Request) SentDispatches() int { return int(r.attempts) - r.unsent }

// RunnerFailed records that the runner ran the current attempt and reported a failure.
func (r *Request) RunnerFailed() Action {
	r.exclude()
	r.ran = true
	return r.retryIfRepeatable()
}

// AcceptFrame processes an output frame of count tokens. It returns false if the frame must not
// be relayed because it belongs to an earlier attempt, repeats relayed output or would leave a
// gap.
func (r *Request) AcceptFrame(attempt uint32, offset, count int) bool {
	if attempt != r.attempts || offset != r.offset || (r.phase != Accepted && r.phase != Streaming) {
		return false
	}
	r.phase = Streaming
	r.ran = true
	r.offset += count
	return true
}

// Finish records the end of the stream at the given total number of tokens. It returns false if
// tokens are missing, in which case the caller must treat the stream as broken.
func (r *Request) Finish(attempt uint32, total int) bool {
	if attempt != r.attempts || total != r.offset {
		return false
	}
	r.phase = Complete
	return true
}

// ConnectionLost records that the connection to the runner was lost before the end of the
// stream or before the runner responded to the dispatch.
func (r *Request) ConnectionLost() Action {
	if r.phase == Complete || r.phase == Failed {
		return Stop
	}
	if r.resumes < r.limits.MaxResumes {
		r.resumes++
		return Resume
	}
	return r.abandon()
}

// ContinueFromCopy records that the runner process of the current attempt has ended and that
// another runner may hold a copy of the run's memory. Continuing from the copy is still the
// same run, so it may be dispatched even if the request is not repeatable. A runner without a
// copy refuses it.
func (r *Request) ContinueFromCopy() Action {
	if r.phase == Complete || r.phase == Failed || r.fromCopy {
		return r.abandon()
	}
	r.exclude()
	r.ran = true
	r.fromCopy = true
	r.phase = Ready
	return Dispatch
}

// RunnerGone records that the runner process of the current attempt has ended or cannot be
// reached, so that the stream cannot be resumed there.
func (r *Request) RunnerGone() Action { return r.abandon() }

// abandon gives up the current attempt without proof that it has not run.
func (r *Request) abandon() Action {
	r.exclude()
	return r.retryIfRepeatable()
}

// retryIfRepeatable retries after an attempt that may have run.
func (r *Request) retryIfRepeatable() Action {
	if !r.repeatable {
		r.phase = Failed
		return Stop
	}
	return r.retry()
}

// retryAfterRefusal counts a refusal and retries after an attempt that did not run.
func (r *Request) retryAfterRefusal() Action {
	r.refusals++
	return r.retryNotRun()
}

// retryNotRun retries after a dispatch that did not run. If the dispatch was to continue from a
// copy, the run before it did run, so the request must be repeatable.
func (r *Request) retryNotRun() Action {
	if r.fromCopy {
		return r.retryIfRepeatable()
	}
	return r.retry()
}

func (r *Request) exclude() {
	if r.runner != "" && !slices.Contains(r.excluded, r.runner) {
		r.excluded = append(r.excluded, r.runner)
	}
}

func (r *Request) retry() Action {
	if r.limitReached() {
		r.phase = Failed
		return Stop
	}
	r.phase = Ready
	return Dispatch
}

func (r *Request) limitReached() bool {
	if r.unsent-r.declined > r.limits.MaxUnsent {
		return true
	}
	used := r.SentDispatches()
	if r.limits.MaxRefusals > 0 {
		if r.refusals > r.limits.MaxRefusals {
			return true
		}
		used -= r.refusals
	}
	return used >= r.limits.MaxAttempts
}

// Fail ends the request because there is no runner, the deadline has passed or the caller has
// disconnected.
func (r *Request) Fail() {
	if r.phase == Complete {
		return
	}
	r.phase = Failed
}

// MayRetry reports whether another runner may be tried if the current one is lost.
func (r *Request) MayRetry() bool { return r.repeatable && !r.limitReached() }

// MayHaveRun reports whether any attempt may have run.
func (r *Request) MayHaveRun() bool { return r.RunState() != NotRun }

// RunState returns the run state to report for a failed request.
func (r *Request) RunState() RunState {
	switch {
	case r.ran:
		return FailedAfterRun
	case slices.ContainsFunc(r.proofs, func(p notrun.Proof) bool { return !p.Holds() }):
		return Unknown
	}
	return NotRun
}

// Proofs returns the proof of each attempt that it has not run.
func (r *Request) Proofs() []notrun.Proof { return r.proofs }

// Promise states that no attempt of a request has run or will run. Only Request.Promise makes one that holds.
type Promise struct{ holds bool }

// Holds reports whether the value is a promise. The zero value is none.
func (p Promise) Holds() bool { return p.holds }

// Promise returns the promise that no attempt has run or will run, which holds if there is a proof of it for every attempt.
func (r *Request) Promise() Promise { return Promise{holds: r.RunState() == NotRun} }
