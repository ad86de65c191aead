package distance

import "time"

const (
	// windowLength is the shortest time over which a minimum is taken. A link that is slow for less
	// than this does not change its round trip; a lasting rise is followed within two windows.
	windowLength = 2 * time.Second
	// minWindowSamples is the number of samples that a window needs, so that one slow sample on a
	// link that is rarely used does not count as a lasting rise.
	minWindowSamples = 4
)

// link is the round trip to one zone: the minimum of the current and of the last full window of
// samples. Delays add to a round trip and never shorten it, so a lower sample counts at once.
type link struct {
	// last is the minimum of the last full window, if hasLast.
	last    time.Duration
	hasLast bool
	// current is the minimum of the samples since startedAt.
	current   time.Duration
	samples   int
	startedAt time.Time
}

func (l *link) record(now time.Time, roundTrip time.Duration) {
	if l.samples >= minWindowSamples && now.Sub(l.startedAt) >= windowLength {
		l.last, l.hasLast, l.samples = l.current, true, 0
	}
	if l.samples == 0 {
		l.current, l.startedAt = roundTrip, now
	}
	l.samples++
	l.current = min(l.current, roundTrip)
}

// roundTrip returns the round trip, and whether there are enough samples for one.
func (l *link) roundTrip() (time.Duration, bool) {
	if l.hasLast {
		return min(l.last, l.current), true
	}
	return l.current, l.samples >= minWindowSamples
}
