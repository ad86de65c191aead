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
	// Expired weights must not begin a request any more.
	Expired
)

// target is the newest named version of a model's weights.
type target struct {
	version uint64
	// deadlines tell, in the order of versions, from when on the versions before
	// each are old and expired.
	deadlines []deadline
}

// deadline says that versions below version are expired from at on.
type deadline struct {
	version uint64
	at      time.Time
	// oldFrom is when older versions stop being as good as new ones.
	oldFrom time.Time
}

// maxDeadlines bounds the deadlines kept of a model; the earliest are joined.
const maxDeadlines = 64

// Weights holds the newest named version of each model's weights. It is not
// safe for concurrent use.
type Weights struct {
	targets map[string]*target
}

// NewWeights returns an empty table.
func NewWeights() *Weights { return &Weights{targets: map[string]*target{}} }

// Name notes that the version was named and from when on older ones are old and
// expired. Versions only rise; it returns false for others.
func (w *Weights) Name(model string, version uint64, old, expired time.Time) bool {
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
	known.deadlines = append(known.deadlines, deadline{version, expired, old})
	return true
}

// mergeFirst joins the two earliest deadlines. What is joined expires with the
// earlier one: never too late, and exactly so once both have passed.
func (t *target) mergeFirst() {
	first := t.deadlines[0]
	t.deadlines = t.deadlines[1:]
	t.deadlines[0].at, t.deadlines[0].oldFrom = first.at, first.oldFrom
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

// State tells whether weights of the version may begin a request.
func (w *Weights) State(now time.Time, model string, version uint64) WeightsState {
	known := w.targets[model]
	if known == nil || version >= known.version {
		return Current
	}
	state := Replaced
	for _, d := range known.deadlines {
		if version >= d.version {
			continue
		}
		if !now.Before(d.at) {
			return Expired
		}
		if !now.Before(d.oldFrom) {
			state = Old
		}
	}
	return state
}

// ExpiresAt returns from when on weights of the version must not begin a request
// any more: the earliest deadline of those that newer versions brought, zero when
// the version is the newest.
func (w *Weights) ExpiresAt(model string, version uint64) time.Time {
	known := w.targets[model]
	if known == nil {
		return time.Time{}
	}
	var earliest time.Time
	for _, d := range known.deadlines {
		if version < d.version && (earliest.IsZero() || d.at.Before(earliest)) {
			earliest = d.at
		}
	}
	return earliest
}
