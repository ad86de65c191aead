package backend

import "time"

// Learning of reading speeds.
const (
	// speedWeight is the weight of one first answer: a service of a hundred requests a
	// second follows a change of its runners within some seconds.
	speedWeight = 0.005
	// speedSamples is how many first answers are needed before what they show counts
	// for more than the assumed speed: they must cover short and long prompts.
	speedSamples = 100
	// speedRange bounds what is learned to so many times the assumed speed, faster or
	// slower, since a wrong speed would send all requests to few runners.
	speedRange = 3.0
	// speedOutlier is how many times the mean deviation a first answer may differ from
	// the expected one: later ones show a fetch, a wait or a fault and not the reading.
	speedOutlier = 4.0
	// minTokenDeviation is the least spread of the prompts, in tokens, from which a speed
	// can be told apart from the constant part of the time.
	minTokenDeviation = 500.0
)

// readSpeed learns how long runners of a service take from a request that waits for
// nobody to its first answer: a constant time and one for each token. Times are in
// seconds.
type readSpeed struct {
	samples int
	// meanTokens and meanSeconds are running means, variance that of the tokens, covariance
	// that of both, and meanError the mean distance of the estimates.
	meanTokens, meanSeconds, variance, covariance, meanError float64
}

// note takes a first answer that waited for nobody.
func (r *readSpeed) note(tokens int, taken time.Duration) {
	x, y := float64(tokens), taken.Seconds()
	off := max(y-r.expected(x), r.expected(x)-y)
	if r.samples >= speedSamples && off > speedOutlier*r.meanError {
		// What is an outlier is itself learned, so that a lasting change is followed.
		r.meanError += speedWeight * speedOutlier * r.meanError
		return
	}
	r.samples++
	weight := max(speedWeight, 1/float64(r.samples))
	dx, dy := x-r.meanTokens, y-r.meanSeconds
	r.meanTokens += weight * dx
	r.meanSeconds += weight * dy
	r.variance = (1 - weight) * (r.variance + weight*dx*dx)
	r.covariance = (1 - weight) * (r.covariance + weight*dx*dy)
	r.meanError += weight * (off - r.meanError)
}

// perToken is the time that a token takes to be read, in seconds.
func (r *readSpeed) perToken() float64 {
	const assumed = 1.0 / PrefillRate
	if r == nil || r.samples < speedSamples || r.variance < minTokenDeviation*minTokenDeviation {
		return assumed
	}
	return min(max(r.covariance/r.variance, assumed/speedRange), assumed*speedRange)
}

// constant is the part of the time that does not depend on the prompt, in seconds.
func (r *readSpeed) constant() float64 {
	if r == nil || r.samples < speedSamples {
		return 0
	}
	return max(r.meanSeconds-r.perToken()*r.meanTokens, 0)
}

func (r *readSpeed) expected(tokens float64) float64 { return r.constant() + r.perToken()*tokens }

// expectedTime is the time to the first answer of a request that waits for nobody.
func (r *readSpeed) expectedTime(tokens int) time.Duration {
	return time.Duration(r.expected(float64(tokens)) * float64(time.Second))
}

// rate is the learned speed, in tokens a second.
func (r *readSpeed) rate() float64 { return 1 / r.perToken() }

// reading is the time in which the tokens are read.
func (r *readSpeed) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) * r.perToken() * float64(time.Second))
}

// tokensIn is how many prompt tokens are read in the time.
func (r *readSpeed) tokensIn(wait time.Duration) int { return int(wait.Seconds() * r.rate()) }

// speed is what is learned of the service's runners.
func (s *Set) speed(service string) *readSpeed {
	known := s.speeds[service]
	if known == nil {
		known = &readSpeed{}
		s.speeds[service] = known
	}
	return known
}

// speedOf is what is learned of the runner's service.
func (s *Set) speedOf(e *entry) *readSpeed {
	if e.speed == nil {
		e.speed = s.speed(e.Service)
	}
	return e.speed
}

// slowReading is the longest time that the reading of the tokens is expected to take, by
// the assumed and the learned speed. It bounds when weights are begun on.
func (s *Set) slowReading(e *entry, tokens int) time.Duration {
	return max(readingTime(tokens), s.speedOf(e).reading(tokens))
}

// startsAfter estimates how long after now a request with the prompt begins: the
// time that requests waited of late, what is still to be read, and itself.
func (s *Set) startsAfter(now time.Time, e *entry, promptTokens int) time.Duration {
	return e.currentWait(now) + s.slowReading(e, e.pendingTokens+promptTokens)
}
