package backend

import "time"

// maxStall is how long a runner may begin no response, beyond the prefill of its pending
// tokens, before this counts as a wait.
const maxStall = 100 * time.Millisecond

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
	measured := decayedTime(e.learnedWait, now.Sub(e.learnedWaitAt))
	if e.awaitingResponse == 0 {
		return measured
	}
	return max(measured, now.Sub(e.lastProgress)-prefill.firstResponseTime(e.pendingTokens)-maxStall)
}

func decayedTime(value, elapsed time.Duration) time.Duration {
	return time.Duration(decayed(float64(value), elapsed, waitHalfLife))
}
