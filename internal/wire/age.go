package wire

import "time"

// AgeMillis is an age as messages tell it: whole milliseconds, rounded up, so that nothing
// is taken for newer than it is.
func AgeMillis(age time.Duration) uint64 { return uint64(max(age.Milliseconds(), 0)) + 1 }

// Age is the age that a message tells in milliseconds.
func Age(millis uint64) time.Duration { return time.Duration(millis) * time.Millisecond }
