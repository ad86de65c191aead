package placement

import "time"

// interference is what a choice does to others and others to it beyond its wait, in
// prompt tokens: the pause that its reading puts on the streams that run at the runner,
// and what the caller of Choose holds against mixing it with the work there. It is no
// part of the expected wait, and nobody is refused for it.
//
// An engine reads a prompt in pieces between the steps of all its streams. A stream is
// late once a pause is longer than it allows, whatever comes after, so that little
// reading harms nobody and the harm of each further piece is larger.
func interference(r Request, c Candidate, w Weights) float64 {
	cost := float64(c.ApartTokens)
	if c.Streams <= 0 || c.Pauses.Gap <= 0 {
		return cost
	}
	allowed := c.Pauses.Gap.Seconds() * float64(rateOf(c.Report.Load))
	before := float64(c.Reading)
	after := before + uncachedCost(r, c, Weights{Hit: 1, Fetch: w.Fetch})
	return cost + float64(c.Streams)*allowed*(pauseHarm(after/allowed)-pauseHarm(before/allowed))
}

// pauseHarm is the expected share of a stream that is lost to a pause, by the share of
// the allowed pause that reading takes: all of it when nothing is left for the steps.
func pauseHarm(share float64) float64 {
	share = min(max(share, 0), 1)
	return share * share * share * share
}

// Pauses is the streams that run at a runner and bear its reading.
type Pauses struct {
	// Streams counts those that have begun, and Gap is the mean pause that they allow.
	Streams int
	Gap     time.Duration
	// Reading is the prompt tokens that are read there beside the request's own ones.
	Reading int
}
