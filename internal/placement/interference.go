package placement

import "time"

// interferenceCost returns the cost, in prompt tokens, of the mutual effects of the request and
// the other work on the runner beyond the expected wait: the pauses that the request's prefill
// causes in running streams, and the penalty that the caller of Choose sets for mixing kinds of requests. It is not part
// of the expected wait, and no request is refused because of it.
//
// An engine prefills a prompt in chunks between the decoding steps of its streams. A stream is
// late as soon as one pause exceeds what it allows, so a small prefill does no harm and the harm
// of each further chunk grows.
func interferenceCost(r Request, c Candidate, w ScoreWeights) float64 {
	cost := float64(c.SeparationPenaltyTokens)
	if c.Streams <= 0 || c.StreamLoad.AllowedPause <= 0 {
		return cost
	}
	allowedTokens := c.StreamLoad.AllowedPause.Seconds() * float64(prefillRate(c.Report.Load))
	before := float64(c.PrefillTokens)
	after := before + uncachedCost(r, c, ScoreWeights{Uncached: 1, Fetched: w.Fetched})
	return cost + float64(c.Streams)*allowedTokens*(pausePenalty(after/allowedTokens)-pausePenalty(before/allowedTokens))
}

// pausePenalty returns the expected share of a stream that is lost to a pause. The argument is the
// share of the allowed pause that prefill takes; the whole stream counts as lost when no time is
// left for decoding steps.
func pausePenalty(share float64) float64 {
	share = min(max(share, 0), 1)
	return share * share * share * share
}

// StreamLoad describes the streams running on a runner and the prefill that pauses them.
type StreamLoad struct {
	// Streams is the number of streams that have begun. AllowedPause is the mean pause that they
	// tolerate.
	Streams      int
	AllowedPause time.Duration
	// PrefillTokens is the number of prompt tokens being prefilled on the runner, without those of
	// the request to be placed.
	PrefillTokens int
}
