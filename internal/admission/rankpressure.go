package admission

import (
	"math"
	"time"
)

// Parameters of rankPressure.
const (
	// congestionHalfLife is the half-life of a rank's measured congestion. It spans about ten
	// requests of a kind that arrives 50 times per second and is short compared to the seconds
	// that a burst lasts.
	congestionHalfLife = 250 * time.Millisecond
	// allowedCongestion is the mean congestion of a rank at which the bounds of other ranks
	// neither tighten nor relax. A few queued requests are no reason to refuse others.
	allowedCongestion = 0.02
	// tightenTime is the time in which a fully congested rank reduces the bounds of lower ranks to
	// a third. A burst fills a queue of half the latency target in a few times this duration.
	tightenTime = 50 * time.Millisecond
	// relaxTime is the time in which the bounds triple again without congestion. It is longer than
	// an admitted request stays on a runner, so that the effect of each step is observed before
	// the next.
	relaxTime = 3 * time.Second
	// minCongestedShare is the queueing time, as a share of the latency target, above which a rank
	// is congested. It is half of noSheddingShare, because requests admitted earlier still occupy
	// the runners while the bounds of other ranks tighten.
	minCongestedShare = 0.2
	// minBoundShare is the lowest mean bound that a rank leaves to lower ranks, as a share of its
	// own latency target. It is half of minCongestedShare.
	minBoundShare = 0.1
	// minRequestCount is the lowest number of recent requests that a rank's mean congestion is
	// computed with.
	minRequestCount = 5
	// pressureExpiry is the time without requests after which a rank's pressure is reset.
	pressureExpiry = 5 * relaxTime
	// minPriorityFactor is the lower bound of the factor, so that the bounds recover within a few
	// seconds.
	minPriorityFactor = 0.05
)

// rankPressure measures the congestion that requests of one rank encounter and derives the factor
// by which the bounds of lower ranks are tightened.
type rankPressure struct {
	// congestion is the decaying sum of the congestion that requests encountered, and requests is
	// their decaying count. Both are as of updatedAt.
	congestion, requests float64
	updatedAt            time.Time
	// priorityFactor is the factor applied to the bounds of lower ranks.
	priorityFactor float64
	// lastTarget is the latency target of the rank's latest request.
	lastTarget time.Duration
}

func newRankPressure(now time.Time) *rankPressure {
	return &rankPressure{updatedAt: now, priorityFactor: 1}
}

// congestionOf returns how close a request with the given queueing time is to being late. It is 0
// up to minCongestedShare of the target and 1 from fullSheddingShare on.
func congestionOf(target, queueTime time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	share := float64(queueTime) / float64(target)
	return min(max((share-minCongestedShare)/(fullSheddingShare-minCongestedShare), 0), 1)
}

// record adds the expected queueing time of one request.
func (p *rankPressure) record(now time.Time, target, queueTime time.Duration) {
	p.advance(now)
	p.lastTarget = target
	p.congestion += congestionOf(target, queueTime)
	p.requests++
}

// meanCongestion returns the mean congestion of the rank's recent requests. A rank with few
// requests counts as having sent minRequestCount, so that a single request does not close the
// runners to others.
func (p *rankPressure) meanCongestion() float64 {
	return p.congestion / math.Max(p.requests, minRequestCount)
}

// advance updates the state to now in steps that are short compared to the half-life.
func (p *rankPressure) advance(now time.Time) {
	if now.Sub(p.updatedAt) > pressureExpiry {
		*p = rankPressure{updatedAt: now, priorityFactor: 1, lastTarget: p.lastTarget}
	}
	for p.updatedAt.Before(now) {
		step := min(now.Sub(p.updatedAt), congestionHalfLife/8)
		p.updatedAt = p.updatedAt.Add(step)
		p.updateFactor(step.Seconds())
	}
}

// updateFactor reduces the factor in proportion to the congestion above the allowed level, or lets
// it recover if the congestion is below that level.
func (p *rankPressure) updateFactor(seconds float64) {
	aboveAllowed := p.meanCongestion() - allowedCongestion
	rate := aboveAllowed / tightenTime.Seconds()
	if aboveAllowed < 0 {
		rate = aboveAllowed / allowedCongestion / relaxTime.Seconds()
	}
	p.priorityFactor = min(max(p.priorityFactor*math.Exp(-rate*seconds), minPriorityFactor), 1)
	decay := math.Exp2(-seconds / congestionHalfLife.Seconds())
	p.congestion, p.requests = p.congestion*decay, p.requests*decay
}

// factorFor returns the factor for the bound of a lower-ranked request with the given latency
// target.
func (p *rankPressure) factorFor(now time.Time, target time.Duration) float64 {
	p.advance(now)
	if p.priorityFactor >= 1 || target <= 0 {
		return 1
	}
	meanBound := (noSheddingShare + fullSheddingShare) / 2 * float64(target)
	return max(p.priorityFactor, min(minBoundShare*float64(p.lastTarget)/meanBound, 1))
}
