package backend

import (
	"cmp"
	"time"
)

// Send is one request sent to a runner. It is open from Begin to End.
type Send struct {
	runner string
	// entry is the runner incarnation that the request was sent to, nil if it was unknown.
	entry *entry
	// tokens is the number of prompt tokens that the runner has to prefill before its
	// response begins.
	tokens    int
	sentAt    time.Time
	responded bool
	// maxEventGap is the longest pause between events that the caller accepts, 0 for no
	// bound. longPrefill is set when the prompt counts as a long prefill.
	maxEventGap time.Duration
	longPrefill bool
	// suspectContent is the hash of content suspected of crashing the runner, 0 for any
	// other request.
	suspectContent uint64
	// roundTrip is the time that the request is on the way to another region and back.
	roundTrip time.Duration
	// prefillIdle is set when the runner had no other prompt to prefill at the time of the
	// send.
	prefillIdle bool
	// router is the address of the router that sends the request, empty for this one.
	router string
	// reportedElsewhere is set if another router chose the runner. That router reports the send as part
	// of its loads.
	reportedElsewhere bool
}

// BeginQuery records a request sent to the runner, like Begin, and also tracks the query's
// event gap, long prefill and suspect content.
func (s *Set) BeginQuery(now time.Time, id string, tokens int, query Query) *Send {
	prefillIdle := s.isPrefillIdle(now, id)
	send := s.Begin(now, id, tokens)
	send.prefillIdle = prefillIdle && query.Model != ""
	send.maxEventGap, send.longPrefill = query.MaxEventGap, s.isLongPrefill(query)
	if send.longPrefill {
		s.recordLongPrefill(now, query.Service, tokens)
	}
	if e := s.listedEntry(send); e != nil {
		s.recordFamily(now, e, query)
		send.roundTrip = s.regions.view(now, cmp.Or(query.Zone, s.zone)).roundTrip(e)
		send.suspectContent = query.SuspectContent
		e.suspects = e.suspects.add(query.SuspectContent)
	}
	return send
}

// ReportedElsewhere leaves the open send out of the reported loads, because the router that chose its runner
// reports it.
func (s *Set) ReportedElsewhere(send *Send) {
	if e := s.listedEntry(send); e != nil && !send.reportedElsewhere {
		send.reportedElsewhere = true
		e.addElsewhere(send, 1)
	}
}

// Tokens returns the number of prompt tokens that the runner had to prefill before its
// response began.
func (s *Send) Tokens() int { return s.tokens }

// RunnerIncarnation returns the ID of the runner that the request was sent to, and the incarnation, 0 if
// it is unknown.
func (s *Send) RunnerIncarnation() (id string, incarnation uint64) {
	if s.entry != nil {
		incarnation = s.entry.Incarnation
	}
	return s.runner, incarnation
}

// SentAt returns when the request was placed on the runner.
func (s *Send) SentAt() time.Time { return s.sentAt }

// Begin records a request sent to the runner, with the number of prompt tokens that it has
// to prefill.
func (s *Set) Begin(now time.Time, id string, tokens int) *Send {
	e := s.entries[id]
	if e != nil {
		s.changedLoads[id] = true
		e.inFlight++
		e.pendingTokens += tokens
		if e.awaitingResponse == 0 {
			e.lastProgress = now
		}
		e.awaitingResponse++
	}
	return &Send{runner: id, entry: e, tokens: tokens, sentAt: now}
}

// IsListed reports whether the incarnation that the request was sent to is still listed in
// the directory. The outcome of a send to an earlier incarnation is no evidence about the
// current one.
func (s *Set) IsListed(send *Send) bool { return s.listedEntry(send) != nil }

// listedEntry returns the entry of the incarnation that the request was sent to, nil if it
// is no longer listed.
func (s *Set) listedEntry(send *Send) *entry {
	if e := s.entries[send.runner]; e == send.entry {
		return e
	}
	return nil
}

// close removes the send from its runner's open requests. It returns the runner's entry, or
// nil if that incarnation is no longer listed.
func (s *Set) close(send *Send) *entry {
	e := s.listedEntry(send)
	if e != nil {
		s.changedLoads[send.runner] = true
		e.inFlight = max(e.inFlight-1, 0)
		e.addElsewhere(send, -1)
		e.removeStream(send)
		e.suspects.remove(send.suspectContent)
	}
	return e
}

// discard removes a send whose outcome will never be known.
func (s *Set) discard(send *Send) {
	if e := s.close(send); e != nil && !send.responded {
		e.removePending(send)
	}
}

