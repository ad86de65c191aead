package claim

import (
	"time"
)

// SealResult is the result of sealing one old holder during a change of holders. The zero value
// stands for a holder that did not respond.
type SealResult struct {
	// Ended is true if the holder's process is known to have ended: its node runs a newer
	// incarnation, or is no longer in the machine list. A holder that merely does not respond
	// has not ended.
	Ended bool
	// Sealed is true if the holder was sealed. Horizon and Records are then those that Seal
	// returned.
	Sealed  bool
	Horizon time.Time
	Records []Record
}

// noOwner owns the records carried over from an older assignment. No attempt has this name, so
// every attempt to claim their keys is refused.
const noOwner = ""

// Handover is the state with which the holders of the next assignment start.
type Handover struct {
	Horizon time.Time
	Records []Record
}

// NewHandover merges the results of sealing the old holders. It returns false if the old
// assignment may still grant claims, which is the case unless a majority of its holders is
// sealed or has ended.
//
// Invariant: a key granted by a majority of the old assignment is either in the merged records
// or was not issued after the merged horizon plus MaxClockSkew. Any majority of sealed holders
// has a holder in common with every majority that granted a key. If ended holders are needed
// for the majority, their records are lost, and the horizon moves to now.
func NewHandover(now time.Time, results []SealResult) (Handover, bool) {
	majority := len(results)/2 + 1
	sealed, ended := 0, 0
	handover := Handover{}
	seenKeys := map[string]bool{}
	for _, result := range results {
		if result.Ended {
			ended++
			continue
		}
		if !result.Sealed {
			continue
		}
		sealed++
		if result.Horizon.After(handover.Horizon) {
			handover.Horizon = result.Horizon
		}
		for _, record := range result.Records {
			if seenKeys[record.Key] {
				continue
			}
			seenKeys[record.Key] = true
			// The owner is not carried over. A single old grant must not count again under the
			// next assignment, because another attempt may have won a majority that did not
			// include the sealed holders.
			record.Attempt = noOwner
			handover.Records = append(handover.Records, record)
		}
	}
	if sealed+ended < majority {
		return Handover{}, false
	}
	if sealed < majority {
		handover.Horizon = now
	}
	return handover, true
}
