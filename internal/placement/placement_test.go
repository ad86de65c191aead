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
	return Choose(r, candidates, Weights{Hit: 1}, rand.New(rand.NewPCG(1, 1)))
}

func TestFiltersKeepOutWhatMustNotServe(t *testing.T) {
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
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(choose(request, candidate("a")).Status).To(Equal(Picked))
			spoilt, wanted := candidate("a"), request
			spoil(&spoilt, &wanted)
			pick := choose(wanted, spoilt)
			g.Expect(pick.Status).To(Equal(NoRunner))
			g.Expect(pick.RetryAfter).To(BeNumerically(">", 0))
		})
	}
}

func TestExcludedRunnerServesOnlyWhenNoOtherCan(t *testing.T) {
	g := NewWithT(t)
	failed, slow := candidate("failed"), candidate("slow")
	slow.Report.Load.QueuedTokens[0] = 9000
	wanted := request
	wanted.Excluded = []string{"failed"}
	g.Expect(choose(wanted, failed, slow).Candidate.Name).To(Equal("slow"))
	g.Expect(choose(wanted, failed).Candidate.Name).To(Equal("failed"))
	failed.Report.State = fleet.Draining
	g.Expect(choose(wanted, failed).Status).To(Equal(NoRunner))
}

func TestCachedPrefixWinsUntilItsQueueCostsMore(t *testing.T) {
	g := NewWithT(t)
	holder, idle := candidate("holder"), candidate("idle")
	holder.CachedTokens = 900
	holder.Report.Load.QueuedTokens[0] = 500
	g.Expect(choose(request, holder, idle).Candidate.Name).To(Equal("holder"))
	holder.PendingTokens = 800
	g.Expect(choose(request, holder, idle).Candidate.Name).To(Equal("idle"))
}

func TestHigherPriorityDoesNotCountLowerQueues(t *testing.T) {
	g := NewWithT(t)
	busy := candidate("busy")
	busy.Report.Load.QueuedTokens[2] = 50000
	urgent := request
	urgent.Priority = 0
	g.Expect(choose(urgent, busy).Status).To(Equal(Picked))
	late := request
	late.Priority = 2
	pick := choose(late, busy)
	g.Expect(pick.Status).To(Equal(Overloaded))
	g.Expect(pick.RetryAfter).To(BeNumerically("~", 4500*time.Millisecond, 100*time.Millisecond))
}

func TestPendingEndsWhenTheLoadShowsIt(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(100, 0)
	pending := NewPending(10 * time.Millisecond)
	pending.Add(start, "a", 0, 100)
	pending.Add(start, "a", 3, 50)
	tokens, requests := pending.Of(start, "a", 0, start.Add(-time.Second))
	g.Expect(tokens).To(Equal(100))
	g.Expect(requests).To(Equal(2))
	_, requests = pending.Of(start.Add(time.Millisecond), "a", 3, start.Add(time.Millisecond))
	g.Expect(requests).To(Equal(2), "still on its way to the engine")
	tokens, requests = pending.Of(start.Add(time.Second), "a", 3, start.Add(10*time.Millisecond))
	g.Expect(tokens + requests).To(BeZero())
}

func TestPendingOfARunnerNotHeardOfEnds(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(100, 0)
	pending := NewPending(time.Millisecond)
	pending.Add(start, "a", 0, 100)
	tokens, _ := pending.Of(start.Add(maxPendingAge), "a", 0, time.Time{})
	g.Expect(tokens).To(BeZero())
}

func TestProgressSinceTheReportIsCounted(t *testing.T) {
	g := NewWithT(t)
	busy, idle := candidate("busy"), candidate("idle")
	busy.CachedTokens = 900
	busy.Report.Load.QueuedTokens[0] = 2000
	g.Expect(choose(request, busy, idle).Candidate.Name).To(Equal("idle"))
	busy.DrainedTokens = 1500
	g.Expect(choose(request, busy, idle).Candidate.Name).To(Equal("busy"))
}

func TestEjectedRunnerReturns(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1, 0)
	ejector := NewEjector()
	ejector.Fail(start, "a", 1)
	g.Expect(ejector.Ejected(start)).To(ConsistOf("a"))
	g.Expect(ejector.Ejected(start.Add(firstEjection))).To(BeEmpty())
	ejector.Fail(start, "a", 1)
	g.Expect(ejector.Ejected(start.Add(firstEjection))).To(ConsistOf("a"), "longer the second time")
	ejector.Succeed("a")
	g.Expect(ejector.Ejected(start)).To(BeEmpty())
}

// A runner that can fetch what it lacks of a prompt is preferred to a longer queue
// at the one that keeps it, but not to an idle one.
func TestFetchingIsCheaperThanWaitingAndDearerThanKeeping(t *testing.T) {
	g := NewWithT(t)
	keeps, fetches := candidate("keeps"), candidate("fetches")
	keeps.CachedTokens, fetches.FetchableTokens = 800, 800
	pick := func() string {
		return Choose(request, []Candidate{keeps, fetches}, Weights{Hit: 1, Fetch: 0.25}, rand.New(rand.NewPCG(1, 1))).Candidate.Name
	}
	g.Expect(pick()).To(Equal("keeps"))
	keeps.PendingTokens = 150
	g.Expect(pick()).To(Equal("keeps"), "a short queue costs less than the fetch of 800 tokens")
	keeps.PendingTokens = 400
	g.Expect(pick()).To(Equal("fetches"), "and a long one more")
}
