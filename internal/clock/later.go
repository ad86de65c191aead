package clock

import "time"

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Earlier returns the earlier one of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
