package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clovertiller/clovertiller/internal/prefix"
)

// Result is what one run measured, after its warm-up.
type Result struct {
	Offered   [Tiers]int
	Refused   [Tiers]int
	Completed int
	// FirstToken is in microseconds, by tier and over all.
	FirstToken [Tiers]*hdrhistogram.Histogram
	All        *hdrhistogram.Histogram
	// PromptTokens and CachedTokens are of started requests.
	PromptTokens int
	CachedTokens int
	// Returned counts refused callers that came back when told; RefusedAgain
	// those of them that were refused once more.
	Returned     int
	RefusedAgain int
	Lookups      int
	Messages     int
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func newResult() *Result {
	result := &Result{All: newHistogram()}
	for tier := range result.FirstToken {
		result.FirstToken[tier] = newHistogram()
	}
	return result
}

// warmUp is left out of the measures.
const warmUp = 5 * time.Second

func measured(p *pending) bool { return p.arrived.After(time.Unix(0, 0).Add(warmUp)) }

func (r *Result) offer(tier int) { r.Offered[tier]++ }

func (r *Result) refuse(tier, asks int) {
	if asks == 1 {
		r.Refused[tier]++
	} else {
		r.RefusedAgain++
	}
}

func (r *Result) start(p *pending) {
	if measured(p) {
		r.PromptTokens += len(p.text) / prefix.BytesPerToken
		r.CachedTokens += p.cached
	}
}

func (r *Result) firstToken(p *pending, after time.Duration) {
	if !measured(p) {
		return
	}
	// Values beyond ten minutes do not occur in runs of a minute.
	_ = r.All.RecordValue(max(after.Microseconds(), 1))
	_ = r.FirstToken[p.tier].RecordValue(max(after.Microseconds(), 1))
}

func (r *Result) complete(p *pending) {
	if measured(p) {
		r.Completed++
	}
}

// HitRate is the share of prompt tokens that engines had cached.
func (r *Result) HitRate() float64 { return float64(r.CachedTokens) / float64(max(r.PromptTokens, 1)) }

// Recomputed is the prompt tokens computed per request.
func (r *Result) Recomputed() float64 {
	return float64(r.PromptTokens-r.CachedTokens) / float64(max(r.All.TotalCount(), 1))
}

// Quantile returns a quantile of the time to the first token, in milliseconds.
func Quantile(histogram *hdrhistogram.Histogram, q float64) float64 {
	return float64(histogram.ValueAtQuantile(q)) / 1000
}
