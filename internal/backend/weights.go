package backend

import "time"

// WeightsState is how a version of weights stands to the newest named one.
type WeightsState uint8

// The states of weights.
const (
	// Current weights are the newest named, or newer.
	Current WeightsState = iota
	// Replaced weights may still be used for a while.
	Replaced
	// Expired weights must not begin a request any more.
	Expired
)

// target is the newest named version of a model's weights.
type target struct {
	version uint64
	// oldest names, for each older version, the moment from which it is expired:
	// the deadline of the first version named after it.
	deadlines []deadline
}

// deadline says that versions below version are expired from at on.
type deadline struct {
	version uint64
	at      time.Time
}

// maxDeadlines bounds the versions remembered of a model; the earliest are kept,
// as theirs come first.
const maxDeadlines = 64

// Weights holds the newest named version of each model's weights. It is not
// safe for concurrent use.
type Weights struct {
	targets map[string]*target
}

// NewWeights returns an empty table.
func NewWeights() *Weights { return &Weights{targets: map[string]*target{}} }

// Name notes that the version was named and that older ones are expired from
// the moment on. Versions only rise; it returns false for others.
func (w *Weights) Name(model string, version uint64, expired time.Time) bool {
	known := w.targets[model]
	if known == nil {
		known = &target{}
		w.targets[model] = known
	}
	if version <= known.version {
		return false
	}
	known.version = version
	if len(known.deadlines) < maxDeadlines {
		known.deadlines = append(known.deadlines, deadline{version, expired})
	}
	return true
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
	for _, d := range known.deadlines {
		if version < d.version && !now.Before(d.at) {
			return Expired
		}
	}
	return Replaced
}

// FirstDeadline returns the moment at which the version expires.
func (w *Weights) FirstDeadline(model string, version uint64) (time.Time, bool) {
	known := w.targets[model]
	if known == nil {
		return time.Time{}, false
	}
	for _, d := range known.deadlines {
		if version < d.version {
			return d.at, true
		}
	}
	return time.Time{}, false
}
