package backend

import (
	"maps"
	"slices"
)

// Costs of mixing contents that may end their runner with other work, in prompt tokens. They
// are no part of the wait. In the model of mixed fleets (internal/quarantine) requests of one
// such content that go together, and apart from other such contents, end 3.0 to 3.6 runners
// each in place of 3.8 to 6.6 and break off half as many requests of others.
const (
	// otherSuspectCost is that of a runner that works on another suspected content: its end
	// would not show which of the two caused it. It is above the largest prompt seen.
	otherSuspectCost = 100000
	// separateCost is that of a second runner for one content: below otherSuspectCost, and
	// above what a prompt that is read anew mostly costs.
	separateCost = 40000
	// bystanderCost is that of each request that would end with the runner.
	bystanderCost = 1000
	// besideSuspectCost is that of a runner with a suspected content for all other requests:
	// 0.1 s of reading. Most contents that were at work on an ended runner did not end it.
	besideSuspectCost = 4000
)

// suspectRuns counts the open requests of each suspected content at one runner.
type suspectRuns map[uint64]int

func (s suspectRuns) begin(suspect uint64) suspectRuns {
	if suspect == 0 {
		return s
	}
	if s == nil {
		s = suspectRuns{}
	}
	s[suspect]++
	return s
}

func (s suspectRuns) end(suspect uint64) {
	if s[suspect] <= 1 {
		delete(s, suspect)
		return
	}
	s[suspect]--
}

// names lists the contents.
func (s suspectRuns) names() []uint64 {
	if len(s) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(s))
}

// suspectCost is what speaks against the runner for a request of the query: the suspected
// contents that this router, or another one, has there.
func (e *entry) suspectCost(query Query, other Load) int {
	if query.Suspect == 0 && len(e.suspects) == 0 && len(other.Suspects) == 0 {
		return 0
	}
	requests := e.inFlight + other.Requests
	same := e.suspects[query.Suspect] > 0 || slices.Contains(other.Suspects, query.Suspect)
	alone := len(e.suspects) == 0 && len(other.Suspects) == 0
	switch {
	case query.Suspect == 0:
		return besideSuspectCost
	case same && requests < e.Slots/2:
		// Requests of one content end one runner together, rather than one each.
		return 0
	case alone:
		return separateCost + requests*bystanderCost
	}
	return otherSuspectCost + requests*bystanderCost
}
