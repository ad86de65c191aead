package backend

import (
	"time"
)

// Send is one request at a runner, from Begin to End.
type Send struct {
	runner string
	// entry is the incarnation that it was sent to, nil when there was none.
	entry *entry
	// tokens is what the runner has to read before its first answer.
	tokens   int
	at       time.Time
	answered bool
	// gap is the longest pause that its caller allows between events, 0 for none, and
	// long tells that its prompt is a long read.
	gap  time.Duration
	long bool
	// suspect names its content if that may end the runner, 0 for any other.
	suspect uint64
	// alone tells that its runner had nothing to read when it was sent.
	alone bool
}

// BeginQuery notes a request sent to the runner with the prompt tokens it has to read, the
// pauses that its caller allows, and whether it is a long read.
func (s *Set) BeginQuery(now time.Time, id string, tokens int, query Query) *Send {
	alone := s.readsNothing(now, id)
	send := s.Begin(now, id, tokens)
	send.alone = alone && query.Model != ""
	send.gap, send.long = query.EventGap, s.longRead(query)
	if send.long {
		s.noteLongRead(now, query.Service, tokens)
	}
	if e := s.listed(send); e != nil {
		send.suspect = query.Suspect
		e.suspects = e.suspects.begin(query.Suspect)
	}
	return send
}

// Tokens are the prompt tokens that the runner had to read before its first answer.
func (s *Send) Tokens() int { return s.tokens }

// At returns when it was placed.
func (s *Send) At() time.Time { return s.at }

// Begin notes a request sent to the runner with the prompt tokens it has to read.
func (s *Set) Begin(now time.Time, id string, tokens int) *Send {
	e := s.entries[id]
	if e != nil {
		s.changed[id] = true
		e.inFlight++
		e.pendingTokens += tokens
		if e.unanswered == 0 {
			e.progressAt = now
		}
		e.unanswered++
	}
	return &Send{runner: id, entry: e, tokens: tokens, at: now}
}

// Listed tells whether the incarnation that the send went to is still listed: what
// becomes of a send to an earlier one says nothing of the runner as it is now.
func (s *Set) Listed(send *Send) bool { return s.listed(send) != nil }

// listed returns the incarnation that the send went to, nil if it is no longer listed.
func (s *Set) listed(send *Send) *entry {
	if e := s.entries[send.runner]; e == send.entry {
		return e
	}
	return nil
}

// close takes a send out of its runner's open ones, and returns the runner, nil if that
// incarnation is no longer listed.
func (s *Set) close(send *Send) *entry {
	e := s.listed(send)
	if e != nil {
		s.changed[send.runner] = true
		e.inFlight = max(e.inFlight-1, 0)
		e.closeStream(send)
		e.suspects.end(send.suspect)
	}
	return e
}

// forget takes a request out of which nothing more will be heard.
func (s *Set) forget(send *Send) {
	if e := s.close(send); e != nil && !send.answered {
		e.dropPending(send)
	}
}

// FirstAnswer notes that the runner has begun to answer; the reading of the
// tokens explains a part of the time that it took.
func (s *Set) FirstAnswer(now time.Time, send *Send) {
	e := s.listed(send)
	if e == nil || send.answered {
		return
	}
	s.changed[send.runner] = true
	e.answer(now, send)
	e.openStream(send)
	e.wait = (e.currentWait(now) + send.queueing(now)) / 2
	e.waitAt = now
	speed := s.speedOf(e)
	taken := now.Sub(send.at)
	queueing := max(taken-speed.expectedTime(send.tokens), 0)
	e.queueing = (decayedTime(e.queueing, now.Sub(e.queueingAt)) + queueing) / 2
	e.queueingAt = now
	if send.alone {
		speed.note(send.tokens, taken)
	}
}

// readsNothing tells whether no request without a first answer is known at the runner.
func (s *Set) readsNothing(now time.Time, id string) bool {
	e := s.entries[id]
	return e != nil && e.unanswered == 0 && s.otherLoad(now, id).Tokens == 0
}

// answer notes that the request is no longer without an answer.
func (e *entry) answer(now time.Time, send *Send) {
	send.answered = true
	e.dropPending(send)
	e.progressAt = now
}

// dropPending takes the send out of those without a first answer.
func (e *entry) dropPending(send *Send) {
	e.pendingTokens = max(e.pendingTokens-send.tokens, 0)
	e.unanswered = max(e.unanswered-1, 0)
}

// Answered tells whether the runner has begun to answer.
func (s *Send) Answered() bool { return s.answered }

// queueing is the time since the send that its own reading does not explain.
func (s *Send) queueing(now time.Time) time.Duration {
	return max(now.Sub(s.at)-readingTime(s.tokens), 0)
}

func readingTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / PrefillRate * float64(time.Second))
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
	// NotConfirmed means that the request was not sent, for no fault of the runner's.
	NotConfirmed
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unreachable", "abandoned", "not confirmed"}[o]
}

// End notes the outcome of a send.
func (s *Set) End(now time.Time, send *Send, outcome Outcome) {
	if outcome == NotConfirmed {
		s.forget(send)
		return
	}
	e := s.close(send)
	if e == nil {
		return
	}
	if !send.answered {
		if outcome == Abandoned {
			// It waited at least so long, and would have waited longer.
			e.wait, e.waitAt = max(e.currentWait(now), send.queueing(now)), now
			speed := s.speedOf(e)
			e.queueing, e.queueingAt = max(e.currentQueueing(now, speed), now.Sub(send.at)-speed.expectedTime(send.tokens)), now
		}
		e.answer(now, send)
	}
	switch outcome {
	case Answered:
		e.failures = 0
		s.noteHolding(e.Service, now.Sub(send.at))
		s.noteStream(now, e, send)
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
