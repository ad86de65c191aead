package claim

// Decision is the result of a round of claims for one attempt.
type Decision uint8

// The decisions.
const (
	// Undecided means that the outstanding verdicts can still decide the round.
	Undecided Decision = iota
	// Won means that a majority granted the claim. The attempt may be dispatched once.
	Won
	// Duplicate means that another attempt owns the key at some holder.
	Duplicate
	// Refused means that no majority can grant the claim, and that at least one holder refused
	// it for a reason other than a changed assignment. This attempt did not run, but an earlier
	// attempt with the same key may have run.
	Refused
	// Retry means that a majority is impossible because the assignment has changed. The same
	// attempt may claim the key again under the newer assignment.
	Retry
	// Unavailable means that too few holders responded.
	Unavailable
)

// Round collects the verdicts on one attempt's claim under one assignment.
type Round struct {
	holders int
	// granted, taken, superseded and rejected count the verdicts: Granted, Taken, a changed
	// assignment (WrongAssignment or Sealed), and all others.
	granted    int
	taken      int
	superseded int
	rejected   int
	// timedOut counts the holders that did not respond in time.
	timedOut int
	verdicts []Verdict
}

// NewRound returns a Round for the given number of holders.
func NewRound(holders int) *Round { return &Round{holders: holders} }

// Majority returns the number of grants needed to win.
func (r *Round) Majority() int { return r.holders/2 + 1 }

// AddVerdict records the verdict of one holder.
func (r *Round) AddVerdict(verdict Verdict) {
	r.verdicts = append(r.verdicts, verdict)
	switch verdict {
	case Granted:
		r.granted++
	case Taken:
		r.taken++
	case WrongAssignment, Sealed:
		r.superseded++
	default:
		r.rejected++
	}
}

// AddTimeout records that a holder did not respond in time. It may still have granted the
// claim.
func (r *Round) AddTimeout() { r.timedOut++ }

// Decide returns the current decision. It is Undecided only while verdicts are outstanding.
func (r *Round) Decide() Decision {
	if r.granted >= r.Majority() {
		return Won
	}
	outstanding := r.holders - r.granted - r.taken - r.superseded - r.rejected - r.timedOut
	if r.granted+outstanding >= r.Majority() {
		return Undecided
	}
	switch {
	case r.taken > 0:
		return Duplicate
	case r.rejected > 0:
		return Refused
	case r.superseded > 0:
		return Retry
	}
	return Unavailable
}

// Reason returns the verdict that best explains a refusal.
func (r *Round) Reason() Verdict {
	for _, verdict := range r.verdicts {
		if verdict != Granted && verdict != WrongAssignment && verdict != Sealed {
			return verdict
		}
	}
	for _, verdict := range r.verdicts {
		if verdict != Granted {
			return verdict
		}
	}
	return 0
}
