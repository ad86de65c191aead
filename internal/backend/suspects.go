package backend

import (
	"maps"
	"slices"
)

// Costs, in prompt tokens, of mixing contents that are suspected of crashing their runner
// with other work. They do not count as waiting time. In the simulation of mixed fleets
// (internal/quarantine), when requests of one such content are placed together and apart
// from other suspect contents, each content crashes 3.0 to 3.6 runners instead of 3.8 to
// 6.6 and interrupts half as many other requests.
const (
	// mixedSuspectCost is the cost of a runner that is running another suspect content: a
	// crash would not show which of the two caused it. It exceeds the largest prompt seen.
	mixedSuspectCost = 100000
	// newSuspectRunnerCost is the cost of using another runner for a content. It is below
	// mixedSuspectCost, and above the cost of most prompts that are prefilled from scratch.
	newSuspectRunnerCost = 40000
	// exposedRequestCost is the cost of each open request that would be lost if the runner
	// crashed.
	exposedRequestCost = 1000
	// nearSuspectCost is the cost, for requests without suspect content, of a runner that
	// is running one: 0.1 s of prefill. Most contents that were running on a crashed runner
	// did not cause the crash.
	nearSuspectCost = 4000
)

// suspectCounts is the number of open requests at one runner for each suspect content.
type suspectCounts map[uint64]int

func (s suspectCounts) add(content uint64) suspectCounts {
	if content == 0 {
		return s
	}
	if s == nil {
		s = suspectCounts{}
	}
	s[content]++
	return s
}

func (s suspectCounts) remove(content uint64) {
	if s[content] <= 1 {
		delete(s, content)
		return
	}
	s[content]--
}

// contents returns the hashes of the contents in ascending order.
func (s suspectCounts) contents() []uint64 {
	if len(s) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(s))
}

// suspectCost returns the cost of the runner for a request, given the suspect contents that
// this router and other routers have placed there.
func (e *entry) suspectCost(query Query, fromPeers Load) int {
	if query.SuspectContent == 0 && len(e.suspects) == 0 && len(fromPeers.Suspects) == 0 {
		return 0
	}
	requests := e.inFlight + fromPeers.Requests
	same := e.suspects[query.SuspectContent] > 0 || slices.Contains(fromPeers.Suspects, query.SuspectContent)
	alone := len(e.suspects) == 0 && len(fromPeers.Suspects) == 0
	switch {
	case query.SuspectContent == 0:
		return nearSuspectCost
	case same && requests < e.Slots/2:
		// Requests of one content crash one runner together instead of one each.
		return 0
	case alone:
		return newSuspectRunnerCost + requests*exposedRequestCost
	}
	return mixedSuspectCost + requests*exposedRequestCost
}
