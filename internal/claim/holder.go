// Package claim ensures that an unrepeatable request runs at most once.
//
// Each unrepeatable request carries a key with its issue time. Before dispatch, an attempt must
// claim the key at a majority of the claim holders, which are listed in a numbered assignment.
// Holders keep the claims in memory only. Each holder knows its horizon, the time since which
// its records are complete, and refuses keys that were issued before it.
//
// The package performs no I/O, does not read the clock and starts no goroutines. spec/claim.pml
// is a formal model of it.
package claim

import (
	"time"
)

// Durations of the protocol.
const (
	// MaxClockSkew is the assumed maximum difference between the clocks of any two routers. If
	// it is exceeded, a key could be granted twice around a restart of holders. The clocks of
	// callers are not trusted: a key from a clock that is ahead by more than MaxClockSkew is
	// refused, and a key from a clock that is behind is merely refused earlier.
	MaxClockSkew = 500 * time.Millisecond
	// Retention is how long a claim is remembered after its key was issued.
	Retention = 10 * time.Minute
	// pruneInterval is the minimum time between two removals of expired claims.
	pruneInterval = 10 * time.Second
)

// firstAssignment is the number of the first assignment of a cluster.
const firstAssignment = 1

// MaxRecords limits the claims that a holder remembers. A full holder grants no more claims.
const MaxRecords = 1 << 20

// Verdict is the response of a holder to a claim.
type Verdict uint8

// The verdicts. Only Granted counts towards a majority. All others are final for this holder
// and attempt, except WrongAssignment and Sealed, after which the same attempt may claim the
// key under a newer assignment.
const (
	// Granted means that the attempt now owns the key at this holder.
	Granted Verdict = iota + 1
	// Taken means that another attempt owns the key at this holder.
	Taken
	// BeforeHorizon means that the key may have been issued before the holder's horizon.
	BeforeHorizon
	// Expired means that the key was issued longer than Retention ago.
	Expired
	// IssuedInFuture means that the key's issue time is ahead of the holder's clock by more
	// than MaxClockSkew.
	IssuedInFuture
	// WrongAssignment means that the holder does not serve the requested assignment.
	WrongAssignment
	// Sealed means that the holder no longer grants claims under the requested assignment.
	Sealed
	// Full means that the holder has reached MaxRecords.
	Full
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := []string{"none", "granted", "taken", "before horizon", "expired", "from the future", "wrong assignment", "sealed", "full"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// Record is one remembered claim.
type Record struct {
	Key string
	// Attempt is the name of the attempt that owns the key.
	Attempt string
	// IssuedAt is the issue time of the key.
	IssuedAt time.Time
}

// claimEntry is the value stored for a claimed key.
type claimEntry struct {
	attempt  string
	issuedAt time.Time
}

// Holder is the state of one claim holder. It is not safe for concurrent use.
type Holder struct {
	assignment uint64
	// sealed is true once Seal was called for the assignment; no more claims are granted then.
	sealed bool
	// serving is true if Serve was called for the assignment.
	serving bool
	// installed is true if the records were taken over with Install, and false if they started
	// empty.
	installed bool
	// horizon is the time since which the records are complete.
	horizon   time.Time
	records   map[string]claimEntry
	nextPrune time.Time
}

// NewHolder returns a holder that serves no assignment yet.
func NewHolder() *Holder { return &Holder{records: map[string]claimEntry{}} }

// Serve starts serving an assignment that lists this process. Unless Install was called for the
// same assignment, the records start empty and the horizon is now: every claim under an older
// assignment was granted before now, so its key is before the horizon and cannot be granted
// again. Nothing was granted before the first assignment, so its records are complete from the
// start.
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

// Install takes over the records of a sealed assignment for its successor. It returns false if
// the holder already has this assignment or a newer one.
func (h *Holder) Install(assignment uint64, horizon time.Time, records []Record) bool {
	if assignment <= h.assignment {
		return false
	}
	h.reset(assignment)
	h.installed = true
	h.horizon = horizon
	for _, record := range records {
		h.records[record.Key] = claimEntry{record.Attempt, record.IssuedAt}
	}
	return true
}

func (h *Holder) reset(assignment uint64) {
	h.assignment = assignment
	h.sealed = false
	h.serving = false
	h.installed = false
	h.records = map[string]claimEntry{}
}

// Retire stops granting claims if the assignment is newer than the holder's own. It is called
// when the assignment does not list this holder.
func (h *Holder) Retire(assignment uint64) {
	if assignment > h.assignment {
		h.reset(assignment)
	}
}

// Seal permanently stops granting claims under the assignment and returns the horizon and the
// records. It returns false if the holder has never served the assignment or serves a newer
// one.
//
// A holder that has installed the records of a later assignment, which is not yet in force,
// returns these. It no longer grants claims under the old assignment, and the installed records
// include everything it knew. Otherwise a change of holders that failed between Install and the
// write to the platform could not be retried.
func (h *Holder) Seal(assignment uint64) (horizon time.Time, records []Record, sealed bool) {
	installedNext := assignment < h.assignment && !h.serving && h.installed
	if !installedNext && (assignment != h.assignment || !h.serving) {
		return time.Time{}, nil, false
	}
	h.sealed = h.sealed || !installedNext
	records = make([]Record, 0, len(h.records))
	for key, record := range h.records {
		records = append(records, Record{Key: key, Attempt: record.attempt, IssuedAt: record.issuedAt})
	}
	return h.horizon, records, true
}

// Claim decides on one attempt's claim to a key that was issued at issuedAt.
//
// Invariant: under one assignment, a holder grants a key to only one attempt, and a repeated
// claim by the same attempt gets the same verdict.
func (h *Holder) Claim(now time.Time, assignment uint64, key string, issuedAt time.Time, attempt string) Verdict {
	if assignment != h.assignment || !h.serving {
		return WrongAssignment
	}
	if existing, found := h.records[key]; found {
		if existing.attempt == attempt {
			return Granted
		}
		return Taken
	}
	if h.sealed {
		return Sealed
	}
	return h.grant(now, key, issuedAt, attempt)
}

func (h *Holder) grant(now time.Time, key string, issuedAt time.Time, attempt string) Verdict {
	switch {
	case !issuedAt.After(h.horizon.Add(MaxClockSkew)):
		return BeforeHorizon
	case issuedAt.After(now.Add(MaxClockSkew)):
		return IssuedInFuture
	case !issuedAt.After(now.Add(-Retention)):
		return Expired
	}
	h.prune(now)
	if len(h.records) >= MaxRecords {
		return Full
	}
	h.records[key] = claimEntry{attempt, issuedAt}
	return Granted
}

// prune removes claims whose keys would be refused as expired. It keeps them for another
// 2*MaxClockSkew, so that no holder with a slower clock can still grant them.
func (h *Holder) prune(now time.Time) {
	if now.Before(h.nextPrune) {
		return
	}
	h.nextPrune = now.Add(pruneInterval)
	oldest := now.Add(-Retention - 2*MaxClockSkew)
	for key, record := range h.records {
		if record.issuedAt.Before(oldest) {
			delete(h.records, key)
		}
	}
}

// Len returns the number of remembered claims.
func (h *Holder) Len() int { return len(h.records) }

// Assignment returns the number of the holder's assignment, and whether the holder grants
// claims under it.
func (h *Holder) Assignment() (number uint64, granting bool) {
	return h.assignment, h.serving && !h.sealed
}
