package versionrollout

import "math"

// Confidence of the comparison of two versions, in standard deviations.
const (
	// condemnDeviations is used at each check during the rollout, of which there are many.
	condemnDeviations = 3
	// finalDeviations is used for the one decision to move all traffic.
	finalDeviations = 2
)

// minBadAnswers is the number of bad answers below which a version is not condemned: among many
// checks, a few bad answers in a row come about by chance.
const minBadAnswers = 4

// toleratedShare is the difference in the share of bad answers that is never held against the
// target version.
const toleratedShare = 0.02

// wilson returns the bounds of the Wilson score interval for the share of bad answers. Without
// answers nothing is known, and the bounds are 0 and 1.
func (t Tally) wilson(deviations float64) (low, high float64) {
	if t.Answers == 0 {
		return 0, 1
	}
	n, share, z2 := float64(t.Answers), float64(t.Bad)/float64(t.Answers), deviations*deviations
	centre := (share + z2/(2*n)) / (1 + z2/n)
	half := deviations / (1 + z2/n) * math.Sqrt(share*(1-share)/n+z2/(4*n*n))
	return centre - half, centre + half
}

// isTargetWorse reports whether the target version gave more bad answers than the old version did in
// the same time. An old version that is as bad, as when a dependency of both fails, is no
// evidence against the target.
func (t RouteTally) isTargetWorse(deviations float64) bool {
	if t.Target.Bad < minBadAnswers {
		return false
	}
	low, _ := t.Target.wilson(deviations)
	_, high := t.Old.wilson(deviations)
	return low > high+toleratedShare
}
