package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// Choose picks the runner with the lowest score; near ties are drawn by random,
// so that several nodes with the same lagging reports do not all choose one runner.
func Choose(request Request, candidates []Candidate, weights Weights, random *rand.Rand) Pick {
	if first := slices.IndexFunc(candidates, func(c Candidate) bool { return c.First }); first >= 0 {
		if pick := chooseAmong(request, candidates[first:first+1], weights, random); pick.Status == Picked {
			return pick
		}
	}
	pick := chooseAmong(request, candidates, weights, random)
	if pick.Status == NoRunner && len(request.Excluded) > 0 {
		// A runner that failed before is better than none.
		request.Excluded = nil
		pick = chooseAmong(request, candidates, weights, random)
	}
	if pick.Status == NoRunner && request.HeldBack.Any() {
		return Pick{Status: AllHeldBack}
	}
	return pick
}

// chooseAmong picks the best runner. The request is refused only when it would queue
// for too long at all of them, not where a better one has the longer queue.
func chooseAmong(request Request, candidates []Candidate, weights Weights, random *rand.Rand) Pick {
	pick := pickBest(request, candidates, weights, random, admissible)
	if pick.Status != Overloaded {
		return pick
	}
	if inTime := pickBest(request, candidates, weights, random, admissibleInTime); inTime.Status == Picked {
		return inTime
	}
	return pick
}

// admissibleInTime tells whether the runner may serve the request after a queue that is
// not too long.
func admissibleInTime(request Request, candidate Candidate) bool {
	queue := queueCost(request, candidate, Weights{}) + sequenceCost(request, candidate, Weights{})
	return queue <= request.MaxWait.Seconds()*float64(rateOf(candidate.Report.Load)) && admissible(request, candidate)
}

func pickBest(request Request, candidates []Candidate, weights Weights, random *rand.Rand, usable Filter) Pick {
	best := -1.0
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		scores[i] = -1
		if !usable(request, candidate) {
			continue
		}
		scores[i] = score(request, candidate, weights)
		if best < 0 || scores[i] < best {
			best = scores[i]
		}
	}
	if best < 0 {
		return Pick{Status: NoRunner, RetryAfter: noRunnerRetry}
	}
	chosen, near := -1, 0
	for i, value := range scores {
		if value < 0 || value > best*(1+tieShare) {
			continue
		}
		near++
		if random.IntN(near) == 0 {
			chosen = i
		}
	}
	return admit(request, candidates[chosen])
}

// admit refuses at once what would wait longer than its tier allows. The
// prompt's own computing is not counted: no other runner would save it.
func admit(request Request, candidate Candidate) Pick {
	pick := Pick{Status: Picked, Candidate: candidate, Wait: waitOf(request, candidate)}
	idle := candidate
	idle.PendingTokens, idle.PendingRequests = 0, 0
	idle.Report.Load = fleet.Load{PrefillRate: candidate.Report.Load.PrefillRate, MaxRunning: candidate.Report.Load.MaxRunning}
	queueing := pick.Wait - waitOf(request, idle)
	pick.Queueing = queueing
	if request.MaxWait > 0 && queueing > request.MaxWait {
		pick.Status = Overloaded
		pick.RetryAfter = queueing - request.MaxWait/2
	}
	return pick
}
