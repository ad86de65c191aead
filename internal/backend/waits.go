package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/liveness"
)

const (
	// maxStall is how long a runner may begin no response, beyond the prefill of its pending
	// tokens, before this counts as a wait.
	maxStall = 100 * time.Millisecond
	// minSilence is how long a runner must have neither begun nor ended a response, while one was
	// due, for that to be a silence in which measured waits were no queue, and minSilentRequests how many
	// requests it must have left waiting: a single late response may have been queued.
	minSilence        = 250 * time.Millisecond
	minSilentRequests = 2
	// maxSlotGap bounds the time between two releases of a slot of a full runner, in mean times.
	maxSlotGap = 4
)

// currentAssumedWait returns the wait of this router's requests at the runner, at the
// assumed prefill speed. It is the larger of the decayed measured wait and the time for
// which requests have been pending without the beginning of any response.
//
// Routers do not exchange their waits. This was tried: on a day on which a quarter of the
// runners was lost, all routers left every runner with a wait, the shared parts of prompts
// were prefilled again elsewhere, and the benchmark's score (worth) fell from 0.60 to 0.20.
func (e *entry) currentAssumedWait(now time.Time) time.Duration {
	measured := e.measuredAssumedWait(now)
	if e.awaitingResponse == 0 {
		return measured
	}
	return max(measured, now.Sub(e.lastProgress)-assumedPrefillTime(e.pendingTokens)-maxStall)
}

// measuredAssumedWait returns the decayed wait of this router's requests before their
// responses began.
func (e *entry) measuredAssumedWait(now time.Time) time.Duration {
	return decayedTime(e.assumedWait, now.Sub(e.assumedWaitAt))
}

// currentLearnedWait is currentAssumedWait at the learned prefill speed.
func (e *entry) currentLearnedWait(now time.Time, prefill *prefillModel) time.Duration {
	measured := e.measuredLearnedWait(now)
	if e.awaitingResponse == 0 {
		return measured
	}
	return max(measured, now.Sub(e.lastProgress)-prefill.firstResponseTime(e.pendingTokens)-maxStall)
}

// measuredLearnedWait is measuredAssumedWait at the learned prefill speed.
func (e *entry) measuredLearnedWait(now time.Time) time.Duration {
	return decayedTime(e.learnedWait, now.Sub(e.learnedWaitAt))
}

func decayedTime(value, elapsed time.Duration) time.Duration {
	return time.Duration(decayed(float64(value), elapsed, waitHalfLife))
}

// measuredSilentWait returns the decayed part of the measured wait during which the runner was
// silent.
func (e *entry) measuredSilentWait(now time.Time) time.Duration {
	return decayedTime(e.silentWait, now.Sub(e.learnedWaitAt))
}

// silentFor returns for how long the runner has neither begun nor ended a response although one is
// due: a slot should be free, and the prompts of all pending requests be prefilled.
func (s *Set) silentFor(now time.Time, e *entry) time.Duration {
	if e.awaitingResponse == 0 {
		return 0
	}
	fromPeers := s.peerLoad(now, e.ID)
	due := s.runnerPrefill(e).firstResponseTime(e.pendingTokens+fromPeers.Tokens) + maxStall
	if e.Slots > 0 && e.inFlight+fromPeers.Requests > e.Slots {
		due += maxSlotGap * s.holdTimes[e.Service] / time.Duration(e.Slots)
	}
	return max(now.Sub(e.lastHeard())-due, 0)
}

// lastHeard returns when the runner last began or ended a response or, if later, when the first of the
// requests that await one was sent.
func (e *entry) lastHeard() time.Time { return clock.Later(e.lastEnd, e.lastProgress) }

// recordSilence records that the runner is heard from, which ends a silence.
func (s *Set) recordSilence(now time.Time, e *entry) {
	if e.awaitingResponse >= minSilentRequests && s.silentFor(now, e) >= minSilence {
		e.silence = interval{from: e.lastHeard(), to: now}
	}
}

// interval is a time interval.
type interval struct{ from, to time.Time }

// overlap returns how long the interval and the one between the given times overlap.
func (i interval) overlap(from, to time.Time) time.Duration {
	from = clock.Later(i.from, from)
	if i.to.Before(to) {
		to = i.to
	}
	return max(to.Sub(from), 0)
}

// queueingTime returns the part of a runner's currentLearnedWait that counts as a queue. The requests of a runner
// with free slots that is silent for a moment are late, but none waits for another: refusing some would
// not make the others faster. The rest of the wait still counts against the runner when one is chosen.
func (s *Set) queueingTime(now time.Time, e *entry, wait time.Duration) time.Duration {
	measured := e.measuredLearnedWait(now)
	queue := max(measured-e.measuredSilentWait(now), 0)
	if wait == measured {
		return queue
	}
	if silent := s.silentFor(now, e); silent < liveness.MaxSilence {
		return max(queue, wait-silent)
	}
	return wait
}
