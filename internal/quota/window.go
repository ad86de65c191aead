package quota

import "time"

// windowSlots is the number of slots that the window is divided into. All amounts of a slot expire
// together, late by at most a thirtieth of the window.
const windowSlots = 32

// windowSum is the sum of the amounts spent within a sliding window that ends now.
type windowSum struct {
	amounts [windowSlots]float64
	// newestSlot is the number of the newest slot, counted from the Unix epoch.
	newestSlot int64
}

// slotLength returns the duration of one slot, at least 1 ms.
func slotLength(window time.Duration) time.Duration {
	return max(window/(windowSlots-1), time.Millisecond)
}

// advance clears the slots that have left the window.
func (s *windowSum) advance(now time.Time, window time.Duration) {
	current := now.UnixNano() / int64(slotLength(window))
	for step := min(current-s.newestSlot, windowSlots); step > 0; step-- {
		s.amounts[(current-step+1)%windowSlots] = 0
	}
	s.newestSlot = max(s.newestSlot, current)
}

// add adds an amount to the newest slot. Negative amounts are refunds.
func (s *windowSum) add(now time.Time, window time.Duration, amount float64) {
	s.advance(now, window)
	s.amounts[s.newestSlot%windowSlots] += amount
}

// scale multiplies all amounts by the factor.
func (s *windowSum) scale(factor float64) {
	for i := range s.amounts {
		s.amounts[i] *= factor
	}
}

// total returns the sum of the amounts within the window.
func (s *windowSum) total(now time.Time, window time.Duration) float64 {
	s.advance(now, window)
	sum := 0.0
	for _, amount := range s.amounts {
		sum += amount
	}
	return sum
}

// timeUntilBelow returns how long it takes until the sum falls below the limit, or 0 if it is below
// it already.
func (s *windowSum) timeUntilBelow(now time.Time, window time.Duration, limit float64) time.Duration {
	if window <= 0 {
		return 0
	}
	sum := s.total(now, window)
	if sum < limit {
		return 0
	}
	// The oldest slots leave the window first.
	for age := int64(windowSlots - 1); age >= 0; age-- {
		slot := s.newestSlot - age
		sum -= s.amounts[(slot+windowSlots)%windowSlots]
		if sum < limit {
			slotEnd := time.Unix(0, (slot+windowSlots)*int64(slotLength(window)))
			return max(slotEnd.Sub(now), time.Millisecond)
		}
	}
	return window
}
