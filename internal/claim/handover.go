package claim

import (
	"time"
)

// SealAnswer is one old holder's part in a change of holders.
type SealAnswer struct {
	// Gone is true when the holder's process is known to have ended: its node
	// runs under a newer incarnation, or the machine list no longer shows it.
	// A holder that merely does not answer is not gone.
	Gone    bool
	Sealed  bool
	Horizon time.Time
	Records []Record
}

// noAttempt owns the claims taken over from an older assignment: every attempt
// that asks for them is refused.
const noAttempt = ""

// Handover is the memory that the next assignment starts with.
type Handover struct {
	Horizon time.Time
	Records []Record
}

// NewHandover merges the answers of the old holders at the given time. It
// returns false when the old assignment may still grant: that is, unless a
// majority of its holders has sealed or is gone.
//
// Invariant: a key granted by a majority of the old assignment is either in
// the merged records or not after the merged horizon plus the clock bound. A
// majority of sealed memories shares a holder with every granting majority. If
// gone holders are needed to make up the majority, their memory is lost, and
// the horizon moves to now.
func NewHandover(now time.Time, answers []SealAnswer) (Handover, bool) {
	majority := len(answers)/2 + 1
	sealed, gone := 0, 0
	handover := Handover{}
	merged := map[string]bool{}
	for _, answer := range answers {
		if answer.Gone {
			gone++
			continue
		}
		if !answer.Sealed {
			continue
		}
		sealed++
		if answer.Horizon.After(handover.Horizon) {
			handover.Horizon = answer.Horizon
		}
		for _, record := range answer.Records {
			if merged[record.Key] {
				continue
			}
			merged[record.Key] = true
			// The attempt is not carried over: a single old grant must not count
			// again under the next assignment, because another attempt may have
			// had the majority without the holders that were asked.
			record.Attempt = noAttempt
			handover.Records = append(handover.Records, record)
		}
	}
	if sealed+gone < majority {
		return Handover{}, false
	}
	if sealed < majority {
		handover.Horizon = now
	}
	return handover, true
}
