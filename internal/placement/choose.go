package placement

import (
	"math/rand/v2"

	"github.com/clovertiller/clovertiller/internal/fleet"
)

// Choose picks the runner with the lowest score. Near ties are broken at random, so that several
// routers that see the same outdated reports do not all choose the same runner.
func Choose(request Request, candidates []Candidate, weights ScoreWeights, random *rand.Rand) Pick {
	if preferred := pickFirst(candidates); len(preferred) > 0 {
		if pick := chooseWithinMaxWait(request, preferred, weights, random); pick.Status == Picked {
			return pick
		}
	}
	pick := chooseWithinMaxWait(request, candidates, weights, random)
	if pick.Status == NoRunner && len(request.Excluded) > 0 {
		// A runner that failed before is better than none.
		request.Excluded = nil
		pick = chooseWithinMaxWait(request, candidates, weights, random)
	}
	if pick.Status == NoRunner && request.HeldBack.Any() {
		return Pick{Status: AllHeldBack}
	}
	return pick
}

// pickFirst returns the candidates that are to be picked first. Some of them may not be admissible.
func pickFirst(candidates []Candidate) (preferred []Candidate) {
	for _, candidate := range candidates {
		if candidate.PickFirst {
			preferred = append(preferred, candidate)
		}
	}
	return preferred
}

// chooseWithinMaxWait picks the best runner. If the request would queue for too long there, it
// picks the best one whose queue is short enough, so that the request is refused only if all
// queues are too long.
func chooseWithinMaxWait(request Request, candidates []Candidate, weights ScoreWeights, random *rand.Rand) Pick {
	pick := pickBest(request, candidates, weights, random, admissible)
	if pick.Status != Overloaded {
		return pick
	}
	if withinMaxWait := pickBest(request, candidates, weights, random, admissibleWithinMaxWait); withinMaxWait.Status == Picked {
		return withinMaxWait
	}
	return pick
}

// admissibleWithinMaxWait reports whether the runner may serve the request and its expected
// queueing time is at most the request's MaxWait.
func admissibleWithinMaxWait(request Request, candidate Candidate) bool {
	queue := queueCost(request, candidate, ScoreWeights{}) + sequenceCost(request, candidate, ScoreWeights{})
	return queue <= request.MaxWait.Seconds()*float64(prefillRate(candidate.Report.Load)) && admissible(request, candidate)
}

func pickBest(request Request, candidates []Candidate, weights ScoreWeights, random *rand.Rand, eligible Filter) Pick {
	lowest := -1.0
	scores := make([]float64, len(candidates))
	for i, candidate := range candidates {
		scores[i] = -1
		if !eligible(request, candidate) {
			continue
		}
		scores[i] = score(request, candidate, weights)
		if lowest < 0 || scores[i] < lowest {
			lowest = scores[i]
		}
	}
	if lowest < 0 {
		return Pick{Status: NoRunner, RetryAfter: noRunnerRetryAfter}
	}
	chosen, ties := -1, 0
	for i, candidateScore := range scores {
		if candidateScore < 0 || candidateScore > lowest*(1+tieTolerance) {
			continue
		}
		ties++
		if random.IntN(ties) == 0 {
			chosen = i
		}
	}
	return enforceMaxWait(request, candidates[chosen])
}

// enforceMaxWait refuses a request whose expected queueing time exceeds the limit of its tier. The
// time to compute the prompt itself is not counted, because no other runner would save it.
func enforceMaxWait(request Request, candidate Candidate) Pick {
	pick := Pick{Status: Picked, Candidate: candidate, Wait: expectedWait(request, candidate)}
	idle := candidate
	idle.PendingTokens, idle.PendingRequests = 0, 0
	idle.Report.Load = fleet.Load{PrefillRate: candidate.Report.Load.PrefillRate, MaxRunning: candidate.Report.Load.MaxRunning}
	queueWait := pick.Wait - expectedWait(request, idle)
	pick.QueueWait = queueWait
	if request.MaxWait > 0 && queueWait > request.MaxWait {
		pick.Status = Overloaded
		pick.RetryAfter = queueWait - request.MaxWait/2
	}
	return pick
}
