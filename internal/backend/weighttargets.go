package backend

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// WeightState is the state of a weight version relative to its model's target version.
type WeightState uint8

const (
	// Current weights have the target version or a newer one.
	Current WeightState = iota
	// InGrace weights were replaced recently and are as good as current ones.
	InGrace
	// Stale weights may still be used, but newer ones are worth a wait.
	Stale
	// Expired weights get no new requests.
	Expired
)

// modelTarget is the target version of a model's weights, with the deadlines of older
// versions. The target version is the newest version that has been named, that is, listed
// in the store as the version of its model.
type modelTarget struct {
	version uint64
	// deadlines is sorted by version. Each element holds the deadlines that one target
	// version set for the versions below it.
	deadlines []VersionDeadlines
	// replacements holds the number of the naming that replaced each version, of those whose replacement this router knows
	// to be the next version.
	replacements map[uint64]uint64
}

// Deadlines are the times at which weights change their state after a newer target version
// has been set.
type Deadlines struct {
	// StaleAt is the end of the grace period, after which newer weights are preferred.
	StaleAt time.Time
	// Expiry is when older weights stop getting requests.
	Expiry time.Time
	// WithdrawAt is when requests that were sent to older weights and have not begun are
	// withdrawn. It is not before Expiry.
	WithdrawAt time.Time
}

// VersionDeadlines are the deadlines of all weight versions below BelowVersion.
type VersionDeadlines struct {
	BelowVersion uint64
	Deadlines
}

// maxDeadlines bounds the deadlines stored for a model; those of the oldest versions are
// merged.
const maxDeadlines = 64

// WeightTargets holds the target version of each model's weights: the newest version that
// the store has listed as the version of the model. Package namings computes the deadlines
// of older versions. It is not safe for concurrent use.
type WeightTargets struct {
	targets map[string]*modelTarget
	// changes counts the changes of targets.
	changes uint64
}

// NewWeightTargets returns an empty table.
func NewWeightTargets() *WeightTargets { return &WeightTargets{targets: map[string]*modelTarget{}} }

// SetTarget sets the target version of the model and the deadlines of older versions. It
// ignores versions that are not newer than the target, and returns false for them.
func (w *WeightTargets) SetTarget(model string, version uint64, deadlines Deadlines) bool {
	target := w.targets[model]
	if target == nil {
		target = &modelTarget{replacements: map[uint64]uint64{}}
		w.targets[model] = target
	}
	if version <= target.version {
		return false
	}
	w.changes++
	if target.version > 0 && version == target.version+1 {
		target.replacements[target.version] = w.changes
		delete(target.replacements, target.version-maxDeadlines)
	}
	target.version = version
	if len(target.deadlines) == maxDeadlines {
		target.mergeOldest()
	}
	target.deadlines = append(target.deadlines, VersionDeadlines{version, deadlines})
	return true
}

// replacement returns the number of the naming that replaced the version of the model's weights, 0 if no newer version has been
// named. It returns false if another version may have been named before that.
func (w *WeightTargets) replacement(model string, version uint64) (number uint64, known bool) {
	target := w.targets[model]
	if target == nil || version >= target.version {
		return 0, true
	}
	number, known = target.replacements[version]
	return number, known
}

// SetDeadlines replaces the deadlines of the model's older versions, sorted by version,
// when it has become known more precisely when newer versions were named.
func (w *WeightTargets) SetDeadlines(model string, deadlines []VersionDeadlines) {
	if target := w.targets[model]; target != nil {
		target.deadlines = deadlines
	}
}

// mergeOldest merges the deadlines of the two oldest versions. The result has the earlier
// of each deadline, so no weights are used for too long, and it is exact once both have
// passed.
func (t *modelTarget) mergeOldest() {
	first := t.deadlines[0]
	t.deadlines = t.deadlines[1:]
	t.deadlines[0].Deadlines = first.earliest(t.deadlines[0].Deadlines)
}

// earliest returns the earlier of each pair of deadlines.
func (d Deadlines) earliest(other Deadlines) Deadlines {
	return Deadlines{
		StaleAt:    clock.Earlier(d.StaleAt, other.StaleAt),
		Expiry:     clock.Earlier(d.Expiry, other.Expiry),
		WithdrawAt: clock.Earlier(d.WithdrawAt, other.WithdrawAt),
	}
}

// Targets returns the target version of each model.
func (w *WeightTargets) Targets() map[string]uint64 {
	versions := map[string]uint64{}
	for model, target := range w.targets {
		versions[model] = target.version
	}
	return versions
}

// Target returns the target version of the model, 0 if it has none.
func (w *WeightTargets) Target(model string) uint64 {
	if target := w.targets[model]; target != nil {
		return target.version
	}
	return 0
}

// State returns the state of weights of the version, which determines whether they may get
// a request.
func (w *WeightTargets) State(now time.Time, model string, version uint64) WeightState {
	target := w.targets[model]
	if target == nil || version >= target.version {
		return Current
	}
	state := InGrace
	for _, d := range target.deadlines {
		if version >= d.BelowVersion {
			continue
		}
		if !now.Before(d.Expiry) {
			return Expired
		}
		if !now.Before(d.StaleAt) {
			state = Stale
		}
	}
	return state
}

// MayBegin reports whether a request that was sent to weights of the version may still
// begin on them.
func (w *WeightTargets) MayBegin(now time.Time, model string, version uint64) bool {
	target := w.targets[model]
	if target == nil {
		return true
	}
	for _, d := range target.deadlines {
		if version < d.BelowVersion && !now.Before(d.WithdrawAt) {
			return false
		}
	}
	return true
}

// ExpiresAt returns when weights of the version stop getting requests: the earliest expiry
// set by newer versions, or the zero time if there is none.
func (w *WeightTargets) ExpiresAt(model string, version uint64) time.Time {
	target := w.targets[model]
	if target == nil {
		return time.Time{}
	}
	var earliest time.Time
	for _, d := range target.deadlines {
		if version < d.BelowVersion && (earliest.IsZero() || d.Expiry.Before(earliest)) {
			earliest = d.Expiry
		}
	}
	return earliest
}
