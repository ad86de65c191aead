package backend

import (
	"time"
)

// Begin notes a request sent to the runner with the prompt tokens it has to read.
func (s *Set) Begin(id string, tokens int) {
	if e := s.entries[id]; e != nil {
		e.inFlight++
		e.pendingTokens += tokens
	}
}

// FirstAnswer notes that the runner has begun to answer, after the given time
// of which the reading of the tokens explains a part.
func (s *Set) FirstAnswer(now time.Time, id string, tokens int, after time.Duration) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.pendingTokens = max(e.pendingTokens-tokens, 0)
	reading := time.Duration(float64(tokens) / PrefillRate * float64(time.Second))
	queueing := max(after-reading, 0)
	e.wait = (e.currentWait(now) + queueing) / 2
	e.waitAt = now
}

// Outcome is what became of one send to a runner.
type Outcome uint8

// The outcomes of a send.
const (
	// Answered means a whole answer that was no failure.
	Answered Outcome = iota
	// Failed means the runner's own failure, or a broken or spoilt answer.
	Failed
	// Refused means the runner's word that it did not run the request.
	Refused
	// Unreachable means that no connection was made, or it broke without an answer.
	Unreachable
	// Abandoned means that the caller left or the time was up.
	Abandoned
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unreachable", "abandoned"}[o]
}

// End notes the outcome of a send; tokens is what is still pending of Begin's.
func (s *Set) End(now time.Time, id string, tokens int, outcome Outcome) {
	e := s.entries[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	e.pendingTokens = max(e.pendingTokens-tokens, 0)
	switch outcome {
	case Answered:
		e.failures = 0
		e.noteAnswer(now, false)
	case Failed:
		e.noteAnswer(now, true)
	case Refused:
		e.asideUntil = now.Add(fullAside)
	case Unreachable:
		e.noteAnswer(now, true)
		e.failures++
		e.asideUntil = now.Add(min(minAside<<min(e.failures-1, 8), maxAside))
	}
}
