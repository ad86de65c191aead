package wire

import "time"

// AgeToMillis encodes an age for a message in whole milliseconds. It rounds up, so that the
// receiver never takes anything for newer than it is.
func AgeToMillis(age time.Duration) uint64 { return uint64(max(age.Milliseconds(), 0)) + 1 }

// AgeFromMillis decodes an age from a message.
func AgeFromMillis(millis uint64) time.Duration { return time.Duration(millis) * time.Millisecond }
