package backend

import "time"

// Parameters of the prefill model.
const (
	// prefillSampleWeight is the weight of one sample in the running means. With a hundred
	// requests per second, the model of a service follows a change of its runners within a
	// few seconds.
	prefillSampleWeight = 0.005
	// minPrefillSamples is how many samples are needed before the learned speed replaces
	// the assumed one: they must cover short and long prompts.
	minPrefillSamples = 100
	// maxPrefillRateRatio bounds how many times faster or slower than the assumed speed the
	// learned one may be, since a wrong speed would send all requests to a few runners.
	maxPrefillRateRatio = 3.0
	// prefillOutlierFactor is how many mean errors a sample may deviate from the expected
	// time. A larger deviation is caused by a fetch, a wait or a fault, not by the
	// prefill.
	prefillOutlierFactor = 4.0
	// minPromptDeviation is the minimum standard deviation of prompt lengths, in tokens, at
	// which the time per token can be told apart from the constant overhead.
	minPromptDeviation = 500.0
)

// prefillModel estimates the time from the send to the beginning of the response for
// requests that do not queue at a service's runners. Each such request is one sample. The
// model is a linear regression with exponentially weighted means: a constant overhead plus
// a time per prompt token. Times are in seconds.
type prefillModel struct {
	samples int
	// meanTokens and meanSeconds are running means, variance is that of the tokens,
	// covariance that of tokens and seconds, and meanError the mean absolute error of the
	// estimates.
	meanTokens, meanSeconds, variance, covariance, meanError float64
}

// record adds the sample of a request that did not queue.
func (m *prefillModel) record(tokens int, elapsed time.Duration) {
	x, y := float64(tokens), elapsed.Seconds()
	deviation := max(y-m.expectedSeconds(x), m.expectedSeconds(x)-y)
	if m.samples >= minPrefillSamples && deviation > prefillOutlierFactor*m.meanError {
		// Outliers raise the accepted deviation, so that a lasting change is followed.
		m.meanError += prefillSampleWeight * prefillOutlierFactor * m.meanError
		return
	}
	m.samples++
	weight := max(prefillSampleWeight, 1/float64(m.samples))
	dx, dy := x-m.meanTokens, y-m.meanSeconds
	m.meanTokens += weight * dx
	m.meanSeconds += weight * dy
	m.variance = (1 - weight) * (m.variance + weight*dx*dx)
	m.covariance = (1 - weight) * (m.covariance + weight*dx*dy)
	m.meanError += weight * (deviation - m.meanError)
}

// secondsPerToken returns the time to prefill one token, in seconds: the assumed one until
// enough varied samples have been recorded.
func (m *prefillModel) secondsPerToken() float64 {
	const assumed = 1.0 / PrefillRate
	if m == nil || m.samples < minPrefillSamples || m.variance < minPromptDeviation*minPromptDeviation {
		return assumed
	}
	return min(max(m.covariance/m.variance, assumed/maxPrefillRateRatio), assumed*maxPrefillRateRatio)
}

// overheadSeconds returns the part of the time until the response begins that does not
// depend on the prompt.
func (m *prefillModel) overheadSeconds() float64 {
	if m == nil || m.samples < minPrefillSamples {
		return 0
	}
	return max(m.meanSeconds-m.secondsPerToken()*m.meanTokens, 0)
}

func (m *prefillModel) expectedSeconds(tokens float64) float64 {
	return m.overheadSeconds() + m.secondsPerToken()*tokens
}

// firstResponseTime returns the expected time from the send until the response begins, for
// a request that does not queue.
func (m *prefillModel) firstResponseTime(tokens int) time.Duration {
	return time.Duration(m.expectedSeconds(float64(tokens)) * float64(time.Second))
}

// tokensPerSecond returns the learned prefill speed.
func (m *prefillModel) tokensPerSecond() float64 { return 1 / m.secondsPerToken() }

// prefillTime returns the expected time to prefill the tokens, without overhead.
func (m *prefillModel) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * m.secondsPerToken() * float64(time.Second))
}

// tokensIn returns how many prompt tokens are prefilled in the duration.
func (m *prefillModel) tokensIn(duration time.Duration) int {
	return int(duration.Seconds() * m.tokensPerSecond())
}

// servicePrefill returns the prefill model of the service's runners.
func (s *Set) servicePrefill(service string) *prefillModel {
	known := s.prefillModels[service]
	if known == nil {
		known = &prefillModel{}
		s.prefillModels[service] = known
	}
	return known
}

// runnerPrefill returns the prefill model of the runner's service.
func (s *Set) runnerPrefill(e *entry) *prefillModel {
	if e.prefill == nil {
		e.prefill = s.servicePrefill(e.Service)
	}
	return e.prefill
}

// maxPrefillTime returns the longer of the times to prefill the tokens at the assumed and
// at the learned speed. Decisions on whether weights expire before a request begins use
// this one.
func (s *Set) maxPrefillTime(e *entry, tokens int) time.Duration {
	return max(assumedPrefillTime(tokens), s.runnerPrefill(e).prefillTime(tokens))
}

// startDelay estimates how long after now a request with the prompt begins at the runner:
// the recent wait, the prefill of all pending tokens and that of the prompt itself.
func (s *Set) startDelay(now time.Time, e *entry, promptTokens int) time.Duration {
	return e.currentAssumedWait(now) + s.maxPrefillTime(e, e.pendingTokens+promptTokens)
}
