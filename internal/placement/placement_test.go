package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

func candidate(name string) Candidate {
	return Candidate{Name: name, Report: fleet.Report{
		Connected: true, State: fleet.Serving, Model: "m", WeightVersion: "v1", Adapters: []string{"a"},
		Load: fleet.Load{PrefillRate: 10000, MaxRunning: 16},
	}}
}

var request = Request{Model: "m", WeightVersion: "v1", PromptTokens: 1000, MaxWait: time.Second}

func choose(r Request, candidates ...Candidate) Pick {
	return Choose(r, candidates, ScoreWeights{Uncached: 1}, rand.New(rand.NewPCG(1, 1)))
}

func TestFiltersRejectIneligibleRunners(t *testing.T) {
	cases := map[string]func(*Candidate, *Request){
		"not connected":   func(c *Candidate, _ *Request) { c.Report.Connected = false },
		"draining":        func(c *Candidate, _ *Request) { c.Report.State = fleet.Draining },
		"loading":         func(c *Candidate, _ *Request) { c.Report.State = fleet.Loading },
		"machine leaving": func(c *Candidate, _ *Request) { c.Leaving = true },
		"standby":         func(c *Candidate, _ *Request) { c.Standby = true },
		"other weights":   func(c *Candidate, _ *Request) { c.Report.WeightVersion = "v0" },
		"other model":     func(c *Candidate, _ *Request) { c.Report.Model = "x" },
		"adapter missing": func(_ *Candidate, r *Request) { r.Adapter = "b" },
	}
	for name, modify := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(choose(request, candidate("a")).Status).To(Equal(Picked))
			modified, modifiedRequest := candidate("a"), request
			modify(&modified, &modifiedRequest)
			pick := choose(modifiedRequest, modified)
			g.Expect(pick.Status).To(Equal(NoRunner))
			g.Expect(pick.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

func TestExcludedRunnerIsLastResort(t *testing.T) {
	g := NewWithT(t)
	failed, slow := candidate("failed"), candidate("slow")
	slow.Report.Load.QueuedTokens[0] = 9000
	excluding := request
	excluding.Excluded = []string{"failed"}
	g.Expect(choose(excluding, failed, slow).Candidate.Name).To(Equal("slow"))
	g.Expect(choose(excluding, failed).Candidate.Name).To(Equal("failed"))
	failed.Report.State = fleet.Draining
	g.Expect(choose(excluding, failed).Status).To(Equal(NoRunner))
}

func TestCachedPrefixWinsUntilQueueCostsMore(t *testing.T) {
	g := NewWithT(t)
	holder, idle := candidate("holder"), candidate("idle")
	holder.CachedTokens = 900
	holder.Report.Load.QueuedTokens[0] = 500
	g.Expect(choose(request, holder, idle).Candidate.Name).To(Equal("holder"))
	holder.PendingTokens = 800
	g.Expect(choose(request, holder, idle).Candidate.Name).To(Equal("idle"))
}

func TestHigherPriorityIgnoresLowerPriorityQueues(t *testing.T) {
	g := NewWithT(t)
	busy := candidate("busy")
	busy.Report.Load.QueuedTokens[2] = 50000
	highPriority := request
	highPriority.Priority = 0
	g.Expect(choose(highPriority, busy).Status).To(Equal(Picked))
	lowPriority := request
	lowPriority.Priority = 2
	pick := choose(lowPriority, busy)
	g.Expect(pick.Status).To(Equal(Overloaded))
	g.Expect(pick.RetryAfter).To(BeNumerically("~", 4500*time.Millisecond, 100*time.Millisecond))
}

func TestPendingPlacementIsDroppedOnceLoadReportCoversIt(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(100, 0)
	pending := NewPendingPlacements(10 * time.Millisecond)
	pending.Add(start, "a", 0, 100)
	pending.Add(start, "a", 3, 50)
	tokens, requests := pending.Unreported(start, "a", 0, start.Add(-time.Second))
	g.Expect(tokens).To(Equal(100))
	g.Expect(requests).To(Equal(2))
	_, requests = pending.Unreported(start.Add(time.Millisecond), "a", 3, start.Add(time.Millisecond))
	g.Expect(requests).To(Equal(2), "the request is still in transit to the engine")
	tokens, requests = pending.Unreported(start.Add(time.Second), "a", 3, start.Add(10*time.Millisecond))
	g.Expect(tokens + requests).To(BeZero())
}

func TestPendingPlacementExpiresWithoutLoadReport(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(100, 0)
	pending := NewPendingPlacements(time.Millisecond)
	pending.Add(start, "a", 0, 100)
	tokens, _ := pending.Unreported(start.Add(maxPendingAge), "a", 0, time.Time{})
	g.Expect(tokens).To(BeZero())
}

func TestTokensComputedSinceReportReduceQueue(t *testing.T) {
	g := NewWithT(t)
	busy, idle := candidate("busy"), candidate("idle")
	busy.CachedTokens = 900
	busy.Report.Load.QueuedTokens[0] = 2000
	g.Expect(choose(request, busy, idle).Candidate.Name).To(Equal("idle"))
	busy.ComputedTokens = 1500
	g.Expect(choose(request, busy, idle).Candidate.Name).To(Equal("busy"))
}

func TestEjectionExpiresAndIsClearedBySuccess(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1, 0)
	ejector := NewEjector()
	ejector.RecordFailure(start, "a", 1)
	g.Expect(ejector.Ejected(start)).To(ConsistOf("a"))
	g.Expect(ejector.Ejected(start.Add(minEjection))).To(BeEmpty())
	ejector.RecordFailure(start, "a", 1)
	g.Expect(ejector.Ejected(start.Add(minEjection))).To(ConsistOf("a"), "the second ejection lasts longer")
	ejector.RecordSuccess("a")
	g.Expect(ejector.Ejected(start)).To(BeEmpty())
}

// A runner that can fetch its missing part of a prompt is preferred to the runner that has the
// part cached if that one has a longer queue, but not if it is idle.
func TestFetchCostsLessThanLongQueueAndMoreThanCachedPrefix(t *testing.T) {
	g := NewWithT(t)
	holder, fetcher := candidate("holder"), candidate("fetcher")
	holder.CachedTokens, fetcher.FetchableTokens = 800, 800
	chosen := func() string {
		return Choose(request, []Candidate{holder, fetcher}, ScoreWeights{Uncached: 1, Fetched: 0.25}, rand.New(rand.NewPCG(1, 1))).Candidate.Name
	}
	g.Expect(chosen()).To(Equal("holder"))
	holder.PendingTokens = 150
	g.Expect(chosen()).To(Equal("holder"), "a short queue costs less than fetching 800 tokens")
	holder.PendingTokens = 400
	g.Expect(chosen()).To(Equal("fetcher"), "a long queue costs more than fetching 800 tokens")
}
