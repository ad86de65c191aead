// Package claim makes a request that may not be repeated run at most once.
//
// An unrepeatable request carries a key with its issue time. Before dispatch an
// attempt takes a claim on the key from a majority of the claim holders of a
// numbered assignment. Holders keep claims in memory only; each knows the
// horizon since which its memory is complete and refuses keys from before it.
//
// The package has no I/O, clock or goroutines. spec/claim.pml models it.
package claim

import (
	"time"
)

// Times of the protocol.
const (
	// ClockBound is the assumed greatest difference between the clocks of any two
	// routers. If it does not hold, a key could be granted twice around a restart
	// of holders. Callers' clocks are not trusted: a key from a clock that runs
	// ahead by more than the bound is refused, and one from a clock that runs
	// behind is only refused sooner.
	ClockBound = 500 * time.Millisecond
	// Retention is how long a claim is remembered after its key was issued.
	Retention = 10 * time.Minute
	// pruneInterval is the least time between two removals of old claims.
	pruneInterval = 10 * time.Second
)

// firstAssignment is the number of the assignment made when there was none.
const firstAssignment = 1

// MaxRecords bounds the claims a holder remembers. A full holder grants no more.
const MaxRecords = 1 << 20

// Verdict is a holder's answer to a claim.
type Verdict uint8

// The verdicts. Only Granted counts towards a majority; all others are final
// for the holder and the attempt, except WrongAssignment and Sealed, which say
// that the same attempt may ask again under a newer assignment.
const (
	// Granted means that the attempt now owns the key on this holder.
	Granted Verdict = iota + 1
	// Taken means that another attempt owns the key on this holder.
	Taken
	// BeforeHorizon means that the key is older than the holder's memory.
	BeforeHorizon
	// Expired means that the key is older than the retention time.
	Expired
	// FromFuture means that the key's issue time is ahead of the clock bound.
	FromFuture
	// WrongAssignment means that the holder does not serve the named assignment.
	WrongAssignment
	// Sealed means that the holder stopped granting for the named assignment.
	Sealed
	// Full means that the holder's memory is used up.
	Full
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := []string{"none", "granted", "taken", "before horizon", "expired", "from the future", "wrong assignment", "sealed", "full"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// Record is one remembered claim.
type Record struct {
	Key     string
	Attempt string
	Issued  time.Time
}

// claimed is a Record without its key.
type claimed struct {
	attempt string
	issued  time.Time
}

// Holder is the state of one claim holder. It is not safe for concurrent use.
type Holder struct {
	assignment uint64
	sealed     bool
	serving    bool
	// installed is true when the memory was taken over and not begun anew.
	installed bool
	// horizon is the moment since which the memory is complete.
	horizon   time.Time
	records   map[string]claimed
	nextPrune time.Time
}

// NewHolder returns a holder that serves no assignment yet.
func NewHolder() *Holder { return &Holder{records: map[string]claimed{}} }

// Serve starts serving an assignment in which this process is listed. Without
// an earlier Install for the same number its memory starts now: every claim
// granted under older assignments was granted before now, so their keys are
// before the horizon and none of them can be granted again. Before the first
// assignment nothing was granted, so its memory is complete from the start.
func (h *Holder) Serve(now time.Time, assignment uint64) {
	if assignment < h.assignment || (assignment == h.assignment && h.serving) {
		return
	}
	if assignment > h.assignment {
		h.reset(assignment)
		h.horizon = now
		if assignment == firstAssignment {
			h.horizon = time.Time{}
		}
	}
	h.serving = true
}

// Install takes over the memory of a sealed assignment for the one that
// follows it. It returns false when the holder is already past it.
func (h *Holder) Install(assignment uint64, horizon time.Time, records []Record) bool {
	if assignment <= h.assignment {
		return false
	}
	h.reset(assignment)
	h.installed = true
	h.horizon = horizon
	for _, record := range records {
		h.records[record.Key] = claimed{record.Attempt, record.Issued}
	}
	return true
}

func (h *Holder) reset(assignment uint64) {
	h.assignment = assignment
	h.sealed = false
	h.serving = false
	h.installed = false
	h.records = map[string]claimed{}
}

// Retire stops granting when an assignment newer than the holder's own does
// not list it.
func (h *Holder) Retire(assignment uint64) {
	if assignment > h.assignment {
		h.reset(assignment)
	}
}

// Seal stops granting for the assignment for good and returns the memory. It
// returns false when the holder does not serve the assignment, and never did,
// or serves a newer one.
//
// A holder that has taken over memory for a later assignment which is not in
// force yet answers with that memory: it no longer grants for the old one, and
// what it took over covers what it knew. Without this, a change of holders that
// failed between Install and the platform's write could not be tried again.
func (h *Holder) Seal(assignment uint64) (horizon time.Time, records []Record, sealed bool) {
	tookOver := assignment < h.assignment && !h.serving && h.installed
	if !tookOver && (assignment != h.assignment || !h.serving) {
		return time.Time{}, nil, false
	}
	h.sealed = h.sealed || !tookOver
	records = make([]Record, 0, len(h.records))
	for key, record := range h.records {
		records = append(records, Record{Key: key, Attempt: record.attempt, Issued: record.issued})
	}
	return h.horizon, records, true
}

// Claim answers one attempt's claim on a key issued at the given time.
//
// Invariant: under one assignment a holder grants a key to one attempt only,
// and a repeated ask of the same attempt gets the same answer.
func (h *Holder) Claim(now time.Time, assignment uint64, key string, issued time.Time, attempt string) Verdict {
	if assignment != h.assignment || !h.serving {
		return WrongAssignment
	}
	if known, found := h.records[key]; found {
		if known.attempt == attempt {
			return Granted
		}
		return Taken
	}
	if h.sealed {
		return Sealed
	}
	return h.grant(now, key, issued, attempt)
}

func (h *Holder) grant(now time.Time, key string, issued time.Time, attempt string) Verdict {
	switch {
	case !issued.After(h.horizon.Add(ClockBound)):
		return BeforeHorizon
	case issued.After(now.Add(ClockBound)):
		return FromFuture
	case !issued.After(now.Add(-Retention)):
		return Expired
	}
	h.prune(now)
	if len(h.records) >= MaxRecords {
		return Full
	}
	h.records[key] = claimed{attempt, issued}
	return Granted
}

// prune forgets claims whose keys are refused as expired by now. The clock
// bound is added so that no holder with a slower clock still grants them.
func (h *Holder) prune(now time.Time) {
	if now.Before(h.nextPrune) {
		return
	}
	h.nextPrune = now.Add(pruneInterval)
	oldest := now.Add(-Retention - 2*ClockBound)
	for key, record := range h.records {
		if record.issued.Before(oldest) {
			delete(h.records, key)
		}
	}
}

// Len returns the number of remembered claims.
func (h *Holder) Len() int { return len(h.records) }

// Assignment returns the number served and whether the holder grants for it.
func (h *Holder) Assignment() (number uint64, granting bool) {
	return h.assignment, h.serving && !h.sealed
}
