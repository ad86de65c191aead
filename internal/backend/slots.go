package backend

import "time"

// holdingWeight is the weight of one request in the mean time that requests of a
// service hold a slot: some hundred requests a second are seen by a router that places
// for others, and the mean follows a change of the load within a second.
const holdingWeight = 0.01

// noteHolding takes the time from the send of a request to its whole answer.
func (s *Set) noteHolding(service string, taken time.Duration) {
	mean, known := s.holding[service]
	if !known {
		mean = taken
	}
	s.holding[service] = mean + time.Duration(holdingWeight*float64(taken-mean))
}

// slotWait estimates how long a further request waits for a slot at a runner with so
// many open ones: as long as it takes until those before it have left, where one leaves
// each mean time divided by the slots.
func (s *Set) slotWait(e *entry, open int) time.Duration {
	ahead := open - e.Slots + 1
	if ahead <= 0 || e.Slots <= 0 {
		return 0
	}
	return s.holding[e.Service] * time.Duration(ahead) / time.Duration(e.Slots)
}

// waits returns how long a further request queues at a runner with so many open ones,
// and what else speaks against the runner by the times that it took of late. A prompt's
// reading time is known, so what an engine takes beyond it is queueing; of a service
// without a model only the queue for its slots is known, as its work takes any time.
func (s *Set) waits(now time.Time, e *entry, model string, open int) (queue, slowness time.Duration) {
	queue = s.slotWait(e, open)
	if model == "" {
		return queue, e.currentWait(now)
	}
	return max(queue, e.currentQueueing(now, s.speedOf(e))), 0
}
