package backend

import "time"

// holdTimeWeight is the weight of one request in the mean slot hold time of a service. A
// router that places requests for others sees several hundred per second, so the mean
// follows a change of the load within a second.
const holdTimeWeight = 0.01

// recordHoldTime adds the time from the send of a request to the end of its response.
func (s *Set) recordHoldTime(service string, held time.Duration) {
	mean, known := s.holdTimes[service]
	if !known {
		mean = held
	}
	s.holdTimes[service] = mean + time.Duration(holdTimeWeight*float64(held-mean))
}

// slotWait estimates how long another request waits for a slot at a runner with the given
// number of open requests. Slots are released at the mean hold time divided by the number
// of slots, and the requests ahead must be served first.
func (s *Set) slotWait(e *entry, openRequests int) time.Duration {
	ahead := openRequests - e.Slots + 1
	if ahead <= 0 || e.Slots <= 0 {
		return 0
	}
	return s.holdTimes[e.Service] * time.Duration(ahead) / time.Duration(e.Slots)
}

// expectedWaits returns how long another request is expected to queue at a runner with the
// given number of open requests, and the extra slowness that counts against the runner
// without being a queue. With a model, the prefill time is known, so any further delay is
// queueing, unless the runner is or was silent. Without one, requests may take any time, so only
// the wait for a slot is queueing.
func (s *Set) expectedWaits(now time.Time, e *entry, model string, openRequests int) (queue, slowness time.Duration) {
	queue = s.slotWait(e, openRequests)
	if model == "" {
		return queue, e.currentAssumedWait(now)
	}
	learned := e.currentLearnedWait(now, s.runnerPrefill(e))
	if !hasFreeSlot(openRequests, e.Slots) {
		return max(queue, learned), 0
	}
	// A runner with a free slot makes no request wait for a slot.
	queue = s.queueingTime(now, e, learned)
	return queue, learned - queue
}
