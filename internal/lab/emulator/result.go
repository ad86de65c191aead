package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Result holds the measurements of a run. Those of requests that ran exclude the requests that
// arrived during warmUpTime.
type Result struct {
	// Offered counts the requests and Refused those of them that were refused, by tier.
	Offered   [Tiers]int
	Refused   [Tiers]int
	Completed int
	// FirstTokenByTier and FirstTokenOverall hold the time to the first token in microseconds.
	FirstTokenByTier  [Tiers]*hdrhistogram.Histogram
	FirstTokenOverall *hdrhistogram.Histogram
	// PromptTokens and CachedTokens are the sums over the started requests.
	PromptTokens int
	CachedTokens int
	// Retries counts the refused requests that were sent again after the demanded delay, and
	// RefusedRetries those of them that were refused again.
	Retries        int
	RefusedRetries int
	// Lookups counts the placement queries, and Messages the other messages that the routers
	// would exchange.
	Lookups  int
	Messages int
}

// newHistogram returns a histogram of microseconds up to ten minutes with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func newResult() *Result {
	result := &Result{FirstTokenOverall: newHistogram()}
	for tier := range result.FirstTokenByTier {
		result.FirstTokenByTier[tier] = newHistogram()
	}
	return result
}

// warmUpTime is the first part of a run, whose requests are not measured.
const warmUpTime = 5 * time.Second

// isMeasured reports whether the request arrived after the warm-up.
func isMeasured(pending *pendingRequest) bool {
	return pending.arrivedAt.After(time.Unix(0, 0).Add(warmUpTime))
}

func (r *Result) recordOffered(tier int) { r.Offered[tier]++ }

// recordRefusal counts a refusal of a request that has been refused the given number of times,
// including this one.
func (r *Result) recordRefusal(tier, refusals int) {
	if refusals == 1 {
		r.Refused[tier]++
	} else {
		r.RefusedRetries++
	}
}

func (r *Result) recordStart(pending *pendingRequest) {
	if isMeasured(pending) {
		r.PromptTokens += len(pending.promptText) / prefix.BytesPerToken
		r.CachedTokens += pending.cachedTokens
	}
}

func (r *Result) recordFirstToken(pending *pendingRequest, elapsed time.Duration) {
	if !isMeasured(pending) {
		return
	}
	// The errors can be ignored: the histograms reject values above ten minutes, which don't
	// occur in runs of a minute.
	_ = r.FirstTokenOverall.RecordValue(max(elapsed.Microseconds(), 1))
	_ = r.FirstTokenByTier[pending.tier].RecordValue(max(elapsed.Microseconds(), 1))
}

func (r *Result) recordCompletion(pending *pendingRequest) {
	if isMeasured(pending) {
		r.Completed++
	}
}

// HitRate returns the share of prompt tokens that were in the engines' caches.
func (r *Result) HitRate() float64 { return float64(r.CachedTokens) / float64(max(r.PromptTokens, 1)) }

// RecomputedPerRequest returns the average number of prompt tokens computed per request.
func (r *Result) RecomputedPerRequest() float64 {
	return float64(r.PromptTokens-r.CachedTokens) / float64(max(r.FirstTokenOverall.TotalCount(), 1))
}

// PercentileMillis returns a percentile, 0 to 100, of a histogram in milliseconds.
func PercentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}
