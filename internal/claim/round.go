package claim

// Decision is the outcome of one attempt's claim.
type Decision uint8

// The decisions.
const (
	// Undecided means that answers are still to come.
	Undecided Decision = iota
	// Won means that a majority granted: the attempt may dispatch, once.
	Won
	// Duplicate means that another attempt owns the key on some holder.
	Duplicate
	// Refused means that no majority can grant and that no holder granted:
	// this attempt did not run, but an earlier one of the same key may have.
	Refused
	// Retry means that no holder granted because the assignment has moved on;
	// the same attempt may ask again under the newer one.
	Retry
	// Unavailable means that too few holders answered.
	Unavailable
)

// Round collects the verdicts of one attempt under one assignment.
type Round struct {
	holders  int
	granted  int
	taken    int
	moved    int
	final    int
	silent   int
	verdicts []Verdict
}

// NewRound returns a round over the given number of holders.
func NewRound(holders int) *Round { return &Round{holders: holders} }

// Majority returns how many grants win.
func (r *Round) Majority() int { return r.holders/2 + 1 }

// Answer takes one holder's verdict.
func (r *Round) Answer(verdict Verdict) {
	r.verdicts = append(r.verdicts, verdict)
	switch verdict {
	case Granted:
		r.granted++
	case Taken:
		r.taken++
	case WrongAssignment, Sealed:
		r.moved++
	default:
		r.final++
	}
}

// Silent notes that a holder did not answer in time. It may have granted.
func (r *Round) Silent() { r.silent++ }

// Decide returns the decision so far. It is Undecided only while answers are missing.
func (r *Round) Decide() Decision {
	if r.granted >= r.Majority() {
		return Won
	}
	outstanding := r.holders - r.granted - r.taken - r.moved - r.final - r.silent
	if r.granted+outstanding >= r.Majority() {
		return Undecided
	}
	switch {
	case r.taken > 0:
		return Duplicate
	case r.final > 0:
		return Refused
	case r.moved > 0:
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
