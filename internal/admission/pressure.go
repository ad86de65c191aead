package admission

import (
	"math"
	"time"
)

// Times and shares of pressure.
const (
	// pressureHalfLife is the half-life of the observed strain of a rank: long enough
	// to see some ten requests of a kind that comes fifty times a second, short against
	// the seconds that a burst lasts.
	pressureHalfLife = 250 * time.Millisecond
	// allowedPressure is the mean strain of a rank at which others neither give way nor
	// come back: a few that queue are no reason to refuse others.
	allowedPressure = 0.02
	// tightenTime is how long it takes a rank under full strain to cut the bounds of those
	// behind it to a third: a burst fills a queue of half a target in some such times.
	tightenTime = 50 * time.Millisecond
	// relaxTime is how long it takes the bounds to grow threefold under no strain: longer
	// than what was let in stays at a runner, so that each step is seen before the next.
	relaxTime = 3 * time.Second
	// firstStrain is the queue, in shares of the target, from which a rank is strained:
	// half of the one at which its first requests are refused, as what was let in before
	// goes on to be worked on while the others give way.
	firstStrain = 0.2
	// minBoundShare is the shortest mean bound that a rank leaves to those behind it, as a
	// share of its own target: half of the queue from which it is strained.
	minBoundShare = 0.1
	// leastAsked is for how many recent requests a rank counts at least.
	leastAsked = 5
	// forgetTime is after which time without requests nothing is left of a pressure.
	forgetTime = 5 * relaxTime
	// minYield bounds what is left, so that it grows again within some seconds.
	minYield = 0.05
)

// pressure is what the requests of one rank meet, and what they leave to those behind.
type pressure struct {
	// strain is the decaying sum of the strains that requests met, and asked the decaying
	// count of them, both at the moment at.
	strain, asked float64
	at            time.Time
	// yield is the part of their bounds that is left to later ranks.
	yield float64
	// target is that of the rank's last request.
	target time.Duration
}

func newPressure(now time.Time) *pressure { return &pressure{at: now, yield: 1} }

// strainOf is how near a request of the rank is to being late by the queue that it
// meets: 0 up to firstStrain of its target, 1 from lastShed of it on.
func strainOf(target, queue time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	share := float64(queue) / float64(target)
	return min(max((share-firstStrain)/(lastShed-firstStrain), 0), 1)
}

// note takes the expected queue of one request.
func (p *pressure) note(now time.Time, target, queue time.Duration) {
	p.advance(now)
	p.target = target
	p.strain += strainOf(target, queue)
	p.asked++
}

// share is the mean strain of the rank's recent requests.
// A rank that hardly comes counts as having come a few times, so that one request
// does not close the runners to others.
func (p *pressure) share() float64 { return p.strain / math.Max(p.asked, leastAsked) }

// advance lets the time pass in steps in which the observations hardly fade.
func (p *pressure) advance(now time.Time) {
	if now.Sub(p.at) > forgetTime {
		*p = pressure{at: now, yield: 1, target: p.target}
	}
	for p.at.Before(now) {
		step := min(now.Sub(p.at), pressureHalfLife/8)
		p.at = p.at.Add(step)
		p.pass(step.Seconds())
	}
}

// pass shrinks what is left while the rank is strained more than is allowed, in
// proportion to that, and lets it grow again otherwise.
func (p *pressure) pass(seconds float64) {
	over := p.share() - allowedPressure
	rate := over / tightenTime.Seconds()
	if over < 0 {
		rate = over / allowedPressure / relaxTime.Seconds()
	}
	p.yield = min(max(p.yield*math.Exp(-rate*seconds), minYield), 1)
	fade := math.Exp2(-seconds / pressureHalfLife.Seconds())
	p.strain, p.asked = p.strain*fade, p.asked*fade
}

// yieldTo is the part of its bound that a request of a later rank keeps.
func (p *pressure) yieldTo(now time.Time, target time.Duration) float64 {
	p.advance(now)
	if p.yield >= 1 || target <= 0 {
		return 1
	}
	usual := (firstShed + lastShed) / 2 * float64(target)
	return max(p.yield, min(minBoundShare*float64(p.target)/usual, 1))
}
