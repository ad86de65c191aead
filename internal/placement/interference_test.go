package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// allowedPause is the pause that callers tolerate. The tests place long prompts on a pool that
// also serves streams with short prompts, where each decoding step waits for the prompt chunks
// prefilled before it.
const allowedPause = 300 * time.Millisecond

func longRequest() Request {
	long := request
	long.PromptTokens, long.MaxWait = 2500, 0 // 250 ms of prefill at 10,000 tokens per second
	return long
}

func TestLongPromptAvoidsRunnerWithManyStreams(t *testing.T) {
	g := NewWithT(t)
	streaming, queued := candidate("streaming"), candidate("queued")
	streaming.StreamLoad = StreamLoad{Streams: 4, AllowedPause: allowedPause}
	queued.Report.Load.QueuedTokens[0] = 2000
	g.Expect(choose(longRequest(), streaming, queued).Candidate.Name).To(Equal("queued"))
	streaming.StreamLoad.Streams = 0
	g.Expect(choose(longRequest(), streaming, queued).Candidate.Name).To(Equal("streaming"))
}

func TestShortPromptIsHardlyAffectedByStreams(t *testing.T) {
	g := NewWithT(t)
	streaming, queued := candidate("streaming"), candidate("queued")
	streaming.StreamLoad = StreamLoad{Streams: 4, AllowedPause: allowedPause}
	queued.Report.Load.QueuedTokens[0] = 200
	short := request
	short.PromptTokens = 100
	g.Expect(choose(short, streaming, queued).Candidate.Name).To(Equal("streaming"))
}

func TestInterferenceGrowsWithConcurrentPrefill(t *testing.T) {
	g := NewWithT(t)
	idle, prefilling := candidate("idle"), candidate("prefilling")
	for _, c := range []*Candidate{&idle, &prefilling} {
		c.StreamLoad = StreamLoad{Streams: 1, AllowedPause: allowedPause}
	}
	prefilling.StreamLoad.PrefillTokens = 1000
	r := longRequest()
	r.PromptTokens = 1000
	g.Expect(interferenceCost(r, prefilling, ScoreWeights{Uncached: 1})).To(BeNumerically(">", 2*interferenceCost(r, idle, ScoreWeights{Uncached: 1})))
}

func TestInterferenceAffectsScoreButNotExpectedWait(t *testing.T) {
	g := NewWithT(t)
	r := longRequest()
	r.MaxWait = 10 * time.Millisecond
	alone, shared := candidate("alone"), candidate("shared")
	shared.StreamLoad, shared.SeparationPenaltyTokens = StreamLoad{Streams: 30, AllowedPause: allowedPause}, 50000
	pick := choose(r, shared)
	g.Expect(pick.Status).To(Equal(Picked), "interference never causes a refusal")
	g.Expect(pick.Wait).To(Equal(choose(r, alone).Wait))
}

func TestInterferenceIsZeroWithoutStreamsOrAllowedPause(t *testing.T) {
	g := NewWithT(t)
	unbounded, none := candidate("unbounded"), candidate("none")
	unbounded.StreamLoad = StreamLoad{Streams: 30}
	none.StreamLoad = StreamLoad{AllowedPause: allowedPause}
	g.Expect(interferenceCost(longRequest(), unbounded, ScoreWeights{Uncached: 1})).To(BeZero())
	g.Expect(interferenceCost(longRequest(), none, ScoreWeights{Uncached: 1})).To(BeZero())
}

func TestRequestIsRefusedOnlyWhenAllQueuesAreTooLong(t *testing.T) {
	g := NewWithT(t)
	r := longRequest()
	r.MaxWait = 100 * time.Millisecond
	// The holder has the whole prompt cached behind a queue of 150 ms. The other runner has none
	// of it cached.
	holder, streaming := candidate("holder"), candidate("streaming")
	holder.CachedTokens, holder.PendingTokens = r.PromptTokens, 1500
	streaming.StreamLoad = StreamLoad{Streams: 8, AllowedPause: allowedPause}
	pick := choose(r, holder, streaming)
	g.Expect(pick.Status).To(Equal(Picked))
	g.Expect(pick.Candidate.Name).To(Equal("streaming"))
	streaming.PendingTokens = 1500
	g.Expect(choose(r, holder, streaming).Status).To(Equal(Overloaded))
}
