package backend

import "time"

// stallSlack is how long a runner may make no progress beyond its reading before
// that counts as a wait.
const stallSlack = 100 * time.Millisecond

// currentWait is the wait that own requests met, or are meeting: what was measured
// fades, and a runner that answers none of them makes all wait.
//
// Routers do not tell each other their waits. It was tried: on a day that lost a
// quarter of the runners everybody left every runner where anybody waited, the
// prompts' shared parts were read again elsewhere, and worth fell from 0.60 to 0.20.
func (e *entry) currentWait(now time.Time) time.Duration {
	measured := e.measuredWait(now)
	if e.unanswered == 0 {
		return measured
	}
	return max(measured, now.Sub(e.progressAt)-readingTime(e.pendingTokens)-stallSlack)
}

// measuredWait is the wait that own requests met before their first answers.
func (e *entry) measuredWait(now time.Time) time.Duration {
	return decayedTime(e.wait, now.Sub(e.waitAt))
}

// currentQueueing is currentWait by the learned speed of reading.
func (e *entry) currentQueueing(now time.Time, speed *readSpeed) time.Duration {
	measured := decayedTime(e.queueing, now.Sub(e.queueingAt))
	if e.unanswered == 0 {
		return measured
	}
	return max(measured, now.Sub(e.progressAt)-speed.expectedTime(e.pendingTokens)-stallSlack)
}

func decayedTime(value, elapsed time.Duration) time.Duration {
	return time.Duration(decayed(float64(value), elapsed, waitHalfLife))
}