// FirstResponse records that the runner has begun to respond, and updates the measured
// waits by the time that the prefill does not explain.
func (s *Set) FirstResponse(now time.Time, send *Send) {
	e := s.listedEntry(send)
	if e == nil || send.responded {
		return
	}
	s.changedLoads[send.runner] = true
	s.recordSilence(now, e)
	s.recordAnswer(now, e, send)
	e.addElsewhere(send, -1)
	e.markResponded(now, send)
	e.addStream(send)
	e.addElsewhere(send, 1)
	e.assumedWait = (e.currentAssumedWait(now) + send.excessWait(now)) / 2
	e.assumedWaitAt = now
	prefill := s.runnerPrefill(e)
	elapsed := send.elapsed(now)
	learnedExcess := max(elapsed-prefill.firstResponseTime(send.tokens), 0)
	silent := e.silence.overlap(send.sentAt, now)
	e.silentWait = (e.measuredSilentWait(now) + min(silent, learnedExcess)) / 2
	e.learnedWait = (e.measuredLearnedWait(now) + learnedExcess) / 2
	e.learnedWaitAt = now
	if send.prefillIdle && silent == 0 {
		prefill.record(send.tokens, elapsed)
	}
}

// isPrefillIdle reports whether the runner is known and has begun to respond to all of its
// requests, as far as this router and its peers know.
func (s *Set) isPrefillIdle(now time.Time, id string) bool {
	e := s.entries[id]
	return e != nil && e.awaitingResponse == 0 && s.peerLoad(now, id).Tokens == 0
}

// markResponded records that the runner has begun to respond to the request.
func (e *entry) markResponded(now time.Time, send *Send) {
	send.responded = true
	e.removePending(send)
	e.lastProgress = now
}

// removePending removes the send from the requests whose response has not begun.
func (e *entry) removePending(send *Send) {
	e.pendingTokens = max(e.pendingTokens-send.tokens, 0)
	e.awaitingResponse = max(e.awaitingResponse-1, 0)
}

// Responded reports whether the runner has begun to respond.
func (s *Send) Responded() bool { return s.responded }

// elapsed returns the time since the send without the way to another region and back.
func (s *Send) elapsed(now time.Time) time.Duration {
	return max(now.Sub(s.sentAt)-s.roundTrip, 0)
}

// excessWait returns the elapsed time that its own prefill at the assumed rate does
// not explain.
func (s *Send) excessWait(now time.Time) time.Duration {
	return max(s.elapsed(now)-assumedPrefillTime(s.tokens), 0)
}

func assumedPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / PrefillRate * float64(time.Second))
}

// Outcome is the result of one send to a runner. Routers exchange the numeric value, so it
// must not change.
type Outcome uint8

const (
	// Succeeded means a complete response without a failure.
	Succeeded Outcome = iota
	// Failed means a failure of the runner itself, or a truncated or corrupt response.
	Failed
	// Refused means that the runner reported not having run the request.
	Refused
	// Unreachable means that no connection was made, or that it broke before a response.
	Unreachable
	// Abandoned means that the caller disconnected or the deadline passed.
	Abandoned
	// NotConfirmed means that the request was not sent, for a reason unrelated to the
	// runner.
	NotConfirmed
)

// String returns the outcome's name as it appears in metrics and logs.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unreachable", "abandoned", "not confirmed"}[o]
}

// End records the outcome of a send and updates the evidence about its runner.
func (s *Set) End(now time.Time, send *Send, outcome Outcome) {
	if outcome == NotConfirmed {
		s.discard(send)
		return
	}
	e := s.close(send)
	if e == nil {
		return
	}
	if (outcome == Unreachable || outcome == Abandoned) && !send.responded && e.paths.isLostPath(now, send) {
		e.paths.recordLostPath(now, send.router)
		e.removePending(send)
		s.refutedFailures++
		return
	}
	if outcome == Succeeded || outcome == Refused {
		s.recordAnswer(now, e, send)
	}
	if outcome == Succeeded || outcome == Failed || outcome == Refused {
		s.recordSilence(now, e)
		e.lastEnd = now
	}
	if !send.responded {
		if outcome == Abandoned {
			// The request waited at least this long, and would have waited longer.
			silent := max(e.measuredSilentWait(now), min(s.silentFor(now, e), send.elapsed(now)))
			e.assumedWait, e.assumedWaitAt = max(e.currentAssumedWait(now), send.excessWait(now)), now
			prefill := s.runnerPrefill(e)
			e.learnedWait, e.learnedWaitAt = max(e.currentLearnedWait(now, prefill), send.elapsed(now)-prefill.firstResponseTime(send.tokens)), now
			e.silentWait = min(silent, e.learnedWait)
		}
		e.markResponded(now, send)
	}
	switch outcome {
	case Succeeded:
		e.connectFailures = 0
		s.recordHoldTime(e.Service, now.Sub(send.sentAt))
		s.recordStream(now, e, send)
		e.recordResult(now, false)
	case Failed:
		e.recordResult(now, true)
	case Refused:
		e.avoidUntil = now.Add(refusedAvoidTime)
		s.lowerRoom(now, e)
	case Unreachable:
		e.recordResult(now, true)
		e.paths.failure = &failedSend{router: send.router, sentAt: send.sentAt, failedAt: now}
		e.connectFailures++
		e.avoidUntil = now.Add(min(minAvoidTime<<min(e.connectFailures-1, 8), maxAvoidTime))
	}
}
