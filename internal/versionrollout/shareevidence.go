package versionrollout

import "math"

// Confidence of the comparison of two versions, in standard deviations.
const (
	// condemnDeviations is used at each check during the rollout, of which there are many.
	condemnDeviations = 3
	// finalDeviations is used for the one decision to move all traffic.
	finalDeviations = 2
)

// shareMinBadAnswers is the number of bad answers below which a version is not condemned: among many
// checks, a few bad answers in a row come about by chance.
const shareMinBadAnswers = 4

// shareTolerance is the difference in the share of bad answers that is never held against the
// target version.
const shareTolerance = 0.02

// shareWilson returns the bounds of the Wilson score interval for the share of bad answers. Without
// answers nothing is known, and the bounds are 0 and 1.
func (t Tally) shareWilson(deviations float64) (low, high float64) {
	if t.Answers == 0 {
		return 0, 1
	}
	n, share, z2 := float64(t.Answers), float64(t.Bad)/float64(t.Answers), deviations*deviations
	centre := (share + z2/(2*n)) / (1 + z2/n)
	half := deviations / (1 + z2/n) * math.Sqrt(share*(1-share)/n+z2/(4*n*n))
	return centre - half, centre + half
}

// shareIsTargetWorse reports whether the target version gave more bad answers than the old version did in
// the same time. An old version that is as bad, as when a dependency of both fails, is no
// evidence against the target.
func (t RouteTally) shareIsTargetWorse(deviations float64) bool {
	if t.Target.Bad < shareMinBadAnswers {
		return false
	}
	low, _ := t.Target.shareWilson(deviations)
	_, high := t.Old.shareWilson(deviations)
	return low > high+shareTolerance
}
