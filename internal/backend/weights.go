package backend

import "time"

// WeightsState is how a version of weights stands to the newest named one.
type WeightsState uint8

// The states of weights.
const (
	// Current weights are the newest named, or newer.
	Current WeightsState = iota
	// Replaced weights were replaced a moment ago and are as good as new ones.
	Replaced
	// Old weights may still be used, but newer ones are worth a wait.
	Old
	// Expired weights get no requests any more.
	Expired
)

// target is the newest named version of a model's weights.
type target struct {
	version uint64
	// deadlines tell, in the order of versions, from when on the versions before
	// each are old and expired.
	deadlines []VersionDeadlines
}

// Deadlines tell what a named version means for weights before it.
type Deadlines struct {
	// Old is when they stop being as good as new ones.
	Old time.Time
	// Expired is when they get no requests any more.
	Expired time.Time
	// Unbegun is when requests sent to them that have not begun are withdrawn. It is
	// not before Expired.
	Unbegun time.Time
}

// VersionDeadlines are the deadlines of weights of versions below one.
type VersionDeadlines struct {
	Below uint64
	Deadlines
}

// maxDeadlines bounds the deadlines kept of a model; those of the earliest versions are
// joined.
const maxDeadlines = 64

// Weights holds the newest named version of each model's weights. It is not
// safe for concurrent use.
type Weights struct {
	targets map[string]*target
}

// NewWeights returns an empty table.
func NewWeights() *Weights { return &Weights{targets: map[string]*target{}} }

// Name notes that the version was named with the deadlines of older ones. Versions
// only rise; it returns false for others.
func (w *Weights) Name(model string, version uint64, deadlines Deadlines) bool {
	known := w.targets[model]
	if known == nil {
		known = &target{}
		w.targets[model] = known
	}
	if version <= known.version {
		return false
	}
	known.version = version
	if len(known.deadlines) == maxDeadlines {
		known.mergeFirst()
	}
	known.deadlines = append(known.deadlines, VersionDeadlines{version, deadlines})
	return true
}

// SetDeadlines replaces the deadlines of the model's older versions, in the order of
// versions, as more has become known of when the newer ones were named.
func (w *Weights) SetDeadlines(model string, deadlines []VersionDeadlines) {
	if known := w.targets[model]; known != nil {
		known.deadlines = deadlines
	}
}

// mergeFirst joins the two earliest versions' deadlines. What is joined has the earlier of
// each: never too late, and exactly so once both have passed.
func (t *target) mergeFirst() {
	first := t.deadlines[0]
	t.deadlines = t.deadlines[1:]
	t.deadlines[0].Deadlines = first.earlier(t.deadlines[0].Deadlines)
}

// earlier returns the earlier of each of the deadlines.
func (d Deadlines) earlier(other Deadlines) Deadlines {
	return Deadlines{
		Old:     earlierTime(d.Old, other.Old),
		Expired: earlierTime(d.Expired, other.Expired),
		Unbegun: earlierTime(d.Unbegun, other.Unbegun),
	}
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Named returns the newest named version of each model.
func (w *Weights) Named() map[string]uint64 {
	named := map[string]uint64{}
	for model, known := range w.targets {
		named[model] = known.version
	}
	return named
}

// Target returns the newest named version of the model, 0 when there is none.
func (w *Weights) Target(model string) uint64 {
	if known := w.targets[model]; known != nil {
		return known.version
	}
	return 0
}

// State tells whether weights of the version may get a request.
func (w *Weights) State(now time.Time, model string, version uint64) WeightsState {
	known := w.targets[model]
	if known == nil || version >= known.version {
		return Current
	}
	state := Replaced
	for _, d := range known.deadlines {
		if version >= d.Below {
			continue
		}
		if !now.Before(d.Expired) {
			return Expired
		}
		if !now.Before(d.Old) {
			state = Old
		}
	}
	return state
}

// MayBegin tells whether a request that was sent to weights of the version may still
// begin on them.
func (w *Weights) MayBegin(now time.Time, model string, version uint64) bool {
	known := w.targets[model]
	if known == nil {
		return true
	}
	for _, d := range known.deadlines {
		if version < d.Below && !now.Before(d.Unbegun) {
			return false
		}
	}
	return true
}

// ExpiresAt returns from when on weights of the version get no requests any more: the
// earliest deadline that newer versions brought, zero when there is none.
func (w *Weights) ExpiresAt(model string, version uint64) time.Time {
	known := w.targets[model]
	if known == nil {
		return time.Time{}
	}
	var earliest time.Time
	for _, d := range known.deadlines {
		if version < d.Below && (earliest.IsZero() || d.Expired.Before(earliest)) {
			earliest = d.Expired
		}
	}
	return earliest
}
